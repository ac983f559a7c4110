package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const adviceQueue = cluster.QueueName("advised")

// newAdviceSimulation returns a simulation whose queue has an advice policy; permitted reports which workers may
// run its steps.
func newAdviceSimulation(t *testing.T, workers int, permitted func(cluster.WorkerID) bool) *simulation {
	t.Helper()
	sim := newSimulation(1, workers)
	sim.snapshot = cluster.Assemble(2, []cluster.Entity{
		&cluster.Queue{
			Name: adviceQueue, Service: testService, MaxAttempts: 3, Stretch: 20, Target: 20 * time.Second,
			Advice: &cluster.AdvicePolicy{CallDuration: 10 * time.Millisecond, PerWorker: 100 * time.Microsecond, TicketTTL: time.Second},
		},
		&cluster.Team{Name: testTeam},
	})
	sim.isPermitted = permitted
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	sim.runFor(500 * time.Millisecond)
	return sim
}

// startedWithin reports whether every task of a job's first step has a run before the limit has passed.
func (sim *simulation) startedWithin(id cluster.JobName, limit time.Duration) bool {
	for end := sim.now.Add(limit); sim.now.Before(end); sim.tick() {
		if j := sim.owner.jobs[id]; j != nil && (j.unfinishedTasks == 0 || j.steps[0].pendingTasks == 0) {
			return true
		}
	}
	return false
}

// Guards against a gang that waits forever because the workers of its first advice request are too few for it.
func TestGangRequestsAdviceOnMoreWorkers(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 150, func(cluster.WorkerID) bool { return true })
	sim.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 120, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second, Gang: true, MaxPerWorker: 1,
	}}})
	is.True(sim.startedWithin("0000000000000001", 10*time.Second)) // needs more than the 100 workers of one advice request
}

// Guards against a job that waits forever because the workers that may run it were replaced after its advice
// request.
func TestJobRequestsAdviceOnReplacementWorkers(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 4, func(cluster.WorkerID) bool { return true })
	// The pool is fully used, so that the second job requests advice and waits.
	sim.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: 3 * time.Second,
	}}})
	sim.runFor(time.Second)
	sim.submit(&workload.Job{ID: "0000000000000002", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: time.Second, Gang: true,
	}}})
	sim.runFor(time.Second)
	for _, f := range sim.workers {
		f.vm.Draining, f.unreachable = true, true
	}
	for _, f := range newSimulation(2, 4).workers {
		f.vm.ID, f.startedAt = "new-"+f.vm.ID, sim.now
		sim.workers = append(sim.workers, f)
	}
	is.True(sim.startedWithin("0000000000000002", 30*time.Second))
}

// Guards against advice requests that name more workers than the platform allows.
func TestAdviceRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 250, func(id cluster.WorkerID) bool { return id[len(id)-1]%2 == 0 })
	sim.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 900, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second,
	}}})
	sim.runFor(5 * time.Second)
	is.True(sim.adviceRequests > 1)
	is.True(sim.largestAdviceRequest <= maxAdviceWorkers)
}
