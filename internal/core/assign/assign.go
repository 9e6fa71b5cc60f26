// Package assign decides which tasks start where, and which runs give way. It
// has no clock and no I/O.
package assign

import (
	"container/heap"
	"slices"

	"sesameyoke/internal/core/work"
)

type (
	// Run occupies capacity and may be evicted.
	Run struct {
		Group    string // runs of one gang end together
		Priority int
		Lost     float64 // core-seconds that stopping it throws away
		Ending   bool    // is being stopped already
		Need     work.Shape
	}

	// Worker is a place for tasks.
	Worker struct {
		Service string
		Rack    string
		Labels  []string
		Room    work.Shape
		Free    work.Shape
		Open    bool    // takes new work
		Penalty float64 // 0 for a worker with a good record
		Slow    float64 // how much longer than usual its runs take; 1 is usual
		Claim   string  // unit that its room is kept for
		NoFill  bool    // takes no tasks that fill
		Busy    float64 // share of its processors that is spoken for
		Kept    int     // lowest priority that may not use it; 0 if all may
		Runs    []Run
	}

	// Unit is a gang, or the tasks of a step that may start one by one.
	Unit struct {
		Name     string
		Service  string // whose workers may run it
		Tasks    []int
		Need     work.Shape
		Gang     bool
		Together bool // only on one rack
		Label    string
		Near     string // rack that holds the data
		Stay     bool   // only on that rack
		Spread   int
		Fills    bool         // takes the processor time that others leave
		Placed   map[int]int  // tasks of the step that run already, by worker
		Avoid    map[int]bool // workers on which it has failed
		Allowed  map[int]bool // the only workers that may run it; nil for any
		Priority int
		Haste    float64 // what a fast worker is worth, in shares of a worker left free
		Claimed  bool    // some worker's room is kept for it
		Overdue  bool    // has waited so long that it may use workers kept for others
		Evicts   bool    // may stop runs of a lower priority
	}

	// Placement puts one task on a worker.
	Placement struct {
		Unit   int
		Task   int
		Worker int
	}

	// Result of a decision.
	Result struct {
		Placements []Placement
		Evicted    []string       // groups to stop
		Claims     map[int]string // workers whose room is kept, with the unit
	}

	// choice collects the placements of one unit before they are certain.
	choice struct {
		at    []int // worker by task
		taken map[int]int
	}
)

const (
	slowFrom  = 2.0  // slower workers are used last
	busyCost  = 4.0  // of a worker whose processors are all spoken for, to a task that fills
	farCost   = 10.0 // of a rack that does not hold the data
	rackDelay = 24   // accelerators left free on a rack that a delay of 1 is worth
	slowCost  = 5.0  // for each time that such a worker takes longer
)

// Decide places units in the given order. It changes Free of the workers.
func Decide(workers []Worker, units []Unit) Result {
	r := Result{Claims: map[int]string{}}
	racks := byRack(workers)
	keep(workers, racks)
	failed := map[want]int{}
	reserved := slices.ContainsFunc(units, func(u Unit) bool { return u.Overdue && u.Claimed })
	for i := range units {
		u := &units[i]
		c := choice{}
		if !hopeless(failed, u) {
			c = place(workers, racks, u)
		}
		if len(c.at) < len(u.Tasks) {
			remember(failed, u, len(c.at)+1)
		}
		for t, w := range c.at {
			workers[w].Free = workers[w].Free.Minus(u.Need)
			r.Placements = append(r.Placements, Placement{Unit: i, Task: u.Tasks[t], Worker: w})
		}
		if u.Evicts && len(c.at) < len(u.Tasks) && (u.Gang || len(c.at) == 0) {
			evict(workers, racks, u, &r)
		}
		if u.Overdue && u.Gang && len(c.at) == 0 && !reserved {
			reserve(workers, racks, u, &r)
			reserved = true
		}
	}

	return r
}

// want is what units have in common that need the same of a worker.
type want struct {
	need     work.Shape
	service  string
	together bool
	label    string
	near     string
	priority int
	overdue  bool
}

func (u *Unit) want() (want, bool) {
	plain := u.Spread == 0 && len(u.Avoid) == 0 && u.Allowed == nil
	near := ""
	if u.Stay {
		near = u.Near
	}

	return want{need: u.Need, service: u.Service, together: u.Gang && u.Together, label: u.Label, near: near, priority: u.Priority, overdue: u.Overdue}, plain
}

// hopeless reports whether so many tasks of this kind have found no room in this
// decision. Room only shrinks while it lasts.
func hopeless(failed map[want]int, u *Unit) bool {
	w, plain := u.want()
	n, ok := failed[w]
	if !plain || !ok || u.Claimed {
		return false
	}
	if u.Gang {
		return len(u.Tasks) >= n
	}

	return n == 1
}

// remember notes that n tasks of the unit's kind find no room.
func remember(failed map[want]int, u *Unit, n int) {
	w, plain := u.want()
	if !plain || u.Claimed {
		return
	}
	if u.Gang {
		n = len(u.Tasks)
	} else if n > 1 {
		n = 1 // some were placed: for the next one there is no room
	}
	if old, ok := failed[w]; !ok || n < old {
		failed[w] = n
	}
}

