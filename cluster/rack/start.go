package rack

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxStartsPerStep bounds the placements in one rack in one step.
const maxStartsPerStep = 200

// placeTasks starts pending tasks in each rack whose commands can be sent now.
func (c *Controller) placeTasks() {
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive || r.exchangeInFlight || r.handingOver || !r.failingSince.IsZero() {
			continue
		}
		c.syncQueue(r)
		c.reofferBlocked(r)
		c.placeRack(r)
		c.recordBlocked(r)
	}
}

// reofferInterval is how often blocked queue items are offered again although no
// capacity was reported free. If the queue were notified as soon as a reservation
// ends, small tasks would take the capacity before the gang job can reserve again.
const reofferInterval = time.Second

// reofferBlocked notifies the queue of free capacity that blocked items fit into.
// Capacity also becomes free without the end of a task, for example when a
// reservation ends. Without this notification a job of five tasks kept waiting in
// an empty rack.
func (c *Controller) reofferBlocked(r *rack) {
	if c.now.Before(r.nextOfferAt) {
		return
	}
	r.nextOfferAt = c.now.Add(reofferInterval)
	if slices.ContainsFunc(r.assignmentList, func(a *assignment) bool {
		return a.pendingCount > 0 && r.queue.State(a.id) == placement.ItemBlocked && r.hasFreeCapacity(a.taskSize)
	}) {
		c.capacityFreed(r)
	}
}

// recordBlocked records since when assignments wait that the queue does not
// offer: those blocked together with others of the same size, and those in a rack
// without free capacity, which requests no grant and therefore gets none.
func (c *Controller) recordBlocked(r *rack) {
	for _, a := range r.assignmentList {
		if a.pendingCount == 0 || !a.blockedSince.IsZero() {
			continue
		}
		switch {
		case r.queue.State(a.id) == placement.ItemBlocked:
			a.blockedSince, a.waitReason = c.now, placement.NoFreeCapacity.String()
		case !r.hasFreeCapacity(a.taskSize):
			_, reason := r.placementTable.Place(placement.Request{Size: a.taskSize, Job: a.id})
			a.blockedSince, a.waitReason = c.now, reason.String()
		}
	}
}

// syncQueue updates the rack's queue from its assignments and the grants of their teams.
func (c *Controller) syncQueue(r *rack) {
	if total, _, _ := r.openCapacity(); total != r.queueCapacity {
		r.queueCapacity = total
		r.queue.SetTotal(total)
	}
	for _, a := range r.assignmentList {
		if !a.needsRequeue && (a.nextReadyAt.IsZero() || c.now.Before(a.nextReadyAt)) {
			continue
		}
		c.enqueueAssignment(a)
	}
	if r.queue.Len() == 0 {
		return
	}
	for team := range r.teamsWithAssignments() {
		c.syncTeamLimit(r, team)
	}
}

// teamsWithAssignments returns the teams with assignments in the rack.
func (r *rack) teamsWithAssignments() map[cluster.TeamName]bool {
	teams := map[cluster.TeamName]bool{}
	for _, a := range r.assignmentList {
		teams[a.id.Team] = true
	}
	return teams
}

// syncTeamLimit sets a team's weight and limit in the rack's queue.
func (c *Controller) syncTeamLimit(r *rack, team cluster.TeamName) {
	weight := 1
	if t := c.config.Teams[team]; t != nil {
		weight = t.Share
	}
	next := placement.TeamConfig{Weight: weight, Limit: r.queueUsage[team].Add(c.availableGrant(r, team)), Limited: true}
	if r.queueLimits[team] != next {
		r.queueLimits[team] = next
		r.queue.SetTeam(team, next)
	}
}

// enqueueAssignment updates the queue item of an assignment with the number of
// tasks that could start now. Gang jobs are not started from the queue.
func (c *Controller) enqueueAssignment(a *assignment) {
	a.needsRequeue, a.nextReadyAt = false, time.Time{}
	j := c.jobs[a.id]
	if j == nil {
		a.waitReason = "its job row is not known here yet"
		a.needsRequeue = true
		return
	}
	ready := 0
	for _, t := range a.tasks {
		if c.canStart(t) {
			ready++
			c.pinEarly(j, t)
		} else if t.state == cluster.TaskPending && c.now.Before(t.notBefore) && (a.nextReadyAt.IsZero() || t.notBefore.Before(a.nextReadyAt)) {
			a.nextReadyAt = t.notBefore
		}
	}
	if j.isGang() || !j.active() || j.cancelRequested {
		ready = 0
	}
	declaredSize := c.declaredSize(j)
	estimate := c.estimator.Estimate(a.id, declaredSize, j.spec.RunTime())
	a.taskSize = estimate.Size
	item := placement.Item{
		Job: a.id, Priority: c.priority(j), Size: a.taskSize, Tasks: ready, SubmittedAt: j.submittedAt,
		Deadline: j.spec.Deadline, RunTime: estimate.RunTime, MaxWait: c.maxWait(j),
	}
	a.rack.queue.Add(item)
}

