package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const adviceQueue = cluster.QueueName("advised")

// adviceWorld is a world whose queue needs advice; permitted says which workers may run its steps.
func newAdviceSimulation(t *testing.T, workers int, permitted func(cluster.WorkerID) bool) *simulation {
	t.Helper()
	w := newSimulation(1, workers)
	w.snapshot = cluster.Assemble(2, []cluster.Entity{
		&cluster.Queue{
			Name: adviceQueue, Service: testService, MaxAttempts: 3, Stretch: 20, Target: 20 * time.Second,
			Advice: &cluster.AdvicePolicy{Decide: 10 * time.Millisecond, PerWorker: 100 * time.Microsecond, Valid: time.Second},
		},
		&cluster.Team{Name: testTeam},
	})
	w.isPermitted = permitted
	w.events = append(w.events, &ConfigChanged{Snapshot: w.snapshot})
	w.runFor(500 * time.Millisecond)
	return w
}

// startedBy reports whether every task of a job's first step has a run.
func (w *simulation) startedWithin(id cluster.JobName, limit time.Duration) bool {
	for end := w.now.Add(limit); w.now.Before(end); w.tick() {
		if j := w.owner.jobs[id]; j != nil && (j.unfinishedTasks == 0 || j.steps[0].pendingTasks == 0) {
			return true
		}
	}
	return false
}

// Guards against a gang that waits for ever because the workers of its first
// question are too few for it.
func TestGangRequestsAdviceOnMoreWorkers(t *testing.T) {
	is := is.New(t)
	w := newAdviceSimulation(t, 150, func(cluster.WorkerID) bool { return true })
	w.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 120, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second, Gang: true, MaxPerWorker: 1,
	}}})
	is.True(w.startedWithin("0000000000000001", 10*time.Second)) // more than the 100 workers of one question are needed
}

// Guards against a job that waits for ever because the workers that may run it
// have been replaced since it asked.
func TestJobRequestsAdviceOnReplacementWorkers(t *testing.T) {
	is := is.New(t)
	w := newAdviceSimulation(t, 4, func(cluster.WorkerID) bool { return true })
	// The pool is full, so that the job asks and waits.
	w.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: 3 * time.Second,
	}}})
	w.runFor(time.Second)
	w.submit(&workload.Job{ID: "0000000000000002", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: time.Second, Gang: true,
	}}})
	w.runFor(time.Second)
	for _, f := range w.workers {
		f.vm.Draining, f.unreachable = true, true
	}
	for _, f := range newSimulation(2, 4).workers {
		f.vm.ID, f.startedAt = "new-"+f.vm.ID, w.now
		w.workers = append(w.workers, f)
	}
	is.True(w.startedWithin("0000000000000002", 30*time.Second))
}

// Guards against questions that name more workers than the platform allows.
func TestAdviceRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newAdviceSimulation(t, 250, func(id cluster.WorkerID) bool { return id[len(id)-1]%2 == 0 })
	w.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 900, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second,
	}}})
	w.runFor(5 * time.Second)
	is.True(w.adviceRequests > 1)
	is.True(w.largestAdviceRequest <= maxAdviceWorkers)
}
