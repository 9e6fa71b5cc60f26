package contract

import (
	"fmt"
	"math/bits"

	"sesameyoke/internal/core/unit"
)

// MaxRackSize is the maximum number of accelerators in a rack. The occupancy of a rack is
// stored in a single 64-bit mask.
const MaxRackSize = 64

type (
	// Worker is a host with accelerators in a rack.
	Worker struct {
		Name         string `json:"name" yaml:"name"`
		Accelerators int    `json:"accelerators" yaml:"accelerators"`
	}

	// Rack is an ordered list of workers. Accelerators are numbered in the order of the
	// workers. Consecutive numbers are adjacent, also across the boundary between two
	// workers.
	Rack struct {
		Name    string   `json:"name" yaml:"name"`
		Domain  string   `json:"domain" yaml:"domain"` // failure domain
		Region  string   `json:"region" yaml:"region"`
		Workers []Worker `json:"workers" yaml:"workers"`
	}

	// Fleet is the inventory of racks published by operators.
	Fleet struct {
		Racks           []Rack `json:"racks" yaml:"racks"`
		SurviveRackLoss bool   `json:"spare" yaml:"spare"` // all promises must still fit after the loss of any one rack
	}
)

// Size returns the number of accelerators in the rack.
func (r Rack) Size() int {
	n := 0
	for _, w := range r.Workers {
		n += w.Accelerators
	}

	return n
}

// Mask returns a mask with one bit set for each accelerator of the rack.
func (r Rack) Mask() uint64 {
	return LowMask(r.Size())
}

// LowMask returns a mask with the lowest n bits set.
func LowMask(n int) uint64 {
	if n >= MaxRackSize {
		return ^uint64(0)
	}

	return uint64(1)<<n - 1
}

// RunStarts returns the positions in mask at which a run of width set bits begins. Runs may
// overlap.
func RunStarts(mask uint64, width int) uint64 {
	m := mask
	length := 1
	for length < width && m != 0 {
		step := min(length, width-length)
		m &= m >> step
		length += step
	}

	return m
}

// LongestRun returns the length of the longest run of set bits in mask.
func LongestRun(mask uint64) int {
	n := 0
	for mask != 0 {
		mask >>= bits.TrailingZeros64(mask)
		run := bits.TrailingZeros64(^mask)
		n = max(n, run)
		if run == MaxRackSize {
			break
		}
		mask >>= run
	}

	return n
}

// Validate reports all invalid fields of the fleet as unit.FieldErrors.
func (f Fleet) Validate() error {
	var errs unit.FieldErrors
	seen := make(map[string]string)
	for i, r := range f.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		errs.AddNested(path, r.fieldErrors(seen, path))
	}

	return errs.Err()
}

func (r Rack) fieldErrors(seen map[string]string, path string) unit.FieldErrors {
	var f unit.FieldErrors
	checkName(&f, "name", r.Name, seen, path)
	if !unit.ValidName(r.Region) {
		f.Add("region", "%q is not a name", r.Region)
	}
	if !unit.ValidName(r.Domain) {
		f.Add("domain", "%q is not a name", r.Domain)
	}
	if n := r.Size(); n < 1 || n > MaxRackSize {
		f.Add("workers", "%d accelerators are not between 1 and %d", n, MaxRackSize)
	}
	for i, w := range r.Workers {
		field := fmt.Sprintf("workers[%d]", i)
		checkName(&f, field+".name", w.Name, seen, path)
		if w.Accelerators < 1 {
			f.Add(field+".accelerators", "%d is less than 1", w.Accelerators)
		}
	}

	return f
}

func checkName(f *unit.FieldErrors, field, name string, seen map[string]string, path string) {
	if !unit.ValidName(name) {
		f.Add(field, "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", name)

		return
	}
	if first, ok := seen[name]; ok {
		f.Add(field, "%q is used by %s already", name, first)

		return
	}
	seen[name] = path
}
