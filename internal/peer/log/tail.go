package log

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	readWait = time.Second

	// A silent connection is noticed after readWait and minPatience; a log that is
	// only slow is waited for longer and longer, up to maxPatience.
	minPatience = 500 * time.Millisecond
	maxPatience = 8 * time.Second

	readMax    = 2000
	ringLength = 4096
	snapChunk  = 256 << 10 // bytes of state in one snapshot record
)

type (
	// Tail follows one stream and applies its records in the order of offsets. It
	// takes records from the log and from peers, whichever has them first, and
	// never applies an offset twice or out of order.
	Tail struct {
		Stream  string
		Client  *Client
		Apply   func(offset int64, raw []byte)
		Skip    func(offset int64)       // an offset that holds a snapshot's part
		Dump    func() ([]byte, error)   // the folded state
		Load    func(state []byte) error // replaces the folded state
		Behind  func(err error)          // told of failed reads
		applied atomic.Int64
		shown   atomic.Int64 // highest offset that the log or a peer has shown
		alive   atomic.Bool  // the last read was answered
		mu      sync.Mutex   // held while applying
		ring    map[int64][]byte
		since   atomic.Int64 // offset of the newest snapshot in the log
		gap     *gap
	}

	// gap collects what a reader needs when the log no longer holds the stream's
	// beginning: a whole snapshot, and the records around it.
	gap struct {
		records map[int64][]byte
		parts   map[string]map[int][]byte
		newest  int64
	}

	// snapRecord is one part of a snapshot in the log.
	snapRecord struct {
		Snap *snapPart `json:"snap"`
	}

	snapPart struct {
		ID    string `json:"id"`
		Upto  int64  `json:"upto"` // last offset that the state includes
		Part  int    `json:"part"`
		Parts int    `json:"parts"`
		Data  []byte `json:"data"`
	}
)

// Start prepares the tail before the first read.
func (t *Tail) Start() {
	t.applied.Store(-1)
	t.shown.Store(-1)
	t.since.Store(-1)
	t.ring = make(map[int64][]byte, ringLength)
}

// Applied returns the last applied offset, -1 before the first.
func (t *Tail) Applied() int64 {
	return t.applied.Load()
}

// Shown returns the highest offset that the log or a peer has shown.
func (t *Tail) Shown() int64 {
	return max(t.shown.Load(), t.applied.Load())
}

// Alive reports whether the log answered the last read.
func (t *Tail) Alive() bool {
	return t.alive.Load()
}

// Unsaved returns the number of offsets since the newest snapshot in the log.
func (t *Tail) Unsaved() int64 {
	return t.applied.Load() - t.since.Load()
}

// Show notes an offset that a peer has applied.
func (t *Tail) Show(offset int64) {
	for {
		have := t.shown.Load()
		if offset <= have || t.shown.CompareAndSwap(have, offset) {
			return
		}
	}
}

