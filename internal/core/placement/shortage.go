package placement

import (
	"slices"

	"sesameyoke/internal/core/work"
)

const (
	// AccelCores is the number of cores that an accelerator counts as.
	AccelCores = 8

	milliCores = 1000
)

// Shortage tells why a unit was not placed: how many of its tasks fit on the workers that
// could run it, and which constraint keeps out the others. Tasks are counted at the first
// constraint that applies to their worker, up to twice the tasks of the unit a worker.
type Shortage struct {
	Fit           int     // fit under all constraints
	FitOnRack     int     // the most of Fit on one rack
	Avoided       int     // fit on workers that the unit avoids
	OtherRack     int     // fit on racks other than that of the data, if the unit must be there
	Claimed       int     // fit on workers claimed by another unit
	Spare         int     // fit on spare workers
	Reserved      int     // fit on workers reserved for another gang
	Unschedulable int     // fit on workers that accept no new runs
	Used          float64 // share in use of the service's schedulable workers, with accelerators counted as cores
	UsedCPU       float64 // the same for the CPU alone
	UsedMemory    float64 // the same for the memory
	UsedAccel     float64 // the same for the accelerators
}

// Kept returns the number of tasks that would fit if only the unit's hard requirements
// counted: resources, service, label, tickets and tasks per worker.
func (s *Shortage) Kept() int {
	return s.Fit + s.Avoided + s.OtherRack + s.Claimed + s.Spare + s.Reserved
}

// Explain returns why a unit was not placed. It expects the workers as Decide left them.
func Explain(workers []Worker, u *Unit) Shortage {
	var s Shortage
	onRack := map[string]int{}
	var capacity, free work.Shape
	for i := range workers {
		w := &workers[i]
		if w.Service != u.Service {
			continue
		}
		if w.Schedulable {
			capacity, free = capacity.Plus(w.Capacity), free.Plus(w.Free)
		}
		n := w.fitting(i, u)
		*s.count(w, i, u) += n
		if s.count(w, i, u) == &s.Fit {
			onRack[w.Rack] += n
		}
	}
	for _, n := range onRack {
		s.FitOnRack = max(s.FitOnRack, n)
	}
	used := capacity.Minus(free)
	s.Used = ratio(cores(used), cores(capacity))
	s.UsedCPU, s.UsedMemory, s.UsedAccel = ratio(used.CPU, capacity.CPU), ratio(used.Memory, capacity.Memory), ratio(used.Accelerators, capacity.Accelerators)

	return s
}

// Used returns the share in use of a service's schedulable workers, with accelerators counted as
// cores.
func Used(workers []Worker, service string) float64 {
	var capacity, free work.Shape
	for i := range workers {
		if w := &workers[i]; w.Service == service && w.Schedulable {
			capacity, free = capacity.Plus(w.Capacity), free.Plus(w.Free)
		}
	}

	return ratio(cores(capacity.Minus(free)), cores(capacity))
}

// Accelerators returns the accelerators of a service's schedulable workers, and how many are free.
func Accelerators(workers []Worker, service string) (total, free int) {
	for i := range workers {
		if w := &workers[i]; w.Service == service && w.Schedulable {
			total, free = total+w.Capacity.Accelerators, free+w.Free.Accelerators
		}
	}

	return total, free
}

// cores returns a shape in thousandths of a core, with accelerators counted as cores.
func cores(s work.Shape) int { return s.CPU + milliCores*AccelCores*s.Accelerators }

// fitting returns how many tasks of a unit fit on a worker under the unit's hard requirements.
func (w *Worker) fitting(i int, u *Unit) int {
	if (u.Allowed != nil && !u.Allowed[i]) || (u.BestEffort && w.NoBestEffort) || (u.Label != "" && !slices.Contains(w.Labels, u.Label)) {
		return 0
	}
	most := 2 * len(u.Tasks)
	if u.MaxPerWorker > 0 {
		most = min(most, u.MaxPerWorker-u.Placed[i])
	}
	n := 0
	for free := w.Free; n < most && u.Need.Fits(free); n++ {
		free = free.Minus(u.Need)
	}

	return n
}

// count returns the counter for the first constraint that keeps a unit off a worker.
func (s *Shortage) count(w *Worker, i int, u *Unit) *int {
	switch {
	case !w.Schedulable:
		return &s.Unschedulable
	case u.Avoid[i], u.Exclude[i]:
		return &s.Avoided
	case u.DataRackOnly && w.Rack != u.DataRack:
		return &s.OtherRack
	case w.ClaimedBy != "" && w.ClaimedBy != u.Name:
		return &s.Claimed
	case w.keptSpare(u):
		return &s.Spare
	case w.delaysReservation(u, 0):
		return &s.Reserved
	}

	return &s.Fit
}
