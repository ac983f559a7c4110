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

// endOtherRuns ends runs of unknown jobs on a worker, so that the worker lists later ends only once these are
// acknowledged.
func (sim *simulation) endOtherRuns(f *fakeWorker, count int) {
	for range count {
		f.lastEndNumber++
		f.unacknowledgedEnds = append(f.unacknowledgedEnds, platform.RunEnd{
			Number: f.lastEndNumber, Task: workload.TaskID{Job: cluster.JobName(fmt.Sprintf("%016x", 1<<32+f.lastEndNumber))}.String(),
			Run: platform.RunNumber(uint64(sim.epoch)<<runCounterBits | 1<<20 | f.lastEndNumber), Outcome: platform.RunDone,
		})
	}
}

// submitSingleTask submits a job of one task and returns the run that it starts and its worker.
func (sim *simulation) submitSingleTask(estimate time.Duration) (*run, *fakeWorker) {
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{
		Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: estimate,
	}}})
	sim.runFor(500 * time.Millisecond)
	r := sim.owner.jobs[singleTaskJob].steps[0].tasks[0].run
	return r, sim.findWorker(r.worker.vm.ID)
}

// Guards against a done task that starts again because the end of its run is behind the ends that its worker lists, so
// that the run is in neither list of a hold reply.
func TestRunBehindListedEndsIsNotLost(t *testing.T) {
	for _, c := range []struct {
		name string
		// earlierEnds is the number of ends that the worker lists first.
		earlierEnds int
		// prepare changes the state of the run that has just been done.
		prepare func(s *Scheduler, r *run)
	}{
		{name: "active", earlierEnds: maxListedEnds, prepare: func(*Scheduler, *run) {}},
		{name: "active, several replies", earlierEnds: 10 * maxListedEnds, prepare: func(*Scheduler, *run) {}},
		{name: "unconfirmed", earlierEnds: 10 * maxListedEnds, prepare: func(s *Scheduler, r *run) {
			r.confirmedAt = time.Time{}
			s.markUnconfirmed(r)
		}},
		{name: "being stopped", earlierEnds: 10 * maxListedEnds, prepare: func(s *Scheduler, r *run) {
			r.state, r.stopSentAt = runStopping, s.now.Add(-stopRetryDelay) // the stop request is due again
		}},
		{name: "being stopped, start too late", earlierEnds: maxListedEnds, prepare: func(s *Scheduler, r *run) {
			r.state, r.stopSentAt = runStopping, s.now
			r.start.Request.Until = time.Nanosecond
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 2)
			sim.failureRate = 0
			r, f := sim.submitSingleTask(time.Minute)
			is.Equal(r.state, runActive)
			for !sim.owner.workers[f.vm.ID].nextHoldAt.Equal(sim.now) {
				sim.tick() // until a reply is read, so that the next one shows the end of the run
			}
			sim.endOtherRuns(f, c.earlierEnds)
			sim.completeRun(r.id.String(), r.number, 0)
			c.prepare(sim.owner, r)
			sim.runFor(10 * time.Second)
			is.Equal(sim.violations, nil)
			is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
			state, _, _, _ := sim.owner.State(singleTaskJob)
			is.Equal(state, workload.StateCompleted)
			is.Equal(sim.owner.workers[f.vm.ID].lastEndRead, f.lastEndNumber)
		})
	}
}

// Guards against a task of a previous owner that starts again after a takeover although its run is done: the end of the
// run is behind the ends that the worker lists in its first reply to the new owner.
func TestTakeoverWaitsForCutEnds(t *testing.T) {
	for _, c := range []struct {
		name        string
		earlierEnds int
		recordDelay time.Duration
		gang        bool
	}{
		{name: "task", earlierEnds: maxListedEnds},
		{name: "gang", earlierEnds: maxListedEnds, gang: true},
		// The ends are acknowledged only after the leases that the previous owner granted have expired.
		{name: "slow store", earlierEnds: 10 * maxListedEnds, recordDelay: time.Second},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(seed, 2)
				sim.failureRate = 0
				sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{
					Tasks: 2, Size: cluster.Resources{CPU: 5 * cluster.Core}, Estimate: time.Minute, Gang: c.gang,
				}}})
				sim.runFor(500 * time.Millisecond)
				for _, f := range sim.workers {
					is.Equal(len(f.running), 1)
					sim.endOtherRuns(f, c.earlierEnds)
				}
				for _, f := range sim.workers {
					for name, r := range f.running {
						sim.completeRun(name, r.run, r.gangSize)
					}
				}
				sim.takeOver()
				sim.recordDelay = c.recordDelay
				sim.runFor(30 * time.Second)
				is.Equal(sim.violations, nil)
				is.Equal(sim.owner.lastRunCounter, uint64(0)) // no task was started again
				is.True(sim.owner.takeoverComplete)
				state, _, _, _ := sim.owner.State(singleTaskJob)
				is.Equal(state, workload.StateCompleted)
			})
		}
	}
}

// Guards against a hold call that waits for the end of a run although the worker has ends that it has not listed yet.
func TestHoldDoesNotWaitWhileEndsAreCut(t *testing.T) {
	for _, moreEnds := range []bool{false, true} {
		t.Run(fmt.Sprintf("moreEnds=%t", moreEnds), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 1)
			r, _ := sim.submitSingleTask(time.Minute)
			r.worker.moreEnds = moreEnds
			sim.owner.sendHold(r.worker, false)
			hold := sim.owner.effects[len(sim.owner.effects)-1].(*SendHold)
			is.Equal(hold.Request.Wait == 0, moreEnds)
		})
	}
}

// Guards against a worker that gets no tasks because a run that is done, but whose end is not listed yet, counts as
// stalled.
func TestRunBehindListedEndsIsNotStalled(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	r, f := sim.submitSingleTask(time.Minute)
	sim.recordDelay = time.Second
	sim.endOtherRuns(f, 10*maxListedEnds)
	sim.completeRun(r.id.String(), r.number, 0)
	sim.runFor(30 * time.Second)
	is.Equal(sim.violations, nil)
	is.True(r.stopSentAt.IsZero())
	is.True(r.worker.quarantinedUntil.IsZero())
}
