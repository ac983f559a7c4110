package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a record that exceeds the size of a transaction, as the progress of many large jobs has changed. The
// store refuses it each time, which blocks the records of the shard.
func TestRecordFitsIntoTransaction(t *testing.T) {
	is := is.New(t)
	// A transaction may have 1 MB, in which values are encoded as base64.
	const transactionBytes = 1_000_000 * 3 / 4
	const count = maxRecordRows
	p := newExpiryPool()
	for i := range count {
		progress := &workload.Progress{State: workload.StateRunning}
		for index := range workload.MaxTasks {
			progress.AddFailure(index, uint64(20)<<28+uint64(index))
		}
		job := &workload.Job{
			ID: cluster.JobName(fmt.Sprintf("%016x", i)), Team: testTeam, Queue: testQueue, AcceptedAt: p.now, Terms: workload.Terms{Service: testService},
			Steps: []workload.Step{{Tasks: workload.MaxTasks, Estimate: time.Second, LongRunning: true, Label: "missing"}},
		}
		p.events = append(p.events, &JobAccepted{Job: job, Progress: progress}, &JobCancelled{ID: job.ID})
	}
	p.runFor(20 * time.Second)
	is.Equal(len(p.recorded), count)
	is.True(p.largestRecord <= transactionBytes)
}

// busyPool is a pool of two workers on which runs of many jobs end in each step, so that more jobs change between two
// records than fit into one.
type busyPool struct {
	scheduler *Scheduler
	now       time.Time
	events    []Event
	workers   []cluster.WorkerID
	ends      map[cluster.WorkerID][]platform.RunEnd
	jobs      int
	// recorded holds the jobs whose progress was written.
	recorded map[cluster.JobName]bool
	// writing is the record in flight, holds are the hold calls of the last step.
	writing *WriteRecord
	holds   []*SendHold
}

func newBusyPool() *busyPool {
	p := &busyPool{
		now: time.Unix(1_800_000_000, 0), workers: []cluster.WorkerID{"w0", "w1"}, ends: map[cluster.WorkerID][]platform.RunEnd{},
		recorded: map[cluster.JobName]bool{},
	}
	p.scheduler = New(Config{Service: testService, Epoch: 1, Now: p.now, Log: zerolog.Nop()})
	list := &WorkersListed{Advisors: 1}
	for _, id := range p.workers {
		list.Workers = append(list.Workers, platform.WorkerVM{ID: id, Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: cluster.Core}})
	}
	p.events = append(p.events, list)
	return p
}

// endJob lets the run of a new job end on a worker. The job itself does not start here.
func (p *busyPool) endJob(id cluster.WorkerID) {
	p.jobs++
	job := &workload.Job{
		ID: cluster.JobName(fmt.Sprintf("%016x", p.jobs)), Team: testTeam, Queue: testQueue, AcceptedAt: p.now, Terms: workload.Terms{Service: testService},
		Steps: []workload.Step{{Tasks: 1, Estimate: time.Second, Label: "missing"}},
	}
	p.events = append(p.events, &JobAccepted{Job: job})
	p.ends[id] = append(p.ends[id], platform.RunEnd{
		Number: uint64(len(p.ends[id]) + 1), Task: workload.TaskID{Job: job.ID}.String(), Run: 1<<runCounterBits | platform.RunNumber(p.jobs), Outcome: platform.RunDone,
	})
}

// step runs one step. The workers list all their ends, also without a call, and MoreEnds as given.
func (p *busyPool) step(moreEnds bool) {
	for _, id := range p.workers {
		answered := &HoldAnswered{
			Worker: id, Fence: p.scheduler.cfg.Epoch << restartBits, SentAt: p.now, ReceivedAt: p.now, Extra: true,
			Reply: platform.HoldReply{Incarnation: 1, Clock: time.Hour, Ended: p.ends[id], MoreEnds: moreEnds},
		}
		for _, h := range p.holds {
			if h.Worker.ID == id {
				answered.Extra = answered.Extra && h.Extra
			}
		}
		p.events = append(p.events, answered)
	}
	effects := p.scheduler.Step(p.now, p.events)
	p.events, p.holds = nil, nil
	for _, e := range effects {
		switch v := e.(type) {
		case *WriteRecord:
			p.writing = v
		case *SendHold:
			p.holds = append(p.holds, v)
		}
	}
	p.now = p.now.Add(recordInterval)
}

