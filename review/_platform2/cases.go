package main

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

const (
	reclaimBound = 2900 * time.Millisecond // reclaimMs
	attempts     = 3                       // of the queues
	visible      = 3 * time.Second         // visible_ms

	oneTenant = "key-of-north"
	another   = "key-of-south"
)

// northAndSouth configures two tenants, the first with a guarantee of 16 accelerators.
func (d *day) northAndSouth() {
	d.configure(tenantSettings{"north", oneTenant, 16}, tenantSettings{"south", another, 8})
}

// distinct returns the number of tasks that have been started.
func distinct(starts []startRecord) int {
	tasks := map[string]bool{}
	for _, s := range starts {
		tasks[s.task] = true
	}

	return len(tasks)
}

// reclaim hands in large jobs that last, and then an urgent job within its tenant's guarantee. In the
// burst the large jobs come 2.5 times as often, for 6 s.
func reclaim(d *day, trouble bool) (bool, error) {
	const (
		burst    = 6 * time.Second
		usual    = 2 // large jobs in that time
		inBurst  = 5
		watch    = 30 * time.Second
		perLarge = 8
		tasks    = 4
	)
	large := map[string]bool{}
	d.fleet.outcome = func(task string, _ int64, _ string) plan {
		if d.mu.Lock(); large[jobOf(task)] {
			d.mu.Unlock()

			return plan{endless, "done"}
		}
		d.mu.Unlock()

		return plan{2 * time.Second, "done"}
	}
	if _, err := d.addMinions(5, "a"); err != nil {
		return false, err
	}
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	n := usual
	if trouble {
		n = inBurst
	}
	var jobs []string
	for range n {
		id := newID()
		d.mu.Lock()
		large[id] = true
		d.mu.Unlock()
		if !d.submit(batch(another), id, jobRequest{Spec: "large", Steps: []step{{Count: perLarge, CPU: 2000, MemMb: 8000, GPU: 1, EstimateMs: 9000, LongRunning: true, MayMiss: 4}}}) {
			return false, errors.New("a large job was not accepted")
		}
		jobs = append(jobs, id)
		time.Sleep(burst / time.Duration(n))
	}
	if !await(10*time.Second, func() bool {
		return !slices.ContainsFunc(jobs, func(id string) bool { return distinct(d.record.startsOf(id)) < perLarge })
	}) {
		return false, errors.New("the large jobs have not begun")
	}
	time.Sleep(2 * time.Second)
	id := newID()
	if !d.submit(urgent(oneTenant), id, jobRequest{Spec: "urgent", Steps: []step{{Count: tasks, CPU: 8000, MemMb: 32000, GPU: 4, EstimateMs: 2000}}}) {
		return false, errors.New("the urgent job was not accepted")
	}
	began := func() bool { return distinct(d.record.startsOf(id)) == tasks }
	inTime := await(reclaimBound, began)
	d.record.add("%d of %d tasks of the urgent job, which needs 16 of the 16 guaranteed accelerators, have begun %v after its acknowledgement", distinct(d.record.startsOf(id)), tasks, reclaimBound)
	if !await(watch, began) {
		d.record.add("%d of %d of them have begun %v later", distinct(d.record.startsOf(id)), tasks, watch)
	}
	d.state(urgent(oneTenant), id)

	return !inTime, nil
}

// lasting hands in a job with two tasks that last, on four minions of which another job has one. One
// of its tasks fails twice.
func lasting(d *day, trouble bool) (bool, error) {
	const (
		failures  = 2
		works     = 3 * time.Second // until the task fails
		afterLast = 6 * time.Second // from the last run, as LOST says
		window    = 3 * time.Second
		watch     = 40 * time.Second
	)
	job, other := newID(), newID()
	task := job + ".0.0.1"
	d.fleet.outcome = func(t string, number int64, _ string) plan {
		if trouble && t == task && number <= failures {
			return plan{works, "failed"}
		}

		return plan{endless, "done"}
	}
	if _, err := d.addMinions(4, "a"); err != nil {
		return false, err
	}
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	whole := step{Count: 1, CPU: 30000, MemMb: 100000, GPU: 8, EstimateMs: 9000, LongRunning: true}
	two := whole
	two.Count = 2
	if !d.submit(plain(another), other, jobRequest{Spec: "other", Steps: []step{whole}}) || !d.submit(plain(oneTenant), job, jobRequest{Spec: "lasts", Steps: []step{two}}) {
		return false, errors.New("a job was not accepted")
	}
	if !await(5*time.Second, func() bool { return distinct(d.record.startsOf(job)) == 2 && distinct(d.record.startsOf(other)) == 1 }) {
		return false, errors.New("the jobs have not begun")
	}
	if !trouble {
		time.Sleep(watch)

		return len(d.record.startsOf(job)) != 2, nil
	}
	if !await(30*time.Second, func() bool { return len(d.record.endsOf(job, "failed")) == failures }) {
		return false, errors.New("the task has not failed twice")
	}
	last := d.record.endsOf(job, "failed")[failures-1].at
	again := func() bool {
		return slices.ContainsFunc(d.record.startsOf(job), func(s startRecord) bool { return s.task == task && s.run > failures })
	}
	inTime := await(time.Until(last.Add(afterLast+window)), again)
	d.record.add("%v after the end of its last run, the task runs again: %t; two of the four minions run nothing", afterLast+window, inTime)
	if !inTime {
		d.record.add("%v later it runs again: %t", watch, await(watch, again))
	}
	d.state(plain(oneTenant), job)

	return !inTime, nil
}

