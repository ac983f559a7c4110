package pool

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// maxUncheckedGap is the time between two steps after which the age of the last read of the evacuated zones is checked, as
// the process may have been paused.
const maxUncheckedGap = 800 * time.Millisecond

// evacuations are the evacuated zones as known to the scheduler.
type evacuations struct {
	// zones are sorted.
	zones []cluster.Zone
	// readAt is when the last read of the zones was sent; zero before the first one.
	readAt time.Time
	// neededFrom is the earliest time of a read without which no task may start.
	neededFrom time.Time
	// workers is the number of listed workers in the zones.
	workers int
	// unreported means that the zones have changed since they were logged.
	unreported bool
}

// changeEvacuations applies a read of the evacuated zones. Runs in these zones go on.
func (s *Scheduler) changeEvacuations(e *EvacuationsChanged) {
	s.evacuations.readAt = laterTime(e.ReadAt, s.evacuations.readAt)
	zones := slices.Compact(slices.Sorted(slices.Values(e.Zones)))
	if slices.Equal(zones, s.evacuations.zones) {
		return
	}
	s.evacuations.zones, s.evacuations.unreported = zones, true
	for _, w := range s.workers {
		w.evacuated = s.isEvacuated(w.vm.Zone)
	}
	s.countEvacuatedWorkers()
	s.updateCapacity()
}

func (s *Scheduler) isEvacuated(zone cluster.Zone) bool {
	_, found := slices.BinarySearch(s.evacuations.zones, zone)
	return found
}

func (s *Scheduler) countEvacuatedWorkers() {
	s.evacuations.workers = 0
	for _, w := range s.workers {
		if w.inPlatformList && w.evacuated {
			s.evacuations.workers++
		}
	}
	s.metrics.evacuatedZones.Update(float64(len(s.evacuations.zones)))
	s.metrics.evacuatedWorkers.Update(float64(s.evacuations.workers))
}

// requireEvacuations keeps tasks from starting until the evacuated zones were read again if they may have changed
// unnoticed: when the shard was loaded, and after a gap between two steps. It is called before each step. The other half
// of the bound is left for the start requests. A read that was sent during the gap suffices, as an owner under load may
// have a gap before each step.
func (s *Scheduler) requireEvacuations(now time.Time) {
	if !s.loaded || now.Sub(s.now) > maxUncheckedGap {
		s.evacuations.neededFrom = laterTime(now.Add(-s.cfg.EvacuateBound/2), s.evacuations.neededFrom)
	}
}

// evacuationsKnown reports whether the evacuated zones are known well enough for tasks to start.
func (s *Scheduler) evacuationsKnown() bool {
	return s.cfg.EvacuateBound == 0 || !s.evacuations.readAt.IsZero() && !s.evacuations.readAt.Before(s.evacuations.neededFrom)
}

// acceptsTasks reports whether a worker is to get new tasks, now or when it responds and has room.
func (w *worker) acceptsTasks() bool { return w.inPlatformList && !w.vm.Draining && !w.evacuated }

// reportEvacuations logs a change of the evacuated zones once, as soon as the workers are listed.
func (s *Scheduler) reportEvacuations() {
	if !s.evacuations.unreported || s.workersListedAt.IsZero() {
		return
	}
	s.evacuations.unreported = false
	listed, runs := 0, 0
	withWorkers := map[cluster.Zone]bool{}
	for _, w := range s.workers {
		if !w.inPlatformList {
			continue
		}
		listed++
		if w.evacuated {
			withWorkers[w.vm.Zone] = true
			runs += len(w.runs)
		}
	}
	var zones, withoutWorkers []string
	for _, z := range s.evacuations.zones {
		zones = append(zones, string(z))
		if !withWorkers[z] {
			withoutWorkers = append(withoutWorkers, string(z))
		}
	}
	s.cfg.Log.Warn().Strs("zones", zones).Strs("zonesWithoutWorkers", withoutWorkers).Int("workersExcluded", s.evacuations.workers).
		Int("workers", listed).Int("runs", runs).Msg("pool: evacuated zones changed; no task starts there, and runs go on")
	if listed > 0 && s.evacuations.workers == listed {
		s.cfg.Log.Warn().Int("workers", listed).Msg("pool: all workers are in evacuated zones; no task starts")
	}
}
