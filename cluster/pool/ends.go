package pool

import (
	"math"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// holdAnswered applies the reply of a worker to a hold call.
func (s *Scheduler) holdAnswered(e *HoldAnswered) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Late {
		s.lateHoldAnswered(w, e)
		return
	}
	if !e.Extra {
		w.holdInFlight = false
		w.nextHoldAt = s.now
	}
	if e.ReplyLost {
		s.callUnanswered(w)
		s.holdUnanswered(w)
		return
	}
	s.callAnswered(w, 0)
	if e.Reply.Fenced {
		if !s.fenceOutdated(e.Worker, e.Fence) {
			s.supersede(e.Worker)
		}
		return
	}
	if e.Reply.Restarted {
		w.nextHoldAt = s.now.Add(holdRetryDelay)
		w.inSync = false
		s.recordUnresponsive(w)
		return
	}
	if e.Reply.Incarnation != 0 && e.Reply.Incarnation != w.vm.Incarnation {
		if e.Reply.Incarnation < w.vm.Incarnation {
			s.applyEarlierEnds(w, e.Reply.Ended)
			return
		}
		s.workerRestarted(w, e.Reply.Incarnation)
	}
	if !w.inSync {
		s.cfg.Log.Info().Str("worker", string(e.Worker)).Msg("pool: worker is in sync again")
	}
	w.inSync = true
	if w.holdUnanswered {
		w.holdUnanswered = false
		s.workersDirty = s.workersDirty || w.recordedUnresponsive
	}
	if receivedAt := e.ReceivedAt; receivedAt.After(w.clockReadAt) || !w.fenceAccepted {
		w.clockReading, w.clockReadAt = e.Reply.Clock, receivedAt
	}
	// The worker may have restarted so recently that the previous owner granted leases without noticing it.
	if !w.fenceAccepted && e.Reply.Clock < s.cfg.MaxLease+recentRestartTime && s.isInherited(w) {
		s.assumeMaxLease(w)
	}
	w.fenceAccepted = true
	s.keepInheritedLease(w)
	s.readEnds(w, e.Reply.Ended)
	if e.Reply.Clock < w.runsListedAt {
		// A later reply has overtaken this one, which may list runs whose ends have been read.
		return
	}
	w.runsListedAt, w.moreEnds, w.deferredRuns = e.Reply.Clock, e.Reply.MoreEnds, nil
	if !w.moreEnds {
		delete(s.inheritedWorkers, w.vm.ID)
	}
	s.readRunning(w, e)
}

// holdUnanswered handles a hold call without a reply. The worker's runs continue to count until its leases have
// expired.
func (s *Scheduler) holdUnanswered(w *worker) {
	w.nextHoldAt = s.now.Add(holdRetryDelay)
	s.recordUnresponsive(w)
	if w.inSync {
		w.inSync = false
		s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Int("runs", len(w.runs)).Time("lapse", w.leaseExpiry).Msg("pool: worker did not answer a hold call")
	}
}

// recordUnresponsive has the next record list a worker as unresponsive.
func (s *Scheduler) recordUnresponsive(w *worker) {
	if !w.holdUnanswered {
		w.holdUnanswered = true
		s.workersDirty = true
	}
}

// lateHoldAnswered reads the run ends in a late reply, so that their tasks do not start again when the leases of the
// worker expire. What the worker runs now, and whether it responds, shows only the reply to a later call.
func (s *Scheduler) lateHoldAnswered(w *worker, e *HoldAnswered) {
	if e.Reply.Fenced || e.Reply.Restarted {
		return
	}
	if e.Reply.Incarnation < w.vm.Incarnation {
		s.applyEarlierEnds(w, e.Reply.Ended)
		return
	}
	fenceAccepted := w.fenceAccepted || e.Fence == s.fence(w)
	if fenceAccepted && e.Reply.Incarnation == w.vm.Incarnation {
		s.readEnds(w, e.Reply.Ended)
	}
}

// applyEarlierEnds applies the ends of runs that were done in an earlier incarnation of a worker. They can't be
// acknowledged any more.
func (s *Scheduler) applyEarlierEnds(w *worker, ended []platform.RunEnd) {
	for _, e := range ended {
		if e.Outcome == platform.RunDone {
			s.applyEnd(w, e)
		}
	}
}

// readEnds applies the run ends that were not read before, in their order.
func (s *Scheduler) readEnds(w *worker, ended []platform.RunEnd) {
	for _, e := range ended {
		if e.Number <= w.lastEndRead {
			continue
		}
		w.lastEndRead = e.Number
		if s.mayBelongToLaterJob(e.Task, e.Run) {
			w.deferredEnds = append(w.deferredEnds, e)
			w.unrecordedEnds = append(w.unrecordedEnds, unrecordedEnd{number: e.Number, generation: deferredGeneration})
			continue
		}
		s.applyEnd(w, e)
		w.unrecordedEnds = append(w.unrecordedEnds, unrecordedEnd{number: e.Number, job: s.jobOf(e), generation: s.generation + 1})
	}
}

