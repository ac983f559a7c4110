package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// panickingWorkers panics in each request.
type panickingWorkers struct{ platform.WorkerService }

func (panickingWorkers) StartTask(context.Context, platform.WorkerVM, platform.StartRequest) (platform.StartReply, error) {
	panic("test")
}

func (panickingWorkers) StopTask(context.Context, platform.WorkerVM, platform.StopRequest) (platform.StopReply, error) {
	panic("test")
}

func (panickingWorkers) Hold(context.Context, platform.WorkerVM, platform.HoldRequest) (platform.HoldReply, error) {
	panic("test")
}

// Guards against a run that is neither confirmed nor stopped any more, and against a worker whose leases are not
// renewed any more, because a request to the worker ended in a panic.
func TestPanicInWorkerRequestIsReported(t *testing.T) {
	worker := platform.WorkerVM{ID: "w", Incarnation: 3}
	task := workload.TaskID{Job: recordedJob}
	for _, c := range []struct {
		name   string
		effect pool.Effect
		want   pool.Event
	}{
		{
			name: "start", effect: &pool.SendStart{Worker: worker, Task: task, Request: platform.StartRequest{Run: 7, Fence: 5}},
			want: &pool.StartAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, ReplyLost: true},
		},
		{
			name: "stop", effect: &pool.SendStop{Worker: worker, Task: task, Request: platform.StopRequest{Run: 7, Fence: 5}},
			want: &pool.StopAnswered{Worker: "w", Task: task, Run: 7, Fence: 5, ReplyLost: true},
		},
		{
			name: "hold", effect: &pool.SendHold{Worker: worker, Request: platform.HoldRequest{Fence: 5}, Extra: true},
			want: &pool.HoldAnswered{Worker: "w", Incarnation: 3, Fence: 5, ReplyLost: true, Extra: true},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, d := newStoreDaemon(t)
				d.cfg.Workers = panickingWorkers{}
				o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
				o.executeEffects([]pool.Effect{c.effect})
				is.Equal(o.goroutines.WaitAndRecover(), nil) // the daemon can still be stopped
				is.NoErr(o.ctx.Err())
				is.Equal(len(o.events), 1)
				is.Equal(<-o.events, c.want)
			})
		})
	}
}

// panickingCommits panics in each transaction.
type panickingCommits struct{ *rowStore }

func (panickingCommits) Commit(context.Context, platform.Txn) (cluster.Version, error) { panic("test") }

// Guards against an owner that records nothing any more because a record ended in a panic.
func TestPanicInRecordEndsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.store = newRelayStore(d, panickingCommits{rows})
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		o.executeEffects([]pool.Effect{recordOfDoneTasks(t, 1, 0)})
		is.Equal(o.goroutines.WaitAndRecover(), nil) // the daemon can still be stopped
		is.True(o.ctx.Err() != nil)
		is.Equal(len(o.events), 0)
	})
}

// Guards against rows of ended jobs that are never deleted because their deletion ended in a panic.
func TestPanicInDeletionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.store = newRelayStore(d, panickingCommits{rows})
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		o.deleteExpiredJobs([]cluster.JobName{recordedJob})
		is.Equal(o.goroutines.WaitAndRecover(), nil) // the daemon can still be stopped
		is.NoErr(o.ctx.Err())
		is.Equal(len(o.events), 1)
		is.Equal((<-o.events).(*pool.JobsDeleted), &pool.JobsDeleted{Remaining: []cluster.JobName{recordedJob}})
	})
}

// slowWorker replies to hold calls after a delay.
type slowWorker struct {
	platform.WorkerService
	delay time.Duration
	reply platform.HoldReply
}

func (w slowWorker) Hold(ctx context.Context, _ platform.WorkerVM, _ platform.HoldRequest) (platform.HoldReply, error) {
	select {
	case <-time.After(w.delay):
		return w.reply, nil
	case <-ctx.Done():
		return platform.HoldReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
}

// Guards against ends of runs that are lost with a reply that arrives late: the tasks would run again once the leases
// of the worker have expired.
func TestLateReplyOfWorkerIsRead(t *testing.T) {
	for _, c := range []struct {
		name       string
		delay      time.Duration
		unanswered bool
		read       bool
	}{
		{name: "in time", delay: 600 * time.Millisecond, read: true},
		{name: "late", delay: 2 * time.Second, unanswered: true, read: true},
		{name: "after the lease", delay: 2 * pool.DefaultLease, unanswered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newTestDaemon(t, &slowStore{})
				defer d.stop()
				d.cfg.Workers = slowWorker{delay: c.delay, reply: platform.HoldReply{Ended: []platform.RunEnd{{Number: 1, Outcome: platform.RunDone}}}}
				o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
				o.sendHold(&pool.SendHold{})
				var unanswered, read bool
				for len(o.events) > 0 {
					answered := (<-o.events).(*pool.HoldAnswered)
					unanswered = unanswered || answered.ReplyLost
					read = read || len(answered.Reply.Ended) == 1
				}
				is.Equal(unanswered, c.unanswered)
				is.Equal(read, c.read)
			})
		})
	}
}
