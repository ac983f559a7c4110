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
	defaultMaxAttempts = 3
	// Retries of a failed task double from the first to the last delay.
	firstRetryDelay = time.Second
	lastRetryDelay  = time.Minute
	// noCapacityDelay lets the next report correct the room accounted for.
	noCapacityDelay = time.Second
	// budgetDelay separates attempts to take from a retry budget that is used up.
	budgetDelay = 5 * time.Second
)

// takeReport brings the tasks on a worker in line with its report.
func (c *Controller) takeReport(r *rack, w *worker, report platform.WorkerReport) {
	if !report.Reachable {
		return
	}
	running := make(map[cluster.TaskID]bool, len(report.Running))
	clear(w.foreign)
	for _, run := range report.Running {
		running[run.Attempt.Task] = true
		c.adopt(r, w, run)
	}
	for _, end := range report.Ended {
		c.attemptEnded(r, w, end)
	}
	c.missing(w, running)
	c.endZombies(r, w, report)
	r.syncWorker(w)
	c.requireCapacity(r, w)
}

// missing ends the tasks that ran on a worker and that it no longer knows.
func (c *Controller) missing(w *worker, running map[cluster.TaskID]bool) {
	var lost []*task
	for id, t := range w.tasks {
		if t.state == cluster.TaskRunning && !running[id] && t.since.Before(c.now) {
			lost = append(lost, t)
		}
	}
	slices.SortFunc(lost, compareTasks)
	for _, t := range lost {
		c.loseAttempt(t, "its worker no longer knows it")
	}
}

func compareTasks(a, b *task) int {
	if d := strings.Compare(a.of.id.String(), b.of.id.String()); d != 0 {
		return d
	}
	return a.index - b.index
}

// adopt takes in one running attempt.
func (c *Controller) adopt(r *rack, w *worker, run platform.RunningTask) {
	t := r.task(run.Attempt.Task)
	switch {
	case t == nil, t.state.Terminal(), run.Attempt.Attempt < t.attempt:
		w.foreign[run.Attempt] = run.Size
		c.stopForeign(r, w, t, run.Attempt)
	case run.Attempt.Attempt == t.attempt && t.worker == w:
		if t.state == cluster.TaskStarting {
			t.setState(cluster.TaskRunning, c.now)
		}
	case t.worker != nil:
		// Two workers report attempts of one task; the one that is accounted for goes on.
		c.require(false, invariant.SingleAttempt, "task %s runs on %s and as attempt %d on %s",
			t.id(), t.worker.id, run.Attempt.Attempt, w.id)
		w.foreign[run.Attempt] = run.Size
		c.order(r, command{order: &platform.StopTask{Worker: w.id, Attempt: run.Attempt}, attempt: run.Attempt})
	default:
		// A start by an earlier owner that its row does not show.
		t.attempt, t.suspect = run.Attempt.Attempt, false
		r.attach(t, w, run.Size)
		r.countUse(t.of.id.Team, run.Size)
		t.setState(cluster.TaskRunning, c.now.Add(-run.Age))
		t.of.requeue = true
		if j := c.jobs[t.of.id]; j != nil && j.cancel {
			c.stopTask(t)
		}
	}
}

// stopForeign stops an attempt that is no longer wanted; its task does not start before it has ended.
func (c *Controller) stopForeign(r *rack, w *worker, t *task, attempt cluster.AttemptID) {
	if t != nil && !t.state.Terminal() {
		if _, ok := r.zombies[attempt]; !ok {
			r.zombies[attempt] = w
			t.zombies++
			t.of.requeue = true
		}
	}
	c.order(r, command{order: &platform.StopTask{Worker: w.id, Attempt: attempt}, attempt: attempt})
}

// endZombies lets tasks start again whose earlier attempts no longer run.
func (c *Controller) endZombies(r *rack, w *worker, report platform.WorkerReport) {
	for attempt, at := range r.zombies {
		if at != w || slices.ContainsFunc(report.Running, func(run platform.RunningTask) bool { return run.Attempt == attempt }) {
			continue
		}
		c.endZombie(r, attempt)
	}
}

