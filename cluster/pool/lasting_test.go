package pool

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
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

// lastingEnd is a case of testdata/lastingends.json: how a run of a task that lasts ends.
type lastingEnd struct {
	Name            string
	Outcome         string
	Lost, Restarted bool
}

// Guards against a task that lasts and is not started again after its run has ended, whatever the end was: a task of a gang
// or not, read by the owner of the run or by its successor.
func TestLastingTasksStartAgainAfterAnyEnd(t *testing.T) {
	data, err := os.ReadFile("testdata/lastingends.json")
	is.New(t).NoErr(err)
	var cases []lastingEnd
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		for _, gang := range []bool{false, true} {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, gang %v, takeover %v", c.Name, gang, takeover), func(t *testing.T) {
					testLastingEnd(t, c, gang, takeover)
				})
			}
		}
	}
}

func testLastingEnd(t *testing.T, c lastingEnd, gang, takeover bool) {
	t.Helper()
	is := is.New(t)
	const job, tasks = cluster.JobName("0000000000000001"), 3
	// Calm work is running again 9 s after its end, and a takeover may take 4 s.
	limit := 9 * time.Second
	if takeover {
		limit += 4 * time.Second
	}
	sim := newSimulation(1, 4)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	submitBatch(sim, job, workload.Step{Tasks: tasks, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: time.Second, LongRunning: true, Gang: gang})
	sim.runFor(2 * time.Second)
	is.Equal(sim.runningTasks(), tasks)
	first := workload.TaskID{Job: job}.String()
	f := sim.workerOf(first)
	run := f.running[first]
	outcome, ok := platform.ParseRunOutcome(c.Outcome)
	switch {
	case c.Lost:
		f.gone, f.unlisted = true, true
	case c.Restarted:
		sim.restart(f)
	case !ok:
		t.Fatalf("unknown outcome %q", c.Outcome)
	case outcome == platform.RunDone:
		sim.completeRun(first, run.run, run.gangSize)
	default:
		sim.endRun(f, first, outcome)
	}
	if takeover {
		sim.takeOver()
	}
	restarted := func() bool {
		for i := range tasks {
			w := sim.workerOf(workload.TaskID{Job: job, Index: i}.String())
			if w == nil || gang && w.running[workload.TaskID{Job: job, Index: i}.String()].run == run.run {
				return false
			}
		}
		return true
	}
	for end := sim.now.Add(limit); sim.now.Before(end) && !restarted(); {
		sim.tick()
	}
	is.True(restarted())
	is.Equal(sim.violations, nil)
}

// workerOf returns the worker that is up and runs a task, or nil.
func (sim *simulation) workerOf(task string) *fakeWorker {
	for _, f := range sim.workers {
		if !f.gone && f.running[task] != nil {
			return f
		}
	}
	return nil
}
