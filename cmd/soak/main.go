// Command soak runs real entry VMs as processes against the emulated platform, injects
// faults into processes, network and platform, and checks the guarantees from the
// point of view of callers and workers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name: "soak", Usage: "run entry VMs under random faults and check the guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 1},
			&cli.DurationFlag{Name: "trouble", Usage: "`TIME` during which faults are injected", Value: 20 * time.Second},
			&cli.DurationFlag{Name: "calm", Usage: "longest `TIME` that jobs may take to end after the faults", Value: 60 * time.Second},
			&cli.IntFlag{Name: "vms", Usage: "`NUMBER` of entry VMs", Value: 4},
			&cli.IntFlag{Name: "workers", Usage: "`NUMBER` of workers", Value: 8},
			&cli.StringFlag{Name: "work", Usage: "`KIND` of what happens to the VMs: faults, planned, all or recut", Value: randomFaults},
			&cli.IntFlag{Name: "clients", Usage: "`NUMBER` of clients that keep a connection, with planned work", Value: 60},
			&cli.FloatFlag{Name: "rate", Usage: "jobs per second of all these clients, a `NUMBER`", Value: 8},
			&cli.IntFlag{Name: "cpus", Usage: "`NUMBER` of processors that all VMs share; 0 for all"},
			&cli.BoolFlag{Name: "quota", Usage: "limit most VMs to a fifth of a core"},
			&cli.StringFlag{Name: "binary", Usage: "executable `FILE` of sesameyoke", Value: "bin/sesameyoke"},
			&cli.StringFlag{Name: "logs", Usage: "`DIRECTORY` for the logs of failed seeds"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	failed := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("seeds")); seed++ {
		started := time.Now()
		s, err := newSoak(ctx, soakConfig{
			Seed: seed, VMs: c.Int("vms"), Workers: c.Int("workers"), Binary: c.String("binary"), Logs: c.String("logs"),
			Work: c.String("work"), Clients: c.Int("clients"), Rate: c.Float("rate"), CPUs: c.Int("cpus"), Quota: c.Bool("quota"), Calm: c.Duration("calm"),
		})
		if err != nil {
			return err
		}
		failures := s.run(c.Duration("trouble"))
		s.close(len(failures) > 0)
		fmt.Printf("seed=%d jobs=%d accepted=%d refused=%d steps=%d %vheld_up=%d took=%v faults=%d\n", seed, s.submitted, len(s.accepted), s.refused,
			s.steps, s.counts, s.heldUps.Load(), time.Since(started).Round(time.Second), len(failures))
		for _, f := range failures {
			fmt.Println("  " + f)
		}
		if len(failures) > 0 {
			failed++
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds failed", failed, c.Int("seeds"))
	}

	return nil
}
