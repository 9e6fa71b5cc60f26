// Package placement places waiting tasks on workers, evicts runs of lower priority
// and reserves workers for gangs that do not fit yet. It has no clock and no I/O.
package placement

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"sesameyoke/internal/core/work"
)

type (
	// Run is a run that occupies capacity of a worker and may be evicted.
	Run struct {
		Group     string // unit of the run; the runs of a gang are stopped together
		Priority  int
		LostWork  float64 // core-seconds of work that are lost if the group is stopped
		LostValue float64 // value in core-seconds that its job loses if the group is stopped
		Ending    bool    // the run is already being stopped
		Placed    bool    // placed in this decision: it has not started and is not evicted
		Borrowed  bool    // urgent work that its workspace's guarantee does not cover
		Need      work.Shape

		Remaining time.Duration // expected time until it ends
	}

	// Worker is a worker as the placement sees it.
	Worker struct {
		Service      string
		Rack         string
		Labels       []string
		Capacity     work.Shape
		Free         work.Shape
		Schedulable  bool          // accepts new runs
		Penalty      float64       // placement cost because of recent failures; 0 for none
		Slowdown     float64       // run time relative to the usual one; 1 is usual, 0 is unknown
		ClaimedBy    string        // unit that capacity was freed for by eviction; empty for none
		ColdFor      time.Duration // how much longer its runs are slow because it has just started
		NoBestEffort bool          // accepts no best-effort tasks
		CPUDemand    float64       // CPU demand of its runs as a share of its CPU capacity; may exceed 1
		SpareBelow   int           // spare worker: accepts only priorities with a number below this; 0 if not a spare
		Runs         []Run
		Lasting      []LastingRun  // runs of long-running tasks, which only guaranteed units may evict
		Limited      []LimitedTask // long-running tasks that can't be stopped at will

		reserved *reservation // made in this decision
	}

	// Unit is a gang, or tasks of a step that may start independently.
	Unit struct {
		Name         string
		Service      string // only workers of this service may run the unit
		Tasks        []int
		Need         work.Shape
		Gang         bool
		SameRack     bool   // a gang must be on a single rack
		Label        string // label that a worker must have; empty for none
		DataRack     string // rack that holds the data; empty for none
		DataRackOnly bool   // may run only on the rack that holds the data
		MaxPerWorker int    // maximum number of the step's tasks per worker; 0 for no limit
		BestEffort   bool   // best-effort: uses the CPU time that other tasks leave idle
		LongRunning  bool
		Placed       map[int]int  // number of the step's tasks that already hold capacity, by worker
		Avoid        map[int]bool // workers to exclude, such as those on which the job has failed
		Exclude      map[int]bool // workers to exclude even if the unit is overdue
		Allowed      map[int]bool // the only workers that may run the unit; nil for any
		Priority     int
		Length       time.Duration // expected run time of a task
		Reserves     bool          // a gang that gets a reservation if it does not fit
		SpeedWeight  float64       // placement cost per unit of slowdown above 1
		MaxSlowdown  float64       // on slower workers the unit misses its objective; 0 if that is not known, or if it does anyway
		SparesFast   bool          // a gang that leaves fast workers to others, unless all its members can have one
		HasClaim     bool          // some worker is claimed by the unit
		UsesSpares   bool          // may use spare workers whatever its priority
		Overdue      bool          // has waited too long beside free capacity: its preferences and others' reservations no longer keep it waiting
		MayEvict     bool          // may evict runs of a lower priority
		Guaranteed   bool          // covered by its workspace's guarantee: may evict borrowed runs too
		Limited      *LimitedTask  // what its tasks have in common, if they can't be stopped at will; else nil
		Guarantees   []Guarantee   // of its service, which its limited tasks must leave reclaimable
	}

	// Placement puts one task on a worker.
	Placement struct {
		Unit   int
		Task   int
		Worker int
	}

	// Result is the outcome of a decision.
	Result struct {
		Placements []Placement
		Evicted    []string       // groups to stop
		Claims     map[int]string // workers claimed by eviction: unit by worker
	}

	// assignment is a tentative placement of one unit's tasks.
	assignment struct {
		byTask    []int       // worker by position in Unit.Tasks
		perWorker map[int]int // number of tasks by worker
	}
)

