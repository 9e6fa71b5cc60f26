package work

import "strconv"

// Phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Phases of a task.
const (
	Waiting TaskPhase = iota
	Assigned
	Done
	GivenUp // has failed as often as its queue allows
)

type (
	// Phase of a job.
	Phase uint8

	// TaskPhase is the phase of a task.
	TaskPhase uint8

	// TaskState is what is kept of a task.
	TaskState struct {
		_      struct{} `cbor:",toarray"`
		Phase  TaskPhase
		Run    int64  // number of the newest run
		Worker string // that the newest run was given to
		Born   int64  // incarnation of that worker
		Fails  int    // runs that ended as failed
		Failed int64  // newest run that is counted in Fails
		Saved  string // newest checkpoint
	}

	// Occurrence is one time that the steps run: tasks by step and index.
	Occurrence struct {
		_     struct{} `cbor:",toarray"`
		Steps [][]TaskState
		Ended bool
	}

	// Progress is what a planner keeps of a job.
	Progress struct {
		_       struct{} `cbor:",toarray"`
		Phase   Phase
		Started bool  // some task has been started
		Ended   int64 // end of the job, Unix milliseconds
		Occurs  []Occurrence
	}
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String names the phase.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "phase " + strconv.Itoa(int(p))
	}

	return phaseNames[p]
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Completed }

// NewOccurrence returns the state of an occurrence that has not begun.
func NewOccurrence(j *Job) Occurrence {
	o := Occurrence{Steps: make([][]TaskState, len(j.Steps))}
	for i, s := range j.Steps {
		o.Steps[i] = make([]TaskState, s.Count)
	}

	return o
}

// StepDone reports whether all tasks of a step are done.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != Done {
			return false
		}
	}

	return true
}

// Done reports whether all tasks of the occurrence are done.
func (o *Occurrence) Done() bool {
	for s := range o.Steps {
		if !o.StepDone(s) {
			return false
		}
	}

	return true
}
