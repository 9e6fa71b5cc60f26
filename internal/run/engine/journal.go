package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/journal"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/lead"
	"sesameyoke/internal/run/timer"
)

const (
	// Time after which a partition that is to take the journal, or is to be cleaned, counts as silent.
	partTimeout = time.Second
	// Size of the largest journal that is moved. It takes seconds on the link of a weak VM, about as long
	// as an outage, and its records are held in memory.
	maxMoveBytes = 8 << 20
	// Interval between the pages of old records that are deleted.
	cleanInterval = time.Second
)

// errNotClean means that a partition holds records of an earlier journal.
var errNotClean = errors.New("partition holds records of an earlier journal")

type (
	// journalState tracks the partitions of JobsTopic. The journal is the one of them that holds the
	// planner's state, as the lease record says; the others count for nobody.
	journalState struct {
		e        *Engine
		at       *partition // that of the journal; used by the writer only
		parts    map[int]*partition
		unclean  map[int]bool          // partitions that may hold records of an earlier journal
		separate map[[2]int]bool       // pairs of partitions, the lower one first, that are known not to be the same log
		changing sync.Mutex            // held while the journal in the lease record is being changed
		records  map[string][]byte     // durable records of the journal; nil if it cannot be moved
		bytes    int                   // size of these records
		triedAt  map[int]time.Duration // when a partition did not take the journal
		movedAt  time.Duration         // when the journal was moved, or this planner took over
		reason   journal.Reason        // logged newest for a journal that was not moved
		ended    bool                  // a move may have been committed, but the lease ended before that was known
	}

	// partition holds the state of this planner's appends to a partition.
	partition struct {
		number     int
		next       int64          // sequence number of the next append
		unresolved []store.Record // content of that append if it may have been executed already
	}
)

func (j *journalState) init(e *Engine) {
	j.e, j.at = e, &partition{}
	j.parts, j.unclean, j.separate = map[int]*partition{0: j.at}, map[int]bool{}, map[[2]int]bool{}
	j.triedAt = map[int]time.Duration{}
}

// takeOver selects the partition that the lease record names.
func (j *journalState) takeOver() {
	named := j.e.Lease.Journal()
	j.at, j.movedAt = j.partition(named.Part), j.e.SinceBoot()
	for _, number := range named.Unclean {
		j.unclean[number] = true
	}
}

// load notes the records that the journal holds at the takeover.
func (j *journalState) load(records []store.Record) {
	if j.e.JournalParts > 1 {
		j.records = map[string][]byte{}
		j.note(records)
	}
}

// note notes records that have been appended to the journal.
func (j *journalState) note(records []store.Record) {
	if j.records == nil {
		return
	}
	for _, r := range records {
		if old, ok := j.records[r.Key]; ok {
			j.bytes -= store.Size(store.Record{Key: r.Key, Value: old})
			delete(j.records, r.Key)
		}
		if len(r.Value) > 0 {
			j.bytes += store.Size(r)
			j.records[r.Key] = r.Value
		}
	}
	if j.bytes > maxMoveBytes {
		j.records = nil
		j.e.Log.Info().Str("event", "journal-not-movable").Int("bytes", j.bytes).Msg("")
	}
}

// partition returns a partition. The caller holds the engine's lock, or no goroutine runs yet.
func (j *journalState) partition(number int) *partition {
	if j.parts[number] == nil {
		j.parts[number] = &partition{number: number}
	}

	return j.parts[number]
}

// setUnclean notes whether a partition may hold records of an earlier journal.
func (j *journalState) setUnclean(p *partition, unclean bool) {
	j.e.mu.Lock()
	defer j.e.mu.Unlock()
	if unclean {
		j.unclean[p.number] = true
	} else {
		delete(j.unclean, p.number)
	}
}

// send makes one attempt at an append to a partition. It returns nil if this or an earlier attempt was
// executed: then the store expects the sequence number after this one.
func (j *journalState) send(ctx context.Context, p *partition, records []store.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := j.e.Store.Append(ctx, store.Append{
		Topic: JobsTopic, Part: p.number, Records: records, ExpectedEnd: -1, Producer: producer, Epoch: j.e.Lease.Token, Sequence: p.next,
	})
	var seq *store.SequenceError
	if errors.As(err, &seq) && seq.Expected == p.next+1 {
		return nil
	}

	return err
}

// appendTo appends records to a partition other than the journal's. An append there whose outcome is
// not known comes first and unchanged: the store takes the next one for a copy of it.
func (j *journalState) appendTo(ctx context.Context, p *partition, records []store.Record) error {
	if len(p.unresolved) > 0 {
		if err := j.resolve(ctx, p); err != nil {
			return err
		}
	}
	if len(records) == 0 {
		return nil
	}
	p.unresolved = records

	return j.resolve(ctx, p)
}

// resolve repeats the unresolved append to a partition until its outcome is known or the partition
// counts as silent.
func (j *journalState) resolve(ctx context.Context, p *partition) error {
	limit := partTimeout + time.Duration(store.Size(p.unresolved...))*time.Second/slowLink
	until := j.e.SinceBoot() + limit
	for {
		err := j.send(ctx, p, p.unresolved, limit/2)
		var seq *store.SequenceError
		switch {
		case err == nil:
			p.unresolved, p.next = nil, p.next+1

			return nil
		case errors.Is(err, store.ErrInvalid):
			p.unresolved = nil

			return err
		case errors.Is(err, store.ErrFenced), errors.As(err, &seq), ctx.Err() != nil, j.e.SinceBoot() >= until:
			return err
		}
		timer.Pause(ctx, appendPause)
	}
}

