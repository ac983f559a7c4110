package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// blockLoop blocks the control loop of an owner until the end of the test.
func blockLoop(t *testing.T, o *ownedShard) {
	t.Helper()
	blocked, unblock := make(chan struct{}), make(chan struct{})
	o.d.wg.Go(func() { _ = o.query(o.ctx, "test", func(*pool.Scheduler) { close(blocked); <-unblock }) })
	t.Cleanup(func() { close(unblock) })
	<-blocked
}

// Guards against a client that waits for the numbers of pending jobs beyond its timeout, because an earlier client waits
// for an owner that does not answer.
func TestPendingEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	_, d := newThreeShardDaemon(t)
	o := newShardOwner(t, d, 0, 1)
	d.ownedShards[o.id] = o
	d.owners[o.id] = ownership{row: ownerRow{Owner: string(d.cfg.Self), Epoch: 1}, version: 1}
	blockLoop(t, o)
	queue := &cluster.Queue{Name: "q", Service: o.id.Service}
	pending := func(timeout time.Duration) <-chan error {
		result := make(chan error, 1)
		d.wg.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, timeout)
			defer cancel()
			_, err := d.Pending(ctx, queue)
			result <- err
		})
		return result
	}
	pending(time.Minute)
	time.Sleep(retryDelay) // until the first client waits for the owner
	is.True(IsKind(awaitReply(t, pending(retryDelay)), KindUnavailable))
}

// Guards against queries of a state that wait, or go to the store, while the control loop of the owner is busy.
func TestStateIsAnsweredWhileLoopIsBusy(t *testing.T) {
	is := is.New(t)
	_, d := newThreeShardDaemon(t)
	id := shardID{Service: "s", Index: jobShard(recordedJob, d.shardCount())}
	o := newShardOwner(t, d, id.Index, 1)
	d.ownedShards[id] = o
	d.owners[id] = ownership{row: ownerRow{Owner: string(d.cfg.Self), Epoch: 1}, version: 1}
	o.sendEvent(&pool.JobAccepted{Job: &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}})
	waitUntil(t, func() bool {
		_, known := o.scheduler.Statuses().Get(recordedJob)
		return known
	})
	blockLoop(t, o)
	state, err := d.State(t.Context(), recordedJob, "team", &cluster.Queue{Name: "q", Service: "s"}) // the store has no row of the job
	is.NoErr(err)
	is.Equal(state, workload.StateQueued)
}

// Guards against a state that is not read from the store because the owner is this daemon and does not answer.
func TestStateIsReadWhileOwnerIsBusy(t *testing.T) {
	is := is.New(t)
	store, d := newThreeShardDaemon(t)
	id := shardID{Service: "s", Index: jobShard(recordedJob, d.shardCount())}
	o := newShardOwner(t, d, id.Index, 1)
	d.ownedShards[id] = o
	d.owners[id] = ownership{row: ownerRow{Owner: string(d.cfg.Self), Epoch: 1}, version: 1}
	job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: id.Service}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
	_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: jobKey(d.shardCount(), job.ID), Value: must(workload.EncodeJob(job))}}})
	is.NoErr(err)
	blockLoop(t, o)
	ctx, cancel := context.WithTimeout(t.Context(), replyLimit)
	defer cancel()
	state, err := d.State(ctx, job.ID, job.Team, &cluster.Queue{Name: job.Queue, Service: id.Service})
	is.NoErr(err)
	is.Equal(state, workload.StateQueued)
	is.NoErr(ctx.Err()) // there was time to read the store
}

// Guards against queries that use up the rate of the store while the owner of a shard is late, so that the calls of the
// owner are refused.
func TestStatesReadFromStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{readDelay: 100 * time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		const queries = 200
		refused := make(chan bool, queries)
		for range queries {
			go func() {
				_, err := d.State(t.Context(), recordedJob, "team", &cluster.Queue{Name: "q", Service: "s"})
				refused <- IsKind(err, KindOverloaded)
			}()
		}
		synctest.Wait()
		is.Equal(len(refused), queries-maxStoredStateReads) // the others are refused at once
		time.Sleep(time.Second)
		for len(refused) > 0 {
			<-refused
		}
		_, err := d.State(t.Context(), recordedJob, "team", &cluster.Queue{Name: "q", Service: "s"})
		is.True(IsKind(err, KindNotFound)) // not refused any more
		store.readDelay = time.Millisecond
		for range 10 * storedStateRate {
			_, _ = d.State(t.Context(), recordedJob, "team", &cluster.Queue{Name: "q", Service: "s"})
		}
		is.True(store.reads.Load() <= 3*4*storedStateRate) // up to three reads for each state
	})
}

// Guards against queries that time out because the control loop runs one of them for each step while steps are long.
func TestWaitingQueriesRunInOneStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newStoreDaemon(t)
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		const queries = 50
		var ran atomic.Int64
		for range queries {
			go func() { o.queries <- func(*pool.Scheduler) { ran.Add(1) } }()
		}
		synctest.Wait()
		o.runQueries()
		is.Equal(ran.Load(), int64(queries))
	})
}
