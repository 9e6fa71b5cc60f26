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
	// readWait is the long-poll wait of a read.
	readWait = time.Second

	// A read fails if it is not answered within its wait plus a timeout. The timeout
	// starts at minReadTimeout, which detects a dead connection soon, and doubles with
	// each failed read up to maxReadTimeout, for a log that is slow but not down.
	minReadTimeout = 500 * time.Millisecond
	maxReadTimeout = 8 * time.Second

	maxReadRecords = 2000      // largest number of records of one read
	ringSize       = 4096      // number of records kept in memory
	maxRingBytes   = 4 << 20   // of these records; the newest one is kept in any case
	snapshotChunk  = 256 << 10 // bytes of state in one snapshot record
)

type (
	// Tail follows one stream and applies each record once, in offset order. It
	// receives records from the log and from peers and applies whichever copy arrives
	// first.
	Tail struct {
		Stream         string
		Client         *Client
		Apply          func(offset int64, raw []byte)
		Skip           func(offset int64)       // called instead of Apply for a snapshot's records
		Dump           func() ([]byte, error)   // encodes the state that the applied records have produced
		Load           func(state []byte) error // replaces that state
		OnError        func(err error)          // called after a failed read or a failed Load; may be nil
		applied        atomic.Int64
		highestSeen    atomic.Int64     // highest offset known to exist, from the log or a peer
		alive          atomic.Bool      // the last read was answered
		mu             sync.Mutex       // held while applying
		ring           map[int64][]byte // the last applied records by offset, at most ringSize and maxRingBytes
		ringFirst      int64            // offset of the oldest one
		ringBytes      int              // size of all
		snapshotOffset atomic.Int64     // last offset covered by the newest snapshot in the log
		gap            *gap             // nil if no records are missing
	}

	// gap holds the records received while the record after the applied offset is missing,
	// because the log no longer retains it. The tail continues from a complete snapshot among
	// these records or from a peer's snapshot, and applies the records after it.
	gap struct {
		records map[int64][]byte          // by offset
		parts   map[string]map[int][]byte // data by snapshot ID and index of the part
		newest  int64                     // highest offset collected
	}

	// snapshotRecord is one part of a snapshot in the log.
	snapshotRecord struct {
		Snap *snapshotPart `json:"snap"`
	}

	snapshotPart struct {
		ID    string `json:"id"`    // ID of the snapshot
		Upto  int64  `json:"upto"`  // last offset that the state includes
		Part  int    `json:"part"`  // index of this part
		Parts int    `json:"parts"` // number of parts of the snapshot
		Data  []byte `json:"data"`
	}
)

// Init initializes the tail. It must be called before Run and Feed.
func (t *Tail) Init() {
	t.applied.Store(-1)
	t.highestSeen.Store(-1)
	t.snapshotOffset.Store(-1)
	t.clearRing()
}

// Applied returns the last applied offset, or -1 if there is none.
func (t *Tail) Applied() int64 {
	return t.applied.Load()
}

// HighestSeen returns the highest offset that is known to exist, from the log or a peer.
func (t *Tail) HighestSeen() int64 {
	return max(t.highestSeen.Load(), t.applied.Load())
}

// Alive reports whether the log answered the last read.
func (t *Tail) Alive() bool {
	return t.alive.Load()
}

// SinceSnapshot returns the number of applied offsets that the newest snapshot in the log
// does not cover.
func (t *Tail) SinceSnapshot() int64 {
	return t.applied.Load() - t.snapshotOffset.Load()
}

// Observe records that an offset exists, for example because a peer has applied it.
func (t *Tail) Observe(offset int64) {
	for {
		highest := t.highestSeen.Load()
		if offset <= highest || t.highestSeen.CompareAndSwap(highest, offset) {
			return
		}
	}
}

