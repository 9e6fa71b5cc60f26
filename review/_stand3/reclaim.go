package main

import (
	"context"
	"fmt"
	"time"
)

const (
	borrower      = "6f5e4d3c2b1a0987"
	urgentJob     = "00c0ffee00c0ffee"
	reclaimWork   = 12                      // workers with 8 accelerators each
	reclaimTime   = 2900 * time.Millisecond // reclaimMs of the site file
	urgentTasks   = 2                       // with 8 accelerators each: 16 are guaranteed
	watchReclaim  = 25 * time.Second
	borrowerTasks = reclaimWork
)

// reclaim lets a job that lasts borrow all idle accelerators. Then the owner of a part of them hands in a job
// of priority 0 that its guarantee covers, all tasks of which must begin within reclaimTime.
func reclaim(ctx context.Context, record string, trouble bool) (string, error) {
	d, err := newDeployment(ctx, record, 4, 0, 284)
	if err != nil {
		return "", err
	}
	defer d.close()
	l, err := newLasting(d, reclaimWork, eight, func(string) int { return 500 })
	if err != nil {
		return "", err
	}
	low, urgent := batch(false), batch(false)
	low.Priority = 2
	urgent.Name, urgent.PathPrefix, urgent.Priority, urgent.Stretch, urgent.Target = "urgent", "/urgent/", 0, 1.5, 250
	d.publish(low, urgent)
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		body := fmt.Sprintf(`{"spec":"lasting","steps":[{"count":%d,"cpu":4000,"$memory":4096,"gpu":8,"estimateMs":1000,"longRunning":true,"image":"web"}]}`, borrowerTasks)
		if status, _ := d.call(d.vms[0], "POST", "/batch/"+borrower, "key-of-t2", expand(body)); status != 200 {
			return "", fmt.Errorf("job not accepted: %d", status)
		}
		time.Sleep(6 * time.Second)
		if n := len(l.of(borrower)); n != borrowerTasks {
			return "", fmt.Errorf("%d of %d tasks run", n, borrowerTasks)
		}
	}
	body := fmt.Sprintf(`{"spec":"urgent","steps":[{"count":%d,"cpu":2000,"$memory":1024,"gpu":8,"estimateMs":9000}]}`, urgentTasks)
	if status, _ := d.call(d.vms[1], "POST", "/urgent/"+urgentJob, "key-of-t1", expand(body)); status != 200 {
		return "", fmt.Errorf("urgent job not accepted: %d", status)
	}
	acked := time.Now()
	for time.Since(acked) < watchReclaim {
		time.Sleep(2 * time.Second)
		d.call(d.vms[1], "GET", "/urgent/"+urgentJob, "key-of-t1", nil)
	}
	begun, inTime := 0, 0
	for _, r := range l.of(urgentJob) {
		if r.Run != 1 {
			continue
		}
		begun++
		if r.From.Sub(acked) <= reclaimTime {
			inTime++
		}
	}
	if inTime < urgentTasks {
		return fmt.Sprintf("RECLAIM: %d of %d tasks of the first step have begun %v after the acknowledgement, and %d after %v; they need 16 of 16 guaranteed accelerators",
			inTime, urgentTasks, reclaimTime, begun, watchReclaim), nil
	}

	return "", nil
}
