package engine

import (
	"slices"
	"time"

	"sesameyoke/internal/core/placement"
	"sesameyoke/internal/core/work"
)

const (
	workWeight     = 0.02 // least weight of the newest job in the mean work of its queue
	minLearnedJobs = 5    // number of jobs from which the mean work of a queue is used
	// A service counts as short of capacity until a pass is this long after the last one in which a
	// unit that could still meet its objective did not fit.
	shortageHold = 500 * time.Millisecond
	// The work that waits must take all accelerators this long. Less is worked off within the slack of
	// most jobs, and an order by cost then only stops more runs.
	shortageWait = 2 * time.Second
)

type (
	// meanWork is the moving average of the work of a queue's jobs.
	meanWork struct {
		jobs int
		mean float64 // core-seconds
	}

	// shortage is the state of a service that is or was short of capacity.
	shortage struct {
		on      bool
		seenAt  time.Duration // newest pass in which a unit that could meet its objective did not fit
		waiting []placement.Waiting
		wait    time.Duration // time in which all accelerators would do the waiting work
		used    float64       // share of the accelerators in use after the newest pass
		accel   int           // accelerators of the schedulable workers
	}
)

// learnWork adds the work of the jobs that this planner has not seen yet to the average of their
// queues. Jobs are counted when they arrive: in a shortage, large ones end later than small ones.
func (e *Engine) learnWork() {
	for _, j := range e.active {
		if j.workLearned || e.queuePolicy(j.Queue).Name == "" {
			continue
		}
		j.workLearned = true
		learned := e.meanWorks[j.Queue]
		if learned == nil {
			learned = &meanWork{}
			e.meanWorks[j.Queue] = learned
		}
		learned.jobs++
		learned.mean += max(workWeight, 1/float64(learned.jobs)) * (e.expectedWork(j) - learned.mean)
	}
}

// expectedWork returns the expected work of a job in core-seconds.
func (e *Engine) expectedWork(j *job) float64 {
	sum := 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		sum += float64(st.Count) * e.expectedRunTime(j, i).Seconds() * coresOf(st.Need)
	}

	return sum
}

// coresOf returns the cores of a shape, with accelerators counted as cores.
func coresOf(s work.Shape) float64 {
	return float64(s.CPU)/1000 + placement.AccelCores*float64(s.Accelerators)
}

// usualWork returns the mean work of a queue's jobs in core-seconds, or 0 if it is not known.
func (e *Engine) usualWork(queue string) float64 {
	learned := e.meanWorks[queue]
	if learned == nil || learned.jobs < minLearnedJobs {
		return 0
	}

	return learned.mean
}

// costInput returns the facts that determine what the delay of tasks of a step costs.
func (e *Engine) costInput(j *job, step, tasks int, r placement.RankInput) placement.CostInput {
	st := &j.Steps[step]
	need := float64(st.Need.Accelerators)
	if need == 0 {
		need = coresOf(st.Need) / placement.AccelCores
	}

	wait := time.Duration(0)
	if s := e.shortages[e.queuePolicy(j.Queue).Service]; s != nil {
		wait = s.wait
	}

	return placement.CostInput{
		RankInput: r, Wait: wait, Work: e.expectedWork(j), MeanWork: e.usualWork(j.Queue),
		Need: need * float64(tasks) * e.expectedRunTime(j, step).Seconds(),
	}
}

// toWaiting returns a candidate as input of the order in a shortage.
func (e *Engine) toWaiting(c *candidate) placement.Waiting {
	return placement.Waiting{
		CostInput: e.costInput(c.job, c.step, len(c.unit.Tasks), c.inputs), Queue: c.job.Queue,
		Accepted: c.job.waitingSince(c.occur, e.Now(), e.SinceBoot()),
	}
}

// orderInShortage reorders the candidates of each service that is short of capacity by what
// their delay costs. The other candidates keep their places.
func (e *Engine) orderInShortage(cands []candidate) {
	for service, s := range e.shortages {
		if !s.on {
			continue
		}
		var at []int
		var units []placement.Waiting
		var moved []candidate
		for i := range cands {
			if cands[i].unit.Service == service {
				at, units, moved = append(at, i), append(units, e.toWaiting(&cands[i])), append(moved, cands[i])
			}
		}
		for n, i := range placement.OrderByCost(units) {
			cands[at[n]] = moved[i]
		}
	}
}

