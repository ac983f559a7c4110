package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a service whose replica stays away for as long as late batch work of its team waits: the replica was
// released long ago, so that it counts as later than all of that work.
func TestLostReplicaStartsBeforeLateWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	const replica = cluster.JobName("0000000000000001")
	sim.submit(&workload.Job{ID: replica, Steps: []workload.Step{{Tasks: 1, Size: limitTestSize, Estimate: 300 * time.Millisecond, LongRunning: true}}})
	sim.runFor(8 * time.Second)
	// The backlog uses the limit of the team for 20 s.
	for i := range 100 {
		sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", 0x100+i)), Steps: []workload.Step{{Tasks: 1, Size: limitTestSize, Estimate: time.Second}}})
	}
	sim.runFor(time.Second)
	for _, f := range sim.workers {
		for task := range f.running {
			if id, ok := workload.ParseTaskID(task); ok && id.Job == replica {
				f.gone, f.unlisted = true, true
			}
		}
	}
	started := sim.owner.lastRunCounter
	sim.runFor(DefaultLease + 2*time.Second)
	is.True(sim.owner.lastRunCounter > started) // the backlog goes on
	is.True(sim.isRunning(replica))
	is.Equal(sim.violations, nil)
}

// isRunning reports whether a worker that is up runs a task of a job.
func (sim *simulation) isRunning(job cluster.JobName) bool {
	for _, f := range sim.workers {
		for task := range f.running {
			if id, ok := workload.ParseTaskID(task); ok && id.Job == job && !f.gone {
				return true
			}
		}
	}
	return false
}