// Placement costs are relative to that of leaving all accelerators of a worker unused, which is 1.
const (
	slowThreshold      = 2.0  // slowdown from which a worker is used last
	cpuContentionCost  = 4.0  // cost to a best-effort task of a worker whose CPU demand equals its capacity
	remoteRackCost     = 10.0 // cost of a worker outside the rack that holds the data
	rackSlowdownWeight = 24   // free accelerators on a rack that weigh as much as a slowdown cost of 1
	fastWorker         = 0.75 // slowdown up to which a worker is fast
	sparedFastCost     = 0.5  // cost to a gang, per unit of difference, of a worker whose speed it cannot use
	slowWorkerCost     = 5.0  // cost per unit of slowdown of a worker at or above slowThreshold
)

// Decide places units in the given order and subtracts what they need from the free
// capacity of their workers. For units that do not fit it may evict runs, or reserve
// workers for the time when they are expected to fit.
func Decide(workers []Worker, units []Unit) Result {
	r := Result{Claims: map[int]string{}}
	racks := groupByRack(workers)
	markSpare(workers, racks)
	failed := map[requirement]failure{}
	for i := range units {
		u := &units[i]
		a := assignment{}
		if !cannotFit(failed, u) {
			a = place(workers, racks, u)
		}
		for t, w := range a.byTask {
			workers[w].occupy(u)
			if u.Limited != nil {
				workers[w].addLimited(u.limitedTask(u.Tasks[t]))
			}
			r.Placements = append(r.Placements, Placement{Unit: i, Task: u.Tasks[t], Worker: w})
		}
		if len(a.byTask) < len(u.Tasks) {
			recordFailure(failed, u, len(a.byTask)+1)
			if len(a.byTask) == 0 {
				makeRoom(workers, racks, u, &r)
			}
		}
	}

	return r
}

// makeRoom evicts runs for a unit of which no task fits, or reserves workers for it.
func makeRoom(workers []Worker, racks []rack, u *Unit, r *Result) {
	anySpeed := *u
	anySpeed.MaxSlowdown = 0
	if u.MayEvict && evict(workers, racks, &anySpeed, r) {
		return
	}
	if u.Reserves && u.Gang && !u.HasClaim {
		reserve(workers, racks, &anySpeed)
	}
}

// requirement is the key under which units with equal placement constraints share
// the result of a failed placement in one decision.
type requirement struct {
	need       work.Shape
	service    string
	sameRack   bool
	label      string
	rack       string
	priority   int
	usesSpares bool
	overdue    bool
	bestEffort bool
}

// requirement returns the unit's key. The result is false if the key does not cover
// all of the unit's constraints.
func (u *Unit) requirement() (requirement, bool) {
	complete := u.Limited == nil && u.MaxPerWorker == 0 && len(u.Avoid) == 0 && len(u.Exclude) == 0 && u.Allowed == nil
	rack := ""
	if u.DataRackOnly {
		rack = u.DataRack
	}

	return requirement{need: u.Need, service: u.Service, sameRack: u.Gang && u.SameRack, label: u.Label, rack: rack, priority: u.Priority, usesSpares: u.UsesSpares, overdue: u.Overdue, bestEffort: u.BestEffort}, complete
}

// failure is the smallest unit with a requirement that has not fit.
type failure struct {
	tasks  int
	length time.Duration
}

// cannotFit reports whether a unit with the same requirement and at most as many tasks
// has already failed to fit in this decision. Free capacity only shrinks during a
// decision, so another attempt would fail too.
func cannotFit(failed map[requirement]failure, u *Unit) bool {
	key, complete := u.requirement()
	f, ok := failed[key]
	if !complete || !ok || u.HasClaim || u.Length < f.length {
		return false
	}
	if u.Gang {
		return len(u.Tasks) >= f.tasks
	}

	return f.tasks == 1
}

// recordFailure records that n tasks with the unit's requirement do not fit.
func recordFailure(failed map[requirement]failure, u *Unit, n int) {
	key, complete := u.requirement()
	if !complete || u.HasClaim {
		return
	}
	if u.Gang {
		n = len(u.Tasks)
	} else if n > 1 {
		n = 1 // some tasks were placed, and not even one more fits
	}
	if old, ok := failed[key]; !ok || (n <= old.tasks && u.Length <= old.length) {
		failed[key] = failure{n, u.Length}
	}
}

