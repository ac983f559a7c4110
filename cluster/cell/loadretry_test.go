package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// callCountStore counts the transactions and the reads that fail.
type callCountStore struct {
	deletingStore
	commits, failedReads atomic.Int64
}

func (s *callCountStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	s.commits.Add(1)
	return s.deletingStore.Commit(ctx, txn)
}

func (s *callCountStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.deletingStore.Read(ctx, req)
	if err != nil {
		s.failedReads.Add(1)
	}
	return reply, err
}

func newCallCountDaemon(t *testing.T, shards int) (*callCountStore, *Daemon) {
	t.Helper()
	store := &callCountStore{deletingStore: deletingStore{&rowStore{rows: map[string]platform.Row{}}}}
	d := newTestDaemon(t, store)
	d.layout.Store(&layoutRow{Shards: shards})
	return store, d
}

// loadDuringOutage loads the test shard while a part is down for the given time, and calls during in the middle of it.
func loadDuringOutage(t *testing.T, store *rowStore, d *Daemon, epoch cluster.Epoch, part string, outage time.Duration, during func()) (*ownedShard, cluster.Version) {
	t.Helper()
	store.setPartsUnreachable(part)
	time.AfterFunc(outage/2, during)
	time.AfterFunc(outage, func() { store.setPartsUnreachable() })
	o := newOwnedShard(d, testShard, epoch, 1, time.Now(), time.Time{})
	version, loaded := o.load()
	if !loaded {
		t.Fatal("shard not loaded")
	}
	return o, version
}

func jobOfTestShard() *workload.Job {
	return &workload.Job{
		ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: testShard.Service},
		Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}},
	}
}

// Guards against a load that asks a part that is down ten times a second, that writes to the store with each attempt,
// or that goes on late after the part is back.
func TestLoadRetries(t *testing.T) {
	const outage = 30 * time.Second
	for _, part := range []string{jobPartPrefix(0, 5), recordPartPrefix(testShard, 0), recordPartPrefix(testShard, 1)} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, d := newCallCountDaemon(t, 3)
				defer d.wg.Wait()
				defer d.stop()
				startedAt := time.Now()
				o, _ := loadDuringOutage(t, store.rowStore, d, 1, part, outage, func() {})
				took := time.Since(startedAt)
				commits := store.commits.Load()
				d.stop()
				o.goroutines.Wait()
				t.Logf("loaded after %v with %d transactions and %d failed reads", took, commits, store.failedReads.Load())
				is.True(took <= outage+time.Second)
				is.True(commits <= recordParts+2) // the fences, the shares row and the first record
				is.True(store.failedReads.Load() <= int64(2*outage/time.Second))
			})
		})
	}
}

// Guards against a job that is never started because it was written to a part after that was read and before the
// feed of jobs starts.
func TestLoadMissesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newCallCountDaemon(t, 1)
		defer d.wg.Wait()
		defer d.stop()
		job := jobOfTestShard()
		key, value := jobKey(1, job.ID), must(workload.EncodeJob(job))
		o, version := loadDuringOutage(t, store.rowStore, d, 1, jobPartPrefix(0, alternatePart(jobPart(job.ID))), 4*time.Second, func() {
			_, _ = store.Commit(d.ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		})
		d.stop()
		o.goroutines.Wait()
		reply, err := store.Read(t.Context(), platform.ReadRequest{Keys: []string{key}})
		is.NoErr(err)
		is.Equal(len(reply.Rows), 1)
		_, _, _, known := o.scheduler.State(job.ID)
		is.True(known || reply.Rows[0].Version > version)
	})
}

// Guards against a completed job that runs again because the previous owner deleted it, its row before its progress,
// between two attempts of the load.
func TestLoadKnowsJobThatIsDeletedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newCallCountDaemon(t, 1)
		defer d.wg.Wait()
		defer d.stop()
		job := jobOfTestShard()
		completed := &workload.Progress{State: workload.StateCompleted, EndedAt: time.Now(), Done: []byte{1}}
		progress := progressKey(testShard, 0, job.ID)
		for key, value := range map[string][]byte{jobKey(1, job.ID): must(workload.EncodeJob(job)), progress: must(workload.EncodeProgress(completed))} {
			_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
			is.NoErr(err)
		}
		o, _ := loadDuringOutage(t, store.rowStore, d, 2, jobPartPrefix(0, (jobPart(job.ID)+1)%jobParts), 4*time.Second, func() {
			for _, key := range []string{jobKey(1, job.ID), progress} {
				_, _ = store.Commit(d.ctx, platform.Txn{Deletes: []string{key}})
			}
		})
		d.stop()
		o.goroutines.Wait()
		_, left := store.rows[progress]
		is.True(!left)
		state, _, _, known := o.scheduler.State(job.ID)
		is.True(!known || state == workload.StateCompleted)
	})
}

// Guards against an ended job that runs again because its owner deletes it after a read of all jobs that failed.
func TestFailedReadOfJobsIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newCallCountDaemon(t, 1)
		defer d.stop()
		key := jobKey(1, recordedJob)
		_, err := d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key}}})
		is.NoErr(err)
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		store.setPartsUnreachable(jobPartPrefix(0, alternatePart(jobPart(recordedJob))))
		_, err = o.readJobs()
		is.True(err != nil)
		_, err = d.store.Commit(t.Context(), platform.Txn{Deletes: []string{key}})
		is.NoErr(err)
		store.setPartsUnreachable()
		jobs, err := o.readJobs()
		is.NoErr(err)
		is.True(!slices.ContainsFunc(jobs.Rows, func(r platform.Row) bool { return r.Key == key }))
	})
}
