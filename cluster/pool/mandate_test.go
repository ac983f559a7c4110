package pool

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// mandateCase is a case of testdata/mandate.json. Times are in seconds after the claim.
type mandateCase struct {
	Name        string
	Now         float64
	ConfirmedAt []float64
	// Claimants are those at the confirmations, Returns replaces them afterwards.
	Claimants, Returns []heardCase
	Holds, Confirms    bool
}

// heardCase is a claimant; it has heard nothing if Until is zero.
type heardCase struct {
	VM                         string
	Since, Until               float64
	EarlierSince, EarlierUntil float64
}

// Guards against an owner that starts tasks or renews leases while its successor counts it as stopped, and against one that
// stops although no other daemon can have claimed its shard.
func TestMandateHoldsWhileNoSuccessorCountsOwnerAsStopped(t *testing.T) {
	data, err := os.ReadFile("testdata/mandate.json")
	is.New(t).NoErr(err)
	var cases []mandateCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	claimedAt := time.Unix(1_800_000_000, 0)
	at := func(seconds float64) time.Time { return claimedAt.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			m := NewMandate(claimedAt)
			list := func(heard []heardCase) []Claimant {
				var claimants []Claimant
				for _, h := range heard {
					claimant := Claimant{VM: h.VM}
					if h.Until != 0 {
						claimant.Heard = HeardSpan{Since: at(h.Since), Until: at(h.Until)}
					}
					if h.EarlierUntil != 0 {
						claimant.Heard.EarlierSince, claimant.Heard.EarlierUntil = at(h.EarlierSince), at(h.EarlierUntil)
					}
					claimants = append(claimants, claimant)
				}
				return claimants
			}
			claimants := list(c.Claimants)
			for _, confirmedAt := range c.ConfirmedAt {
				m.Confirm(at(confirmedAt), claimants)
			}
			if c.Returns != nil {
				claimants = list(c.Returns)
			}
			is.Equal(m.Holds(at(c.Now), claimants), c.Holds)
			is.Equal(m.ShouldConfirm(at(c.Now), claimants), c.Confirms)
			is.True(!m.ShouldConfirm(at(c.Now), claimants)) // the read is in flight
		})
	}
}

// Guards against a claimant that counts as having heard the owner all the time although it was silent for long enough to
// claim the shard.
func TestSilenceEndsHeardSpan(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	span := HeardSpan{}.Extend(start).Extend(start.Add(time.Second)).Extend(start.Add(2500 * time.Millisecond))
	is.Equal(span, HeardSpan{Since: start, Until: start.Add(2500 * time.Millisecond)})
	is.Equal(span.Extend(start.Add(time.Second)), span) // a late ping
	again := start.Add(2500*time.Millisecond + ClaimAfter)
	is.Equal(span.Extend(again), HeardSpan{Since: again, Until: again, EarlierSince: span.Since, EarlierUntil: span.Until})
}

// Guards against an owner without a mandate that starts a task, repeats a start request or renews a lease, and against one
// that does not go on once it has a mandate again.
func TestSuspendedOwnerStartsAndRenewsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.runFor(200 * time.Millisecond)
	const running, later = cluster.JobName("0000000000000001"), cluster.JobName("0000000000000002")
	step := workload.Step{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Minute}
	submitBatch(sim, running, step)
	sim.runFor(time.Second)
	is.Equal(sim.runningTasks(), 1)
	for _, f := range sim.workers {
		f.startFaults = []startFault{{replyLost: true}}
	}
	submitBatch(sim, later, step) // its start gets no reply
	sim.events = append(sim.events, &MandateChanged{Holds: false})
	sim.runFor(simTick)
	var leases []time.Duration
	for _, f := range sim.workers {
		leases = append(leases, f.leaseEnd)
	}
	started := sim.owner.lastRunCounter
	sim.runFor(2 * time.Second)
	for i, f := range sim.workers {
		is.Equal(f.leaseEnd, leases[i])
	}
	is.Equal(sim.owner.lastRunCounter, started)
	is.Equal(sim.runningTasks(), 1)
	sim.events = append(sim.events, &MandateChanged{Holds: true})
	sim.runFor(7 * time.Second)
	is.Equal(sim.runningTasks(), 2)
	is.Equal(sim.owner.jobs[running].steps[0].tasks[0].run.number, platform.RunNumber(1<<runCounterBits|1)) // its lease was renewed in time
	is.Equal(sim.violations, nil)
}
