package work

import (
	"fmt"
	"slices"
)

const (
	// DefaultRecordBytes is the size of the largest record of a store that states none.
	DefaultRecordBytes = 256 << 10
	// Upper bound of a task's state in a progress record and its share of its occurrence's, with
	// names of workers and checkpoints of 40 bytes.
	taskStateBytes = 128
	// Upper bound of the rest of a progress record, with its key.
	headBytes = 6 << 10
)

// SizeError means that a job is too large to be stored.
type SizeError struct {
	What  string // what there is too much of
	Size  int
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%d %s of the job are more than %d, the largest number that can be stored", e.Size, e.What, e.Limit)
}

// MaxOpenTasks returns the number of tasks whose state fits in one record of the given size.
// Occurrences of a job that are due wait for others to end while it has that many tasks.
func MaxOpenTasks(recordBytes int) int {
	return max(0, min(maxTasks, (recordBytes-headBytes)/taskStateBytes))
}

// Tasks returns the number of tasks of one occurrence.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}

	return n
}

// mostOpenTasks returns the number of tasks of the occurrences that must be open at the same time: of
// all if they have tasks that run until the job is cancelled.
func (j Job) mostOpenTasks() int {
	if slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning }) {
		return j.Occurrences() * j.Tasks()
	}

	return j.Tasks()
}

// KeptBytes returns about how much memory, and storage, the job and the state of its tasks take.
func (j Job) KeptBytes() int {
	n := headBytes/8 + len(j.Spec) + j.Tasks()*taskStateBytes
	for _, s := range j.Steps {
		n += taskStateBytes + len(s.Label) + len(s.Rack) + len(s.Image) + 8*len(s.After)
	}

	return n
}

// CheckSize returns a SizeError if the job or its progress does not fit in records of the given
// size.
func (j Job) CheckSize(recordBytes int) error {
	if n, limit := j.mostOpenTasks(), MaxOpenTasks(recordBytes); n > limit {
		return &SizeError{What: "tasks", Size: n, Limit: limit}
	}
	b, err := Encode(j)
	if err != nil {
		return err
	}
	if n, limit := len(b), recordBytes-1-len(Key(OpenRecord, j.ID)); n > limit { // one byte holds the length of the key
		return &SizeError{What: "bytes", Size: n, Limit: limit}
	}

	return nil
}
