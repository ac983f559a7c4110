package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// commandTarget returns the worker and the attempt of a command.
func commandTarget(cmd platform.Command) (cluster.WorkerID, cluster.AttemptID) {
	switch c := cmd.(type) {
	case *platform.StartTask:
		return c.Worker, c.Attempt
	case *platform.StopTask:
		return c.Worker, c.Attempt
	case *platform.CheckpointTask:
		return c.Worker, c.Attempt
	case *platform.ThrottleTask:
		return c.Worker, c.Attempt
	case *platform.AcknowledgeResult:
		return c.Worker, c.Attempt
	}
	return "", cluster.AttemptID{}
}

// execute executes a command of a request whose epoch the worker has accepted.
func (w *worker) execute(cmd platform.Command, req *platform.ExchangeRequest, now time.Time) platform.CommandResult {
	switch c := cmd.(type) {
	case *platform.StartTask:
		return w.startTask(c, req, now)
	case *platform.AcknowledgeResult:
		return w.acknowledgeResult(c.Attempt)
	case *platform.ThrottleTask:
		return w.throttleTask(c, now)
	}
	_, id := commandTarget(cmd)
	t := w.findTask(id)
	if t == nil {
		return platform.CommandNoTask
	}
	if _, ok := cmd.(*platform.CheckpointTask); ok {
		t.updateRemaining(now)
		w.p.history.checkpoints[id.Task] = t.behavior.RunTime - t.remaining
		w.endTask(t, platform.OutcomeCheckpointed, now)
		return platform.CommandDone
	}
	w.endTask(t, platform.OutcomeStopped, now)
	return platform.CommandDone
}

// startTask starts an attempt unless the worker knows it or a later one of the
// task, or its size doesn't fit into the free capacity.
func (w *worker) startTask(c *platform.StartTask, req *platform.ExchangeRequest, now time.Time) platform.CommandResult {
	if known, ok := w.knownTasks[c.Attempt.Task]; ok && c.Attempt.Attempt <= known.attempt {
		w.p.stats.KnownRefusals++
		return platform.CommandAttemptKnown
	}
	free := w.vm.Capacity.Sub(w.allocated())
	if !c.Size.Fits(free) || c.Size.Negative() {
		w.p.stats.CapacityRefusals++
		w.p.cfg.Invariants.Require(false, invariant.Capacity, "%s started %s with %s on %s, which has %s left",
			req.Owner, c.Attempt, c.Size, w.id, free)
		return platform.CommandNoCapacity
	}
	b := w.p.cfg.Behavior(c).scaled(w.faults, w.p.cfg.TimeScale, w.vm.Capacity)
	t := &task{
		attempt: c.Attempt, size: c.Size, allocated: c.Size, behavior: b, startedAt: now, remaining: b.RunTime, remainingAt: now, speed: 1,
		leaseEnd: now.Add(req.Lease),
	}
	if c.Resume {
		t.remaining = max(0, b.RunTime-w.p.history.checkpoints[c.Attempt.Task])
	}
	w.pruneKnownTasks(now)
	w.knownTasks[c.Attempt.Task] = knownTask{c.Attempt.Attempt, now}
	w.running = append(w.running, t)
	w.p.stats.Starts++
	w.p.recordStart(w, t, req, now)
	w.markChanged()
	return platform.CommandDone
}

// throttleTask changes the CPU allocation of a running attempt, and its speed in
// proportion; the allocation is at most the attempt's size.
func (w *worker) throttleTask(c *platform.ThrottleTask, now time.Time) platform.CommandResult {
	t := w.findTask(c.Attempt)
	if t == nil {
		return platform.CommandNoTask
	}
	allocation := t.size
	allocation.CPU = min(max(c.CPU, 0), t.size.CPU)
	if allocation.CPU > t.allocated.CPU && !allocation.Sub(t.allocated).Fits(w.vm.Capacity.Sub(w.allocated())) {
		return platform.CommandNoCapacity
	}
	t.updateRemaining(now)
	w.p.history.recordResize(t, allocation)
	t.allocated, t.speed = allocation, 1
	if t.size.CPU > 0 {
		t.speed = float64(allocation.CPU) / float64(t.size.CPU)
	}
	w.p.history.updateWorkerPeak(w)
	w.markChanged()
	return platform.CommandDone
}

// acknowledgeResult removes the result of an ended attempt.
func (w *worker) acknowledgeResult(id cluster.AttemptID) platform.CommandResult {
	i := slices.IndexFunc(w.ended, func(e platform.EndedTask) bool { return e.Attempt == id })
	if i < 0 {
		return platform.CommandNoTask
	}
	w.ended = slices.Delete(w.ended, i, i+1)
	w.markChanged()
	return platform.CommandDone
}