// jobOf returns the job of a run end, or nil if it is not known.
func (s *Scheduler) jobOf(e platform.RunEnd) *job {
	id, ok := workload.ParseTaskID(e.Task)
	if !ok {
		return nil
	}
	return s.jobs[id.Job]
}

// deferredGeneration is the generation of a run end that is not applied yet. It keeps the end, and those after it, from
// being acknowledged.
const deferredGeneration = math.MaxUint64

// unacknowledgedEnd is a deferred run end of an earlier incarnation of a worker, which can't be acknowledged any more.
type unacknowledgedEnd struct {
	worker *worker
	end    platform.RunEnd
}

// applyDeferredEnds applies the deferred run ends whose job has been received or is no longer expected.
func (s *Scheduler) applyDeferredEnds() {
	s.deferredEarlierEnds = slices.DeleteFunc(s.deferredEarlierEnds, func(e unacknowledgedEnd) bool {
		if s.mayBelongToLaterJob(e.end.Task, e.end.Run) {
			return false
		}
		s.applyEnd(e.worker, e.end)
		return true
	})
	for _, w := range s.sortedWorkers {
		w.deferredEnds = slices.DeleteFunc(w.deferredEnds, func(e platform.RunEnd) bool {
			if s.mayBelongToLaterJob(e.Task, e.Run) {
				return false
			}
			s.applyEnd(w, e)
			for i := range w.unrecordedEnds {
				if w.unrecordedEnds[i].number == e.Number {
					w.unrecordedEnds[i].job, w.unrecordedEnds[i].generation = s.jobOf(e), s.generation+1
				}
			}
			return true
		})
	}
}

// mayBelongToLaterJob reports whether a run of a previous owner may belong to a job that this owner has not received
// yet: the previous owner may have learned of the job before the change feed delivers it here.
func (s *Scheduler) mayBelongToLaterJob(task string, run platform.RunNumber) bool {
	if uint64(run)>>runCounterBits >= uint64(s.cfg.Epoch) || s.activeTime >= takeoverFeedDelay {
		return false
	}
	id, ok := workload.ParseTaskID(task)
	return ok && s.jobs[id.Job] == nil
}

// readDeferredRuns adopts or stops the deferred runs of a job that has been received. A run that has ended meanwhile is
// absent from the next hold reply.
func (s *Scheduler) readDeferredRuns(j *job) {
	for _, w := range s.sortedWorkers {
		w.deferredRuns = slices.DeleteFunc(w.deferredRuns, func(tr platform.TaskRun) bool {
			id, _ := workload.ParseTaskID(tr.Task)
			if id.Job != j.spec.ID {
				return false
			}
			s.unexpectedRun(w, id, tr)
			return true
		})
	}
}

// applyEnd applies the end of one run.
func (s *Scheduler) applyEnd(w *worker, e platform.RunEnd) {
	id, ok := workload.ParseTaskID(e.Task)
	st := s.stepOf(id)
	if !ok || st == nil {
		s.cfg.Log.Debug().Str("task", e.Task).Str("worker", string(w.vm.ID)).Msg("pool: ignoring the end of a run of an unknown task")
		return
	}
	r := w.runs[id]
	known := r != nil && r.number == e.Run
	s.cfg.Log.Info().Str("job", string(id.Job)).Str("task", e.Task).Uint64("run", uint64(e.Run)).Str("worker", string(w.vm.ID)).
		Stringer("outcome", e.Outcome).Bool("known", known).Msg("pool: run ended")
	s.metrics.ends[e.Outcome].Inc(1)
	if !known {
		s.lostRunReported(w, st, e.Task, id.Index, e.Run, e.Outcome.String())
	}
	if e.Checkpoint != "" {
		st.saveCheckpoint(id.Index, e.Checkpoint)
	}
	s.markStarted(st.job)
	if known {
		s.observeEnd(r, e.Outcome)
		s.releaseRun(r)
	}
	switch e.Outcome {
	case platform.RunDone:
		if st.spec.LongRunning && st.gangRun == e.Run {
			s.abortGang(st, e.Outcome.String(), id, w.vm.ID) // it starts again as a whole
		}
		s.taskDone(st, id.Index)
	case platform.RunFailed:
		s.taskFailed(st, id, e.Run, w)
	default:
		if st.spec.Gang && st.gangRun == e.Run {
			s.abortGang(st, e.Outcome.String(), id, w.vm.ID)
		}
	}
}

