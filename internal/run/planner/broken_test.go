package planner

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	plog "github.com/phuslu/log"

	"sesameyoke/internal/core/job"
	"sesameyoke/internal/core/ledger"
	"sesameyoke/internal/peer/worker"
	"sesameyoke/internal/run/gang"
	"sesameyoke/internal/run/metrics"
	"sesameyoke/internal/run/timer"
)

const brokenMembers = 2 // members of the gang in a brokenRig

// brokenRig is a session with one non-idempotent job whose gang has one member on each worker.
type brokenRig struct {
	s         *session
	run       *run
	seconds   atomic.Int64         // time since epoch
	requested map[string]time.Time // when the renewal in flight was sent, by worker
}

// TestBrokenRun runs the script in testdata/broken. It guards against jobs that are never
// answered: their run has been broken, and a member that counts as running never ends.
func TestBrokenRun(t *testing.T) {
	b := newBrokenRig(t)
	datadriven.RunTest(t, "testdata/broken", func(t *testing.T, d *datadriven.TestData) string {
		b.seconds.Add(1)
		switch d.Cmd {
		case "run":
			b.start(d)
		case "break":
			b.s.markBroken(b.run, b.argument(t, d, "worker"), "a member is lost")
		case "request":
			w := b.worker(t, d)
			w.lastRequest = b.now()
			b.requested[w.name] = b.now()
		case "report":
			b.report(t, d)
		case "silent":
			b.s.markMembersLost(b.worker(t, d), "the worker is silent")
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}

		return b.describe()
	})
}

func newBrokenRig(t *testing.T) *brokenRig {
	b := &brokenRig{requested: map[string]time.Time{}}
	log := &plog.Logger{Writer: &plog.IOWriter{Writer: io.Discard}}
	service := timer.New()
	t.Cleanup(service.Stop)
	service.Now = b.now
	p := &Planner{Config: Config{
		Timer: service, Log: log, Metrics: metrics.New(), Ledger: ledger.New(func() time.Duration { return time.Hour }),
		Address: func(string) string { return "" }, Leaving: func(string) bool { return false },
		Commit: func(context.Context, ledger.Record) (ledger.Verdict, error) { return ledger.Won, nil },
	}}
	p.calls.Stop = func(context.Context, string, worker.TokenRequest) (worker.Reply, error) { return worker.Reply{}, nil }
	b.s = &session{
		p: p, ctx: t.Context(), workers: map[string]*workerStatus{}, runs: map[job.Key]*run{},
		orphans: map[string]*orphan{}, answering: map[job.Key]bool{},
	}

	return b
}

func (b *brokenRig) now() time.Time { return epoch.Add(time.Duration(b.seconds.Load()) * time.Second) }

// start replaces the run by a new one, whose members run.
func (b *brokenRig) start(d *datadriven.TestData) {
	key := job.Key{Workspace: "w", ID: d.Pos}
	g := &gang.Gang{Job: job.Job{Workspace: key.Workspace, ID: key.ID}, Calls: b.s.p.calls}
	for i := range brokenMembers {
		name := fmt.Sprint("w", i)
		if b.s.workers[name] == nil {
			b.s.workers[name] = &workerStatus{name: name, incarnation: "i"}
		}
		g.Members = append(g.Members, ledger.Member{Worker: name, Incarnation: "i", Token: fmt.Sprintf("%s.%d", d.Pos, i)})
	}
	b.run = &run{key: key, id: d.Pos, gang: g, tasks: make([]worker.Task, brokenMembers)}
	b.s.runs = map[job.Key]*run{key: b.run}
	b.s.onRunning(b.run)
}

// report handles a reply to the renewal in flight, or to one sent just before.
func (b *brokenRig) report(t *testing.T, d *datadriven.TestData) {
	w := b.worker(t, d)
	requested, ok := b.requested[w.name]
	if !ok {
		requested = b.now().Add(-time.Millisecond)
		w.lastRequest = requested
	}
	delete(b.requested, w.name)
	rep := worker.Report{Incarnation: "i", Full: d.HasArg("full")}
	for i, m := range b.run.gang.Members {
		if m.Worker == w.name && d.HasArg("tasks") {
			rep.Tasks = append(rep.Tasks, worker.Task{Token: m.Token, Key: b.run.key, Member: i, State: worker.State(b.argument(t, d, "tasks"))})
		}
	}
	b.s.onRenewReply(w, requested, worker.RenewRequest{}, rep, nil)
}

func (b *brokenRig) worker(t *testing.T, d *datadriven.TestData) *workerStatus {
	name := b.argument(t, d, "worker")
	if b.s.workers[name] == nil {
		b.s.workers[name] = &workerStatus{name: name, incarnation: "i"}
	}

	return b.s.workers[name]
}

func (b *brokenRig) argument(t *testing.T, d *datadriven.TestData, name string) string {
	var v string
	d.ScanArgs(t, name, &v)

	return v
}

// describe lists the state of each member, the phase of a run that is stopping or has ended
// and the name of its answer.
func (b *brokenRig) describe() string {
	if b.run == nil {
		return ""
	}
	var out []string
	for i, m := range b.run.gang.Members {
		out = append(out, fmt.Sprintf("%s=%s", m.Worker, b.run.tasks[i].State))
	}
	switch b.run.phase {
	case phaseStopping:
		out = append(out, "phase=stopping")
	case phaseEnded:
		out = append(out, "phase=ended", "answer="+b.s.brokenAnswer(b.run).Name)
	}

	return strings.Join(out, " ") + "\n"
}