// pinEarly pins a task that must not run twice to a worker before it is placed,
// so that it can start there while the table service is down.
func (c *Controller) pinEarly(j *job, t *task) {
	r := t.assignment.rack
	if j.idempotent() || t.isPinned() || !c.storeUsable() {
		return
	}
	for range r.sortedWorkers {
		w := r.sortedWorkers[r.nextPinIndex%len(r.sortedWorkers)]
		r.nextPinIndex++
		if r.closedReason(w) == "" && c.declaredSize(j).Fits(w.capacity) {
			t.pin, t.pinCommitted = w.id, false
			t.assignment.markDirty()
			return
		}
	}
}

// declaredSize returns the size of one task as specified in the job.
func (c *Controller) declaredSize(j *job) cluster.Resources {
	_, size := j.spec.TaskCount()
	return size
}

func (c *Controller) priority(j *job) cluster.Priority { return j.spec.Priority }

// maxWait returns the bound that the job's queue sets for the wait of deferrable
// jobs; zero means the default.
func (c *Controller) maxWait(j *job) time.Duration {
	if q := c.config.Queues[j.spec.Queue]; q != nil {
		return q.MaxWait
	}
	return 0
}

// canStart reports whether a task may start now.
func (c *Controller) canStart(t *task) bool {
	return t.state == cluster.TaskPending && t.worker == nil && !t.possiblyRunning && !t.stopRequested && !t.removed && t.staleAttempts == 0 &&
		!t.assignment.moveInFlight && !c.now.Before(t.notBefore)
}

// placeRack places the tasks that the rack's queue offers, up to maxStartsPerStep. If a
// starved item does not fit, capacity is reserved for one of its tasks.
func (c *Controller) placeRack(r *rack) {
	for range maxStartsPerStep {
		pick, ok := r.queue.Next(c.now)
		if !ok {
			return
		}
		a := r.assignments[pick.Item.Job]
		if a == nil {
			r.queue.Remove(pick.Item.Job)
			continue
		}
		if !c.startNextTask(r, a) {
			if pick.Starved && c.reserve(r, a.id, 1, a.taskSize) {
				r.queue.MarkReserved(a.id)
			} else {
				r.queue.MarkBlocked(a.id, c.now)
			}
			if a.blockedSince.IsZero() {
				a.blockedSince = c.now
			}
		}
	}
}

// startNextTask starts the first task of an assignment that can start; it
// returns false if none could be placed.
func (c *Controller) startNextTask(r *rack, a *assignment) bool {
	j := c.jobs[a.id]
	reason := placement.NoFreeCapacity
	for _, t := range a.tasks {
		if !c.canStart(t) {
			continue
		}
		if t.usesRetryBudget && !c.health.AllowRetry(a.id, c.now) {
			t.notBefore = c.now.Add(budgetDelay)
			a.needsRequeue = true
			a.waitReason = "the retry budget of its job or team is used up"
			continue
		}
		t.usesRetryBudget = false
		var w *worker
		w, reason = c.chooseWorker(r, j, t)
		if w != nil {
			c.startTask(r, j, t, w)
			r.placementTable.Unreserve(a.id)
			r.queue.RecordStarts(a.id, 1)
			r.queueUsage[a.id.Team] = r.queueUsage[a.id.Team].Add(t.size)
			a.blockedSince, a.waitReason = time.Time{}, ""
			return true
		}
		if !t.isPinned() {
			break
		}
	}
	a.waitReason = reason.String()
	return false
}

