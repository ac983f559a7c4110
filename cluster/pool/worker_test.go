package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// clock is a worker's clock, which is 2% slow.
func (w *simulation) clock(f *fakeWorker) time.Duration {
	return time.Duration(float64(w.now.Sub(f.startedAt)) * (1 - maxClockDrift))
}

// work lets the tasks of a worker run for a tick.
func (w *simulation) runTasks(f *fakeWorker) {
	if w.clock(f) > f.leaseEnd {
		// An end that is acknowledged after a lapse does not rule out another run.
		w.forgetUnacknowledged(f)
	}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		r := f.running[name]
		if r == nil {
			continue
		}
		switch {
		case w.clock(f) > f.leaseEnd:
			w.endRun(f, name, platform.RunLapsed)
		case !r.stopsAt.IsZero() && !w.now.Before(r.stopsAt):
			w.endRun(f, name, platform.RunStopped)
		case r.gangSize > 1 && w.runningMembers(name, r.run) < r.gangSize:
			if w.now.Sub(r.startedAt) > gangTimeout {
				w.endRun(f, name, platform.RunAlone)
			}
		default:
			if f.tasksStalled {
				continue
			}
			if r.remaining -= simTick; r.remaining > 0 {
				continue
			}
			if r.willFail {
				w.endRun(f, name, platform.RunFailed)
			} else {
				w.completeRun(name, r.run, r.gangSize)
			}
		}
	}
}

// present counts the members of a gang that run.
func (w *simulation) runningMembers(name string, run platform.RunNumber) int {
	id, _ := workload.ParseTaskID(name)
	n := 0
	for _, f := range w.workers {
		for other, r := range f.running {
			if o, _ := workload.ParseTaskID(other); o.Job == id.Job && o.Step == id.Step && r.run == run {
				n++
			}
		}
	}
	return n
}

// endGang ends all members of a gang as done, or a single task.
func (w *simulation) completeRun(name string, run platform.RunNumber, gang int) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range w.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if other == name || (gang > 1 && o.Job == id.Job && o.Step == id.Step && f.running[other].run == run) {
				w.endRun(f, other, platform.RunDone)
			}
		}
	}
}

func (w *simulation) endRun(f *fakeWorker, name string, how platform.RunOutcome) {
	r := f.running[name]
	delete(f.running, name)
	f.lastEndNumber++
	f.highestRun[name] = max(f.highestRun[name], r.run)
	f.unacknowledgedEnds = append(f.unacknowledgedEnds, platform.RunEnd{Number: f.lastEndNumber, Task: name, Run: r.run, Outcome: how})
	if how == platform.RunDone {
		w.doneTasks[name], w.everDoneTasks[name] = true, true
	}
	if how == platform.RunFailed {
		w.failures[name]++
	}
	if r.gangSize > 1 && how != platform.RunDone && how != platform.RunBroken {
		w.breakGang(name, r.run)
	}
}

// breakGang ends the other members of a gang.
func (w *simulation) breakGang(name string, run platform.RunNumber) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range w.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if o.Job == id.Job && o.Step == id.Step && f.running[other].run == run {
				w.endRun(f, other, platform.RunBroken)
			}
		}
	}
}

func (w *simulation) startTask(f *fakeWorker, v *SendStart) platform.StartReply {
	o := v.Order
	if o.Fence < f.fence {
		return platform.StartReply{Refusal: platform.RefusedFence}
	}
	f.fence = o.Fence
	if r := f.running[o.Task]; r != nil && r.run == o.Run {
		return platform.StartReply{Clock: w.clock(f)}
	}
	if o.Run <= f.highestRun[o.Task] {
		return platform.StartReply{Refusal: platform.RefusedOld}
	}
	if o.Until < w.clock(f) {
		return platform.StartReply{Refusal: platform.RefusedLate}
	}
	f.extendLease(w, o.Until)
	w.checkStart(f, v.Task)
	job := w.jobs[v.Task.Job]
	step := &job.Steps[v.Task.Step]
	r := &fakeRun{run: o.Run, remaining: step.Estimate, duration: step.Estimate, startedAt: w.now, size: step.Size, willFail: w.rnd.Float64() < 0.05}
	if step.Gang {
		r.gangSize = step.Tasks
	}
	f.running[o.Task] = r
	return platform.StartReply{Clock: w.clock(f)}
}

