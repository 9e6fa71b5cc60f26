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
	GivenUp // has used up the attempts that its queue allows
)

type (
	// Phase is the phase of a job.
	Phase uint8

	// TaskPhase is the phase of a task.
	TaskPhase uint8

	// TaskState is the durable state of a task.
	TaskState struct {
		_             struct{} `cbor:",toarray"`
		Phase         TaskPhase
		Run           int64  // number of the newest run
		Worker        string // worker of the newest run
		Incarnation   int64  // incarnation of that worker
		Failures      int    `cbor:"Fails"` // number of failed runs; the tag only keeps the name that errors of decoding show
		LastFailedRun int64  // number of the newest run counted as failed; prevents counting a run twice
		Saved         string // newest checkpoint; empty for none
	}

	// Occurrence is the state of one execution of the job's steps.
	Occurrence struct {
		_     struct{}      `cbor:",toarray"`
		Steps [][]TaskState // by step and index; dropped when an occurrence of a recurring job ends
		Ended bool
	}

	// Progress is the durable state of a job.
	Progress struct {
		_       struct{} `cbor:",toarray"`
		Phase   Phase
		Started bool  // at least one task has been assigned to a worker and may have started
		Ended   int64 // end of the job, in Unix milliseconds
		Occurs  []Occurrence
	}
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "phase " + strconv.Itoa(int(p))
	}

	return phaseNames[p]
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Completed }

// ended reports whether a task is done, or its occurrence is.
func (p Progress) ended(t Task) bool {
	if t.Occur >= len(p.Occurs) {
		return false
	}
	o := &p.Occurs[t.Occur]
	if o.Ended {
		return true
	}

	return t.Step < len(o.Steps) && t.Index < len(o.Steps[t.Step]) && o.Steps[t.Step][t.Index].Phase == Done
}

// NewOccurrence returns the initial state of an occurrence.
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
