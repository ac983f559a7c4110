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

// endPool is a pool whose workers accept every start request; their runs do not end. Records are written at once.
type endPool struct {
	scheduler *Scheduler
	snapshot  *cluster.Snapshot
	now       time.Time
	events    []Event
	listed    []platform.WorkerVM
	// replies holds the reply of each worker to hold calls; a worker without one does not answer.
	replies map[cluster.WorkerID]*platform.HoldReply
	starts  []*SendStart
	// stops counts the stop requests, which have no effect.
	stops int
}

func newEndPool(epoch cluster.Epoch, workers ...cluster.WorkerID) *endPool {
	p := &endPool{now: time.Unix(1_800_000_000, 0), replies: map[cluster.WorkerID]*platform.HoldReply{}}
	p.snapshot = cluster.Assemble(1, []cluster.Entity{
		&cluster.Queue{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}, &cluster.Team{Name: testTeam},
	})
	var inherited []RecordedWorker
	for _, id := range workers {
		if epoch > 1 {
			inherited = append(inherited, RecordedWorker{ID: id})
		}
		p.listed = append(p.listed, platform.WorkerVM{
			ID: id, Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: 8 * cluster.Core, Memory: cluster.GiB},
		})
		p.replies[id] = &platform.HoldReply{Incarnation: 1, Clock: time.Hour}
	}
	p.scheduler = New(Config{Service: testService, Epoch: epoch, Now: p.now, InheritedWorkers: inherited, Log: zerolog.Nop()})
	p.events = []Event{&ConfigChanged{Snapshot: p.snapshot}}
	p.list()
	return p
}

// list delivers the platform's list of workers.
func (p *endPool) list() {
	p.events = append(p.events, &WorkersListed{Workers: p.listed, Advisors: 1})
}

// submit delivers a job of one task.
func (p *endPool) submit() {
	job := &workload.Job{ID: singleTaskJob, Team: testTeam, Queue: testQueue, AcceptedAt: p.now, Terms: workload.TermsOf(p.snapshot.Queues[testQueue])}
	job.Steps = []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Estimate: time.Second}}
	p.events = append(p.events, &JobAccepted{Job: job})
}

func (p *endPool) runFor(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(20 * time.Millisecond) {
		effects := p.scheduler.Step(p.now, p.events)
		p.events = nil
		for _, e := range effects {
			switch v := e.(type) {
			case *SendStart:
				p.starts = append(p.starts, v)
				if reply := p.replies[v.Worker.ID]; reply != nil {
					reply.Running = append(reply.Running, platform.TaskRun{Task: v.Request.Task, Run: v.Request.Run})
				}
				p.events = append(p.events, &StartAnswered{Fence: v.Request.Fence, Task: v.Task, Run: v.Request.Run, Worker: v.Worker.ID})
			case *SendStop:
				p.stops++
			case *WriteRecord:
				p.events = append(p.events, &RecordWritten{Generation: v.Generation})
			case *SendHold:
				answered := &HoldAnswered{Worker: v.Worker.ID, Fence: v.Request.Fence, SentAt: p.now, ReceivedAt: p.now, ReplyLost: true, Extra: v.Extra}
				if reply := p.replies[v.Worker.ID]; reply != nil {
					answered.Reply, answered.ReplyLost = *reply, false
				}
				p.events = append(p.events, answered)
			}
		}
	}
}

// endOfPreviousOwner is the end of the task's run that a previous owner of epoch 1 started.
func endOfPreviousOwner() []platform.RunEnd {
	return []platform.RunEnd{{Number: 1, Task: workload.TaskID{Job: singleTaskJob}.String(), Run: 1<<runCounterBits | 1, Outcome: platform.RunDone}}
}

// Guards against a done task that starts again because its worker restarted between the reply that reported the end and
// the arrival of the job.
func TestEndReadBeforeJobSurvivesRestartOfWorker(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0", "w1")
	p.replies["w0"].Ended = endOfPreviousOwner()
	p.runFor(time.Second)
	p.replies["w0"] = &platform.HoldReply{Incarnation: 2, Clock: time.Second}
	p.listed[0].Incarnation = 2
	p.list()
	p.runFor(500 * time.Millisecond)
	p.submit()
	p.runFor(10 * time.Second)
	is.Equal(len(p.starts), 0)
	state, _, _, _ := p.scheduler.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a done task that starts again because the reply that reports the end arrives when the worker is known to
// have restarted.
func TestEndInReplyOfEarlierIncarnationIsApplied(t *testing.T) {
	is := is.New(t)
	p := newEndPool(1, "w0")
	p.runFor(time.Second)
	p.submit()
	p.runFor(100 * time.Millisecond)
	is.Equal(len(p.starts), 1)
	run := p.starts[0].Request
	p.replies["w0"] = nil
	p.runFor(500 * time.Millisecond)
	p.listed[0].Incarnation = 2
	p.list()
	p.events = append(p.events, &HoldAnswered{
		Worker: "w0", Fence: run.Fence, SentAt: p.now, ReceivedAt: p.now,
		Reply: platform.HoldReply{
			Incarnation: 1, Clock: time.Hour, Ended: []platform.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, Outcome: platform.RunDone}},
		},
	})
	p.runFor(100 * time.Millisecond)
	p.replies["w0"] = &platform.HoldReply{Incarnation: 2, Clock: time.Second}
	p.runFor(10 * time.Second)
	is.Equal(len(p.starts), 1) // the task was started once
	state, _, _, _ := p.scheduler.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a task that runs twice at the same time after a takeover: the previous owner has started it on a worker
