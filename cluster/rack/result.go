package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// defaultMaxAttempts is the number of failed attempts after which a task has
	// failed if its job does not set a number.
	defaultMaxAttempts = 3
	// The delay before a retry of a failed task doubles from retryMinDelay to retryMaxDelay.
	retryMinDelay = time.Second
	retryMaxDelay = time.Minute
	// noCapacityDelay delays a task that a worker did not start, so that the next
	// report corrects the free capacity of the worker first.
	noCapacityDelay = time.Second
	// budgetDelay is the time between attempts to take a retry from an exhausted retry budget.
	budgetDelay = 5 * time.Second
)

// applyReport updates the tasks on a worker from its report.
func (c *Controller) applyReport(r *rack, w *worker, report platform.WorkerReport) {
	if !report.Reachable {
		return
	}
	running := make(map[cluster.TaskID]bool, len(report.Running))
	clear(w.staleSizes)
	for _, run := range report.Running {
		running[run.Attempt.Task] = true
		c.adoptAttempt(r, w, run)
	}
	for _, end := range report.Ended {
		c.applyResult(r, w, end)
	}
	c.loseMissingTasks(w, running)
	c.endStaleAttempts(r, w, report)
	r.syncWorker(w)
	c.checkCapacity(r, w)
}

// loseMissingTasks ends the attempts that ran on a worker and that it no longer reports.
func (c *Controller) loseMissingTasks(w *worker, running map[cluster.TaskID]bool) {
	var lost []*task
	for id, t := range w.tasks {
		if t.state == cluster.TaskRunning && !running[id] && t.stateSince.Before(c.now) {
			lost = append(lost, t)
		}
	}
	slices.SortFunc(lost, compareTasks)
	for _, t := range lost {
		c.loseAttempt(t, "its worker no longer reports it")
	}
}

// compareTasks orders tasks by job and index.
func compareTasks(a, b *task) int {
	if d := strings.Compare(a.assignment.id.String(), b.assignment.id.String()); d != 0 {
		return d
	}
	return a.index - b.index
}

// adoptAttempt applies one running attempt of a report: it confirms a start,
// adopts an attempt that a previous owner started, or stops a stale attempt.
func (c *Controller) adoptAttempt(r *rack, w *worker, run platform.RunningTask) {
	t := r.findTask(run.Attempt.Task)
	switch {
	case t == nil, t.state.Terminal(), run.Attempt.Attempt < t.attempt:
		w.staleSizes[run.Attempt] = run.Size
		c.stopStaleAttempt(r, w, t, run.Attempt)
	case run.Attempt.Attempt == t.attempt && t.worker == w:
		if t.state == cluster.TaskStarting {
			c.confirmStart(t)
		}
	case t.worker != nil:
		// Two workers report attempts of one task; the attempt that is accounted for continues.
		c.checkInvariant(false, invariant.SingleAttempt, "task %s runs on worker %s and as attempt %d on worker %s",
			t.id(), t.worker.id, run.Attempt.Attempt, w.id)
		w.staleSizes[run.Attempt] = run.Size
		c.queueCommand(r, rackCommand{command: &platform.StopTask{Worker: w.id, Attempt: run.Attempt}, attempt: run.Attempt})
	default:
		// A previous owner started the attempt; the task's row does not show it.
		t.attempt, t.possiblyRunning = run.Attempt.Attempt, false
		r.attach(t, w, run.Size)
		r.addQueueUsage(t.assignment.id.Team, run.Size)
		t.setState(cluster.TaskRunning, c.now.Add(-run.Age))
		t.assignment.needsRequeue = true
		if j := c.jobs[t.assignment.id]; j != nil && j.cancelRequested {
			c.stopTask(t)
		}
	}
}

// stopStaleAttempt stops a stale attempt; its task does not start before the attempt has ended.
func (c *Controller) stopStaleAttempt(r *rack, w *worker, t *task, attempt cluster.AttemptID) {
	if t != nil && !t.state.Terminal() {
		if _, ok := r.staleAttempts[attempt]; !ok {
			r.staleAttempts[attempt] = w
			t.staleAttempts++
			t.assignment.needsRequeue = true
		}
	}
	c.queueCommand(r, rackCommand{command: &platform.StopTask{Worker: w.id, Attempt: attempt}, attempt: attempt})
}

// endStaleAttempts ends the stale attempts that a worker no longer reports.
func (c *Controller) endStaleAttempts(r *rack, w *worker, report platform.WorkerReport) {
	for attempt, on := range r.staleAttempts {
		if on != w || slices.ContainsFunc(report.Running, func(run platform.RunningTask) bool { return run.Attempt == attempt }) {
			continue
		}
		c.endStaleAttempt(r, attempt)
	}
}

// endStaleAttempt removes a stale attempt; its task may start once it has no other.
func (c *Controller) endStaleAttempt(r *rack, attempt cluster.AttemptID) {
	if _, ok := r.staleAttempts[attempt]; !ok {
		return
	}
	delete(r.staleAttempts, attempt)
	if t := r.findTask(attempt.Task); t != nil && t.staleAttempts > 0 {
		t.staleAttempts--
		t.assignment.needsRequeue = true
		if t.staleAttempts == 0 && !t.possiblyRunning {
			c.endIfUnwanted(t)
		}
	}
}

