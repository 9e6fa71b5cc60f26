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
		workStartedAt time.Duration // start of the job's own work, after a restore
		ended         bool
	}

	replayJob struct {
		*traceJob
		done     time.Duration // run time covered by the latest checkpoint
		run      *replayRun
		endedAt  time.Duration
		finished bool
		dropped  bool
		wait     time.Duration // from submission to the first start
		started  bool
		entitled bool
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
		bad             map[string]bool
		wasted          float64 // accelerator-seconds wasted
		used            float64
		fragmented      float64 // free accelerator-seconds in runs shorter than 8
		free            float64
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
		trace: t, policy: p, jobs: map[job.Key]*replayJob{}, down: map[string]bool{}, bad: map[string]bool{},
	}
	for _, k := range t.config.Fleet.Racks {
		r.racks = append(r.racks, make([]bool, k.Size()))
	}
	for _, w := range t.badWorkers {
		r.bad[w] = true
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
		h := heap.Pop(&r.queue).(simEvent)
		if h.ofRun != nil && h.ofRun.ended {
			continue
		}
		r.account(h.at)
		r.now = h.at
		events := r.applyEvent(h)
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

// account adds the free and the fragmented accelerator time up to a time.
func (r *replay) account(until time.Duration) {
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
			r.free += float64(length) * dt
			if length < 8 {
				r.fragmented += float64(length) * dt
			}
			length = 0
		}
	}
}

func (r *replay) applyEvent(h simEvent) []plan.Event {
	e := h.event
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
		r.wasted += float64(j.Shape.Size()) * saveTime.Seconds()
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

// loseWorker takes a worker down and stops the jobs on it.
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
	r.used += float64(j.Shape.Size()) * (r.now - j.run.startedAt).Seconds()
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
		r.wasted += float64(j.Shape.Size()) * (r.now - j.run.startedAt).Seconds()
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
	for w := range r.bad {
		if r.runsOn(places, w) {
			r.schedule(r.now+failDelay, plan.Event{Kind: plan.Fail, Key: j.Key, Worker: w}, run)

			return
		}
	}
	if j.done > 0 {
		run.workStartedAt += restoreTime
		r.wasted += float64(j.Shape.Size()) * restoreTime.Seconds()
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

// entitled reports whether a newly submitted job is entitled to a promised block: one that
// it fits is left by the other jobs of its workspace, where each job that cannot be evicted
// or is not smaller counts as occupying a whole block.
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
	var f results
	var ends, slows, large []float64
	for i := range r.trace.jobs {
		j := r.jobs[r.trace.jobs[i].Key]
		if j.cancel {
			continue
		}
		if !j.finished {
			f.unfinished++

			continue
		}
		end := (j.endedAt - j.SubmittedAt).Seconds()
		ends = append(ends, end)
		f.mean += end
		slows = append(slows, end/math.Max(10, j.traceJob.run.Seconds()))
		if j.Shape.Size() >= 16 {
			large = append(large, j.wait.Seconds())
		}
	}
	f.mean /= float64(len(ends))
	f.p95, f.p95Slowdown, f.p95LargeWait = quantile(ends, .95), quantile(slows, .95), quantile(large, .95)
	f.fragmentation = r.fragmented / math.Max(1, r.free)
	f.wastedShare = r.wasted / r.used
	f.maxEntitledWait = r.maxEntitledWait.Seconds()
	f.maxUrgentWait = r.maxUrgentWait.Seconds()

	return f
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)

	return x[int(q*float64(len(x)-1))]
}

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}

	return h[i].seq < h[j].seq
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventQueue) Push(x any) { *h = append(*h, x.(simEvent)) }

func (h *eventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]

	return x
}