func (c *Controller) endZombie(r *rack, attempt cluster.AttemptID) {
	if _, ok := r.zombies[attempt]; !ok {
		return
	}
	delete(r.zombies, attempt)
	if t := r.task(attempt.Task); t != nil && t.zombies > 0 {
		t.zombies--
		t.of.requeue = true
		if t.zombies == 0 && !t.suspect {
			c.attemptOver(t)
		}
	}
}

func (r *rack) task(id cluster.TaskID) *task {
	a := r.assignments[id.Job]
	if a == nil {
		return nil
	}
	return a.byIndex[id.Index]
}

// order queues a command unless the same one waits already.
func (c *Controller) order(r *rack, cmd command) {
	same := func(other command) bool {
		return other.attempt == cmd.attempt && sameKind(other.order, cmd.order)
	}
	if slices.ContainsFunc(r.commands, same) || slices.ContainsFunc(r.retries, same) {
		return
	}
	r.commands = append(r.commands, cmd)
}

func sameKind(a, b platform.Command) bool {
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

// attemptEnded takes in one result. Only the result of the current attempt
// counts; the worker keeps it until it is acknowledged, after the row is written.
func (c *Controller) attemptEnded(r *rack, w *worker, end platform.EndedTask) {
	t := r.task(end.Attempt.Task)
	if t == nil || end.Attempt.Attempt < t.attempt || t.state.Terminal() {
		c.endZombie(r, end.Attempt)
		c.acknowledgeOld(r, w, t, end)
		return
	}
	if t.worker != nil && t.worker != w {
		// An unknown higher attempt elsewhere can't be; the row was written by this owner.
		c.require(false, invariant.SingleAttempt, "attempt %s ended on %s and runs on %s", end.Attempt, w.id, t.worker.id)
		return
	}
	t.attempt, t.suspect = end.Attempt.Attempt, false
	size := t.size
	r.detach(t)
	t.of.acks = append(t.of.acks, ackEntry{worker: w.id, attempt: end.Attempt})
	t.of.requeue = true
	c.settle(t, w, end, size)
	t.of.markDirty()
}

// acknowledgeOld acknowledges a result that is void or that its row already shows.
func (c *Controller) acknowledgeOld(r *rack, w *worker, t *task, end platform.EndedTask) {
	if t != nil && slices.Contains(t.of.acks, ackEntry{worker: w.id, attempt: end.Attempt}) {
		return
	}
	if t != nil && end.Attempt.Attempt < t.attempt {
		c.cfg.Log.Debug().Str("attempt", end.Attempt.String()).Msg("rack: refused the late result of an earlier attempt")
	}
	c.order(r, command{order: &platform.AcknowledgeResult{Worker: w.id, Attempt: end.Attempt}, attempt: end.Attempt})
}

// settle decides what follows from the end of the current attempt.
func (c *Controller) settle(t *task, w *worker, end platform.EndedTask, size cluster.Resources) {
	job := t.of.id
	switch end.Outcome {
	case platform.OutcomeSucceeded:
		c.health.Succeeded(w.id, job)
		c.estimator.Observe(placement.Report{Job: job, Granted: size, Peak: end.Peak, RunTime: end.RunTime})
		if j := c.jobs[job]; c.isService(job) && !j.cancel && !t.drop {
			c.retryLater(t, firstRetryDelay)
			return
		}
		c.endTask(t, cluster.TaskFinished, "")
	case platform.OutcomeFailed:
		c.attemptFailed(t, w)
	case platform.OutcomeCheckpointed:
		c.health.Abandoned(w.id)
		t.resume = true
		c.stopped(t, true)
	case platform.OutcomeStopped:
		c.health.Abandoned(w.id)
		c.stopped(t, t.stop)
	case platform.OutcomeLeaseLapsed:
		c.health.Abandoned(w.id)
		c.loseAttempt(t, "its lease lapsed")
	}
	w.rack.syncWorker(w)
}

func (c *Controller) isService(id cluster.JobID) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	_, ok := j.spec.Workload.(*cluster.Service)
	return ok
}