// findTask returns a task of the rack, or nil.
func (r *rack) findTask(id cluster.TaskID) *task {
	a := r.assignments[id.Job]
	if a == nil {
		return nil
	}
	return a.tasksByIndex[id.Index]
}

// queueCommand queues a command for the next exchange unless the same command for
// the same attempt is queued already.
func (c *Controller) queueCommand(r *rack, cmd rackCommand) {
	same := func(other rackCommand) bool {
		return other.attempt == cmd.attempt && sameCommandKind(other.command, cmd.command)
	}
	if slices.ContainsFunc(r.commands, same) || slices.ContainsFunc(r.deferredCommands, same) {
		return
	}
	r.commands = append(r.commands, cmd)
}

// sameCommandKind reports whether two commands are of the same type. Throttle
// commands never count as the same, because each may set another CPU limit.
func sameCommandKind(a, b platform.Command) bool {
	switch a.(type) {
	case *platform.StartTask:
		_, ok := b.(*platform.StartTask)
		return ok
	case *platform.StopTask:
		_, ok := b.(*platform.StopTask)
		return ok
	case *platform.CheckpointTask:
		_, ok := b.(*platform.CheckpointTask)
		return ok
	case *platform.AcknowledgeResult:
		_, ok := b.(*platform.AcknowledgeResult)
		return ok
	}
	return false
}

// applyResult applies the result of an attempt. Only the result of the current
// attempt counts. The worker keeps it until it is acknowledged, after the row is
// written.
func (c *Controller) applyResult(r *rack, w *worker, end platform.EndedTask) {
	t := r.findTask(end.Attempt.Task)
	if t == nil || end.Attempt.Attempt < t.attempt || t.state.Terminal() {
		c.endStaleAttempt(r, end.Attempt)
		c.acknowledgeVoidResult(r, w, t, end)
		return
	}
	if t.worker != nil && t.worker != w {
		// The current attempt runs on another worker, and only this owner starts
		// attempts of the task: no other worker can have run it or a later one.
		c.checkInvariant(false, invariant.SingleAttempt, "attempt %s ended on worker %s and runs on worker %s", end.Attempt, w.id, t.worker.id)
		return
	}
	t.attempt, t.possiblyRunning = end.Attempt.Attempt, false
	size := t.size
	r.detach(t)
	t.assignment.acks = append(t.assignment.acks, resultAck{worker: w.id, attempt: end.Attempt})
	t.assignment.needsRequeue = true
	c.applyOutcome(t, w, end, size)
	t.assignment.markDirty()
}

// acknowledgeVoidResult acknowledges a result of an earlier attempt, or one that the
// task's row already shows.
func (c *Controller) acknowledgeVoidResult(r *rack, w *worker, t *task, end platform.EndedTask) {
	if t != nil && slices.Contains(t.assignment.acks, resultAck{worker: w.id, attempt: end.Attempt}) {
		return
	}
	if t != nil && end.Attempt.Attempt < t.attempt {
		c.cfg.Log.Debug().Str("attempt", end.Attempt.String()).Msg("rack: ignored the late result of an earlier attempt")
	}
	c.queueCommand(r, rackCommand{command: &platform.AcknowledgeResult{Worker: w.id, Attempt: end.Attempt}, attempt: end.Attempt})
}

// applyOutcome ends the task of an attempt that has ended, or schedules its next attempt.
func (c *Controller) applyOutcome(t *task, w *worker, end platform.EndedTask, size cluster.Resources) {
	job := t.assignment.id
	switch end.Outcome {
	case platform.OutcomeSucceeded:
		c.health.RecordSuccess(w.id, job)
		c.estimator.Observe(placement.UsageReport{Job: job, Granted: size, Peak: end.Peak, RunTime: end.RunTime})
		if j := c.jobs[job]; c.isService(job) && !j.cancelRequested && !t.removed {
			c.retryAfterDelay(t, retryMinDelay)
			return
		}
		c.endTask(t, cluster.TaskFinished, "")
	case platform.OutcomeFailed:
		c.attemptFailed(t, w)
	case platform.OutcomeCheckpointed:
		c.health.RecordAbandonedProbe(w.id)
		t.resume = true
		c.attemptStopped(t, true)
	case platform.OutcomeStopped:
		c.health.RecordAbandonedProbe(w.id)
		c.attemptStopped(t, t.stopRequested)
	case platform.OutcomeLeaseExpired:
		c.health.RecordAbandonedProbe(w.id)
		c.loseAttempt(t, "its lease expired")
	}
	w.rack.syncWorker(w)
}

// isService reports whether a job is known and runs a service.
func (c *Controller) isService(id cluster.JobID) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	_, ok := j.spec.Workload.(*cluster.Service)
	return ok
}

