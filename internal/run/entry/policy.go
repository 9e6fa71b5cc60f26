package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/timer"
)

const (
	readMargin        = 400 * time.Millisecond  // a read of the store times out this long after its wait; also the timeout of a call to another VM
	readRetryInterval = 80 * time.Millisecond   // between reads while the store is unavailable
	peerFallbackAge   = 1600 * time.Millisecond // other VMs are asked while the proof is older than this
)

type (
	// ConfigReader reads the operator's configuration from the store.
	ConfigReader struct {
		// Newest returns the newest configuration, or nil if there is none yet, and the offset
		// from which to continue with Next.
		Newest func(ctx context.Context) ([]byte, int64, error)
		// Next waits for a newer configuration and returns nil if none arrives within wait.
		Next func(ctx context.Context, from int64, wait time.Duration) ([]byte, int64, error)
		// Decode decodes the record of a configuration.
		Decode func(b []byte) (*policy.Policy, error)
	}

	// decodedConfig is a decoded configuration together with its record.
	decodedConfig struct {
		*policy.Policy
		record []byte
	}

	// ConfigWatcher follows the operator's configuration. It keeps the newest version that it
	// has read, and the latest time for which that version is proven to be the newest.
	ConfigWatcher struct {
		Reader    ConfigReader
		Wait      time.Duration        // how long one read waits for a newer configuration
		SinceBoot func() time.Duration // current boot time
		Log       *log.Logger
		// AskPeer asks another VM for its configuration unless that has version have. It returns
		// the age of that VM's proof, negative if it has none.
		AskPeer func(ctx context.Context, have int64) ([]byte, time.Duration, error)

		newest   atomic.Pointer[decodedConfig]
		provenAt atomic.Int64 // latest boot time for which newest is proven to be the newest; 0 without a proof
	}
)

// Policy returns the newest configuration, or nil if none has been read.
func (w *ConfigWatcher) Policy() *policy.Policy {
	if v := w.newest.Load(); v != nil {
		return v.Policy
	}

	return nil
}

// Age returns the age of the proof that the configuration is the newest: the time since
// the store was known to have no newer one. It returns an hour if there is no proof.
func (w *ConfigWatcher) Age() time.Duration {
	p := w.provenAt.Load()
	if p == 0 {
		return time.Hour
	}

	return w.SinceBoot() - time.Duration(p)
}

// ServePeer answers another VM that has version have: it returns the version, its record
// (nil if the other VM has it) and the age of the proof, which is negative without one.
func (w *ConfigWatcher) ServePeer(have int64) (int64, []byte, time.Duration) {
	v := w.newest.Load()
	if v == nil || w.provenAt.Load() == 0 {
		return 0, nil, -time.Millisecond
	}
	if v.Version == have {
		return v.Version, nil, w.Age()
	}

	return v.Version, v.record, w.Age()
}

// Run follows the configuration in the store until the context ends.
func (w *ConfigWatcher) Run(ctx context.Context) {
	var (
		next  int64
		known bool
		lost  bool
	)
	for ctx.Err() == nil {
		err := w.read(ctx, &next, &known)
		switch {
		case err == nil && lost:
			lost = false
			w.Log.Info().Str("event", "configuration-regained").Int64("version", w.version()).Msg("")
		case err != nil && ctx.Err() == nil:
			if !lost {
				w.Log.Warn().Str("event", "configuration-lost").Err(err).Int64("version", w.version()).Dur("age", w.Age()).Msg("")
			}
			lost = true
			timer.Pause(ctx, readRetryInterval)
		}
	}
}

// RunPeerFallback asks other VMs for the configuration while reads of the store do not
// renew the proof, until the context ends.
func (w *ConfigWatcher) RunPeerFallback(ctx context.Context) {
	for ctx.Err() == nil {
		timer.Pause(ctx, peerFallbackAge/4)
		if w.Age() < peerFallbackAge {
			continue
		}
		call, cancel := context.WithTimeout(ctx, readMargin)
		asked := w.SinceBoot()
		b, age, err := w.AskPeer(call, w.version())
		cancel()
		if err != nil || age < 0 {
			continue
		}
		if b == nil || w.adopt(b, "peer") {
			w.advanceProof(asked - age)
		}
	}
}

func (w *ConfigWatcher) version() int64 {
	if p := w.Policy(); p != nil {
		return p.Version
	}

	return 0
}

// read reads the store once. It continues from the offset *next if *known is set, and
// starts again from the newest configuration if the records there have been truncated.
func (w *ConfigWatcher) read(ctx context.Context, next *int64, known *bool) error {
	ctx, cancel := context.WithTimeout(ctx, w.Wait+readMargin)
	defer cancel()
	sent := w.SinceBoot()
	if *known {
		b, end, err := w.Reader.Next(ctx, *next, w.Wait)
		var truncated *store.TruncatedError
		if err == nil {
			*next = end
			w.applyRead(b, sent)

			return nil
		}
		if !errors.As(err, &truncated) {
			return err
		}
	}
	b, end, err := w.Reader.Newest(ctx)
	if err != nil {
		return err
	}
	*next, *known = end, true
	w.applyRead(b, sent)

	return nil
}

// applyRead applies the result of a read that was sent at boot time sent. A read that
// returned a record proves the configuration as of sent. A read that returned none proves
// it up to the end of the wait, since the store watched for records until then; the
// current time is an upper bound, in case the store answered earlier.
func (w *ConfigWatcher) applyRead(b []byte, sent time.Duration) {
	at := sent
	if b == nil {
		at = min(w.SinceBoot(), sent+w.Wait)
	} else if !w.adopt(b, "store") {
		return
	}
	if w.newest.Load() != nil {
		w.advanceProof(at)
	}
}

// advanceProof records a proof for boot time at unless there is a later one.
func (w *ConfigWatcher) advanceProof(at time.Duration) {
	for {
		old := w.provenAt.Load()
		if int64(at) <= old || w.provenAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// adopt decodes a record and puts it in force unless the current configuration is the
// same version or a newer one. It reports whether the record could be decoded.
func (w *ConfigWatcher) adopt(b []byte, from string) bool {
	p, err := w.Reader.Decode(b)
	if err != nil {
		w.Log.Error().Str("event", "configuration-unreadable").Err(err).Int("bytes", len(b)).Str("from", from).Msg("")

		return false
	}
	next := &decodedConfig{Policy: p, record: b}
	for {
		old := w.newest.Load()
		if old != nil && old.Version >= p.Version {
			return true
		}
		if w.newest.CompareAndSwap(old, next) {
			w.Log.Info().Str("event", "configuration").Int64("version", p.Version).Int("queues", len(p.Queues)).
				Int("workspaces", len(p.Workspaces)).Str("from", from).Msg("")

			return true
		}
	}
}