// place chooses workers for a unit: all of a gang or none.
func place(workers []Worker, racks []rack, u *Unit) choice {
	if u.Gang && u.Together {
		return placeOnRack(workers, racks, u)
	}
	c := fill(workers, everywhere(workers), u)
	if u.Gang && len(c.at) < len(u.Tasks) {
		return choice{}
	}

	return c
}

func everywhere(workers []Worker) []int {
	all := make([]int, len(workers))
	for i := range all {
		all[i] = i
	}

	return all
}

// placeOnRack takes the rack that has the least room left afterwards.
func placeOnRack(workers []Worker, racks []rack, u *Unit) choice {
	var (
		best choice
		left float64
	)
	for i := range racks {
		r := &racks[i]
		if !r.may(workers, u) {
			continue
		}
		c := fill(workers, r.workers, u)
		if len(c.at) < len(u.Tasks) {
			continue
		}
		free := rackDelay * slowest(workers, c.at, u)
		for _, w := range r.workers {
			if workers[w].Open {
				free += float64(workers[w].Free.Accelerators)
			}
		}
		if r.name == u.Near {
			return c
		}
		if best.at == nil || free < left {
			best, left = c, free
		}
	}

	return best
}

// slowest returns the delay of the slowest worker of a choice: a gang ends with it.
func slowest(workers []Worker, at []int, u *Unit) float64 {
	most := 0.0
	for _, w := range at {
		most = max(most, workers[w].delay(u))
	}

	return most
}

// offer is a worker with the cost of one more task there.
type offer struct {
	cost   float64
	worker int
}

// offers is a heap of workers, the cheapest first.
type offers []offer

func (o offers) Len() int      { return len(o) }
func (o offers) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o offers) Less(i, j int) bool {
	if o[i].cost == o[j].cost {
		return o[i].worker < o[j].worker
	}

	return o[i].cost < o[j].cost
}

// Push adds an offer.
func (o *offers) Push(x any) {
	if v, ok := x.(offer); ok {
		*o = append(*o, v)
	}
}

// Pop removes the last offer.
func (o *offers) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]

	return last
}

// fill puts as many tasks as fit on the given workers, each on the cheapest one. A
// task changes the cost of its own worker only.
func fill(workers []Worker, among []int, u *Unit) choice {
	c := choice{taken: map[int]int{}}
	open := make(offers, 0, len(among))
	for _, i := range among {
		if cost, ok := costOf(workers, i, u, &c); ok {
			open = append(open, offer{cost, i})
		}
	}
	heap.Init(&open)
	for len(c.at) < len(u.Tasks) && len(open) > 0 {
		i := open[0].worker
		c.at = append(c.at, i)
		c.taken[i]++
		if cost, ok := costOf(workers, i, u, &c); ok {
			open[0].cost = cost
			heap.Fix(&open, 0)
		} else {
			heap.Pop(&open)
		}
	}

	return c
}

// costOf returns the cost of one more task on a worker, least where that leaves the
// least room to spare, and whether it may run there.
func costOf(workers []Worker, i int, u *Unit, c *choice) (float64, bool) {
	w := &workers[i]
	free := w.Free
	if n := c.taken[i]; n > 0 {
		free = free.Minus(times(u.Need, n))
	}
	if !u.Need.Fits(free) || !allowed(w, i, u, c) {
		return 0, false
	}
	x := w.Penalty + w.delay(u)
	if u.Fills {
		x += busyCost * w.Busy
	} else {
		x += leftover(free.Minus(u.Need), w.Room)
	}
	if u.Near != "" && w.Rack != u.Near {
		x += farCost
	}

	return x, true
}

// delay is the cost of a worker's slowness to a unit. A passing slowness counts
// for every unit.
func (w *Worker) delay(u *Unit) float64 {
	switch {
	case w.Slow == 0:
		return 0
	case w.Slow >= slowFrom:
		return slowCost * w.Slow
	}

	return u.Haste * (w.Slow - 1)
}

// allowed reports whether the unit may use a worker, apart from its room.
func allowed(w *Worker, i int, u *Unit, c *choice) bool {
	switch {
	case !w.Open, u.Avoid[i], u.Allowed != nil && !u.Allowed[i]:
		return false
	case w.Claim != "" && w.Claim != u.Name, w.Kept > 0 && u.Priority >= w.Kept && !u.Overdue:
		return false
	case w.Service != u.Service, u.Fills && w.NoFill:
		return false
	case u.Label != "" && !slices.Contains(w.Labels, u.Label):
		return false
	case u.Stay && w.Rack != u.Near:
		return false
	}

	return u.Spread == 0 || u.Placed[i]+c.taken[i] < u.Spread
}

func times(s work.Shape, n int) work.Shape {
	return work.Shape{CPU: s.CPU * n, Memory: s.Memory * n, Accelerators: s.Accelerators * n}
}

// leftover is small for a worker that a task fills well.
func leftover(free, room work.Shape) float64 {
	return share(free.Accelerators, room.Accelerators) + 0.3*share(free.CPU, room.CPU) + 0.1*share(free.Memory, room.Memory)
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}

	return float64(a) / float64(b)
}
