package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against workers that are added to a pool with a backlog and stand idle while work that fits them waits.
func TestAddedWorkersTakeWaitingWork(t *testing.T) {
	for _, c := range []struct {
		name   string
		gang   int
		advice bool
	}{{name: "single tasks"}, {name: "gangs", gang: 2}, {name: "single tasks with advice", advice: true}, {name: "gangs with advice", gang: 2, advice: true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 8)
			sim.failureRate = 0
			if c.advice {
				sim.snapshot.Queues[testQueue].Advice = &cluster.AdvicePolicy{CallDuration: 10 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: 2500 * time.Millisecond}
				sim.isPermitted = func(cluster.WorkerID) bool { return true }
			}
			sim.runFor(200 * time.Millisecond)
			for i := range 40 {
				step := workload.Step{Tasks: max(1, c.gang), Size: cluster.Resources{CPU: cluster.Core / 4, Memory: 30 * cluster.GiB}, Estimate: time.Second, Gang: c.gang > 0}
				sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", i+1)), Steps: []workload.Step{step}})
			}
			sim.runFor(time.Second)
			sim.addWorker("w8", "r2")
			sim.addWorker("w9", "r2")
			for sim.now.Sub(sim.lastListAt) != 0 {
				sim.tick()
			}
			sim.runFor(time.Second)
			for _, id := range []cluster.WorkerID{"w8", "w9"} {
				is.Equal(len(sim.findWorker(id).running), 1) // within a second of the list
			}
			is.Equal(sim.violations, nil)
		})
	}
}
