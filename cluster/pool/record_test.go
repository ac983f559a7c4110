package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
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
