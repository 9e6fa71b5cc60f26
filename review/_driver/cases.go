package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// afterTraffic is how long after the newest hand-in jobs may be without a run: finish_s, which is 14 s, and
// the 3 s of the rule.
const afterTraffic = 17500 * time.Millisecond

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
		jobs    = 18
		gap     = 250 * time.Millisecond // the site's usual traffic, 3.9 jobs a second
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
	time.Sleep(2 * time.Second)
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
	time.Sleep(afterTraffic)
	for _, id := range ids {
		if status, s := d.state(tenants[0], queues[0], id); s != "completed" && len(d.startsOf(id)) == 0 && d.fewRuns() {
			d.breaks("LOST: %v after it was accepted, job %s has not started (status %d, state %q)", afterTraffic, id, status, s)
		}
	}
	d.note("the store has refused %d appends because of a record's size, the first at %.1f s", d.store.rejects, d.store.rejectedAt.Sub(d.began).Seconds())
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
	d.store.put(names["operator"], "wave/1", []byte(`{"wave":1,"machines":["m-000","m-001","m-002"],"durationS":40,"maxCount":1}`))
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

// route: while an accepted job has a step left, the operator replaces its route by one of another name
// with the same host, path prefix and service, and the VMs are stopped and started in turn, first the
// planner. The step must still start.
func route(d *driver) {
	d.boot(3, usual(6))
	id, old := "00000000f0000001", queues[1]
	two := job(8000, 1, nil)
	two["steps"] = append(two["steps"].([]any), map[string]any{"count": 1, "cpu": 1000, names["memory"]: 1000, "gpu": 1, "estimateMs": 8000, "dependsOn": []int{0}})
	if !d.submit(0, tenants[0], old, id, two) {
		d.fatal("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		queues[1].name = "q-usual-2"
		d.publishConfig(2)
	}
	time.Sleep(1500 * time.Millisecond)
	d.rollingRestart(d.store.planner())
	time.Sleep(16 * time.Second)
	d.state(tenants[0], old, id)
	other, submitted := "00000000f0000002", time.Now()
	if d.submit(0, tenants[0], old, other, job(1000, 1, nil)) {
		d.note("a new job at the same address is %q", d.awaitState(tenants[0], old, other, 10*time.Second, "completed"))
	}
	time.Sleep(time.Until(submitted.Add(afterTraffic)))
	_, state := d.state(tenants[0], old, id)
	for _, s := range d.startsOf(id) {
		if s.task == id+".0.1.0" {
			return
		}
	}
	d.breaks("LOST: the second step of job %s has not started, with all workers free; the job is shown as %q", id, state)
}

// terms: the planner's VM freezes and wakes again, 38 times, so that another VM takes the lease each
// time. Afterwards all is calm, and jobs must still run.
func terms(d *driver) {
	const (
		freezes  = 38
		frozen   = 2000 * time.Millisecond
		interval = 2150 * time.Millisecond
		calm     = 2 * time.Second
	)
	d.boot(3, usual(6))
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond): // the site's usual traffic
			}
			go d.submit(i, tenants[0], queues[1], fmt.Sprintf("%016x", 0x90000000+i), job(1000, 4, nil))
		}
	}()
	for i := range freezes {
		v := d.vms[d.store.planner()]
		if d.trouble {
			v.signal(syscall.SIGSTOP)
		}
		time.Sleep(frozen)
		if d.trouble {
			v.signal(syscall.SIGCONT)
		}
		time.Sleep(interval - frozen)
		if i%10 == 9 {
			d.noteConnections()
		}
	}
	close(stop)
	time.Sleep(calm)
	d.noteConnections()
	var ids []string
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0x91000000+i)
		if d.submit(i, tenants[0], queues[1], id, job(1000, 1, nil)) {
			ids = append(ids, id)
		}
	}
	time.Sleep(afterTraffic)
	d.noteConnections()
	for _, id := range ids {
		if len(d.startsOf(id)) == 0 && d.fewRuns() {
			d.breaks("LOST: %v after it was accepted, and longer after the last freeze, job %s has not started", afterTraffic, id)
		}
	}
}

// fewRuns reports whether under half of the workers' accelerators are in use, each run with one.
func (d *driver) fewRuns() bool {
	n := 0
	for _, w := range d.workers {
		w.mu.Lock()
		n += len(w.runs)
		w.mu.Unlock()
	}

	return n < len(d.workers)*8/2
}

func (d *driver) noteConnections() {
	text := ""
	for _, w := range d.workers {
		text += fmt.Sprintf(" %s: %d open, %d reset;", w.id, w.open.Load(), w.resets.Load())
	}
	d.note("connections to the workers:%s", text)
}

