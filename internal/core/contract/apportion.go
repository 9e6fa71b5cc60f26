package contract

import (
	"math/bits"
	"sort"

	"github.com/pkg/errors"
)

type (
	// Block is one promised run of accelerators in a rack.
	Block struct {
		Workspace string `json:"workspace"`
		Rack      int    `json:"rack"` // index in Fleet.Racks
		First     int    `json:"first"`
		Width     int    `json:"width"`
	}

	// MisfitError names the promise that does not fit the racks.
	MisfitError struct {
		Workspace string
		Width     int
		Without   string // the rack that is assumed gone; empty is none
	}

	demand struct {
		workspace string
		width     int
	}
)

// Error states the promise and the rack that was assumed gone.
func (e *MisfitError) Error() string {
	s := "a block of %d adjacent accelerators promised to %s does not fit the racks"
	if e.Without != "" {
		return errors.Errorf(s+" without rack %s", e.Width, e.Workspace, e.Without).Error()
	}

	return errors.Errorf(s, e.Width, e.Workspace).Error()
}

// Mask returns the block's accelerators as bits of its rack.
func (b Block) Mask() uint64 {
	return Low(b.Width) << b.First
}

// Apportion gives each promised block a fixed place. gone lists racks by index
// that hold nothing. The result depends on the arguments alone, so every VM
// computes the same one. Blocks that do not fit are returned as misfits, the
// widest first.
func Apportion(book Book, fleet Fleet, gone map[int]bool) (blocks []Block, misfits []MisfitError) {
	free := make([]uint64, len(fleet.Racks))
	for i, r := range fleet.Racks {
		if !gone[i] {
			free[i] = r.Mask()
		}
	}
	for _, w := range demands(book) {
		rack, first := tightest(free, w.width)
		if rack < 0 {
			misfits = append(misfits, MisfitError{Workspace: w.workspace, Width: w.width})

			continue
		}
		b := Block{Workspace: w.workspace, Rack: rack, First: first, Width: w.width}
		free[rack] &^= b.Mask()
		blocks = append(blocks, b)
	}

	return blocks, misfits
}

// Fits reports whether all promises can be met at once, and with any one rack
// gone where the fleet asks for that. The error is a *MisfitError.
func Fits(book Book, fleet Fleet) error {
	if _, misfits := Apportion(book, fleet, nil); len(misfits) > 0 {
		return &misfits[0]
	}
	if !fleet.Spare {
		return nil
	}
	for i, r := range fleet.Racks {
		_, misfits := Apportion(book, fleet, map[int]bool{i: true})
		if len(misfits) > 0 {
			misfits[0].Without = r.Name

			return &misfits[0]
		}
	}

	return nil
}

// demands lists the promised blocks, widest first: a wide block has the fewest
// places, and a narrow one fits what is left over.
func demands(book Book) []demand {
	var all []demand
	for name, c := range book {
		for _, p := range c.Promises {
			for range p.Blocks {
				all = append(all, demand{workspace: name, width: p.Width})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].width != all[j].width {
			return all[i].width > all[j].width
		}

		return all[i].workspace < all[j].workspace
	})

	return all
}

// tightest returns the rack and first position whose free run is the smallest
// that takes width, or -1. Aligned positions go first, so that blocks do not
// straddle workers without need.
func tightest(free []uint64, width int) (rack, first int) {
	best := MaxRack + 1
	rack, first = -1, -1
	for i, mask := range free {
		starts := Starts(mask, width)
		if starts == 0 {
			continue
		}
		left := bits.OnesCount64(mask) - width
		if left >= best {
			continue
		}
		best = left
		rack = i
		first = aligned(starts, width)
	}

	return rack, first
}

func aligned(starts uint64, width int) int {
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		if p%width == 0 {
			return p
		}
	}

	return bits.TrailingZeros64(starts)
}
