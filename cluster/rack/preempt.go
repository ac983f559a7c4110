package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// preemptDelay is how long a task waits before others are preempted for it, so
	// that capacity which is about to become free is used first.
	preemptDelay = 300 * time.Millisecond
	// preemptInterval is the time that victims have to end before others are chosen.
	preemptInterval = 2 * time.Second
)

// preemptTasks interrupts or throttles running tasks for urgent tasks and for
// teams below their share.
func (c *Controller) preemptTasks() {
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive || r.handingOver || r.hasUnfencedWorkers || !r.failingSince.IsZero() || c.now.Before(r.nextPreemptAt) {
			continue
		}
		if a := c.preemptingAssignment(r); a != nil {
			c.preemptFor(r, a)
		} else {
			c.restoreThrottledTasks(r)
		}
	}
}

// preemptingAssignment returns the assignment whose pending tasks others are preempted for, or nil.
func (c *Controller) preemptingAssignment(r *rack) *assignment {
	var best *assignment
	var below map[cluster.TeamName]bool
	for _, a := range r.assignmentList {
		j := c.jobs[a.id]
		if a.pendingCount == 0 || a.blockedSince.IsZero() || c.now.Sub(a.blockedSince) < preemptDelay || j == nil || j.isGang() {
			continue
		}
		if a.taskSize.IsZero() || !a.taskSize.Fits(c.availableGrant(r, a.id.Team)) {
			continue
		}
		if below == nil {
			below = teamsBelowShare(r)
		}
		if j.spec.Priority != cluster.PriorityUrgent && !below[a.id.Team] {
			continue
		}
		if best == nil || j.precedes(c.jobs[best.id]) {
			best = a
		}
	}
	return best
}

// teamsBelowShare returns for each team whether it gets less than its share of the rack.
func teamsBelowShare(r *rack) map[cluster.TeamName]bool {
	below := map[cluster.TeamName]bool{}
	for _, s := range r.queue.Shares() {
		below[s.Team] = s.Excess() < 0
	}
	return below
}

// preemptFor chooses victims for one task of an assignment and interrupts or throttles them.
func (c *Controller) preemptFor(r *rack, a *assignment) {
	r.nextPreemptAt = c.now.Add(preemptInterval)
	req := placement.PreemptRequest{
		Team: a.id.Team, Priority: c.jobs[a.id].spec.Priority, Size: a.taskSize, Workers: r.placementTable.Workers(), Shares: r.queue.Shares(),
	}
	for _, w := range r.sortedWorkers {
		for _, t := range w.tasks {
			j := c.jobs[t.assignment.id]
			if t.state != cluster.TaskRunning || t.stopRequested || j == nil || j.isGang() {
				continue
			}
			_, service := j.spec.Workload.(*cluster.Service)
			req.Running = append(req.Running, placement.RunningTask{
				Attempt: t.attemptID(), Worker: w.id, Size: t.size, Priority: j.spec.Priority, Service: service,
				Idempotent: j.idempotent(), Checkpoints: j.spec.Checkpoints, Age: c.now.Sub(t.stateSince),
				Throttled: t.throttledCPU > 0,
			})
		}
	}
	sortRunningTasks(req.Running)
	victims, ok := placement.ChooseVictims(req)
	if !ok {
		return
	}
	for _, v := range victims {
		t := r.findTask(v.Attempt.Task)
		switch {
		case t == nil || t.worker == nil:
		case v.Action == placement.Throttle:
			c.queueThrottle(t, t.size.CPU-v.FreedCapacity.CPU, "its capacity is needed for "+a.id.String())
		default:
			c.interruptTask(t, "its capacity is needed for "+a.id.String())
		}
	}
}

// queueThrottle limits a task to a part of its CPU. What it frees counts as free
// capacity once the worker has confirmed the command.
func (c *Controller) queueThrottle(t *task, cpu cluster.CPU, reason string) {
	c.cfg.Log.Info().Str("task", t.id().String()).Str("worker", string(t.worker.id)).Str("reason", reason).
		Int64("cpu", int64(cpu)).Msg("rack: changing the CPU limit of a task")
	c.queueCommand(t.assignment.rack, rackCommand{
		command: &platform.ThrottleTask{Worker: t.worker.id, Attempt: t.attemptID(), CPU: cpu}, task: t, attempt: t.attemptID(),
	})
}

// applyThrottle applies the outcome of a throttle command that lowered the CPU of
// a task; a command that raises it was accounted for before it was sent.
func (c *Controller) applyThrottle(cmd rackCommand, throttle *platform.ThrottleTask, result platform.CommandResult) {
	t := cmd.task
	if t.worker == nil || t.attempt != throttle.Attempt.Attempt || result != platform.CommandDone || throttle.CPU >= t.size.CPU {
		return
	}
	reduction := t.size.CPU - throttle.CPU
	c.setTaskCPU(t, throttle.CPU)
	t.throttledCPU = reduction
}

// setTaskCPU changes the CPU that a running task is accounted with.
func (c *Controller) setTaskCPU(t *task, cpu cluster.CPU) {
	r, team := t.assignment.rack, t.assignment.id.Team
	diff := cluster.Resources{CPU: cpu - t.size.CPU}
	t.size.CPU = cpu
	r.usedByTeam[team] = r.usedByTeam[team].Add(diff)
	if diff.CPU > 0 {
		r.addQueueUsage(team, diff)
	} else {
		r.queue.SubtractUsage(team, cluster.Resources{}.Sub(diff))
		r.queueUsage[team] = r.queueUsage[team].Add(diff).Max(cluster.Resources{})
	}
	r.syncWorker(t.worker)
	if diff.CPU < 0 && r.closedReason(t.worker) == "" {
		r.queue.RecordFreed(t.worker.capacity.Sub(r.workerLoad(t.worker)))
	}
}

// restoreThrottledTasks restores the CPU of throttled tasks if no task is pending in the rack.
func (c *Controller) restoreThrottledTasks(r *rack) {
	if r.hasPendingTasks() {
		return
	}
	for _, w := range r.sortedWorkers {
		for _, t := range sortedTasks(w) {
			increase := cluster.Resources{CPU: t.throttledCPU}
			if t.throttledCPU == 0 || t.state != cluster.TaskRunning || r.closedReason(w) != "" {
				continue
			}
			if increase.Fits(w.capacity.Sub(r.workerLoad(w))) && increase.Fits(c.availableGrant(r, t.assignment.id.Team)) {
				c.setTaskCPU(t, t.size.CPU+t.throttledCPU)
				t.throttledCPU = 0
				c.queueThrottle(t, t.size.CPU, "no task is waiting for its CPU")
			}
		}
	}
}
