// Package target is the port to the workers, which run tasks under fenced,
// leased orders.
package target

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/core/work"
)

// Ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed" // the lease expired
	Broken  How = "broken" // another member of the gang ended
	Alone   How = "alone"  // the rest of the gang did not come
)

var (
	// ErrFenced means that the worker has seen a higher token.
	ErrFenced = errors.New("worker refused the token")
	// ErrOld means that a run with this number or a higher one has ended there.
	ErrOld = errors.New("worker refused the run number")
	// ErrLate means that the order's deadline had passed.
	ErrLate = errors.New("worker refused a late order")
	// ErrNoRoom means that the worker has no capacity.
	ErrNoRoom = errors.New("worker has no room")
	// ErrTicket means that the placement ticket is missing or void.
	ErrTicket = errors.New("worker refused the ticket")
	// ErrInstance means that another incarnation answered.
	ErrInstance = errors.New("another incarnation answered")
	// ErrRefused means that the worker did nothing for another reason.
	ErrRefused = errors.New("worker refused the order")
	// ErrUnknown means that the order may have been executed, or may be later.
	ErrUnknown = errors.New("outcome of the order is unknown")
)

type (
	// How a run ended.
	How string

	// Address names one worker's incarnation.
	Address struct {
		ID   string
		Host string // host:port
	}

	// Start is the order to run a task.
	Start struct {
		Task     work.Task
		Run      int64
		Spec     string
		Deadline int64 // on the worker's clock, in milliseconds
		Token    int64
		Saved    string // checkpoint to resume from
		Ticket   string // of the placement service; empty where none is needed
	}

	// Stop is the order to end a run.
	Stop struct {
		Task  work.Task
		Run   int64
		Token int64
	}

	// Hold renews the worker's lease and asks what runs there.
	Hold struct {
		Token    int64
		Acked    int64 // ends up to this number are durable
		Deadline int64 // on the worker's clock, in milliseconds; 0 renews nothing
		Wait     time.Duration
	}

	// Run is one run that a worker reports.
	Run struct {
		Task    work.Task
		Run     int64
		Saved   string
		Percent int
		Usage   int // tail in milliseconds of a task that serves, else thousandths of a core in use
	}

	// Pace sets the share at which a task works.
	Pace struct {
		Task    work.Task
		Run     int64
		Percent int
		Token   int64
	}

	// End is the end of a run.
	End struct {
		Number int64
		Task   work.Task
		Run    int64
		How    How
		Saved  string
	}

	// Report is the answer to Hold.
	Report struct {
		Clock   int64 // of the worker, in milliseconds
		Born    int64 // start of this incarnation, Unix milliseconds; 0 if not told
		Running []Run
		Ended   []End
	}

	// Worker is a worker's entry in the list of workers.
	Worker struct {
		ID       string
		Host     string
		Service  string
		Domain   string
		Rack     string
		Labels   []string
		Room     work.Shape
		Draining bool
		Left     time.Duration // least time until a draining worker leaves; 0 if not told
		Born     int64
		Clock    int64
		Sequence int64
	}

	// Client gives orders. Start, Stop and Pace return the worker's clock.
	Client struct {
		Start func(ctx context.Context, a Address, s Start) (int64, error)
		Stop  func(ctx context.Context, a Address, s Stop) (int64, error)
		Pace  func(ctx context.Context, a Address, p Pace) (int64, error)
		Hold  func(ctx context.Context, a Address, h Hold) (Report, error)
	}
)
