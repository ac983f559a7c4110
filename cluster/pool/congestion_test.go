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

// overload is the load of testdata/overload.json.
type overload struct {
	Workers            int `json:"workers"`
	Zones              int `json:"zones"`
	LinkBytesPerSecond int `json:"linkBytesPerSecond"`
	Phases             []struct {
		Name          string `json:"name"`
		Seconds       int    `json:"seconds"`
		JobsPerSecond int    `json:"jobsPerSecond"`
		// MinDoneShare is the share of the phase's jobs that must be done at its end.
		MinDoneShare float64 `json:"minDoneShare"`
	} `json:"phases"`
}

// Guards against an owner whose full link is taken for ill workers: the calls that get no reply in time are repeated,
// and the workers quarantined, so that less and less work is done and the pool does not recover when the load falls.
func TestFullLinkDoesNotStopPool(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/overload.json")
	is.NoErr(err)
	var load overload
	is.NoErr(json.Unmarshal(data, &load))
	sim := newSimulation(1, load.Workers)
	for i, f := range sim.workers {
		f.vm.Zone = cluster.Zone(fmt.Sprintf("z%d", i%load.Zones))
	}
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	sim.linkRate = load.LinkBytesPerSecond
	jobs := 0
	for _, phase := range load.Phases {
		first := jobs
		for range phase.Seconds * phase.JobsPerSecond {
			jobs++
			sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", jobs)), Steps: []workload.Step{{
				Tasks: 1, Size: cluster.Resources{CPU: cluster.Core / 4, Memory: 4 * cluster.GiB}, Estimate: 300 * time.Millisecond,
			}}})
			sim.runFor(time.Second / time.Duration(phase.JobsPerSecond))
		}
		sim.runFor(time.Second)
		done := 0
		for i := first + 1; i <= jobs; i++ {
			if state, _, _, _ := sim.owner.State(cluster.JobName(fmt.Sprintf("%016x", i))); state == workload.StateCompleted {
				done++
			}
		}
		t.Logf("%s: %d of %d jobs done, window %d", phase.Name, done, jobs-first, sim.owner.startWindow)
		is.True(float64(done) >= phase.MinDoneShare*float64(jobs-first))
	}
	for _, w := range sim.owner.sortedWorkers {
		is.True(w.quarantinedUntil.IsZero()) // no worker is at fault
	}
	is.Equal(sim.violations, nil)
}

// Guards against a failure of some workers, or of some zones, that is taken for a congestion of the owner, so that
// healthy workers get less work.
func TestFailureOfZoneIsNoCongestion(t *testing.T) {
	for _, c := range []struct {
		name      string
		zones     map[cluster.Zone]zoneCalls
		congested bool
	}{
		{name: "no calls"},
		{name: "all in time", zones: map[cluster.Zone]zoneCalls{"a": {called: 40}, "b": {called: 40}}},
		{name: "one zone away", zones: map[cluster.Zone]zoneCalls{"a": {40, 40}, "b": {40, 0}, "c": {40, 1}}},
		{name: "one region away", zones: map[cluster.Zone]zoneCalls{"a": {40, 40}, "b": {40, 40}, "c": {40, 0}, "d": {40, 1}}},
		{name: "few ill workers", zones: map[cluster.Zone]zoneCalls{"a": {40, 6}, "b": {40, 7}, "c": {40, 5}}},
		{name: "few calls", zones: map[cluster.Zone]zoneCalls{"a": {3, 3}, "b": {4, 4}}},
		{name: "all zones alike", zones: map[cluster.Zone]zoneCalls{"a": {40, 20}, "b": {40, 15}, "c": {40, 39}}, congested: true},
		{name: "single zone", zones: map[cluster.Zone]zoneCalls{"a": {40, 30}}, congested: true},
		{name: "single zone with ill workers", zones: map[cluster.Zone]zoneCalls{"a": {40, 15}}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(isCongested(c.zones), c.congested) })
	}
}
