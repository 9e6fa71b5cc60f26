// Package timer runs periodic and background functions of the process, and measures its
// scheduling delay.
package timer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter is the largest relative deviation of an interval from its nominal length. Random
// deviations keep the VMs from making their periodic calls at the same moments.
const jitter = 0.1

type (
	// Service runs functions in the background until Stop.
	Service struct {
		Now func() time.Time

		ctx  context.Context
		stop context.CancelFunc
		wait sync.WaitGroup
	}
)

// New returns a running service.
func New() *Service {
	ctx, stop := context.WithCancel(context.Background())

	return &Service{Now: time.Now, ctx: ctx, stop: stop}
}

// Every calls f periodically until the service stops. The first call is made immediately;
// interval, with jitter, is the time from the end of one call to the start of the next.
func (s *Service) Every(interval time.Duration, f func(ctx context.Context)) {
	s.Go(func(ctx context.Context) {
		t := time.NewTimer(0)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			f(ctx)
			t.Reset(addJitter(interval))
		}
	})
}

// Go runs f in a goroutine. Its context ends when the service stops.
func (s *Service) Go(f func(ctx context.Context)) {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		f(s.ctx)
	}()
}

// Stop cancels the context of all functions and waits for them to return.
func (s *Service) Stop() {
	s.stop()
	s.wait.Wait()
}

// Pause waits for d, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func addJitter(d time.Duration) time.Duration {
	span := max(1, int64(float64(d)*jitter*2))

	return d + time.Duration(rand.Int64N(span)-span/2)
}
