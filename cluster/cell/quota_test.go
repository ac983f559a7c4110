package cell

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// newQuotaDaemon returns a daemon of a cell with a limit for the memory of jobs that writes its submissions.
func newQuotaDaemon(t *testing.T, limit cluster.Bytes) (*rowStore, *Daemon) {
	t.Helper()
	store, d := newStoreDaemon(t)
	d.cfg.MaxJobBytes = limit
	d.updateJobMemory()
	for part := range jobParts {
		d.wg.Go(func() { d.intake.run(part) })
	}
	return store, d
}

// quotaJob returns a job with a payload of the given size.
func quotaJob(n int, payload int) *workload.Job {
	return &workload.Job{
		ID: cluster.JobName(fmt.Sprintf("%016x", n)), Team: "team", Terms: workload.Terms{Service: testShard.Service},
		Steps: []workload.Step{{Tasks: 1, Size: cluster.Resources{CPU: cluster.Core}, Image: strings.Repeat("i", payload)}},
	}
}

// setOwner makes a daemon the owner of the test's shard.
func (d *Daemon) setOwner(owner cluster.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners[testShard] = ownership{row: ownerRow{Owner: string(owner), Epoch: 1}, version: 1, seenAt: time.Now()}
}

func submitWithin(t *testing.T, d *Daemon, job *workload.Job) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return d.Submit(ctx, job)
}

// settleStore waits until the daemon may look up jobs that it refuses.
func settleStore(t *testing.T, d *Daemon) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !d.admitter.storeSettled() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
}

// Guards against an owner that accepts jobs beyond its memory, that refuses the repeat of an accepted job, or that says of a
// job that it may run when it does not.
func TestOwnerRefusesJobsBeyondItsMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 * cluster.MiB
	store, d := newQuotaDaemon(t, limit)
	d.setOwner(d.cfg.Self)
	o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
	d.mu.Lock()
	d.ownedShards[testShard] = o
	d.mu.Unlock()
	close(o.loaded)
	is.NoErr(submitWithin(t, d, quotaJob(0, 10)))
	settleStore(t, d)

	var accepted []*workload.Job
	var err error
	for n := 1; err == nil && n < 100; n++ {
		job := quotaJob(n, 50<<10)
		if err = submitWithin(t, d, job); err == nil {
			accepted = append(accepted, job)
		}
	}
	is.True(IsKind(err, KindRejected))
	is.True(err.(*Error).RetryAfter >= time.Second)
	is.True(len(accepted) > 5)
	is.True(cluster.Bytes(len(accepted))*pool.JobMemory(accepted[0]) <= limit)
	store.mu.Lock()
	rows := len(store.rows)
	store.mu.Unlock()
	is.Equal(rows, 1+len(accepted)) // nothing is written of the refused job

	is.NoErr(submitWithin(t, d, quotaJob(200, 10))) // an ordinary job of the team
	is.NoErr(submitWithin(t, d, accepted[0]))       // a repeat
	d.admitter.mu.Lock()
	clear(d.admitter.unresolved)
	d.admitter.mu.Unlock()
	o.quota.Close(time.Now())
	for n := range 200 {
		o.quota.Set(time.Now(), cluster.JobName(fmt.Sprint(n)), "other", limit/200)
	}
	is.NoErr(submitWithin(t, d, accepted[0])) // a repeat of a job that only the store knows
	is.True(IsKind(submitWithin(t, d, quotaJob(201, 10)), KindRejected))
}

// Guards against a daemon that accepts jobs without a bound while no owner answers, or that refuses ordinary ones then.
func TestJobsWithoutOwnerAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 1 * cluster.MiB
	_, d := newQuotaDaemon(t, limit)
	d.setOwner("gone@1")
	is.NoErr(submitWithin(t, d, quotaJob(0, 10)))
	settleStore(t, d)
	var accepted cluster.Bytes
	var err error
	for n := 1; err == nil && n < 1000; n++ {
		job := quotaJob(n, 10)
		if err = submitWithin(t, d, job); err == nil {
			accepted += pool.JobMemory(job)
		}
	}
	is.True(IsKind(err, KindUnavailable))
	is.True(err.(*Error).RetryAfter >= time.Second)
	is.True(accepted > limit/creditShare/2)
	is.True(accepted <= limit/creditShare)
}

// Guards against daemons that refuse jobs while the owner is of an earlier version, and against a call to the owner for each
// ordinary job.
func TestCreditIsRenewedByOwner(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply *peer.Reply
	}{
		{"owner with room", &peer.Reply{Body: must(encode("test", &memoryReply{Granted: true, Credit: int64(cluster.MiB)}))}},
		{"owner of an earlier version", failureReply(0, &Error{Op: "serve call", Kind: KindMalformed, Err: fmt.Errorf("%sx", unknownMethod)})},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, d := newQuotaDaemon(t, 400<<10)
			const owner = cluster.DaemonID("owner@1")
			var calls atomic.Int64
			var transport atomic.Pointer[peer.Transport]
			transport.Store(connectPeer(t, d, owner, func(m peer.Message) {
				if call, ok := m.(*peer.Call); ok && call.Method == methodReserveMemory {
					calls.Add(1)
					reply := *c.reply
					reply.ID = call.ID
					transport.Load().Send(d.cfg.Self, &reply)
				}
			}))
			d.setOwner(owner)
			const jobs = 300
			for n := range jobs {
				is.NoErr(submitWithin(t, d, quotaJob(n, 10)))
			}
			t.Logf("%d calls", calls.Load())
			if c.name == "owner with room" {
				is.True(calls.Load() <= jobs/5)
			}
		})
	}
}
