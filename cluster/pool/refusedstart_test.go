package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// refusalsOfRepeat are the refusals that the repeat of a start request can get from a worker that has carried out the
// first request, or carries it out later. A request that can't be sent counts as refused by an unhealthy worker.
var refusalsOfRepeat = []platform.StartRefusal{
	platform.RefusedStaleRun, platform.RefusedLeaseExpired, platform.RefusedNoCapacity, platform.RefusedTicket,
	platform.RefusedUnhealthy, platform.RefusedIncarnation, platform.RefusedInvalid,
}

// refusedRepeat is a start whose first request gets no reply, and whose repeat is refused.
type refusedRepeat struct {
	first   startFault
	refusal platform.StartRefusal
	// estimate is how long the run takes.
	estimate time.Duration
	// holdRepliesLost means that the hold calls that follow the first request get no reply.
	holdRepliesLost bool
}

// simulate returns a simulation of two workers in which the repeat has just been sent.
func (c *refusedRepeat) simulate(is *is.I) *simulation {
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	for _, f := range sim.workers {
		f.startFaults = []startFault{c.first, {refusal: c.refusal}}
	}
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: c.estimate}}})
	if c.holdRepliesLost {
		sim.replyLossRate = 1
	}
	sim.runFor(requestTimeout + 4*simTick)
	repeated := 0
	for _, f := range sim.workers {
		if len(f.startFaults) == 0 {
			repeated++
			continue
		}
		f.startFaults = nil
	}
	is.Equal(repeated, 1)
	return sim
}

// Guards against a task that runs twice because the refusal of its repeated start counted as the end of the run, which
// the first request had started.
func TestRefusedRepeatKeepsRun(t *testing.T) {
	for _, refusal := range refusalsOfRepeat {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			sim := (&refusedRepeat{first: startFault{executed: true, replyLost: true}, refusal: refusal, estimate: 3 * time.Second}).simulate(is)
			sim.runFor(5 * time.Second)
			state, _, _, _ := sim.owner.State(singleTaskJob)
			is.Equal(state, workload.StateCompleted)
			is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against a task that starts again after it was done because its repeated start was refused after the run had
// ended, and the reply that reports the end was lost.
func TestRefusedRepeatOfDoneTaskStartsNoRun(t *testing.T) {
	for _, refusal := range refusalsOfRepeat {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			sim := (&refusedRepeat{
				first: startFault{executed: true, replyLost: true}, refusal: refusal, estimate: 300 * time.Millisecond, holdRepliesLost: true,
			}).simulate(is)
			sim.runFor(500 * time.Millisecond)
			sim.replyLossRate = 0
			sim.runFor(2 * time.Second)
			state, _, _, _ := sim.owner.State(singleTaskJob)
			is.Equal(state, workload.StateCompleted)
			is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against a task that runs twice because its worker carried out the first start request after it had refused the
// repeat.
func TestLateStartAfterRefusedRepeat(t *testing.T) {
	for _, refusal := range refusalsOfRepeat {
		for _, after := range []time.Duration{time.Second, 1200 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(refusal, " ", after), func(t *testing.T) {
				is := is.New(t)
				sim := (&refusedRepeat{first: startFault{executed: true, executedAfter: after, replyLost: true}, refusal: refusal, estimate: 2 * time.Second}).simulate(is)
				sim.runFor(8 * time.Second)
				state, _, _, _ := sim.owner.State(singleTaskJob)
				is.Equal(state, workload.StateCompleted)
				is.Equal(sim.violations, nil)
			})
		}
	}
}

// Guards against a run of a restarted worker that is lost because the worker had accepted a higher fencing token when the
// repeat of its start arrived.
func TestOutdatedRepeatKeepsRunOfNewIncarnation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	f := sim.workers[0]
	f.startFaults = []startFault{{executed: true, replyLost: true}, {refusal: platform.RefusedFence}}
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: 3 * time.Second}}})
	sim.tick()
	is.Equal(len(f.startFaults), 1)
	sim.restart(f) // the request has been sent and reaches the new incarnation
	for len(f.startFaults) > 0 {
		sim.lastListAt = sim.now // the restart is not listed before the repeat has been sent
		sim.tick()
	}
	sim.lastListAt = time.Time{}
	sim.runFor(5 * time.Second)
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	is.Equal(sim.violations, nil)
}

// Guards against a task that waits for the verification of its start although its worker has refused the only request.
func TestRefusedStartFreesTaskAtOnce(t *testing.T) {
	for _, refusal := range refusalsOfRepeat {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 2)
			sim.failureRate = 0
			sim.runFor(500 * time.Millisecond)
			for _, f := range sim.workers {
				f.startFaults = []startFault{{refusal: refusal}}
			}
			sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}})
			sim.runFor(4 * simLatency)
			is.Equal(sim.owner.lastRunCounter, uint64(1))
			is.Equal(sim.owner.jobs[singleTaskJob].steps[0].pendingTasks, 1)
			sim.runFor(refusedStartDelay)
			is.Equal(sim.owner.lastRunCounter, uint64(2))
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against a run of a cancelled job that goes on because the refusal of its repeated start made the scheduler
// forget that the run was being stopped.
func TestRefusedRepeatOfCancelledJobIsStopped(t *testing.T) {
	for _, refusal := range refusalsOfRepeat {
		t.Run(refusal.String(), func(t *testing.T) {
			is := is.New(t)
			sim := (&refusedRepeat{first: startFault{executed: true, replyLost: true}, refusal: refusal, estimate: time.Minute}).simulate(is)
			for _, f := range sim.workers {
				f.ignoresStops = true // the first stop request is lost
			}
			sim.cancel(singleTaskJob)
			sim.runFor(200 * time.Millisecond)
			for _, f := range sim.workers {
				f.ignoresStops = false
			}
			sim.runFor(requestTimeout + 2*stopRetryDelay)
			is.Equal(len(sim.workers[0].running)+len(sim.workers[1].running), 0)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against tasks that run twice, and limits that are exceeded, when workers refuse starts as unhealthy while other
// requests get no reply or are carried out late.
func TestRandomRefusals(t *testing.T) {
	for seed := range *randomSeeds / 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(seed, 6)
			for n := range 30 {
				sim.submit(sim.randomJob(n))
				sim.refusalRate, sim.replyLossRate, sim.delayRate = 0.5*sim.rnd.Float64(), 0.3*sim.rnd.Float64(), 0.1*sim.rnd.Float64()
				if sim.rnd.IntN(8) == 0 {
					sim.cancel(cluster.JobName(fmt.Sprintf("%016x", sim.rnd.IntN(n+1))))
				}
				if sim.rnd.IntN(8) == 0 {
					sim.restart(sim.workers[sim.rnd.IntN(len(sim.workers))])
				}
				sim.runFor(time.Duration(sim.rnd.Int64N(int64(time.Second))))
			}
			sim.refusalRate, sim.replyLossRate, sim.delayRate = 0, 0, 0
			sim.runFor(90 * time.Second)
			is.Equal(sim.violations, nil)
			for _, id := range sortedKeys(sim.jobs) {
				state, _, _, known := sim.owner.State(id)
				if !known || !state.Final() {
					t.Errorf("job %s is %s after 90 s without faults", id, state)
				}
			}
		})
	}
}
