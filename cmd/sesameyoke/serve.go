package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	plog "github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"sesameyoke/internal/run/logs"
	"sesameyoke/internal/run/serve"
	"sesameyoke/internal/run/settings"
)

const usageServe = `Runs one entry VM until it is asked to shut down.

SIGTERM, SIGINT or "sesameyoke vm leave" starts a graceful shutdown: requests in
flight are answered, callers are asked to reconnect, and another VM takes over the
planning. A second signal stops the process at once.

    sesameyoke serve -f entry.yaml`

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run an entry VM", Description: usageServe,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "settings `FILE`", Required: true}},
		Action: runServe,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read(c.String("file"))
	if err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	vm := serve.New(s, newLogger(s.LogLevel))
	if err := vm.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-vm.ShutdownRequested():
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timing.DrainTimeout.Duration)
	defer cancel()

	go func() {
		<-signals
		cancel()
	}()
	vm.Shutdown(ctx)

	return nil
}

// newLogger returns a logger that writes each event to standard error as one line of
// key=value pairs.
func newLogger(level string) *plog.Logger {
	return &plog.Logger{
		Level:      plog.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &plog.ConsoleWriter{Formatter: logs.WritePairs, Writer: os.Stderr},
	}
}
