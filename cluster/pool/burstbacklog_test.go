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

// burstCase is a burst of jobs on a pool of benchWorkers workers, after which the rate is the usual one.
type burstCase struct {
	Name string `json:"name"`
	// BurstRate is the rate of the burst as a multiple of benchJobRate.
	BurstRate    float64 `json:"burstRate"`
	BurstSeconds int     `json:"burstSeconds"`
	LaterSeconds int     `json:"laterSeconds"`
	// MinOnTime is the least share of the gangs that end by their deadline, among those accepted in the first half of the
	// time after the burst.
	MinOnTime float64 `json:"minOnTime"`
}

// TestBacklogOfBurstHoldsUpLaterGangs guards against an advice service that stays busy with the late steps of a burst, so
// that the gangs that arrive after it get no tickets.
func TestBacklogOfBurstHoldsUpLaterGangs(t *testing.T) {
	data, err := os.ReadFile("testdata/burstbacklog.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []burstCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			load := heavyLoad
			load.rate = c.BurstRate * benchJobRate
			p := newBenchPool(load)
			p.run(time.Duration(c.BurstSeconds) * time.Second)
			burstEnd := p.now
			p.load.rate = benchJobRate
			p.run(time.Duration(c.LaterSeconds) * time.Second)
			accepted, onTime := 0, 0
			half := burstEnd.Add(p.now.Sub(burstEnd) / 2)
			for _, j := range p.owner.jobs {
				if j.spec.Queue != benchGangQueue || j.spec.AcceptedAt.Before(burstEnd) || j.spec.AcceptedAt.After(half) {
					continue
				}
				accepted++
				if j.progress.State == workload.StateCompleted && !j.progress.EndedAt.After(p.owner.deadline(j, j.spec.AcceptedAt)) {
					onTime++
				}
			}
			t.Logf("%d of %d gangs on time", onTime, accepted)
			is.True(accepted > 0)                                     // gangs arrive after the burst
			is.True(float64(onTime) >= c.MinOnTime*float64(accepted)) // the gangs after the burst end on time
		})
	}
}

// Guards against steps beyond the weight of their team that wait for advice, one for each daemon in a pass, although the
// pool has room for all of them.
func TestSurplusStepsGetAdviceInPoolWithRoom(t *testing.T) {
	is := is.New(t)
	const jobs = 200
	sim := newAdviceSimulation(t, 50, func(cluster.WorkerID) bool { return true })
	sim.failureRate, sim.teamLimit = 0, 1000*cluster.Core
	queue := *sim.snapshot.Queues[adviceQueue]
	queue.Advice = &cluster.AdvicePolicy{CallDuration: 4 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: time.Second}
	sim.snapshot = cluster.Assemble(9, []cluster.Entity{&queue, &cluster.Team{Name: testTeam, Share: 1}})
	sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
	sim.runFor(time.Second)
	for i := range jobs {
		sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", i)), Queue: adviceQueue, Steps: []workload.Step{{
			Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: 20 * time.Second,
		}}})
	}
	sim.runFor(3 * time.Second)
	is.Equal(sim.runningTasks(), jobs)
}

// Guards against gangs that wait for advice about more workers than they need in a pool with room, and keep the advice
// service from others meanwhile.
func TestGangAsksAboutFewWorkersInPoolWithRoom(t *testing.T) {
	is := is.New(t)
	sim := newAdviceSimulation(t, 100, func(cluster.WorkerID) bool { return true })
	sim.failureRate = 0
	sim.submit(&workload.Job{ID: "0000000000000001", Queue: adviceQueue, Steps: []workload.Step{{
		Tasks: 4, Size: cluster.Resources{CPU: 8 * cluster.Core}, Estimate: 5 * time.Second, Gang: true,
	}}})
	is.True(sim.startedWithin("0000000000000001", time.Second))
	is.Equal(sim.largestAdviceRequest, int(4*adviceFactor/initialPermitShare))
}

// Guards against steps beyond the weight of their team that start no faster than the limit of unanswered start requests
// allows in one pass in 50 ms, although the workers answer earlier and the pool has room.
func TestSurplusStepsStartAsFastAsWorkersAnswer(t *testing.T) {
	is := is.New(t)
	running := func(share int) int {
		sim := newSimulation(1, 100)
		sim.failureRate, sim.teamLimit = 0, 1000*cluster.Core
		sim.snapshot = cluster.Assemble(9, []cluster.Entity{sim.snapshot.Queues[testBatchQueue], &cluster.Team{Name: testTeam, Share: share}})
		sim.events = append(sim.events, &ConfigChanged{Snapshot: sim.snapshot})
		sim.runFor(time.Second)
		sim.owner.startWindow = minStartWindow
		for i := range 700 {
			sim.submit(&workload.Job{ID: cluster.JobName(fmt.Sprintf("%016x", i)), Queue: testBatchQueue, Steps: []workload.Step{{
				Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Minute,
			}}})
		}
		sim.runFor(600 * time.Millisecond)
		return sim.runningTasks()
	}
	onTime := running(0) // no limit of jobs a second
	is.True(onTime > 0 && onTime < 700)
	is.Equal(running(1), onTime)
}
