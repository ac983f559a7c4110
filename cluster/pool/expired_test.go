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

// expiryPool is a pool of one idle worker, which answers every request. Records are written at once.
type expiryPool struct {
	scheduler *Scheduler
	now       time.Time
	events    []Event
	// expired holds the jobs whose rows were to be deleted, recorded those whose progress was recorded.
	expired, recorded []cluster.JobName
	// largestRecord is the largest size of the progress in a record, in bytes.
	largestRecord int
	starts        int
}

func newExpiryPool() *expiryPool {
	p := &expiryPool{now: time.Unix(1_800_000_000, 0)}
	p.scheduler = New(Config{Service: testService, Epoch: 1, Now: p.now, Log: zerolog.Nop()})
	p.events = append(p.events, &WorkersListed{Advisors: 1, Workers: []platform.WorkerVM{
		{ID: "w", Service: testService, Incarnation: 1, Capacity: cluster.Resources{CPU: cluster.Core}},
	}})
	return p
}

func (p *expiryPool) runFor(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		effects := p.scheduler.Step(p.now, p.events)
		p.events = nil
		for _, e := range effects {
			switch v := e.(type) {
			case *WriteRecord:
				p.events = append(p.events, &RecordWritten{Generation: v.Generation})
				p.expired = append(p.expired, v.Expired...)
				size := 0
				for _, j := range v.Progress {
					p.recorded = append(p.recorded, j.ID)
					size += len(j.Data)
				}
				p.largestRecord = max(p.largestRecord, size)
			case *SendStart:
				p.starts++
			case *SendHold:
				p.events = append(p.events, &HoldAnswered{
					Worker: v.Worker.ID, Fence: v.Request.Fence, SentAt: p.now, ReceivedAt: p.now, Extra: v.Extra,
					Reply: platform.HoldReply{Incarnation: 1, Clock: time.Hour},
				})
			}
		}
	}
}

// expireJob lets a job of one task expire that ended before the pool was taken over.
func (p *expiryPool) expireJob() *workload.Job {
	job := &workload.Job{
		ID: "0000000000000001", Team: testTeam, Queue: testQueue, AcceptedAt: p.now.Add(-time.Second), Terms: workload.Terms{Service: testService},
		Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}},
	}
	p.events = append(p.events, &JobAccepted{Job: job, Progress: &workload.Progress{State: workload.StateCompleted, EndedAt: p.now, Done: []byte{1}}})
	p.runFor(endedJobRetention + 2*time.Second)
	return job
}

// Guards against a completed job that runs again because its row, of which the owner has forgotten the progress, is
// read or announced once more.
func TestRowOfExpiredJobIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name    string
		deleted func(id cluster.JobName) []Event
		// acceptedAgain means that the row is that of a new submission.
		acceptedAgain bool
	}{
		{name: "before the deletion", deleted: func(cluster.JobName) []Event { return nil }},
		{name: "after a failed deletion", deleted: func(id cluster.JobName) []Event { return []Event{&JobsDeleted{Remaining: []cluster.JobName{id}}} }},
		{name: "after the deletion", deleted: func(id cluster.JobName) []Event { return []Event{&JobsDeleted{Deleted: []cluster.JobName{id}}} }},
		{
			name: "submitted again after the deletion", acceptedAgain: true,
			deleted: func(id cluster.JobName) []Event { return []Event{&JobsDeleted{Deleted: []cluster.JobName{id}}} },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newExpiryPool()
			job := p.expireJob()
			is.Equal(p.expired, []cluster.JobName{job.ID})
			p.events = append(p.events, c.deleted(job.ID)...)
			p.runFor(100 * time.Millisecond)
			row := *job
			if c.acceptedAgain {
				row.AcceptedAt = p.now
			}
			p.events = append(p.events, &JobAccepted{Job: &row})
			p.runFor(time.Second)
			is.Equal(p.starts > 0, c.acceptedAgain)
		})
	}
}

// Guards against rows of ended jobs that stay in the store because their deletion failed once.
func TestFailedDeletionIsRepeated(t *testing.T) {
	is := is.New(t)
	p := newExpiryPool()
	job := p.expireJob()
	p.runFor(time.Minute)
	is.Equal(p.expired, []cluster.JobName{job.ID}) // the deletion is in flight
	p.events = append(p.events, &JobsDeleted{Remaining: []cluster.JobName{job.ID}})
	p.runFor(time.Minute)
	is.Equal(p.expired, []cluster.JobName{job.ID, job.ID})
	_, _, _, known := p.scheduler.State(job.ID)
	is.True(known)
	p.events = append(p.events, &JobsDeleted{Deleted: []cluster.JobName{job.ID}})
	p.runFor(time.Minute)
	is.Equal(p.expired, []cluster.JobName{job.ID, job.ID})
	_, _, _, known = p.scheduler.State(job.ID)
	is.True(!known)
}

// Guards against a progress row that is written again, and never deleted, because a run of the job ends while the rows
// of the job are being deleted.
func TestProgressOfExpiredJobIsNotRecorded(t *testing.T) {
	is := is.New(t)
	p := newExpiryPool()
	job := p.expireJob()
	p.recorded = nil
	task := workload.TaskID{Job: job.ID}
	p.events = append(p.events, &HoldAnswered{Worker: "w", Fence: p.scheduler.fence(p.scheduler.workers["w"]), SentAt: p.now, ReceivedAt: p.now, Extra: true, Reply: platform.HoldReply{
		Incarnation: 1, Clock: time.Hour, Ended: []platform.RunEnd{{Number: 1, Task: task.String(), Run: 1, Outcome: platform.RunDone}},
	}})
	p.runFor(time.Second)
	is.Equal(len(p.recorded), 0)
	is.Equal(p.scheduler.workers["w"].lastEndRecorded, uint64(1)) // the end is acknowledged
}
