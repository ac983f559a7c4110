package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a task that runs twice: its worker started anew, and the order
// reached the new incarnation before the owner of the pool knew of it.
func TestRunOfNewIncarnationIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: worldPool, Epoch: 1, Now: now, PredecessorEnded: true, Log: zerolog.Nop()})
	list := func(incarnation platform.Incarnation) *WorkersListed {
		l := &WorkersListed{Advisors: 1}
		for _, id := range []cluster.WorkerID{"w0", "w1"} {
			l.Workers = append(l.Workers, platform.WorkerVM{
				ID: id, Service: worldPool, Incarnation: incarnation, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB},
			})
		}
		return l
	}
	starts := map[workload.TaskID]*SendStart{}
	var running []platform.TaskRun
	incarnation := platform.Incarnation(1)
	step := func(events ...Event) {
		// Every order but holds is answered at once, until nothing follows.
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			effects := s.Step(now, events)
			events = nil
			for _, e := range effects {
				switch v := e.(type) {
				case *SendStart:
					is.True(starts[v.Task] == nil) // a task is started once
					starts[v.Task] = v
					running = append(running, platform.TaskRun{Task: v.Order.Task, Run: v.Order.Run})
					events = append(events, &StartAnswered{Fence: v.Order.Fence, Task: v.Task, Run: v.Order.Run, Worker: v.Worker.ID})
				case *Record:
					events = append(events, &Recorded{Generation: v.Generation})
				case *SendHold:
					if incarnation == 1 && len(starts) > 0 {
						continue // the hold that waits ends with the old incarnation
					}
					reply := platform.HoldReply{Incarnation: incarnation}
					for id, order := range starts {
						if order.Worker.ID == v.Worker.ID {
							reply.Running = append(reply.Running, platform.TaskRun{Task: id.String(), Run: order.Order.Run})
						}
					}
					events = append(events, &HoldAnswered{Worker: v.Worker.ID, Fence: v.Order.Fence, Sent: now, Received: now, Reply: reply})
				}
			}
			if len(starts) > 0 && incarnation == 1 {
				return
			}
		}
	}
	snapshot := cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: worldQueue, Service: worldPool, MaxAttempts: 3, Stretch: 2, Target: time.Second}, &cluster.Team{Name: worldTeam},
	})
	step(&ConfigChanged{Snapshot: snapshot}, list(1))
	job := &workload.Job{ID: "0000000000000001", Team: worldTeam, Queue: worldQueue, Accepted: now, Terms: workload.TermsOf(snapshot.Queues[worldQueue])}
	job.Steps = []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: 5 * time.Second}}
	step(&JobAccepted{Job: job})
	is.Equal(len(starts), 1)
	for id, order := range starts {
		answered := &StartAnswered{Fence: order.Order.Fence, Task: id, Run: order.Order.Run, Worker: order.Worker.ID}
		incarnation = 2
		step(answered, list(2), &HoldAnswered{Worker: order.Worker.ID, Lost: true})
	}
	is.Equal(s.jobs[job.ID].steps[0].waiting, 0) // the run is kept
}
