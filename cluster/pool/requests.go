package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// accountedSize returns the part of a worker's capacity that a task is accounted for.
func accountedSize(spec *workload.Step) cluster.Resources {
	size := spec.Size
	if spec.BestEffortCPU {
		size.CPU = 0
	}
	return size
}

// startTask adds a run of a task and asks the worker to start it.
func (s *Scheduler) startTask(w *worker, st *step, index int, number platform.RunNumber, ticket string) {
	r := s.addRun(w, st, index, number)
	st.limitWaitSince = time.Time{}
	if st.job.surplus {
		s.load.meter.SurplusStarted(s.now)
	}
	s.metrics.starts.Inc(1)
	s.metrics.wait.RecordDuration(s.now.Sub(st.job.arrivedAt))
	r.start = &SendStart{Worker: w.vm, Task: r.id, Request: platform.StartRequest{
		Task: r.id.String(), Run: number, Fence: s.fence(w), Spec: st.job.spec.Spec, Until: s.grantLease(w),
		Checkpoint: st.tasks[index].checkpoint(), Ticket: ticket,
	}}
	s.sendStart(r)
	line := s.cfg.Log.Info().Str("job", string(r.id.Job)).Stringer("task", r.id).Uint64("run", uint64(number)).Str("worker", string(w.vm.ID)).
		Dur("waited", s.now.Sub(st.job.arrivedAt)).Stringer("free", w.free())
	if st.movedByUse {
		line = line.Dur("usageDelay", st.useDelay).Float64("usageFactor", st.job.team.use.factor).Float64("share", st.job.team.use.share).
			Float64("pastUsage", st.job.team.use.account.Usage()/s.maxPastUse())
	}
	line.Msg("pool: task placed")
}

func (s *Scheduler) sendStart(r *run) {
	r.unansweredStarts++
	s.emit(r.start)
}

// findRun returns the run of a task on a worker, or nil if the scheduler does not track it.
func (s *Scheduler) findRun(id cluster.WorkerID, task workload.TaskID, number platform.RunNumber) *run {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	if r := w.runs[task]; r != nil && r.number == number {
		return r
	}
	return nil
}

// startAnswered applies the reply to a start request. The refusal of the only request frees the task at once. That of a
// repeat tells nothing about the first request, which the worker may have carried out or may still carry out.
func (s *Scheduler) startAnswered(e *StartAnswered) {
	r := s.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	w := r.worker
	if e.ReplyLost {
		s.callUnanswered(w)
		s.startUnanswered(r)
		return
	}
	r.unansweredStarts--
	if e.NotTried {
		s.startRefused(r)
		return
	}
	s.startReplied(w, s.now.Sub(r.startSentAt))
	s.checkClock(w, e.Reply.Clock, r.startSentAt)
	if e.Reply.Refusal == platform.StartAccepted {
		s.confirmRun(r)
		return
	}
	s.cfg.Log.Info().Str("job", string(e.Task.Job)).Stringer("task", e.Task).Uint64("run", uint64(e.Run)).Str("worker", string(e.Worker)).
		Stringer("reason", e.Reply.Refusal).Bool("repeated", r.startRepeated).Msg("pool: start refused")
	s.metrics.refusals[e.Reply.Refusal].Inc(1)
	st := r.step
	switch e.Reply.Refusal {
	case platform.RefusedFence:
		if !s.fenceOutdated(e.Worker, e.Fence) {
			s.supersede(e.Worker)
			return
		}
	case platform.RefusedTicket:
		st.expirePermit(w)
	case platform.RefusedUnhealthy:
		s.quarantineUnresponsive(w, unhealthyQuarantineTime)
	case platform.RefusedIncarnation:
		w.inSync = false
		w.nextHoldAt = s.now
	case platform.RefusedNoCapacity:
		s.sendHold(w, true)
	}
	s.startRefused(r)
}

// startRefused frees the task of a run if no start request of the run can be carried out any more.
func (s *Scheduler) startRefused(r *run) {
	r.step.tasks[r.id.Index].changeHistory().notBefore = s.now.Add(refusedStartDelay)
	if !s.loseIfOver(r, refusalEvidence{}) {
		s.markUnconfirmed(r)
	}
}

// unhealthyQuarantineTime is how long a worker that refused a start as unhealthy gets no new tasks.
const unhealthyQuarantineTime = 500 * time.Millisecond

// startUnanswered keeps a run whose start request got no reply, as the worker may still carry it out. It repeats the
// request once, which has no effect on a run that is there, if tasks may still start on the worker. After that checkRuns
// stops the run, or its whole gang, unless a hold reply includes it.
func (s *Scheduler) startUnanswered(r *run) {
	if r.state != runStarting {
		return
	}
	w := r.worker
	s.cfg.Log.Warn().Str("job", string(r.id.Job)).Stringer("task", r.id).Uint64("run", uint64(r.number)).
		Str("worker", string(w.vm.ID)).Bool("repeated", r.startRepeated).Msg("pool: no reply to a start request")
	w.inSync = false
	if !r.startRepeated && !s.suspended && !w.evacuated && s.evacuationsKnown() && r.start.Request.Fence == s.fence(w) {
		r.startRepeated = true
		s.sendStart(r)
		s.requestSync(w)
		return
	}
	s.quarantineUnresponsive(w, quarantineTime)
	s.markUnconfirmed(r)
}