// lease: a worker crashes and returns; a start that reaches it right then gets no answer and is carried
// out late; later the worker is cut off for 5.5 s and runs on. No task may run twice at the same time.
func lease(d *driver) {
	const (
		uptime  = 20 * time.Second
		down    = 1500 * time.Millisecond // of the crash
		publish = 300 * time.Millisecond  // until the new incarnation has written its entry
		lateBy  = 10 * time.Second        // of the start without an answer
		cutFrom = 4800 * time.Millisecond // from the restart on, during the next call to hold
		cutFor  = 5500 * time.Millisecond
	)
	labels := usual(8)
	labels[0][0], labels[1][0] = "b", "b"
	d.boot(3, labels)
	w, other := d.workers[0], d.workers[1]
	filler, id := "00000000b1000001", "00000000b1000002"
	time.Sleep(uptime)
	d.submit(0, tenants[0], queues[1], filler, job(10000, 1, map[string]any{"requires": "b", "gpu": 8}))
	time.Sleep(300 * time.Millisecond)
	all := d.startsOf(filler)
	if len(all) != 1 {
		d.fatal("the first job has not started once")
	}
	if all[0].worker == w.id {
		w = other
	}
	if d.trouble {
		w.crash("crashes")
		time.Sleep(down)
		w.mu.Lock()
		w.lateTask, w.lateBy = id+".0.0.1", lateBy
		w.mu.Unlock()
		w.startAndPublish(publish)
	}
	before := d.orders.Load()
	restarted := time.Now()
	go func() { // usual traffic on the other workers
		for i := range 24 {
			d.submit(i, tenants[1], queues[1], fmt.Sprintf("%016x", 0xb1100000+i), job(1000, 1, map[string]any{"requires": "a"}))
			time.Sleep(250 * time.Millisecond)
		}
	}()
	d.submit(0, tenants[0], queues[1], id, job(16000, 2, map[string]any{"requires": "b"}))
	if d.trouble {
		for {
			w.mu.Lock()
			held := w.heldAt
			w.mu.Unlock()
			if held.Sub(restarted) > cutFrom {
				time.Sleep(time.Until(held.Add(1650 * time.Millisecond)))

				break
			}
			if time.Since(restarted) > 15*time.Second {
				d.fatal("the worker is not held")
			}
			time.Sleep(10 * time.Millisecond)
		}
		d.note("orders to all workers since the restart: %d", d.orders.Load()-before)
		w.cut.Store(true)
		d.note("worker %s is cut off", w.id)
		time.Sleep(cutFor)
		w.cut.Store(false)
		d.note("worker %s is back", w.id)
	}
	d.awaitState(tenants[0], queues[1], id, 40*time.Second, "completed", "failed")
	all = d.startsOf(id)
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task == b.task && b.at.Before(a.endedAt) {
				d.breaks("TWICE: task %s started on %s (run %d) while run %d went on on %s, for %.1f s more", a.task, b.worker, b.run, a.run, a.worker,
					a.endedAt.Sub(b.at).Seconds())
			}
		}
	}
}

// gone: the worker of a task that lasts is lost for good, and the planner is killed. From 6 s after its
// last run on, and 4 s after the last disruption, the task must not be without a run for 3 s.
func gone(d *driver) {
	const calm, idle, sinceRun = 4 * time.Second, 3 * time.Second, 6 * time.Second
	d.boot(3, usual(6))
	id := "00000000b2000001"
	d.submit(0, tenants[0], queues[1], id, job(int(endless.Milliseconds()), 1, map[string]any{"longRunning": true, "estimateMs": 5000}))
	time.Sleep(2 * time.Second)
	all := d.startsOf(id)
	if len(all) != 1 {
		d.fatal("the task has not started once")
	}
	lost, last := time.Now(), time.Now()
	if d.trouble {
		for _, w := range d.workers {
			if w.id == all[0].worker {
				w.crash("is lost for good")
				time.AfterFunc(4500*time.Millisecond, func() { d.store.put(names["servers"], w.id, nil) })
			}
		}
		time.Sleep(time.Second)
		v := d.vms[d.store.planner()]
		v.signal(syscall.SIGKILL)
		<-v.exited
		time.Sleep(300 * time.Millisecond)
		v.start()
		last = time.Now()
	}
	time.Sleep(20 * time.Second)
	all = d.startsOf(id)
	if !d.trouble {
		return
	}
	from := last.Add(calm)
	if x := lost.Add(sinceRun); x.After(from) {
		from = x
	}
	if len(all) < 2 || all[1].at.Sub(from) > idle {
		d.breaks("LOST: the task had no run until %.1f s after the last disruption, with all other workers free", time.Until(last).Abs().Seconds())
	}
	if len(all) > 1 {
		d.note("the task started again %.1f s after its worker was lost, %.1f s after the planner was started again", all[1].at.Sub(lost).Seconds(), all[1].at.Sub(last).Seconds())
	}
}
