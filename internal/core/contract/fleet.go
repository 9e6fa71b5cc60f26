package contract

import (
	"fmt"
	"math/bits"

	"sesameyoke/internal/core/unit"
)

// MaxRack bounds the accelerators of a rack: a rack's occupancy is one 64-bit mask.
const MaxRack = 64

type (
	// Worker is one host of accelerators in a rack.
	Worker struct {
		Name         string `json:"name" yaml:"name"`
		Accelerators int    `json:"accelerators" yaml:"accelerators"`
	}

	// Rack is a row of workers. Accelerators are adjacent in the order of the
	// workers, and workers that follow each other are adjacent.
	Rack struct {
		Name    string   `json:"name" yaml:"name"`
		Domain  string   `json:"domain" yaml:"domain"`
		Region  string   `json:"region" yaml:"region"`
		Workers []Worker `json:"workers" yaml:"workers"`
	}

	// Fleet is the inventory of racks that operators publish.
	Fleet struct {
		Racks []Rack `json:"racks" yaml:"racks"`
		Spare bool   `json:"spare" yaml:"spare"` // promises have to hold with any one rack gone
	}
)

// Size returns the accelerators of the rack.
func (r Rack) Size() int {
	n := 0
	for _, w := range r.Workers {
		n += w.Accelerators
	}

	return n
}

// Mask returns one bit for each accelerator of the rack.
func (r Rack) Mask() uint64 {
	return Low(r.Size())
}

// Low returns the lowest n bits set.
func Low(n int) uint64 {
	if n >= MaxRack {
		return ^uint64(0)
	}

	return uint64(1)<<n - 1
}

// Starts returns the positions of mask from which width adjacent bits are set.
func Starts(mask uint64, width int) uint64 {
	m := mask
	have := 1
	for have < width && m != 0 {
		step := min(have, width-have)
		m &= m >> step
		have += step
	}

	return m
}

// Longest returns the longest run of adjacent bits in mask.
func Longest(mask uint64) int {
	n := 0
	for mask != 0 {
		mask >>= bits.TrailingZeros64(mask)
		run := bits.TrailingZeros64(^mask)
		n = max(n, run)
		if run == MaxRack {
			break
		}
		mask >>= run
	}

	return n
}

// Validate returns all invalid fields of the fleet, as unit.Faults.
func (f Fleet) Validate() error {
	var faults unit.Faults
	seen := make(map[string]string)
	for i, r := range f.Racks {
		at := fmt.Sprintf("racks[%d]", i)
		faults.Under(at, r.faults(seen, at))
	}

	return faults.Err()
}

func (r Rack) faults(seen map[string]string, at string) unit.Faults {
	var f unit.Faults
	checkName(&f, "name", r.Name, seen, at)
	if !unit.ValidName(r.Region) {
		f.Add("region", "%q is not a name", r.Region)
	}
	if !unit.ValidName(r.Domain) {
		f.Add("domain", "%q is not a name", r.Domain)
	}
	if n := r.Size(); n < 1 || n > MaxRack {
		f.Add("workers", "%d accelerators are not between 1 and %d", n, MaxRack)
	}
	for i, w := range r.Workers {
		field := fmt.Sprintf("workers[%d]", i)
		checkName(&f, field+".name", w.Name, seen, at)
		if w.Accelerators < 1 {
			f.Add(field+".accelerators", "%d is less than 1", w.Accelerators)
		}
	}

	return f
}

func checkName(f *unit.Faults, field, name string, seen map[string]string, at string) {
	if !unit.ValidName(name) {
		f.Add(field, "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", name)

		return
	}
	if first, ok := seen[name]; ok {
		f.Add(field, "%q is used by %s already", name, first)

		return
	}
	seen[name] = at
}