// Run reads the log until the context ends.
func (t *Tail) Run(ctx context.Context) {
	pause := firstPause
	patience := minPatience
	for ctx.Err() == nil {
		err := t.step(ctx, patience)
		t.alive.Store(err == nil)
		if err == nil {
			pause = firstPause
			patience = max(patience/2, minPatience)

			continue
		}
		patience = min(2*patience, maxPatience)
		if t.Behind != nil && ctx.Err() == nil {
			t.Behind(err)
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (t *Tail) step(ctx context.Context, patience time.Duration) error {
	from := t.next()
	wait := readWait
	if !t.alive.Load() {
		wait = 0
	}
	b, err := t.Client.Read(ctx, t.Stream, from, readMax, wait, patience)
	if err != nil {
		return err
	}
	t.Show(b.End - 1)
	t.Feed(b.First, b.Records)

	return nil
}

// next returns the offset to read from.
func (t *Tail) next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.gap != nil {
		return t.gap.newest + 1
	}

	return t.applied.Load() + 1
}

// Feed applies the records that follow the applied offset; older ones are
// dropped. A first above the next offset starts the search for a snapshot.
func (t *Tail) Feed(first int64, records [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for i, raw := range records {
		offset := first + int64(i)
		if offset <= t.applied.Load() {
			continue
		}
		if offset > t.applied.Load()+1 {
			t.collect(offset, raw)

			continue
		}
		t.applyOne(offset, raw)
	}
}

func (t *Tail) applyOne(offset int64, raw []byte) {
	if p := part(raw); p != nil {
		t.Skip(offset)
		if p.Part == p.Parts-1 {
			t.since.Store(p.Upto)
		}
	} else {
		t.Apply(offset, raw)
	}
	t.ring[offset] = raw
	delete(t.ring, offset-ringLength)
	t.applied.Store(offset)
	t.Show(offset)
}

// collect collects records beyond a hole until a whole snapshot closes it.
func (t *Tail) collect(offset int64, raw []byte) {
	if t.gap == nil {
		t.gap = &gap{records: map[int64][]byte{}, parts: map[string]map[int][]byte{}, newest: offset - 1}
	}
	g := t.gap
	g.records[offset] = raw
	g.newest = max(g.newest, offset)
	p := part(raw)
	if p == nil {
		return
	}
	if g.parts[p.ID] == nil {
		g.parts[p.ID] = map[int][]byte{}
	}
	g.parts[p.ID][p.Part] = p.Data
	if len(g.parts[p.ID]) < p.Parts {
		return
	}
	if err := t.restore(p.Upto, join(g.parts[p.ID], p.Parts)); err != nil && t.Behind != nil {
		t.Behind(err)
	}
}

// restore replaces the state and applies what has been collected after it. Called
// with mu held.
func (t *Tail) restore(upto int64, state []byte) error {
	if upto <= t.applied.Load() {
		return nil
	}
	if err := t.Load(state); err != nil {
		return errors.Wrap(err, "Tail.restore")
	}
	t.applied.Store(upto)
	t.Show(upto)
	t.ring = make(map[int64][]byte, ringLength)
	if t.gap == nil {
		return nil
	}
	g := t.gap
	for {
		raw, ok := g.records[t.applied.Load()+1]
		if !ok {
			break
		}
		t.applyOne(t.applied.Load()+1, raw)
	}
	if g.newest <= t.applied.Load() {
		t.gap = nil
	}

	return nil
}

// Recent returns the records from an offset on that are still in memory, at most
// max. ok is false when the first of them is not.
func (t *Tail) Recent(from int64, max int) (records [][]byte, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if from > t.applied.Load() {
		return nil, true
	}
	for o := from; o <= t.applied.Load() && len(records) < max; o++ {
		raw, there := t.ring[o]
		if !there {
			return nil, false
		}
		records = append(records, raw)
	}

	return records, true
}

// Snapshot returns the folded state and its offset.
func (t *Tail) Snapshot() (upto int64, state []byte, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	state, err = t.Dump()

	return t.applied.Load(), state, err
}

// Restore takes over a peer's state when it is ahead.
func (t *Tail) Restore(upto int64, state []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.restore(upto, state)
}

// Parts cuts a snapshot into records for the log.
func Parts(id string, upto int64, state []byte) ([][]byte, error) {
	parts := (len(state) + snapChunk - 1) / snapChunk
	var out [][]byte
	for i := range parts {
		end := min(len(state), (i+1)*snapChunk)
		p := snapPart{ID: id, Upto: upto, Part: i, Parts: parts, Data: state[i*snapChunk : end]}
		raw, err := json.Marshal(snapRecord{Snap: &p})
		if err != nil {
			return nil, errors.Wrap(err, "Parts")
		}
		out = append(out, raw)
	}

	return out, nil
}

func part(raw []byte) *snapPart {
	if len(raw) < 8 || string(raw[:8]) != `{"snap":` {
		return nil
	}
	var r snapRecord
	if json.Unmarshal(raw, &r) != nil {
		return nil
	}

	return r.Snap
}

func join(parts map[int][]byte, n int) []byte {
	var b []byte
	for i := range n {
		b = append(b, parts[i]...)
	}

	return b
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
