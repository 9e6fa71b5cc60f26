package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

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
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
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
