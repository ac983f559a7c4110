package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// countStarts runs the scheduler of a shard with one worker, which answers every request, and returns the number of
// start requests.
func countStarts(service cluster.ServiceName, events []pool.Event) int {
	now := time.Now()
	s := pool.New(pool.Config{Service: service, Epoch: 1, Now: now, PreviousOwnerStopped: true})
	events = append(events, &pool.WorkersListed{Advisors: 1, Workers: []platform.WorkerVM{
		{ID: "w", Service: service, Incarnation: 1, Capacity: cluster.Resources{CPU: cluster.Core}},
	}})
	starts := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		effects := s.Step(now, events)
		events = nil
		for _, e := range effects {
			switch v := e.(type) {
			case *pool.SendHold:
				events = append(events, &pool.HoldAnswered{
					Worker: v.Worker.ID, Fence: v.Request.Fence, SentAt: now, ReceivedAt: now, Extra: v.Extra, Reply: platform.HoldReply{Incarnation: 1, Clock: time.Hour},
				})
			case *pool.WriteRecord:
				events = append(events, &pool.RecordWritten{Generation: v.Generation})
			case *pool.SendStart:
				starts++
			}
		}
	}
	return starts
}

// Guards against an accepted job that no owner starts because a later configuration moved its queue to the pool of
// another service.
func TestJobOfMovedQueueStarts(t *testing.T) {
	for _, c := range []struct {
		name    string
		service cluster.ServiceName
	}{{name: "not moved", service: "s"}, {name: "moved", service: "moved"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, d := newStoreDaemon(t)
			job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
			rows := []platform.Row{{Key: jobKey(1, job.ID), Value: must(workload.EncodeJob(job))}}
			snapshot := cluster.Assemble(1, []cluster.Entity{&cluster.Queue{Name: "q", Service: c.service}, &cluster.Team{Name: "team"}})
			starts := 0
			for _, service := range []cluster.ServiceName{"s", "moved"} {
				o := newOwnedShard(d, shardID{Service: service}, 1, 1, time.Now(), true)
				starts += countStarts(service, append([]pool.Event{&pool.ConfigChanged{Snapshot: snapshot}}, o.jobEvents(rows, nil)...))
			}
			is.True(starts > 0)
		})
	}
}