// open makes a partition one that only this planner can write to, and returns its first page when no
// earlier append can change it any more: one of an earlier planner fails, and that of this one is
// resolved.
func (j *journalState) open(ctx context.Context, p *partition) (store.Page, error) {
	if err := j.send(ctx, p, nil, partTimeout); err != nil {
		return store.Page{}, errors.Wrap(err, "fence earlier planners")
	}
	if err := j.appendTo(ctx, p, nil); err != nil {
		return store.Page{}, errors.Wrap(err, "resolve the newest append")
	}

	return j.firstPage(ctx, p.number)
}

// firstPage returns the first page of the newest records in a partition.
func (j *journalState) firstPage(ctx context.Context, number int) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	page, err := j.e.Store.Newest(ctx, JobsTopic, number, "")

	return page, errors.Wrapf(err, "read partition %d", number)
}

// compareParts finds out which partitions are logs of their own. A store that ignores the partition of
// a call would have the journal itself deleted as records of an earlier one.
func (j *journalState) compareParts(ctx context.Context) {
	at := j.e.Lease.Journal().Part
	for number := range min(j.e.JournalParts, journal.MaxParts) {
		if number == at || j.isSeparate(at, number) {
			continue
		}
		if separate, err := j.compare(ctx, at, number); err == nil && separate {
			j.e.mu.Lock()
			j.separate[pair(at, number)] = true
			j.e.mu.Unlock()
		}
	}
}

// compare reports whether two partitions are certainly not the same log. The end of a log never
// falls, so if they are the same, the end read of one lies between two that are read of the other.
func (j *journalState) compare(ctx context.Context, at, number int) (bool, error) {
	var ends []int64
	for _, n := range []int{at, number, at} {
		page, err := j.firstPage(ctx, n)
		if err != nil {
			return false, err
		}
		ends = append(ends, page.End)
	}

	return ends[1] < ends[0] || ends[1] > ends[2], nil
}

func (j *journalState) isSeparate(a, b int) bool {
	j.e.mu.Lock()
	defer j.e.mu.Unlock()

	return j.separate[pair(a, b)]
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// clean deletes old records until the context ends.
func (j *journalState) clean(ctx context.Context) {
	for ctx.Err() == nil {
		j.compareParts(ctx)
		j.e.mu.Lock()
		unclean := slices.Sorted(maps.Keys(j.unclean))
		j.e.mu.Unlock()
		for _, number := range unclean {
			if !j.isSeparate(j.e.Lease.Journal().Part, number) {
				continue
			}
			timer.Pause(ctx, cleanInterval)
			j.cleanPage(ctx, number)
		}
		timer.Pause(ctx, cleanInterval)
		j.publishCleaned(ctx)
		j.e.writer.wakeWriter() // the journal may be due to return to partition 0
	}
}

// cleanPage deletes a page of the old records in a partition. Without any, the partition is clean. One
// that does not answer is left for the next time.
func (j *journalState) cleanPage(ctx context.Context, number int) {
	j.e.mu.Lock()
	p := j.partition(number)
	j.e.mu.Unlock()
	deleted, more, err := j.deletePage(ctx, p)
	switch {
	case ctx.Err() != nil || errors.Is(err, store.ErrUnknown):
	case errors.Is(err, store.ErrFenced):
		j.e.loseLease("store")
	case err != nil:
		j.e.Log.Warn().Str("event", "journal-not-cleaned").Int("part", number).Err(err).Msg("")
	case deleted == 0 && !more:
		j.setUnclean(p, false)
		j.e.Log.Info().Str("event", "journal-cleaned").Int("part", number).Msg("")
	}
}

// deletePage deletes the records on the first page of a partition. It returns how many there were, and
// whether there are further pages.
func (j *journalState) deletePage(ctx context.Context, p *partition) (deleted int, more bool, err error) {
	page, err := j.open(ctx, p)
	if err != nil {
		return 0, false, err
	}
	deletions := make([]store.Record, 0, len(page.Records))
	for _, r := range page.Records {
		deletions = append(deletions, store.Record{Key: r.Key})
	}
	for _, group := range j.groups(deletions) {
		if err := j.appendTo(ctx, p, group); err != nil {
			return 0, false, err
		}
	}

	return len(deletions), page.More, nil
}

// groups divides records into appends.
func (j *journalState) groups(records []store.Record) [][]store.Record {
	limit := min(maxGroupBytes, j.e.RequestBytes)
	var all [][]store.Record
	size := 0
	for _, r := range records {
		if size += store.Size(r); len(all) == 0 || size > limit {
			all, size = append(all, nil), store.Size(r)
		}
		all[len(all)-1] = append(all[len(all)-1], r)
	}

	return all
}

// publishCleaned removes cleaned partitions from the lease record, unless a move is under way.
func (j *journalState) publishCleaned(ctx context.Context) {
	if !j.changing.TryLock() {
		return
	}
	defer j.changing.Unlock()
	recorded := j.e.Lease.Journal()
	next := lead.Journal{Part: recorded.Part}
	j.e.mu.Lock()
	for _, number := range recorded.Unclean {
		if j.unclean[number] {
			next.Unclean = append(next.Unclean, number)
		}
	}
	j.e.mu.Unlock()
	if len(next.Unclean) < len(recorded.Unclean) {
		// An error means that the lease has ended. Its successor cleans the partitions again.
		_ = j.e.Lease.ChangeJournal(ctx, next)
	}
}
