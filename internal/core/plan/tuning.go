package plan

import (
	"time"

	"sesameyoke/internal/core/config"
)

// Tuning holds the numbers of the decisions. docs/MEASUREMENTS.md has the figures
// behind them.
type Tuning struct {
	Scale     float64       // seconds that one unit of work^Power counts in the order
	Power     float64       // how steeply the order favours small work
	Cap       time.Duration // a job is overtaken only by jobs submitted less than this later
	Margin    float64       // how much later in the order a job has to be to give way, as a share of the waiting job's own score
	Gain      float64       // how much later at least, in seconds
	Rest      time.Duration // a job that has given way is left alone for so long
	Share     float64       // seconds in the order for each fair share that a workspace has in use
	Hold      time.Duration // a job that has waited longer may keep places free that have to drain
	Overhead  time.Duration // accelerator time that a checkpoint and restart cost
	MoveFloor float64       // share of the budget that moves leave untouched
	Moves     bool          // checkpoint jobs to join free accelerators to blocks
	MaxDrains int           // jobs that keep places which drain by themselves, at once

	budgetSpan float64 // seconds of budget that can be saved up
	maxRetry   time.Duration
	minRetry   time.Duration
}

// Tune returns the numbers for a policy.
func Tune(p config.Policy) Tuning {
	t := Tuning{
		Scale: 30, Power: 0.8, Cap: 7 * 24 * time.Hour, Margin: 0.5, Gain: 120, Rest: 10 * time.Minute,
		Share: 60, Hold: 4 * time.Hour, Overhead: 40 * time.Second, MaxDrains: 1, MoveFloor: 0.25,
		budgetSpan: 1800, maxRetry: 5 * time.Minute, minRetry: time.Second,
	}
	if p.Weigh == config.WeighFragmentation {
		t.Moves = true
		t.MaxDrains = 2
		t.Rest = 5 * time.Minute
	}

	return t
}
