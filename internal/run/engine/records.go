package engine

import (
	"slices"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/code"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

// records returns the values of the job's state.
func (e *Engine) records(j *job) ([]store.Record, error) {
	var all []store.Record
	if !j.durable && !j.handin.open {
		b, err := work.Encode(j.Job)
		if err != nil {
			return nil, errors.Wrapf(err, "job %q", j.ID)
		}
		all = append(all, store.Record{Key: work.Key(work.OpenRecord, j.ID), Value: b})
	}
	if len(j.Occurs) > 0 || j.Phase != work.Queued || j.handin.open {
		b, err := e.encodeProgress(j)
		if err != nil {
			return nil, errors.Wrapf(err, "progress of job %q", j.ID)
		}
		all = append(all, store.Record{Key: work.Key(work.ProgressRecord, j.ID), Value: b})
	}
	r, err := j.crashRecord()
	if err != nil {
		return nil, errors.Wrapf(err, "crashes of job %q", j.ID)
	}
	if len(r.Value) > 0 || j.crashesStored {
		all = append(all, r)
	}

	return all, nil
}

// crashRecord returns the record of the crashes under tasks that may be started again; without a
// value if there are none.
func (j *job) crashRecord() (store.Record, error) {
	r := store.Record{Key: work.Key(work.CrashRecord, j.ID)}
	j.crashes.DropEnded(j.Progress)
	if len(j.crashes) == 0 || j.oversize {
		return r, nil
	}
	var err error
	r.Value, err = j.crashes.Encode()

	return r, err
}

// encodeProgress returns the value of the job's progress. It is in the form that each VM can read, unless
// that is larger than a record.
func (e *Engine) encodeProgress(j *job) ([]byte, error) {
	p := j.durableProgress()
	if p.Compacts() && e.AllReadCompact != nil && !e.AllReadCompact() {
		if b, err := work.Encode(p); err != nil || len(b)+1+len(work.Key(work.ProgressRecord, j.ID)) <= e.RecordBytes {
			return b, err
		}
	}

	return p.EncodeCompact()
}

// durableProgress returns the progress of the job as it is stored.
func (j *job) durableProgress() work.Progress {
	switch {
	case j.oversize:
		return j.WithoutTasks()
	case j.unsaved:
		return j.WithoutCheckpoints()
	}

	return j.Progress
}

// recordsOf returns the values of a job's state, each of which can be stored. The store would refuse
// a larger one for good, with all others of the same append. If the checkpoints are what is too
// large, they are left out: later planners start the tasks from their beginning. Otherwise the
// job fails. So it does if its state cannot be encoded: its runs would go on unrecorded.
func (e *Engine) recordsOf(j *job) []store.Record {
	all, err := e.records(j)
	if err == nil && !slices.ContainsFunc(all, e.tooLarge) {
		return all
	}
	if err == nil && !j.unsaved {
		j.unsaved = true
		e.Log.Warn().Str("event", "checkpoints-not-stored").Str("id", j.ID).Int("limit", e.maxValue()).Msg("")

		return e.recordsOf(j)
	}
	j.oversize = true
	if !j.Phase.Final() {
		e.Log.Error().Str("event", "job-failed").Str("id", j.ID).Int("code", int(code.TooLarge)).Int("limit", e.maxValue()).Err(err).Msg("")
		e.endJob(j, work.Failed)
	}
	if all, err = e.records(j); err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("id", j.ID).Err(err).Msg("")
	}

	return slices.DeleteFunc(all, func(r store.Record) bool {
		if e.tooLarge(r) {
			e.logTooLarge(r)
		}

		return e.tooLarge(r)
	})
}

// tooLarge reports whether a value cannot be stored, not even in parts.
func (e *Engine) tooLarge(r store.Record) bool {
	return len(r.Key) > store.MaxKeyBytes || (r.Size() > e.RecordBytes && len(r.Value) > e.maxValue())
}

// logTooLarge logs that a value is not written because the store would refuse it for good.
func (e *Engine) logTooLarge(r store.Record) {
	e.Log.Error().Str("event", "record-too-large").Str("key", r.Key).Int("code", int(code.TooLarge)).Int("bytes", r.Size()).
		Int("limit", e.maxValue()).Msg("")
}
