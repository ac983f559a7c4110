package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// failRunTime is the longest run time of tasks on a worker with the FailAll fault.
	failRunTime = time.Second
	// knownTaskTTL is the minimum time for which a worker remembers the last
	// attempt of a task, so that it refuses that attempt and earlier ones.
	knownTaskTTL = time.Hour
	// maxKnownTasks is the number of remembered tasks from which a worker removes those older than knownTaskTTL.
	maxKnownTasks = 10_000
)

// worker is one worker VM; it is guarded by Platform.mu.
type worker struct {
	p      *Platform
	rack   *rack
	id     cluster.WorkerID
	vm     platform.VM
	faults WorkerFaults
	// pausedAt is the start of the current pause.
	pausedAt   time.Time
	epoch      cluster.Epoch
	running    []*task
	ended      []platform.EndedTask
	knownTasks map[cluster.TaskID]knownTask
	// changedSequence is the rack's sequence number of the last change of the worker's report.
	changedSequence uint64
	// lastReport is the last report from before the worker became unreachable.
	lastReport platform.WorkerReport
}

// knownTask is the last known attempt of a task.
type knownTask struct {
	attempt   cluster.Attempt
	updatedAt time.Time
}

// task is an attempt that runs on a worker.
type task struct {
	attempt cluster.AttemptID
	size    cluster.Resources
	// allocated is the size, or less CPU if the task is throttled.
	allocated cluster.Resources
	behavior  Behavior
	startedAt time.Time
	// remaining is the work left at remainingAt, as run time at full speed.
	remaining   time.Duration
	remainingAt time.Time
	// speed is the allocated part of the task's CPUs; 1 is full speed.
	speed    float64
	leaseEnd time.Time
	// usageReported means that reports include the task's usage.
	usageReported bool
	// endRecorded means that the history has recorded the end of the task.
	endRecorded bool
	record      *AttemptRecord
}

func newWorker(p *Platform, r *rack, vm platform.VM) *worker {
	return &worker{p: p, rack: r, id: cluster.WorkerID(vm.ID), vm: vm, knownTasks: map[cluster.TaskID]knownTask{}}
}

// markChanged assigns the worker the next sequence number, so that replies for
// all earlier cursors include it.
func (w *worker) markChanged() {
	w.rack.sequence++
	w.changedSequence = w.rack.sequence
}

// allocated returns the sum of the allocations of the running tasks.
func (w *worker) allocated() cluster.Resources {
	var sum cluster.Resources
	for _, t := range w.running {
		sum = sum.Add(t.allocated)
	}
	return sum
}

// findTask returns the running task of an attempt, or nil.
func (w *worker) findTask(id cluster.AttemptID) *task {
	for _, t := range w.running {
		if t.attempt == id {
			return t
		}
	}
	return nil
}

// eventKind is a kind of event of a running task that no command causes.
type eventKind int

const (
	eventNone eventKind = iota
	eventFinish
	eventLeaseExpiry
	eventUsageReport
)

// nextEvent returns the task's next event and its time.
func (t *task) nextEvent(usageLag time.Duration) (eventKind, time.Time) {
	kind, at := eventLeaseExpiry, t.leaseEnd
	if finish, ok := t.finishTime(); ok && !finish.After(at) {
		kind, at = eventFinish, finish
	}
	if report := t.startedAt.Add(usageLag); !t.usageReported && report.Before(at) {
		kind, at = eventUsageReport, report
	}
	return kind, at
}

// finishTime returns when the task ends at its current speed; it returns false if the task runs until it is stopped.
func (t *task) finishTime() (time.Time, bool) {
	if t.behavior.RunTime == 0 || t.speed <= 0 {
		return time.Time{}, false
	}
	return t.remainingAt.Add(time.Duration(float64(t.remaining) / t.speed)), true
}

// updateRemaining updates the remaining work to the given time.
func (t *task) updateRemaining(now time.Time) {
	if t.behavior.RunTime > 0 {
		t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.remainingAt))*t.speed))
	}
	t.remainingAt = now
}

