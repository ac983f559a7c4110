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

// impossibleCase is a case of testdata/impossible.json: a step that no worker of the pool can run while the others that
// are submitted before it run.
type impossibleCase struct {
	Name string
	// Copies is the number of jobs with the step, one if it is zero.
	Copies int
	// Limit is the limit of the team in cores; zero if it has none.
	Limit        int64
	Before, Step stepCase
}

type stepCase struct {
	Tasks, Cores, Gibibytes, Accelerators int64
	Gang, Lasting                         bool
	Label                                 string
	MaxPerWorker                          int
}

func (c stepCase) spec() workload.Step {
	size := cluster.Resources{CPU: cluster.CPU(c.Cores) * cluster.Core, Memory: cluster.Bytes(c.Gibibytes) * cluster.GiB, Accelerators: c.Accelerators}
	return workload.Step{
		Tasks: int(c.Tasks), Size: size, Estimate: 10 * time.Second, Gang: c.Gang, LongRunning: c.Lasting, Label: c.Label, MaxPerWorker: c.MaxPerWorker,
	}
}

const otherTeam = cluster.TeamName("other")

// Guards against a step that can't start, for whatever reason, and keeps capacity or the limit of its team from all work
// that comes later: no job starts any more on idle workers.
func TestImpossibleStepHoldsNothingBack(t *testing.T) {
	data, err := os.ReadFile("testdata/impossible.json")
	is.New(t).NoErr(err)
	var cases []impossibleCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		for _, team := range []cluster.TeamName{testTeam, otherTeam} {
			t.Run(fmt.Sprint(c.Name, ", then ", team), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(1, 8)
				sim.failureRate = 0
				sim.setLimit(cluster.CPU(c.Limit) * cluster.Core)
				sim.runFor(200 * time.Millisecond)
				if c.Before.Tasks > 0 {
					submitBatch(sim, "0000000000000001", c.Before.spec())
				}
				for i := range max(1, c.Copies) {
					sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", 0x10+i)), Steps: []workload.Step{c.Step.spec()}})
				}
				for i := range 3 {
					sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", 0x100+i)), Queue: testBatchQueue, Team: team, Steps: []workload.Step{{
						Tasks: 2, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second,
					}}})
				}
				for i := range 3 {
					is.True(sim.startedWithin(cluster.JobName(fmt.Sprintf("%016x", 0x100+i)), 3*time.Second))
				}
				is.Equal(sim.violations, nil)
			})
		}
	}
}

