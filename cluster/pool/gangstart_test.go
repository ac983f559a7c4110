package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// finishTime is the time after which the platform expects that accepted work runs, as in the known deployments.
const finishTime = 14 * time.Second

// wideGang returns a job whose members take a third of a worker's memory each, on the queue whose jobs stay on time for
// the whole test.
func wideGang(id cluster.JobName, tasks int) *workload.Job {
	return &workload.Job{ID: id, Queue: testBatchQueue, Steps: []workload.Step{{
		Tasks: tasks, Size: cluster.Resources{CPU: 500, Memory: 10 * cluster.GiB}, Estimate: 4 * time.Second, Gang: true,
	}}}
}

// Guards against a gang that is stopped although all its members run, because the replies to their start requests were
// lost: the hold call that finds out is answered only after the gang has been stopped.
func TestLostStartRepliesDoNotStopGang(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	sim.submit(wideGang("0000000000000001", 22))
	sim.replyLossRate = 1
	is.True(sim.startedWithin("0000000000000001", time.Second))
	sim.replyLossRate = 0
	sim.runFor(5 * time.Second)
	state, _, _, _ := sim.owner.State("0000000000000001")
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the gang has started once
	is.Equal(sim.violations, nil)
}

// Guards against a gang that never starts because each attempt names the same worker, which answers hold calls but not
// start requests.
func TestGangAvoidsWorkerThatIgnoresStarts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 12)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	sim.workers[0].ignoresStarts = true
	sim.submit(wideGang("0000000000000001", 22)) // needs eight of the twelve workers
	sim.runFor(finishTime)
	state, _, _, _ := sim.owner.State("0000000000000001")
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.violations, nil)
}

// Guards against a gang that starts again and again because the start of one member is carried out late: the more
// members it has, the less likely is an attempt without one.
func TestWideGangStartsWhileFewStartsAreLate(t *testing.T) {
	const runs = 10
	waited := 0
	for seed := range uint64(runs) {
		is := is.New(t)
		sim := newSimulation(seed, 24)
		sim.failureRate = 0
		sim.runFor(500 * time.Millisecond)
		sim.delayRate = 0.04
		sim.submit(wideGang("0000000000000001", 44))
		sim.runFor(finishTime)
		is.Equal(sim.violations, nil)
		if state, _, _, _ := sim.owner.State("0000000000000001"); state != workload.StateCompleted {
			waited++
		}
	}
	is.New(t).Equal(waited, 0)
}

// Guards against a gang that never starts again because a worker that answers hold calls, but neither start nor stop
// requests, counts as running a member long after its start request has become invalid.
func TestGangDoesNotWaitForWorkerThatIgnoresStops(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 12)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	sim.workers[0].ignoresStarts, sim.workers[0].ignoresStops = true, true
	sim.submit(wideGang("0000000000000001", 22))
	sim.runFor(finishTime)
	state, _, _, _ := sim.owner.State("0000000000000001")
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.violations, nil)
}
