package plan_test

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"time"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/plan"
)

const replayTick = 30 * time.Second

type (
	// simEvent is a future event of a replay.
	simEvent struct {
		at    time.Duration
		seq   int
		event plan.Event
		ofRun *replayRun // the run to which the event belongs; nil means none
	}

	eventQueue []simEvent

	// replayRun is one uninterrupted run of a job.
	replayRun struct {
		places        []plan.Place
		startedAt     time.Duration
		workStartedAt time.Duration // time at which the job begins or resumes its work, after a restore
		ended         bool
	}

	replayJob struct {
		*traceJob
		done     time.Duration // run time covered by the latest checkpoint
		run      *replayRun
		endedAt  time.Duration
		finished bool
		dropped  bool          // cancelled, or answered without having finished
		wait     time.Duration // from submission to the first start
		started  bool
		entitled bool // was entitled to a promised block when it was submitted
	}

	// replay runs a trace through a policy and measures the results.
	replay struct {
		trace           *trace
		policy          policy
		now             time.Duration
		queue           eventQueue
		seq             int
		jobs            map[job.Key]*replayJob
		racks           [][]bool
		down            map[string]bool
		badWorkers      map[string]bool
		wastedTime      float64 // accelerator-seconds spent on checkpoints, restores and runs that were stopped
		usedTime        float64 // accelerator-seconds in use
		fragmentedTime  float64 // free accelerator-seconds in runs shorter than 8
		freeTime        float64 // free accelerator-seconds
		lastSubmit      time.Duration
		maxEntitledWait time.Duration
		maxUrgentWait   time.Duration
	}

	// results holds the measurements of a replay, in seconds and fractions.
	results struct {
		mean, p95, p95Slowdown, p95LargeWait, fragmentation, maxEntitledWait, wastedShare, maxUrgentWait float64
		unfinished                                                                                       int
	}
)

func newReplay(t *trace, p policy) *replay {
	r := &replay{
		trace: t, policy: p, jobs: map[job.Key]*replayJob{}, down: map[string]bool{}, badWorkers: map[string]bool{},
	}
	for _, k := range t.config.Fleet.Racks {
		r.racks = append(r.racks, make([]bool, k.Size()))
	}
	for _, w := range t.badWorkers {
		r.badWorkers[w] = true
	}
	for i := range t.jobs {
		j := &t.jobs[i]
		r.jobs[j.Key] = &replayJob{traceJob: j}
		r.schedule(j.SubmittedAt, plan.Event{Kind: plan.Submit, Job: j.Job}, nil)
		if j.cancel {
			r.schedule(t.cancelAt, plan.Event{Kind: plan.Cancel, Key: j.Key}, nil)
		}
	}
	for _, w := range t.config.Fleet.Racks[t.lostRack].Workers {
		r.schedule(t.downAt, plan.Event{Kind: plan.Down, Worker: w.Name}, nil)
		r.schedule(t.downAt+outageDuration, plan.Event{Kind: plan.Up, Worker: w.Name}, nil)
	}
	r.lastSubmit = t.jobs[len(t.jobs)-1].SubmittedAt
	r.schedule(0, plan.Event{Kind: plan.Tick}, nil)

	return r
}

func (r *replay) schedule(at time.Duration, e plan.Event, run *replayRun) {
	r.seq++
	heap.Push(&r.queue, simEvent{at: at, seq: r.seq, event: e, ofRun: run})
}

// playAll runs the trace to its end and calls check after every step.
func (r *replay) playAll(check func()) results {
	for r.queue.Len() > 0 {
		next := heap.Pop(&r.queue).(simEvent)
		if next.ofRun != nil && next.ofRun.ended {
			continue
		}
		r.addFreeTime(next.at)
		r.now = next.at
		events := r.applyEvent(next)
		for len(events) > 0 {
			actions := r.policy.Step(r.now, events...)
			events = nil
			for _, a := range actions {
				events = append(events, r.perform(a)...)
			}
		}
		if check != nil {
			check()
		}
	}

	return r.results()
}

