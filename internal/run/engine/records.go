package engine

import (
	"slices"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

// records returns the records of the job's state.
func (j *job) records() ([]store.Record, error) {
	var all []store.Record
	if !j.durable && !j.handin.open {
		b, err := work.Encode(j.Job)
		if err != nil {
			return nil, errors.Wrapf(err, "job %q", j.ID)
		}
		all = append(all, store.Record{Key: work.Key(work.OpenRecord, j.ID), Value: b})
	}
	if len(j.Occurs) > 0 || j.Phase != work.Queued || j.handin.open {
		b, err := j.durableProgress().Encode()
		if err != nil {
			return nil, errors.Wrapf(err, "progress of job %q", j.ID)
		}
		all = append(all, store.Record{Key: work.Key(work.ProgressRecord, j.ID), Value: b})
	}
	if len(j.crashes) > 0 && !j.oversize {
		b, err := j.crashes.Encode()
		if err != nil {
			return nil, errors.Wrapf(err, "crashes of job %q", j.ID)
		}
		all = append(all, store.Record{Key: work.Key(work.CrashRecord, j.ID), Value: b})
	}

	return all, nil
}

// durableProgress returns the progress of the job as it is stored.
func (j *job) durableProgress() work.Progress {
	p := j.Progress
	if j.oversize {
		p.Occurs = nil
	}

	return p
}

// recordsOf returns the records of a job's state, each of which the store accepts. The store would
// refuse a larger one for good, with all others of the same append: the job fails. So it does if its
// state cannot be encoded: otherwise its runs would go on unrecorded.
func (e *Engine) recordsOf(j *job) []store.Record {
	tooLarge := func(r store.Record) bool { return r.Size() > e.RecordBytes }
	all, err := j.records()
	if err == nil && !slices.ContainsFunc(all, tooLarge) {
		return all
	}
	j.oversize = true
	if !j.Phase.Final() {
		e.Log.Error().Str("event", "job-failed").Str("id", j.ID).Int("code", int(code.TooLarge)).Int("limit", e.RecordBytes).Err(err).Msg("")
		e.endJob(j, work.Failed)
	}
	if all, err = j.records(); err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("id", j.ID).Err(err).Msg("")
	}

	return slices.DeleteFunc(all, func(r store.Record) bool {
		if tooLarge(r) {
			e.logTooLarge(r)
		}

		return tooLarge(r)
	})
}

// logTooLarge logs that a record is not written because the store would refuse it for good.
func (e *Engine) logTooLarge(r store.Record) {
	e.Log.Error().Str("event", "record-too-large").Str("key", r.Key).Int("code", int(code.TooLarge)).Int("bytes", r.Size()).
		Int("limit", e.RecordBytes).Msg("")
}
