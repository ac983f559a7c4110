package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// countStarts runs the scheduler of a shard with one worker, which answers every request, and returns the number of
// start requests.
func countStarts(service cluster.ServiceName, events []pool.Event) int {
	now := time.Now()
	s := pool.New(pool.Config{Service: service, Epoch: 1, Now: now})
	events = append(events, &pool.WorkersListed{Advisors: 1, Workers: []platform.WorkerVM{
		{ID: "w", Service: service, Incarnation: 1, Capacity: cluster.Resources{CPU: cluster.Core}},
	}})
	starts := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		effects := s.Step(now, events)
		events = nil
		for _, e := range effects {
			switch v := e.(type) {
			case *pool.SendHold:
				events = append(events, &pool.HoldAnswered{
					Worker: v.Worker.ID, Fence: v.Request.Fence, SentAt: now, ReceivedAt: now, Extra: v.Extra, Reply: platform.HoldReply{Incarnation: 1, Clock: time.Hour},
				})
			case *pool.WriteRecord:
				events = append(events, &pool.RecordWritten{Generation: v.Generation})
			case *pool.SendStart:
				starts++
			}
		}
	}
	return starts
}

// Guards against an accepted job that no owner starts because a later configuration moved its queue to the pool of
// another service.
func TestJobOfMovedQueueStarts(t *testing.T) {
	for _, c := range []struct {
		name    string
		service cluster.ServiceName
	}{{name: "not moved", service: "s"}, {name: "moved", service: "moved"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, d := newStoreDaemon(t)
			job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
			rows := []platform.Row{{Key: jobKey(1, job.ID), Value: must(workload.EncodeJob(job))}}
			snapshot := cluster.Assemble(1, []cluster.Entity{&cluster.Queue{Name: "q", Service: c.service}, &cluster.Team{Name: "team"}})
			starts := 0
			for _, service := range []cluster.ServiceName{"s", "moved"} {
				o := newOwnedShard(d, shardID{Service: service}, 1, 1, time.Now(), time.Time{})
				starts += countStarts(service, append([]pool.Event{&pool.ConfigChanged{Snapshot: snapshot}}, o.decodeJobs(platform.ReadReply{Rows: rows}, nil).events()...))
			}
			is.True(starts > 0)
		})
	}
}

// deletingStore also applies the deletes of transactions.
type deletingStore struct{ *rowStore }

func (s deletingStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	err := s.partError(txn.Deletes...)
	if err == nil {
		for _, key := range txn.Deletes {
			delete(s.rows, key)
		}
	}
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return s.rowStore.Commit(ctx, txn)
}

// Guards against a completed job that runs again because its progress was deleted while the part of its row was down.
func TestExpiredJobDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.store = newRelayStore(d, deletingStore{rows})
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
		_, err = d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: jobKey(1, job.ID), Value: must(workload.EncodeJob(job))}}})
		is.NoErr(err)
		load := func(epoch cluster.Epoch) (*ownedShard, int) {
			o, loaded := newRecordOwner(t, d, epoch)
			jobs, err := o.readJobs()
			is.NoErr(err)
			return o, countStarts("s", o.decodeJobs(jobs, loaded.progress).events())
		}
		first, starts := load(1)
		is.True(starts > 0)
		completed := &workload.Progress{State: workload.StateCompleted, EndedAt: time.Now(), Done: []byte{1}}
		first.writeRecord(&pool.WriteRecord{Generation: 1, Progress: []pool.JobProgress{{ID: job.ID, Data: must(workload.EncodeProgress(completed))}}})
		second, starts := load(2)
		is.Equal(starts, 0)
		rows.setPartsUnreachable(jobPartPrefix(0, jobPart(job.ID)))
		second.deleteExpiredJobs([]cluster.JobName{job.ID})
		second.goroutines.Wait()
		rows.setPartsUnreachable()
		_, starts = load(3)
		is.Equal(starts, 0)
	})
}

// Guards against a query that never ends, and keeps its shard from transferring shares, because it panicked in the
// control loop.
func TestQueryEndsWithPanic(t *testing.T) {
	is := is.New(t)
	_, d := newStoreDaemon(t)
	o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
	o.scheduler = pool.New(pool.Config{Service: testShard.Service, Epoch: 1, Now: time.Now()})
	close(o.loaded)
	var loop conc.WaitGroup
	loop.Go(o.loop)
	result := make(chan error, 1)
	go func() { result <- o.query(t.Context(), "test", func(*pool.Scheduler) { panic("test") }) }()
	is.True(IsKind(awaitReply(t, result), KindUnknown))
	is.True(loop.WaitAndRecover() != nil)
}

// Guards against rows of an ended job that are left in the store, and against progress that is deleted before them,
// because one of the parts was down.
func TestExpiredJobIsDeletedAfterFailure(t *testing.T) {
	alternate := alternatePart(jobPart(recordedJob))
	keys := jobKeys(1, recordedJob)
	rowKeys := []string{keys[0], keys[1], keys[1] + cancelSuffix}
	for _, c := range []struct {
		name string
		// down is the part that is down during the first deletion.
		down         string
		progressLeft bool
	}{
		{name: "regular part", down: jobPartPrefix(0, jobPart(recordedJob)), progressLeft: true},
		{name: "alternate part", down: jobPartPrefix(0, alternate), progressLeft: true},
		{name: "part of the records", down: recordPartPrefix(testShard, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows, d := newStoreDaemon(t)
				d.store = newRelayStore(d, deletingStore{rows})
				_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
				is.NoErr(err)
				o, _ := newRecordOwner(t, d, 1)
				progressKeys := []string{progressKey(testShard, 0, recordedJob), progressKey(testShard, 1, recordedJob)}
				for _, key := range append(progressKeys, rowKeys...) {
					_, err := d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key}}})
					is.NoErr(err)
				}
				left := func(keys []string) int {
					reply, err := rows.Read(t.Context(), platform.ReadRequest{Keys: keys})
					is.NoErr(err)
					return len(reply.Rows)
				}
				rows.setPartsUnreachable(c.down)
				o.deleteExpiredJobs([]cluster.JobName{recordedJob})
				o.goroutines.Wait()
				rows.setPartsUnreachable()
				is.Equal((<-o.events).(*pool.JobsDeleted), &pool.JobsDeleted{Remaining: []cluster.JobName{recordedJob}})
				is.Equal(left(progressKeys) == len(progressKeys), c.progressLeft)
				o.deleteExpiredJobs([]cluster.JobName{recordedJob})
				o.goroutines.Wait()
				is.Equal((<-o.events).(*pool.JobsDeleted), &pool.JobsDeleted{Deleted: []cluster.JobName{recordedJob}})
				is.Equal(left(rowKeys)+left(progressKeys), 0)
			})
		})
	}
}
