package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// usual are the labels of a worker of the usual kind.
func usual(n int) [][]string {
	var all [][]string
	for i := range n {
		all = append(all, []string{"a", fmt.Sprintf("r1-%d", i/6)})
	}

	return all
}

// again: the store is slow while jobs are handed in and the VMs are stopped and started in turn, first
// the planner; later the VMs are stopped and started again. No task may start again after its end was
// taken note of.
func again(d *driver) {
	const (
		jobs    = 40
		gap     = 50 * time.Millisecond
		slow    = 240 * time.Millisecond // 60 times the usual 4 ms
		slowFor = 4500 * time.Millisecond
	)
	d.boot(3, usual(6))
	setSlow := func(by time.Duration) {
		d.store.mu.Lock()
		d.store.slow = by
		d.store.mu.Unlock()
		d.note("the store's answers are late by %v", by)
	}
	if d.trouble {
		setSlow(slow)
		time.AfterFunc(slowFor, func() { setSlow(0) })
	}
	var wait sync.WaitGroup
	accepted := make([]bool, jobs)
	id := func(i int) string { return fmt.Sprintf("%016x", 0xa0000000+i) }
	wait.Go(func() {
		for i := range jobs {
			wait.Go(func() { accepted[i] = d.submit(i, tenants[0], queues[1], id(i), job(1000, 1, nil)) })
			time.Sleep(gap)
		}
	})
	time.Sleep(jobs * gap / 2)
	d.rollingRestart(d.store.planner())
	wait.Wait()
	for i := range jobs {
		if accepted[i] {
			if s := d.awaitState(tenants[0], queues[1], id(i), 15*time.Second, "completed"); s != "completed" {
				d.fatal("job %s is %q and not completed", id(i), s)
			}
		}
	}
	ended := time.Now()
	d.note("all accepted jobs are completed")
	if d.trouble {
		d.note("jobs that the store holds in both topics: %d", d.inBothTopics())
	}
	retention := time.Duration(d.statusS) * time.Second * 5 / 4
	time.Sleep(time.Until(ended.Add(retention + 2*time.Second)))
	d.rollingRestart(0)
	time.Sleep(5 * time.Second)
	for i := range jobs {
		d.checkTwice(id(i))
	}
}

// inBothTopics counts the jobs whose record is in two topics of the store.
func (d *driver) inBothTopics() int {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	n := 0
	for key := range d.store.topic("keyed.handin").newest {
		if _, ok := d.store.topic("keyed.jobs").newest[key]; ok {
			n++
		}
	}

	return n
}

// checkTwice checks that no task of a job starts after a run of it has ended done, if that end was
// taken note of.
func (d *driver) checkTwice(id string) {
	all := d.startsOf(id)
	for _, a := range all {
		if a.how != "done" || a.ackedAt.IsZero() {
			continue
		}
		for _, b := range all {
			if b.task == a.task && b.at.After(a.ackedAt) {
				d.breaks("TWICE: task %s started again on %s (run %d) %.1f s after run %d had ended done on %s and that was taken note of",
					a.task, b.worker, b.run, b.at.Sub(a.ackedAt).Seconds(), a.run, a.worker)
			}
		}
	}
}

// crashes: one of eight workers crashes again and again and is back soon after. A job that needs its
// label may take longer, but must not be shown as failed: none of its runs has ended failed.
func crashes(d *driver) {
	const (
		series = 6
		down   = time.Second
		period = 4 * time.Second
	)
	labels := usual(8)
	labels[0][0] = "b"
	d.boot(3, labels)
	w, id := d.workers[0], "00000000b0000001"
	if !d.submit(0, tenants[0], queues[1], id, job(5000, 1, map[string]any{"requires": "b"})) {
		d.fatal("the job was not accepted")
	}
	time.Sleep(time.Second)
	if d.trouble {
		for range series {
			w.crash("crashes")
			time.Sleep(down)
			w.start()
			time.Sleep(period - down)
		}
		d.note("the worker crashes no more")
	}
	last := d.awaitState(tenants[0], queues[1], id, 30*time.Second, "completed", "failed")
	failed := 0
	for _, s := range d.startsOf(id) {
		if s.how == "failed" {
			failed++
		}
	}
	d.note("the job is %q; %d starts, %d runs ended failed", last, len(d.startsOf(id)), failed)
	if last == "failed" && failed == 0 {
		d.breaks("LOST: job %s is shown as failed; none of its %d runs ended failed", id, len(d.startsOf(id)))
	}
}

