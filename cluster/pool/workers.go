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
	for _, w := range s.workers {
		w.listed = false
	}
	for _, vm := range list {
		if vm.Service == s.cfg.Service {
			s.listWorker(vm)
		}
	}
	s.dropWorkers()
	s.order = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

func (s *Scheduler) listWorker(vm platform.WorkerVM) {
	w := s.workers[vm.ID]
	if w == nil {
		w = &worker{vm: vm, runs: map[workload.TaskID]*run{}, sound: true, speed: 1}
		s.workers[vm.ID] = w
		s.workersDirty = true
		s.cfg.Log.Info().Str("worker", string(vm.ID)).Stringer("size", vm.Capacity).Bool("draining", vm.Draining).Msg("pool: worker added")
	}
	if vm.Incarnation != 0 && vm.Incarnation > w.vm.Incarnation {
		s.reboot(w, vm.Incarnation)
	}
	if vm.Draining && !w.vm.Draining {
		s.cfg.Log.Info().Str("worker", string(vm.ID)).Int("runs", len(w.runs)).Msg("pool: worker is draining")
	}
	incarnation := w.vm.Incarnation
	w.vm = vm
	w.vm.Incarnation = max(incarnation, vm.Incarnation)
	w.rack = vm.Rack()
	w.listed = true
}

// dropWorkers removes the workers that left the list and on which nothing can run.
func (s *Scheduler) dropWorkers() {
	for id, w := range s.workers {
		if w.listed || w.holding || len(w.runs) > 0 || s.now.Before(w.lapse) {
			continue
		}
		delete(s.workers, id)
		s.workersDirty = true
		s.cfg.Log.Info().Str("worker", string(id)).Msg("pool: worker removed")
	}
}

// workerRestarted handles the restart of a worker: runs of earlier incarnations have ended. A run that no hold
// reply included may belong to the new incarnation, as the start request may have reached it before the restart
// was noticed, or may still reach it.
func (s *Scheduler) reboot(w *worker, incarnation platform.Incarnation) {
	known := w.vm.Incarnation != 0
	if known {
		s.cfg.Log.Info().Str("worker", string(w.vm.ID)).Int("runs", len(w.runs)).Int64("incarnation", int64(incarnation)).Msg("pool: worker has restarted")
	}
	if known {
		s.restarts[w.vm.ID]++
		s.expectLongLease(w)
	}
	w.vm.Incarnation = incarnation
	w.fenced = false
	w.seen, w.acknowledge, w.unrecorded = 0, 0, nil
	w.failures, w.quarantined = 0, time.Time{}
	for _, r := range sortedRuns(w) {
		if r.listed {
			s.lose(r, "worker restarted")
			continue
		}
		if r.state == runActive {
			r.state, r.sent = runDoubtful, s.now
		}
		r.confirmed, r.stopped = time.Time{}, time.Time{}
	}
	if known && w.holding {
		// Has the worker accept the new fencing token before the hold call in flight can acknowledge run ends
		// of the new incarnation.
		s.sendHold(w, true)
	}
}

// checkClock detects from a worker's clock that has gone back that the worker has restarted, and calls hold. No
// run end of the worker is acknowledged until the reply.
func (s *Scheduler) checkClock(w *worker, clock time.Duration) {
	if clock == 0 || !w.fenced || !w.sound {
		return
	}
	expected := w.clock + time.Duration(float64(s.now.Sub(w.clockAt))*(1-drift)) - clockSlack
	if clock >= expected {
		return
	}
	s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Dur("clock", clock).Dur("expected", expected).Msg("pool: clock of a worker went back; assuming a restart")
	w.sound = false
	s.sendHold(w, true)
}

// assumeMaxLease assumes that the worker's leases last as long as it grants any: their ends may have been
// computed for the clock of an earlier incarnation, which was ahead.
func (s *Scheduler) expectLongLease(w *worker) {
	if lapse := s.now.Add(lapseTime(s.cfg.MaxLease)); lapse.After(w.lapse) {
		w.lapse = lapse
	}
}

// fence returns the fencing token for a worker: the epoch in the upper bits, and the number of observed
// restarts of the worker below it. A hold call made for an earlier incarnation is therefore refused; it would
// acknowledge run ends of the current one.
func (s *Scheduler) fence(w *worker) cluster.Epoch {
	return s.cfg.Epoch<<restartBits | cluster.Epoch(s.restarts[w.vm.ID])
}

// restartBits is the width of the restart counter in a fencing token.
const restartBits = 16

