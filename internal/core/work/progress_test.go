package work_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
)

// recurring returns a job and its progress: all occurrences but the last ones have ended, and
// these have as many tasks as may be open.
func recurring(times, tasks, open int) (work.Job, work.Progress) {
	j := work.Job{ID: "5c0e7a21d94b36f8", Times: times, Interval: 1000, Steps: []work.Step{{Count: tasks}}}
	p := work.Progress{Phase: work.Running, Started: true, Occurs: make([]work.Occurrence, times)}
	for i := range p.Occurs {
		if i < times-open {
			p.Occurs[i].Ended = true

			continue
		}
		p.Occurs[i] = work.NewOccurrence(&j)
		for k := range p.Occurs[i].Steps[0] {
			name := strings.Repeat("k", 40)
			p.Occurs[i].Steps[0][k] = work.TaskState{
				Phase: work.Assigned, Run: 9999, Worker: name, Incarnation: 1 << 41, Failures: 9, LastFailedRun: 9999, Saved: name,
			}
		}
	}

	return j, p
}

// TestProgressSize encodes the progress of jobs that recur often, with as many open tasks as there
// may be. It guards against records that grow until the store refuses them.
func TestProgressSize(t *testing.T) {
	most := work.MaxOpenTasks(work.DefaultRecordBytes)
	for _, times := range []int{1, 100, 1000, 1001, 10000, 100000} {
		for _, tasks := range []int{1, 7, 200, most} {
			j, p := recurring(times, tasks, min(times, most/tasks))
			b, err := p.EncodeCompact()
			require.NoError(t, err)
			require.Less(t, len(b)+100, work.DefaultRecordBytes, "%d times %d tasks", times, tasks)
			read, err := work.DecodeProgress(b, &j)
			require.NoError(t, err)
			require.Equal(t, p, read)
		}
	}
}

// TestOtherProgress decodes records of many occurrences that do not match the job.
func TestOtherProgress(t *testing.T) {
	_, p := recurring(2000, 2, 3)
	b, err := p.EncodeCompact()
	require.NoError(t, err)
	for _, j := range []work.Job{
		{Times: 1999, Steps: []work.Step{{Count: 2}}}, {Times: 2000, Steps: []work.Step{{Count: 3}}}, {Times: 2000, Steps: []work.Step{{Count: 2}, {Count: 1}}},
	} {
		_, err = work.DecodeProgress(b, &j)
		require.Error(t, err)
	}
	_, err = work.DecodeProgress(nil, &work.Job{})
	require.Error(t, err)
}

// BenchmarkProgress reports the size of the record of a job with 4 tasks, two occurrences of which
// are open, against the number of its repetitions.
func BenchmarkProgress(b *testing.B) {
	for _, times := range []int{1, 100, 10000, 100000} {
		b.Run(fmt.Sprint(times), func(b *testing.B) {
			_, p := recurring(times, 4, min(2, times))
			size := 0
			for b.Loop() {
				record, err := p.EncodeCompact()
				require.NoError(b, err)
				size = len(record)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
