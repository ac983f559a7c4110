package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// newSimulationWithRun returns a simulation of two workers and the worker that runs the only task of a job. The run
// ends as done 600 ms later.
func newSimulationWithRun(is *is.I) (*simulation, *fakeWorker) {
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}})
	sim.runFor(500 * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.running) == 1 {
			return sim, f
		}
	}
	is.Fail() // the task does not run
	return nil, nil
}

const singleTaskJob = cluster.JobName("0000000000000001")

// listsEndOfTask reports whether a worker still lists the end of the run as done.
func listsEndOfTask(f *fakeWorker) bool {
	return len(f.unacknowledgedEnds) == 1 && f.unacknowledgedEnds[0].Outcome == platform.RunDone
}

// Guards against a done task that starts again because the replies of its worker are lost until the leases have expired,
// although the platform lists the worker and the worker still lists the end of the run.
func TestDoneTaskOfListedWorkerDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	f.repliesLost = true
	sim.runFor(DefaultLease + time.Second)
	is.True(listsEndOfTask(f))
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	f.repliesLost = false
	sim.runFor(DefaultLease)
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(1))
}

// Guards against a done task that starts again after a takeover because the replies of its worker are lost until the
// leases granted by the previous owner have expired.
func TestDoneTaskOfInheritedWorkerDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	f.repliesLost = true
	sim.runFor(time.Second)
	sim.takeOver()
	sim.runFor(PreviousOwnerGrace + DefaultLease + time.Second)
	is.True(listsEndOfTask(f))
	is.Equal(sim.owner.lastRunCounter, uint64(0)) // the new owner has not started the task
	f.repliesLost = false
	sim.runFor(DefaultLease)
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(0))
}

// Guards against a done task that starts again after a takeover although its worker has reported the end to the new
// owner, in replies that are always late.
func TestLateFirstReplyAfterTakeoverIsRead(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	f.repliesLate = true
	sim.runFor(300 * time.Millisecond) // the run has not ended yet
	is.Equal(len(f.running), 1)
	sim.takeOver()
	sim.runFor(PreviousOwnerGrace + DefaultLease + time.Second)
	is.Equal(sim.owner.lastRunCounter, uint64(0)) // the new owner has not started the task
	f.repliesLate = false
	sim.runFor(DefaultLease)
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(0))
}

func isReplyOf(e Event, id cluster.WorkerID) bool {
	reply, ok := e.(*HoldAnswered)
	return ok && reply.Worker == id && !reply.ReplyLost
}

// Guards against a task that runs twice at the same time after a takeover: its worker answers one hold call of the new
// owner, which has recorded it as unresponsive, and the next reply is lost while the leases of the previous owner last.
func TestAdoptedRunKeepsLeaseOfPreviousOwner(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0", "w1")
	takenOverAt := p.now
	w0 := *p.replies["w0"]
	w0.Running = []platform.TaskRun{{Task: workload.TaskID{Job: singleTaskJob}.String(), Run: 1<<runCounterBits | 1}}
	p.submit()
	p.replies["w0"] = nil
	p.runFor(500 * time.Millisecond)
	is.True(p.scheduler.workers["w0"].recordedUnresponsive)
	p.replies["w0"] = &w0
	for !slices.ContainsFunc(p.events, func(e Event) bool { return isReplyOf(e, "w0") }) {
		p.runFor(20 * time.Millisecond)
	}
	p.replies["w0"] = nil
	p.runFor(DefaultLease - p.now.Sub(takenOverAt))
	is.Equal(len(p.starts), 0) // the task may run on w0
	p.runFor(2 * time.Second)
	is.Equal(len(p.starts), 1)
}

// Guards against a task that runs twice at the same time after a takeover: a request for the earlier incarnation of its
// worker, whose clock was ahead, has granted the new one the longest lease, and the worker does not reply to the new owner.
func TestLongLeaseOfRestartedWorkerOutlastsTakeover(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.runFor(30 * time.Second)
	for _, f := range sim.workers {
		sim.owner.sendHold(sim.owner.workers[f.vm.ID], true)
		late := sim.owner.effects[len(sim.owner.effects)-1].(*SendHold)
		sim.restart(f)
		sim.hold(f, late.Request)
	}
	sim.runFor(time.Second)
	_, f := sim.submitSingleTask(time.Minute)
	is.Equal(len(f.running), 1)
	f.unreachable = true
	sim.takeOver()
	sim.runFor(2 * DefaultMaxLease)
	is.Equal(sim.violations, nil)
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started again once the lease was over
}