// lostCopy lets two minions reset their connections for 7.7 s, one after the other: first that with
// the first run of a task, which ends there meanwhile, and then that with the run's copy.
func lostCopy(d *day, trouble bool) (bool, error) {
	const (
		first    = 7500 * time.Millisecond // length of the first run
		second   = 12 * time.Second        // of the copy, on a slower minion
		resets   = 7700 * time.Millisecond
		resetsAt = 4 * time.Second
		watch    = 10 * time.Second
	)
	job := newID()
	d.fleet.outcome = func(_ string, number int64, _ string) plan {
		if number == 1 {
			return plan{first, "done"}
		}

		return plan{second, "done"}
	}
	all, err := d.addMinions(7, "a")
	if err != nil {
		return false, err
	}
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	if !d.submit(plain(oneTenant), job, jobRequest{
		Spec: "copied", Times: 2, StartAtMs: time.Now().UnixMilli(), IntervalMs: 600_000,
		Steps: []step{{Count: 1, CPU: 4000, MemMb: 8000, GPU: 1, EstimateMs: 1500, Speculative: true, PerMinion: 1}},
	}) {
		return false, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(job)) == 1 }) {
		return false, errors.New("the job has not begun")
	}
	began := d.record.startsOf(job)[0]
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(job)) == 2 }) {
		return false, errors.New("the task has not been copied")
	}
	if trouble {
		time.Sleep(time.Until(began.at.Add(resetsAt)))
		for _, s := range d.record.startsOf(job)[:2] {
			m := all[slices.IndexFunc(all, func(m *minion) bool { return m.id == s.minion })]
			m.setMute(true)
			time.Sleep(resets)
			m.setMute(false)
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.at.Add(2*resets + watch)))
	ended := 0
	for _, v := range d.vms {
		if v.exited() {
			ended++
			d.record.add("the process of %s has ended by itself: %v", v.name, v.command.ProcessState)
		}
	}
	d.state(plain(oneTenant), job)

	return ended > 0, nil
}

