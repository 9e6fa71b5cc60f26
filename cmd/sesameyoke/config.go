package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/config"
	"sesameyoke/internal/run/settings"
)

const usageConfig = `Shows and publishes what is not a contract: the fleet of racks and the policy
of placement.

    sesameyoke config show
    sesameyoke config fleet -f fleet.yaml
    sesameyoke config policy -f policy.yaml`

func configCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "YAML `FILE`", Required: true}

	return &cli.Command{
		Name: "config", Usage: "show and publish fleet and policy", Description: usageConfig,
		Commands: []*cli.Command{
			{Name: "show", Usage: "show the configuration in force", Flags: clientFlags(), Action: runConfigShow},
			{Name: "fleet", Usage: "publish the fleet", Flags: clientFlags(append(changeFlags(), file)...), Action: runFleet},
			{Name: "policy", Usage: "publish the policy", Flags: clientFlags(append(changeFlags(), file)...), Action: runPolicy},
		},
	}
}

func runConfigShow(ctx context.Context, c *cli.Command) error {
	now, err := operatorOf(c).Config(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(now)
	}
	total := 0
	for _, r := range now.Fleet.Racks {
		total += r.Size()
	}

	return printTable([][]string{
		{"OFFSET", strconv.FormatInt(now.Offset, 10)},
		{"RACKS", strconv.Itoa(len(now.Fleet.Racks))},
		{"ACCELERATORS", strconv.Itoa(total)},
		{"SPARE RACK", strconv.FormatBool(now.Fleet.Spare)},
		{"CONTRACTS", strconv.Itoa(len(now.Contracts))},
		{"WEIGH", string(now.Policy.Weigh)},
		{"KEEP", now.Policy.Keep.String()},
		{"BUDGET", strconv.FormatFloat(now.Policy.Budget, 'g', -1, 64)},
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
