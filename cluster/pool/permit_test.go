package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// adviceJob returns a job with one step whose tasks take a whole worker each.
func adviceJob(id cluster.JobName, tasks int, gang bool) *workload.Job {
	return &workload.Job{ID: id, Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: tasks, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: 2 * time.Second, Gang: gang,
	}}}
}

// newRestartSimulation returns a simulation of one worker that loses its permits when it restarts. All workers that
// are added later are permitted.
func newRestartSimulation(t *testing.T) (sim *simulation, restart func()) {
	t.Helper()
	restarted := false
	sim = newAdviceSimulation(t, 1, func(id cluster.WorkerID) bool { return id != "w0" || !restarted })
	sim.teamLimit, sim.failureRate = 1000*cluster.Core, 0
	return sim, func() {
		restarted = true
		sim.restart(sim.workers[0])
	}
}

// Guards against a gang that never starts: it counts on a worker that is not permitted any more since its restart,
// and asks about no other worker.
func TestGangReplacesPermitOfRestartedWorker(t *testing.T) {
	is := is.New(t)
	sim, restart := newRestartSimulation(t)
	sim.submit(adviceJob("0000000000000001", 2, true))
	sim.runFor(time.Second)
	restart()
	for i := range 2 {
		sim.addWorker(cluster.WorkerID(fmt.Sprintf("new%d", i)), "r0")
		sim.runFor(2 * time.Second)
	}
	is.True(sim.startedWithin("0000000000000001", 30*time.Second)) // fits on the two new workers
}

// Guards against a task that never starts: its step asks again and again about a worker that is not permitted any
// more since its restart, and about no other worker.
func TestTaskReplacesPermitOfRestartedWorker(t *testing.T) {
	is := is.New(t)
	sim, restart := newRestartSimulation(t)
	sim.submit(adviceJob("0000000000000001", 2, false))
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 1)
	restart()
	sim.addWorker("new0", "r0")
	sim.runFor(30 * time.Second)
	is.Equal(sim.violations, nil)
	is.Equal(sim.owner.jobs["0000000000000001"].unfinishedTasks, 0)
}

// Guards against steps that never start because a gang that can't start sends a long advice request whenever none is in
// flight, or keeps the capacity of its few permitted workers reserved.
func TestLongAdviceRequestsTakeTurns(t *testing.T) {
	is := is.New(t)
	sim, restart := newRestartSimulation(t)
	queue := *sim.snapshot.Queues[adviceQueue]
	queue.Advice = &cluster.AdvicePolicy{CallDuration: 2 * longAdviceTime, PerWorker: time.Millisecond, TicketTTL: time.Second}
	sim.snapshot = cluster.Assemble(3, []cluster.Entity{&queue, sim.snapshot.Teams[testTeam]})
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	sim.submit(adviceJob("0000000000000001", 3, true))
	sim.runFor(time.Second)
	restart()
	for i := range 2 {
		sim.addWorker(cluster.WorkerID(fmt.Sprintf("new%d", i)), "r0")
		sim.runFor(2 * time.Second)
	}
	// The gang asks about its three workers again and again; only two of them are permitted.
	sim.submit(adviceJob("0000000000000002", 1, false))
	is.True(sim.startedWithin("0000000000000002", 30*time.Second))
}

// Guards against a gang that never starts after its tickets have expired, because each request renews those of the
// same workers and one request names too few for the gang.
func TestGangRenewsTicketsOfMoreWorkers(t *testing.T) {
	is := is.New(t)
	const workers = maxAdviceWorkers + 50
	sim := newAdviceSimulation(t, workers, func(cluster.WorkerID) bool { return true })
	sim.teamLimit, sim.failureRate = 2*workers*8*cluster.Core, 0
	sim.submit(adviceJob("0000000000000001", workers, false))
	sim.runFor(500 * time.Millisecond)
	gang := adviceJob("0000000000000002", maxAdviceWorkers+20, true)
	sim.submit(gang)
	is.True(sim.startedWithin(gang.ID, 30*time.Second)) // the tickets expire while the first job runs
	is.Equal(sim.violations, nil)
}

// Guards against a worker that is never asked about in its new incarnation, because the advice that was requested for
// the earlier one arrived after the restart.
func TestAdviceOfEarlierIncarnationIsNotReused(t *testing.T) {
	is := is.New(t)
	permitted := false
	sim := newAdviceSimulation(t, 1, func(cluster.WorkerID) bool { return permitted })
	queue := *sim.snapshot.Queues[adviceQueue]
	queue.Advice = &cluster.AdvicePolicy{CallDuration: 3 * time.Second, TicketTTL: time.Second}
	sim.snapshot = cluster.Assemble(3, []cluster.Entity{&queue, sim.snapshot.Teams[testTeam]})
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	sim.submit(adviceJob("0000000000000001", 1, false))
	sim.runFor(500 * time.Millisecond)
	is.Equal(sim.adviceRequests, 1)
	permitted = true
	sim.restart(sim.workers[0])
	is.True(sim.startedWithin("0000000000000001", 30*time.Second))
}

