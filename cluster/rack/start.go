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
func (c *Controller) place() {
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.exchanging || r.handover || !r.errSince.IsZero() {
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
	if c.now.Before(r.nextOffer) {
		return
	}
	r.nextOffer = c.now.Add(reofferInterval)
	if slices.ContainsFunc(r.list, func(a *assignment) bool {
		return a.pending > 0 && r.queue.State(a.id) == placement.ItemBlocked && r.hasFreeCapacity(a.size)
	}) {
		c.roomFreed(r)
	}
}

// recordBlocked records since when assignments wait that the queue does not
// offer: those blocked together with others of the same size, and those in a rack
// without free capacity, which requests no grant and therefore gets none.
func (c *Controller) recordBlocked(r *rack) {
	for _, a := range r.list {
		if a.pending == 0 || !a.blockedSince.IsZero() {
			continue
		}
		switch {
		case r.queue.State(a.id) == placement.ItemBlocked:
			a.blockedSince, a.waits = c.now, placement.NoRoomNow.String()
		case !r.hasFreeCapacity(a.size):
			_, reason := r.table.Place(placement.Request{Size: a.size, Job: a.id})
			a.blockedSince, a.waits = c.now, reason.String()
		}
	}
}

// syncQueue updates the rack's queue from its assignments and the grants of their teams.
func (c *Controller) syncQueue(r *rack) {
	if total, _, _ := r.openCapacity(); total != r.queueTotal {
		r.queueTotal = total
		r.queue.SetTotal(total)
	}
	for _, a := range r.list {
		if !a.requeue && (a.nextReady.IsZero() || c.now.Before(a.nextReady)) {
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
	for _, a := range r.list {
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
	next := placement.TeamConfig{Weight: weight, Limit: r.queued[team].Add(c.available(r, team)), Limited: true}
	if r.limits[team] != next {
		r.limits[team] = next
		r.queue.SetTeam(team, next)
	}
}

// enqueueAssignment updates the queue item of an assignment with the number of
// tasks that could start now. Gang jobs are not started from the queue.
func (c *Controller) enqueueAssignment(a *assignment) {
	a.requeue, a.nextReady = false, time.Time{}
	j := c.jobs[a.id]
	if j == nil {
		a.waits = "the job's row has not been read yet"
		a.requeue = true
		return
	}
	ready := 0
	for _, t := range a.tasks {
		if c.ready(t) {
			ready++
			c.pinEarly(j, t)
		} else if t.state == cluster.TaskPending && c.now.Before(t.notBefore) && (a.nextReady.IsZero() || t.notBefore.Before(a.nextReady)) {
			a.nextReady = t.notBefore
		}
	}
	if j.isGang() || !j.active() || j.cancel {
		ready = 0
	}
	declaredSize := c.declaredSize(j)
	estimate := c.estimator.Estimate(a.id, declaredSize, j.spec.RunTime())
	a.size = estimate.Size
	item := placement.Item{
		Job: a.id, Priority: c.priority(j), Size: a.size, Tasks: ready, Submitted: j.submitted,
		Deadline: j.spec.Deadline, RunTime: estimate.RunTime, MaxWait: c.maxWait(j),
	}
	a.rack.queue.Add(item)
}

// pinEarly pins a task that must not run twice to a worker before it is placed,
// so that it can start there while the table service is down.
func (c *Controller) pinEarly(j *job, t *task) {
	r := t.of.rack
	if j.idempotent() || t.pinned() || !c.writable() {
		return
	}
	for range r.order {
		w := r.order[r.pinNext%len(r.order)]
		r.pinNext++
		if r.closed(w) == "" && c.declaredSize(j).Fits(w.capacity) {
			t.pin, t.pinDurable = w.id, false
			t.of.markDirty()
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
func (c *Controller) ready(t *task) bool {
	return t.state == cluster.TaskPending && t.worker == nil && !t.suspect && !t.stop && !t.drop && t.zombies == 0 &&
		!t.of.moving && !c.now.Before(t.notBefore)
}

// placeRack places the tasks that the rack's queue offers, up to maxStartsPerStep.
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
			if pick.Reserve && c.reserve(r, a.id, 1, a.size) {
				r.queue.Reserved(a.id)
			} else {
				r.queue.Blocked(a.id, c.now)
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
	reason := placement.NoRoomNow
	for _, t := range a.tasks {
		if !c.ready(t) {
			continue
		}
		if t.budget && !c.health.Retry(a.id, c.now) {
			t.notBefore = c.now.Add(budgetDelay)
			a.requeue = true
			a.waits = "the retry budget of the job or team is exhausted"
			continue
		}
		t.budget = false
		var w *worker
		w, reason = c.chooseWorker(r, j, t)
		if w != nil {
			c.startTask(r, j, t, w)
			r.table.Unreserve(a.id)
			r.queue.Started(a.id, 1)
			r.queued[a.id.Team] = r.queued[a.id.Team].Add(t.size)
			a.blockedSince, a.waits = time.Time{}, ""
			return true
		}
		if !t.pinned() {
			break
		}
	}
	a.waits = reason.String()
	return false
}

// chooseWorker returns the worker for a task, or the reason why there is none. A
// durable pin is used if its worker has enough free capacity.
func (c *Controller) chooseWorker(r *rack, j *job, t *task) (*worker, placement.Reason) {
	if w := r.workers[t.pin]; w != nil && t.pinDurable && r.closed(w) == "" && t.of.size.Fits(w.capacity.Sub(r.load(w))) {
		return w, placement.Placed
	}
	if !j.idempotent() && !c.writable() {
		return nil, placement.NoRoomNow
	}
	req := placement.Request{Size: t.of.size, Job: j.id}
	if runTime := c.estimator.Estimate(j.id, t.of.size, j.spec.RunTime()).RunTime; runTime > 0 {
		req.End = c.now.Add(runTime)
	}
	if _, ok := j.spec.Workload.(*cluster.Service); ok {
		req.Spread = true
		for _, other := range t.of.tasks {
			if other.worker != nil {
				req.Peers = append(req.Peers, other.worker.id)
			}
		}
	}
	id, reason := r.table.Place(req)
	return r.workers[id], reason
}

// startTask accounts for a task on a worker and queues the start command. A task
// that must not run twice starts only after its row names the worker: a later
// owner of the rack then knows where an attempt may run that no worker reports.
func (c *Controller) startTask(r *rack, j *job, t *task, w *worker) {
	size := t.of.size
	c.require(size.Fits(c.available(r, j.id.Team)), invariant.Limit, "the remaining grant of team %s is %s in rack %s, too little for task %s",
		j.id.Team, c.available(r, j.id.Team), r.id, t.id())
	c.require(t.worker == nil && t.zombies == 0, invariant.SingleAttempt, "task %s is started while an attempt of it is running", t.id())
	waited := c.now.Sub(maxTime(t.since, j.submitted))
	r.attach(t, w, size)
	t.setState(cluster.TaskStarting, c.now)
	c.health.Started(w.id)
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
	if t.pin == w.id && t.pinDurable {
		c.queueStart(t)
		return
	}
	t.pin, t.pinDurable = w.id, false
	t.of.markDirty()
	t.of.urgent = true
}

// laterTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
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
	j := c.jobs[t.of.id]
	if j == nil || t.worker == nil {
		return
	}
	c.order(t.of.rack, command{
		order: &platform.StartTask{
			Worker: t.worker.id, Attempt: t.attemptID(), Size: t.size, Command: j.spec.Command, Resume: t.resume,
		},
		task: t, attempt: t.attemptID(),
	})
}

// startPinned queues the start of a task whose pin is now durable, or returns
// the task to pending if its worker no longer takes new tasks.
func (c *Controller) startPinned(t *task) {
	if t.state == cluster.TaskStarting && t.worker != nil && t.worker.id == t.pin && t.of.rack.closed(t.worker) == "" {
		c.queueStart(t)
		return
	}
	if t.state == cluster.TaskStarting {
		c.backToPending(t, c.now)
	}
}

// revertPin returns a task to pending after a failed write of its pin. The pin is
// removed only if notWritten is set: after a lost answer the row may name it.
func (c *Controller) revertPin(p writtenPin, notWritten bool) {
	if p.task.pin != p.pin || p.task.pinDurable {
		return
	}
	if p.task.state == cluster.TaskStarting {
		c.backToPending(p.task, c.now)
	}
	if notWritten {
		p.task.pin = ""
	}
}
