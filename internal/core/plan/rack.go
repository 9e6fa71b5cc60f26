package plan

import (
	"math/bits"
	"slices"

	"sesameyoke/internal/core/contract"
	"sesameyoke/internal/core/job"
)

// wide is the number of adjacent accelerators that counts as a whole block in the
// measure of fragmentation.
const wide = 8

type (
	// rack is the occupancy of one rack. Bit i of a mask is accelerator i.
	rack struct {
		mask     uint64 // all accelerators
		free     uint64 // not occupied by a job
		down     uint64 // workers that are gone, leaving or put aside
		held     uint64 // kept for a job that waits for them to be cleared
		promised uint64 // blocks of any workspace
		owner    [contract.MaxRack]*item
		workers  []span
		layouts  []layout
		bucket   int // index in racks.buckets
	}

	// span is a worker's accelerators in its rack.
	span struct {
		name  string
		first int
		width int
	}

	// layout caches the positions from which a shape lies within workers.
	layout struct {
		members int
		width   int
		starts  uint64
	}

	// racks finds racks by the longest run of accelerators that can be used.
	racks struct {
		all     []rack
		buckets [contract.MaxRack + 1][]uint64 // bit sets of racks
		usable  int                            // accelerators that are free, up and not held
		total   int                            // accelerators that are up
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
			rs.all[i].fill(r)
		}
		rs.all[i].bucket = -1
		rs.usable += bits.OnesCount64(rs.all[i].mask)
		rs.index(i)
	}
	rs.total = rs.usable

	return rs
}

func (r *rack) fill(c contract.Rack) {
	at := 0
	for _, w := range c.Workers {
		r.workers = append(r.workers, span{name: w.Name, first: at, width: w.Accelerators})
		at += w.Accelerators
	}
	r.mask = c.Mask()
	r.free = r.mask
}

// usable returns the accelerators on which a job can start now.
func (r *rack) usable() uint64 {
	return r.free &^ r.down &^ r.held
}

// update changes a rack's masks through f and keeps the index right.
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
	b := contract.Longest(r.usable())
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

// starts returns the positions from which members of the width follow each other
// without one lying on two workers.
func (r *rack) starts(members, width int) uint64 {
	for _, l := range r.layouts {
		if l.members == members && l.width == width {
			return l.starts
		}
	}
	one := r.within(width)
	all := one & contract.Starts(r.mask, min(members*width, contract.MaxRack))
	if members*width > contract.MaxRack {
		all = 0
	}
	for m := 1; m < members && all != 0; m++ {
		all &= one >> (m * width)
	}
	r.layouts = append(r.layouts, layout{members: members, width: width, starts: all})

	return all
}

// within returns the positions from which width accelerators lie on one worker.
func (r *rack) within(width int) uint64 {
	var m uint64
	for _, w := range r.workers {
		if w.width >= width {
			m |= contract.Low(w.width-width+1) << w.first
		}
	}

	return m
}

// workerAt returns the worker that holds a position.
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

// outside returns the bits of mask that are in no run of at least wide bits.
func outside(mask uint64) uint64 {
	starts := contract.Starts(mask, wide)
	var in uint64
	for i := range wide {
		in |= starts << i
	}

	return mask &^ in
}

// occupants returns the distinct jobs on the accelerators of mask.
func (r *rack) occupants(mask uint64) []*item {
	var out []*item
	for m := mask &^ r.free; m != 0; m &= m - 1 {
		it := r.owner[bits.TrailingZeros64(m)]
		if it != nil && !slices.Contains(out, it) {
			out = append(out, it)
		}
	}

	return out
}

// mask returns the place's accelerators as bits of its rack.
func (p Place) mask() uint64 {
	return contract.Low(p.Width) << p.First
}

// sideBySide returns the places of the members of an adjacent shape from a position.
func sideBySide(rack, first int, s job.Shape) []Place {
	out := make([]Place, 0, s.Members)
	for m := range s.Members {
		out = append(out, Place{Rack: rack, First: first + m*s.Width, Width: s.Width})
	}

	return out
}
