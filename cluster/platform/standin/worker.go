package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// failAfter is the run time of tasks on a worker that fails all of them.
	failAfter = time.Second
	// knownFor is how long a worker refuses attempts at or below the last one it knew of a task.
	knownFor = time.Hour
	// maxKnown is the number of remembered tasks at which a worker looks for forgettable ones.
	maxKnown = 10_000
)

// worker is one worker VM; it is guarded by the platform's lock.
type worker struct {
	p      *Platform
	rack   *rack
	id     cluster.WorkerID
	vm     platform.VM
	faults WorkerFaults
	// pausedAt is when the present pause began.
	pausedAt time.Time
	epoch    cluster.Epoch
	running  []*task
	ended    []platform.EndedTask
	known    map[cluster.TaskID]knownTask
	// changed is the rack's sequence number at the last change of the worker's report.
	changed uint64
	// seen is the last report from a time when the worker could be reached.
	seen platform.WorkerReport
}

type knownTask struct {
	attempt cluster.Attempt
	at      time.Time
}

// task is an attempt that runs on a worker.
type task struct {
	attempt  cluster.AttemptID
	size     cluster.Resources
	alloc    cluster.Resources
	behavior Behavior
	started  time.Time
	// remaining is the work left at since, as time at full speed.
	remaining time.Duration
	since     time.Time
	speed     float64
	lease     time.Time
	reported  bool
	// released says that the task no longer counts as running in the history.
	released bool
	record   *AttemptRecord
}

func newWorker(p *Platform, r *rack, vm platform.VM) *worker {
	return &worker{p: p, rack: r, id: cluster.WorkerID(vm.ID), vm: vm, known: map[cluster.TaskID]knownTask{}}
}

// change puts the worker into the next reply of every cursor.
func (w *worker) change() {
	w.rack.sequence++
	w.changed = w.rack.sequence
}

func (w *worker) used() cluster.Resources {
	var sum cluster.Resources
	for _, t := range w.running {
		sum = sum.Add(t.alloc)
	}
	return sum
}

func (w *worker) find(id cluster.AttemptID) *task {
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
	eventLapse
	eventReport
)

// next returns the task's next event and its time.
func (t *task) next(usageLag time.Duration) (eventKind, time.Time) {
	kind, at := eventLapse, t.lease
	if finish, ok := t.finish(); ok && !finish.After(at) {
		kind, at = eventFinish, finish
	}
	if report := t.started.Add(usageLag); !t.reported && report.Before(at) {
		kind, at = eventReport, report
	}
	return kind, at
}

// finish returns when the task ends at its present speed; it returns false if it runs until it is stopped.
func (t *task) finish() (time.Time, bool) {
	if t.behavior.RunTime == 0 || t.speed <= 0 {
		return time.Time{}, false
	}
	return t.since.Add(time.Duration(float64(t.remaining) / t.speed)), true
}

// settle brings the remaining work up to date.
func (t *task) settle(now time.Time) {
	if t.behavior.RunTime > 0 {
		t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.since))*t.speed))
	}
	t.since = now
}

// advance lets everything happen that is due.
func (w *worker) advance(now time.Time) {
	if w.faults.Dead {
		return
	}
	if w.faults.Paused {
		w.releaseLapsed(now)
		return
	}
	for {
		var first *task
		kind, at := eventNone, now
		for _, t := range w.running {
			if k, when := t.next(w.p.faults.UsageLag); !when.After(now) && (kind == eventNone || when.Before(at)) {
				first, kind, at = t, k, when
			}
		}
		switch kind {
		case eventNone:
			return
		case eventReport:
			first.reported = true
			w.change()
		case eventFinish:
			outcome := platform.OutcomeSucceeded
			if first.behavior.Fail {
				outcome = platform.OutcomeFailed
			}
			w.end(first, outcome, at)
		case eventLapse:
			w.p.stats.LapsedLeases++
			w.end(first, platform.OutcomeLeaseLapsed, at)
		}
	}
}

// releaseLapsed takes the tasks of a paused worker whose lease has run out off
// the history: they are frozen and will be stopped before they go on.
func (w *worker) releaseLapsed(now time.Time) {
	for _, t := range w.running {
		if t.lease.Before(now) {
			w.p.history.release(t, t.lease)
		}
	}
}

func (w *worker) end(t *task, outcome platform.Outcome, at time.Time) {
	t.settle(at)
	w.p.history.release(t, at)
	t.record.Outcome = outcome
	if outcome == platform.OutcomeSucceeded {
		delete(w.p.history.checkpoints, t.attempt.Task)
	}
	w.running = slices.DeleteFunc(w.running, func(o *task) bool { return o == t })
	w.ended = append(w.ended, platform.EndedTask{Attempt: t.attempt, Outcome: outcome, Peak: t.behavior.Usage, RunTime: at.Sub(t.started)})
	w.known[t.attempt.Task] = knownTask{max(t.attempt.Attempt, w.known[t.attempt.Task].attempt), at}
	w.change()
}

// fence raises the worker's epoch and renews the leases; it returns false for an epoch lower than one seen before.
func (w *worker) fence(epoch cluster.Epoch, lease time.Time) bool {
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		w.epoch = epoch
		w.change()
	}
	for _, t := range w.running {
		t.lease = lease
	}
	return true
}

// setFaults changes the worker's settings at a time up to which it has been advanced.
func (w *worker) setFaults(f WorkerFaults, now time.Time) {
	w.advance(now)
	before := w.faults
	if before.reachable() {
		w.seen = w.report(now)
	}
	if f.Dead && !before.Dead {
		for len(w.running) > 0 {
			w.end(w.running[0], platform.OutcomeLeaseLapsed, now)
		}
	}
	if f.Paused && !before.Paused {
		w.pausedAt = now
	}
	if before.Paused && !f.Paused {
		pause := now.Sub(w.pausedAt)
		for _, t := range w.running {
			t.since = t.since.Add(pause)
		}
	}
	w.faults = f
	w.change()
	w.advance(now)
}

// report returns the state of a worker that can be reached.
func (w *worker) report(now time.Time) platform.WorkerReport {
	r := platform.WorkerReport{
		Worker: w.id, Capacity: w.vm.Capacity, Place: w.vm.Place, Reachable: true, Epoch: w.epoch,
		Ended: slices.Clone(w.ended),
	}
	for _, t := range w.running {
		running := platform.RunningTask{Attempt: t.attempt, Size: t.alloc, Age: now.Sub(t.started)}
		if t.reported {
			running.Usage = t.behavior.Usage
			running.Usage.CPU = min(running.Usage.CPU, t.alloc.CPU)
		}
		r.Running = append(r.Running, running)
	}
	return r
}

// forget drops knowledge of attempts that nobody repeats any more.
func (w *worker) forget(now time.Time) {
	if len(w.known) < maxKnown {
		return
	}
	for id, k := range w.known {
		if now.Sub(k.at) > knownFor && !slices.ContainsFunc(w.running, func(t *task) bool { return t.attempt.Task == id }) {
			delete(w.known, id)
		}
	}
}
