package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/run/settings"
)

const usageConfig = `Shows the configuration and publishes the parts of it that are not contracts: the
fleet of racks and the placement policy.

    sesameyoke config show
    sesameyoke config fleet -f fleet.yaml
    sesameyoke config policy -f policy.yaml`

func configCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML `FILE`", Required: true}

	return &cli.Command{
		Name: "config", Usage: "show the configuration, publish fleet and policy", Description: usageConfig,
		Commands: []*cli.Command{
			{Name: "show", Usage: "show the configuration in force", Flags: clientFlags(), Action: runConfigShow},
			{Name: "fleet", Usage: "publish the fleet", Flags: clientFlags(append(changeFlags(), file)...), Action: runFleet},
			{Name: "policy", Usage: "publish the policy", Flags: clientFlags(append(changeFlags(), file)...), Action: runPolicy},
		},
	}
}

func runConfigShow(ctx context.Context, c *cli.Command) error {
	current, err := newOperatorClient(c).Config(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(current)
	}
	total := 0
	for _, r := range current.Fleet.Racks {
		total += r.Size()
	}

	return printTable([][]string{
		{"OFFSET", strconv.FormatInt(current.Offset, 10)},
		{"RACKS", strconv.Itoa(len(current.Fleet.Racks))},
		{"ACCELERATORS", strconv.Itoa(total)},
		{"SPARE RACK", strconv.FormatBool(current.Fleet.SurviveRackLoss)},
		{"CONTRACTS", strconv.Itoa(len(current.Contracts))},
		{"WEIGH", string(current.Policy.Weigh)},
		{"KEEP", current.Policy.AnswerRetention.String()},
		{"BUDGET", strconv.FormatFloat(current.Policy.Budget, 'g', -1, 64)},
	})
}

func runFleet(ctx context.Context, c *cli.Command) error {
	f, err := readFleet(c.String("file"))
	if err != nil {
		return err
	}

	return publish(ctx, c, config.Change{Kind: config.KindFleet, Fleet: &f})
}

func runPolicy(ctx context.Context, c *cli.Command) error {
	var p config.Policy
	err := settings.ReadYAML(c.String("file"), &p, func() error {
		p.Defaults()

		return p.Validate()
	})
	if err != nil {
		return err
	}

	return publish(ctx, c, config.Change{Kind: config.KindPolicy, Policy: &p})
}
