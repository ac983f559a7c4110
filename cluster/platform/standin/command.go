package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// target returns the worker and the attempt of a command.
func target(cmd platform.Command) (cluster.WorkerID, cluster.AttemptID) {
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

// run carries out a command of a request whose epoch the worker has accepted.
func (w *worker) run(cmd platform.Command, req *platform.ExchangeRequest, now time.Time) platform.CommandResult {
	switch c := cmd.(type) {
	case *platform.StartTask:
		return w.start(c, req, now)
	case *platform.AcknowledgeResult:
		return w.acknowledge(c.Attempt)
	case *platform.ThrottleTask:
		return w.throttle(c, now)
	}
	_, id := target(cmd)
	t := w.find(id)
	if t == nil {
		return platform.CommandNoTask
	}
	if _, ok := cmd.(*platform.CheckpointTask); ok {
		t.settle(now)
		w.p.history.checkpoints[id.Task] = t.behavior.RunTime - t.remaining
		w.end(t, platform.OutcomeCheckpointed, now)
		return platform.CommandDone
	}
	w.end(t, platform.OutcomeStopped, now)
	return platform.CommandDone
}

func (w *worker) start(c *platform.StartTask, req *platform.ExchangeRequest, now time.Time) platform.CommandResult {
	if k, ok := w.known[c.Attempt.Task]; ok && c.Attempt.Attempt <= k.attempt {
		w.p.stats.KnownRefusals++
		return platform.CommandKnown
	}
	free := w.vm.Capacity.Sub(w.used())
	if !c.Size.Fits(free) || c.Size.Negative() {
		w.p.stats.CapacityRefusals++
		w.p.cfg.Invariants.Require(false, invariant.Capacity, "%s started %s with %s on %s, which has %s left",
			req.Owner, c.Attempt, c.Size, w.id, free)
		return platform.CommandNoCapacity
	}
	b := w.p.cfg.Behavior(c).scale(w.faults, w.p.cfg.TimeScale, w.vm.Capacity)
	t := &task{
		attempt: c.Attempt, size: c.Size, alloc: c.Size, behavior: b, started: now, remaining: b.RunTime, since: now, speed: 1,
		lease: now.Add(req.Lease),
	}
	if c.Resume {
		t.remaining = max(0, b.RunTime-w.p.history.checkpoints[c.Attempt.Task])
	}
	w.forget(now)
	w.known[c.Attempt.Task] = knownTask{c.Attempt.Attempt, now}
	w.running = append(w.running, t)
	w.p.stats.Starts++
	w.p.recordStart(w, t, req, now)
	w.change()
	return platform.CommandDone
}

func (w *worker) throttle(c *platform.ThrottleTask, now time.Time) platform.CommandResult {
	t := w.find(c.Attempt)
	if t == nil {
		return platform.CommandNoTask
	}
	alloc := t.size
	alloc.CPU = min(max(c.CPU, 0), t.size.CPU)
	if alloc.CPU > t.alloc.CPU && !alloc.Sub(t.alloc).Fits(w.vm.Capacity.Sub(w.used())) {
		return platform.CommandNoCapacity
	}
	t.settle(now)
	w.p.history.resize(t, alloc)
	t.alloc, t.speed = alloc, 1
	if t.size.CPU > 0 {
		t.speed = float64(alloc.CPU) / float64(t.size.CPU)
	}
	w.p.history.observe(w)
	w.change()
	return platform.CommandDone
}

func (w *worker) acknowledge(id cluster.AttemptID) platform.CommandResult {
	i := slices.IndexFunc(w.ended, func(e platform.EndedTask) bool { return e.Attempt == id })
	if i < 0 {
		return platform.CommandNoTask
	}
	w.ended = slices.Delete(w.ended, i, i+1)
	w.change()
	return platform.CommandDone
}