// Guards against an overdue job that never starts because tasks that last use most of a resource that it does not need.
func TestOverdueJobStartsWhileAcceleratorsAreUsed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4)
	sim.teamLimit, sim.failureRate = 1000*cluster.Core, 0
	for _, f := range sim.workers {
		f.vm.Capacity.Accelerators = 2
	}
	sim.runFor(500 * time.Millisecond)
	sim.submit(&workload.Job{ID: "0000000000000001", Steps: []workload.Step{{
		Tasks: 8, Size: cluster.Resources{CPU: cluster.Core / 10, Accelerators: 1}, Estimate: time.Hour, LongRunning: true,
	}}})
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 8)
	job := &workload.Job{ID: "0000000000000002", Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second, Gang: true,
	}}}
	sim.submit(job)
	job.AcceptedAt = sim.now.Add(-time.Minute)
	is.True(sim.startedWithin(job.ID, 30*time.Second)) // nearly all cores are free
}

// newMissingWorkerSimulation returns a simulation of two workers, of which one runs a job and the other has just been
// dropped because its entry was missing from one list. A gang holds permits for both.
func newMissingWorkerSimulation(t *testing.T, gang *workload.Job, age time.Duration) (sim *simulation, finishJob func()) {
	t.Helper()
	sim = newAdviceSimulation(t, 2, func(cluster.WorkerID) bool { return true })
	sim.teamLimit, sim.failureRate = 1000*cluster.Core, 0
	sim.submit(adviceJob("0000000000000001", 1, false))
	sim.runFor(500 * time.Millisecond)
	sim.submit(gang)
	gang.AcceptedAt = sim.now.Add(-age)
	sim.runFor(500 * time.Millisecond)
	idle, busy := sim.workers[0], sim.workers[1]
	if len(idle.running) > 0 {
		idle, busy = busy, idle
	}
	idle.unlisted = true
	for sim.owner.workers[idle.vm.ID] != nil {
		sim.tick()
	}
	idle.unlisted = false
	return sim, func() {
		for _, r := range busy.running {
			r.remaining = 0
		}
	}
}

// Guards against a gang that never runs again: a member starts on a worker that was dropped and is listed again, and
// its run is never released.
func TestGangRestartsAfterMissingListEntry(t *testing.T) {
	is := is.New(t)
	gang := adviceJob("0000000000000002", 2, true)
	sim, finishJob := newMissingWorkerSimulation(t, gang, 10*time.Minute)
	finishJob()
	sim.submit(adviceJob("0000000000000003", 1, false))
	sim.runFor(20 * time.Second)
	is.Equal(sim.violations, nil)
	is.Equal(sim.owner.jobs[gang.ID].unfinishedTasks, 0)
}

// Guards against a gang that renews its tickets without end because a permit for a dropped worker stays expired.
func TestGangDoesNotRenewTicketOfDroppedWorker(t *testing.T) {
	is := is.New(t)
	sim, _ := newMissingWorkerSimulation(t, adviceJob("0000000000000002", 2, true), 0)
	before := sim.adviceRequests
	sim.runFor(time.Second)
	is.True(sim.adviceRequests-before <= 4) // a ticket is valid for a second
}

// Guards against a gang that never starts because its permitted workers seem to suffice: its limit of tasks on a
// worker is not counted, and it does not ask about the last worker that it needs.
func TestGangWithMaxPerWorkerAsksAboutLastWorker(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 2, func(cluster.WorkerID) bool { return true })
	sim.failureRate = 0
	sim.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 3, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second, Gang: true, MaxPerWorker: 1,
	}}})
	sim.runFor(time.Second)
	sim.addWorker("new0", "r0")
	is.True(sim.startedWithin("0000000000000001", 30*time.Second))
}

// Guards against a gang that never starts because tasks that last hold most of its permitted workers, and it does not
// ask about the last free worker that it needs.
func TestGangAsksAboutLastWorkerWhilePermittedOnesAreUsed(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 4, func(cluster.WorkerID) bool { return true })
	sim.teamLimit, sim.failureRate = 1000*cluster.Core, 0
	lasting := adviceJob("0000000000000001", 3, false)
	lasting.Steps[0].Estimate, lasting.Steps[0].LongRunning = time.Hour, true
	sim.submit(lasting)
	sim.runFor(500 * time.Millisecond)
	is.Equal(sim.runningTasks(), 3)
	sim.submit(adviceJob("0000000000000002", 2, true))
	sim.runFor(time.Second)
	sim.addWorker("new0", "r0")
	is.True(sim.startedWithin("0000000000000002", 30*time.Second))
}
