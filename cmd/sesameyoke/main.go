// Command sesameyoke is the scheduler's daemon and the command-line client of
// operators and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"sesameyoke/internal/peer/operator"
)

const usageMain = `Schedules multi-accelerator jobs and guarantees capacity to workspaces.

Run "sesameyoke serve -f entry.yaml" on each entry VM. Operators and callers use
the other commands with any entry VM or with the load balancer in front of them:

    export SESAMEYOKE_URL=http://127.0.0.1:7201
    export SESAMEYOKE_TOKEN=...
    sesameyoke contract show
    sesameyoke job submit --workspace host --id first --wait 30s`

// callTimeout limits each call of a command. It exceeds the longest long-poll wait.
const callTimeout = 60 * time.Second

func main() {
	cmd := &cli.Command{
		Name:        "sesameyoke",
		Usage:       "scheduler for multi-accelerator jobs",
		Description: usageMain,
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), explainCommand(), checkCommand(), contractCommand(), configCommand(), jobCommand(),
			vmCommand(), rackCommand(), auditCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sesameyoke:", err)
		os.Exit(1)
	}
}

// clientFlags are shared by all commands that call an entry VM.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "url", Usage: "`URL` of an entry VM or the load balancer", Value: "http://127.0.0.1:7201",
			Sources: cli.EnvVars("SESAMEYOKE_URL"),
		},
		&cli.StringFlag{Name: "token", Usage: "operator `TOKEN`", Sources: cli.EnvVars("SESAMEYOKE_TOKEN")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

func newOperatorClient(c *cli.Command) *operator.Client {
	return &operator.Client{Base: c.String("url"), Token: c.String("token"), HTTP: &http.Client{Timeout: callTimeout}}
}

// printJSON writes v as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")

	return enc.Encode(v)
}

// printTable writes rows in aligned columns.
func printTable(rows [][]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}

	return w.Flush()
}
