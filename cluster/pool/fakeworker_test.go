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

// clock returns a worker's clock, which runs slow by maxClockDrift.
func (sim *simulation) clock(f *fakeWorker) time.Duration {
	return time.Duration(float64(sim.now.Sub(f.startedAt)) * (1 - maxClockDrift))
}

// runTasks advances the tasks of a worker by one tick.
func (sim *simulation) runTasks(f *fakeWorker) {
	if sim.clock(f) > f.leaseEnd {
		// A run end that is acknowledged after the lease expired does not prevent another run of the task.
		sim.forgetUnacknowledged(f)
	}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		r := f.running[name]
		if r == nil {
			continue
		}
		switch {
		case sim.clock(f) > f.leaseEnd:
			sim.endRun(f, name, platform.RunLeaseExpired)
		case !r.stopsAt.IsZero() && !sim.now.Before(r.stopsAt):
			sim.endRun(f, name, platform.RunStopped)
		case r.gangSize > 1 && sim.runningMembers(name, r.run) < r.gangSize:
			if sim.now.Sub(r.startedAt) > gangTimeout {
				sim.endRun(f, name, platform.RunGangIncomplete)
			}
		default:
			if f.tasksStalled {
				continue
			}
			if r.longRunning {
				continue
			}
			if r.remaining -= simTick; r.remaining > 0 {
				continue
			}
			if r.willFail {
				sim.endRun(f, name, platform.RunFailed)
			} else {
				sim.completeRun(name, r.run, r.gangSize)
			}
		}
	}
}

// runningMembers counts the running members of a gang.
func (sim *simulation) runningMembers(name string, run platform.RunNumber) int {
	id, _ := workload.ParseTaskID(name)
	n := 0
	for _, f := range sim.workers {
		for other, r := range f.running {
			if o, _ := workload.ParseTaskID(other); o.Job == id.Job && o.Step == id.Step && r.run == run {
				n++
			}
		}
	}
	return n
}

// completeRun ends a run as done, together with all members of its gang.
func (sim *simulation) completeRun(name string, run platform.RunNumber, gang int) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range sim.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if other == name || (gang > 1 && o.Job == id.Job && o.Step == id.Step && f.running[other].run == run) {
				sim.endRun(f, other, platform.RunDone)
			}
		}
	}
}

func (sim *simulation) endRun(f *fakeWorker, name string, outcome platform.RunOutcome) {
	r := f.running[name]
	delete(f.running, name)
	f.lastEndNumber++
	f.highestRun[name] = max(f.highestRun[name], r.run)
	f.unacknowledgedEnds = append(f.unacknowledgedEnds, platform.RunEnd{Number: f.lastEndNumber, Task: name, Run: r.run, Outcome: outcome})
	if outcome == platform.RunDone && !r.longRunning {
		sim.doneTasks[name], sim.everDoneTasks[name] = true, true
	}
	if outcome == platform.RunFailed {
		sim.failures[name]++
	}
	if r.gangSize > 1 && outcome != platform.RunDone && outcome != platform.RunGangBroken {
		sim.breakGang(name, r.run)
	}
}

// breakGang ends the remaining members of a gang after one of them ended without being done.
func (sim *simulation) breakGang(name string, run platform.RunNumber) {
	id, _ := workload.ParseTaskID(name)
	for _, f := range sim.workers {
		for _, other := range slices.Sorted(maps.Keys(f.running)) {
			o, _ := workload.ParseTaskID(other)
			if o.Job == id.Job && o.Step == id.Step && f.running[other].run == run {
				sim.endRun(f, other, platform.RunGangBroken)
			}
		}
	}
}

