package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/unit"
	"sesameyoke/internal/peer/caller"
)

const usageJob = `Submits, waits for, cancels and lists jobs.

    sesameyoke job submit --workspace host --id stock-1 --run 10s --wait 30s
    sesameyoke job submit --workspace host --id route-1 --members 2 --width 8 --adjacent --wait 30s
    sesameyoke job submit --workspace host --id pay-1 --once --deadline 1m --wait 30s
    sesameyoke job wait host/route-1 --wait 30s
    sesameyoke job cancel host/route-1

Submitting an ID again, through any entry VM, refers to the same job if all other
properties are equal too (with --once use --deadline-at, not --deadline, which counts
from the time of the call). The exit status is 0 if the job has completed, 3 if it has
no answer yet, and 1 otherwise.`

// exitPending is the exit status if the job has no answer yet.
const exitPending = 3

func jobCommand() *cli.Command {
	wait := &cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` for the answer"}

	return &cli.Command{
		Name: "job", Usage: "submit, wait for, cancel and list jobs", Description: usageJob,
		Commands: []*cli.Command{
			{Name: "submit", Usage: "submit a job", Flags: clientFlags(append(jobFlags(), wait)...), Action: runSubmit},
			{Name: "wait", Usage: "wait for a job's answer", ArgsUsage: "WORKSPACE/ID", Flags: clientFlags(wait), Action: runWait},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "WORKSPACE/ID", Flags: clientFlags(), Action: runCancel},
			{Name: "list", Usage: "list jobs", Flags: clientFlags(&cli.StringFlag{Name: "workspace", Usage: "only jobs of workspace `NAME`"}), Action: runJobList},
		},
	}
}

func jobFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace", Required: true},
		&cli.StringFlag{Name: "id", Usage: "job `ID`, unique in the workspace", Required: true},
		&cli.StringFlag{Name: "kind", Usage: "`NAME` of a class of jobs with similar run times"},
		&cli.IntFlag{Name: "members", Usage: "number of processes in the gang", Value: 1},
		&cli.IntFlag{Name: "width", Usage: "accelerators per process", Value: 1},
		&cli.BoolFlag{Name: "adjacent", Usage: "place all members on consecutive accelerators of one rack"},
		&cli.DurationFlag{Name: "run", Usage: "declared run `TIME`", Value: time.Minute},
		&cli.DurationFlag{Name: "deadline", Usage: "do not start after `TIME` from now"},
		&cli.TimestampFlag{
			Name: "deadline-at", Usage: "do not start after `TIME`, such as 2026-01-02T15:04:05Z",
			Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}},
		},
		&cli.BoolFlag{Name: "once", Usage: "not idempotent: run at most once"},
		&cli.BoolFlag{Name: "urgent", Usage: "urgent, if the contract allows it"},
		&cli.StringFlag{Name: "payload", Usage: "`TEXT` that is passed to the workers"},
	}
}

func newCallerClient(c *cli.Command) *caller.Client {
	return &caller.Client{Base: c.String("url"), HTTP: &http.Client{Timeout: callTimeout}}
}

func runSubmit(ctx context.Context, c *cli.Command) error {
	j := job.Job{
		Workspace: c.String("workspace"), ID: c.String("id"), Kind: c.String("kind"),
		Shape:      job.Shape{Members: c.Int("members"), Width: c.Int("width"), Adjacent: c.Bool("adjacent")},
		Run:        unit.Duration{Duration: c.Duration("run")},
		Idempotent: !c.Bool("once"), Urgent: c.Bool("urgent"), Payload: c.String("payload"),
	}
	if d := c.Duration("deadline"); d > 0 {
		j.Deadline = time.Now().Add(d).UTC().Truncate(time.Second)
	}
	if at := c.Timestamp("deadline-at"); !at.IsZero() {
		j.Deadline = at.UTC()
	}
	a, err := newCallerClient(c).Submit(ctx, j, c.Duration("wait"))

	return printAnswer(c, a, err)
}

func runWait(ctx context.Context, c *cli.Command) error {
	k, err := keyArg(c)
	if err != nil {
		return err
	}
	a, err := newCallerClient(c).Wait(ctx, k, c.Duration("wait"))

	return printAnswer(c, a, err)
}

func runCancel(ctx context.Context, c *cli.Command) error {
	k, err := keyArg(c)
	if err != nil {
		return err
	}
	a, err := newCallerClient(c).Cancel(ctx, k)

	return printAnswer(c, a, err)
}

func keyArg(c *cli.Command) (job.Key, error) {
	var k job.Key
	arg := c.Args().First()
	for i := range arg {
		if arg[i] == '/' {
			k.Workspace, k.ID = arg[:i], arg[i+1:]
		}
	}
	if !unit.ValidName(k.Workspace) || !unit.ValidName(k.ID) {
		return k, errors.Errorf("%q is not WORKSPACE/ID", arg)
	}

	return k, nil
}

// printAnswer checks the length and the digest of an answer, prints it and sets the
// exit status.
func printAnswer(c *cli.Command, a job.Answer, err error) error {
	if err != nil {
		return errors.Wrap(err, "no answer; the job may have been accepted: retry with the same ID")
	}
	if a.Code == code.OK && !a.Intact() {
		return errors.Errorf("the answer of %s does not match its length %d and digest %s", a.Key, a.Length, a.Digest)
	}
	if c.Bool("json") {
		if err := printJSON(a); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s: code %s, ran %s, %d parts, %d bytes, digest %.16s %s\n",
			a.Key, a.Code, a.Ran, len(a.Parts), a.Length, a.Digest, a.Reason)
	}
	switch a.Code {
	case code.OK:
		return nil
	case code.Pending:
		os.Exit(exitPending)
	}

	return errors.Errorf("code %s, ran: %s", a.Code, a.Ran)
}

func runJobList(ctx context.Context, c *cli.Command) error {
	lines, err := newCallerClient(c).List(ctx, c.String("workspace"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(lines)
	}
	rows := [][]string{{"JOB", "SHAPE", "SUBMITTED", "CODE"}}
	for _, l := range lines {
		rows = append(rows, []string{
			l.Key.String(), fmt.Sprintf("%dx%d", l.Shape.Members, l.Shape.Width),
			l.Submitted.Format(time.RFC3339), l.Code.String(),
		})
	}

	return printTable(rows)
}
