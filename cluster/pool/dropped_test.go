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

// gangPool is a pool of workers on which one gang runs. Requests are answered before the next step, and the workers
// that are not listed don't respond.
type gangPool struct {
	scheduler *Scheduler
	now       time.Time
	events    []Event
	listed    map[cluster.WorkerID]bool
	// members holds the running member of the gang on each worker.
	members map[cluster.WorkerID]gangMember
	ended   map[cluster.WorkerID][]platform.RunEnd
	size    int
	// startedOnUnlisted counts the start requests to workers that were not in the list.
	startedOnUnlisted int
	adviceRequests    int
}

type gangMember struct {
	task      string
	run       platform.RunNumber
	startedAt time.Time
}

// list sends the scheduler a list of workers of 8 cores each.
func (p *gangPool) list(ids ...cluster.WorkerID) {
	p.listed = map[cluster.WorkerID]bool{}
	l := &WorkersListed{Advisors: 2}
	for _, id := range ids {
		p.listed[id] = true
		l.Workers = append(l.Workers, platform.WorkerVM{
			ID: id, Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB},
		})
	}
	p.events = append(p.events, l)
}

func (p *gangPool) runFor(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(20 * time.Millisecond) {
		for id, m := range p.members {
			if len(p.members) < p.size && p.now.Sub(m.startedAt) > gangTimeout {
				p.endMember(id, platform.RunGangIncomplete)
			}
		}
		effects := p.scheduler.Step(p.now, p.events)
		p.events = nil
		for _, e := range effects {
			p.execute(e)
		}
	}
}

func (p *gangPool) endMember(id cluster.WorkerID, outcome platform.RunOutcome) {
	m := p.members[id]
	delete(p.members, id)
	p.ended[id] = append(p.ended[id], platform.RunEnd{Number: uint64(len(p.ended[id]) + 1), Task: m.task, Run: m.run, Outcome: outcome})
}

func (p *gangPool) execute(e Effect) {
	switch v := e.(type) {
	case *WriteRecord:
		p.events = append(p.events, &RecordWritten{Generation: v.Generation})
	case *RequestAdvice:
		p.adviceRequests++
		advice := platform.Advice{ValidFor: 2400 * time.Millisecond}
		for _, id := range v.Workers {
			advice.Permits = append(advice.Permits, platform.Permit{Worker: id, Ticket: "ticket"})
		}
		p.events = append(p.events, &AdviceAnswered{Step: v.Step, ReceivedAt: p.now, Advice: advice})
	case *SendStart:
		if p.listed[v.Worker.ID] {
			p.members[v.Worker.ID] = gangMember{task: v.Request.Task, run: v.Request.Run, startedAt: p.now}
		} else {
			p.startedOnUnlisted++
		}
		p.events = append(p.events, &StartAnswered{
			Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID, ReplyLost: !p.listed[v.Worker.ID],
		})
	case *SendStop:
		if m, ok := p.members[v.Worker.ID]; ok && m.run == v.Request.Run {
			p.endMember(v.Worker.ID, platform.RunStopped)
		}
		p.events = append(p.events, &StopAnswered{
			Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID, ReplyLost: !p.listed[v.Worker.ID],
		})
	case *SendHold:
		reply := platform.HoldReply{Incarnation: 1, Clock: time.Hour, Ended: p.ended[v.Worker.ID]}
		if m, ok := p.members[v.Worker.ID]; ok {
			reply.Running = []platform.TaskRun{{Task: m.task, Run: m.run, Percent: 100}}
		}
		p.events = append(p.events, &HoldAnswered{
			Worker: v.Worker.ID, Fence: v.Request.Fence, Incarnation: 1, SentAt: p.now, ReceivedAt: p.now, Reply: reply, Extra: v.Extra,
			ReplyLost: !p.listed[v.Worker.ID],
		})
	}
}

// newGangPool returns a pool with the worker w0, on which the given gang of two tasks of 6 cores has a ticket. The
// gang waits for a second worker. No lease of w0 is left.
func newGangPool(acceptedBefore time.Duration) *gangPool {
	p := &gangPool{
		now: time.Unix(1_800_000_000, 0), size: 2, members: map[cluster.WorkerID]gangMember{}, ended: map[cluster.WorkerID][]platform.RunEnd{},
	}
	p.scheduler = New(Config{Service: testService, Epoch: 1, Now: p.now, Log: zerolog.Nop()})
	snapshot := cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{
			Name: adviceQueue, Service: testService, Stretch: 2, Target: 20 * time.Second,
			Advice: &cluster.AdvicePolicy{CallDuration: 10 * time.Millisecond, PerWorker: time.Millisecond, TicketTTL: 2400 * time.Millisecond},
		},
		&cluster.Team{Name: testTeam},
	})
	p.events = append(p.events, &ConfigChanged{Snapshot: snapshot})
	p.list("w0")
	p.runFor(10 * time.Second)
	p.events = append(p.events, &JobAccepted{Job: &workload.Job{
		ID: "0000000000000001", Team: testTeam, Queue: adviceQueue, AcceptedAt: p.now.Add(-acceptedBefore), Terms: workload.TermsOf(snapshot.Queues[adviceQueue]),
		Steps: []workload.Step{{Tasks: p.size, Size: cluster.Resources{CPU: 6 * cluster.Core}, Estimate: time.Minute, Gang: true}},
	}})
	p.runFor(200 * time.Millisecond)
	return p
}

// Guards against a gang that is started on a worker that has left the list while its ticket for that worker is
// still valid. The reply to that start request is not applied, so that the run never ends and the gang is never
// started again.
func TestGangIsNotStartedOnRemovedWorker(t *testing.T) {
	for _, c := range []struct {
		name     string
		returned bool
	}{{name: "gone"}, {name: "listed again", returned: true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newGangPool(time.Hour) // the gang is overdue, so it reserves no capacity
			p.list("w1")
			p.runFor(5 * time.Second)
			if c.returned {
				p.list("w0", "w1", "w2")
			} else {
				p.list("w1", "w2")
			}
			p.runFor(time.Minute)
			is.Equal(len(p.members), p.size) // the gang runs
			is.Equal(p.startedOnUnlisted, 0)
		})
	}
}

// Guards against a gang that requests advice without a pause because its ticket for a worker that has left the list
// can't be renewed. One of the few long advice requests at a time would always be that of this gang.
func TestTicketOfRemovedWorkerIsNotRenewed(t *testing.T) {
	is := is.New(t)
	p := newGangPool(0) // the gang reserves capacity and renews its tickets
	p.list("w1")
	p.runFor(3 * time.Second) // the ticket for w0 expires
	p.adviceRequests = 0
	p.runFor(5 * time.Second)
	is.True(p.adviceRequests <= 5) // one ticket, which is valid for 2.4 s
}
