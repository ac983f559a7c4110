package pool

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// stallCase is a case of testdata/stall.json.
type stallCase struct {
	Name                          string
	DeclaredSeconds, TrueSeconds  float64
	PercentStep, MaxStops, Others int
	// Known means that the queue has done jobs that took as long as declared.
	Known bool
	// Stalls means that the worker of the first task stalls, FoundSeconds is until when that must be found.
	Stalls                           bool
	StallsAfterSeconds, FoundSeconds float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against work that is stopped as stalled for ever because it takes longer than declared or its progress is reported
// in coarse steps, and against a stalled run that is not found.
func TestRunCountsAsStalledByReportedProgress(t *testing.T) {
	data, err := os.ReadFile("testdata/stall.json")
	is.New(t).NoErr(err)
	var cases []stallCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 4)
			sim.failureRate = 0
			sim.runFor(200 * time.Millisecond)
			step := workload.Step{Tasks: 1 + c.Others, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: seconds(c.DeclaredSeconds)}
			if c.Known {
				known := step
				known.Estimate = time.Second
				submitBatch(sim, "0000000000000001", known)
				sim.runFor(2 * time.Second)
			}
			before := sim.owner.lastRunCounter
			sim.trueTime, sim.percentStep = seconds(c.TrueSeconds), max(1, c.PercentStep)
			const job = cluster.JobName("0000000000000002")
			submitBatch(sim, job, step)
			if !c.Stalls {
				sim.runFor(min(seconds(c.TrueSeconds), 2*time.Minute))
				stops := int(sim.owner.lastRunCounter-before) - step.Tasks
				is.True(stops <= c.MaxStops*step.Tasks)
				is.Equal(sim.runningTasks() > 0, c.TrueSeconds > 120)
				return
			}
			sim.runFor(seconds(c.StallsAfterSeconds))
			sim.workerOf(workload.TaskID{Job: job}.String()).tasksStalled = true
			stalled := sim.owner.jobs[job].steps[0].tasks[0].run
			sim.runFor(seconds(c.FoundSeconds))
			is.True(sim.owner.jobs[job].steps[0].tasks[0].run != stalled)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against one job that quarantines the whole pool because all its runs count as stalled.
func TestStalledJobDoesNotQuarantineAllWorkers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 16)
	sim.failureRate = 0
	sim.setLimit(0)
	sim.runFor(200 * time.Millisecond)
	sim.trueTime = time.Hour
	submitBatch(sim, "0000000000000001", workload.Step{Tasks: 16, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: time.Second})
	started := sim.owner.lastRunCounter
	for sim.owner.lastRunCounter == started {
		sim.runFor(100 * time.Millisecond) // until all runs are stopped and started again
	}
	sim.trueTime = 0
	const later = cluster.JobName("0000000000000002")
	submitBatch(sim, later, workload.Step{Tasks: 14, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second})
	is.True(sim.startedWithin(later, time.Second))
	quarantined := 0
	for _, w := range sim.owner.sortedWorkers {
		if sim.now.Before(w.quarantinedUntil) {
			quarantined++
		}
	}
	is.Equal(quarantined, 2)
	is.Equal(fmt.Sprint(sim.violations), "[]")
}