// noteShortages records, after a decision, which services are short of capacity and what waits there.
func (e *Engine) noteShortages(cands []candidate, f *fleetSnapshot, r placement.Result) {
	now := e.SinceBoot()
	placed := make([]int, len(cands))
	for _, p := range r.Placements {
		placed[p.Unit]++
	}
	for _, s := range e.shortages {
		s.waiting = nil
	}
	for i := range cands {
		if c := &cands[i]; placed[i] < len(c.unit.Tasks) {
			e.noteUnplaced(c, len(c.unit.Tasks)-placed[i], now)
		}
	}
	for service, s := range e.shortages {
		s.measure(f, service)
		e.switchShortage(service, s, now)
	}
}

// noteUnplaced records tasks of a candidate that did not fit.
func (e *Engine) noteUnplaced(c *candidate, tasks int, now time.Duration) {
	s := e.shortages[c.unit.Service]
	if s == nil {
		if !c.inputs.OnTime() {
			return
		}
		s = &shortage{}
		e.shortages[c.unit.Service] = s
	}
	w := e.toWaiting(c)
	w.Need *= float64(tasks) / float64(len(c.unit.Tasks))
	s.waiting = append(s.waiting, w)
	if c.inputs.OnTime() {
		s.seenAt = now
	}
}

// measure determines the use of a service's accelerators, and the time that the waiting work takes.
func (s *shortage) measure(f *fleetSnapshot, service string) {
	total, free := placement.Accelerators(f.workers, service)
	s.accel, s.used = total, 0
	if total > 0 {
		s.used = 1 - float64(free)/float64(total)
	}
	need := 0.0
	for i := range s.waiting {
		need += s.waiting[i].Need
	}
	s.wait = time.Duration(need / float64(max(1, total)) * float64(time.Second))
}

// switchShortage logs the beginning and the end of a shortage.
func (e *Engine) switchShortage(service string, s *shortage, now time.Duration) {
	if s.wait < shortageWait {
		s.seenAt = 0
	}
	on := s.seenAt > 0 && now < s.seenAt+shortageHold
	if on == s.on {
		return
	}
	s.on = on
	if on {
		e.Count("shortages", 1)
	}
	e.Log.Info().Str("event", "shortage").Str("service", service).Bool("on", on).Int("waiting", len(s.waiting)).
		Dur("need", s.wait).Float64("used", s.used).Int("accelerators", s.accel).Msg("")
}

// endShortages ends the shortages of all services when nothing waits.
func (e *Engine) endShortages() {
	for service, s := range e.shortages {
		s.waiting, s.wait = nil, 0
		e.switchShortage(service, s, e.SinceBoot())
	}
}

// addLostValues adds to the runs what their jobs lose if the runs are evicted in a shortage, if any
// unit may evict. Otherwise only the lost work counts.
func (e *Engine) addLostValues(f *fleetSnapshot, units []placement.Unit) {
	short := func(u placement.Unit) bool {
		return u.MayEvict && e.shortages[u.Service] != nil && e.shortages[u.Service].on
	}
	if !slices.ContainsFunc(units, short) {
		return
	}
	left := map[string]time.Duration{} // by unit
	for i := range f.workers {
		for _, r := range f.workers[i].Runs {
			left[r.Group] = max(left[r.Group], r.Remaining)
		}
	}
	guaranteed := e.guaranteedJobs()
	lost := make(map[string]float64, len(left))
	for name, d := range left {
		if u := e.units[name]; u != nil {
			lost[name] = e.lostValue(u, guaranteed[u.job], d)
		}
	}
	for i := range f.workers {
		for n := range f.workers[i].Runs {
			r := &f.workers[i].Runs[n]
			r.LostValue = lost[r.Group]
		}
	}
}

// lostValue returns the value in core-seconds that a unit's job loses if the unit is stopped in a
// shortage, given the remaining time of its run.
func (e *Engine) lostValue(u *unit, guaranteed bool, left time.Duration) float64 {
	s := e.shortages[e.queuePolicy(u.job.Queue).Service]
	if s == nil || !s.on || u.aborted || u.done || u.orphan {
		return 0
	}
	r := e.rankInputs(u.job, u.occur, guaranteed)
	steps := max(0, r.Remaining-e.expectedRunTime(u.job, u.step)) // after this one
	if u.job.Steps[u.step].Checkpoints {
		r.Remaining = min(r.Remaining, left+steps+e.Timing.RestoreTime)
	}

	return e.costInput(u.job, u.step, len(u.members), r).LostValue(min(r.Remaining, left+steps), s.wait)
}