// markUnconfirmed marks a run as one that may or may not have started, and calls hold to find out. A run that is known
// to have started, or that is being stopped, stays so.
func (s *Scheduler) markUnconfirmed(r *run) {
	if r.state == runStarting {
		s.setRunState(r, runUnconfirmed)
		r.unconfirmedAt = s.now
	}
	s.requestSync(r.worker)
}

// requestSync calls hold on a worker as soon as possible.
func (s *Scheduler) requestSync(w *worker) {
	w.nextHoldAt = s.now
	// While the owner is congested, more calls would only delay one another.
	if w.holdInFlight && !s.congested {
		s.sendHold(w, true)
	}
}

// stopRun asks a worker to stop a run. The run's resources remain in use until the run is known to have
// ended.
func (s *Scheduler) stopRun(r *run) {
	if r.state == runStopping {
		return
	}
	s.setRunState(r, runStopping)
	s.sendStop(r)
}

func (s *Scheduler) sendStop(r *run) {
	r.stopSentAt = s.now
	s.emit(&SendStop{Worker: r.worker.vm, Task: r.id, Request: platform.StopRequest{Task: r.id.String(), Run: r.number, Fence: s.fence(r.worker)}})
}

// stopAnswered applies the reply to a stop request and calls hold to learn whether the run has ended.
func (s *Scheduler) stopAnswered(e *StopAnswered) {
	if !e.ReplyLost && e.Reply.Fenced {
		if !s.fenceOutdated(e.Worker, e.Fence) {
			s.supersede(e.Worker)
		}
		return
	}
	r := s.findRun(e.Worker, e.Task, e.Run)
	if r == nil || e.ReplyLost || e.Reply.Restarted || r.state != runStopping {
		return
	}
	r.stopAnsweredAt = s.now
	s.sendHold(r.worker, true)
}

// checkRuns repeats stop requests, stops stalled and unconfirmed runs, and releases the runs whose leases have
// expired.
func (s *Scheduler) checkRuns() {
	checkDueActions := s.now.Sub(s.dueActionsCheckedAt) >= dueActionInterval
	if checkDueActions {
		s.dueActionsCheckedAt = s.now
	}
	for _, w := range s.sortedWorkers {
		if len(w.runs) == 0 {
			continue
		}
		expired := !w.inSync && !s.now.Before(w.leaseExpiry)
		if expired && w.fenceAccepted && w.reportedExpiry != w.leaseExpiry {
			w.reportedExpiry = w.leaseExpiry
			s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Int("runs", len(w.runs)).Msg("pool: leases of an unresponsive worker have expired")
		}
		if !expired && (!checkDueActions || !s.hasDueAction(w)) {
			continue
		}
		for _, r := range sortedRuns(w) {
			if expired {
				s.loseIfOver(r, leaseEvidence{})
				continue
			}
			s.runDueAction(r)
		}
	}
}

// awaitsEnd reports whether the worker of a run whose lease has expired may still report how the run has ended. The
// task may be done; it must not start again before the report.
func (s *Scheduler) awaitsEnd(r *run) bool {
	st := r.step
	if st.closed() || st.spec.LongRunning || st.tasks[r.id.Index].done {
		return false
	}
	wait := endReportWait
	if st.spec.Gang && st.gangRun != r.number {
		// The gang is being stopped; it is done only if it was done before the stop.
		wait = singleReplyWait
	}
	return s.mayReportEnds(r.worker, &r.worker.report, r.worker.leaseExpiry, wait)
}

// dueActionInterval is the time between two searches for due actions, which look at every run of the pool.
const dueActionInterval = stepInterval / 2

// hasDueAction reports whether an action is due for a run of a worker.
func (s *Scheduler) hasDueAction(w *worker) bool {
	for _, r := range w.runs {
		if s.dueAction(r) != actionNone {
			return true
		}
	}
	return false
}

// runAction is the action that is due for a run.
type runAction int

const (
	actionNone runAction = iota
	actionStopUnconfirmed
	actionStopStalled
	actionResendStop
	// actionCallHold calls hold again, because the stop was answered but the end of the run is not known yet.
	actionCallHold
)

// dueAction returns the action that is due for a run now.
func (s *Scheduler) dueAction(r *run) runAction {
	switch {
	case r.state == runUnconfirmed && s.now.Sub(r.unconfirmedAt) >= startVerifyDelay:
		return actionStopUnconfirmed
	case s.stalled(r):
		return actionStopStalled
	case r.state == runStopping && r.stopAnsweredAt.IsZero() && s.now.Sub(r.stopSentAt) >= stopRetryDelay:
		return actionResendStop
	case r.state == runStopping && !r.stopAnsweredAt.IsZero() && s.now.Sub(r.stopAnsweredAt) >= stopRetryDelay && !r.worker.holdInFlight:
		return actionCallHold
	}
	return actionNone
}

func (s *Scheduler) runDueAction(r *run) {
	switch s.dueAction(r) {
	case actionStopUnconfirmed:
		s.stopRunOrGang(r)
	case actionStopStalled:
		s.stopStalled(r)
	case actionResendStop:
		s.sendStop(r)
	case actionCallHold:
		r.worker.nextHoldAt = s.now
	}
}

// stopRunOrGang stops a run together with the gang that it belongs to, as the other members would only wait for it.
func (s *Scheduler) stopRunOrGang(r *run) {
	if r.step.spec.Gang && r.step.gangRun == r.number {
		reason := "a member is stalled"
		if r.state == runUnconfirmed {
			reason = "the start of a member is unconfirmed"
		}
		s.abortGang(r.step, reason, r.id, r.worker.vm.ID)
		return
	}
	s.stopRun(r)
}