func (sim *simulation) startTask(f *fakeWorker, v *SendStart) platform.StartReply {
	req := v.Request
	if sim.refusalRate > 0 && sim.rnd.Float64() < sim.refusalRate {
		return platform.StartReply{Refusal: platform.RefusedUnhealthy}
	}
	if req.Fence < f.fence {
		return platform.StartReply{Refusal: platform.RefusedFence}
	}
	f.fence = req.Fence
	if r := f.running[req.Task]; r != nil && r.run == req.Run {
		return platform.StartReply{Clock: sim.clock(f)}
	}
	if req.Run <= f.highestRun[req.Task] {
		return platform.StartReply{Refusal: platform.RefusedStaleRun}
	}
	if req.Until < sim.clock(f) {
		return platform.StartReply{Refusal: platform.RefusedLeaseExpired}
	}
	if sim.advice != nil && !sim.advice.accepts(sim, f, v.Task, req.Ticket) {
		return platform.StartReply{Clock: sim.clock(f), Refusal: platform.RefusedTicket}
	}
	f.extendLease(sim, req.Until)
	sim.checkStart(f, v.Task)
	job := sim.jobs[v.Task.Job]
	step := &job.Steps[v.Task.Step]
	duration := step.Estimate
	if sim.trueTime > 0 {
		duration = sim.trueTime
	}
	r := &fakeRun{run: req.Run, remaining: duration, duration: duration, startedAt: sim.now, size: step.Size, willFail: sim.rnd.Float64() < sim.failureRate, longRunning: step.LongRunning}
	if step.Gang {
		r.gangSize = step.Tasks
	}
	f.running[req.Task] = r
	return platform.StartReply{Clock: sim.clock(f)}
}

func (sim *simulation) stopTask(f *fakeWorker, req platform.StopRequest) platform.StopReply {
	if req.Fence < f.fence {
		return platform.StopReply{Fenced: true}
	}
	f.fence = req.Fence
	if r := f.running[req.Task]; r != nil && r.run <= req.Run && r.stopsAt.IsZero() {
		r.stopsAt = sim.now.Add(stopDuration)
	}
	f.highestRun[req.Task] = max(f.highestRun[req.Task], req.Run)
	return platform.StopReply{}
}

// maxListedEnds is the number of run ends that a worker lists in a reply, the oldest first.
const maxListedEnds = 500

func (sim *simulation) hold(f *fakeWorker, req platform.HoldRequest) platform.HoldReply {
	if f.misdirected {
		return platform.HoldReply{Restarted: true}
	}
	if req.Fence < f.fence {
		return platform.HoldReply{Fenced: true}
	}
	f.fence = req.Fence
	f.extendLease(sim, req.Until)
	f.unacknowledgedEnds = slices.DeleteFunc(f.unacknowledgedEnds, func(e platform.RunEnd) bool {
		if e.Number > req.Acknowledge {
			return false
		}
		sim.checkAcknowledged(f, e)
		return true
	})
	listed := f.unacknowledgedEnds[:min(len(f.unacknowledgedEnds), sim.listedEnds)]
	reply := platform.HoldReply{Incarnation: f.vm.Incarnation, Clock: sim.clock(f), Ended: slices.Clone(listed), MoreEnds: len(listed) == sim.listedEnds}
	if len(listed) > 0 {
		f.lastListedEnd = listed[len(listed)-1].Number
	}
	for _, name := range slices.Sorted(maps.Keys(f.running)) {
		reply.Running = append(reply.Running, platform.TaskRun{Task: name, Run: f.running[name].run, Percent: f.running[name].percent() / sim.percentStep * sim.percentStep})
	}
	return reply
}

// extendLease extends the lease; the worker limits it by its own clock.
func (f *fakeWorker) extendLease(sim *simulation, until time.Duration) {
	f.leaseEnd = max(f.leaseEnd, min(until, sim.clock(f)+DefaultMaxLease))
}

// restart restarts a worker, which loses all its state. Run ends that were not acknowledged are lost, so their
// tasks may run again.
func (sim *simulation) restart(f *fakeWorker) {
	sim.forgetUnacknowledged(f)
	for _, e := range f.unacknowledgedEnds {
		if e.Outcome == platform.RunFailed {
			sim.failures[e.Task]--
		}
	}
	f.running, f.highestRun, f.unacknowledgedEnds = map[string]*fakeRun{}, map[string]platform.RunNumber{}, nil
	f.fence, f.leaseEnd, f.lastEndNumber = 0, 0, 0
	f.startedAt = sim.now
	f.vm.Incarnation = platform.Incarnation(sim.now.UnixMilli())
}

