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
func (w *world) clock(f *fakeWorker) time.Duration {
	return time.Duration(float64(w.now.Sub(f.booted)) * (1 - drift))
}

// work lets the tasks of a worker run for a tick.
func (w *world) work(f *fakeWorker) {
	if w.clock(f) > f.until {
		// An end that is acknowledged after a lapse does not rule out another run.
		w.forget(f)
	}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		r := f.running[name]
		if r == nil {
			continue
		}
		switch {
		case w.clock(f) > f.until:
			w.end(f, name, platform.RunLapsed)
		case !r.stopping.IsZero() && !w.now.Before(r.stopping):
			w.end(f, name, platform.RunStopped)
		case r.gang > 1 && w.present(name, r.run) < r.gang:
			if w.now.Sub(r.arrived) > gangTimeout {
				w.end(f, name, platform.RunAlone)
			}
		default:
			if f.hung {
				continue
			}
			if r.left -= worldTick; r.left > 0 {
				continue
			}
			if r.fails {
				w.end(f, name, platform.RunFailed)
			} else {
				w.endGang(name, r.run, r.gang)
			}
		}
	}
}

// present counts the members of a gang that run.
func (w *world) present(name string, run platform.RunNumber) int {
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
func (w *world) endGang(name string, run platform.RunNumber, gang int) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range w.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if other == name || (gang > 1 && o.Job == id.Job && o.Step == id.Step && f.running[other].run == run) {
				w.end(f, other, platform.RunDone)
			}
		}
	}
}

func (w *world) end(f *fakeWorker, name string, how platform.RunOutcome) {
	r := f.running[name]
	delete(f.running, name)
	f.number++
	f.highest[name] = max(f.highest[name], r.run)
	f.ended = append(f.ended, platform.RunEnd{Number: f.number, Task: name, Run: r.run, Outcome: how})
	if how == platform.RunDone {
		w.done[name], w.finished[name] = true, true
	}
	if how == platform.RunFailed {
		w.failures[name]++
	}
	if r.gang > 1 && how != platform.RunDone && how != platform.RunBroken {
		w.breakGang(name, r.run)
	}
}

// breakGang ends the other members of a gang.
func (w *world) breakGang(name string, run platform.RunNumber) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range w.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if o.Job == id.Job && o.Step == id.Step && f.running[other].run == run {
				w.end(f, other, platform.RunBroken)
			}
		}
	}
}

func (w *world) start(f *fakeWorker, v *SendStart) platform.StartReply {
	o := v.Order
	if o.Fence < f.fence {
		return platform.StartReply{Refusal: platform.RefusedFence}
	}
	f.fence = o.Fence
	if r := f.running[o.Task]; r != nil && r.run == o.Run {
		return platform.StartReply{Clock: w.clock(f)}
	}
	if o.Run <= f.highest[o.Task] {
		return platform.StartReply{Refusal: platform.RefusedOld}
	}
	if o.Until < w.clock(f) {
		return platform.StartReply{Refusal: platform.RefusedLate}
	}
	f.extend(w, o.Until)
	w.checkStart(f, v.Task)
	job := w.jobs[v.Task.Job]
	step := &job.Steps[v.Task.Step]
	r := &fakeRun{run: o.Run, left: step.Estimate, total: step.Estimate, arrived: w.now, size: step.Size, fails: w.rnd.Float64() < 0.05}
	if step.Gang {
		r.gang = step.Tasks
	}
	f.running[o.Task] = r
	return platform.StartReply{Clock: w.clock(f)}
}

func (w *world) stop(f *fakeWorker, o platform.StopOrder) platform.StopReply {
	if o.Fence < f.fence {
		return platform.StopReply{Fenced: true}
	}
	f.fence = o.Fence
	if r := f.running[o.Task]; r != nil && r.run <= o.Run && r.stopping.IsZero() {
		r.stopping = w.now.Add(stopTakes)
	}
	f.highest[o.Task] = max(f.highest[o.Task], o.Run)
	return platform.StopReply{}
}

func (w *world) hold(f *fakeWorker, o platform.HoldOrder) platform.HoldReply {
	if o.Fence < f.fence {
		return platform.HoldReply{Fenced: true}
	}
	f.fence = o.Fence
	f.extend(w, o.Until)
	f.ended = slices.DeleteFunc(f.ended, func(e platform.RunEnd) bool { return e.Number <= o.Acknowledge })
	reply := platform.HoldReply{Incarnation: f.vm.Incarnation, Clock: w.clock(f), Ended: slices.Clone(f.ended)}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		reply.Running = append(reply.Running, platform.TaskRun{Task: name, Run: f.running[name].run, Percent: f.running[name].percent()})
	}
	return reply
}

// extend lengthens the lease, which the worker limits on its own clock.
func (f *fakeWorker) extend(w *world, until time.Duration) {
	f.until = max(f.until, min(until, w.clock(f)+DefaultMaxLease))
}

// reboot starts a worker anew: it knows nothing of before. Ends that were not
// acknowledged are lost, and their tasks may run again.
func (w *world) reboot(f *fakeWorker) {
	w.forget(f)
	for _, e := range f.ended {
		if e.Outcome == platform.RunFailed {
			w.failures[e.Task]--
		}
	}
	f.running, f.highest, f.ended = map[string]*fakeRun{}, map[string]platform.RunNumber{}, nil
	f.fence, f.until, f.number = 0, 0, 0
	f.booted = w.now
	f.vm.Incarnation = platform.Incarnation(w.now.UnixMilli())
}

// forget takes back the ends as done that the worker lists and nobody has acknowledged.
func (w *world) forget(f *fakeWorker) {
	for _, e := range f.ended {
		if e.Outcome == platform.RunDone {
			delete(w.done, e.Task)
		}
	}
}

// percent returns the progress of a run.
func (r *fakeRun) percent() int { return int(100 * (r.total - r.left) / r.total) }

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// checkStart checks a start against what the workers run and have listed.
func (w *world) checkStart(f *fakeWorker, id workload.TaskID) {
	name := id.String()
	job := w.jobs[id.Job]
	for _, other := range w.workers {
		if other.running[name] != nil {
			w.violate("%s starts on %s while it runs on %s", name, f.vm.ID, other.vm.ID)
		}
	}
	if w.done[name] {
		w.violate("%s starts after it was done", name)
	}
	if w.failures[name] >= w.attempts {
		w.violate("%s starts after %d failed runs", name, w.failures[name])
	}
	for _, a := range job.Steps[id.Step].After {
		for i := range job.Steps[a].Tasks {
			before := workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}.String()
			if !w.finished[before] {
				w.violate("%s starts before %s is done", name, before)
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
			w.violate("%d tasks of one step on %s, at most %d are allowed", n, f.vm.ID, most)
		}
	}
}

// check checks the capacity of every worker and the limit of the team.
func (w *world) check() {
	var team cluster.Resources
	for _, f := range w.workers {
		var used cluster.Resources
		for _, r := range f.running {
			used = used.Add(r.size)
		}
		if !used.Fits(f.vm.Capacity) {
			w.violate("%s runs %s of %s", f.vm.ID, used, f.vm.Capacity)
		}
		team = team.Add(used)
	}
	if team.CPU > worldLimit {
		w.violate("the team runs %d of %d", team.CPU, worldLimit)
	}
}
