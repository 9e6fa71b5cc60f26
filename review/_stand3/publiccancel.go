package main

import (
	"context"
	"fmt"
	"time"

	"sesameyoke/internal/core/work"
)

const (
	cancelTime = 3 * time.Second // cancel_ms of the site file
	taskLength = 9 * time.Second // longer than cancelTime and the takeover
	publicPath = "/batch/"
	publicJob  = "5c0e7a21d94b36f8"
)

// publicCancel cancels a job of a public queue just after the planner was killed. No task may start later
// than cancelTime after the answer.
func publicCancel(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 8, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	d.lengths(taskLength)
	d.publish(batch(true))
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	planner := d.planner()
	others := d.others(planner)
	if status, _ := d.submit(others[0], publicPath, "", twoSteps(publicJob)); status != 200 {
		return "", fmt.Errorf("job not accepted: %d", status)
	}
	time.Sleep(2 * time.Second)
	if n := len(d.runsOf(publicJob)); n != 1 {
		return "", fmt.Errorf("%d runs instead of 1", n)
	}
	if trouble {
		planner.kill()
		go func() {
			time.Sleep(2 * time.Second)
			_ = planner.start()
		}()
	}
	status, _ := d.call(others[1], "DELETE", publicPath+publicJob, "", nil)
	for i := 0; status != 200 && status != 410 && i < 4; i++ {
		time.Sleep(time.Second)
		status, _ = d.call(others[i%len(others)], "DELETE", publicPath+publicJob, "", nil)
	}
	if status != 200 {
		return "", fmt.Errorf("cancellation answered %d", status)
	}
	acked := time.Now()
	for time.Since(acked) < 24*time.Second {
		time.Sleep(2 * time.Second)
		d.call(others[2], "GET", publicPath+publicJob, "", nil)
	}
	for _, r := range d.runsOf(publicJob) {
		if after := r.From.Sub(acked); after > cancelTime {
			return fmt.Sprintf("UNASKED: task %v starts %v after the cancellation was answered with 200", r.Task, after.Round(time.Millisecond)), nil
		}
	}

	return "", nil
}

// twoSteps returns a job of two steps that depend on each other.
func twoSteps(id string) work.Job {
	need := work.Shape{CPU: 500, Memory: 256, Accelerators: 1}

	return work.Job{ID: id, Queue: "batch", Spec: "two steps", Steps: []work.Step{
		{Count: 1, Need: need, Estimate: taskLength.Milliseconds()},
		{Count: 2, Need: need, Estimate: taskLength.Milliseconds(), After: []int{0}},
	}}
}