// fenceOutdated reports whether a request was sent before a restart of its worker was noticed.
func (s *Scheduler) outdated(id cluster.WorkerID, fence cluster.Epoch) bool {
	w := s.workers[id]
	return w != nil && fence < s.fence(w)
}

func sortedRuns(w *worker) []*run {
	return slices.SortedFunc(maps.Values(w.runs), compareRuns)
}

func compareRuns(a, b *run) int { return cmp.Compare(a.number, b.number) }

// checkTakeover drops the inherited workers whose leases have expired, and completes the takeover when none is
// left.
func (s *Scheduler) settle() {
	for id, p := range s.predecessors {
		if !s.now.Before(p.until) {
			delete(s.predecessors, id)
			s.cfg.Log.Warn().Str("worker", string(id)).Msg("pool: an inherited worker did not answer; its leases have expired")
		}
	}
	if s.settled || len(s.predecessors) > 0 {
		return
	}
	s.settled = true
	s.cfg.Log.Info().Dur("took", s.now.Sub(s.cfg.Now)).Int("jobs", len(s.jobs)).Msg("pool: takeover complete; every inherited worker has replied or its leases have expired")
	for _, st := range s.open {
		s.checkGang(st)
	}
}

// checkGang stops an adopted gang that lost members.
func (s *Scheduler) checkGang(st *step) {
	if !st.spec.Gang || st.gangRun == 0 || st.waiting == 0 {
		return
	}
	s.abortGang(st, "members are missing after the takeover")
}

// isUsable reports whether a worker may be given new tasks.
func (s *Scheduler) usable(w *worker) bool {
	return w.listed && w.fenced && w.sound && !w.silent && !w.vm.Draining && w.registered != 0 && w.registered <= s.recorded &&
		!s.now.Before(w.quarantined)
}

func (w *worker) free() cluster.Resources { return w.vm.Capacity.Sub(w.used).Sub(w.reserved) }

// grantLease returns the end of a lease that starts now, on the worker's clock, and updates the worker's lease
// expiry.
func (s *Scheduler) until(w *worker) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	lease := s.now.Sub(w.clockAt) + s.cfg.Lease
	lapse := w.clockAt.Add(lapseTime(lease))
	if lapse.After(w.lapse) {
		w.lapse = lapse
	}
	return w.clock + lease
}

// sendHolds renews the leases of the workers that have runs or unacknowledged run ends, and calls hold on the
// workers that have not replied under this epoch yet.
func (s *Scheduler) hold() {
	first := 0
	for _, w := range s.order {
		if w.holding && !w.fenced {
			first++
		}
	}
	for _, w := range s.order {
		if w.holding || s.now.Before(w.nextHold) {
			continue
		}
		idle := len(w.runs) == 0 && len(w.unrecorded) == 0
		if w.fenced && w.sound && idle && w.seen == w.acknowledge {
			continue
		}
		if !w.listed && len(w.runs) == 0 && !s.isPredecessor(w) {
			continue
		}
		if w.fenced && w.sound && len(w.unrecorded) == 0 && w.onlyStarting() {
			// The reply to the start request shows whether the worker has restarted.
			continue
		}
		if len(w.unrecorded) > 0 && s.now.Before(w.nextHold.Add(recordWait)) {
			continue
		}
		if !w.fenced {
			if first >= maxFirstHolds {
				continue
			}
			first++
		}
		s.sendHold(w, false)
	}
}

// allRunsStarting reports whether the start request of every run of a worker is unanswered.
func (w *worker) onlyStarting() bool {
	for _, r := range w.runs {
		if r.state != runStarting {
			return false
		}
	}
	return len(w.runs) > 0
}

func (s *Scheduler) isPredecessor(w *worker) bool {
	_, ok := s.predecessors[w.vm.ID]
	return ok
}

// sendHold calls hold on a worker. An extra call is answered immediately and does not affect the periodic one.
func (s *Scheduler) sendHold(w *worker, extra bool) {
	o := platform.HoldOrder{Fence: s.fence(w)}
	// A restarted worker numbers its run ends from one again.
	if w.sound {
		o.Acknowledge = w.acknowledge
	}
	// An unresponsive worker gets no longer lease; otherwise its runs would never count as expired.
	if w.fenced && w.sound && !w.silent {
		o.Until = s.until(w)
	}
	if w.fenced && w.sound && !extra && len(w.unrecorded) == 0 && len(w.runs) > 0 {
		o.Wait = holdWait
	}
	if !extra {
		w.holding = true
	}
	s.emit(&SendHold{Worker: w.vm, Order: o, Extra: extra})
}
