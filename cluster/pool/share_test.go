package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// newShardSimulation returns a simulation whose owner schedules the first of two shards. The only team may use
// 24 cores in both shards together.
func newShardSimulation() *simulation {
	sim := newSimulation(1, 8)
	sim.owner.cfg.Shards = 2
	return sim
}

func multiTaskJob(id cluster.JobName, tasks int) *workload.Job {
	return &workload.Job{ID: id, Steps: []workload.Step{{
		Tasks: tasks, Size: cluster.Resources{CPU: 2 * cluster.Core, Memory: cluster.GiB}, Estimate: 5 * time.Second,
	}}}
}

func (sim *simulation) runningTasks() int {
	n := 0
	for _, f := range sim.workers {
		n += len(f.running)
	}
	return n
}

// Guards against a shard that exceeds its share of a team's limit, so that the shards together exceed the
// limit, and against a shard that never requests a larger share.
func TestShardStaysWithinItsShare(t *testing.T) {
	is := is.New(t)
	sim := newShardSimulation()
	sim.submit(multiTaskJob("0000000000000001", 10))
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 6)               // half of 24 cores
	is.Equal(sim.requestedShares[testTeam], 3334) // includes the four pending tasks
	sim.events = append(sim.events, &SharesChanged{Shares: map[cluster.TeamName]int{testTeam: 8400}})
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 10)
}

// Guards against a shard that gives up a share that its own tasks use or wait for.
func TestReduceShareKeepsNeededShare(t *testing.T) {
	is := is.New(t)
	sim := newShardSimulation()
	sim.submit(multiTaskJob("0000000000000001", 4))
	sim.runFor(time.Second)
	is.Equal(sim.owner.ReduceShare(testTeam, 9000, sim.now), EqualShare(0, 2)-3334) // 8 of 24 cores are in use
	is.Equal(sim.owner.ReduceShare(testTeam, 9000, sim.now), 0)
	sim.submit(multiTaskJob("0000000000000002", 2))
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 4) // the second job waits for a larger share
	sim.events = append(sim.events, &SharesChanged{Shares: map[cluster.TeamName]int{testTeam: 5000}})
	sim.runFor(simTick)
	is.Equal(sim.owner.ReduceShare(testTeam, 9000, sim.now), 0) // 12 cores are in use
}

// Guards against a deadlock of gangs in different shards: each shard keeps its share of a limit for a gang that
// needs the whole limit, so that no gang ever runs.
func TestOldestStepGetsWholeLimit(t *testing.T) {
	is := is.New(t)
	sim := newShardSimulation()
	gang := multiTaskJob("0000000000000001", 8)
	gang.Steps[0].Gang = true
	submittedAt := sim.now
	sim.submit(gang)
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 0) // 16 of 24 cores are needed, 12 are available to this shard
	is.Equal(sim.requestedShares[testTeam], 6667-5000)
	is.Equal(sim.owner.ReduceShare(testTeam, 9000, submittedAt.Add(time.Millisecond)), 0) // the other gang was released later
	is.Equal(sim.owner.ReduceShare(testTeam, 9000, submittedAt.Add(-time.Millisecond)), 5000)
}

// Guards against equal shares that do not add up to the limit.
func TestEqualSharesAddUp(t *testing.T) {
	is := is.New(t)
	for shards := 1; shards <= 64; shards++ {
		sum := 0
		for i := range shards {
			sum += EqualShare(i, shards)
		}
		is.Equal(sum, WholeLimit)
	}
}