// advance processes all events that are due, in order of time.
func (w *worker) advance(now time.Time) {
	if w.faults.Dead {
		return
	}
	if w.faults.Paused {
		w.recordExpiredLeases(now)
		return
	}
	for {
		var next *task
		nextKind, nextAt := eventNone, now
		for _, t := range w.running {
			if kind, at := t.nextEvent(w.p.faults.UsageLag); !at.After(now) && (nextKind == eventNone || at.Before(nextAt)) {
				next, nextKind, nextAt = t, kind, at
			}
		}
		switch nextKind {
		case eventNone:
			return
		case eventUsageReport:
			next.usageReported = true
			w.markChanged()
		case eventFinish:
			outcome := platform.OutcomeSucceeded
			if next.behavior.Fail {
				outcome = platform.OutcomeFailed
			}
			w.endTask(next, outcome, nextAt)
		case eventLeaseExpiry:
			w.p.stats.ExpiredLeases++
			w.endTask(next, platform.OutcomeLeaseExpired, nextAt)
		}
	}
}

// recordExpiredLeases records the end of the tasks of a paused worker whose lease
// has expired: they are suspended and will be stopped before they could continue.
func (w *worker) recordExpiredLeases(now time.Time) {
	for _, t := range w.running {
		if t.leaseEnd.Before(now) {
			w.p.history.recordEnd(t, t.leaseEnd)
		}
	}
}

// endTask ends a running task and stores its result until it is acknowledged.
func (w *worker) endTask(t *task, outcome platform.Outcome, at time.Time) {
	t.updateRemaining(at)
	w.p.history.recordEnd(t, at)
	t.record.Outcome = outcome
	if outcome == platform.OutcomeSucceeded {
		delete(w.p.history.checkpoints, t.attempt.Task)
	}
	w.running = slices.DeleteFunc(w.running, func(other *task) bool { return other == t })
	w.ended = append(w.ended, platform.EndedTask{Attempt: t.attempt, Outcome: outcome, Peak: t.behavior.Usage, RunTime: at.Sub(t.startedAt)})
	w.knownTasks[t.attempt.Task] = knownTask{max(t.attempt.Attempt, w.knownTasks[t.attempt.Task].attempt), at}
	w.markChanged()
}

// acceptEpoch stores the epoch and renews the leases; it returns false and does
// nothing for an epoch lower than the highest one that the worker has seen.
func (w *worker) acceptEpoch(epoch cluster.Epoch, leaseEnd time.Time) bool {
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.markChanged()
	}
	for _, t := range w.running {
		t.leaseEnd = leaseEnd
	}
	return true
}

// setFaults changes the worker's faults at the given time, after processing the
// events that are due.
func (w *worker) setFaults(f WorkerFaults, now time.Time) {
	w.advance(now)
	before := w.faults
	if before.reachable() {
		w.lastReport = w.report(now)
	}
	if f.Dead && !before.Dead {
		for len(w.running) > 0 {
			w.endTask(w.running[0], platform.OutcomeLeaseExpired, now)
		}
	}
	if f.Paused && !before.Paused {
		w.pausedAt = now
	}
	if before.Paused && !f.Paused {
		pause := now.Sub(w.pausedAt)
		for _, t := range w.running {
			t.remainingAt = t.remainingAt.Add(pause)
		}
	}
	w.faults = f
	w.markChanged()
	w.advance(now)
}

// report returns the state of a worker that can be reached.
func (w *worker) report(now time.Time) platform.WorkerReport {
	r := platform.WorkerReport{
		Worker: w.id, Capacity: w.vm.Capacity, Place: w.vm.Place, Reachable: true, Epoch: w.epoch,
		Ended: slices.Clone(w.ended),
	}
	for _, t := range w.running {
		running := platform.RunningTask{Attempt: t.attempt, Size: t.allocated, Age: now.Sub(t.startedAt)}
		if t.usageReported {
			running.Usage = t.behavior.Usage
			running.Usage.CPU = min(running.Usage.CPU, t.allocated.CPU)
		}
		r.Running = append(r.Running, running)
	}
	return r
}

// pruneKnownTasks removes the known tasks that are not running and older than
// knownTaskTTL, because start commands for them are no longer repeated.
func (w *worker) pruneKnownTasks(now time.Time) {
	if len(w.knownTasks) < maxKnownTasks {
		return
	}
	for id, known := range w.knownTasks {
		if now.Sub(known.updatedAt) > knownTaskTTL && !slices.ContainsFunc(w.running, func(t *task) bool { return t.attempt.Task == id }) {
			delete(w.knownTasks, id)
		}
	}
}