// place chooses workers for a unit. If none fits, an overdue unit is placed without regard to
// its preferences.
func place(workers []Worker, racks []rack, u *Unit) assignment {
	a := placeAsPreferred(workers, racks, u)
	if len(a.byTask) > 0 || !u.Overdue {
		return a
	}
	relaxed := *u
	relaxed.SameRack, relaxed.DataRackOnly, relaxed.Avoid = false, false, nil

	return placeAsPreferred(workers, racks, &relaxed)
}

// placeAsPreferred chooses workers for a unit: first among fast ones for an urgent gang, then among
// those that are fast enough for its objective, then among all.
func placeAsPreferred(workers []Worker, racks []rack, u *Unit) assignment {
	for _, limit := range u.speedLimits() {
		limited := *u
		limited.MaxSlowdown, limited.SparesFast = limit, false
		if a := placeWithin(workers, racks, &limited); len(a.byTask) == len(u.Tasks) {
			return a
		}
	}
	anySpeed := *u
	anySpeed.MaxSlowdown = 0

	return placeWithin(workers, racks, &anySpeed)
}

// speedLimits returns the limits of the workers' slowdown that are tried in turn.
func (u *Unit) speedLimits() []float64 {
	var limits []float64
	if u.SparesFast && u.Priority == preemptingPriority {
		limits = append(limits, fastWorker)
	}
	if u.MaxSlowdown > 0 {
		limits = append(limits, u.MaxSlowdown)
	}

	return limits
}

// placeWithin chooses workers for a unit: for all tasks of a gang or for none, for as many of
// other tasks as fit.
func placeWithin(workers []Worker, racks []rack, u *Unit) assignment {
	if u.Limited != nil && len(u.Guarantees) > 0 {
		return placeLimited(workers, racks, u)
	}

	return placeUnlimited(workers, racks, u)
}

// placeUnlimited is placeWithin without regard to guarantees.
func placeUnlimited(workers []Worker, racks []rack, u *Unit) assignment {
	if u.Gang && u.SameRack {
		return placeOnRack(workers, racks, u)
	}
	a := packTasks(workers, allWorkers(workers), u)
	if u.Gang && len(a.byTask) < len(u.Tasks) {
		return assignment{}
	}

	return a
}

// allWorkers returns the indexes of all workers.
func allWorkers(workers []Worker) []int {
	all := make([]int, len(workers))
	for i := range all {
		all[i] = i
	}

	return all
}

// placeOnRack places a whole gang on one rack: the one that holds the data if the
// gang fits there, else the one with the fewest free accelerators, where the slowdown
// of the slowest chosen worker counts as additional free accelerators.
func placeOnRack(workers []Worker, racks []rack, u *Unit) assignment {
	var (
		best      assignment
		bestScore float64
	)
	for i := range racks {
		r := &racks[i]
		if !r.mayFit(workers, u) {
			continue
		}
		a := packTasks(workers, r.workers, u)
		if len(a.byTask) < len(u.Tasks) {
			continue
		}
		score := rackSlowdownWeight * maxSlowdownCost(workers, a.byTask, u)
		for _, w := range r.workers {
			if workers[w].Schedulable {
				score += float64(workers[w].Free.Accelerators)
			}
		}
		if r.name == u.DataRack {
			return a
		}
		if best.byTask == nil || score < bestScore {
			best, bestScore = a, score
		}
	}

	return best
}

// maxSlowdownCost returns the slowdown cost of the slowest chosen worker: a gang is
// only as fast as its slowest member.
func maxSlowdownCost(workers []Worker, byTask []int, u *Unit) float64 {
	highest := 0.0
	for _, w := range byTask {
		highest = max(highest, workers[w].slowdownCost(u)+workers[w].coldCost(u))
	}

	return highest
}

// costEntry is a worker with the cost of placing one more task on it.
type costEntry struct {
	cost   float64
	worker int
}

// costHeap is a heap of workers by cost, then by index.
type costHeap []costEntry

func (h costHeap) Len() int      { return len(h) }
func (h costHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h costHeap) Less(i, j int) bool {
	if h[i].cost == h[j].cost {
		return h[i].worker < h[j].worker
	}

	return h[i].cost < h[j].cost
}