// writeRecord completes the record in flight.
func (p *busyPool) writeRecord() {
	for _, j := range p.writing.Progress {
		p.recorded[j.ID] = true
	}
	p.events = append(p.events, &RecordWritten{Generation: p.writing.Generation})
	p.writing = nil
}

// acknowledgeable returns the number of the last end of a worker up to which the progress of all jobs is written.
func (p *busyPool) acknowledgeable(id cluster.WorkerID) uint64 {
	for _, e := range p.ends[id] {
		if task, _ := workload.ParseTaskID(e.Task); !p.recorded[task.Job] {
			return e.Number - 1
		}
	}
	return uint64(len(p.ends[id]))
}

// Guards against run ends that are never acknowledged while more jobs change between two records than fit into one. They
// stay in the lists of the workers, until later ends are not listed any more.
func TestRunEndsAreAcknowledgedWhileJobsWaitForRecord(t *testing.T) {
	is := is.New(t)
	const records = 20
	p := newBusyPool()
	for n := range records {
		for range maxRecordRows {
			p.endJob("w0")
		}
		for range maxRecordRows / 2 {
			p.endJob("w1")
		}
		for range 2 { // the step after that in which a record is written emits the next one
			p.step(false)
			for _, id := range p.workers {
				is.Equal(p.scheduler.workers[id].lastEndRecorded, p.acknowledgeable(id)) // exactly the ends of the written jobs are acknowledged
			}
		}
		is.True(p.writing != nil)
		p.writeRecord()
		is.Equal(len(p.recorded), maxRecordRows*(n+1))
	}
}

// Guards against a list of ends that is cut for longer than necessary: the call that acknowledges the recorded part of it
// waits until the other ends are recorded too.
func TestCutEndsAreAcknowledgedOnceRecorded(t *testing.T) {
	for _, moreEnds := range []bool{false, true} {
		t.Run(fmt.Sprintf("moreEnds=%t", moreEnds), func(t *testing.T) {
			is := is.New(t)
			p := newBusyPool()
			for p.scheduler.recordedGeneration == 0 {
				p.step(false)
				if p.writing != nil {
					p.writeRecord()
				}
			}
			for range 2 * maxRecordRows {
				p.endJob("w0")
			}
			for p.writing == nil {
				p.step(moreEnds)
			}
			p.writeRecord()
			p.step(moreEnds)
			called := slices.ContainsFunc(p.holds, func(h *SendHold) bool { return h.Worker.ID == "w0" && h.Request.Acknowledge == maxRecordRows })
			is.Equal(called, moreEnds) // no call is added while the list is complete
		})
	}
}

// newBacklog returns a scheduler in whose next record not all changed jobs fit. The last changed job has ended.
func newBacklog() (*Scheduler, time.Time, cluster.JobName) {
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
	var events []Event
	var id cluster.JobName
	for n := range 3 * maxRecordRows {
		id = cluster.JobName(fmt.Sprintf("%016x", n))
		events = append(events, &JobAccepted{Job: &workload.Job{
			ID: id, Team: testTeam, Queue: testQueue, AcceptedAt: now, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}},
		}})
	}
	s.Step(now, events)
	for _, e := range events {
		s.markDirty(s.jobs[e.(*JobAccepted).Job.ID])
	}
	s.finishJob(s.jobs[id], workload.StateCompleted)
	return s, now, id
}

// record returns the record among the effects of a step, or nil if there is none.
func record(effects []Effect) *WriteRecord {
	for _, e := range effects {
		if r, ok := e.(*WriteRecord); ok {
			return r
		}
	}
	return nil
}

// Guards against a job that is shown as running for half a minute after its end, because the progress of hundreds of
// other jobs is recorded first.
func TestEndedJobIsRecordedFirst(t *testing.T) {
	is := is.New(t)
	s, now, ended := newBacklog()
	r := record(append(s.Step(now, []Event{&RecordWritten{Generation: 1}}), s.Step(now.Add(recordInterval), nil)...))
	is.True(r != nil)
	is.Equal(len(r.Progress), maxRecordRows)
	is.Equal(r.Progress[0].ID, ended)
}

// Guards against records that are written too seldom for the changes of an owner with slow steps, as each one waits for
// a step of its own after the one before it is written.
func TestNextRecordOfBacklogIsNotDelayed(t *testing.T) {
	is := is.New(t)
	s, now, _ := newBacklog()
	for generation := uint64(1); len(s.dirtyJobs) > 0; generation++ {
		r := record(s.Step(now, []Event{&RecordWritten{Generation: generation}}))
		is.True(r != nil)
		now = now.Add(time.Second)
	}
}