// addFreeTime adds the accelerator time from now until the given time that is free, and the
// part of it that is fragmented. Time after the last submission does not count.
func (r *replay) addFreeTime(until time.Duration) {
	dt := (min(until, r.lastSubmit) - r.now).Seconds()
	if dt <= 0 {
		return
	}
	for i, k := range r.trace.config.Fleet.Racks {
		length := 0
		for a := 0; a <= len(r.racks[i]); a++ {
			if a < len(r.racks[i]) && !r.racks[i][a] && !r.down[k.Workers[a/8].Name] {
				length++

				continue
			}
			r.freeTime += float64(length) * dt
			if length < 8 {
				r.fragmentedTime += float64(length) * dt
			}
			length = 0
		}
	}
}

func (r *replay) applyEvent(next simEvent) []plan.Event {
	e := next.event
	switch e.Kind {
	case plan.Tick:
		if r.now < r.lastSubmit+10*24*time.Hour && r.openJobs() {
			r.schedule(r.now+replayTick, e, nil)
		}
	case plan.Submit:
		j := r.jobs[e.Job.Key]
		j.entitled = r.entitled(j)
	case plan.Cancel:
		return r.cancel(e)
	case plan.Down:
		return r.loseWorker(e)
	case plan.Up:
		delete(r.down, e.Worker)
	case plan.Finish:
		j := r.jobs[e.Key]
		j.endedAt, j.finished = r.now, true
		r.stop(j)
	case plan.Fail:
		r.stop(r.jobs[e.Key])
	case plan.CheckpointDone:
		j := r.jobs[e.Key]
		j.done = e.CheckpointedRunTime
		r.wastedTime += float64(j.Shape.Size()) * saveTime.Seconds()
		r.stop(j)
	}

	return []plan.Event{e}
}

func (r *replay) openJobs() bool {
	for _, j := range r.jobs {
		if !j.finished && !j.dropped {
			return true
		}
	}

	return false
}

func (r *replay) cancel(e plan.Event) []plan.Event {
	j := r.jobs[e.Key]
	if j.finished {
		return nil
	}
	if j.run != nil {
		r.stop(j)
		j.dropped = true

		return []plan.Event{e, {Kind: plan.StopDone, Key: e.Key}}
	}
	j.dropped = true

	return []plan.Event{e}
}

// loseWorker marks a worker as down and stops the jobs on it.
func (r *replay) loseWorker(e plan.Event) []plan.Event {
	r.down[e.Worker] = true
	events := []plan.Event{e}
	for i := range r.trace.jobs {
		j := r.jobs[r.trace.jobs[i].Key]
		if j.run == nil || !r.runsOn(j.run.places, e.Worker) {
			continue
		}
		r.stop(j)
		events = append(events, plan.Event{Kind: plan.StopDone, Key: j.Key})
	}

	return events
}

func (r *replay) runsOn(places []plan.Place, worker string) bool {
	for _, p := range places {
		if r.trace.config.Fleet.Racks[p.Rack].Workers[p.First/8].Name == worker {
			return true
		}
	}

	return false
}

func (r *replay) markPlaces(places []plan.Place, used bool) {
	for _, p := range places {
		for i := p.First; i < p.First+p.Width; i++ {
			if r.racks[p.Rack][i] == used {
				panic(fmt.Sprintf("accelerator %d of rack %d is used twice or freed twice", i, p.Rack))
			}
			r.racks[p.Rack][i] = used
		}
	}
}

func (r *replay) stop(j *replayJob) {
	r.markPlaces(j.run.places, false)
	r.usedTime += float64(j.Shape.Size()) * (r.now - j.run.startedAt).Seconds()
	j.run.ended = true
	j.run = nil
}

func (r *replay) perform(a plan.Action) []plan.Event {
	j := r.jobs[a.Key]
	switch a.Kind {
	case plan.Start:
		r.start(j, a.Places)
	case plan.Save:
		r.save(j)
	case plan.Stop:
		if j.run == nil {
			return nil // the job was cancelled at the same time
		}
		r.wastedTime += float64(j.Shape.Size()) * (r.now - j.run.startedAt).Seconds()
		r.stop(j)

		return []plan.Event{{Kind: plan.StopDone, Key: a.Key}}
	case plan.Conclude:
		j.dropped = true
	}

	return nil
}

