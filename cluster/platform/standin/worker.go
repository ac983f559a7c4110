package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// failAfter is the run time of tasks on a worker that fails all of them.
	failRunTime = time.Second
	// knownFor is how long a worker refuses attempts at or below the last one it knew of a task.
	knownTaskTTL = time.Hour
	// maxKnown is the number of remembered tasks at which a worker looks for forgettable ones.
	maxKnownTasks = 10_000
)

// worker is one worker VM; it is guarded by the platform's lock.
type worker struct {
	p      *Platform
	rack   *rack
	id     cluster.WorkerID
	vm     platform.VM
	faults WorkerFaults
	// pausedAt is when the present pause began.
	pausedAt   time.Time
	epoch      cluster.Epoch
	running    []*task
	ended      []platform.EndedTask
	knownTasks map[cluster.TaskID]knownTask
	// changed is the rack's sequence number at the last change of the worker's report.
	changedSequence uint64
	// seen is the last report from a time when the worker could be reached.
	lastReport platform.WorkerReport
}

type knownTask struct {
	attempt   cluster.Attempt
	updatedAt time.Time
}

// task is an attempt that runs on a worker.
type task struct {
	attempt   cluster.AttemptID
	size      cluster.Resources
	allocated cluster.Resources
	behavior  Behavior
	startedAt time.Time
	// remaining is the work left at since, as time at full speed.
	remaining     time.Duration
	remainingAt   time.Time
	speed         float64
	leaseEnd      time.Time
	usageReported bool
	// released says that the task no longer counts as running in the history.
	endRecorded bool
	record      *AttemptRecord
}

func newWorker(p *Platform, r *rack, vm platform.VM) *worker {
	return &worker{p: p, rack: r, id: cluster.WorkerID(vm.ID), vm: vm, knownTasks: map[cluster.TaskID]knownTask{}}
}

// change puts the worker into the next reply of every cursor.
func (w *worker) markChanged() {
	w.rack.sequence++
	w.changedSequence = w.rack.sequence
}

func (w *worker) allocated() cluster.Resources {
	var sum cluster.Resources
	for _, t := range w.running {
		sum = sum.Add(t.allocated)
	}
	return sum
}

func (w *worker) findTask(id cluster.AttemptID) *task {
	for _, t := range w.running {
		if t.attempt == id {
			return t
		}
	}
	return nil
}

// eventKind is what happens to a task by itself.
type eventKind int

const (
	eventNone eventKind = iota
	eventFinish
	eventLeaseExpiry
	eventUsageReport
)

// next returns the task's next event and its time.
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

// finish returns when the task ends at its present speed; it returns false if it runs until it is stopped.
func (t *task) finishTime() (time.Time, bool) {
	if t.behavior.RunTime == 0 || t.speed <= 0 {
		return time.Time{}, false
	}
	return t.remainingAt.Add(time.Duration(float64(t.remaining) / t.speed)), true
}

// settle brings the remaining work up to date.
func (t *task) updateRemaining(now time.Time) {
	if t.behavior.RunTime > 0 {
		t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.remainingAt))*t.speed))
	}
	t.remainingAt = now
}

// advance lets everything happen that is due.
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
			w.endTask(next, platform.OutcomeLeaseLapsed, nextAt)
		}
	}
}

// releaseLapsed takes the tasks of a paused worker whose lease has run out off
// the history: they are frozen and will be stopped before they go on.
func (w *worker) recordExpiredLeases(now time.Time) {
	for _, t := range w.running {
		if t.leaseEnd.Before(now) {
			w.p.history.recordEnd(t, t.leaseEnd)
		}
	}
}

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

// fence raises the worker's epoch and renews the leases; it returns false for an epoch lower than one seen before.
func (w *worker) acceptEpoch(epoch cluster.Epoch, lease time.Time) bool {
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.markChanged()
	}
	for _, t := range w.running {
		t.leaseEnd = lease
	}
	return true
}

// setFaults changes the worker's settings at a time up to which it has been advanced.
func (w *worker) setFaults(f WorkerFaults, now time.Time) {
	w.advance(now)
	before := w.faults
	if before.reachable() {
		w.lastReport = w.report(now)
	}
	if f.Dead && !before.Dead {
		for len(w.running) > 0 {
			w.endTask(w.running[0], platform.OutcomeLeaseLapsed, now)
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

// forget drops knowledge of attempts that nobody repeats any more.
func (w *worker) pruneKnownTasks(now time.Time) {
	if len(w.knownTasks) < maxKnownTasks {
		return
	}
	for id, k := range w.knownTasks {
		if now.Sub(k.updatedAt) > knownTaskTTL && !slices.ContainsFunc(w.running, func(t *task) bool { return t.attempt.Task == id }) {
			delete(w.knownTasks, id)
		}
	}
}
