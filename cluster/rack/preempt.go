package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
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
		} else {
			c.unthrottle(r)
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
				Throttled: t.throttled > 0,
			})
		}
	}
	sortRunning(req.Running)
	victims, ok := placement.ChooseVictims(req)
	if !ok {
		return
	}
	for _, v := range victims {
		t := r.task(v.Attempt.Task)
		switch {
		case t == nil || t.worker == nil:
		case v.Action == placement.Throttle:
			c.throttle(t, t.size.CPU-v.Frees.CPU, "room for "+a.id.String())
		default:
			c.interrupt(t, "room for "+a.id.String())
		}
	}
}

// throttle limits a task to a part of its processors; the room counts as free once the worker has confirmed.
func (c *Controller) throttle(t *task, cpu cluster.CPU, why string) {
	c.cfg.Log.Info().Str("task", t.id().String()).Str("worker", string(t.worker.id)).Str("reason", why).
		Int64("cpu", int64(cpu)).Msg("rack: throttles a task")
	c.order(t.of.rack, command{
		order: &platform.ThrottleTask{Worker: t.worker.id, Attempt: t.attemptID(), CPU: cpu}, task: t, attempt: t.attemptID(),
	})
}

// throttleDone takes in the outcome of a throttle command; a raise was accounted for before it was sent.
func (c *Controller) throttleDone(cmd command, order *platform.ThrottleTask, result platform.CommandResult) {
	t := cmd.task
	if t.worker == nil || t.attempt != order.Attempt.Attempt || result != platform.CommandDone || order.CPU >= t.size.CPU {
		return
	}
	taken := t.size.CPU - order.CPU
	c.resize(t, order.CPU)
	t.throttled = taken
}

// resize changes what a running task is accounted for.
func (c *Controller) resize(t *task, cpu cluster.CPU) {
	r, team := t.of.rack, t.of.id.Team
	diff := cluster.Resources{CPU: cpu - t.size.CPU}
	t.size.CPU = cpu
	r.used[team] = r.used[team].Add(diff)
	if diff.CPU > 0 {
		r.countUse(team, diff)
	} else {
		r.queue.Release(team, cluster.Resources{}.Sub(diff))
		r.queued[team] = r.queued[team].Add(diff).Max(cluster.Resources{})
	}
	r.syncWorker(t.worker)
	if diff.CPU < 0 && r.closed(t.worker) == "" {
		r.queue.Freed(t.worker.capacity.Sub(r.load(t.worker)))
	}
}

// unthrottle gives throttled tasks their processors back when nothing waits for them.
func (c *Controller) unthrottle(r *rack) {
	if r.waiting() {
		return
	}
	for _, w := range r.order {
		for _, t := range sortedTasks(w) {
			raise := cluster.Resources{CPU: t.throttled}
			if t.throttled == 0 || t.state != cluster.TaskRunning || r.closed(w) != "" {
				continue
			}
			if raise.Fits(w.capacity.Sub(r.load(w))) && raise.Fits(c.available(r, t.of.id.Team)) {
				c.resize(t, t.size.CPU+t.throttled)
				t.throttled = 0
				c.throttle(t, t.size.CPU, "nothing waits for its room")
			}
		}
	}
}