// taskDone marks a task as done; if one member of a gang is done, all of them are.
func (s *Scheduler) taskDone(st *step, index int) {
	if !st.spec.Gang {
		s.markDone(st, index)
	} else {
		for i := range st.tasks {
			s.markDone(st, i)
		}
	}
	j := st.job
	s.markDirty(j)
	if j.unfinishedTasks == 0 && !j.progress.State.Final() {
		s.finishJob(j, workload.StateCompleted)
	}
}

// markDone marks a task as done. A long-running task that ends is started again instead.
func (s *Scheduler) markDone(st *step, index int) {
	t := &st.tasks[index]
	if t.done {
		return
	}
	if st.spec.LongRunning {
		t.changeHistory().notBefore = s.now
		return
	}
	if t.run == nil {
		st.pendingTasks--
	} else if !st.spec.Gang {
		s.stopRun(t.run)
	}
	t.done = true
	st.unfinishedTasks--
	st.job.unfinishedTasks--
	s.markStarted(st.job)
	st.job.progress.SetDone(st.job.spec.TaskIndex(st.taskID(index)))
	if st.unfinishedTasks == 0 {
		s.checkOccurrenceEnded(st)
	}
}

// taskFailed counts a failed run of a task or a gang, and fails the job after the last attempt.
func (s *Scheduler) taskFailed(st *step, id workload.TaskID, number platform.RunNumber, w *worker) {
	if st.tasks[id.Index].done {
		return
	}
	counted := id
	if st.spec.Gang {
		counted.Index = 0
		if st.gangRun == number {
			s.abortGang(st, "a member failed", id, w.vm.ID)
		}
	}
	failures := st.job.progress.AddFailure(st.job.spec.TaskIndex(counted), uint64(number))
	s.markDirty(st.job)
	s.countWorkerFailure(w, st.job)
	terms := s.terms(st.job)
	if st.spec.LongRunning || st.job.progress.State.Final() || terms.MaxAttempts == 0 || failures < terms.MaxAttempts {
		return
	}
	s.cfg.Log.Info().Str("job", string(id.Job)).Stringer("task", id).Int("failures", failures).Msg("pool: last attempt of a task failed; failing the job")
	s.finishJob(st.job, workload.StateFailed)
}

// abortGang stops the members of a gang that can't continue together. The task and its worker are the cause.
func (s *Scheduler) abortGang(st *step, reason string, cause workload.TaskID, id cluster.WorkerID) {
	if st.gangRun == 0 {
		return
	}
	s.cfg.Log.Info().Str("job", string(st.id.Job)).Int("step", st.id.Step).Uint64("run", uint64(st.gangRun)).Int("members", st.unfinishedTasks-st.pendingTasks).
		Str("reason", reason).Stringer("task", cause).Str("worker", string(id)).Msg("pool: stopping a gang")
	s.metrics.stoppedGangs.Inc(1)
	st.gangRun, st.gangStoppedAt = 0, s.now
	s.stopStep(st)
	s.checkGangEnded(st, id)
}

// checkGangEnded logs that the last member of a stopped gang has ended, which allows the gang to start again.
func (s *Scheduler) checkGangEnded(st *step, id cluster.WorkerID) {
	if st.gangStoppedAt.IsZero() || st.pendingTasks < st.unfinishedTasks {
		return
	}
	took := s.now.Sub(st.gangStoppedAt)
	st.gangStoppedAt = time.Time{}
	s.metrics.gangEnd.RecordDuration(took)
	s.cfg.Log.Info().Str("job", string(st.id.Job)).Int("step", st.id.Step).Dur("took", took).Str("worker", string(id)).
		Msg("pool: the last member of a stopped gang has ended")
}

// releaseRun frees the resources of a run; its task is pending again unless it is done.
func (s *Scheduler) releaseRun(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	s.countUnansweredStart(r, -1)
	w.used = w.used.Sub(r.size)
	u := s.team(r.step.job.spec.Team)
	u.running = u.running.Sub(r.size)
	if r.step.spec.LongRunning {
		u.lasting = u.lasting.Sub(r.size)
		w.lastingRuns--
	}
	t := &r.step.tasks[r.id.Index]
	if t.run != r {
		return
	}
	t.run = nil
	if !t.done {
		r.step.pendingTasks++
		s.checkGangEnded(r.step, w.vm.ID)
	}
}

// readRunning compares the runs in a hold reply with the known ones.
func (s *Scheduler) readRunning(w *worker, e *HoldAnswered) {
	reportedRuns := make(map[workload.TaskID]platform.RunNumber, len(e.Reply.Running))
	for _, tr := range e.Reply.Running {
		id, ok := workload.ParseTaskID(tr.Task)
		if !ok {
			continue
		}
		reportedRuns[id] = tr.Run
		r := w.runs[id]
		if r == nil || r.number != tr.Run {
			s.unexpectedRun(w, id, tr)
			continue
		}
		s.confirmRun(r)
		r.reportedByWorker = true
		if tr.Percent != r.percent {
			s.noteProgress(r, tr.Percent)
		}
		if tr.Checkpoint != "" {
			r.step.saveCheckpoint(id.Index, tr.Checkpoint)
		}
	}
	for _, r := range sortedRuns(w) {
		if reportedRuns[r.id] != r.number {
			s.loseIfOver(r, absenceEvidence{sentAt: e.SentAt, reply: &e.Reply})
		}
	}
}

