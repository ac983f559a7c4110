package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// hasLabel reports whether a worker has the label that a step requires.
func hasLabel(st *step, w *worker) bool {
	return st.spec.Label == "" || slices.Contains(w.vm.Labels, st.spec.Label)
}

// attainableOn returns how many more tasks of a step a worker could run once all work on it has ended that does not
// last. It is zero for a worker that the step can't use, however long it waits.
func (s *Scheduler) attainableOn(st *step, w *worker) int {
	if !w.acceptsTasks() || !hasLabel(st, w) {
		return 0
	}
	capacity, ownRuns := w.vm.Capacity, 0
	if w.lastingRuns > 0 {
		for _, r := range w.runs {
			if !r.step.spec.LongRunning || r.state == runStopping || st.spec.Gang && s.preemptible(r, st) {
				continue
			}
			capacity = capacity.Sub(r.size)
			if r.step == st {
				ownRuns++
			}
		}
	}
	n := taskCapacity(capacity, accountedSize(st.spec))
	if st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker-ownRuns)
	}
	return max(0, n)
}

// attainable returns how many of need more tasks of a step the listed workers could run at the same time once all work
// on them has ended that does not last. Workers for which no advice was received count as permitted.
func (s *Scheduler) attainable(st *step, need int) int {
	found := 0
	needsAdvice := s.terms(st.job).Advice != nil
	if needsAdvice {
		for _, w := range s.permittedWorkers(st) {
			found += s.attainableOn(st, w)
		}
	}
	for _, w := range s.sortedWorkers {
		if found >= need {
			return need
		}
		if incarnation, ok := st.advisedWorkers[w]; needsAdvice && ok && incarnation == w.vm.Incarnation {
			continue // it is counted above if it may run the step
		}
		found += s.attainableOn(st, w)
	}
	return min(found, need)
}

// claimableTasks returns for how many of its pending tasks a step may keep capacity or a part of its team's limit from
// later steps: for none if it could not start even if all work had ended that does not last.
func (s *Scheduler) claimableTasks(st *step) int {
	switch {
	case st.spec.Gang:
		if !s.fitsWholeLimit(st, st.unfinishedTasks) || s.attainable(st, st.unfinishedTasks) < st.unfinishedTasks {
			return 0
		}
	case !s.fitsWholeLimit(st, 1):
		return 0
	case st.spec.LongRunning:
		return s.attainable(st, st.pendingTasks)
	case s.attainable(st, 1) == 0:
		return 0
	}
	return st.pendingTasks
}

// partialReservationTime is for how long a gang may reserve workers that are too few for it even when they are idle.
// Others would wait for as long as it gets no permits for more.
const partialReservationTime = 2 * time.Second

const (
	// workersPerReservation is the number of workers in the pool for each step that may reserve capacity at a
	// time, so that reservations do not leave the pool idle.
	workersPerReservation = 16
	// minReservations is the number of steps that may reserve capacity in a small pool.
	minReservations = 3
)

// reserve keeps free capacity from the steps that come later in this pass, on as few workers as the given number of
// tasks needs, and only on workers that could run the step. It returns false if the step may not reserve capacity.
func (s *Scheduler) reserve(st *step, need int) bool {
	if st.urgency > onTime || s.reservations >= max(minReservations, (len(s.sortedWorkers)-s.evacuations.workers)/workersPerReservation) {
		return false
	}
	workers := s.reservableWorkers(st)
	if st.spec.Gang && !s.mayReservePart(st, need) {
		return true // it still asks about more workers
	}
	if len(workers) > 0 {
		s.reservations++
	}
	for _, r := range workers {
		if need <= 0 {
			break
		}
		need -= r.taskCapacity
		r.worker.reserved = r.worker.free().Max(cluster.Resources{})
	}
	return true
}

// mayReservePart reports whether a gang may reserve the usable workers that are permitted for it: for as long as it
// waits if they suffice for all its tasks, and for partialReservationTime otherwise.
func (s *Scheduler) mayReservePart(st *step, need int) bool {
	usable := 0
	for _, w := range s.permittedWorkers(st) {
		if w.usable {
			usable += s.attainableOn(st, w)
		}
	}
	switch {
	case usable >= need:
		st.partialReservationSince = time.Time{}
	case st.partialReservationSince.IsZero():
		st.partialReservationSince = s.now
	case s.now.Sub(st.partialReservationSince) >= partialReservationTime:
		return false
	}
	return true
}

// reservableWorkers returns the workers on which a step should reserve capacity, with the number of its tasks that they
// could run: first those where tasks were stopped for it, then those with the most free capacity.
func (s *Scheduler) reservableWorkers(st *step) []candidate {
	var list []candidate
	for _, w := range s.permittedWorkers(st) {
		if !w.usable || w.reserved != (cluster.Resources{}) {
			continue
		}
		if n := s.attainableOn(st, w); n > 0 {
			list = append(list, candidate{worker: w, taskCapacity: n})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			-compareBool(slices.Contains(st.preemptedWorkers, a.worker), slices.Contains(st.preemptedWorkers, b.worker)),
			cmp.Compare(b.worker.free().DominantShare(b.worker.vm.Capacity), a.worker.free().DominantShare(a.worker.vm.Capacity)),
		)
	})
	return list
}
