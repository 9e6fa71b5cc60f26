package main

import (
	"context"
	"fmt"
	"os/user"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/config"
	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/peer/operator"
)

const usageContract = `Publishes, amends, shows and removes contracts.

    sesameyoke contract diff -f host.yaml       show what publishing would change
    sesameyoke contract publish -f host.yaml    publish a new or amended contract
    sesameyoke contract show host
    sesameyoke contract remove guild

A change is refused if the contract has been changed since the version that the
change is based on: check the diff and publish again. If the outcome of a command
is unknown, run the same command again; the change takes effect only once.`

func contractCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "contract `FILE`", Required: true}

	return &cli.Command{
		Name: "contract", Usage: "publish, amend and show contracts", Description: usageContract,
		Commands: []*cli.Command{
			{Name: "publish", Aliases: []string{"amend"}, Usage: "publish or amend a contract", Flags: clientFlags(append(changeFlags(), file)...), Action: runPublish},
			{Name: "diff", Usage: "show what publishing would change", Flags: clientFlags(file), Action: runDiff},
			{Name: "show", Usage: "show contracts", ArgsUsage: "[WORKSPACE]", Flags: clientFlags(), Action: runContractShow},
			{Name: "remove", Usage: "remove a contract", ArgsUsage: "WORKSPACE", Flags: clientFlags(changeFlags()...), Action: runRemove},
		},
	}
}

// changeFlags are shared by the commands that publish a change.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` for the audit trail", Value: userName()},
		&cli.StringFlag{Name: "note", Usage: "`TEXT` for the audit trail"},
		&cli.IntFlag{Name: "base", Usage: "`VERSION` that the change is based on; if omitted, the version in force", Value: -1},
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "operator"
	}

	return u.Username
}

func runPublish(ctx context.Context, c *cli.Command) error {
	k, err := readContract(c.String("file"))
	if err != nil {
		return err
	}

	return publish(ctx, c, config.Change{Kind: config.KindContract, Contract: &k})
}

func runRemove(ctx context.Context, c *cli.Command) error {
	if c.Args().First() == "" {
		return errors.New("missing argument: the workspace whose contract is to be removed")
	}

	return publish(ctx, c, config.Change{Kind: config.KindRemove, Workspace: c.Args().First()})
}

// publish submits a change that is based on the version in force, or on --base.
func publish(ctx context.Context, c *cli.Command, ch config.Change) error {
	client := newOperatorClient(c)
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	ch.Author = c.String("author")
	ch.Note = c.String("note")
	ch.Base = current.Versions[ch.Subject()]
	if base := c.Int("base"); base >= 0 {
		ch.Base = int64(base)
	}
	e, err := client.Publish(ctx, ch)
	if err != nil {
		return errors.Wrap(err, "outcome of the change unknown; run the same command again")
	}
	if c.Bool("json") {
		if err := printJSON(e); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s %s: code %s, offset %d %s\n", e.ID, e.Subject, e.Code, e.Offset, e.Reason)
	}
	if e.Code != code.Accepted {
		return errors.Errorf("the change was not accepted: code %s", e.Code)
	}

	return nil
}

func runDiff(ctx context.Context, c *cli.Command) error {
	k, err := readContract(c.String("file"))
	if err != nil {
		return err
	}
	current, err := newOperatorClient(c).Config(ctx)
	if err != nil {
		return err
	}
	lines := diffContract(current.Contracts[k.Workspace], k)
	if len(lines) == 0 {
		fmt.Println("no change")
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	if err := contract.CheckFits(current.Contracts.With(k), current.Fleet); err != nil {
		return errors.Wrap(err, "the change would be refused")
	}

	return nil
}

// diffContract lists the fields that differ, with both values. The lines show the
// names of the Go fields in lower case.
func diffContract(before, after contract.Contract) []string {
	var out []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		from, to := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(from, to) {
			continue
		}
		name := strings.ToLower(a.Type().Field(i).Name)
		out = append(out, fmt.Sprintf("- %s: %v", name, from), fmt.Sprintf("+ %s: %v", name, to))
	}

	return out
}

func runContractShow(ctx context.Context, c *cli.Command) error {
	current, err := newOperatorClient(c).Config(ctx)
	if err != nil {
		return err
	}
	if name := c.Args().First(); name != "" {
		k, ok := current.Contracts[name]
		if !ok {
			return errors.Errorf("no contract is in force for workspace %q", name)
		}
		current.Contracts = contract.Book{name: k}
	}
	if c.Bool("json") {
		return printJSON(current.Contracts)
	}

	return printTable(contractRows(current))
}

func contractRows(current operator.Config) [][]string {
	s := config.State{Contracts: current.Contracts}
	rows := make([][]string, 0, 1+len(current.Contracts))
	rows = append(rows, []string{"WORKSPACE", "PROMISED", "QUOTA", "QUEUE", "WEIGHT", "URGENT", "CHECKPOINT", "VERSION"})
	for _, name := range s.Workspaces() {
		k := current.Contracts[name]
		promised := make([]string, 0, len(k.Promises))
		for _, p := range k.Promises {
			promised = append(promised, fmt.Sprintf("%dx%d", p.Blocks, p.Width))
		}
		rows = append(rows, []string{
			name, strings.Join(promised, "+"), strconv.Itoa(k.Quota), strconv.Itoa(k.Queue), strconv.Itoa(k.Weight),
			strconv.FormatBool(k.Urgent), k.Checkpoint.String(), strconv.FormatInt(current.Versions["contract/"+name], 10),
		})
	}

	return rows
}
