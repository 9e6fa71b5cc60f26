package work

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

type (
	// TaskCrashes counts the crashes of workers under one task.
	TaskCrashes struct {
		// Runs are the numbers of the runs under which a worker has crashed. They keep a
		// crash from being counted twice.
		Runs []int64 `cbor:"1,keyasint"`
		// Blamed is the number of crashes, one after the other, that the task may have
		// caused.
		Blamed int `cbor:"2,keyasint"`
		// Host is the address of the worker of the newest run; empty if it is not known.
		Host string `cbor:"3,keyasint,omitempty"`
		// Doubtful is the number of those in Blamed under runs that may never have begun.
		Doubtful int `cbor:"4,keyasint,omitempty"`
		// Assigned is when the newest run was assigned, in Unix milliseconds; 0 if it is not known.
		Assigned int64 `cbor:"5,keyasint,omitempty"`
	}

	// Crashes is the durable count of crashes under the tasks of one job. It has a record of
	// its own: all versions read the fields of a TaskState by their number, and reject a
	// record with one more.
	Crashes map[Task]TaskCrashes

	// crashesRow is one entry of a record of Crashes.
	crashesRow struct {
		Occur int         `cbor:"1,keyasint"`
		Step  int         `cbor:"2,keyasint"`
		Index int         `cbor:"3,keyasint"`
		Count TaskCrashes `cbor:"4,keyasint"`
	}
)

// SuspectAll returns counts for a job whose record cannot be read: each task that may be started again
// counts as the possible cause of one crash, so that it is given up sooner.
func SuspectAll(j *Job, p Progress) Crashes {
	c := Crashes{}
	for o := range p.Occurs {
		for s := range p.Occurs[o].Steps {
			for i := range p.Occurs[o].Steps[s] {
				c[Task{Job: j.ID, Occur: o, Step: s, Index: i}] = TaskCrashes{Blamed: 1}
			}
		}
	}
	c.DropEnded(p)

	return c
}

// DropEnded removes the counts of tasks that are not started again.
func (c Crashes) DropEnded(p Progress) {
	maps.DeleteFunc(c, func(t Task, _ TaskCrashes) bool { return p.ended(t) })
}

// Encode encodes the counts as a record. Equal counts give equal records.
func (c Crashes) Encode() ([]byte, error) {
	rows := make([]crashesRow, 0, len(c))
	for t, n := range c {
		rows = append(rows, crashesRow{Occur: t.Occur, Step: t.Step, Index: t.Index, Count: n})
	}
	slices.SortFunc(rows, func(a, b crashesRow) int {
		return cmp.Or(cmp.Compare(a.Occur, b.Occur), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	b, err := cbor.Marshal(rows)

	return b, errors.Wrap(err, "encode crashes")
}

// DecodeCrashes decodes the record of a job's crashes.
func DecodeCrashes(b []byte, job string) (Crashes, error) {
	var rows []crashesRow
	if err := cbor.Unmarshal(b, &rows); err != nil {
		return nil, errors.Wrap(err, "decode crashes")
	}
	c := Crashes{}
	for _, r := range rows {
		t := Task{Job: job, Occur: r.Occur, Step: r.Step, Index: r.Index}
		if !t.Possible() {
			return nil, errors.Errorf("crashes of impossible task %v", t)
		}
		c[t] = r.Count
	}

	return c, nil
}
