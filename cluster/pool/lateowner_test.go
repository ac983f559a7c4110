package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// pauseOwner lets the workers continue for a time in which the owner's process does not run. The process then sees the
// timeouts of its requests before it reads the replies that have arrived meanwhile.
func (sim *simulation) pauseOwner(d time.Duration) {
	unread := sim.events
	sim.events = nil
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simTick)
		for _, f := range sim.workers {
			sim.runTasks(f)
		}
		sim.runScheduledCalls()
	}
	replies := sim.events
	sim.events = unread
	owner := sim.owner
	for _, e := range replies {
		reply, ok := e.(*HoldAnswered)
		if !ok || reply.ReplyLost {
			sim.events = append(sim.events, e)
			continue
		}
		unanswered, late := *reply, *reply
		unanswered.Reply, unanswered.ReplyLost, late.Late = platform.HoldReply{}, true, true
		sim.events = append(sim.events, &unanswered)
		sim.deliver(owner, simLatency, &late)
	}
}

// runUntilEndIsListed runs the simulation until the reply of a worker that lists the end of its run is in transit.
func (sim *simulation) runUntilEndIsListed(f *fakeWorker) {
	for f.lastListedEnd == 0 {
		sim.tick()
	}
}

// requireDoneOnce checks that the task of the simulation's only job is done and was started only once.
func requireDoneOnce(is *is.I, sim *simulation) {
	is.Helper()
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a done task that starts again because the owner's process was paused and the leases of its worker
// expired meanwhile, although the worker's reply had arrived.
func TestDoneTaskDoesNotRunAgainAfterPauseOfOwner(t *testing.T) {
	for _, pause := range []time.Duration{DefaultLease + time.Second, 3 * DefaultLease} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			sim, f := newSimulationWithRun(is)
			sim.runUntilEndIsListed(f)
			sim.pauseOwner(pause)
			sim.runFor(2 * time.Second)
			requireDoneOnce(is, sim)
		})
	}
}

// Guards against a gang that starts again although it is done, because it was being stopped when the owner's process was
// paused and the leases of its workers expired.
func TestDoneGangDoesNotRunAgainAfterPauseOfOwner(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4)
	sim.failureRate = 0
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 2, Gang: true, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: time.Second}}})
	sim.runFor(500 * time.Millisecond)
	var members []*fakeWorker
	for _, f := range sim.workers {
		if len(f.running) > 0 {
			members = append(members, f)
		}
	}
	is.Equal(len(members), 2)
	for members[0].lastListedEnd == 0 && members[1].lastListedEnd == 0 {
		sim.tick()
	}
	st := sim.owner.jobs[singleTaskJob].steps[0]
	sim.owner.abortGang(st, "test", st.taskID(0), members[0].vm.ID)
	sim.pauseOwner(3 * DefaultLease)
	sim.runFor(2 * time.Second)
	requireDoneOnce(is, sim)
}

// Guards against a live worker that counts as dead because the list of workers could not be read: its done task starts
// again although its replies are only late.
func TestUnreadListDoesNotShowThatWorkerIsDead(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	f.repliesLost = true
	sim.lastListAt = sim.now.Add(time.Hour) // no list is read
	sim.runFor(DefaultLease + time.Second)
	is.True(listsEndOfTask(f))
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	f.repliesLost = false
	sim.runFor(DefaultLease)
	requireDoneOnce(is, sim)
}

// Guards against a live worker that counts as dead because it could not write its heartbeats while the store was down.
func TestOutageOfStoreDoesNotShowThatWorkerIsDead(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	f.repliesLost = true
	sim.lastListAt = sim.now.Add(time.Hour) // no list is read
	sim.runFor(DefaultLease + time.Second)
	list := &WorkersListed{Advisors: 1}
	for _, f := range sim.workers {
		list.Workers = append(list.Workers, f.vm)
	}
	sim.events = append(sim.events, list) // without a heartbeat
	sim.runFor(time.Second)
	is.True(listsEndOfTask(f))
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	f.repliesLost = false
	sim.runFor(DefaultLease)
	requireDoneOnce(is, sim)
}

// Guards against a worker that counts as restarted because the reply to a start request is read late.
func TestClockInLateReplyDoesNotShowRestart(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	sim.failureRate = 0
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Minute}}})
	sim.runFor(100 * time.Millisecond)
	f := sim.workers[0]
	w := sim.owner.workers[f.vm.ID]
	is.Equal(len(w.runs), 1)
	for _, r := range w.runs {
		sim.deliver(sim.owner, 3*time.Second, &StartAnswered{
			Task: r.id, Run: r.number, Worker: f.vm.ID, Fence: r.start.Request.Fence, Reply: platform.StartReply{Clock: sim.clock(f)},
		})
	}
	for range 700 {
		sim.tick()
		is.True(w.inSync)
	}
}

// Guards against a done task that starts again after a takeover because the shard is loaded so slowly that the leases
// granted by the previous owner have expired before the new owner has called a worker.
func TestDoneTaskDoesNotRunAgainAfterSlowLoad(t *testing.T) {
	is := is.New(t)
	sim, f := newSimulationWithRun(is)
	sim.runUntilEndIsListed(f)
	sim.takeOver()
	sim.pauseOwner(PreviousOwnerGrace + 2*DefaultLease)
	f.repliesLate = true // the other worker replies first
	sim.runFor(2 * DefaultLease)
	is.Equal(sim.owner.lastRunCounter, uint64(0)) // the new owner has not started the task
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
}

// Guards against an entry of a worker that never replies and that delays each takeover as long as a worker that may
// reply.
func TestUnresponsiveWorkerDelaysLaterTakeoversBriefly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4)
	sim.addWorker("odd", "r9")
	odd := sim.findWorker("odd")
	odd.unreachable = true
	odd.vm.EntryVersion = 1
	for range 3 {
		sim.runFor(MaxClockSkew + 2*endReportWait)
		sim.takeOver()
		sim.runFor(time.Second)
		is.True(sim.owner.takeoverComplete)
	}
}
