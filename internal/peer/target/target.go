// Package target defines the client interface through which the planner of "sesameyoke entry"
// (package engine) calls the workers. Workers execute orders that carry the planner's fencing
// token, and run tasks only while they hold a lease. The protocol of package worker, which the
// planner of "sesameyoke serve" uses, is a different one.
package target

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
)

// Ways in which a run ends.
const (
	Done           How = "done"
	Failed         How = "failed"
	Stopped        How = "stopped"
	LeaseExpired   How = "lapsed" // the worker's lease expired
	GangBroken     How = "broken" // another member of the gang ended
	GangIncomplete How = "alone"  // the other members of the gang did not start in time
)

var (
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker refused the order: it has seen a higher fencing token")
	// ErrStaleRun means that a run of the task with this or a higher number has ended on the
	// worker.
	ErrStaleRun = errors.New("worker refused the run number as outdated")
	// ErrDeadlinePassed means that the deadline of the order had passed when it arrived.
	ErrDeadlinePassed = errors.New("worker refused the order: its deadline has passed")
	// ErrNoRoom means that the worker lacks the capacity for the task.
	ErrNoRoom = errors.New("worker has too little free capacity")
	// ErrTicket means that the placement ticket is missing or invalid.
	ErrTicket = errors.New("worker refused the placement ticket: missing or invalid")
	// ErrOtherIncarnation means that another incarnation of the worker answered.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrRefused means that the worker rejected the order for another reason and did nothing.
	ErrRefused = errors.New("worker refused the order")
	// ErrUnknown means that the order may have been executed, or may still be executed later.
	ErrUnknown = errors.New("outcome of the order is unknown")
)

type (
	// How is the way in which a run ended.
	How string

	// Address identifies one incarnation of a worker.
	Address struct {
		ID   string
		Host string // host:port
	}

	// Start is the order to run a task.
	Start struct {
		Task work.Task
		Run  int64
		Spec string // the job's specification, as its caller submitted it
		// Deadline is the end of the lease that covers the order, on the worker's clock in
		// milliseconds. The worker refuses the order afterwards.
		Deadline int64
		Token    int64  // fencing token
		Saved    string // checkpoint to resume from; empty to start afresh
		Ticket   string // placement ticket from the placement service; empty if the worker needs none
	}

	// Stop is the order to end a run.
	Stop struct {
		Task  work.Task
		Run   int64
		Token int64
	}

	// LeaseRenewal renews the worker's lease and asks for a report. Without a Deadline, it
	// only asks for a report.
	LeaseRenewal struct {
		Token    int64         // fencing token
		Acked    int64         // acknowledges the run ends up to this number, which are stored durably
		Deadline int64         // new end of the lease, on the worker's clock in milliseconds; 0 for no renewal
		Wait     time.Duration // longest time that the worker waits for a run to end before it answers
	}

	// Run is the report of a worker about one run.
	Run struct {
		Task    work.Task
		Run     int64
		Saved   string // newest checkpoint
		Percent int    // progress
		Usage   int    // of a serving task: tail latency in milliseconds; otherwise: CPU use in millicores
	}

	// Pace is the order to run a task at a share of its full speed.
	Pace struct {
		Task    work.Task
		Run     int64
		Percent int   // of full speed
		Token   int64 // fencing token
	}

	// End is the end of a run.
	End struct {
		Number int64 // sequence number among the worker's run ends, for acknowledgement
		Task   work.Task
		Run    int64
		How    How
		Saved  string // newest checkpoint
	}

	// Report is the answer to LeaseRenewal.
	Report struct {
		Clock       int64 // worker's clock in milliseconds
		Incarnation int64 // start time of the incarnation in Unix milliseconds; 0 if not reported
		Running     []Run
		Ended       []End // run ends that are not acknowledged yet
		Partial     bool  // there may be further ends: only a later report shows whether a run that is not in this one has ended
	}

	// Worker is a worker's entry in the list of workers.
	Worker struct {
		ID          string
		Host        string
		Service     string
		Domain      string
		Rack        string
		Labels      []string
		Capacity    work.Shape    // total capacity, including what is in use
		Draining    bool          // the worker will leave and takes no new tasks
		TimeToLeave time.Duration // minimum time until a draining worker leaves; 0 if not reported
		Incarnation int64         // start time of the incarnation in Unix milliseconds; 0 if not reported
		Clock       int64         // worker's clock in milliseconds when it wrote the entry
		Sequence    int64
		ColdFor     time.Duration // how much longer the worker was slow after its start when it wrote the entry; 0 if it was warm
	}

	// Client sends orders to workers. Start, Stop and Pace return the worker's clock.
	Client struct {
		Start      func(ctx context.Context, a Address, s Start) (int64, error)
		Stop       func(ctx context.Context, a Address, s Stop) (int64, error)
		Pace       func(ctx context.Context, a Address, p Pace) (int64, error)
		RenewLease func(ctx context.Context, a Address, l LeaseRenewal) (Report, error)
	}
)
