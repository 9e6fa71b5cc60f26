package assign

import (
	"cmp"
	"slices"
)

// rack is the workers of one rack.
type rack struct {
	name    string
	workers []int
}

// byRack groups the workers; the racks are in the order of their names.
func byRack(workers []Worker) []rack {
	place := map[string]int{}
	var racks []rack
	sizes := []int{}
	for i := range workers {
		at, ok := place[workers[i].Rack]
		if !ok {
			at = len(racks)
			place[workers[i].Rack] = at
			racks = append(racks, rack{name: workers[i].Rack})
			sizes = append(sizes, 0)
		}
		sizes[at]++
	}
	all := make([]int, len(workers))
	from := 0
	for at, n := range sizes {
		racks[at].workers = all[from : from : from+n]
		from += n
	}
	for i := range workers {
		r := &racks[place[workers[i].Rack]]
		r.workers = append(r.workers, i)
	}
	slices.SortFunc(racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })

	return racks
}

// may reports whether the free accelerators of a rack could hold all tasks of a unit.
func (r *rack) may(workers []Worker, u *Unit) bool {
	need := u.Need.Accelerators * len(u.Tasks)
	for _, i := range r.workers {
		if need <= 0 {
			break
		}
		if workers[i].Open {
			need -= workers[i].Free.Accelerators
		}
	}

	return need <= 0
}
