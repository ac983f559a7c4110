package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a wide gang that waits as long as narrower gangs of its team, which come later in the order of
// placement, take what becomes free of the team's limit.
func TestWideGangGetsLimitOfItsTeam(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.runFor(200 * time.Millisecond)
	const estimate = time.Second
	gang := func(id cluster.JobName, tasks int) {
		sim.submit(&workload.Job{ID: id, Steps: []workload.Step{{
			Tasks: tasks, Size: cluster.Resources{CPU: 4 * cluster.Core, Memory: cluster.GiB}, Estimate: estimate, Gang: true,
		}}})
	}
	// Three narrow gangs fill the team's limit of 24 cores at any time; half of the pool's capacity is free.
	narrow := 0
	submitNarrow := func(until time.Time) {
		for sim.now.Before(until) {
			gang(cluster.JobName(fmt.Sprintf("%016x", 0x100+narrow)), 2)
			narrow++
			sim.runFor(estimate / 4)
		}
	}
	submitNarrow(sim.now.Add(2 * estimate))
	const wide = cluster.JobName("0000000000000001")
	gang(wide, 4)
	terms := sim.jobs[wide].Terms
	submitNarrow(sim.now.Add(time.Duration(terms.Stretch*float64(estimate)) + terms.Target))
	is.Equal(sim.violations, nil)
	state, _, _, _ := sim.owner.State(wide)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a team whose work waits behind a gang that its limit holds back for good, because tasks that last use
// most of the limit.
func TestGangBehindLastingTasksReservesNoLimit(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 4, Size: limitTestSize, Estimate: time.Hour, LongRunning: true})
	is.Equal(sim.runningTasks(), 4) // 16 of the 24 cores of the limit
	submitBatch(sim, "0000000000000002", workload.Step{Tasks: 3, Size: limitTestSize, Estimate: time.Second, Gang: true})
	submitBatch(sim, "0000000000000003", workload.Step{Tasks: 2, Size: limitTestSize, Estimate: time.Second})
	sim.runFor(2 * time.Second)
	state, _, _, _ := sim.owner.State("0000000000000003")
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.violations, nil)
}

// Guards against a team whose work waits for good behind a gang that can't get capacity.
func TestGangWithoutCapacityReservesLimitForBoundedTime(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 5, Size: limitTestSize, Estimate: time.Second})
	// Only four workers have the label, and each runs at most one member.
	submitBatch(sim, "0000000000000002", workload.Step{Tasks: 5, Size: limitTestSize, Estimate: time.Second, Gang: true, Label: "r0", MaxPerWorker: 1})
	submitBatch(sim, "0000000000000003", workload.Step{Tasks: 2, Size: limitTestSize, Estimate: time.Second, Gang: true})
	sim.runFor(limitReservationTime + 2*time.Second)
	state, _, _, _ := sim.owner.State("0000000000000003")
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.violations, nil)
}

// Guards against a gang that waits while its team uses nothing of its limit, because the limit is kept for an earlier
// gang that waits for workers and not for the limit.
func TestLimitIsNotKeptForGangWithoutWorkers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 4, Size: limitTestSize, Estimate: time.Second, Label: "r1"})
	// The limit is used when the gang arrives. Then it waits for the workers with its label, which are draining.
	submitBatch(sim, "0000000000000002", workload.Step{Tasks: 4, Size: limitTestSize, Estimate: time.Second, Gang: true, Label: "r0"})
	for _, f := range sim.workers[:4] {
		f.vm.Draining = true
	}
	sim.runFor(2 * time.Second)
	is.Equal(sim.runningTasks(), 0)
	submitBatch(sim, "0000000000000003", workload.Step{Tasks: 3, Size: limitTestSize, Estimate: time.Second, Gang: true})
	is.True(sim.startedWithin("0000000000000003", 3*time.Second)) // half of the pool and the whole limit are free
	is.Equal(sim.violations, nil)
}

// Guards against a job that waits for the limit although it uses nothing of the limited resource.
func TestReservedLimitHoldsBackOnlyWhatUsesIt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 4, Size: limitTestSize, Estimate: 5 * time.Second})
	submitBatch(sim, "0000000000000002", workload.Step{Tasks: 3, Size: limitTestSize, Estimate: time.Second, Gang: true})
	submitBatch(sim, "0000000000000003", workload.Step{Tasks: 1, Size: cluster.Resources{Memory: cluster.GiB}, Estimate: time.Second})
	sim.runFor(time.Second)
	state, _, _, _ := sim.owner.State("0000000000000003")
	is.Equal(state, workload.StateCompleted)
}

// Guards against shards that block one another: a step that was released first keeps its share from the other shards,
// so a later one must not keep the limit from it.
func TestReservedLimitDoesNotHoldBackEarlierStep(t *testing.T) {
	is := is.New(t)
	sim := newShardSimulation()
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 3, Size: limitTestSize, Estimate: time.Second}) // uses the share of 12 cores
	submitBatch(sim, "0000000000000002", workload.Step{Tasks: 2, Size: limitTestSize, Estimate: time.Second, Gang: true})
	sim.submit(&workload.Job{ID: "0000000000000003", Steps: []workload.Step{{Tasks: 4, Size: limitTestSize, Estimate: 5 * time.Second, Gang: true}}})
	sim.runFor(3 * time.Second)
	state, _, _, _ := sim.owner.State("0000000000000002")
	is.Equal(state, workload.StateCompleted)
}

// limitTestSize is a sixth of the team's limit.
var limitTestSize = cluster.Resources{CPU: 4 * cluster.Core, Memory: cluster.GiB}

// submitBatch submits a job of one step to the queue whose jobs stay on time for the whole test.
func submitBatch(sim *simulation, id cluster.JobName, step workload.Step) {
	sim.submit(&workload.Job{ID: id, Queue: testBatchQueue, Steps: []workload.Step{step}})
	sim.runFor(300 * time.Millisecond)
}
