package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a wide gang that waits as long as narrower gangs of its team, which come later in the order of
// placement, take what becomes free of the team's limit.
func TestWideGangGetsLimitOfItsTeam(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8)
	sim.runFor(200 * time.Millisecond)
	const estimate = time.Second
	gang := func(id cluster.JobName, tasks int) {
		sim.submit(&workload.Job{ID: id, Steps: []workload.Step{{
			Tasks: tasks, Size: cluster.Resources{CPU: 4 * cluster.Core, Memory: cluster.GiB}, Estimate: estimate, Gang: true,
		}}})
	}
	// Three narrow gangs fill the team's limit of 24 cores at any time; half of the pool's capacity is free.
	narrow := 0
	submitNarrow := func(until time.Time) {
		for sim.now.Before(until) {
			gang(cluster.JobName(fmt.Sprintf("%016x", 0x100+narrow)), 2)
			narrow++
			sim.runFor(estimate / 4)
		}
	}
	submitNarrow(sim.now.Add(2 * estimate))
	const wide = cluster.JobName("0000000000000001")
	gang(wide, 4)
	terms := sim.jobs[wide].Terms
	submitNarrow(sim.now.Add(time.Duration(terms.Stretch*float64(estimate)) + terms.Target))
	is.Equal(sim.violations, nil)
	state, _, _, _ := sim.owner.State(wide)
	is.Equal(state, workload.StateCompleted)
}
