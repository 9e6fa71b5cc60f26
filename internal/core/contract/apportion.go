package contract

import (
	"math/bits"
	"sort"

	"github.com/pkg/errors"
)

type (
	// Block is a run of adjacent accelerators in a rack that is assigned to a promise.
	Block struct {
		Workspace string `json:"workspace"`
		Rack      int    `json:"rack"` // index into Fleet.Racks
		First     int    `json:"first"`
		Width     int    `json:"width"`
	}

	// MisfitError reports a promised block that does not fit into the fleet.
	MisfitError struct {
		Workspace string
		Width     int
		LostRack  string // name of the rack assumed to be lost; empty means none
	}

	// demand is a promised block that has no position yet.
	demand struct {
		workspace string
		width     int
	}
)

// Error names the promised block and the rack assumed to be lost.
func (e *MisfitError) Error() string {
	s := "a block of %d adjacent accelerators promised to %s does not fit the racks"
	if e.LostRack != "" {
		return errors.Errorf(s+" without rack %s", e.Width, e.Workspace, e.LostRack).Error()
	}

	return errors.Errorf(s, e.Width, e.Workspace).Error()
}

// Mask returns the accelerators of the block as a mask of its rack.
func (b Block) Mask() uint64 {
	return LowMask(b.Width) << b.First
}

// Apportion assigns each promised block a fixed position. Racks whose index is set in
// lost are not used. The result is a pure function of the arguments, therefore every VM
// computes the same assignment. Blocks that do not fit are returned as misfits, widest
// first.
func Apportion(book Book, fleet Fleet, lost map[int]bool) (blocks []Block, misfits []MisfitError) {
	free := make([]uint64, len(fleet.Racks))
	for i, r := range fleet.Racks {
		if !lost[i] {
			free[i] = r.Mask()
		}
	}
	for _, d := range promisedBlocks(book) {
		rack, first := bestFit(free, d.width)
		if rack < 0 {
			misfits = append(misfits, MisfitError{Workspace: d.workspace, Width: d.width})

			continue
		}
		b := Block{Workspace: d.workspace, Rack: rack, First: first, Width: d.width}
		free[rack] &^= b.Mask()
		blocks = append(blocks, b)
	}

	return blocks, misfits
}

// CheckFits checks that all promises can be met at the same time and, if the fleet requires it,
// after the loss of any one rack. The error is a *MisfitError.
func CheckFits(book Book, fleet Fleet) error {
	if _, misfits := Apportion(book, fleet, nil); len(misfits) > 0 {
		return &misfits[0]
	}
	if !fleet.SurviveRackLoss {
		return nil
	}
	for i, r := range fleet.Racks {
		_, misfits := Apportion(book, fleet, map[int]bool{i: true})
		if len(misfits) > 0 {
			misfits[0].LostRack = r.Name

			return &misfits[0]
		}
	}

	return nil
}

// promisedBlocks returns the promised blocks, widest first. A wide block has the fewest
// possible positions, and narrow blocks fit into the remaining gaps.
func promisedBlocks(book Book) []demand {
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

// bestFit returns, among the racks with a free run of the width, the one with the fewest free
// accelerators, and a start position in it. It returns -1, -1 if there is no such rack.
// Positions aligned to the width are preferred, so that blocks do not straddle workers
// unnecessarily.
func bestFit(free []uint64, width int) (rack, first int) {
	best := MaxRackSize + 1
	rack, first = -1, -1
	for i, mask := range free {
		starts := RunStarts(mask, width)
		if starts == 0 {
			continue
		}
		left := bits.OnesCount64(mask) - width
		if left >= best {
			continue
		}
		best = left
		rack = i
		first = firstAligned(starts, width)
	}

	return rack, first
}

func firstAligned(starts uint64, width int) int {
	for m := starts; m != 0; m &= m - 1 {
		p := bits.TrailingZeros64(m)
		if p%width == 0 {
			return p
		}
	}

	return bits.TrailingZeros64(starts)
}
