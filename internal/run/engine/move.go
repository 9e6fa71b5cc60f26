package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/journal"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/lead"
)

// move moves the journal to another partition if that is due, with the records of an append to the
// present one that has had no answer for a time. If a partition does not take it, the next one is
// tried. It returns true if that append is settled: the records are durable in the new partition, or
// it is not known whether the move was committed.
func (j *journalState) move(ctx context.Context, records []store.Record, stalled time.Duration) (outcome, bool) {
	if !j.changing.TryLock() {
		return 0, false
	}
	defer j.changing.Unlock()
	for ctx.Err() == nil {
		to, due, why := journal.Target(j.state(records, stalled))
		if !due {
			j.logNotMoved(why)

			break
		}
		if outcome, settled := j.moveTo(ctx, to, records); settled {
			return outcome, true
		}
	}

	return 0, false
}

// moveTo is like move, for a given partition.
func (j *journalState) moveTo(ctx context.Context, to int, records []store.Record) (outcome, bool) {
	began, from := j.e.SinceBoot(), j.at.number
	j.e.mu.Lock()
	p := j.partition(to)
	j.e.mu.Unlock()
	snapshot := j.snapshot(records)
	if err := j.copyTo(ctx, p, snapshot); err != nil {
		j.triedAt[to] = j.e.SinceBoot()
		j.e.Log.Warn().Str("event", "journal-not-moved").Int("from", from).Int("to", to).Str("why", "partition did not take it").Err(err).Msg("")
		if errors.Is(err, store.ErrFenced) {
			j.e.loseLease("store")
		}

		return 0, false
	}
	if err := j.commit(ctx, p, records); err != nil {
		j.ended = true
		j.e.Log.Warn().Str("event", "journal-not-moved").Int("from", from).Int("to", to).Str("why", "lease ended").Err(err).Msg("")

		return stopped, true
	}
	after := j.e.SinceBoot() - began
	j.e.Count("journal_moves", 1)
	j.e.Observe("journal_move_seconds", after)
	j.e.Log.Info().Str("event", "journal-moved").Int("from", from).Int("to", to).Int("records", len(snapshot)).
		Int("bytes", store.Size(snapshot...)).Dur("after", after).Msg("")

	return appended, true
}

// returnHome moves the journal back to partition 0 if that is due.
func (j *journalState) returnHome(ctx context.Context) {
	if j.at.number != 0 && !j.ended {
		j.move(ctx, nil, 0)
	}
}

// state returns the state on which the decision depends.
func (j *journalState) state(records []store.Record, stalled time.Duration) journal.State {
	allRead := j.e.AllReadMoved == nil || j.e.AllReadMoved()
	now := j.e.SinceBoot()
	tried := map[int]time.Duration{}
	for number, at := range j.triedAt {
		tried[number] = now - at
	}
	j.e.mu.Lock()
	defer j.e.mu.Unlock()
	unclean := maps.Clone(j.unclean)
	for number := range min(j.e.JournalParts, journal.MaxParts) {
		if !j.separate[pair(j.at.number, number)] {
			unclean[number] = true
		}
	}

	return journal.State{
		Part: j.at.number, Parts: j.e.JournalParts, Stalled: stalled, Transfer: timeoutFor(records) - appendTimeout,
		LeaseAge: j.e.Lease.Age(), SinceMove: now - j.movedAt, Unclean: unclean, Tried: tried, AllRead: allRead,
		Unreadable: len(j.e.unreadableJobs)+len(j.e.held) > 0, TooLarge: j.records == nil,
	}
}

// logNotMoved logs why the journal is not moved, once for each reason in a row.
func (j *journalState) logNotMoved(why journal.Reason) {
	if why != "" && why != j.reason {
		j.e.Log.Warn().Str("event", "journal-not-moved").Int("from", j.at.number).Str("why", string(why)).Msg("")
	}
	j.reason = why
}

// snapshot returns the records of the journal, changed by those of an append.
func (j *journalState) snapshot(records []store.Record) []store.Record {
	values := maps.Clone(j.records)
	for _, r := range records {
		if values[r.Key] = r.Value; len(r.Value) == 0 {
			delete(values, r.Key)
		}
	}
	all := make([]store.Record, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		all = append(all, store.Record{Key: key, Value: values[key]})
	}

	return all
}

// copyTo writes a snapshot to a partition that holds nothing else. The partition is checked for that
// after earlier planners have been fenced there, so that no record of an earlier journal can return.
func (j *journalState) copyTo(ctx context.Context, p *partition, snapshot []store.Record) error {
	page, err := j.open(ctx, p)
	if err != nil {
		return err
	}
	if len(page.Records) > 0 || page.More {
		j.setUnclean(p, true)

		return errNotClean
	}
	for _, group := range j.groups(snapshot) {
		if err := j.appendTo(ctx, p, group); err != nil {
			j.setUnclean(p, true)

			return err
		}
	}

	return nil
}

// commit names the partition in the lease record and makes it that of the journal. From then on only
// it counts.
func (j *journalState) commit(ctx context.Context, p *partition, records []store.Record) error {
	from := j.at
	j.e.mu.Lock()
	unclean := maps.Clone(j.unclean)
	j.e.mu.Unlock()
	unclean[from.number] = true
	next := lead.Journal{Part: p.number, Unclean: slices.Sorted(maps.Keys(unclean))}
	if err := j.e.Lease.ChangeJournal(ctx, next); err != nil {
		return err
	}
	from.unresolved = records
	j.at, j.movedAt = p, j.e.SinceBoot()
	j.setUnclean(from, true)
	j.note(records)

	return nil
}
