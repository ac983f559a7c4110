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

// maxStarts bounds the placements of one rack in one step.
const maxStarts = 200

// place starts waiting tasks on each rack whose commands can be sent now.
func (c *Controller) place() {
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.exchanging || r.handover || !r.errSince.IsZero() {
			continue
		}
		c.enqueue(r)
		c.offerAgain(r)
		c.placeRack(r)
		c.noteBlocked(r)
	}
}

// offerInterval is how often blocked items are offered again although no room
// was reported free. Telling the queue at once when a reservation ends lets small
// tasks take the room before the gang job can reserve again.
const offerInterval = time.Second

// offerAgain tells the queue about room that blocked items would fit into. Room
// also comes back without the end of a task, for example when a reservation
// ends; a job of five tasks once waited in an empty rack because nobody said so.
func (c *Controller) offerAgain(r *rack) {
	if c.now.Before(r.nextOffer) {
		return
	}
	r.nextOffer = c.now.Add(offerInterval)
	if slices.ContainsFunc(r.list, func(a *assignment) bool {
		return a.pending > 0 && r.queue.State(a.id) == placement.ItemBlocked && r.hasRoom(a.size)
	}) {
		c.roomFreed(r)
	}
}

// noteBlocked notes since when assignments wait that the queue does not offer:
// those held back with others of the same size, and those in a rack without
// room, which gets no grant either.
func (c *Controller) noteBlocked(r *rack) {
	for _, a := range r.list {
		if a.pending == 0 || !a.blockedSince.IsZero() {
			continue
		}
		switch {
		case r.queue.State(a.id) == placement.ItemBlocked:
			a.blockedSince, a.waits = c.now, placement.NoRoomNow.String()
		case !r.hasRoom(a.size):
			_, reason := r.table.Place(placement.Request{Size: a.size, Job: a.id})
			a.blockedSince, a.waits = c.now, reason.String()
		}
	}
}

// enqueue brings the rack's queue in line with its assignments.
func (c *Controller) enqueue(r *rack) {
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
	for team := range r.teams() {
		c.limitQueue(r, team)
	}
}

// teams returns the teams with work in the rack.
func (r *rack) teams() map[cluster.TeamName]bool {
	teams := map[cluster.TeamName]bool{}
	for _, a := range r.list {
		teams[a.id.Team] = true
	}
	return teams
}

func (c *Controller) limitQueue(r *rack, team cluster.TeamName) {
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

// enqueueAssignment counts the tasks of an assignment that could start now.
func (c *Controller) enqueueAssignment(a *assignment) {
	a.requeue, a.nextReady = false, time.Time{}
	j := c.jobs[a.id]
	if j == nil {
		a.waits = "its job row is not known here yet"
		a.requeue = true
		return
	}
	ready := 0
	for _, t := range a.tasks {
		if c.ready(t) {
			ready++
			c.prepin(j, t)
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

// prepin chooses a worker for a task that must not run twice, so that it can
// start there while the table service is down.
func (c *Controller) prepin(j *job, t *task) {
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

func (c *Controller) declaredSize(j *job) cluster.Resources {
	_, size := j.spec.TaskCount()
	return size
}

func (c *Controller) priority(j *job) cluster.Priority { return j.spec.Priority }

func (c *Controller) maxWait(j *job) time.Duration {
	if q := c.config.Queues[j.spec.Queue]; q != nil {
		return q.MaxWait
	}
	return 0
}

// ready reports whether a task may start now.
func (c *Controller) ready(t *task) bool {
	return t.state == cluster.TaskPending && t.worker == nil && !t.suspect && !t.stop && !t.drop && t.zombies == 0 &&
		!t.of.moving && !c.now.Before(t.notBefore)
}

func (c *Controller) placeRack(r *rack) {
	for range maxStarts {
		pick, ok := r.queue.Next(c.now)
		if !ok {
			return
		}
		a := r.assignments[pick.Item.Job]
		if a == nil {
			r.queue.Remove(pick.Item.Job)
			continue
		}
		if !c.startOne(r, a) {
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

// startOne starts the first ready task of an assignment; false if it has to wait.
func (c *Controller) startOne(r *rack, a *assignment) bool {
	j := c.jobs[a.id]
	reason := placement.NoRoomNow
	for _, t := range a.tasks {
		if !c.ready(t) {
			continue
		}
		if t.budget && !c.health.Retry(a.id, c.now) {
			t.notBefore = c.now.Add(budgetDelay)
			a.requeue = true
			a.waits = "the retry budget of its job or team is used up"
			continue
		}
		t.budget = false
		var w *worker
		w, reason = c.choose(r, j, t)
		if w != nil {
			c.start(r, j, t, w)
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

// choose returns the worker for a task, or why there is none.
func (c *Controller) choose(r *rack, j *job, t *task) (*worker, placement.Reason) {
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

// start gives a task room on a worker and orders its start. A task that must
// not run twice starts only after its row names the worker: a successor then
// knows where an attempt may run that no worker reports.
func (c *Controller) start(r *rack, j *job, t *task, w *worker) {
	size := t.of.size
	c.require(size.Fits(c.available(r, j.id.Team)), invariant.Limit, "team %s has %s left in rack %s for %s",
		j.id.Team, c.available(r, j.id.Team), r.id, t.id())
	c.require(t.worker == nil && t.zombies == 0, invariant.SingleAttempt, "task %s starts while it runs", t.id())
	waited := c.now.Sub(maxTime(t.since, j.submitted))
	r.attach(t, w, size)
	t.setState(cluster.TaskStarting, c.now)
	c.health.Started(w.id)
	r.syncWorker(w)
	c.requireCapacity(r, w)
	c.cfg.Log.Info().Str("task", t.id().String()).Uint32("attempt", uint32(t.attempt)).Str("worker", string(w.id)).
		Str("reason", c.placedBecause(j)).Dur("waited", waited).Msg("rack: placed a task")
	c.cfg.Metrics.Counter("rack_starts").Inc(1)
	c.cfg.Metrics.Timer("rack_wait").Record(waited)
	if j.idempotent() {
		c.sendStart(t)
		return
	}
	if t.pin == w.id && t.pinDurable {
		c.sendStart(t)
		return
	}
	t.pin, t.pinDurable = w.id, false
	t.of.markDirty()
	t.of.urgent = true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Controller) placedBecause(j *job) string {
	switch j.spec.Workload.(type) {
	case *cluster.Service:
		return "spread"
	case *cluster.Gang:
		return "gang complete"
	}
	return fmt.Sprintf("best fit, priority %d", j.spec.Priority)
}

func (c *Controller) sendStart(t *task) {
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

// sendPinned orders the start of a task whose pin is now durable.
func (c *Controller) sendPinned(t *task) {
	if t.state == cluster.TaskStarting && t.worker != nil && t.worker.id == t.pin && t.of.rack.closed(t.worker) == "" {
		c.sendStart(t)
		return
	}
	if t.state == cluster.TaskStarting {
		c.backToPending(t, c.now)
	}
}

// unpinUnsent returns a task whose pin was not written; after a lost answer the
// pin stays, because the row may name it.
func (c *Controller) unpinUnsent(p pinned, surelyNot bool) {
	if p.t.pin != p.pin || p.t.pinDurable {
		return
	}
	if p.t.state == cluster.TaskStarting {
		c.backToPending(p.t, c.now)
	}
	if surelyNot {
		p.t.pin = ""
	}
}
