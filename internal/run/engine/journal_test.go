package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/run/engine"
	"sesameyoke/internal/standin/fleet"
)

// movedSeeds is the number of sequences of TestMovedSequences. SESAMEYOKE_SEEDS sets another one.
const movedSeeds = 20

// journalRig is a rig whose planners may move the journal.
type journalRig struct {
	*rig
	same    bool   // the store ignores the partition of a call
	earlier bool   // a VM of an earlier version is known
	at      string // what happens at the next move: see hook
	moves   int
}

// TestJournal runs the scripts in testdata/journal, whose planners may move the journal. It guards
// against jobs that are lost, started again, or not served because one partition of the store fails.
func TestJournal(t *testing.T) {
	datadriven.Walk(t, "testdata/journal", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			r := &journalRig{rig: newRig(t, 1)}
			defer r.stop()
			r.mutation.config = r.configure
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return r.run(t, d) })
			require.Empty(t, r.fleet.Violations())
		})
	})
}

func (r *journalRig) configure(c *engine.Config) {
	direct := *c.Store
	c.JournalParts = 12
	c.AllReadMoved = func() bool { return !r.earlier }
	c.Count = func(name string, n int64) {
		if name == "journal_moves" {
			r.moves += int(n)
			r.hook("committed")
		}
	}
	c.Store = &store.Store{Read: direct.Read, Newest: func(ctx context.Context, topic string, part int, after string) (store.Page, error) {
		if r.same {
			part = 0
		}

		return direct.Newest(ctx, topic, part, after)
	}, Append: func(ctx context.Context, a store.Append) (int64, error) {
		if r.same {
			a.Part = 0
		}
		end, err := direct.Append(ctx, a)
		if err == nil && a.Topic == engine.JobsTopic && a.Part != 0 && len(a.Records) > 0 {
			r.hook("copied")
		}

		return end, err
	}}
}

// hook does what the script asked for at a stage of a move: "copied-kill" and "committed-kill" kill
// the planner; "copied-lost" loses the answers about the lease for a time.
func (r *journalRig) hook(stage string) {
	what, ok := strings.CutPrefix(r.at, stage+"-")
	if !ok {
		return
	}
	r.at = ""
	switch what {
	case "kill":
		for name, v := range r.running() {
			if v.engine.Load() != nil {
				r.kill(name)
			}
		}
	case "lost":
		r.store.FailPart("keyed.lead", 0, fleet.StoreFaults{LostShare: 1})
		time.AfterFunc(500*time.Millisecond, func() { r.store.FailPart("keyed.lead", 0, fleet.StoreFaults{}) })
	}
}

// run runs one command of a script: those below or those of TestScripts.
func (r *journalRig) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "part": // sets the faults of a partition
		topic, part := engine.JobsTopic, 0
		d.MaybeScanArgs(t, "topic", &topic)
		d.ScanArgs(t, "number", &part)
		f := parseFaults(t, d)
		f.Down = f.Down || f.Silent
		r.store.FailPart(topic, part, f)

		return ""
	case "earlier":
		r.earlier = d.CmdArgs[0].Key == "known"

		return ""
	case "same":
		r.same = true

		return ""
	case "at":
		r.at = d.CmdArgs[0].Key

		return ""
	case "unreadable":
		r.store.Put(engine.JobsTopic, work.Key(work.OpenRecord, "z"), []byte("\xff"))

		return ""
	case "stray": // a record that an earlier move has left in a partition
		part := 0
		d.ScanArgs(t, "number", &part)
		_, err := r.store.For("stray", func() {}).Append(t.Context(), store.Append{
			Topic: engine.JobsTopic, Part: part, ExpectedEnd: -1, Records: []store.Record{{Key: work.Key(work.OpenRecord, "s"), Value: []byte("\xff")}},
		})
		require.NoError(t, err)

		return ""
	case "journal":
		var except string
		d.MaybeScanArgs(t, "except", &except)

		return r.journal(except)
	}

	return r.runCommand(t, d)
}

// TestMovedSequences is TestSequences with partitions of the topic of jobs that fail one after the
// other, so that the journal moves while planners are lost, frozen and cut off. It guards against two
// journals that count, and against records that a move loses or revives.
func TestMovedSequences(t *testing.T) {
	moves := 0
	seeds := freshSeeds(t, movedSeeds)
	runSequences(t, seeds, func(r *rig) {
		r.mutation.config = func(c *engine.Config) {
			c.JournalParts = 12
			c.Count = func(name string, n int64) {
				if name == "journal_moves" {
					moves += int(n)
				}
			}
		}
		go failParts(r, rand.New(rand.NewPCG(r.seed, 3)))
	})
	require.GreaterOrEqual(t, moves, len(seeds))
}

// failParts makes one partition after the other fail for up to 5 s, most often that of the journal.
func failParts(r *rig, rnd *rand.Rand) {
	until := time.Now().Add(r.faultPeriod)
	for time.Now().Before(until) {
		part := rnd.IntN(4)
		if name, _ := r.planner(); name != "" && rnd.IntN(3) > 0 {
			if l := r.get(name).elector.Lease(); l != nil {
				part = l.Journal().Part
			}
		}
		f := fleet.StoreFaults{Down: true, Silent: rnd.IntN(2) > 0}
		if rnd.IntN(4) == 0 {
			f = fleet.StoreFaults{LostShare: 0.7}
		}
		r.store.FailPart(engine.JobsTopic, part, f)
		time.Sleep(time.Duration(1000+rnd.IntN(4000)) * time.Millisecond)
		r.store.FailPart(engine.JobsTopic, part, fleet.StoreFaults{})
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	}
}

// journal tells what the planner's lease names, and the job records in each partition but for one key.
func (r *journalRig) journal(except string) string {
	var out strings.Builder
	if name, _ := r.planner(); name != "" {
		j := r.get(name).elector.Lease().Journal()
		fmt.Fprintf(&out, "partition %d, unclean %v, %d moves\n", j.Part, j.Unclean, r.moves)
	}
	for part := range 5 {
		keys := slices.DeleteFunc(r.store.KeysIn(engine.JobsTopic, part), func(key string) bool {
			kind, _ := work.ParseKey(key)

			return (kind != work.OpenRecord && kind != work.ProgressRecord) || key == except
		})
		if len(keys) > 0 {
			fmt.Fprintf(&out, "%d: %s\n", part, strings.Join(keys, " "))
		}
	}

	return out.String()
}
