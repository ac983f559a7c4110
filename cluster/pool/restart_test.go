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

// Guards against a task that runs twice: its worker restarted, and the start request reached the new
// incarnation before the owner of the pool noticed the restart.
func TestRunOfNewIncarnationIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
	list := func(incarnation platform.Incarnation) *WorkersListed {
		l := &WorkersListed{Advisors: 1}
		for _, id := range []cluster.WorkerID{"w0", "w1"} {
			l.Workers = append(l.Workers, platform.WorkerVM{
				ID: id, Service: testService, Incarnation: incarnation, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB},
			})
		}
		return l
	}
	starts := map[workload.TaskID]*SendStart{}
	var running []platform.TaskRun
	incarnation := platform.Incarnation(1)
	step := func(events ...Event) {
		// Answers every request except some hold calls immediately, until no effects follow.
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			effects := s.Step(now, events)
			events = nil
			for _, e := range effects {
				switch v := e.(type) {
				case *SendStart:
					is.True(starts[v.Task] == nil) // a task is started once
					starts[v.Task] = v
					running = append(running, platform.TaskRun{Task: v.Request.Task, Run: v.Request.Run})
					events = append(events, &StartAnswered{Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID})
				case *WriteRecord:
					events = append(events, &RecordWritten{Generation: v.Generation})
				case *SendHold:
					if incarnation == 1 && len(starts) > 0 {
						continue // the hold call in progress fails when the worker restarts
					}
					reply := platform.HoldReply{Incarnation: incarnation}
					for id, start := range starts {
						if start.Worker.ID == v.Worker.ID {
							reply.Running = append(reply.Running, platform.TaskRun{Task: id.String(), Run: start.Request.Run})
						}
					}
					events = append(events, &HoldAnswered{Worker: v.Worker.ID, Fence: v.Request.Fence, SentAt: now, ReceivedAt: now, Reply: reply})
				}
			}
			if len(starts) > 0 && incarnation == 1 {
				return
			}
		}
	}
	snapshot := cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}, &cluster.Team{Name: testTeam},
	})
	step(&ConfigChanged{Snapshot: snapshot}, list(1))
	job := &workload.Job{ID: "0000000000000001", Team: testTeam, Queue: testQueue, AcceptedAt: now, Terms: workload.TermsOf(snapshot.Queues[testQueue])}
	job.Steps = []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: 5 * time.Second}}
	step(&JobAccepted{Job: job})
	is.Equal(len(starts), 1)
	for id, start := range starts {
		answered := &StartAnswered{Fence: start.Request.Fence, Task: id, Run: start.Request.Run, Worker: start.Worker.ID}
		incarnation = 2
		step(answered, list(2), &HoldAnswered{Worker: start.Worker.ID, ReplyLost: true})
	}
	is.Equal(s.jobs[job.ID].steps[0].pendingTasks, 0) // the run still counts
}

// Guards against run ends that are acknowledged without being read: the acknowledged number of a worker's
// previous incarnation would drop run ends of the current one.
func TestClockRegressionSuspendsAcknowledgement(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
	vm := platform.WorkerVM{ID: "w0", Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB}}
	snapshot := cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}, &cluster.Team{Name: testTeam},
	})
	const uptime = time.Hour
	started, restarted := now.Add(-uptime), false
	var ended []platform.RunEnd
	acknowledged := uint64(0)
	events := []Event{&ConfigChanged{Snapshot: snapshot}, &WorkersListed{Workers: []platform.WorkerVM{vm}, Advisors: 1}}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			effects := s.Step(now, events)
			events = nil
			for _, e := range effects {
				switch v := e.(type) {
				case *SendStart:
					events = append(events, &StartAnswered{
						Task: v.Task, Run: v.Request.Run, Worker: "w0", Fence: v.Request.Fence, Reply: platform.StartReply{Clock: now.Sub(started)},
					})
					if !restarted {
						ended = append(ended, platform.RunEnd{Number: uint64(len(ended) + 1), Task: v.Request.Task, Run: v.Request.Run, Outcome: platform.RunDone})
					}
				case *WriteRecord:
					events = append(events, &RecordWritten{Generation: v.Generation})
				case *SendHold:
					acknowledged = max(acknowledged, v.Request.Acknowledge)
					if restarted {
						is.Equal(v.Request.Acknowledge, uint64(0)) // no run end is acknowledged before the first reply of the new incarnation
						continue
					}
					reply := platform.HoldReply{Incarnation: 1, Clock: now.Sub(started), Ended: ended}
					events = append(events, &HoldAnswered{Worker: "w0", Fence: v.Request.Fence, SentAt: now, ReceivedAt: now, Reply: reply, Extra: v.Extra})
				}
			}
		}
	}
	submit := func(id cluster.JobName) {
		job := &workload.Job{ID: id, Team: testTeam, Queue: testQueue, AcceptedAt: now, Terms: workload.TermsOf(snapshot.Queues[testQueue])}
		job.Steps = []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}
		events = append(events, &JobAccepted{Job: job})
	}
	run(time.Second)
	submit("0000000000000001")
	run(time.Second)
	submit("0000000000000002")
	run(time.Second)
	is.True(acknowledged > 0)
	restarted, started = true, now.Add(-time.Millisecond)
	submit("0000000000000003")
	run(2 * time.Second)
	is.Equal(s.jobs["0000000000000003"].steps[0].pendingTasks, 0) // the run counts until the first hold reply
}

