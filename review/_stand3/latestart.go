package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	onceJob      = "0ddba11c0ffee000"
	onceLength   = 40 * time.Second
	otherJobs    = 70 // before it, so that few of the orders are late
	otherLength  = 300 * time.Millisecond
	lateWorkers  = 12
	busyLength   = 1500 * time.Millisecond
	lateBy       = 6 * time.Second        // the start is carried out after this time
	crashDown    = time.Second            // of its worker
	backEarlier  = 400 * time.Millisecond // the worker is back this long before the late start
	watchOverlap = 12 * time.Second       // from the crash
)

// lateStart leaves the start of a task unanswered and carries it out seconds later. Its worker crashes and is
// back meanwhile, and the task has been started elsewhere. It may not run twice at the same time.
func lateStart(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 0, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	l, err := newLasting(d, lateWorkers, func(i int) int { return map[bool]int{true: 9, false: 8}[i == 0] }, func(string) int { return 500 })
	if err != nil {
		return "", err
	}
	l.ends = func(task string, _ int64) (time.Duration, string) {
		if strings.HasPrefix(task, onceJob) {
			return onceLength, "done"
		}

		if strings.HasPrefix(task, "0000000000def") {
			return busyLength, "done"
		}

		return otherLength, "done"
	}
	first := time.Time{}
	l.late = func(task string, run int64) time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !trouble || run != 1 || !strings.HasPrefix(task, onceJob) {
			return 0
		}
		if first.IsZero() {
			first = time.Now()
		}

		return lateBy
	}
	urgent := batch(false)
	urgent.Name, urgent.PathPrefix, urgent.Priority = "urgent", "/urgent/", 0
	d.publish(batch(false), urgent)
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	for i := range otherJobs {
		if err := post(d, "/batch/", fmt.Sprintf("%016x", 0xabc000+i), otherLength); err != nil {
			return "", err
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for i := range lateWorkers - 1 { // the other workers are in use, and free again soon
		if err := post(d, "/batch/", fmt.Sprintf("%016x", 0xdef000+i), busyLength); err != nil {
			return "", err
		}
	}
	if err := post(d, "/urgent/", onceJob, onceLength); err != nil {
		return "", err
	}
	time.Sleep(lateBy - backEarlier - crashDown)
	if trouble {
		var at *worker
		for _, w := range l.workers {
			w.mu.Lock()
			if w.highest[onceJob+".0.0.0"] >= 1 {
				at = w
			}
			w.mu.Unlock()
		}
		if at == nil {
			return "", fmt.Errorf("the start has not been stopped")
		}
		if err := l.crash(at, crashDown); err != nil {
			return "", err
		}
	}
	time.Sleep(watchOverlap)
	l.mu.Lock()
	d.notef("%d orders in all", l.orders)
	l.mu.Unlock()
	runs := l.of(onceJob)
	for i, r := range runs {
		d.notef("%s run %d on %s: %.3f to %.3f %s", r.Task, r.Run, r.Worker, r.From.Sub(d.began).Seconds(), r.To.Sub(d.began).Seconds(), r.How)
		for _, o := range runs[:i] {
			if o.From.Before(r.From) && (o.To.IsZero() || o.To.After(r.From)) {
				return fmt.Sprintf("TWICE: run %d on %s starts while run %d on %s goes on", r.Run, r.Worker, o.Run, o.Worker), nil
			}
		}
	}

	return "", nil
}

// post hands in a job of one task.
func post(d *deployment, prefix, id string, length time.Duration) error {
	body := fmt.Sprintf(`{"spec":"once","steps":[{"count":1,"cpu":1000,"$memory":1024,"gpu":8,"estimateMs":%d}]}`, length.Milliseconds())
	if status, _ := d.call(d.vms[0], "POST", prefix+id, "key-of-t1", expand(body)); status != 200 {
		return fmt.Errorf("job not accepted: %d", status)
	}

	return nil
}
