package main

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
)

const usageAudit = `Shows the changes of the configuration, newest first: author, time, subject, offset
in the log, and whether the change was accepted or refused, with the reason.

    sesameyoke audit --since 24h --max 50`

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show the audit trail of changes", Description: usageAudit,
		Flags: clientFlags(
			&cli.DurationFlag{Name: "since", Usage: "only changes made within the last `TIME`"},
			&cli.IntFlag{Name: "max", Usage: "at most `N` changes", Value: 50},
		),
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, c *cli.Command) error {
	entries, err := newOperatorClient(c).Audit(ctx, c.Duration("since"), c.Int("max"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(entries)
	}
	rows := [][]string{{"OFFSET", "TIME", "AUTHOR", "SUBJECT", "BASE", "CODE", "NOTE", "REASON"}}
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatInt(e.Offset, 10), e.Time.Format(time.RFC3339), e.Author, e.Subject,
			strconv.FormatInt(e.Base, 10), e.Code.String(), e.Note, e.Reason,
		})
	}

	return printTable(rows)
}
