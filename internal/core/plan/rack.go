package plan

import (
	"math/bits"
	"slices"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

// minUnfragmentedRun is the minimum length of a free run that does not count as fragmented.
const minUnfragmentedRun = 8

type (
	// rack is the state of one rack. Bit i of a mask is accelerator i.
	rack struct {
		mask     uint64 // all accelerators; 0 if the rack is in another region
		free     uint64 // not occupied by a job
		down     uint64 // on workers that are lost, draining or quarantined
		reserved uint64 // reserved for a job that waits until they are free
		promised uint64 // in blocks promised to any workspace
		owner    [contract.MaxRackSize]*plannedJob
		workers  []span
		layouts  []layout
		bucket   int // index into racks.buckets; -1 means none yet
	}

	// span is the range of a worker's accelerators in its rack.
	span struct {
		name  string
		first int
		width int
	}

	// layout caches the start positions at which no member of a shape straddles workers.
	layout struct {
		members int
		width   int
		starts  uint64
	}

	// racks indexes racks by the length of their longest usable run.
	racks struct {
		all     []rack
		buckets [contract.MaxRackSize + 1][]uint64 // bit sets of rack indexes, by length of the longest usable run
		usable  int                                // accelerators that are free, up and not reserved
		total   int                                // accelerators that are up
	}
)

func newRacks(fleet contract.Fleet, region string) *racks {
	rs := &racks{all: make([]rack, len(fleet.Racks))}
	words := (len(fleet.Racks) + 63) / 64
	for i := range rs.buckets {
		rs.buckets[i] = make([]uint64, words)
	}
	for i, r := range fleet.Racks {
		if region == "" || r.Region == region {
			rs.all[i].addWorkers(r)
		}
		rs.all[i].bucket = -1
		rs.usable += bits.OnesCount64(rs.all[i].mask)
		rs.index(i)
	}
	rs.total = rs.usable

	return rs
}

func (r *rack) addWorkers(c contract.Rack) {
	at := 0
	for _, w := range c.Workers {
		r.workers = append(r.workers, span{name: w.Name, first: at, width: w.Accelerators})
		at += w.Accelerators
	}
	r.mask = c.Mask()
	r.free = r.mask
}

// usable returns the accelerators that are free, up and not reserved.
func (r *rack) usable() uint64 {
	return r.free &^ r.down &^ r.reserved
}

// update lets f change the masks of a rack, then updates the totals and the index.
func (rs *racks) update(i int, f func(r *rack)) {
	r := &rs.all[i]
	rs.usable -= bits.OnesCount64(r.usable())
	rs.total -= bits.OnesCount64(r.mask &^ r.down)
	f(r)
	rs.usable += bits.OnesCount64(r.usable())
	rs.total += bits.OnesCount64(r.mask &^ r.down)
	rs.index(i)
}

func (rs *racks) index(i int) {
	r := &rs.all[i]
	b := contract.LongestRun(r.usable())
	if b == r.bucket {
		return
	}
	bit := uint64(1) << (i % 64)
	if r.bucket >= 0 {
		rs.buckets[r.bucket][i/64] &^= bit
	}
	rs.buckets[b][i/64] |= bit
	r.bucket = b
}

// starts returns the positions at which the given number of adjacent members of the width
// can begin without any of them straddling two workers.
func (r *rack) starts(members, width int) uint64 {
	for _, l := range r.layouts {
		if l.members == members && l.width == width {
			return l.starts
		}
	}
	one := r.startsOnOneWorker(width)
	all := one & contract.RunStarts(r.mask, min(members*width, contract.MaxRackSize))
	if members*width > contract.MaxRackSize {
		all = 0
	}
	for m := 1; m < members && all != 0; m++ {
		all &= one >> (m * width)
	}
	r.layouts = append(r.layouts, layout{members: members, width: width, starts: all})

	return all
}

// startsOnOneWorker returns the positions at which a run of width accelerators lies on one
// worker.
func (r *rack) startsOnOneWorker(width int) uint64 {
	var m uint64
	for _, w := range r.workers {
		if w.width >= width {
			m |= contract.LowMask(w.width-width+1) << w.first
		}
	}

	return m
}

// workerAt returns the worker to which the accelerator at the position belongs.
func (r *rack) workerAt(pos int) span {
	i, _ := slices.BinarySearchFunc(r.workers, pos, func(w span, p int) int {
		if w.first+w.width <= p {
			return -1
		}
		if w.first > p {
			return 1
		}

		return 0
	})

	return r.workers[i]
}

// fragmented returns the bits of mask that are not part of a run of at least
// minUnfragmentedRun bits.
func fragmented(mask uint64) uint64 {
	starts := contract.RunStarts(mask, minUnfragmentedRun)
	var in uint64
	for i := range minUnfragmentedRun {
		in |= starts << i
	}

	return mask &^ in
}

// occupants returns the distinct jobs that run on the accelerators in mask.
func (r *rack) occupants(mask uint64) []*plannedJob {
	var out []*plannedJob
	for m := mask &^ r.free; m != 0; m &= m - 1 {
		j := r.owner[bits.TrailingZeros64(m)]
		if j != nil && !slices.Contains(out, j) {
			out = append(out, j)
		}
	}

	return out
}

// mask returns the accelerators of the place as a mask of its rack.
func (p Place) mask() uint64 {
	return contract.LowMask(p.Width) << p.First
}

// adjacentPlaces returns the places of all members of an adjacent shape that begins at
// position first.
func adjacentPlaces(rack, first int, s job.Shape) []Place {
	out := make([]Place, 0, s.Members)
	for m := range s.Members {
		out = append(out, Place{Rack: rack, First: first + m*s.Width, Width: s.Width})
	}

	return out
}
