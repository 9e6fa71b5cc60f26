// Package work holds the model of jobs: steps of tasks, their state, and the
// records that keep them.
package work

import (
	"fmt"
	"time"
)

// Limits of a job's size.
const (
	maxSpecBytes = 4000   // largest specification that callers may send
	maxSteps     = 64     // keeps a job's state well under one record
	maxTasks     = 2000   // a record of so many tasks stays under 256 KiB
	maxTimes     = 100000 // occurrences of one job
)

type (
	// Shape is a vector of resources.
	Shape struct {
		_            struct{} `cbor:",toarray"`
		CPU          int      // thousandths of a core
		Memory       int      // megabytes
		Accelerators int
	}

	// Step is a set of equal tasks.
	Step struct {
		_           struct{} `cbor:",toarray"`
		Count       int
		Need        Shape
		Estimate    int64 // rough run time of a task, in milliseconds
		After       []int // steps that must be done first
		Gang        bool  // the tasks run together or not at all
		OneRack     bool  // slower on more than one rack
		Checkpoints bool
		Label       string // that a worker must have
		Rack        string // that holds the data
		Spread      int    // most tasks of the step on one worker; 0 for any number
		Speculative bool   // copies may run in parallel
		Lasting     bool   // runs until the job is cancelled
		Image       string
		Target      int64 // bound of the tail of its response times, in milliseconds
		Fills       bool  // takes the processor time that others leave
		MayMiss     int   // tasks that may be away because of the system
	}

	// Job is what a caller handed in.
	Job struct {
		_         struct{} `cbor:",toarray"`
		ID        string
		Queue     string
		Workspace string
		Spec      string
		Steps     []Step
		Times     int   // occurrences; 0 for one that is due at once
		First     int64 // first occurrence, Unix milliseconds
		Interval  int64 // between occurrences, in milliseconds
		Sent      int64 // arrival at the entry VM, Unix milliseconds
	}

	// Task names one task.
	Task struct {
		Job   string
		Occur int
		Step  int
		Index int
	}
)

// Plus returns the sum of two shapes.
func (s Shape) Plus(o Shape) Shape {
	return Shape{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Minus returns the difference of two shapes.
func (s Shape) Minus(o Shape) Shape {
	return Shape{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Fits reports whether s fits into room.
func (s Shape) Fits(room Shape) bool {
	return s.CPU <= room.CPU && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// Validate returns the first fault of a job.
func (j Job) Validate() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, more than %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("%d steps are not in the range 1 to %d", len(j.Steps), maxSteps)
	case j.Times < 0 || j.Times > maxTimes:
		return fmt.Errorf("%d occurrences are not in the range 0 to %d", j.Times, maxTimes)
	case j.Times > 1 && j.Interval <= 0:
		return fmt.Errorf("interval of %d ms between occurrences is not positive", j.Interval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("%d tasks are more than %d", tasks, maxTasks)
	}

	return nil
}

func (s Step) validate(i int) error {
	if s.Count < 1 {
		return fmt.Errorf("step %d has %d tasks", i, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.Spread < 0 || s.MayMiss < 0 {
		return fmt.Errorf("step %d has a negative figure", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("step %d depends on step %d, which is not an earlier one", i, a)
		}
	}

	return nil
}

// Possible reports whether a job within the limits can have such a task.
func (t Task) Possible() bool {
	return t.Occur >= 0 && t.Occur < maxTimes && t.Step >= 0 && t.Step < maxSteps && t.Index >= 0 && t.Index < maxTasks
}

// Occurrences is the number of times that the steps run.
func (j Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence may start, in Unix milliseconds; 0 for at once.
func (j Job) Due(occur int) int64 {
	if j.Times == 0 {
		return 0
	}

	return j.First + int64(occur)*j.Interval
}

// Span is the estimated length of the longest chain of steps.
func (j Job) Span() time.Duration {
	ends := make([]int64, len(j.Steps))
	longest := int64(0)
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}

	return time.Duration(longest) * time.Millisecond
}
