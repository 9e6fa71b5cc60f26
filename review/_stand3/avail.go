package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	servingJob = "a1b2c3d4e5f60718"
	fillingJob = "0f1e2d3c4b5a6978"
	targetMs   = 200
	calmTail   = 80  // ms
	busyTail   = 400 // ms
	fillers    = 3
	mayMiss    = 1
)

// avail lets the users of serving tasks load them beyond their target. Tasks that last and fill beside them
// may be paced down. They may not be stopped while more than mayMiss of their step would be away.
func avail(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 0, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	var busy atomic.Bool
	l, err := newLasting(d, fillers, eight, func(task string) int {
		switch {
		case !strings.HasPrefix(task, servingJob):
			return 500
		case busy.Load():
			return busyTail
		}

		return calmTail
	})
	if err != nil {
		return "", err
	}
	d.publish(batch(false))
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	serving := fmt.Sprintf(`{"spec":"serve","steps":[{"count":%d,"cpu":12000,"$memory":2048,"gpu":1,"estimateMs":1000,"$perWorker":1,"longRunning":true,"image":"web","targetMs":%d,"mayMiss":1}]}`, fillers, targetMs)
	filling := fmt.Sprintf(`{"spec":"fill","steps":[{"count":%d,"cpu":8000,"$memory":2048,"estimateMs":1000,"$perWorker":1,"longRunning":true,"image":"index","fills":true,"mayMiss":%d}]}`, fillers, mayMiss)
	for id, body := range map[string]string{servingJob: serving, fillingJob: filling} {
		if status, _ := d.call(d.vms[0], "POST", "/batch/"+id, "key-of-t1", expand(body)); status != 200 {
			return "", fmt.Errorf("job not accepted: %d", status)
		}
	}
	time.Sleep(6 * time.Second)
	if n, m := len(l.of(servingJob)), len(l.of(fillingJob)); n != fillers || m != fillers {
		return "", fmt.Errorf("%d serving and %d filling tasks", n, m)
	}
	if trouble {
		d.notef("users: load on the serving tasks, tail %d ms", busyTail)
		busy.Store(true)
	}
	time.Sleep(20 * time.Second)
	busy.Store(false)
	time.Sleep(2 * time.Second)
	runs := l.of(fillingJob)
	for _, r := range runs {
		if r.How != "stopped" || !r.AtWork {
			continue
		}
		away := 0
		for _, o := range runs {
			if o.Task != r.Task && o.How == "stopped" && !o.To.After(r.To) && !backBefore(runs, o, r.To) {
				away++
			}
		}
		if away >= mayMiss {
			return fmt.Sprintf("AVAIL: task %s run %d is stopped on a sound worker while %d others of its step, which have been stopped, are away; mayMiss is %d", r.Task, r.Run, away, mayMiss), nil
		}
	}

	return "", nil
}

// backBefore reports whether the task of an ended run was at work again before a time.
func backBefore(runs []lastingRecord, ended lastingRecord, at time.Time) bool {
	for _, r := range runs {
		if r.Task == ended.Task && r.Run > ended.Run && r.From.Add(startup).Before(at) {
			return true
		}
	}

	return false
}
