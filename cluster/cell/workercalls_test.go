package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

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
				o := newOwnedShard(d, testShard, 1, 1, time.Now(), true)
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
