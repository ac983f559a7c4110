package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// requireDoneOnce checks that the task of the simulation's only job is done and was started only once.
func requireDoneOnce(is *is.I, sim *simulation) {
	is.Helper()
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
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