// Push implements heap.Interface.
func (h *costHeap) Push(x any) {
	if v, ok := x.(costEntry); ok {
		*h = append(*h, v)
	}
}

// Pop implements heap.Interface.
func (h *costHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}

// packTasks assigns as many tasks as fit to the candidate workers, each to the cheapest
// one. An assigned task changes the cost of its own worker only, so one heap entry is
// updated per task.
func packTasks(workers []Worker, candidates []int, u *Unit) assignment {
	a := assignment{perWorker: map[int]int{}}
	costs := make(costHeap, 0, len(candidates))
	for _, i := range candidates {
		if cost, ok := costOf(workers, i, u, &a); ok {
			costs = append(costs, costEntry{cost, i})
		}
	}
	heap.Init(&costs)
	for len(a.byTask) < len(u.Tasks) && len(costs) > 0 {
		i := costs[0].worker
		a.byTask = append(a.byTask, i)
		a.perWorker[i]++
		if cost, ok := costOf(workers, i, u, &a); ok {
			costs[0].cost = cost
			heap.Fix(&costs, 0)
		} else {
			heap.Pop(&costs)
		}
	}

	return a
}

// costOf returns the cost of placing one more task on a worker, and whether that is
// possible. The cost is lowest where the task leaves the least capacity unused
// (best fit); for best-effort tasks, where the CPU demand is lowest.
func costOf(workers []Worker, i int, u *Unit, a *assignment) (float64, bool) {
	w := &workers[i]
	free := w.Free
	if n := a.perWorker[i]; n > 0 {
		free = free.Minus(scale(u.Need, n))
	}
	if !u.Need.Fits(free) || !allowed(w, i, u, a) {
		return 0, false
	}
	cost := w.Penalty + w.slowdownCost(u) + w.coldCost(u)
	if u.BestEffort {
		cost += cpuContentionCost * w.CPUDemand
	} else {
		cost += unusedShare(free.Minus(u.Need), w.Capacity)
	}
	if u.DataRack != "" && w.Rack != u.DataRack {
		cost += remoteRackCost
	}

	return cost, true
}

// slowdownCost returns the cost of a worker's slowdown to a unit. A slowdown of
// slowThreshold or more, typically a temporary one, costs every unit the same; the cost
// of a smaller one depends on the unit's SpeedWeight.
func (w *Worker) slowdownCost(u *Unit) float64 {
	switch {
	case w.Slowdown == 0:
		return 0
	case w.Slowdown >= slowThreshold:
		return slowWorkerCost * w.Slowdown
	case u.SparesFast:
		return math.Abs(w.Slowdown-1) * sparedFastCost
	}

	return u.SpeedWeight * (w.Slowdown - 1)
}

// allowed reports whether all constraints other than capacity permit one more task of
// the unit on a worker.
func allowed(w *Worker, i int, u *Unit, a *assignment) bool {
	switch {
	case !w.Schedulable, u.Avoid[i], u.Exclude[i], u.Allowed != nil && !u.Allowed[i]:
		return false
	case w.ClaimedBy != "" && w.ClaimedBy != u.Name, w.keptSpare(u):
		return false
	case w.delaysReservation(u, a.perWorker[i]):
		return false
	case w.Service != u.Service, u.BestEffort && w.NoBestEffort:
		return false
	case u.Label != "" && !slices.Contains(w.Labels, u.Label):
		return false
	case u.MaxSlowdown > 0 && w.Slowdown > u.MaxSlowdown:
		return false
	case u.DataRackOnly && w.Rack != u.DataRack:
		return false
	}

	return u.MaxPerWorker == 0 || u.Placed[i]+a.perWorker[i] < u.MaxPerWorker
}

func scale(s work.Shape, n int) work.Shape {
	return work.Shape{CPU: s.CPU * n, Memory: s.Memory * n, Accelerators: s.Accelerators * n}
}

// unusedShare returns the share of a worker's capacity that is free, as a weighted sum
// over the resources.
func unusedShare(free, capacity work.Shape) float64 {
	return ratio(free.Accelerators, capacity.Accelerators) + 0.3*ratio(free.CPU, capacity.CPU) + 0.1*ratio(free.Memory, capacity.Memory)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}

	return float64(a) / float64(b)
}
