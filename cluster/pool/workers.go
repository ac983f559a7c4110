package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// listWorkers applies the platform's list of workers. A worker that is missing gets no new tasks, but its runs
// count until its leases have expired.
func (s *Scheduler) listWorkers(list []platform.WorkerVM) {
	s.listingTime += min(s.now.Sub(s.workersListedAt), maxCountedListGap)
	s.workersListedAt = s.now
	for _, w := range s.workers {
		w.inPlatformList = false
	}
	for _, vm := range list {
		if vm.Service == s.cfg.Service {
			s.listWorker(vm)
		}
	}
	s.dropWorkers()
	s.countEvacuatedWorkers()
	s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

// listWorker adds or updates one worker of the platform's list.
func (s *Scheduler) listWorker(vm platform.WorkerVM) {
	w := s.workers[vm.ID]
	if w == nil {
		w = &worker{vm: vm, runs: map[workload.TaskID]*run{}, inSync: true, slowness: 1}
		s.workers[vm.ID] = w
		s.workersDirty = true
		s.cfg.Log.Info().Str("worker", string(vm.ID)).Stringer("size", vm.Capacity).Bool("draining", vm.Draining).Msg("pool: worker added")
	}
	if vm.Incarnation != 0 && vm.Incarnation > w.vm.Incarnation {
		s.workerRestarted(w, vm.Incarnation)
	}
	if vm.Draining && !w.vm.Draining {
		s.cfg.Log.Info().Str("worker", string(vm.ID)).Int("runs", len(w.runs)).Msg("pool: worker is draining")
	}
	if vm.EntryVersion != w.vm.EntryVersion || vm.EntryVersion != 0 && w.heartbeatSeenAt.IsZero() {
		w.heartbeatSeenAt, w.heartbeatSeenAtListing = s.now, s.listingTime
	}
	incarnation := w.vm.Incarnation
	w.vm = vm
	w.vm.Incarnation = max(incarnation, vm.Incarnation)
	w.rack = vm.Rack()
	w.evacuated = s.isEvacuated(vm.Zone)
	w.inPlatformList = true
}

// dropWorkers removes the workers that left the list and on which nothing can run.
func (s *Scheduler) dropWorkers() {
	for id, w := range s.workers {
		if w.inPlatformList || w.holdInFlight || len(w.runs) > 0 || s.now.Before(w.leaseExpiry) {
			continue
		}
		delete(s.workers, id)
		// The worker may return as a new incarnation, which must refuse the requests that are still in flight.
		s.restarts[id]++
		s.removePermits(w)
		s.workersDirty = true
		s.cfg.Log.Info().Str("worker", string(id)).Msg("pool: worker removed")
	}
}

// removePermits removes a worker that was dropped from the permits of all steps, so that no task is placed on it.
func (s *Scheduler) removePermits(w *worker) {
	w.usable = false
	for _, st := range s.openSteps {
		st.removePermit(w)
		st.preemptedWorkers = slices.DeleteFunc(st.preemptedWorkers, func(other *worker) bool { return other == w })
		delete(st.advisedWorkers, w)
	}
}

// workerRestarted handles the restart of a worker: runs of earlier incarnations have ended. A run that no hold
// reply included, or one with an unanswered start request, may belong to the new incarnation, as the request may have
// reached it before the restart was noticed, or may still reach it.
func (s *Scheduler) workerRestarted(w *worker, incarnation platform.Incarnation) {
	known := w.vm.Incarnation != 0
	if known {
		s.cfg.Log.Info().Str("worker", string(w.vm.ID)).Int("runs", len(w.runs)).Int64("incarnation", int64(incarnation)).Msg("pool: worker has restarted")
	}
	if known {
		s.restarts[w.vm.ID]++
		s.assumeMaxLease(w)
	}
	w.vm.Incarnation = incarnation
	w.fenceAccepted = false
	for _, e := range w.deferredEnds {
		s.deferredEarlierEnds = append(s.deferredEarlierEnds, unacknowledgedEnd{worker: w, end: e})
	}
	w.lastEndRead, w.lastEndRecorded, w.lastEndAcknowledged = 0, 0, 0
	w.moreEnds, w.unrecordedEnds, w.deferredEnds, w.deferredRuns, w.runsListedAt = false, nil, nil, nil, 0
	w.consecutiveFailures, w.quarantinedUntil = 0, time.Time{}
	for _, r := range sortedRuns(w) {
		if s.loseIfOver(r, restartEvidence{}) {
			continue
		}
		if r.state == runActive {
			r.state, r.unconfirmedAt = runUnconfirmed, s.now
		}
		r.reportedByWorker = false
		r.confirmedAt, r.stopAnsweredAt = time.Time{}, time.Time{}
	}
	if known && w.holdInFlight {
		// Has the worker accept the new fencing token before the hold call in flight can acknowledge run ends
		// of the new incarnation.
		s.sendHold(w, true)
	}
}

// checkClock treats a worker's clock that shows an earlier time than expected when the request was sent as a restart of
// the worker, and calls hold. No run end of the worker is acknowledged until the reply.
func (s *Scheduler) checkClock(w *worker, clock time.Duration, sentAt time.Time) {
	if clock == 0 || !w.fenceAccepted || !w.inSync {
		return
	}
	expected := w.clockReading + time.Duration(float64(sentAt.Sub(w.clockReadAt))*(1-maxClockDrift)) - clockReadTolerance
	if clock >= expected {
		return
	}
	s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Dur("clock", clock).Dur("expected", expected).Msg("pool: clock of a worker went back; assuming a restart")
	w.inSync = false
	s.sendHold(w, true)
}

// assumeMaxLease assumes that the worker's leases last as long as it grants any: their ends may have been
// computed for the clock of an earlier incarnation, which was ahead.
func (s *Scheduler) assumeMaxLease(w *worker) {
	expiry := s.now.Add(maxLeaseDuration(s.cfg.MaxLease))
	w.leaseExpiry = laterTime(expiry, w.leaseExpiry)
	w.longLeaseExpiry = laterTime(expiry, w.longLeaseExpiry)
	s.workersDirty = true
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fence returns the fencing token for a worker: the epoch in the upper bits, and the number of observed
// restarts and drops of the worker below it. A hold call made for an earlier incarnation is therefore refused; it would
// acknowledge run ends of the current one.
func (s *Scheduler) fence(w *worker) cluster.Epoch {
	return s.cfg.Epoch<<restartBits | cluster.Epoch(s.restarts[w.vm.ID])
}

// restartBits is the width of the restart counter in a fencing token.
const restartBits = 16

// fenceOutdated reports whether a request was sent before a restart of its worker was noticed.
func (s *Scheduler) fenceOutdated(id cluster.WorkerID, fence cluster.Epoch) bool {
	w := s.workers[id]
	return w != nil && fence < s.fence(w)
}

func sortedRuns(w *worker) []*run {
	return slices.SortedFunc(maps.Values(w.runs), compareRuns)
}

func compareRuns(a, b *run) int { return cmp.Compare(a.number, b.number) }

// checkTakeover drops the inherited workers whose leases have expired, and completes the takeover when none is
// left.
func (s *Scheduler) checkTakeover() {
	for id := range s.inheritedWorkers {
		if !s.now.Before(s.inheritedLeaseExpiry(id)) && !s.inheritedMayReportEnds(id) {
			delete(s.inheritedWorkers, id)
			s.cfg.Log.Warn().Str("worker", string(id)).Msg("pool: an inherited worker did not list all its runs; its leases have expired")
		}
	}
	if s.takeoverComplete || len(s.inheritedWorkers) > 0 {
		return
	}
	s.takeoverComplete = true
	s.cfg.Log.Info().Dur("took", s.now.Sub(s.cfg.Now)).Int("jobs", len(s.jobs)).Msg("pool: takeover complete; every inherited worker has listed all its runs or its leases have expired")
	for _, st := range s.openSteps {
		s.checkGang(st)
	}
}

// checkGang stops an adopted gang that lost members.
func (s *Scheduler) checkGang(st *step) {
	if !st.spec.Gang || st.gangRun == 0 || st.pendingTasks == 0 {
		return
	}
	missing := slices.IndexFunc(st.tasks, func(t task) bool { return !t.done && t.run == nil })
	s.abortGang(st, "members are missing after the takeover", st.taskID(missing), "")
}

// isUsable reports whether a worker may be given new tasks. The size of deferred runs is not known.
func (s *Scheduler) isUsable(w *worker) bool {
	return w.acceptsTasks() && w.fenceAccepted && w.inSync && len(w.deferredRuns) == 0 && !w.recordedUnresponsive && w.registeredGeneration != 0 && w.registeredGeneration <= s.recordedGeneration &&
		!s.now.Before(w.quarantinedUntil)
}

// hasRuns reports whether the worker has runs that a hold reply may report on.
func (w *worker) hasRuns() bool { return len(w.runs) > 0 || len(w.deferredRuns) > 0 }

func (w *worker) free() cluster.Resources { return w.vm.Capacity.Sub(w.used).Sub(w.reserved) }

// grantLease returns the end of a lease that starts now, on the worker's clock, and updates the worker's lease
// expiry. It returns 0, which grants no lease, while the worker's clock is not known. The clock is taken to have run slow
// since it was read, so that the lease is over after maxLeaseDuration whenever that was.
func (s *Scheduler) grantLease(w *worker) time.Duration {
	if w.clockReadAt.IsZero() {
		return 0
	}
	expiry := s.now.Add(maxLeaseDuration(s.cfg.Lease))
	if expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
	return w.clockReading + time.Duration(float64(s.now.Sub(w.clockReadAt))*(1-maxClockDrift)) + s.cfg.Lease
}

// sendHolds renews the leases of the workers that have runs or unacknowledged run ends, and calls hold on the
// workers that have not replied under this epoch yet or whose clocks were read long ago.
func (s *Scheduler) sendHolds() {
	initialHolds := 0
	for _, w := range s.sortedWorkers {
		if w.holdInFlight && !w.fenceAccepted {
			initialHolds++
		}
	}
	for _, w := range s.sortedWorkers {
		if w.holdInFlight || s.now.Before(w.nextHoldAt) {
			continue
		}
		idle := !w.hasRuns() && len(w.unrecordedEnds) == 0 && !w.moreEnds
		if w.fenceAccepted && w.inSync && idle && w.lastEndRead == w.lastEndRecorded && s.now.Sub(w.clockReadAt) < clockRefreshInterval {
			continue
		}
		if !w.inPlatformList && !w.hasRuns() && !s.isInherited(w) {
			continue
		}
		if w.fenceAccepted && w.inSync && len(w.unrecordedEnds) == 0 && !w.moreEnds && w.allRunsStarting() {
			// The reply to the start request shows whether the worker has restarted.
			continue
		}
		// Only the ends that a call acknowledges make room for those that the last reply did not list.
		listsFurtherEnds := w.moreEnds && w.lastEndAcknowledged < w.lastEndRecorded
		if len(w.unrecordedEnds) > 0 && !listsFurtherEnds && s.now.Before(w.nextHoldAt.Add(maxHoldDelay)) {
			continue
		}
		if !w.fenceAccepted {
			if initialHolds >= maxInitialHolds {
				continue
			}
			initialHolds++
		}
		s.sendHold(w, false)
	}
}

// allRunsStarting reports whether the start request of every run of a worker is unanswered.
func (w *worker) allRunsStarting() bool {
	for _, r := range w.runs {
		if r.state != runStarting {
			return false
		}
	}
	return len(w.runs) > 0
}

func (s *Scheduler) isInherited(w *worker) bool {
	_, ok := s.inheritedWorkers[w.vm.ID]
	return ok
}

// keepInheritedLease counts the leases that previous owners have granted to a worker for the runs that it reports.
func (s *Scheduler) keepInheritedLease(w *worker) {
	if inherited, ok := s.inheritedWorkers[w.vm.ID]; ok {
		w.leaseExpiry = laterTime(inherited.leaseExpiry, w.leaseExpiry)
		w.longLeaseExpiry = laterTime(inherited.longLeaseExpiry, w.longLeaseExpiry)
	}
}

// sendHold calls hold on a worker. An extra call is answered immediately and does not affect the periodic one.
func (s *Scheduler) sendHold(w *worker, extra bool) {
	req := platform.HoldRequest{Fence: s.fence(w)}
	// A restarted worker numbers its run ends from one again.
	if w.inSync {
		req.Acknowledge = w.lastEndRecorded
		w.lastEndAcknowledged = w.lastEndRecorded
	}
	// An unresponsive worker gets no longer lease; otherwise its runs would never count as expired.
	if w.fenceAccepted && w.inSync && !w.recordedUnresponsive && !s.suspended {
		req.Until = s.grantLease(w)
	}
	if w.fenceAccepted && w.inSync && !extra && len(w.unrecordedEnds) == 0 && !w.moreEnds && w.hasRuns() {
		req.Wait = holdMaxWait
	}
	if !extra {
		w.holdInFlight = true
	}
	s.emit(&SendHold{Worker: w.vm, Request: req, Extra: extra})
}
