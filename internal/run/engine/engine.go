// Package engine implements the planner. It holds the state of all jobs, sends
// fenced orders to the workers and records what they report. Each engine runs
// under exactly one planner lease.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/speed"
	"sesameyoke/internal/core/straggler"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/cloud"
	"sesameyoke/internal/peer/store"
	"sesameyoke/internal/peer/target"
	"sesameyoke/internal/run/lead"
	"sesameyoke/internal/run/timer"
)

const (
	// JobsTopic stores jobs and their progress. Only the planner writes to it.
	JobsTopic = "keyed.jobs"
	// HandinTopic stores jobs and cancellations that entry VMs wrote to the store
	// themselves, without going through the planner.
	HandinTopic = "keyed.handin"

	producer = "planner"
)

var (
	// ErrNotPlanning means that this VM is not the active planner. The call had no effect.
	ErrNotPlanning = errors.New("this VM does not plan")
	// ErrStopped means that the planner stopped before the outcome of a write was known.
	ErrStopped = errors.New("planner has stopped")
	// ErrUnknownQueue means that the planner does not know the job's queue yet. The call had no
	// effect; the job can be written to HandinTopic with a record of its queue.
	ErrUnknownQueue = errors.New("queue is not known to the planner")
	// ErrTooLarge means that the job or a record is too large to be stored. The call had no effect.
	ErrTooLarge = errors.New("too large to be stored")
	// ErrFull means that there is no room for the job until others have ended and their retention
	// period has passed. The call had no effect.
	ErrFull = errors.New("no room for more jobs")
	// ErrUnknownJob means that the job does not exist in the caller's workspace.
	ErrUnknownJob = errors.New("job is not known")
)

