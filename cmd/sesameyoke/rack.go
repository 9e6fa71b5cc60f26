package main

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
)

const usageRack = `Shows which job holds which accelerator.

    sesameyoke rack

Each accelerator is one character: a letter for a job, "." free, "_" free and
promised to a workspace, "+" reserved for a waiting job, "x" out of service. A capital
letter is a job in a promised block.`

func rackCommand() *cli.Command {
	return &cli.Command{
		Name: "rack", Usage: "show the racks' occupancy", Description: usageRack,
		Flags: clientFlags(), Action: runRack,
	}
}

func runRack(ctx context.Context, c *cli.Command) error {
	racks, err := newOperatorClient(c).Racks(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(racks)
	}
	letters := assignLetters(racks)
	rows := [][]string{{"RACK", "ACCELERATORS"}}
	for _, r := range racks {
		rows = append(rows, []string{r.Rack, formatRack(r, letters)})
	}
	if err := printTable(rows); err != nil {
		return err
	}
	names := make([]string, 0, len(letters))
	for k, l := range letters {
		names = append(names, fmt.Sprintf("%c %s", l, k))
	}
	sort.Strings(names)
	fmt.Println(strings.Join(names, "\n"))

	return nil
}

// assignLetters assigns a letter to each job. With more than 26 jobs, letters are reused.
func assignLetters(racks []plan.Occupancy) map[job.Key]byte {
	letters := make(map[job.Key]byte)
	for _, r := range racks {
		for _, k := range r.Owners {
			if _, ok := letters[k]; !ok && k.ID != "" {
				letters[k] = byte('a' + len(letters)%26)
			}
		}
	}

	return letters
}

func formatRack(r plan.Occupancy, letters map[job.Key]byte) string {
	out := make([]byte, 0, len(r.Owners))
	for i, k := range r.Owners {
		bit := uint64(1) << i
		promised := r.Promised&bit != 0
		c := byte('.')
		switch {
		case k.ID != "" && promised:
			c = letters[k] - 'a' + 'A'
		case k.ID != "":
			c = letters[k]
		case r.Down&bit != 0:
			c = 'x'
		case r.Held&bit != 0:
			c = '+'
		case promised:
			c = '_'
		}
		out = append(out, c)
	}

	return string(out)
}
