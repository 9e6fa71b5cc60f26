package straggler

import "time"

const (
	maxBarredShare = 0.3              // largest share of the workers that may be barred; if runs fail on more, the jobs are probably the cause
	severalWindow  = 10 * time.Second // several workers that become suspect within this time are barred at once
	several        = 3                // number of these workers: fewer may be due to jobs that fail wherever they run
)

// Quarantine returns the names of the workers that receive no runs at the given time: those on
// which runs keep failing, and once several workers have become suspect, all suspects for as long as a
// worker is barred at first. It answers many workers that begin to fail at the same moment: each
// would otherwise fail two jobs before it is barred. It returns none if too large a share of the
// workers would be barred, and leaves the suspects out if they alone make it too large.
func Quarantine(records map[string]*FailureRecord, now time.Duration) map[string]bool {
	barred, suspects := map[string]bool{}, map[string]bool{}
	recent := 0
	for name, r := range records {
		if r.Barred(now) {
			barred[name] = true
		}
		if !r.suspect(now) {
			continue
		}
		if now-r.lastFailure < severalWindow {
			recent++
		}
		if now-r.lastFailure < barBase {
			suspects[name] = true
		}
	}
	most := maxBarredShare * float64(len(records))
	if float64(len(barred)) > most {
		return nil
	}
	if recent < several {
		return barred
	}
	for name := range barred {
		suspects[name] = true
	}
	if float64(len(suspects)) > most {
		return barred
	}

	return suspects
}