func (r *replay) start(j *replayJob, places []plan.Place) {
	r.markPlaces(places, true)
	run := &replayRun{places: places, startedAt: r.now, workStartedAt: r.now}
	j.run = run
	if !j.started {
		j.started, j.wait = true, r.now-j.SubmittedAt
		if j.entitled {
			r.maxEntitledWait = max(r.maxEntitledWait, j.wait)
		}
		if j.Urgent && j.entitled {
			r.maxUrgentWait = max(r.maxUrgentWait, j.wait)
		}
	}
	for w := range r.badWorkers {
		if r.runsOn(places, w) {
			r.schedule(r.now+failDelay, plan.Event{Kind: plan.Fail, Key: j.Key, Worker: w}, run)

			return
		}
	}
	if j.done > 0 {
		run.workStartedAt += restoreTime
		r.wastedTime += float64(j.Shape.Size()) * restoreTime.Seconds()
	}
	r.schedule(run.workStartedAt+j.traceJob.run-j.done, plan.Event{Kind: plan.Finish, Key: j.Key}, run)
}

// save replaces the run by one that ends with the checkpoint. The job keeps its places until
// the checkpoint is written.
func (r *replay) save(j *replayJob) {
	done := j.done + max(0, r.now-j.run.workStartedAt)
	old := j.run
	old.ended = true
	j.run = &replayRun{places: old.places, startedAt: old.startedAt, workStartedAt: old.workStartedAt}
	r.schedule(r.now+saveTime, plan.Event{Kind: plan.CheckpointDone, Key: j.Key, CheckpointedRunTime: done}, j.run)
}

// entitled reports whether a newly submitted job is entitled to a promised block: all workers
// are up, the open jobs of its workspace do not exceed the promised accelerators in total,
// and they leave a block that is wide enough. Each other job that cannot be evicted or is not
// smaller counts as occupying a whole block.
func (r *replay) entitled(j *replayJob) bool {
	blocks, total := 0, 0
	for _, p := range r.trace.config.Contracts[j.Key.Workspace].Promises {
		total += p.Blocks * p.Width
		if p.Width >= j.Shape.Size() {
			blocks += p.Blocks
		}
	}
	use := j.Shape.Size()
	for _, o := range r.jobs {
		if o.Key.Workspace != j.Key.Workspace || o == j || o.SubmittedAt > r.now || o.finished || o.dropped {
			continue
		}
		use += o.Shape.Size()
		if !o.Preemptible || o.Shape.Size() >= j.Shape.Size() {
			blocks--
		}
	}

	return blocks > 0 && use <= total && len(r.down) == 0
}

func (r *replay) results() results {
	var res results
	var completionTimes, slowdowns, largeWaits []float64
	for i := range r.trace.jobs {
		j := r.jobs[r.trace.jobs[i].Key]
		if j.cancel {
			continue
		}
		if !j.finished {
			res.unfinished++

			continue
		}
		end := (j.endedAt - j.SubmittedAt).Seconds()
		completionTimes = append(completionTimes, end)
		res.mean += end
		slowdowns = append(slowdowns, end/math.Max(10, j.traceJob.run.Seconds()))
		if j.Shape.Size() >= 16 {
			largeWaits = append(largeWaits, j.wait.Seconds())
		}
	}
	res.mean /= float64(len(completionTimes))
	res.p95, res.p95Slowdown, res.p95LargeWait = quantile(completionTimes, .95), quantile(slowdowns, .95), quantile(largeWaits, .95)
	res.fragmentation = r.fragmentedTime / math.Max(1, r.freeTime)
	res.wastedShare = r.wastedTime / r.usedTime
	res.maxEntitledWait = r.maxEntitledWait.Seconds()
	res.maxUrgentWait = r.maxUrgentWait.Seconds()

	return res
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)

	return x[int(q*float64(len(x)-1))]
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}

	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]

	return x
}