// chooseWorker returns the worker for a task, or the reason why there is none. A
// durable pin is used if its worker has enough free capacity.
func (c *Controller) chooseWorker(r *rack, j *job, t *task) (*worker, placement.Reason) {
	if w := r.workers[t.pin]; w != nil && t.pinCommitted && r.closedReason(w) == "" && t.assignment.taskSize.Fits(w.capacity.Sub(r.workerLoad(w))) {
		return w, placement.Placed
	}
	if !j.idempotent() && !c.storeUsable() {
		return nil, placement.NoFreeCapacity
	}
	req := placement.Request{Size: t.assignment.taskSize, Job: j.id}
	if runTime := c.estimator.Estimate(j.id, t.assignment.taskSize, j.spec.RunTime()).RunTime; runTime > 0 {
		req.EndAt = c.now.Add(runTime)
	}
	if _, ok := j.spec.Workload.(*cluster.Service); ok {
		req.Spread = true
		for _, other := range t.assignment.tasks {
			if other.worker != nil {
				req.PeerWorkers = append(req.PeerWorkers, other.worker.id)
			}
		}
	}
	id, reason := r.placementTable.Place(req)
	return r.workers[id], reason
}

// startTask accounts for a task on a worker and queues the start command. A task
// that must not run twice starts only after its row names the worker: a later
// owner of the rack then knows where an attempt may run that no worker reports.
func (c *Controller) startTask(r *rack, j *job, t *task, w *worker) {
	size := t.assignment.taskSize
	c.checkInvariant(size.Fits(c.availableGrant(r, j.id.Team)), invariant.Limit, "the remaining grant of team %s is %s in rack %s, too little for task %s",
		j.id.Team, c.availableGrant(r, j.id.Team), r.id, t.id())
	c.checkInvariant(t.worker == nil && t.staleAttempts == 0, invariant.SingleAttempt, "task %s is started while an attempt of it is running", t.id())
	waited := c.now.Sub(laterTime(t.stateSince, j.submittedAt))
	r.attach(t, w, size)
	t.setState(cluster.TaskStarting, c.now)
	c.health.RecordStart(w.id)
	r.syncWorker(w)
	c.checkCapacity(r, w)
	c.cfg.Log.Info().Str("task", t.id().String()).Uint32("attempt", uint32(t.attempt)).Str("worker", string(w.id)).
		Str("reason", c.placementReason(j)).Dur("waited", waited).Msg("rack: placed a task")
	c.cfg.Metrics.Counter("rack_starts").Inc(1)
	c.cfg.Metrics.Timer("rack_wait").Record(waited)
	if j.idempotent() {
		c.queueStart(t)
		return
	}
	if t.pin == w.id && t.pinCommitted {
		c.queueStart(t)
		return
	}
	t.pin, t.pinCommitted = w.id, false
	t.assignment.markDirty()
	t.assignment.flushNow = true
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// placementReason returns the reason that is logged with the placement of a job's task.
func (c *Controller) placementReason(j *job) string {
	switch j.spec.Workload.(type) {
	case *cluster.Service:
		return "spread"
	case *cluster.Gang:
		return "gang complete"
	}
	return fmt.Sprintf("best fit, priority %d", j.spec.Priority)
}

// queueStart queues the start command of a task that was placed on a worker.
func (c *Controller) queueStart(t *task) {
	j := c.jobs[t.assignment.id]
	if j == nil || t.worker == nil {
		return
	}
	c.queueCommand(t.assignment.rack, rackCommand{
		command: &platform.StartTask{
			Worker: t.worker.id, Attempt: t.attemptID(), Size: t.size, Command: j.spec.Command, Resume: t.resume,
		},
		task: t, attempt: t.attemptID(),
	})
}

// startPinned queues the start of a task whose pin is now durable, or returns
// the task to pending if its worker no longer gets new tasks.
func (c *Controller) startPinned(t *task) {
	if t.state == cluster.TaskStarting && t.worker != nil && t.worker.id == t.pin && t.assignment.rack.closedReason(t.worker) == "" {
		c.queueStart(t)
		return
	}
	if t.state == cluster.TaskStarting {
		c.returnToPending(t, c.now)
	}
}

// revertPin returns a task to pending after a failed write of its pin. The pin is
// removed only if notWritten is set: after a lost reply the row may name it.
func (c *Controller) revertPin(p writtenPin, notWritten bool) {
	if p.task.pin != p.pin || p.task.pinCommitted {
		return
	}
	if p.task.state == cluster.TaskStarting {
		c.returnToPending(p.task, c.now)
	}
	if notWritten {
		p.task.pin = ""
	}
}
