package placement

import (
	"cmp"
	"slices"
)

// rack holds the indexes of the workers of one rack.
type rack struct {
	name    string
	workers []int
}

// groupByRack groups the workers by rack and sorts the racks by name.
func groupByRack(workers []Worker) []rack {
	index := map[string]int{}
	var racks []rack
	sizes := []int{}
	for i := range workers {
		at, ok := index[workers[i].Rack]
		if !ok {
			at = len(racks)
			index[workers[i].Rack] = at
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
		r := &racks[index[workers[i].Rack]]
		r.workers = append(r.workers, i)
	}
	slices.SortFunc(racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })

	return racks
}

// mayFit reports whether a rack has enough free accelerators in total for all tasks of
// a unit. It is a cheap check before the exact placement.
func (r *rack) mayFit(workers []Worker, u *Unit) bool {
	need := u.Need.Accelerators * len(u.Tasks)
	for _, i := range r.workers {
		if need <= 0 {
			break
		}
		if workers[i].Schedulable {
			need -= workers[i].Free.Accelerators
		}
	}

	return need <= 0
}