// wide: a tenant hands in a job that recurs with overlapping occurrences. Jobs of another tenant
// must still run.
func wide(d *driver) {
	const (
		occurrences = 200
		tasks       = 200
	)
	d.boot(3, usual(6))
	if d.trouble {
		big := job(4000, tasks, nil)
		big["times"], big["startAtMs"], big["intervalMs"] = occurrences, time.Now().UnixMilli(), 100
		if !d.submit(0, tenants[1], queues[1], "00000000c0000000", big) {
			d.note("the recurring job was not accepted")
		}
		time.Sleep(22 * time.Second)
	}
	var ids []string
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0xd0000000+i)
		if d.submit(i, tenants[0], queues[0], id, job(1000, 1, nil)) {
			ids = append(ids, id)
		}
	}
	d.note("the store has refused %d appends because of a record's size", d.store.rejects)
	time.Sleep(14 * time.Second)
	for _, id := range ids {
		if status, s := d.state(tenants[0], queues[0], id); s != "completed" && len(d.startsOf(id)) == 0 {
			d.breaks("LOST: 14 s after it was accepted, job %s has not started (status %d, state %q)", id, status, s)
		}
	}
	d.note("the store has refused %d appends because of a record's size", d.store.rejects)
	if d.trouble && len(d.broken) > 0 {
		d.rollingRestart(0)
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			status, s := d.state(tenants[0], queues[0], id)
			d.note("after all VMs were restarted: job %s: status %d, state %q, %d starts", id, status, s, len(d.startsOf(id)))
		}
	}
}

// wave: an order for the upkeep of a machine gets no answer and is carried out late, and the planner
// that sent it is killed. No more than maxCount machines may be down at once.
func wave(d *driver) {
	const notBefore, notAfter = 2 * time.Second, 12 * time.Second // of a late order
	labels := usual(6)
	labels[0][0] = "b"
	d.boot(3, labels)
	var sent time.Time
	if d.trouble {
		d.cloud.late = func(machine string) bool { return sent.IsZero() && machine == d.workers[0].machine }
	}
	time.Sleep(4 * time.Second) // a planner orders nothing in its first seconds
	d.store.put("keyed.op", "wave/1", []byte(`{"wave":1,"machines":["m-000","m-001","m-002"],"durationS":40,"maxCount":1}`))
	d.note("operator writes wave 1 of three machines, at most one at once")
	if d.trouble {
		select {
		case <-d.cloud.kept:
		case <-time.After(20 * time.Second):
			d.fatal("no order for the first machine")
		}
		sent = time.Now()
		v := d.vms[d.store.planner()]
		v.signal(syscall.SIGKILL)
		<-v.exited
		d.submit(v.index+1, tenants[0], queues[1], "00000000e0000001", job(9000, 1, map[string]any{"requires": "b"}))
		v.start()
		for time.Since(sent) < notAfter-500*time.Millisecond {
			d.cloud.mu.Lock()
			n := len(d.cloud.down)
			d.cloud.mu.Unlock()
			if n > 0 && time.Since(sent) > notBefore {
				time.Sleep(500 * time.Millisecond)

				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.note("%.1f s after it was sent:", time.Since(sent).Seconds())
		d.cloud.executeLate(d.workers[0].machine)
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if s := d.store.get("keyed.status", "wave/1"); s == `{"state":"completed"}` {
			d.note("the wave is said to be completed")

			break
		}
	}
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	for _, u := range d.cloud.begun {
		if u.others >= 1 {
			d.breaks("LIMIT: the upkeep of %s began while %d other machines of the wave were down; maxCount is 1", u.machine, u.others)
		}
	}
	if len(d.cloud.begun) < 3 {
		d.note("only %d machines have begun their upkeep", len(d.cloud.begun))
	}
}

// route: the operator removes a route while an accepted job of that queue has a step left, and the
// planner is killed. The step must still start.
func route(d *driver) {
	d.boot(3, usual(6))
	id := "00000000f0000001"
	two := job(3000, 1, nil)
	two["steps"] = append(two["steps"].([]any), map[string]any{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 3000, "dependsOn": []int{0}})
	if !d.submit(0, tenants[0], queues[1], id, two) {
		d.fatal("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		queues = queues[:1]
		d.publishConfig(2)
		time.Sleep(1500 * time.Millisecond)
		v := d.vms[d.store.planner()]
		v.signal(syscall.SIGKILL)
		<-v.exited
		v.start()
	}
	time.Sleep(25 * time.Second)
	for _, s := range d.startsOf(id) {
		if s.task == id+".0.1.0" {
			return
		}
	}
	d.breaks("LOST: the second step of job %s has not started, with all workers free", id)
}
