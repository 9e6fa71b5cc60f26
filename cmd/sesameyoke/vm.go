package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const usageVM = `Lists the live entry VMs and shuts one down gracefully.

    sesameyoke vm list
    sesameyoke vm leave e2`

func vmCommand() *cli.Command {
	return &cli.Command{
		Name: "vm", Usage: "list entry VMs, shut one down", Description: usageVM,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the live entry VMs", Flags: clientFlags(), Action: runVMList},
			{Name: "leave", Usage: "shut an entry VM down gracefully", ArgsUsage: "NAME", Flags: clientFlags(), Action: runLeave},
		},
	}
}

func runVMList(ctx context.Context, c *cli.Command) error {
	vms, err := newOperatorClient(c).VMs(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(vms)
	}
	rows := [][]string{{"VM", "ADDRESS", "REGION", "DOMAIN", "READY", "LEAVING", "CONFIG", "JOBS"}}
	for _, m := range vms {
		rows = append(rows, []string{
			m.Name, m.Address, m.Region, m.Domain, strconv.FormatBool(m.Ready), strconv.FormatBool(m.Leaving),
			strconv.FormatInt(m.ConfigOffset, 10), strconv.FormatInt(m.JobsOffset, 10),
		})
	}

	return printTable(rows)
}

func runLeave(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	client := newOperatorClient(c)
	vms, err := client.VMs(ctx)
	if err != nil {
		return err
	}
	for _, m := range vms {
		if m.Name == name {
			client.Base = "http://" + m.Address
			if err := client.Leave(ctx); err != nil {
				return err
			}
			fmt.Println(name + " is leaving")

			return nil
		}
	}

	return errors.Errorf("no live entry VM is named %q", name)
}
