package engine

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
)

const (
	partsRecordBytes  = 9000
	partsRequestBytes = 36000
)

// partsEngine returns an engine with a store that accepts records and appends of the given sizes.
func partsEngine(recordBytes, requestBytes int) *Engine {
	return New(Config{
		RecordBytes: recordBytes, RequestBytes: requestBytes, Log: &log.Logger{Level: log.PanicLevel}, Count: func(string, int64) {},
		Now: time.Now, SinceBoot: func() time.Duration { return time.Hour }, Policy: func() *policy.Policy { return nil },
	})
}

// TestParts writes values of a key that grow and shrink. It guards against a value that is read with
// parts of an older one, or without some of its parts.
func TestParts(t *testing.T) {
	counts, topic := partCounts{}, map[string]store.Record{}
	key := work.Key(work.ProgressRecord, "5c0e7a21d94b36f8")
	for i, size := range []int{10, 30000, 9000 - 1 - len(key), 9000, 20000, 1, 18000, 0, 50000, 0} {
		value := []byte(strings.Repeat(string(rune('a'+i)), size))
		all, err := counts.split(store.Record{Key: key, Value: value}, partsRecordBytes)
		require.NoError(t, err)
		counts.note(all)
		records := make([]store.Record, 0, len(topic))
		for _, r := range all {
			require.LessOrEqual(t, r.Size(), partsRecordBytes)
			if topic[r.Key] = r; len(r.Value) == 0 {
				delete(topic, r.Key)
			}
		}
		for _, r := range topic {
			records = append(records, r)
		}
		joined, found := joinParts(records)
		require.Equal(t, counts, found)
		if size == 0 {
			require.Empty(t, joined)

			continue
		}
		require.Equal(t, []store.Record{{Key: key, Value: value}}, joined)
		if len(records) > 1 {
			delete(topic, partKey(key, 1))
			joined, _ = joinParts([]store.Record{topic[key], topic[partKey(key, 0)]})
			require.Equal(t, byte(partsMark), joined[0].Value[0], "a value without one of its parts")
			_, err = work.DecodeProgress(joined[0].Value, &work.Job{})
			require.Error(t, err)
		}
	}
	_, err := splitValue(store.Record{Key: strings.Repeat("k", store.MaxKeyBytes), Value: make([]byte, 9000)}, partsRecordBytes)
	require.ErrorIs(t, err, ErrTooLarge)
}

// TestLeftOutRecords guards against values that can never be stored and hold up all others: they are
// not scheduled, and whoever waits for them is told.
func TestLeftOutRecords(t *testing.T) {
	e := partsEngine(partsRecordBytes, partsRequestBytes)
	j := &job{Job: work.Job{ID: "j", Spec: strings.Repeat("s", partsRequestBytes)}}
	j.Phase = work.Failed
	records := e.recordsOf(j)
	require.Len(t, records, 1)
	require.Equal(t, work.Key(work.ProgressRecord, "j"), records[0].Key)
	for _, r := range []store.Record{{Key: "k", Value: make([]byte, partsRequestBytes)}, {Key: strings.Repeat("k", store.MaxKeyBytes+1)}} {
		var got error
		e.writer.putRecord(r.Key, r.Value, func(err error) { got = err })
		require.ErrorIs(t, got, ErrTooLarge)
		require.Empty(t, e.writer.others)
	}
}

// TestProgressFits encodes the progress of jobs with as many open tasks as there may be, on workers
// with the longest names that a store's keys allow. It guards against a job that fails because its
// progress can't be stored.
func TestProgressFits(t *testing.T) {
	name := strings.Repeat("k", store.MaxKeyBytes)
	for _, recordBytes := range []int{work.DefaultRecordBytes, partsRecordBytes} {
		e := partsEngine(recordBytes, 8*recordBytes)
		for _, steps := range []int{1, 64} {
			tasks := work.MaxOpenTasks(recordBytes) / steps
			j := &job{Job: work.Job{ID: "5c0e7a21d94b36f8"}, durable: true}
			for range steps {
				j.Steps = append(j.Steps, work.Step{Count: tasks})
			}
			j.Phase, j.Occurs = work.Running, []work.Occurrence{work.NewOccurrence(&j.Job)}
			for _, step := range j.Occurs[0].Steps {
				for i := range step {
					step[i] = work.TaskState{
						Phase: work.Assigned, Run: math.MaxInt64, Worker: name, Incarnation: math.MaxInt64, Failures: math.MaxInt32, LastFailedRun: math.MaxInt64, Saved: name,
					}
				}
			}
			for _, r := range e.recordsOf(j) {
				all, err := e.writer.parts.split(r, recordBytes)
				require.NoError(t, err)
				require.LessOrEqual(t, store.Size(all...), e.RequestBytes)
				require.Contains(t, all[0].Key, j.ID)
			}
			require.False(t, j.oversize, "%d bytes, %d steps", recordBytes, steps)
		}
	}
}