// pendingJobs lets one of ten minions refuse all starts for 6.9 s, while a job waits for room there.
func pendingJobs(d *day, trouble bool) (bool, error) {
	const (
		refuses = 6900 * time.Millisecond
		asked   = 10
	)
	small, job, next := newID(), newID(), newID()
	d.fleet.outcome = func(string, int64, string) plan { return plan{90 * time.Second, "done"} }
	all, err := d.addMinions(10, "a")
	if err != nil {
		return false, err
	}
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	shape := func(count, gpu int) []step {
		return []step{{Count: count, CPU: 2000, MemMb: 8000, GPU: gpu, EstimateMs: 90000}}
	}
	if !d.submit(urgent(another), newID(), jobRequest{Spec: "fills nine", Steps: shape(9, 8)}) || !d.submit(urgent(another), small, jobRequest{Spec: "small", Steps: shape(1, 1)}) {
		return false, errors.New("a job was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(small)) == 1 }) {
		return false, errors.New("the jobs have not begun")
	}
	id := d.record.startsOf(small)[0].minion
	one := all[slices.IndexFunc(all, func(m *minion) bool { return m.id == id })]
	if trouble {
		one.mu.Lock()
		one.refusesUntil = time.Now().Add(refuses)
		one.mu.Unlock()
		d.record.add("minion %s answers 503 to starts for %v", one.id, refuses)
	}
	if !trouble && !d.submit(plain(another), next, jobRequest{Spec: "next", Steps: shape(1, 4)}) {
		return false, errors.New("a job was not accepted")
	}
	if !d.submit(batch(oneTenant), job, jobRequest{Spec: "waits", Steps: shape(1, 4)}) {
		return false, errors.New("a job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(time.Second)
	if trouble && !d.submit(plain(another), next, jobRequest{Spec: "next", Steps: shape(1, 4)}) {
		return false, errors.New("a job was not accepted")
	}
	time.Sleep(time.Until(accepted.Add(max(refuses, visible+2*time.Second) + 2*time.Second)))
	wrong := 0
	for range asked {
		n := d.pending(batch(oneTenant))
		if len(d.record.startsOf(job)) > 0 {
			return false, errors.New("the job has begun")
		}
		if n == 0 {
			wrong++
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.record.add("one job of the queue waits since %v; %d of %d answers say that none does", time.Since(accepted).Round(time.Second), wrong, asked)

	return wrong > 0, nil
}

// earlierBirth lets one of ten minions go down and up by turns, while its time of day is 2 s ahead. It
// goes back before the last time.
func earlierBirth(d *day, trouble bool) (bool, error) {
	const (
		tasks  = 10
		length = 8 * time.Second
		period = 1400 * time.Millisecond
		turns  = 4
		ahead  = 2 * time.Second
		finish = 14 * time.Second // finish_s
		window = 3 * time.Second
		watch  = 30 * time.Second
	)
	d.fleet.outcome = func(string, int64, string) plan { return plan{length, "done"} }
	all, err := d.addMinions(tasks, "a")
	if err != nil {
		return false, err
	}
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	id := newID()
	if !d.submit(urgent(oneTenant), id, jobRequest{Spec: "wide", Steps: []step{{Count: tasks, CPU: 8000, MemMb: 32000, GPU: 8, EstimateMs: 8000}}}) {
		return false, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(id)) == tasks }) {
		return false, errors.New("the job has not begun")
	}
	if trouble {
		m := all[0]
		m.setSkew(ahead)
		for range turns {
			m.crash()
			time.Sleep(period / 2)
			if err := m.start(); err != nil {
				return false, err
			}
			time.Sleep(period / 2)
			if m.skew != 0 && len(d.record.startsOf(id)) > tasks {
				m.setSkew(0)
				m.crash()
				time.Sleep(period / 2)
				if err := m.start(); err != nil {
					return false, err
				}

				break
			}
		}
		if m.skew != 0 {
			return false, errors.New("no run has been started again")
		}
	}
	state := ""
	ended := await(length+finish+window, func() bool {
		time.Sleep(500 * time.Millisecond)
		state, _ = d.state(urgent(oneTenant), id)

		return state != "running"
	})
	if !ended {
		d.record.add("%v after the crashes, %d runs of the job have ended done, and the other task has not begun again", length+finish+window, len(d.record.endsOf(id, "done")))
		await(watch, func() bool { return len(d.record.startsOf(id)) > tasks+1 })
		state, _ = d.state(urgent(oneTenant), id)
	}
	d.record.add("the job is shown as %q; its tasks have been started %d times", state, len(d.record.startsOf(id)))

	return state != "completed", nil
}

// oldClock crashes one of ten minions, which have run nothing for 45 s. It is back after 0.5 s, gets a
// task, and crashes for good before its first heartbeat.
func oldClock(d *day, trouble bool) (bool, error) {
	const (
		idle   = 45 * time.Second
		down   = 500 * time.Millisecond
		up     = 700 * time.Millisecond // until the task comes
		runs   = 500 * time.Millisecond // until the second crash
		length = 5 * time.Second
		finish = 14 * time.Second // finish_s
		window = 3 * time.Second
	)
	d.fleet.outcome = func(string, int64, string) plan { return plan{length, "done"} }
	d.northAndSouth()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	all, err := d.addMinions(10, "a")
	if err != nil {
		return false, err
	}
	first := slices.MinFunc(all, func(a, b *minion) int { return cmp.Compare(a.id, b.id) })
	time.Sleep(idle)
	if trouble {
		first.mu.Lock()
		first.firstBeat = heartbeat
		first.mu.Unlock()
		first.crash()
		time.Sleep(down)
		if err := first.start(); err != nil {
			return false, err
		}
		time.Sleep(up)
	}
	id := newID()
	if !d.submit(urgent(oneTenant), id, jobRequest{Spec: "one task", Steps: []step{{Count: 1, CPU: 8000, MemMb: 32000, GPU: 8, EstimateMs: 5000}}}) {
		return false, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.record.startsOf(id)) == 1 }) {
		return false, errors.New("the job has not begun")
	}
	if trouble {
		if d.record.startsOf(id)[0].minion != first.id {
			return false, errors.New("the task is on another minion")
		}
		time.Sleep(runs)
		first.crash()
	}
	again := func() bool {
		return len(d.record.startsOf(id)) > 1 || len(d.record.endsOf(id, "done")) > 0
	}
	inTime := await(finish+window, again)
	d.record.add("%v later the task runs again or is done: %t; nine minions run nothing", finish+window, inTime)
	if !inTime {
		began := time.Now()
		d.record.add("then: %t, after %v more", await(35*time.Second, again), time.Since(began).Round(time.Second))
	}
	d.state(urgent(oneTenant), id)

	return !inTime, nil
}
