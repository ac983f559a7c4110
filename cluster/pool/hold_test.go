package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against an owner that calls all workers of a large shard at once after a takeover: the replies arrive
// late and the workers are treated as unresponsive.
func TestInitialHoldCallsAreBounded(t *testing.T) {
	is := is.New(t)
	const workers = 3 * maxInitialHolds
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
	list := &WorkersListed{Advisors: 1}
	for i := range workers {
		list.Workers = append(list.Workers, platform.WorkerVM{ID: cluster.WorkerID(fmt.Sprintf("w%d", i)), Service: testService, Incarnation: 1})
	}
	events := []Event{list}
	answered := map[cluster.WorkerID]bool{}
	for len(answered) < workers {
		var replies []Event
		calls := 0
		for _, e := range s.Step(now, events) {
			if h, ok := e.(*SendHold); ok {
				calls++
				answered[h.Worker.ID] = true
				replies = append(replies, &HoldAnswered{Worker: h.Worker.ID, Fence: h.Request.Fence, Incarnation: 1, SentAt: now, ReceivedAt: now})
			}
		}
		is.True(calls > 0 && calls <= maxInitialHolds)
		events = replies
		now = now.Add(10 * time.Millisecond)
	}
}

// Guards against a task that runs again although its worker has reported that it is done, in a reply that arrived late
// but before the leases of the worker expired.
func TestTaskReportedInLateReplyDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	const job = cluster.JobName("0000000000000001")
	sim.submit(&workload.Job{ID: job, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}})
	sim.runFor(500 * time.Millisecond)
	is.Equal(sim.owner.lastRunCounter, uint64(1))
	sim.replyLossRate = 1
	sim.runFor(3 * DefaultLease)
	sim.replyLossRate = 0
	sim.runFor(DefaultLease)
	state, _, _, _ := sim.owner.State(job)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	is.Equal(sim.violations, nil)
}