// absenceMeansEnded reports whether the run is over if it is absent from both lists of a complete reply to a hold call
// sent at the given time.
func (r *run) absenceMeansEnded(holdSentAt time.Time) bool {
	switch r.state {
	case runActive:
		return holdSentAt.After(r.confirmedAt)
	case runStopping:
		return !r.stopAnsweredAt.IsZero() && holdSentAt.After(r.stopAnsweredAt)
	}
	return false
}

// startIsTooLate reports whether a worker can no longer execute the start request of a run that is being stopped: it
// refuses one whose lease is over on its clock.
func (r *run) startIsTooLate(reply *platform.HoldReply) bool {
	return r.state == runStopping && r.start != nil && r.start.Request.Until > 0 && reply.Incarnation == r.start.Worker.Incarnation && reply.Clock > r.start.Request.Until
}

// unexpectedRun adopts a run of a previous owner, or stops a run that should not exist.
func (s *Scheduler) unexpectedRun(w *worker, id workload.TaskID, tr platform.TaskRun) {
	if s.mayBelongToLaterJob(tr.Task, tr.Run) {
		w.deferredRuns = append(w.deferredRuns, tr)
		return
	}
	st := s.stepOf(id)
	fromPreviousOwner := uint64(tr.Run)>>runCounterBits < uint64(s.cfg.Epoch)
	if st != nil && fromPreviousOwner && !st.closed() {
		t := &st.tasks[id.Index]
		conflict := st.spec.Gang && st.gangRun != 0 && st.gangRun != tr.Run
		if t.run == nil && !t.done && !conflict {
			s.adoptRun(w, st, id, tr)
			return
		}
	}
	s.cfg.Log.Warn().Str("job", string(id.Job)).Stringer("task", id).Uint64("run", uint64(tr.Run)).Str("worker", string(w.vm.ID)).
		Msg("pool: stopping an unexpected run")
	if st != nil {
		s.lostRunReported(w, st, tr.Task, id.Index, tr.Run, "running")
	}
	if st != nil && w.runs[id] == nil {
		s.stopRun(s.trackRun(w, st, id.Index, tr.Run))
		return
	}
	s.emit(&SendStop{Worker: w.vm, Task: id, Request: platform.StopRequest{Task: tr.Task, Run: tr.Run, Fence: s.fence(w)}})
}

// adoptRun takes over a run of a previous owner for a pending task.
func (s *Scheduler) adoptRun(w *worker, st *step, id workload.TaskID, tr platform.TaskRun) {
	r := s.addRun(w, st, id.Index, tr.Run)
	s.confirmRun(r)
	r.reportedByWorker = true
	r.percent, r.progressedAt = tr.Percent, s.now
	if tr.Checkpoint != "" {
		st.saveCheckpoint(id.Index, tr.Checkpoint)
	}
	if st.spec.Gang {
		st.gangRun = tr.Run
		if s.takeoverComplete {
			s.checkGang(st)
		}
	}
	s.cfg.Log.Info().Str("job", string(id.Job)).Stringer("task", id).Uint64("run", uint64(tr.Run)).Str("worker", string(w.vm.ID)).Msg("pool: adopted a run of a previous owner")
}

// addRun adds the run of a pending task on a worker.
func (s *Scheduler) addRun(w *worker, st *step, index int, number platform.RunNumber) *run {
	r := s.trackRun(w, st, index, number)
	st.tasks[index].run = r
	st.pendingTasks--
	return r
}

// confirmRun marks a run as started.
func (s *Scheduler) confirmRun(r *run) {
	s.markStarted(r.step.job)
	if r.state == runStarting || r.state == runUnconfirmed {
		s.setRunState(r, runActive)
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = s.now
	}
}

// trackRun creates a run and adds its size to the usage of its worker and its team.
func (s *Scheduler) trackRun(w *worker, st *step, index int, number platform.RunNumber) *run {
	r := &run{id: st.taskID(index), number: number, step: st, worker: w, size: accountedSize(st.spec), startSentAt: s.now, progressedAt: s.now, stallDoublings: st.stallDoublings}
	w.runs[r.id] = r
	s.countUnansweredStart(r, 1)
	w.used = w.used.Add(r.size)
	u := s.team(st.job.spec.Team)
	u.running = u.running.Add(r.size)
	if st.spec.LongRunning {
		u.lasting = u.lasting.Add(r.size)
		w.lastingRuns++
	}
	return r
}