func (w *simulation) stopTask(f *fakeWorker, o platform.StopOrder) platform.StopReply {
	if o.Fence < f.fence {
		return platform.StopReply{Fenced: true}
	}
	f.fence = o.Fence
	if r := f.running[o.Task]; r != nil && r.run <= o.Run && r.stopsAt.IsZero() {
		r.stopsAt = w.now.Add(stopDuration)
	}
	f.highestRun[o.Task] = max(f.highestRun[o.Task], o.Run)
	return platform.StopReply{}
}

func (w *simulation) hold(f *fakeWorker, o platform.HoldOrder) platform.HoldReply {
	if o.Fence < f.fence {
		return platform.HoldReply{Fenced: true}
	}
	f.fence = o.Fence
	f.extendLease(w, o.Until)
	f.unacknowledgedEnds = slices.DeleteFunc(f.unacknowledgedEnds, func(e platform.RunEnd) bool { return e.Number <= o.Acknowledge })
	reply := platform.HoldReply{Incarnation: f.vm.Incarnation, Clock: w.clock(f), Ended: slices.Clone(f.unacknowledgedEnds)}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		reply.Running = append(reply.Running, platform.TaskRun{Task: name, Run: f.running[name].run, Percent: f.running[name].percent()})
	}
	return reply
}

// extend lengthens the lease, which the worker limits on its own clock.
func (f *fakeWorker) extendLease(w *simulation, until time.Duration) {
	f.leaseEnd = max(f.leaseEnd, min(until, w.clock(f)+DefaultMaxLease))
}

// reboot starts a worker anew: it knows nothing of before. Ends that were not
// acknowledged are lost, and their tasks may run again.
func (w *simulation) restart(f *fakeWorker) {
	w.forgetUnacknowledged(f)
	for _, e := range f.unacknowledgedEnds {
		if e.Outcome == platform.RunFailed {
			w.failures[e.Task]--
		}
	}
	f.running, f.highestRun, f.unacknowledgedEnds = map[string]*fakeRun{}, map[string]platform.RunNumber{}, nil
	f.fence, f.leaseEnd, f.lastEndNumber = 0, 0, 0
	f.startedAt = w.now
	f.vm.Incarnation = platform.Incarnation(w.now.UnixMilli())
}

// forget takes back the ends as done that the worker lists and nobody has acknowledged.
func (w *simulation) forgetUnacknowledged(f *fakeWorker) {
	for _, e := range f.unacknowledgedEnds {
		if e.Outcome == platform.RunDone {
			delete(w.doneTasks, e.Task)
		}
	}
}

// percent returns the progress of a run.
func (r *fakeRun) percent() int { return int(100 * (r.duration - r.remaining) / r.duration) }

func (w *simulation) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// checkStart checks a start against what the workers run and have listed.
func (w *simulation) checkStart(f *fakeWorker, id workload.TaskID) {
	name := id.String()
	job := w.jobs[id.Job]
	for _, other := range w.workers {
		if other.running[name] != nil {
			w.reportViolation("%s starts on %s while it runs on %s", name, f.vm.ID, other.vm.ID)
		}
	}
	if w.doneTasks[name] {
		w.reportViolation("%s starts after it was done", name)
	}
	if w.failures[name] >= w.maxAttempts {
		w.reportViolation("%s starts after %d failed runs", name, w.failures[name])
	}
	for _, a := range job.Steps[id.Step].After {
		for i := range job.Steps[a].Tasks {
			before := workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}.String()
			if !w.everDoneTasks[before] {
				w.reportViolation("%s starts before %s is done", name, before)
			}
		}
	}
	if most := job.Steps[id.Step].MaxPerWorker; most > 0 {
		n := 1
		for other := range f.running {
			if o, _ := workload.ParseTaskID(other); o.Job == id.Job && o.Step == id.Step {
				n++
			}
		}
		if n > most {
			w.reportViolation("%d tasks of one step on %s, at most %d are allowed", n, f.vm.ID, most)
		}
	}
}

// check checks the capacity of every worker and the limit of the team.
func (w *simulation) checkLimits() {
	var team cluster.Resources
	for _, f := range w.workers {
		var used cluster.Resources
		for _, r := range f.running {
			used = used.Add(r.size)
		}
		if !used.Fits(f.vm.Capacity) {
			w.reportViolation("%s runs %s of %s", f.vm.ID, used, f.vm.Capacity)
		}
		team = team.Add(used)
	}
	if team.CPU > testTeamLimit {
		w.reportViolation("the team runs %d of %d", team.CPU, testTeamLimit)
	}
}
