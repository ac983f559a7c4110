package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// shardWorld returns a world whose owner schedules the first of two shards, with
// one team that may run 24 cores in both together.
func newShardSimulation() *simulation {
	w := newSimulation(1, 8)
	w.owner.cfg.Shards = 2
	return w
}

func multiTaskJob(id cluster.JobName, tasks int) *workload.Job {
	return &workload.Job{ID: id, Steps: []workload.Step{{
		Tasks: tasks, Size: cluster.Resources{CPU: 2 * cluster.Core, Memory: cluster.GiB}, Estimate: 5 * time.Second,
	}}}
}

func (w *simulation) runningTasks() int {
	n := 0
	for _, f := range w.workers {
		n += len(f.running)
	}
	return n
}

// Guards against a shard that starts more than its part of a team's limit, so
// that the shards together exceed it, and against one that never asks for more.
func TestShardStaysWithinItsShare(t *testing.T) {
	is := is.New(t)
	w := newShardSimulation()
	w.submit(multiTaskJob("0000000000000001", 10))
	w.runFor(time.Second)
	is.Equal(w.runningTasks(), 6)               // half of 24 cores
	is.Equal(w.requestedShares[testTeam], 3334) // the waiting four tasks as well
	w.events = append(w.events, &SharesChanged{Shares: map[cluster.TeamName]int{testTeam: 8400}})
	w.runFor(time.Second)
	is.Equal(w.runningTasks(), 10)
}

// Guards against a shard that gives away what its own tasks use or wait for.
func TestLendKeepsNeededShare(t *testing.T) {
	is := is.New(t)
	w := newShardSimulation()
	w.submit(multiTaskJob("0000000000000001", 4))
	w.runFor(time.Second)
	is.Equal(w.owner.Lend(testTeam, 9000, w.now), EqualShare(0, 2)-3334) // 8 of 24 cores are in use
	is.Equal(w.owner.Lend(testTeam, 9000, w.now), 0)
	w.submit(multiTaskJob("0000000000000002", 2))
	w.runFor(time.Second)
	is.Equal(w.runningTasks(), 4) // the second job waits for a larger share
	w.events = append(w.events, &SharesChanged{Shares: map[cluster.TeamName]int{testTeam: 5000}})
	w.runFor(simTick)
	is.Equal(w.owner.Lend(testTeam, 9000, w.now), 0) // 12 cores are in use
}

// Guards against shards that each keep their part of a limit for a gang which
// fits into the whole of it only, so that none of them ever runs.
func TestOldestStepGetsWholeLimit(t *testing.T) {
	is := is.New(t)
	w := newShardSimulation()
	gang := multiTaskJob("0000000000000001", 8)
	gang.Steps[0].Gang = true
	began := w.now
	w.submit(gang)
	w.runFor(time.Second)
	is.Equal(w.runningTasks(), 0) // 16 of 24 cores are needed, 12 are at hand
	is.Equal(w.requestedShares[testTeam], 6667-5000)
	is.Equal(w.owner.Lend(testTeam, 9000, began.Add(time.Millisecond)), 0) // the other gang is younger
	is.Equal(w.owner.Lend(testTeam, 9000, began.Add(-time.Millisecond)), 5000)
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
