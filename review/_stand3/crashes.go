package main

import (
	"context"
	"fmt"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
)

const (
	crashJob     = "17d3c0a9e5b2846f"
	crashCount   = 5
	crashAge     = 4 * time.Second  // of a run when its worker crashes
	crashLength  = 12 * time.Second // of a run
	crashTimeout = 90 * time.Second
)

// crashes lets the workers of a sound job crash, one after the other, seconds after each start. The job may
// not be shown as failed: none of its runs has ended as failed.
func crashes(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 12, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	d.lengths(crashLength)
	d.publish(batch(false))
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	j := work.Job{ID: crashJob, Queue: "batch", Spec: "one task", Steps: []work.Step{
		{Count: 1, Need: work.Shape{CPU: 500, Memory: 256, Accelerators: 1}, Estimate: crashLength.Milliseconds()},
	}}
	if status, _ := d.submit(d.vms[0], "/batch/", "key-of-t1", j); status != 200 {
		return "", fmt.Errorf("job not accepted: %d", status)
	}
	until, done := time.Now().Add(crashTimeout), 0
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		runs := d.runsOf(crashJob)
		if trouble && len(runs) == done+1 && done < crashCount {
			if r := runs[done]; r.To.IsZero() && time.Since(r.From) >= crashAge {
				d.notef("%s: crashes under run %d and starts again at once", r.Worker, r.Run)
				d.platform.Fleet.Restart(r.Worker)
				done++
			}
		}
		if time.Now().UnixMilli()%2000 >= 100 {
			continue
		}
		_, body := d.call(d.vms[1], "GET", "/batch/"+crashJob, "key-of-t1", nil)
		switch body {
		case "{\"state\":\"completed\"}\n":
			return "", nil
		case "{\"state\":\"failed\"}\n":
			failed := 0
			for _, r := range d.runsOf(crashJob) {
				if r.How == target.Failed {
					failed++
				}
			}
			if failed == 0 {
				return fmt.Sprintf("LOST: the job is shown as failed after %d crashes of its workers, and none of its runs has ended as failed", done), nil
			}

			return "", fmt.Errorf("%d runs failed by themselves", failed)
		}
	}

	return "", fmt.Errorf("the job has not ended in %v", crashTimeout)
}