// forgetUnacknowledged removes the tasks whose run ends were not acknowledged from the done ones.
func (sim *simulation) forgetUnacknowledged(f *fakeWorker) {
	for _, e := range f.unacknowledgedEnds {
		if e.Outcome == platform.RunDone {
			delete(sim.doneTasks, e.Task)
		}
	}
}

// percent returns the progress of a run.
func (r *fakeRun) percent() int { return int(100 * (r.duration - r.remaining) / r.duration) }

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// checkStart checks that a start violates no rule, given what the workers run and have reported.
func (sim *simulation) checkStart(f *fakeWorker, id workload.TaskID) {
	name := id.String()
	job := sim.jobs[id.Job]
	for _, other := range sim.workers {
		if other.running[name] != nil {
			sim.reportViolation("%s started on %s while it runs on %s", name, f.vm.ID, other.vm.ID)
		}
	}
	if sim.doneTasks[name] {
		sim.reportViolation("%s started after it was done", name)
	}
	if sim.failures[name] >= sim.maxAttempts {
		sim.reportViolation("%s started after %d failed runs", name, sim.failures[name])
	}
	for _, a := range job.Steps[id.Step].After {
		for i := range job.Steps[a].Tasks {
			before := workload.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}.String()
			if !sim.everDoneTasks[before] {
				sim.reportViolation("%s started before %s was done", name, before)
			}
		}
	}
	if limit := job.Steps[id.Step].MaxPerWorker; limit > 0 {
		n := 1
		for other := range f.running {
			if o, _ := workload.ParseTaskID(other); o.Job == id.Job && o.Step == id.Step {
				n++
			}
		}
		if n > limit {
			sim.reportViolation("%d tasks of one step run on %s, at most %d are allowed", n, f.vm.ID, limit)
		}
	}
}

// checkAcknowledged checks that the store holds what an acknowledged end changed.
func (sim *simulation) checkAcknowledged(f *fakeWorker, e platform.RunEnd) {
	id, _ := workload.ParseTaskID(e.Task)
	job, row := sim.jobs[id.Job], sim.progress[id.Job]
	if job == nil || e.Outcome != platform.RunDone || job.Steps[id.Step].LongRunning {
		return
	}
	if row == nil || !row.State.Final() && !row.IsDone(job.TaskIndex(id)) {
		sim.reportViolation("the end of run %d of %s on %s was acknowledged before it was recorded", e.Run, e.Task, f.vm.ID)
	}
}

// checkLimits checks the capacity of every worker and the limit of the team.
func (sim *simulation) checkLimits() {
	starting := 0
	for _, w := range sim.owner.workers {
		for _, r := range w.runs {
			if r.state == runStarting {
				starting++
			}
		}
	}
	if sim.now.Equal(sim.lastListAt) {
		for id := range sim.jobs {
			state, team, queue, known := sim.owner.State(id)
			published, ok := sim.owner.Statuses().Get(id)
			if published != (JobStatus{State: state, Team: team, Queue: queue}) || ok != known {
				sim.reportViolation("job %s is %s, and published as %s", id, state, published.State)
			}
		}
	}
	if starting != sim.owner.unansweredStarts {
		sim.reportViolation("%d start requests are unanswered, the owner counts %d", starting, sim.owner.unansweredStarts)
	}
	var team cluster.Resources
	for _, f := range sim.workers {
		var used cluster.Resources
		for task, r := range f.running {
			used = used.Add(r.size)
			if id, ok := workload.ParseTaskID(task); ok && sim.jobs[id.Job] != nil && sim.jobs[id.Job].Team == testTeam {
				team = team.Add(r.size)
			}
		}
		if !used.Fits(f.vm.Capacity) {
			sim.reportViolation("tasks on %s use %s of a capacity of %s", f.vm.ID, used, f.vm.Capacity)
		}
	}
	if sim.teamLimit > 0 && team.CPU > sim.teamLimit {
		sim.reportViolation("tasks of the team use %d of a limit of %d", team.CPU, sim.teamLimit)
	}
}
