package work

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// A progress record lists this many occurrences one by one. With more, its compact form lists
	// only those that have not ended; versions before that form cannot read it.
	maxListed = 1000
	// First byte of a CBOR array of five elements: that of a record which lists only these.
	compactHead = 0x85
)

type (
	// compactProgress is the record of a Progress with many occurrences. Those that are not
	// listed have ended.
	compactProgress struct {
		_       struct{} `cbor:",toarray"`
		Phase   Phase
		Started bool
		Ended   int64 // end of the job, in Unix milliseconds
		Count   int   // number of occurrences
		Open    []openOccurrence
	}

	// openOccurrence is an occurrence that has not ended.
	openOccurrence struct {
		_     struct{} `cbor:",toarray"`
		Index int
		Steps [][]TaskState
	}
)

// Compacts reports whether EncodeCompact uses the compact form.
func (p Progress) Compacts() bool { return len(p.Occurs) > maxListed }

// EncodeCompact encodes the progress as a record, whose size depends on the open occurrences but
// hardly on how many have ended.
func (p Progress) EncodeCompact() ([]byte, error) {
	if !p.Compacts() {
		return Encode(p)
	}
	c := compactProgress{Phase: p.Phase, Started: p.Started, Ended: p.Ended, Count: len(p.Occurs)}
	for i, o := range p.Occurs {
		if !o.Ended {
			c.Open = append(c.Open, openOccurrence{Index: i, Steps: o.Steps})
		}
	}

	return Encode(c)
}

// WithoutTasks returns the progress without its occurrences.
func (p Progress) WithoutTasks() Progress {
	p.Occurs = nil

	return p
}

// WithoutCheckpoints returns a copy of the progress without the tasks' checkpoints.
func (p Progress) WithoutCheckpoints() Progress {
	p.Occurs = slices.Clone(p.Occurs)
	for i := range p.Occurs {
		p.Occurs[i].Steps = slices.Clone(p.Occurs[i].Steps)
		for s, tasks := range p.Occurs[i].Steps {
			tasks = slices.Clone(tasks)
			for k := range tasks {
				tasks[k].Saved = ""
			}
			p.Occurs[i].Steps[s] = tasks
		}
	}

	return p
}

// DecodeProgress decodes a progress record and checks that it matches the given job.
func DecodeProgress(b []byte, j *Job) (Progress, error) {
	p, err := decodeProgress(b, j)
	if err != nil {
		return p, err
	}
	if p.Phase > Cancelled || len(p.Occurs) > j.Occurrences() {
		return p, errors.Errorf("progress of job %q has phase %d and %d occurrences", j.ID, p.Phase, len(p.Occurs))
	}
	for _, o := range p.Occurs {
		if len(o.Steps) == 0 && o.Ended {
			continue
		}
		if err := o.validate(j); err != nil {
			return p, err
		}
	}

	return p, nil
}

func decodeProgress(b []byte, j *Job) (Progress, error) {
	if len(b) == 0 || b[0] != compactHead {
		var p Progress

		return p, errors.Wrap(cbor.Unmarshal(b, &p), "decode progress")
	}
	var c compactProgress
	if err := cbor.Unmarshal(b, &c); err != nil {
		return Progress{}, errors.Wrap(err, "decode progress")
	}
	if c.Count < 0 || c.Count > j.Occurrences() {
		return Progress{}, errors.Errorf("progress of job %q has %d occurrences", j.ID, c.Count)
	}
	p := Progress{Phase: c.Phase, Started: c.Started, Ended: c.Ended, Occurs: make([]Occurrence, c.Count)}
	for i := range p.Occurs {
		p.Occurs[i].Ended = true
	}
	for _, o := range c.Open {
		if o.Index < 0 || o.Index >= c.Count {
			return p, errors.Errorf("progress of job %q has occurrence %d of %d", j.ID, o.Index, c.Count)
		}
		p.Occurs[o.Index] = Occurrence{Steps: o.Steps}
	}

	return p, nil
}

// validate returns an error if the occurrence does not have the steps and tasks of the job.
func (o *Occurrence) validate(j *Job) error {
	if len(o.Steps) != len(j.Steps) {
		return errors.Errorf("progress of job %q has %d steps instead of %d", j.ID, len(o.Steps), len(j.Steps))
	}
	for i, s := range o.Steps {
		if len(s) != j.Steps[i].Count {
			return errors.Errorf("progress of job %q has %d tasks in step %d instead of %d", j.ID, len(s), i, j.Steps[i].Count)
		}
	}

	return nil
}
