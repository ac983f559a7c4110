package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a gang that waits forever: one of its members was started on an idle worker that had left the
// platform's list while its ticket was still valid.
func TestRemovedWorkerGetsNoTasks(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3)
	sim.snapshot = cluster.Assemble(2, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second},
		// The gang misses its deadline and therefore reserves no capacity.
		&cluster.Queue{
			Name: adviceQueue, Service: testService, Rank: 1, MaxAttempts: 3, Stretch: 0.5,
			Advice: &cluster.AdvicePolicy{CallDuration: 200 * time.Millisecond, TicketTTL: time.Second},
		},
		&cluster.Team{Name: testTeam},
	})
	sim.isPermitted = func(cluster.WorkerID) bool { return true }
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	list := func(workers ...*fakeWorker) {
		sim.lastListAt = sim.now.Add(time.Hour) // replaces the periodic list
		listed := &WorkersListed{Advisors: 1}
		for _, f := range workers {
			listed.Workers = append(listed.Workers, f.vm)
		}
		sim.events = append(sim.events, listed)
	}
	kept, removed, joining := sim.workers[0], sim.workers[1], sim.workers[2]
	list(kept, removed)
	sim.runFor(500 * time.Millisecond)
	submit := func(id cluster.JobName, queue cluster.QueueName, tasks int, estimate time.Duration) {
		sim.submit(&workload.Job{ID: id, Queue: queue, Steps: []workload.Step{{
			Tasks: tasks, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: estimate, Gang: tasks > 1,
		}}})
	}
	submit("0000000000000001", adviceQueue, 2, time.Second)
	sim.runFor(100 * time.Millisecond)
	submit("0000000000000002", testQueue, 1, 500*time.Millisecond)
	sim.runFor(300 * time.Millisecond)
	is.Equal(sim.findRunning("0000000000000002.0.0.0"), kept.vm.ID)
	removed.unreachable = true
	list(kept)
	sim.runFor(500 * time.Millisecond)
	list(kept, joining)
	sim.runFor(30 * time.Second)
	is.Equal(sim.violations, nil)
	state, _, _, _ := sim.owner.State("0000000000000001")
	is.Equal(state, workload.StateCompleted)
}

// findRunning returns the worker on which a task runs; empty if there is none.
func (sim *simulation) findRunning(task string) cluster.WorkerID {
	for _, f := range sim.workers {
		if f.running[task] != nil {
			return f.vm.ID
		}
	}
	return ""
}