// TestProgressForAll encodes the progress of a job with many occurrences while not all VMs read the
// compact form. It guards against a record that a planner of an earlier version takes for none.
func TestProgressForAll(t *testing.T) {
	const limit = work.DefaultRecordBytes / 3 // with 3 bytes for each occurrence that has ended
	for _, c := range []struct {
		occurrences      int
		readers, compact bool
	}{
		{1000, true, false}, {1000, false, false}, {1001, true, true}, {1001, false, false}, {limit - 100, false, false}, {limit + 100, false, true},
	} {
		e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
		e.AllReadCompact = func() bool { return c.readers }
		j := &job{Job: work.Job{ID: "j", Times: c.occurrences, Interval: 1, Steps: []work.Step{{Count: 1}}}, durable: true}
		j.Phase, j.Occurs = work.Running, make([]work.Occurrence, c.occurrences)
		for i := range j.Occurs {
			j.Occurs[i].Ended = true
		}
		records := e.recordsOf(j)
		require.Len(t, records, 1)
		var earlier work.Progress // versions before the compact form decode a record so
		require.Equal(t, c.compact, cbor.Unmarshal(records[0].Value, &earlier) != nil, "%+v", c)
		p, err := work.DecodeProgress(records[0].Value, &j.Job)
		require.NoError(t, err)
		require.Equal(t, j.Progress, p)
	}
}

// TestNothingToWrite schedules a job whose state has no record that differs from that in the store. It
// guards against an append without records, after which the next one would be out of sequence.
func TestNothingToWrite(t *testing.T) {
	e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	e.Store = &store.Store{Append: func(context.Context, store.Append) (int64, error) {
		t.Error("call to the store")

		return 0, nil
	}}
	called := false
	e.writer.put(&job{Job: work.Job{ID: "j"}, durable: true}, func(err error) { called = err == nil })
	e.writer.write(t.Context(), e.writer.nextGroup())
	require.True(t, called)
	require.Zero(t, e.journal.at.next)
}

// TestRefusedJobNotStarted lets the store refuse a job while its tasks are placed. It guards against a
// start of a job whose caller is told that it wasn't accepted.
func TestRefusedJobNotStarted(t *testing.T) {
	e := partsEngine(work.DefaultRecordBytes, store.DefaultRequestBytes)
	j := &job{Job: work.Job{ID: "j", Steps: []work.Step{{Count: 1}}}, doneRunTimes: map[occurStep]runTimeSum{}}
	e.keep(j)
	e.writer.put(j, func(err error) { require.ErrorIs(t, err, ErrTooLarge) })
	g := e.writer.nextGroup()
	j.Phase, j.Occurs = work.Running, []work.Occurrence{work.NewOccurrence(&j.Job)}
	j.Occurs[0].Steps[0][0] = work.TaskState{Phase: work.Assigned, Run: 1}
	u := &unit{name: unitName(j, 0, 0, 0), job: j, run: 1}
	m := &member{unit: u, worker: e.newWorker(target.Worker{ID: "k"})}
	e.units[u.name] = u
	e.reserve(m)
	e.writer.put(j, func(error) { e.starts.push(m, 0) })
	refusals, ok := e.writer.writeApart(t.Context(), g.batches)
	require.True(t, ok)
	e.writer.settleApart(g.callbacks, refusals)
	e.writer.write(t.Context(), e.writer.nextGroup())
	require.Equal(t, released, m.phase)
	require.Empty(t, e.jobs)
}