// Guards against a task that runs again because the end of its first run was acknowledged before its job was known: the
// previous owner has started a job that it was told of, and the change feed has not brought the job to this owner yet.
func TestEndOfUnknownTaskIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const job = cluster.JobName("0000000000000001")
	s := New(Config{Service: testService, Epoch: 2, Now: now, InheritedWorkers: []RecordedWorker{{ID: "w0"}}, PreviousOwnersActiveUntil: now.Add(PreviousOwnerGrace), Log: zerolog.Nop()})
	snapshot := cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}, &cluster.Team{Name: testTeam},
	})
	vm := platform.WorkerVM{ID: "w0", Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB}}
	ended := platform.RunEnd{Number: 1, Task: workload.TaskID{Job: job}.String(), Run: 1<<runCounterBits | 1, Outcome: platform.RunDone}
	acknowledged, starts := false, 0
	events := []Event{&ConfigChanged{Snapshot: snapshot}, &WorkersListed{Workers: []platform.WorkerVM{vm}, Advisors: 1}}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			effects := s.Step(now, events)
			events = nil
			for _, e := range effects {
				switch v := e.(type) {
				case *SendStart:
					starts++
				case *WriteRecord:
					events = append(events, &RecordWritten{Generation: v.Generation})
				case *SendHold:
					acknowledged = acknowledged || v.Request.Acknowledge >= ended.Number
					reply := platform.HoldReply{Incarnation: 1, Clock: now.Sub(time.Unix(1_799_990_000, 0))}
					if !acknowledged {
						reply.Ended = []platform.RunEnd{ended}
					}
					events = append(events, &HoldAnswered{Worker: "w0", Fence: v.Request.Fence, SentAt: now, ReceivedAt: now, Reply: reply, Extra: v.Extra})
				}
			}
		}
	}
	run(time.Second)
	is.True(!acknowledged)
	spec := &workload.Job{ID: job, Team: testTeam, Queue: testQueue, AcceptedAt: now, Terms: workload.TermsOf(snapshot.Queues[testQueue])}
	spec.Steps = []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}
	events = append(events, &JobAccepted{Job: spec})
	run(10 * time.Second)
	is.Equal(starts, 0)
	state, _, _, _ := s.State(job)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a task that runs twice: its worker restarted after it had reported the run, and the repeat of the start
// request, which was still on the way, reached the new incarnation.
func TestRestartKeepsRunWhoseRepeatIsInFlight(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2)
	sim.failureRate = 0
	sim.runFor(500 * time.Millisecond)
	const inFlight = 100 * time.Millisecond
	for _, f := range sim.workers {
		f.startFaults = []startFault{{executed: true, replyLost: true}, {executed: true, executedAfter: inFlight, replyLost: true}}
	}
	sim.submit(&workload.Job{ID: singleTaskJob, Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: 3 * time.Second}}})
	var f *fakeWorker
	for f == nil {
		sim.tick()
		for _, other := range sim.workers {
			if len(other.startFaults) == 0 {
				f = other
			}
		}
	}
	for _, other := range sim.workers {
		other.startFaults = nil
	}
	sim.runFor(inFlight)
	is.Equal(len(f.running), 1)
	sim.restart(f)
	sim.lastListAt = time.Time{} // the restart is listed at once
	sim.runFor(6 * time.Second)
	state, _, _, _ := sim.owner.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(sim.owner.lastRunCounter, uint64(1)) // the task was started once
	is.Equal(sim.violations, nil)
}

// Guards against run ends that are acknowledged without being read: a worker left the list and was dropped, and a hold call
// that was sent before reached its next incarnation, whose run ends are numbered from one again.
func TestHoldSentBeforeWorkerWasDroppedIsRefused(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	sim.failureRate = 0
	r, f := sim.submitSingleTask(700 * time.Millisecond)
	sim.runFor(2 * time.Second)
	sim.owner.sendHold(r.worker, true)
	late := sim.owner.effects[len(sim.owner.effects)-1].(*SendHold)
	is.Equal(late.Request.Acknowledge, uint64(1))
	f.gone, f.unlisted = true, true
	sim.runFor(2 * DefaultLease)
	is.Equal(sim.owner.workers[f.vm.ID], nil)
	sim.restart(f)
	f.gone, f.unlisted = false, false
	sim.runFor(time.Second)
	is.True(sim.owner.workers[f.vm.ID].fenceAccepted)
	is.True(sim.hold(f, late.Request).Fenced)
	is.Equal(sim.violations, nil)
}