// Guards against a step that is given up for good because no worker could run it when it was submitted.
func TestImpossibleStepStartsOnAddedWorker(t *testing.T) {
	for _, step := range []workload.Step{
		{Tasks: 2, Size: cluster.Resources{CPU: 4 * cluster.Core}, Estimate: time.Second, Label: "r9"},
		{Tasks: 2, Size: cluster.Resources{CPU: 4 * cluster.Core}, Estimate: time.Second, Label: "r9", Gang: true},
		{Tasks: 2, Size: cluster.Resources{CPU: 4 * cluster.Core}, Estimate: time.Second, Label: "r9", LongRunning: true},
		{Tasks: 10, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: time.Second, Gang: true},
	} {
		t.Run(fmt.Sprintf("%s, gang %v, lasting %v", step.Label, step.Gang, step.LongRunning), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 8)
			sim.failureRate = 0
			sim.setLimit(0)
			sim.runFor(200 * time.Millisecond)
			const waiting = cluster.JobName("0000000000000001")
			submitBatch(sim, waiting, step)
			// Later work uses the whole pool at any time.
			submitted := 0
			submitLater := func(d time.Duration) {
				for end := sim.now.Add(d); sim.now.Before(end); submitted++ {
					submitBatch(sim, cluster.JobName(fmt.Sprintf("%016x", 0x100+submitted)), workload.Step{Tasks: 32, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second})
				}
			}
			submitLater(4 * time.Second)
			is.True(sim.pendingTasks(waiting) == step.Tasks)
			sim.addWorker("w8", "r9")
			sim.addWorker("w9", "r9")
			submitLater(4 * time.Second)
			is.True(sim.pendingTasks(waiting) == 0)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against tasks that last and never start because work that comes later takes what becomes free on the workers
// that could run them.
func TestLastingTasksGetCapacityOfSuitableWorkers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.failureRate = 0
	sim.setLimit(0)
	sim.runFor(200 * time.Millisecond)
	const lasting = cluster.JobName("0000000000000001")
	later := func(i int) {
		submitBatch(sim, cluster.JobName(fmt.Sprintf("%016x", 0x100+i)), workload.Step{Tasks: 24, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second})
	}
	for i := range 8 {
		later(i)
	}
	// Four of the six tasks fit on the workers with the label.
	submitBatch(sim, lasting, workload.Step{Tasks: 6, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: time.Second, LongRunning: true, Label: "r0"})
	for i := range 12 {
		later(8 + i)
	}
	is.Equal(sim.owner.jobs[lasting].steps[0].pendingTasks, 2)
	is.Equal(sim.violations, nil)
}

// Guards against work that is stopped for a gang that can't use the workers on which it runs.
func TestGangPreemptsOnlyOnSuitableWorkers(t *testing.T) {
	for label, preempts := range map[string]bool{"none": false, "r1": true} {
		t.Run(label, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 8)
			sim.failureRate = 0
			sim.setLimit(0)
			sim.runFor(200 * time.Millisecond)
			const long = cluster.JobName("0000000000000001")
			submitBatch(sim, long, workload.Step{Tasks: 32, Size: cluster.Resources{CPU: 2 * cluster.Core}, Estimate: 8 * time.Second, Checkpoints: true})
			sim.submit(&workload.Job{ID: "0000000000000002", Steps: []workload.Step{{
				Tasks: 4, Size: cluster.Resources{CPU: 4 * cluster.Core}, Estimate: time.Second, Gang: true, Label: label,
			}}})
			sim.runFor(time.Second)
			stopped := 0
			for i, f := range sim.workers {
				runsLong := 0
				for task := range f.running {
					if id, ok := workload.ParseTaskID(task); ok && id.Job == long {
						runsLong++
					}
				}
				is.True(runsLong == 4 || i >= 4) // the workers with the label r1
				stopped += 4 - runsLong
			}
			is.Equal(stopped > 0, preempts)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against a team whose work waits in one shard because a step that can't start in another shard keeps or requests
// the team's limit there.
func TestImpossibleStepTakesNoShareOfLimit(t *testing.T) {
	for _, step := range []workload.Step{
		{Tasks: 4, Size: limitTestSize, Estimate: time.Second, Label: "none"},
		{Tasks: 4, Size: limitTestSize, Estimate: time.Second, Label: "none", Gang: true},
		{Tasks: 4, Size: limitTestSize, Estimate: time.Second, Label: "none", LongRunning: true},
		{Tasks: 4, Size: limitTestSize.Times(7), Estimate: time.Second},
		{Tasks: 7, Size: limitTestSize, Estimate: time.Second, Gang: true},
	} {
		t.Run(fmt.Sprintf("%s, %s, gang %v, lasting %v", step.Label, step.Size, step.Gang, step.LongRunning), func(t *testing.T) {
			is := is.New(t)
			sim := newShardSimulation()
			sim.failureRate = 0
			sim.runFor(200 * time.Millisecond)
			submitBatch(sim, "0000000000000001", step)
			is.Equal(sim.requestedShares[testTeam], 0)
			is.Equal(sim.owner.ReduceShare(testTeam, WholeLimit, sim.now), EqualShare(0, 2))
		})
	}
}

// setLimit replaces the limit of the team, which the other team doesn't have; zero is no limit.
func (sim *simulation) setLimit(limit cluster.CPU) {
	sim.teamLimit = limit
	sim.snapshot = cluster.Assemble(sim.snapshot.Version+1, []cluster.Entity{
		sim.snapshot.Queues[testQueue], sim.snapshot.Queues[testBatchQueue],
		&cluster.Team{Name: testTeam, Limit: cluster.Resources{CPU: limit}}, &cluster.Team{Name: otherTeam},
	})
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
}
