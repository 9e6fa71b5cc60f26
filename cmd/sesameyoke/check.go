package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/run/settings"
)

const usageCheck = `Validates files before they are used and lists all errors by field and line.

    sesameyoke check --settings entry.yaml
    sesameyoke check --fleet fleet.yaml --contract host.yaml --contract guild.yaml

With a fleet and contracts it also checks that the fleet can serve all promises at
the same time.`

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate settings, fleet and contract files", Description: usageCheck,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of an entry VM"},
			&cli.StringSliceFlag{Name: "contract", Usage: "contract `FILE`"},
			&cli.StringFlag{Name: "fleet", Usage: "fleet `FILE`"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	failures := 0
	report := func(path string, err error) {
		if err != nil {
			fmt.Println(err)
			failures++

			return
		}
		fmt.Println(path + ": ok")
	}
	for _, path := range c.StringSlice("settings") {
		_, err := settings.Read(path)
		report(path, err)
	}
	book := contract.Book{}
	for _, path := range c.StringSlice("contract") {
		k, err := readContract(path)
		book[k.Workspace] = k
		report(path, err)
	}
	if path := c.String("fleet"); path != "" {
		fleet, err := readFleet(path)
		report(path, err)
		if err == nil {
			report("promises", contract.CheckFits(book, fleet))
		}
	}
	if failures > 0 {
		return errors.Errorf("%d checks failed", failures)
	}

	return nil
}

// readContract reads and validates a contract. The error lists all invalid fields
// with their lines.
func readContract(path string) (contract.Contract, error) {
	var k contract.Contract
	err := settings.ReadYAML(path, &k, func() error {
		k.Defaults()

		return k.Validate()
	})

	return k, err
}

// readFleet reads and validates a fleet. The error lists all invalid fields with
// their lines.
func readFleet(path string) (contract.Fleet, error) {
	var f contract.Fleet
	err := settings.ReadYAML(path, &f, func() error { return f.Validate() })

	return f, err
}
