package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a task that starts again while it still runs: its worker had been idle for a while, so that on its slow
// clock the lease lasted longer than the next owner assumes.
func TestLeaseOfIdleWorkerEndsInTime(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.runFor(time.Minute)
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Minute}}})
	var f *fakeWorker
	for f == nil {
		sim.tick()
		f = sim.findWorker(sim.findRunning(string(singleTaskJob) + ".0.0.0"))
	}
	startedAt := sim.now
	f.unreachable = true
	sim.takeOver()
	for len(f.running) > 0 {
		sim.tick()
	}
	is.True(!sim.now.After(startedAt.Add(maxLeaseDuration(DefaultLease))))
	sim.runFor(PreviousOwnerGrace + 2*DefaultLease)
	is.Equal(sim.violations, nil)
	is.True(sim.findRunning(string(singleTaskJob)+".0.0.0") != "") // the task runs again
}