type (
	// Timing holds the planner's intervals, timeouts and retention periods.
	Timing struct {
		WorkerLease         time.Duration // duration of a worker's lease, counted from each renewal
		MaxLease            time.Duration // longest lease that a worker accepts
		PredecessorValidity time.Duration // how long a replaced planner may still act after its successor began
		ReportWait          time.Duration // longest time that a worker may delay its answer to a lease renewal (long poll)
		OrderTimeout        time.Duration // timeout of a stop
		StartTimeout        time.Duration // timeout of a start, of a lookup of its run, and of an order that sets a CPU share
		DiscoverInterval    time.Duration // interval between reads of the worker list
		Retention           time.Duration // retention period of ended jobs
		FirstReportsTimeout time.Duration // longest time that a new planner waits for the workers' first reports
		EvictAfter          time.Duration // how long urgent work waits for capacity before it preempts other runs
		ClaimTTL            time.Duration // how long capacity freed by preemption stays claimed
		RefusalBackoff      time.Duration // how long a worker that refused a start receives no further ones
		RestoreTime         time.Duration // time that a run takes to resume from a checkpoint
		HostLease           time.Duration // a new planner sends no orders to hosts before this time has passed
		HostDowntime        time.Duration // downtime of a host for maintenance
		LateOrderWindow     time.Duration // how long an unanswered order may still be executed
		Evacuate            time.Duration // no start may be sent to a domain this long after the operator has evacuated it
	}

	// Config holds the dependencies and parameters of an Engine.
	Config struct {
		Store           *store.Store
		Workers         *target.Client
		Lease           *lead.Lease
		Timing          Timing
		Policy          func() *policy.Policy // newest configuration; returns nil until one has been read
		SinceBoot       func() time.Duration  // time since boot, including time suspended
		Now             func() time.Time
		Log             *log.Logger
		Name            string                             // name of this VM with its incarnation
		RecordBytes     int                                // size of the largest record that the store accepts; 0 for work.DefaultRecordBytes
		RequestBytes    int                                // size of the largest append, of several such records, that the store accepts; 0 for store.DefaultRequestBytes
		KeptBytes       int                                // size of all jobs, by work.Job.KeptBytes, from which no further ones are accepted; 0 for no limit
		MaxCalls        int                                // number of concurrent calls to workers that this VM can sustain
		SchedulingDelay func() time.Duration               // recent scheduling delay of this process; nil if it is not measured
		Count           func(name string, n int64)         // adds n to a counter metric
		Observe         func(name string, d time.Duration) // adds a duration to a metric

		// AllReadCompact reports whether all VMs read compact progress records, as they do from
		// the version that has lead.CompactMark on; nil if they do.
		AllReadCompact func() bool
		// JournalParts is the number of partitions of JobsTopic. Below 2, the journal stays in its
		// partition also if that does not answer.
		JournalParts int
		// AllReadMoved reports whether all VMs read a journal in any partition, as they do from the
		// version that has lead.HolderMark on; nil if they do.
		AllReadMoved func() bool
		// Advise asks the placement service which of the named workers may run a step. It
		// returns their tickets by worker and how long these are valid. It is called for
		// advised queues only.
		Advise func(ctx context.Context, step work.Task, workers []string) (map[string]string, time.Duration, error)
		// Cloud controls the workers' hosts. It is nil where no maintenance is requested.
		Cloud *cloud.Client
		// Evacuated returns the failure domains that the operator has evacuated; nil where domains
		// are not evacuated. The map is not changed afterwards.
		Evacuated func() map[string]bool
		// EvacuatedAge returns the age of the newest read of the operator's records, which what
		// Evacuated returns later includes.
		EvacuatedAge func() time.Duration
		// Discover returns the changes of the worker list since the previous call.
		Discover func(ctx context.Context) (Listing, error)
	}

	// Listing is a change of the worker list.
	Listing struct {
		Complete bool // Workers is the complete list, not a change of it
		Workers  []target.Worker
		Removed  []string
	}

	// Engine schedules jobs on the workers under one planner lease.
	Engine struct {
		Config

		mu                sync.Mutex // guards the state of jobs, units, workers and waves
		jobs              map[string]*job
		kept              int            // size of all jobs
		keptBy            map[string]int // size of all jobs, by workspace
		active            []*job         // jobs that have not durably ended, in the order in which they were accepted
		workers           map[string]*worker
		units             map[string]*unit            // units with unreleased runs, by name
		claims            map[string]claim            // claims of units on workers, by worker
		queues            map[string]*knownQueue      // by name
		earlyCancels      map[string]earlyCancel      // cancellations of jobs that have not arrived yet, by job
		unmatchedProgress map[string][]byte           // progress records of jobs whose own record has not been read yet, by job
		unmatchedCrashes  map[string][]byte           // crash records of these jobs
		unreadableJobs    map[string]bool             // jobs with an open record that cannot be read
		held              map[string]bool             // jobs on hold: their open or progress record cannot be read
		tokenCounts       map[string]int64            // see orderToken; by worker
		inheritedStarts   startsRecord                // written by previous planners
		recordedStarts    map[string]int64            // newest content of the record of unsettled starts
		unsettled         map[*member]bool            // members whose start may have no known outcome
		runTimes          map[string]*runTime         // measured run times, by queue
		meanWorks         map[string]*meanWork        // mean work of a job, by queue
		shortages         map[string]*shortage        // state of the services that are or were short of capacity, by service
		peerRunTimes      map[stepKey][]time.Duration // projected run times of the current runs, by step
		starts            startQueue
		calls             semaphore          // bounds concurrent stops, and lease renewals that are to be answered at once
		adviceByStep      map[string]*advice // placement advice, by step name
		waves             map[int]*wave
		inheritedOrders   map[int][]string         // hosts that previous planners may have ordered down, by wave
		idle              map[stepKey]*idleStep    // steps that wait while their jobs have no runs
		silent            map[string]bool          // workers that the silent record lists, or may list
		admitted          map[string]bool          // workers that this planner may have granted a lease, also in earlier incarnations
		silentWrites      int                      // number of scheduled writes of the silent record
		grantRecorded     bool                     // the silent record of this planner is durable
		lastGranter       int64                    // newest earlier token under which leases may have been granted
		inheritedSilent   map[string]silentWorker  // workers of the silent record of the previous planners
		inheritedStale    map[string]time.Duration // until when stale orders of previous planners count, by worker
		recordedStale     map[string]int64         // newest content of the record of stale orders
		adviceStep        string                   // name of the step whose advice request is in flight; empty if none is
		ready             bool                     // the takeover is complete: calls are accepted
		began             time.Duration            // when Run was called
		fencedAt          time.Duration            // when the previous planners were known to be fenced
		firstListing      *Listing                 // first read of the worker list
		handinOffset      int64                    // next offset to read in HandinTopic
		handinReadAt      time.Duration            // when the newest successful read of HandinTopic was requested
		unread            unreadHandins            // what HandinTopic held beyond handinOffset
		expiryCheckedAt   time.Duration            // when jobs and queues were last searched for what is to be deleted
		deletingHandins   bool                     // a deletion of hand-in records is in flight
		deletedHandins    int64                    // end of HandinTopic after the newest deletion of hand-in records
		deletionRetryAt   time.Duration            // earliest time of the next deletion of hand-in records
		evacuations       evacuations              // state of the evacuated domains
		listedAt          time.Duration            // when the newest successful read of the worker list was requested

		fleetSpeed       speed.Fleet           // summary of the workers' estimated speeds
		speedsRecordedAt time.Duration         // when the speed record was last scheduled
		inheritedSpeeds  map[string]speedEntry // speeds recorded by previous planners, by worker

		lastPass   time.Duration // duration of the newest pass
		reviewedAt time.Duration // when moveRuns last examined the runs

		writer        writer
		journal       journalState
		passRequested chan struct{}  // holds a value while a pass is requested
		background    sync.WaitGroup // goroutines that must end before Run returns
		ctx           context.Context
	}

	// claim is the reservation of a worker for a unit that is to start there.
	claim struct {
		unit  string
		until time.Duration
	}

	// earlyCancel is a cancellation that arrived before its job.
	earlyCancel struct {
		workspace string
		until     time.Duration
		handin    handinState
	}

	// job is a job with its progress.
	job struct {
		work.Job
		work.Progress
		durablePhase  work.Phase // phase of the newest durable progress record
		durable       bool       // the job's open record is in the store
		handin        handinState
		acceptedAt    time.Duration
		dirty         bool                           // waits for the next append
		dropped       bool                           // its records are deleted: it is not written any more
		failedOn      map[string]int                 // number of failed runs, by worker
		failures      map[work.Task]*countedFailures // failed runs, by task that has failed under this planner
		backoffs      map[taskKey]*straggler.Backoff // delays of tasks that have failed
		crashes       work.Crashes                   // crashes of workers under its tasks
		crashesStored bool                           // they have a record
		crashedAt     time.Duration                  // when the newest of them was counted
		oversize      bool                           // its progress was too large to be stored: only its end is
		unsaved       bool                           // its checkpoints were too large to be stored
		delayed       bool                           // occurrences that are due wait for others to end
		doneRunTimes  map[occurStep]runTimeSum       // run times of completed tasks outside gangs, by step
		doneRuns      map[occurStep][]comparedRun    // runs of completed tasks that have not been compared yet, by step
		begun         bool                           // a worker has accepted a start of it, or may have
		workLearned   bool                           // its work is in the mean of its queue
	}
)

