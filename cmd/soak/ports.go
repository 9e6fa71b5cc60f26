package main

import (
	"context"
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Range in which ports are reserved. It lies below the ports that the system gives to outgoing
// connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// reservePorts returns the first of n consecutive free ports. No other call, of this process or of
// another one, returns any of them until the listener, on the port before them, is closed.
func reservePorts(ctx context.Context, n int) (first int, reserved net.Listener, err error) {
	for port := firstPort; port+n <= lastPort; port += n + 1 {
		if reserved, err = listen(ctx, port); err != nil {
			continue // another process has reserved the ports that follow
		}
		if allFree(ctx, port+1, n) {
			return port + 1, reserved, nil
		}
		_ = reserved.Close() // nothing has connected to it
	}

	return 0, nil, errors.Errorf("no %d consecutive free ports found", n)
}

func allFree(ctx context.Context, first, n int) bool {
	for i := range n {
		ln, err := listen(ctx, first+i)
		if err != nil {
			return false
		}
		_ = ln.Close() // the listener only served to test the port
	}

	return true
}

func listen(ctx context.Context, port int) (net.Listener, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))

	return ln, errors.Wrap(err, "listen")
}
