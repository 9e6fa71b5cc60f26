// Command standin runs emulations of the platform's log service, VM list and workers,
// for the demo and for local experiments. All state is in memory.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	standinlog "sesameyoke/internal/standin/log"
	"sesameyoke/internal/standin/vms"
	standinworker "sesameyoke/internal/standin/worker"
)

const usageMain = `Runs one emulated service of the platform.

    standin log --listen 127.0.0.1:7001
    standin vms --listen 127.0.0.1:7002 --lag 1s
    standin worker --listen 127.0.0.1:7101 --accelerators 8`

const (
	headerTimeout = 10 * time.Second
	tickInterval  = 20 * time.Millisecond // between two updates of the worker's leases and tasks
)

func main() {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Required: true}
	cmd := &cli.Command{
		Name: "standin", Usage: "emulated services of the platform", Description: usageMain,
		Commands: []*cli.Command{
			{
				Name: "log", Usage: "the log service",
				Flags:  []cli.Flag{listen, &cli.IntFlag{Name: "retain", Usage: "number of records retained per stream; 0 retains all"}},
				Action: runLog,
			},
			{
				Name: "vms", Usage: "the VM list",
				Flags:  []cli.Flag{listen, &cli.DurationFlag{Name: "lag", Usage: "`TIME` until a change becomes visible"}},
				Action: runVMs,
			},
			{
				Name: "worker", Usage: "a worker",
				Flags: []cli.Flag{
					listen, &cli.IntFlag{Name: "accelerators", Value: 8, Usage: "number `N` of accelerators"},
					&cli.DurationFlag{Name: "save", Value: 200 * time.Millisecond, Usage: "`TIME` that a checkpoint takes"},
				},
				Action: runWorker,
			},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func runLog(_ context.Context, c *cli.Command) error {
	s := standinlog.New()
	s.Retain = c.Int("retain")

	return listen(c, s.Handler())
}

func runVMs(_ context.Context, c *cli.Command) error {
	return listen(c, vms.New(c.Duration("lag")).Handler())
}

func runWorker(ctx context.Context, c *cli.Command) error {
	w := standinworker.New(c.Int("accelerators"), c.Duration("save"))
	go w.Run(ctx, tickInterval)

	return listen(c, w.Handler())
}

func listen(c *cli.Command, h http.Handler) error {
	s := &http.Server{Addr: c.String("listen"), Handler: h, ReadHeaderTimeout: headerTimeout}

	return s.ListenAndServe()
}