// stopped ends a task of a cancelled job and lets any other run again.
func (c *Controller) stopped(t *task, wanted bool) {
	j := c.jobs[t.of.id]
	switch {
	case j == nil || j.cancel || t.drop:
		c.endTask(t, cluster.TaskStopped, "")
	case wanted || j.idempotent():
		c.nextAttempt(t)
	default:
		c.endTask(t, cluster.TaskUnknown, "it was stopped by another")
	}
}

func (c *Controller) attemptFailed(t *task, w *worker) {
	j := c.jobs[t.of.id]
	verdict := c.health.Failed(w.id, t.of.id, c.now)
	if verdict.Quarantined {
		c.cfg.Log.Warn().Str("worker", string(w.id)).Msg("rack: quarantined a worker that fails the tasks of several jobs")
		c.cfg.Metrics.Counter("rack_quarantines").Inc(1)
		w.rack.syncWorker(w)
	}
	if c.health.State(w.id, c.now) == placement.Healthy {
		t.failures = min(t.failures+1, 100)
	}
	switch {
	case j == nil || j.cancel || t.drop:
		c.endTask(t, cluster.TaskStopped, "")
	case c.isService(t.of.id):
		c.retryLater(t, retryDelay(t.failures))
	case !j.idempotent():
		c.endTask(t, cluster.TaskFailed, "it is not idempotent")
	case verdict.StopJob:
		c.endTask(t, cluster.TaskFailed, "the job fails on every worker")
	case int(t.failures) >= j.maxAttempts():
		c.endTask(t, cluster.TaskFailed, "no attempts are left")
	default:
		c.retryLater(t, retryDelay(t.failures))
	}
}

func (j *job) maxAttempts() int {
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return defaultMaxAttempts
}

func retryDelay(failures int8) time.Duration {
	return min(firstRetryDelay<<min(failures, 10), lastRetryDelay)
}

// loseAttempt handles an attempt whose outcome nobody knows.
func (c *Controller) loseAttempt(t *task, why string) {
	t.of.rack.detach(t)
	t.of.markDirty()
	t.of.requeue = true
	j := c.jobs[t.of.id]
	switch {
	case j == nil || !j.idempotent():
		c.endTask(t, cluster.TaskUnknown, why)
	case j.cancel || t.drop:
		c.endTask(t, cluster.TaskStopped, why)
	default:
		c.cfg.Log.Warn().Str("task", t.id().String()).Str("reason", why).Msg("rack: lost an attempt; the task is run again")
		c.nextAttempt(t)
	}
}

// nextAttempt makes a task wait for its next attempt.
func (c *Controller) nextAttempt(t *task) {
	t.attempt++
	t.pin, t.pinDurable, t.stop, t.checkpoint = "", false, false, false
	t.setState(cluster.TaskPending, c.now)
	t.of.markDirty()
	t.of.requeue = true
	c.attemptOver(t)
}

func (c *Controller) retryLater(t *task, delay time.Duration) {
	t.budget = true
	t.notBefore = c.now.Add(delay)
	c.nextAttempt(t)
}

// backToPending returns a task whose attempt has surely not started.
func (c *Controller) backToPending(t *task, notBefore time.Time) {
	t.of.rack.detach(t)
	t.setState(cluster.TaskPending, t.since)
	t.notBefore, t.stop, t.checkpoint = notBefore, false, false
	t.of.requeue = true
	c.attemptOver(t)
}

func (c *Controller) endTask(t *task, state cluster.TaskState, why string) {
	t.of.rack.detach(t)
	t.setState(state, c.now)
	t.of.markDirty()
	t.of.requeue = true
	if state != cluster.TaskFinished {
		c.cfg.Log.Info().Str("task", t.id().String()).Str("state", state.String()).Str("reason", why).Msg("rack: task ended")
	}
	c.cfg.Metrics.Counter("rack_tasks_" + state.String()).Inc(1)
	c.attemptOver(t)
	c.checkEnd(t.of.id)
}

// requireCapacity asserts that no worker is given more than it has.
func (c *Controller) requireCapacity(r *rack, w *worker) {
	load := r.load(w)
	c.require(load.Fits(w.capacity), invariant.Capacity, "worker %s has %s and is given %s", w.id, w.capacity, load)
}
