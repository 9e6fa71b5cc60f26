package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long.
const timeLimit = 118 * time.Second

// cases are the script cases by number. Each returns what broke the rule, empty if it held.
var cases = map[string]func(ctx context.Context, record string, trouble bool) (string, error){
	"avail":        avail,
	"latestart":    lateStart,
	"publiccancel": publicCancel,
	"reclaim":      reclaim,
	"restart":      restart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(2)
	}
	go abort()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("rule broken:", broken)
		os.Exit(1)
	}
	fmt.Println("rule held")
}

// abort ends all processes and the case on a signal, or when it takes too long.
func abort() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		fmt.Println("the case was ended by a signal:", s)
	case <-time.After(timeLimit):
		fmt.Println("the case took too long")
	}
	killAll()
	os.Exit(2)
}
