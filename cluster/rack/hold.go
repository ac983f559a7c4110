package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// hold is room kept for the tasks of a gang job until it starts or the hold expires.
type hold struct {
	job     cluster.JobID
	size    cluster.Resources
	workers []cluster.WorkerID
	expires time.Time
}

func (r *rack) hold(job cluster.JobID) *hold {
	for _, h := range r.holds {
		if h.job == job {
			return h
		}
	}
	return nil
}

// heldBy returns what is held for a team.
func (r *rack) heldBy(team cluster.TeamName) cluster.Resources {
	var sum cluster.Resources
	for _, h := range r.holds {
		if h.job.Team == team {
			sum = sum.Add(h.size.Times(int64(len(h.workers))))
		}
	}
	return sum
}

// holdHere holds room for n tasks in an owned rack, all or none. If there is no
// room it is reserved as it becomes free.
func (c *Controller) holdHere(r *rack, id cluster.JobID, n int, size cluster.Resources, life time.Duration) bool {
	c.dropHold(r, id)
	a := r.assignments[id]
	if a == nil || r.unfenced || r.handover || !r.errSince.IsZero() || c.readyTasks(a) < n {
		return false
	}
	workers, reason := r.table.PlaceAll(placement.Request{Size: size, Job: id}, n)
	if reason != placement.Placed {
		a.waits = "not all tasks of the gang fit: " + reason.String()
		if a.blockedSince.IsZero() {
			a.blockedSince = c.now
		}
		c.reserve(r, id, n, size)
		return false
	}
	// Room comes first: a rack that lacks it gets no grant for all tasks, and its part has to move.
	if !size.Times(int64(n)).Fits(c.available(r, id.Team)) {
		a.waits = "the team's grant here is too small for all tasks of the gang"
		return false
	}
	a.blockedSince = time.Time{}
	r.holds = append(r.holds, &hold{job: id, size: size, workers: workers, expires: c.now.Add(life)})
	r.syncWorkers()
	return true
}

func (c *Controller) readyTasks(a *assignment) int {
	n := 0
	for _, t := range a.tasks {
		if c.ready(t) {
			n++
		}
	}
	return n
}

// reserve keeps the room that becomes free first for tasks that do not fit now;
// work that ends before then may still use it.
func (c *Controller) reserve(r *rack, id cluster.JobID, n int, size cluster.Resources) bool {
	var endings []placement.Ending
	for _, w := range r.order {
		for _, t := range w.tasks {
			if j := c.jobs[t.of.id]; j != nil && j.spec.RunTime() > 0 {
				end := t.since.Add(c.estimator.Estimate(t.of.id, t.size, j.spec.RunTime()).RunTime)
				endings = append(endings, placement.Ending{Worker: w.id, Size: t.size, End: end})
			}
		}
	}
	slices.SortFunc(endings, func(a, b placement.Ending) int {
		if d := a.End.Compare(b.End); d != 0 {
			return d
		}
		return compareStrings(string(a.Worker), string(b.Worker))
	})
	workers, start, ok := r.table.PlanReservation(placement.Request{Size: size, Job: id}, n, endings, c.now)
	return ok && r.table.Reserve(placement.Reservation{
		Job: id, Size: size, Workers: workers, Start: start, Until: maxTime(start, c.now).Add(gangReservation),
	})
}

func (c *Controller) dropHold(r *rack, id cluster.JobID) {
	if r.hold(id) == nil {
		return
	}
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool { return h.job == id })
	c.roomFreed(r)
}

// roomFreed tells the table and the queue about room that is free again.
func (c *Controller) roomFreed(r *rack) {
	r.syncWorkers()
	for _, w := range r.order {
		if r.closed(w) == "" {
			r.queue.Freed(w.capacity.Sub(r.load(w)))
		}
	}
}

func (c *Controller) expireHolds(r *rack) {
	for _, h := range slices.Clone(r.holds) {
		if !c.now.Before(h.expires) || len(h.workers) == 0 {
			c.dropHold(r, h.job)
		}
	}
	for _, id := range r.table.Expire(c.now) {
		r.queue.Unreserved(id)
	}
}

func (c *Controller) holdRequested(from cluster.DaemonID, m *peer.HoldRequest) {
	r := c.racks[m.Rack]
	n := 0
	if r != nil && r.phase == phaseActive && m.Tasks > 0 && c.holdHere(r, m.Job, m.Tasks, m.Size, min(m.For, holdLife)) {
		n = m.Tasks
	}
	c.send(from, &peer.HoldReply{Job: m.Job, Rack: m.Rack, Tasks: n})
}

func (c *Controller) holdReplied(m *peer.HoldReply) {
	j := c.jobs[m.Job]
	if j == nil || j.gang == nil || j.gang.asking != m.Rack {
		return
	}
	j.gang.asking = ""
	if m.Tasks == 0 {
		c.giveUpHolds(j)
		return
	}
	// The hold began when it was granted, at the earliest when it was asked for.
	j.gang.until[m.Rack] = j.gang.askedAt.Add(holdLife)
}

func (c *Controller) holdReleased(m *peer.HoldRelease) {
	if r := c.racks[m.Rack]; r != nil && r.phase == phaseActive {
		c.dropHold(r, m.Job)
	}
}