// New returns an engine. Run starts it.
func New(c Config) *Engine {
	if c.RecordBytes == 0 {
		c.RecordBytes = work.DefaultRecordBytes
	}
	if c.RequestBytes == 0 {
		c.RequestBytes = store.DefaultRequestBytes
	}
	e := &Engine{
		Config: c, jobs: map[string]*job{}, keptBy: map[string]int{}, workers: map[string]*worker{}, units: map[string]*unit{},
		claims: map[string]claim{}, queues: map[string]*knownQueue{}, earlyCancels: map[string]earlyCancel{}, unmatchedProgress: map[string][]byte{}, unmatchedCrashes: map[string][]byte{}, unreadableJobs: map[string]bool{}, held: map[string]bool{},
		tokenCounts: map[string]int64{}, unsettled: map[*member]bool{}, runTimes: map[string]*runTime{}, meanWorks: map[string]*meanWork{}, shortages: map[string]*shortage{}, adviceByStep: map[string]*advice{}, waves: map[int]*wave{}, inheritedOrders: map[int][]string{}, inheritedStale: map[string]time.Duration{}, silent: map[string]bool{}, admitted: map[string]bool{},
		passRequested: make(chan struct{}, 1), starts: startQueue{maxInFlight: c.MaxCalls}, calls: make(semaphore, c.MaxCalls), unread: unreadHandins{turn: make(semaphore, 1)},
	}
	e.writer.init(e)
	e.journal.init(e)

	return e
}

// Run takes over from the previous planner and schedules until the context ends or
// the lease is lost.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	e.began, e.lastGranter = e.SinceBoot(), e.Lease.Token-1
	e.mu.Unlock()
	if err := e.recover(ctx); err != nil {
		e.Log.Warn().Str("event", "recovery-ended").Err(err).Int64("token", e.Lease.Token).Msg("")

		return
	}
	e.background.Go(func() { e.writer.run(ctx) })
	e.background.Go(func() { e.discover(ctx) })
	e.background.Go(func() { e.readHandins(ctx) })
	e.background.Go(func() { e.updateSilent(ctx) })
	if e.JournalParts > 1 {
		e.background.Go(func() { e.journal.clean(ctx) })
	}
	if e.Cloud != nil {
		e.background.Go(func() { e.maintain(ctx) })
	}
	e.awaitReports(ctx)
	e.mu.Lock()
	e.ready = true
	e.mu.Unlock()
	e.Log.Info().Str("event", "planning").Int64("token", e.Lease.Token).Int("jobs", len(e.active)).
		Int("workers", len(e.workers)).Dur("after", e.SinceBoot()-e.began).Msg("")
	e.loop(ctx)
	e.writer.stop()
	e.background.Wait()
}

// loop runs a scheduling pass at every request and at least every passInterval.
func (e *Engine) loop(ctx context.Context) {
	tick := time.NewTicker(passInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.passRequested:
		}
		e.mu.Lock()
		e.contain("pass", "", e.pass)
		e.mu.Unlock()
		timer.Pause(ctx, max(passPause, passRestFactor*e.lastPass))
	}
}

const (
	// Longest time between passes: decisions also depend on how long work has waited.
	passInterval = 250 * time.Millisecond
	// Shortest pause after a pass, so that changes that arrive together share the next one.
	passPause = 4 * time.Millisecond
	// Pause after a pass, as a multiple of its duration: passes take at most a quarter of the
	// time.
	passRestFactor = 3
)

// requestPass makes loop run a pass as soon as its pause has ended.
func (e *Engine) requestPass() {
	select {
	case e.passRequested <- struct{}{}:
	default:
	}
}

// loseLease drops the lease, which ends the engine. It is called when an answer of a
// worker, the store or the cloud shows that a successor has fenced this planner.
func (e *Engine) loseLease(by string) {
	e.Log.Warn().Str("event", "fenced").Str("by", by).Int64("token", e.Lease.Token).Msg("")
	e.Lease.Invalidate()
}