// attemptStopped handles a stopped attempt. The task ends if its job was cancelled
// or it is no longer part of the job. Otherwise it runs again if the stop was
// requested or the job is idempotent, and ends as unknown if not.
func (c *Controller) attemptStopped(t *task, requested bool) {
	j := c.jobs[t.assignment.id]
	switch {
	case j == nil || j.cancelRequested || t.removed:
		c.endTask(t, cluster.TaskStopped, "")
	case requested || j.idempotent():
		c.nextAttempt(t)
	default:
		c.endTask(t, cluster.TaskUnknown, "it was stopped without a request of this daemon")
	}
}

// attemptFailed decides whether a task whose attempt failed is retried.
func (c *Controller) attemptFailed(t *task, w *worker) {
	j := c.jobs[t.assignment.id]
	result := c.health.RecordFailure(w.id, t.assignment.id, c.now)
	if result.Quarantined {
		c.cfg.Log.Warn().Str("worker", string(w.id)).Msg("rack: quarantined a worker on which tasks of several jobs fail")
		c.cfg.Metrics.Counter("rack_quarantines").Inc(1)
		w.rack.syncWorker(w)
	}
	if c.health.State(w.id, c.now) == placement.Healthy {
		// The bound keeps the int8 from overflowing.
		t.failures = min(t.failures+1, 100)
	}
	switch {
	case j == nil || j.cancelRequested || t.removed:
		c.endTask(t, cluster.TaskStopped, "")
	case c.isService(t.assignment.id):
		c.retryAfterDelay(t, retryDelay(t.failures))
	case !j.idempotent():
		c.endTask(t, cluster.TaskFailed, "it is not idempotent")
	case result.StopJob:
		c.endTask(t, cluster.TaskFailed, "the job fails on every worker")
	case int(t.failures) >= j.maxAttempts():
		c.endTask(t, cluster.TaskFailed, "no attempts are left")
	default:
		c.retryAfterDelay(t, retryDelay(t.failures))
	}
}

// maxAttempts returns the number of failed attempts after which a task of the job has failed.
func (j *job) maxAttempts() int {
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return defaultMaxAttempts
}

// retryDelay returns the delay after a number of failures.
func retryDelay(failures int8) time.Duration {
	return min(retryMinDelay<<min(failures, 10), retryMaxDelay)
}

// loseAttempt handles an attempt whose outcome can't be known any more. The task
// runs again if the job is idempotent, and ends as unknown otherwise.
func (c *Controller) loseAttempt(t *task, reason string) {
	t.assignment.rack.detach(t)
	t.assignment.markDirty()
	t.assignment.needsRequeue = true
	j := c.jobs[t.assignment.id]
	switch {
	case j == nil || !j.idempotent():
		c.endTask(t, cluster.TaskUnknown, reason)
	case j.cancelRequested || t.removed:
		c.endTask(t, cluster.TaskStopped, reason)
	default:
		c.cfg.Log.Warn().Str("task", t.id().String()).Str("reason", reason).Msg("rack: lost an attempt; running the task again")
		c.nextAttempt(t)
	}
}

// nextAttempt returns a task to pending with the next attempt number.
func (c *Controller) nextAttempt(t *task) {
	t.attempt++
	t.pin, t.pinCommitted, t.stopRequested, t.checkpointRequested = "", false, false, false
	t.setState(cluster.TaskPending, c.now)
	t.assignment.markDirty()
	t.assignment.needsRequeue = true
	c.endIfUnwanted(t)
}

// retryAfterDelay returns a task to pending after a delay; the retry counts against
// the retry budgets of its job and team.
func (c *Controller) retryAfterDelay(t *task, delay time.Duration) {
	t.usesRetryBudget = true
	t.notBefore = c.now.Add(delay)
	c.nextAttempt(t)
}

// returnToPending returns a task to pending whose attempt certainly did not start;
// it keeps the attempt number.
func (c *Controller) returnToPending(t *task, notBefore time.Time) {
	t.assignment.rack.detach(t)
	t.setState(cluster.TaskPending, t.stateSince)
	t.notBefore, t.stopRequested, t.checkpointRequested = notBefore, false, false
	t.assignment.needsRequeue = true
	c.endIfUnwanted(t)
}

// endTask moves a task to a final state.
func (c *Controller) endTask(t *task, state cluster.TaskState, reason string) {
	t.assignment.rack.detach(t)
	t.setState(state, c.now)
	t.assignment.markDirty()
	t.assignment.needsRequeue = true
	if state != cluster.TaskFinished {
		c.cfg.Log.Info().Str("task", t.id().String()).Str("state", state.String()).Str("reason", reason).Msg("rack: task ended")
	}
	c.cfg.Metrics.Counter("rack_tasks_" + state.String()).Inc(1)
	c.endIfUnwanted(t)
	c.queueEndCheck(t.assignment.id)
}

// checkCapacity checks the invariant that a worker is not given more than its capacity.
func (c *Controller) checkCapacity(r *rack, w *worker) {
	load := r.workerLoad(w)
	c.checkInvariant(load.Fits(w.capacity), invariant.Capacity, "worker %s has a capacity of %s and is given %s", w.id, w.capacity, load)
}
