package plan

import (
	"time"

	"sesameyoke/internal/core/config"
)

// Tuning holds the parameters of the scheduling decisions. docs/MEASUREMENTS.md has the
// measurements behind them.
type Tuning struct {
	WorkScale          float64       // seconds of work penalty per unit of work^WorkExponent; work is in accelerator-seconds
	WorkExponent       float64       // exponent of work in the work penalty; determines how strongly small jobs are favoured
	MaxWorkPenalty     time.Duration // bound on the work penalty; jobs submitted this much later cannot overtake
	PreemptMargin      float64       // minimum score difference for a preemption, as a fraction of the waiting job's work penalty
	PreemptMinGain     float64       // minimum score difference for a preemption, in seconds; the larger minimum applies
	EvictionCooldown   time.Duration // minimum time between two evictions of a job, except to reclaim a promised block or for CPU overuse
	SharePenalty       float64       // seconds added to the scores of a workspace per fair share that it uses; see sharePenalty
	DrainAfter         time.Duration // waiting time after which a job may reserve places without evicting the jobs there
	CheckpointOverhead time.Duration // time that a checkpoint and restart take on each accelerator
	MoveBudgetFloor    float64       // fraction of the maximum budget below which there is no defragmentation
	Defragment         bool          // checkpoint and move jobs to merge free accelerators into longer runs
	MaxDraining        int           // maximum number of jobs with a draining reservation

	budgetSeconds float64       // time after which an unused budget reaches its maximum
	maxRetry      time.Duration // longest delay suggested to a workspace whose queue is full
	minRetry      time.Duration // shortest delay suggested to it
}

// Tune returns the parameters for a policy.
func Tune(p config.Policy) Tuning {
	t := Tuning{
		WorkScale: 30, WorkExponent: 0.8, MaxWorkPenalty: 7 * 24 * time.Hour, PreemptMargin: 0.5, PreemptMinGain: 120,
		EvictionCooldown: 10 * time.Minute, SharePenalty: 60, DrainAfter: 4 * time.Hour, CheckpointOverhead: 40 * time.Second,
		MaxDraining: 1, MoveBudgetFloor: 0.25,
		budgetSeconds: 1800, maxRetry: 5 * time.Minute, minRetry: time.Second,
	}
	if p.Weigh == config.WeighFragmentation {
		t.Defragment = true
		t.MaxDraining = 2
		t.EvictionCooldown = 5 * time.Minute
	}

	return t
}
