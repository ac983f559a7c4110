package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

const (
	// preemptAfter lets room that is just becoming free be used first.
	preemptAfter = 300 * time.Millisecond
	// preemptInterval is the time a victim has to end before others are chosen.
	preemptInterval = 2 * time.Second
)

// preempt interrupts running tasks for urgent work and for teams below their share.
func (c *Controller) preempt() {
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.handover || r.unfenced || !r.errSince.IsZero() || c.now.Before(r.nextPreempt) {
			continue
		}
		if a := c.preemptor(r); a != nil {
			c.preemptFor(r, a)
		}
	}
}

// preemptor returns the waiting assignment that others make room for, or nil.
func (c *Controller) preemptor(r *rack) *assignment {
	var best *assignment
	var below map[cluster.TeamName]bool
	for _, a := range r.list {
		j := c.jobs[a.id]
		if a.pending == 0 || a.blockedSince.IsZero() || c.now.Sub(a.blockedSince) < preemptAfter || j == nil || j.isGang() {
			continue
		}
		if a.size.IsZero() || !a.size.Fits(c.available(r, a.id.Team)) {
			continue
		}
		if below == nil {
			below = belowShare(r)
		}
		if j.spec.Priority != cluster.PriorityUrgent && !below[a.id.Team] {
			continue
		}
		if best == nil || j.before(c.jobs[best.id]) {
			best = a
		}
	}
	return best
}

// belowShare returns the teams that get less than their share of the rack.
func belowShare(r *rack) map[cluster.TeamName]bool {
	below := map[cluster.TeamName]bool{}
	for _, s := range r.queue.Shares() {
		below[s.Team] = s.Distance() < 0
	}
	return below
}

func (c *Controller) preemptFor(r *rack, a *assignment) {
	r.nextPreempt = c.now.Add(preemptInterval)
	req := placement.PreemptRequest{
		Team: a.id.Team, Priority: c.jobs[a.id].spec.Priority, Size: a.size, Workers: r.table.Workers(), Shares: r.queue.Shares(),
	}
	for _, w := range r.order {
		for _, t := range w.tasks {
			j := c.jobs[t.of.id]
			if t.state != cluster.TaskRunning || t.stop || j == nil || j.isGang() {
				continue
			}
			_, service := j.spec.Workload.(*cluster.Service)
			req.Running = append(req.Running, placement.RunningTask{
				Attempt: t.attemptID(), Worker: w.id, Size: t.size, Priority: j.spec.Priority, Service: service,
				Idempotent: j.idempotent(), Checkpoints: j.spec.Checkpoints, Age: c.now.Sub(t.since),
				// A throttled task keeps its room in the worker's own account, so throttling makes none.
				Throttled: true,
			})
		}
	}
	sortRunning(req.Running)
	victims, ok := placement.ChooseVictims(req)
	if !ok {
		return
	}
	for _, v := range victims {
		if t := r.task(v.Attempt.Task); t != nil && t.worker != nil {
			c.interrupt(t, "room for "+a.id.String())
		}
	}
}
