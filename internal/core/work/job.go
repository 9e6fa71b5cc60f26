// Package work defines jobs, their steps and tasks, the state of tasks, and the records
// in which jobs are stored.
package work

import (
	"fmt"
	"time"
)

// Limits of the size of a job.
const (
	MaxSteps       = 64     // keeps the state of a job well below the size of one record
	maxSpecBytes   = 4000   // largest specification that a caller may send
	maxTasks       = 2000   // of one occurrence, and of all open ones
	maxOccurrences = 100000 // occurrences of a recurring job
)

type (
	// Shape is a vector of resources.
	Shape struct {
		_            struct{} `cbor:",toarray"`
		CPU          int      // in thousandths of a core
		Memory       int      // in megabytes
		Accelerators int
	}

	// Step is a set of tasks with equal requirements.
	Step struct {
		_            struct{} `cbor:",toarray"`
		Count        int
		Need         Shape
		Estimate     int64  // declared run time of a task, in milliseconds; a rough figure
		After        []int  // earlier steps that must be done before this one starts
		Gang         bool   // all tasks run at the same time or none does (gang scheduling)
		SameRack     bool   // all tasks on the same rack: they are slower on more than one
		Checkpoints  bool   // the tasks write checkpoints from which they can resume
		Label        string // label that a worker must have; empty for none
		Rack         string // rack that holds the data; empty for none
		MaxPerWorker int    // maximum number of the step's tasks per worker; 0 for no limit
		Speculative  bool   // speculative execution: copies of a slow task may run in parallel
		LongRunning  bool   // long-running: the tasks run until the job is cancelled
		Image        string
		// LatencyTarget is the upper bound of the tail latency of a serving task, in
		// milliseconds; 0 for none. The tag only keeps the name that errors of decoding show.
		LatencyTarget  int64 `cbor:"Target"`
		BestEffort     bool  // best-effort: uses the CPU time that other tasks leave idle
		MaxUnavailable int   // long-running tasks that the scheduler may make unavailable at once; 0 counts as 1 in maintenance, and sets no limit for guarantees
	}

	// Job is a job as the caller submitted it.
	Job struct {
		_         struct{} `cbor:",toarray"`
		ID        string
		Queue     string
		Workspace string
		Spec      string // passed to the workers as the caller submitted it
		Steps     []Step
		Times     int   // number of occurrences; 0 for a single one that is due at once
		First     int64 // due time of the first occurrence, in Unix milliseconds
		Interval  int64 // interval between occurrences, in milliseconds
		Sent      int64 // time of arrival at the entry VM, in Unix milliseconds
	}

	// Task identifies a task by its job, occurrence, step and index in the step.
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

// Fits reports whether the capacity has enough of every resource for s.
func (s Shape) Fits(capacity Shape) bool {
	return s.CPU <= capacity.CPU && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

// Validate returns an error for the first invalid field of the job.
func (j Job) Validate() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, more than %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps are not in the range 1 to %d", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.Times > maxOccurrences:
		return fmt.Errorf("%d occurrences are not in the range 0 to %d", j.Times, maxOccurrences)
	case j.Times > 1 && j.Interval <= 0:
		return fmt.Errorf("interval of %d ms between occurrences is not positive", j.Interval)
	}
	tasks := uint64(0) // cannot overflow: the loop ends at the first step that is too large
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		if tasks += uint64(s.Count); tasks > maxTasks {
			return fmt.Errorf("%d tasks are more than %d", tasks, maxTasks)
		}
	}

	return nil
}

func (s Step) validate(i int) error {
	if s.Count < 1 {
		return fmt.Errorf("step %d has %d tasks", i, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("step %d has a negative figure", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("step %d depends on step %d, which is not an earlier one", i, a)
		}
	}

	return nil
}

// Possible reports whether a job within the size limits can contain the task.
func (t Task) Possible() bool {
	return t.Occur >= 0 && t.Occur < maxOccurrences && t.Step >= 0 && t.Step < MaxSteps && t.Index >= 0 && t.Index < maxTasks
}

// Occurrences returns the number of times that the steps of the job run.
func (j Job) Occurrences() int { return max(1, j.Times) }

// Due returns the time from which an occurrence may start, in Unix milliseconds; 0 for
// at once.
func (j Job) Due(occur int) int64 {
	if j.Times == 0 {
		return 0
	}

	return j.First + int64(occur)*j.Interval
}

// Span returns the declared run time of the longest chain of dependent steps (the critical
// path).
func (j Job) Span() time.Duration {
	ends := make([]int64, len(j.Steps)) // earliest end by step, in milliseconds
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
