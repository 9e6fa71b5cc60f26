package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/standin/fleet"
)

const (
	copyJob      = "9be1440c7d3a5f26"
	copyAttempts = 3                       // of the route
	firstLength  = 9 * time.Second         // of the first run, which fails
	copyEnd      = 7500 * time.Millisecond // from the start of the first run until its copy fails
	killAfter    = 600 * time.Millisecond  // from the end of the copy until the planner is killed
	noteTime     = time.Second             // of the rule, for steps with speculative
	copyTimeout  = 60 * time.Second
)

// copies kills the planner between the failures of a run and of its copy. The task may not start again
// after copyAttempts of its runs have failed.
func copies(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 12, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	var (
		mu    sync.Mutex
		first time.Time
	)
	d.platform.Fleet.SetOutcome(func(_ work.Task, run int64, _ string) (time.Duration, target.How) {
		mu.Lock()
		defer mu.Unlock()
		switch run {
		case 1:
			first = time.Now()

			return firstLength, target.Failed
		case 2:
			return max(time.Second, copyEnd-time.Since(first)), target.Failed
		}

		return time.Second, target.Failed
	})
	d.publish(batch(false))
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	j := work.Job{ID: copyJob, Queue: "batch", Spec: "one task", Steps: []work.Step{
		{Count: 1, Need: work.Shape{CPU: 500, Memory: 256, Accelerators: 8}, Estimate: 2000, Speculative: true},
	}}
	d.platform.Fleet.RecordSubmission(j)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":500,"memMb":256,"gpu":8,"estimateMs":2000,"speculative":true}]}`, j.Spec)
	planner := d.planner()
	if status, _ := d.call(d.vms[0], "POST", "/batch/"+copyJob, "key-of-t1", []byte(body)); status != 200 {
		return "", fmt.Errorf("job not accepted: %d", status)
	}
	killed, acked := false, map[int64]time.Time{}
	for until := time.Now().Add(copyTimeout); time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
		runs := d.runsOf(copyJob)
		for _, r := range runs {
			if r.Run == 2 && trouble && !killed && !r.To.IsZero() && time.Since(r.To) >= killAfter {
				planner.kill()
				killed = true
				go func() {
					time.Sleep(2 * time.Second)
					_ = planner.start()
				}()
			}
		}
		for _, r := range runs {
			if _, known := acked[r.Run]; r.Acked && !known {
				acked[r.Run] = time.Now()
				d.notef("the end of run %d has been acknowledged", r.Run)
			}
		}
		if broken := overBudget(runs, acked); broken != "" {
			return broken, nil
		}
		if time.Now().UnixMilli()%2000 < 50 {
			if _, state := d.call(d.others(planner)[1], "GET", "/batch/"+copyJob, "key-of-t1", nil); state == "{\"state\":\"failed\"}\n" {
				return "", nil
			}
		}
	}

	return "", fmt.Errorf("the job has not ended in %v", copyTimeout)
}

// overBudget tells of a start over noteTime after copyAttempts failed runs have been acknowledged.
func overBudget(runs []fleet.RunRecord, acked map[int64]time.Time) string {
	for _, r := range runs {
		failed := 0
		for _, before := range runs {
			if at, ok := acked[before.Run]; ok && before.How == target.Failed && r.From.Sub(at) > noteTime {
				failed++
			}
		}
		if failed >= copyAttempts {
			return fmt.Sprintf("BUDGET: run %d starts over %v after the ends of %d failed runs have been acknowledged", r.Run, noteTime, failed)
		}
	}

	return ""
}
