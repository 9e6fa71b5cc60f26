package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	lastingJob    = "77e1a57c0ffee001"
	holderJob     = "5eed5eed5eed5eed"
	gangJob       = "9a49a49a49a49a49"
	restartFleet  = 12               // workers with 8 accelerators each
	holderTasks   = 9                // of 8 accelerators: three quarters of the service
	gangTasks     = 6                // of 8 accelerators: more than are free
	firstRun      = 24 * time.Second // after which the run of the task that lasts fails
	restartTime   = 6 * time.Second  // of the rule
	idleTime      = 3 * time.Second  // of the rule
	watchRestart  = 30 * time.Second // from the end of the run
	longEstimate  = 90000            // ms
	shortEstimate = 1000             // ms
)

// restart lets the run of a task that lasts fail while a wide gang waits for room. The task may not wait for
// longer than restartTime and idleTime beside room for it.
func restart(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 0, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	l, err := newLasting(d, restartFleet, eight, func(string) int { return 500 })
	if err != nil {
		return "", err
	}
	l.ends = func(task string, run int64) (time.Duration, string) {
		if strings.HasPrefix(task, lastingJob) && run == 1 {
			return firstRun, "failed"
		}

		return 0, ""
	}
	low := batch(false)
	low.Name, low.PathPrefix, low.Priority = "low", "/low/", 2
	d.publish(batch(false), low)
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	post := func(prefix, id, body string) error {
		if status, _ := d.call(d.vms[0], "POST", prefix+id, "key-of-t1", expand(body)); status != 200 {
			return fmt.Errorf("job %s not accepted: %d", id, status)
		}
		time.Sleep(2 * time.Second)

		return nil
	}
	if err := post("/low/", lastingJob, fmt.Sprintf(`{"spec":"lasting","steps":[{"count":1,"cpu":1000,"$memory":1024,"gpu":8,"estimateMs":%d,"longRunning":true,"image":"web"}]}`, longEstimate)); err != nil {
		return "", err
	}
	if err := post("/batch/", holderJob, fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":1000,"$memory":1024,"gpu":8,"estimateMs":%d}]}`, holderTasks, longEstimate)); err != nil {
		return "", err
	}
	if trouble {
		if err := post("/batch/", gangJob, fmt.Sprintf(`{"spec":"gang","steps":[{"count":%d,"cpu":1000,"$memory":1024,"gpu":8,"estimateMs":%d,"gang":true}]}`, gangTasks, longEstimate)); err != nil {
			return "", err
		}
	}
	if n, m := len(l.of(lastingJob)), len(l.of(holderJob)); n != 1 || m != holderTasks {
		return "", fmt.Errorf("%d and %d tasks run", n, m)
	}
	for i := 0; l.of(lastingJob)[0].How == "" && i < 200; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	first := l.of(lastingJob)[0]
	if first.How != "failed" {
		return "", fmt.Errorf("the first run ended %q", first.How)
	}
	for time.Since(first.To) < watchRestart && len(l.of(lastingJob)) == 1 {
		time.Sleep(100 * time.Millisecond)
	}
	away := time.Since(first.To)
	if runs := l.of(lastingJob); len(runs) > 1 {
		away = runs[1].From.Sub(first.To)
	}
	if busy := len(l.of(gangJob)); away > restartTime+idleTime {
		free := restartFleet - holderTasks - busy
		return fmt.Sprintf("LOST: a task that lasts hasn't run for %v after its last run, though %d workers with 8 accelerators each were idle and it needs one", away.Round(100*time.Millisecond), free), nil
	}

	return "", nil
}