// that does not answer, and the change feed brings the job late.
func TestLateJobWaitsForInheritedWorkers(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0", "w1")
	p.scheduler = New(Config{Service: testService, Epoch: 2, Now: p.now, InheritedWorkers: []RecordedWorker{{ID: "w0"}, {ID: "w1"}}, PreviousOwnersActiveUntil: p.now.Add(PreviousOwnerGrace), Log: zerolog.Nop()})
	p.replies["w0"] = nil
	p.runFor(time.Second)
	p.submit() // accepted now; the previous owner does not know of the takeover yet
	job := p.events[len(p.events)-1]
	p.events = p.events[:len(p.events)-1]
	p.runFor(PreviousOwnerGrace)
	is.True(!p.scheduler.takeoverComplete)
	p.events = append(p.events, job)
	p.runFor(500 * time.Millisecond)
	is.True(!p.scheduler.takeoverComplete)
	is.Equal(len(p.starts), 0) // the task may run on w0
}

// Guards against a task that runs twice at the same time after a takeover: its worker lists the run of the previous owner
// before the change feed brings the job.
func TestRunReadBeforeJobIsAdopted(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0", "w1")
	p.replies["w0"].Running = []platform.TaskRun{{Task: workload.TaskID{Job: singleTaskJob}.String(), Run: 1<<runCounterBits | 1}}
	p.runFor(time.Second)
	is.True(p.scheduler.takeoverComplete)
	p.submit()
	p.runFor(time.Second)
	is.Equal(len(p.starts), 0) // the task runs on w0
	is.Equal(p.stops, 0)
	p.replies["w0"].Running, p.replies["w0"].Ended = nil, endOfPreviousOwner()
	p.runFor(time.Second)
	state, _, _, _ := p.scheduler.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
	is.Equal(len(p.starts), 0)
}

// Guards against a run of a previous owner whose job does not exist and that is never stopped.
func TestRunOfUnknownJobIsStopped(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0")
	p.replies["w0"].Running = []platform.TaskRun{{Task: workload.TaskID{Job: singleTaskJob}.String(), Run: 1<<runCounterBits | 1}}
	p.runFor(takeoverFeedDelay + 2*holdMaxWait)
	is.True(p.stops > 0)
}

// Guards against a done task that starts again after a takeover because the shard was loaded so slowly that the end of its
// run, which was read before the change feed brought the job, counted as that of an unknown job.
func TestEndReadBeforeJobAfterSlowLoad(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0", "w1")
	p.replies["w0"].Ended = endOfPreviousOwner()
	p.now = p.now.Add(2 * takeoverFeedDelay)
	p.runFor(500 * time.Millisecond)
	p.submit()
	p.runFor(2 * time.Second)
	is.Equal(len(p.starts), 0)
	state, _, _, _ := p.scheduler.State(singleTaskJob)
	is.Equal(state, workload.StateCompleted)
}

// Guards against a worker above its capacity after a takeover: it lists a run of the previous owner before the change feed
// brings the job, so that the size of the run is not known.
func TestWorkerWithRunOfUnknownJobGetsNoTasks(t *testing.T) {
	is := is.New(t)
	p := newEndPool(2, "w0")
	other := workload.TaskID{Job: "00000000000000ff"}.String()
	p.replies["w0"].Running = []platform.TaskRun{{Task: other, Run: 1<<runCounterBits | 1}}
	p.runFor(time.Second)
	is.True(p.scheduler.takeoverComplete)
	p.submit()
	p.runFor(time.Second)
	is.Equal(len(p.starts), 0)
	p.replies["w0"].Running = nil
	p.replies["w0"].Ended = []platform.RunEnd{{Number: 1, Task: other, Run: 1<<runCounterBits | 1, Outcome: platform.RunStopped}}
	p.runFor(time.Second)
	is.Equal(len(p.starts), 1)
}
