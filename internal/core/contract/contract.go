// Package contract defines the capacity promised to workspaces and the fleet of racks that
// provides it, and checks whether all promises can be met at the same time.
package contract

import (
	"fmt"

	"sesameyoke/internal/core/unit"
)

const (
	maxBlocks = 10000
	maxWeight = 1000
)

type (
	// Promise guarantees a number of blocks, each of adjacent accelerators in one rack.
	Promise struct {
		Blocks int `json:"blocks" yaml:"blocks"`
		Width  int `json:"width" yaml:"width"` // accelerators per block
	}

	// Contract holds the guarantees and limits of one workspace.
	Contract struct {
		Workspace  string        `json:"workspace" yaml:"workspace"`
		Promises   []Promise     `json:"promises" yaml:"promises"`
		Quota      int           `json:"quota" yaml:"quota"`           // maximum accelerators in use; 0 means no limit
		Queue      int           `json:"queue" yaml:"queue"`           // maximum waiting jobs; further jobs are rejected
		Weight     int           `json:"weight" yaml:"weight"`         // weight in the fair sharing of capacity that is not promised
		Urgent     bool          `json:"urgent" yaml:"urgent"`         // may submit urgent jobs
		Checkpoint unit.Duration `json:"checkpoint" yaml:"checkpoint"` // time limit for the checkpoint of a preempted job
	}

	// Book maps workspace names to their contracts.
	Book map[string]Contract
)

// Size returns the total number of promised accelerators.
func (c Contract) Size() int {
	n := 0
	for _, p := range c.Promises {
		n += p.Blocks * p.Width
	}

	return n
}

// Defaults sets optional fields that the operator omitted.
func (c *Contract) Defaults() {
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.Queue == 0 {
		c.Queue = 1000
	}
	if c.Checkpoint.Duration == 0 {
		c.Checkpoint = unit.Seconds(30)
	}
}

// Validate reports all invalid fields of the contract as unit.FieldErrors.
func (c Contract) Validate() error {
	var f unit.FieldErrors
	if !unit.ValidName(c.Workspace) {
		f.Add("workspace", "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", c.Workspace)
	}
	for i, p := range c.Promises {
		if p.Blocks < 1 || p.Blocks > maxBlocks {
			f.Add(fmt.Sprintf("promises[%d].blocks", i), "%d is not between 1 and %d", p.Blocks, maxBlocks)
		}
		if p.Width < 1 || p.Width > MaxRackSize {
			f.Add(fmt.Sprintf("promises[%d].width", i), "%d is not between 1 and %d", p.Width, MaxRackSize)
		}
	}
	if c.Quota < 0 {
		f.Add("quota", "%d is negative", c.Quota)
	}
	if c.Quota > 0 && c.Quota < c.Size() {
		f.Add("quota", "%d is less than the promised %d accelerators", c.Quota, c.Size())
	}
	if c.Queue < 1 {
		f.Add("queue", "%d is less than 1", c.Queue)
	}
	if c.Weight < 1 || c.Weight > maxWeight {
		f.Add("weight", "%d is not between 1 and %d", c.Weight, maxWeight)
	}
	if c.Checkpoint.Duration <= 0 {
		f.Add("checkpoint", "%v is not positive", c.Checkpoint)
	}

	return f.Err()
}

// With returns a copy of the book in which c replaces the contract of its workspace.
func (b Book) With(c Contract) Book {
	n := b.clone()
	n[c.Workspace] = c

	return n
}

// Without returns a copy of the book that omits the contract of the workspace.
func (b Book) Without(workspace string) Book {
	n := b.clone()
	delete(n, workspace)

	return n
}

func (b Book) clone() Book {
	n := make(Book, len(b)+1)
	for k, v := range b {
		n[k] = v
	}

	return n
}