// Run reads the log until the context ends. After a failed read it backs off
// exponentially.
func (t *Tail) Run(ctx context.Context) {
	backoff := minBackoff
	timeout := minReadTimeout
	for ctx.Err() == nil {
		err := t.readOnce(ctx, timeout)
		t.alive.Store(err == nil)
		if err == nil {
			backoff = minBackoff
			timeout = max(timeout/2, minReadTimeout)

			continue
		}
		timeout = min(2*timeout, maxReadTimeout)
		if t.OnError != nil && ctx.Err() == nil {
			t.OnError(err)
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads and applies one batch. It does not wait for records if the previous
// read failed, in order to find out at once whether the log answers.
func (t *Tail) readOnce(ctx context.Context, timeout time.Duration) error {
	from := t.next()
	wait := readWait
	if !t.alive.Load() {
		wait = 0
	}
	b, err := t.Client.Read(ctx, t.Stream, from, maxReadRecords, wait, timeout)
	if err != nil {
		return err
	}
	t.Observe(b.End - 1)
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

// Feed applies records that directly follow the applied offset and drops older ones.
// Records beyond a gap are collected until a snapshot closes the gap.
func (t *Tail) Feed(first int64, records [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for i, raw := range records {
		offset := first + int64(i)
		if offset <= t.applied.Load() {
			continue
		}
		if offset > t.applied.Load()+1 {
			t.collectBeyondGap(offset, raw)

			continue
		}
		t.applyRecord(offset, raw)
	}
}

func (t *Tail) applyRecord(offset int64, raw []byte) {
	if p := parseSnapshotPart(raw); p != nil {
		t.Skip(offset)
		if p.Part == p.Parts-1 {
			t.snapshotOffset.Store(p.Upto)
		}
	} else {
		t.Apply(offset, raw)
	}
	t.remember(offset, raw)
	t.applied.Store(offset)
	t.Observe(offset)
}

// remember keeps an applied record in memory, and forgets the oldest ones.
func (t *Tail) remember(offset int64, raw []byte) {
	if len(t.ring) == 0 {
		t.ringFirst = offset
	}
	t.ring[offset] = raw
	t.ringBytes += len(raw)
	for ; t.ringFirst < offset && (len(t.ring) > ringSize || t.ringBytes > maxRingBytes); t.ringFirst++ {
		t.ringBytes -= len(t.ring[t.ringFirst])
		delete(t.ring, t.ringFirst)
	}
}

func (t *Tail) clearRing() {
	t.ring, t.ringBytes = make(map[int64][]byte, ringSize), 0
}

// collectBeyondGap collects a record beyond a gap. Once the parts of a snapshot are
// complete, the state is restored from it.
func (t *Tail) collectBeyondGap(offset int64, raw []byte) {
	if t.gap == nil {
		t.gap = &gap{records: map[int64][]byte{}, parts: map[string]map[int][]byte{}, newest: offset - 1}
	}
	g := t.gap
	g.records[offset] = raw
	g.newest = max(g.newest, offset)
	p := parseSnapshotPart(raw)
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
	if err := t.restore(p.Upto, joinParts(g.parts[p.ID], p.Parts)); err != nil && t.OnError != nil {
		t.OnError(err)
	}
}

// restore replaces the state with that of a snapshot and applies the records collected after
// it. It does nothing if the state already includes the snapshot's offsets. The caller holds
// mu.
func (t *Tail) restore(upto int64, state []byte) error {
	if upto <= t.applied.Load() {
		return nil
	}
	if err := t.Load(state); err != nil {
		return errors.Wrap(err, "Tail.restore")
	}
	t.applied.Store(upto)
	t.Observe(upto)
	t.clearRing()
	if t.gap == nil {
		return nil
	}
	g := t.gap
	for {
		raw, ok := g.records[t.applied.Load()+1]
		if !ok {
			break
		}
		t.applyRecord(t.applied.Load()+1, raw)
	}
	if g.newest <= t.applied.Load() {
		t.gap = nil
	}

	return nil
}

// Recent returns up to max applied records, starting at an offset, from memory. ok is
// false if one of them is no longer in memory.
func (t *Tail) Recent(from int64, max int) (records [][]byte, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if from > t.applied.Load() {
		return nil, true
	}
	for o := from; o <= t.applied.Load() && len(records) < max; o++ {
		raw, found := t.ring[o]
		if !found {
			return nil, false
		}
		records = append(records, raw)
	}

	return records, true
}

// Snapshot returns the encoded state and the last offset that it includes.
func (t *Tail) Snapshot() (upto int64, state []byte, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	state, err = t.Dump()

	return t.applied.Load(), state, err
}

// Restore replaces the state with a peer's state if the peer's is newer.
func (t *Tail) Restore(upto int64, state []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.restore(upto, state)
}

// SplitSnapshot splits a snapshot into records for the log.
func SplitSnapshot(id string, upto int64, state []byte) ([][]byte, error) {
	parts := (len(state) + snapshotChunk - 1) / snapshotChunk
	var out [][]byte
	for i := range parts {
		end := min(len(state), (i+1)*snapshotChunk)
		p := snapshotPart{ID: id, Upto: upto, Part: i, Parts: parts, Data: state[i*snapshotChunk : end]}
		raw, err := json.Marshal(snapshotRecord{Snap: &p})
		if err != nil {
			return nil, errors.Wrap(err, "Parts")
		}
		out = append(out, raw)
	}

	return out, nil
}

// parseSnapshotPart returns the part of a snapshot that a record contains, or nil if it
// contains none.
func parseSnapshotPart(raw []byte) *snapshotPart {
	if len(raw) < 8 || string(raw[:8]) != `{"snap":` {
		return nil
	}
	var r snapshotRecord
	if json.Unmarshal(raw, &r) != nil {
		return nil
	}

	return r.Snap
}

func joinParts(parts map[int][]byte, n int) []byte {
	var b []byte
	for i := range n {
		b = append(b, parts[i]...)
	}

	return b
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
