package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// hold is free capacity kept for the tasks of a gang job until it starts or the hold expires.
type hold struct {
	job cluster.JobID
	// size is the size of one task; workers has one entry per task.
	size      cluster.Resources
	workers   []cluster.WorkerID
	expiresAt time.Time
}

// holdOf returns the hold of a job, or nil.
func (r *rack) holdOf(job cluster.JobID) *hold {
	for _, h := range r.holds {
		if h.job == job {
			return h
		}
	}
	return nil
}

// heldFor returns the resources that are held for a team.
func (r *rack) heldFor(team cluster.TeamName) cluster.Resources {
	var sum cluster.Resources
	for _, h := range r.holds {
		if h.job.Team == team {
			sum = sum.Add(h.size.Times(int64(len(h.workers))))
		}
	}
	return sum
}

// placeHold holds capacity for n tasks of a gang job in an owned rack, all or
// none. If too little is free, it reserves what becomes free.
func (c *Controller) placeHold(r *rack, id cluster.JobID, n int, size cluster.Resources, duration time.Duration) bool {
	c.releaseHold(r, id)
	a := r.assignments[id]
	if a == nil || r.hasUnfencedWorkers || r.handingOver || !r.failingSince.IsZero() || c.countReadyTasks(a) < n {
		return false
	}
	workers, reason := r.placementTable.PlaceAll(placement.Request{Size: size, Job: id}, n)
	if reason != placement.Placed {
		a.waitReason = "not all tasks of the gang fit: " + reason.String()
		if a.blockedSince.IsZero() {
			a.blockedSince = c.now
		}
		c.reserve(r, id, n, size)
		return false
	}
	// Capacity is checked before the grant: a rack without capacity for all tasks gets no grant
	// for them, and some have to move.
	if !size.Times(int64(n)).Fits(c.availableGrant(r, id.Team)) {
		a.waitReason = "the team's grant here is too small for all tasks of the gang"
		return false
	}
	a.blockedSince = time.Time{}
	r.holds = append(r.holds, &hold{job: id, size: size, workers: workers, expiresAt: c.now.Add(duration)})
	r.syncWorkers()
	return true
}

// countReadyTasks returns the number of tasks that may start now.
func (c *Controller) countReadyTasks(a *assignment) int {
	n := 0
	for _, t := range a.tasks {
		if c.canStart(t) {
			n++
		}
	}
	return n
}

// reserve reserves, for n tasks that do not fit now, the capacity that is expected
// to become free first, and reports whether it succeeded. Tasks that end before then
// may still use the capacity. Running tasks without a run time are not expected to end.
func (c *Controller) reserve(r *rack, id cluster.JobID, n int, size cluster.Resources) bool {
	var taskEnds []placement.TaskEnd
	for _, w := range r.sortedWorkers {
		for _, t := range w.tasks {
			if j := c.jobs[t.assignment.id]; j != nil && j.spec.RunTime() > 0 {
				end := t.stateSince.Add(c.estimator.Estimate(t.assignment.id, t.size, j.spec.RunTime()).RunTime)
				taskEnds = append(taskEnds, placement.TaskEnd{Worker: w.id, Size: t.size, EndAt: end})
			}
		}
	}
	slices.SortFunc(taskEnds, func(a, b placement.TaskEnd) int {
		if d := a.EndAt.Compare(b.EndAt); d != 0 {
			return d
		}
		return compareStrings(string(a.Worker), string(b.Worker))
	})
	workers, start, ok := r.placementTable.PlanReservation(placement.Request{Size: size, Job: id}, n, taskEnds, c.now)
	return ok && r.placementTable.Reserve(placement.Reservation{
		Job: id, Size: size, Workers: workers, Start: start, ExpiresAt: laterTime(start, c.now).Add(reservationDuration),
	})
}

// releaseHold releases the hold of a job, if it has one.
func (c *Controller) releaseHold(r *rack, id cluster.JobID) {
	if r.holdOf(id) == nil {
		return
	}
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool { return h.job == id })
	c.capacityFreed(r)
}

// capacityFreed updates the placement table and notifies the queue of the free capacity of each worker.
func (c *Controller) capacityFreed(r *rack) {
	r.syncWorkers()
	for _, w := range r.sortedWorkers {
		if r.closedReason(w) == "" {
			r.queue.RecordFreed(w.capacity.Sub(r.workerLoad(w)))
		}
	}
}

// expireHolds releases holds and reservations that have expired.
func (c *Controller) expireHolds(r *rack) {
	for _, h := range slices.Clone(r.holds) {
		if !c.now.Before(h.expiresAt) || len(h.workers) == 0 {
			c.releaseHold(r, h.job)
		}
	}
	for _, id := range r.placementTable.ExpireReservations(c.now) {
		r.queue.MarkUnreserved(id)
	}
}

// handleHoldRequest handles another owner's request for a hold.
func (c *Controller) handleHoldRequest(from cluster.DaemonID, m *peer.HoldRequest) {
	r := c.racks[m.Rack]
	granted := 0
	if r != nil && r.phase == phaseActive && m.Tasks > 0 && c.placeHold(r, m.Job, m.Tasks, m.Size, min(m.Duration, holdDuration)) {
		granted = m.Tasks
	}
	c.send(from, &peer.HoldReply{Job: m.Job, Rack: m.Rack, Tasks: granted})
}

// handleHoldReply handles the reply to a request for a hold.
func (c *Controller) handleHoldReply(m *peer.HoldReply) {
	j := c.jobs[m.Job]
	if j == nil || j.gang == nil || j.gang.requestedRack != m.Rack {
		return
	}
	j.gang.requestedRack = ""
	if m.Tasks == 0 {
		c.releaseHolds(j)
		return
	}
	// The hold lasts from when it was granted, which is no earlier than when it was requested.
	j.gang.holdExpiry[m.Rack] = j.gang.requestedAt.Add(holdDuration)
}

// handleHoldRelease handles another owner's release of a hold.
func (c *Controller) handleHoldRelease(m *peer.HoldRelease) {
	if r := c.racks[m.Rack]; r != nil && r.phase == phaseActive {
		c.releaseHold(r, m.Job)
	}
}
