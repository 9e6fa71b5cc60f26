package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sesameyoke/internal/peer/cloud"
)

const maintenanceDuration = 2 * time.Second // time that a host is down for maintenance

// hosts emulates the API that controls the workers' hosts. Each worker has a host of its
// own: worker k0 runs on host h-k0.
type hosts struct {
	waves      []cloud.Wave
	waveStates map[int]string          // last state that was reported to the operator, by wave
	takenDown  map[int]map[string]bool // hosts that have been taken down, by wave
	downCount  map[int]int             // number of hosts that are down, by wave
	tokens     map[string]int64        // highest fencing token seen, by host
	holders    map[string]string       // planner that used that token, by host
}

const hostPrefix = "h-"

// RequestMaintenance adds a maintenance wave, as if the operator had requested it.
func (f *Fleet) RequestMaintenance(w cloud.Wave) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.waves = append(f.hosts.waves, w)
}

// WaveState returns the last state of a wave that was reported to the operator, and how
// many of its hosts have been taken down so far.
func (f *Fleet) WaveState(number int) (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.hosts.waveStates[number], len(f.hosts.takenDown[number])
}

// Cloud returns a client of the emulated API that controls the hosts.
func (f *Fleet) Cloud() *cloud.Client {
	return &cloud.Client{Hosts: f.listHosts, Maintain: f.maintain, Waves: f.requestedWaves, Report: f.reportWave}
}

func (f *Fleet) requestedWaves() []cloud.Wave {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.hosts.waves)
}

func (f *Fleet) listHosts(ctx context.Context) ([]cloud.Host, error) {
	if err := sleep(ctx, callLatency); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []cloud.Host
	for _, id := range sortedIDs(f.workers) {
		w := f.workers[id]
		if w.replacedBy != "" {
			continue
		}
		state := cloud.Up
		if w.maintained {
			state = cloud.Maintained
		}
		all = append(all, cloud.Host{Name: hostPrefix + w.Host, State: state, Worker: id})
	}

	return all, nil
}

func (f *Fleet) reportWave(_ context.Context, wave int, done bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts.waveStates[wave] = "running"
	if done {
		f.hosts.waveStates[wave] = "done"
		for _, w := range f.hosts.waves {
			if w.Number == wave && len(f.hosts.takenDown[wave]) < len(w.Hosts) {
				f.Journal.recordViolation("wave %d was reported as done after maintenance of %d of %d hosts", wave, len(f.hosts.takenDown[wave]), len(w.Hosts))
			}
		}
	}

	return nil
}

func (f *Fleet) maintain(ctx context.Context, o cloud.Order, wave int) error {
	if err := sleep(ctx, callLatency); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if o.Token < f.hosts.tokens[o.Host] {
		return cloud.ErrFenced
	}
	if by := f.hosts.holders[o.Host]; by != "" && by != o.Holder && o.Token == f.hosts.tokens[o.Host] {
		f.Journal.recordViolation("host %s received orders from both %s and %s under token %d", o.Host, by, o.Holder, o.Token)
	}
	f.hosts.tokens[o.Host], f.hosts.holders[o.Host] = o.Token, o.Holder
	if f.hosts.takenDown[wave][o.Host] {
		return nil
	}
	w := f.current(o.Host[len(hostPrefix):])
	if !w.up {
		return cloud.ErrBusy
	}
	f.takeDown(w, wave)
	if f.lostShare > 0 && f.Random() < f.lostShare {
		return errors.Wrap(cloud.ErrUnknown, "reply lost")
	}

	return nil
}

// takeDown ends all runs on a worker and starts its next incarnation after
// maintenanceDuration. f.mu must be held.
func (f *Fleet) takeDown(w *Worker, wave int) {
	if f.hosts.takenDown[wave] == nil {
		f.hosts.takenDown[wave] = map[string]bool{}
	}
	f.hosts.takenDown[wave][hostPrefix+w.Host] = true
	f.hosts.downCount[wave]++
	for _, v := range f.hosts.waves {
		if v.Number == wave && f.hosts.downCount[wave] > v.MaxDown {
			f.Journal.recordViolation("%d hosts of wave %d are down at once", f.hosts.downCount[wave], wave)
		}
	}
	f.checkDisruptionBudget(w)
	w.up, w.maintained = false, true
	w.closeRuns("gone")
	go func() {
		time.Sleep(maintenanceDuration)
		f.mu.Lock()
		f.hosts.downCount[wave]--
		w.maintained = false
		w.startIncarnation()
		w.up, w.listed = true, true
		f.publish(w)
		f.mu.Unlock()
	}()
}

// checkDisruptionBudget checks that taking down a worker leaves every long-running step
// within its disruption budget, the number of its tasks that may be unavailable at once.
func (f *Fleet) checkDisruptionBudget(w *Worker) {
	for _, r := range w.runs {
		st := f.Journal.jobs[r.task.Job].Steps[r.task.Step]
		if st.MaxUnavailable == 0 || !st.LongRunning {
			continue
		}
		present := 0
		for _, o := range f.workers {
			for _, x := range o.runs {
				if x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.task != r.task && x.progress() == 100 {
					present++
				}
			}
		}
		if unavailable := st.Count - 1 - present; unavailable >= st.MaxUnavailable {
			f.Journal.recordViolation("task %v was ended on %s while %d other tasks of its step were unavailable", r.task, w.ID, unavailable)
		}
	}
}
