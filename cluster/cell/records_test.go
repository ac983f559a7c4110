package cell

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const recordedJob = cluster.JobName("0000000000000001")

var testShard = shardID{Service: "s"}

// newRecordOwner returns an owner that has loaded its records and has no scheduler.
func newRecordOwner(t *testing.T, d *Daemon, epoch cluster.Epoch) (*ownedShard, loadedRecords) {
	t.Helper()
	o := newOwnedShard(d, testShard, epoch, 1, time.Now(), time.Time{})
	loaded, err := o.loadRecords()
	if err != nil {
		t.Fatal(err)
	}
	return o, loaded
}

// recordOfDoneTasks returns a record in which the tasks up to a slot are done.
func recordOfDoneTasks(t *testing.T, generation uint64, slot int, workers ...cluster.WorkerID) *pool.WriteRecord {
	t.Helper()
	progress := &workload.Progress{State: workload.StateRunning}
	for i := range slot + 1 {
		progress.SetDone(i)
	}
	data, err := workload.EncodeProgress(progress)
	if err != nil {
		t.Fatal(err)
	}
	e := &pool.WriteRecord{Generation: generation, Progress: []pool.JobProgress{{ID: recordedJob, Data: data}}}
	for _, id := range workers {
		e.Workers = append(e.Workers, pool.RecordedWorker{ID: id})
	}
	return e
}

// Guards against run ends that can't be recorded while one part of the store is down, so that no job completes,
// and against run ends that are lost when the part is reachable again.
func TestRecordsUseAlternatePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		first, _ := newRecordOwner(t, d, 1)
		first.writeRecord(recordOfDoneTasks(t, 1, 0, "a"))
		store.setPartsUnreachable(recordPartPrefix(testShard, 0))
		startedAt := time.Now()
		first.writeRecord(recordOfDoneTasks(t, 2, 1, "a", "b"))
		is.True(time.Since(startedAt) < retryDelay)
		is.Equal(len(first.events), 2)
		store.setPartsUnreachable()
		_, loaded := newRecordOwner(t, d, 2)
		is.True(loaded.progress[recordedJob].IsDone(0))
		is.True(loaded.progress[recordedJob].IsDone(1))
		is.Equal(loaded.workers.Workers, []string{"a", "b"})
	})
}

// Guards against an owner that starts without the records of one of the parts.
func TestLoadRequiresEveryPart(t *testing.T) {
	is := is.New(t)
	store, d := newStoreDaemon(t)
	for part := range recordParts {
		store.setPartsUnreachable(recordPartPrefix(testShard, part))
		_, err := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{}).loadRecords()
		is.True(err != nil)
	}
}

// Guards against a record of a previous owner that is committed after the new owner has read the records. The
// previous owner would acknowledge run ends that the new owner does not know.
func TestLateRecordOfPreviousOwnerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		first, _ := newRecordOwner(t, d, 1)
		store.commitDelay = time.Second
		_, err := store.Commit(t.Context(), must(first.recordTxn(0, recordOfDoneTasks(t, 1, 0))))
		is.True(platform.IsKind(err, platform.KindUnknown))
		_, loaded := newRecordOwner(t, d, 2)
		is.Equal(len(loaded.progress), 0)
		time.Sleep(2 * time.Second)
		for part := range recordParts {
			_, exists := store.rows[progressKey(testShard, part, recordedJob)]
			is.True(!exists)
		}
		first.writeRecord(recordOfDoneTasks(t, 1, 0))
		is.True(first.ctx.Err() != nil) // the ownership has ended
		is.Equal(len(first.events), 0)
	})
}

// Guards against an owner that loads its records only after a later owner has loaded them, because it could not reach
// the store in the meantime. It would fence the records of the later owner, which would give up the shard.
func TestEarlierOwnerDoesNotFenceRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newStoreDaemon(t)
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		later, _ := newRecordOwner(t, d, 3)
		_, err = newOwnedShard(d, testShard, 2, 1, time.Now(), time.Time{}).loadRecords()
		is.True(err != nil)
		later.writeRecord(recordOfDoneTasks(t, 1, 0))
		is.NoErr(later.ctx.Err()) // the later owner keeps the shard
		is.Equal(len(later.events), 1)
	})
}

// pagedStore reads the rows of a part in two pages, first the jobs, and calls betweenPages between them.
type pagedStore struct {
	*rowStore
	betweenPages func()
}

func (s *pagedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	first, err := s.rowStore.Read(ctx, req)
	if err != nil || len(req.Prefixes) == 0 || s.betweenPages == nil {
		return first, err
	}
	s.betweenPages()
	second, err := s.rowStore.Read(ctx, req)
	isJob := func(r platform.Row) bool { return strings.HasPrefix(rowName(r.Key), progressPrefix) }
	first.Rows = slices.DeleteFunc(first.Rows, func(r platform.Row) bool { return !isJob(r) })
	second.Rows = slices.DeleteFunc(second.Rows, isJob)
	second.Rows = append(first.Rows, second.Rows...)
	return second, err
}

// Guards against a run end that the previous owner records between the pages of the new owner's read. It would
// be acknowledged, and the new owner would run the task again.
func TestNoRecordBetweenPages(t *testing.T) {
	is := is.New(t)
	rows, d := newStoreDaemon(t)
	store := &pagedStore{rowStore: rows}
	d.store = newRelayStore(d, store)
	first, _ := newRecordOwner(t, d, 1)
	store.betweenPages = func() {
		store.betweenPages = nil
		first.writeRecord(recordOfDoneTasks(t, 1, 0))
	}
	second := newOwnedShard(d, testShard, 2, 1, time.Now(), time.Time{})
	loaded, err := second.fencePart(0)
	is.NoErr(err)
	is.Equal(len(first.events), 0) // the run end is not acknowledged
	is.True(first.ctx.Err() != nil)
	is.True(!slices.ContainsFunc(loaded, func(r platform.Row) bool { return r.Key == progressKey(testShard, 0, recordedJob) }))
}

// Guards against a record that is treated as not written, or written again with other contents, after the reply
// to its commit was lost.
func TestRecordWithLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		o, _ := newRecordOwner(t, d, 1)
		store.commitDelay = time.Millisecond
		o.writeRecord(recordOfDoneTasks(t, 1, 0))
		time.Sleep(time.Second)
		o.writeRecord(recordOfDoneTasks(t, 2, 1))
		o.records.part = 0 // its version changed when the late record was committed
		o.writeRecord(recordOfDoneTasks(t, 3, 2))
		is.Equal(len(o.events), 3)
		_, loaded := newRecordOwner(t, d, 2)
		for slot := range 3 {
			is.True(loaded.progress[recordedJob].IsDone(slot))
		}
	})
}

// maxRowBytes is the size of the largest row that the platform allows.
const maxRowBytes = 64 << 10

// rowLimitStore refuses transactions with a row that is larger than maxRowBytes.
type rowLimitStore struct{ *rowStore }

func (s rowLimitStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	for _, p := range txn.Puts {
		if len(p.Value) > maxRowBytes {
			return 0, &platform.Error{Op: "test", Kind: platform.KindInvalid, Key: p.Key}
		}
	}
	return s.rowStore.Commit(ctx, txn)
}

// Guards against a job with so many failed runs that the store refuses its progress, which blocks the records of all
// other jobs and of new workers, so that no job completes and new workers get no tasks.
func TestOversizedProgressDoesNotBlockRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		d.store = newRelayStore(d, rowLimitStore{store})
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		o, _ := newRecordOwner(t, d, 1)
		e := recordOfDoneTasks(t, 1, 0, "a")
		large := &workload.Progress{State: workload.StateRunning}
		const epoch = 20
		for index := range workload.MaxTasks {
			for run := range uint64(3) {
				large.AddFailure(index, epoch<<28|run)
			}
		}
		e.Progress = append(e.Progress, pool.JobProgress{ID: "0000000000000002", Data: must(workload.EncodeProgress(large))})
		d.wg.Go(func() { o.writeRecord(e) })
		time.Sleep(time.Minute)
		store.mu.Lock()
		_, recorded := store.rows[progressKey(testShard, 0, recordedJob)]
		store.mu.Unlock()
		is.True(recorded)
		is.Equal(len(o.events), 1)
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against submissions that are refused and cancellations that are not accepted while the part of their
// job is down, and against a job that is not recognized when it is submitted again.
func TestSubmissionUsesAlternatePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		for part := range jobParts {
			d.wg.Go(func() { d.intake.run(part) })
		}
		queue := &cluster.Queue{Name: "q", Service: "s"}
		job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1}}}
		regularPart := jobPartPrefix(0, jobPart(job.ID))
		store.setPartsUnreachable(regularPart)
		startedAt := time.Now()
		is.NoErr(d.Submit(t.Context(), job))
		is.True(time.Since(startedAt) < retryDelay)
		_, err = d.State(t.Context(), job.ID, "team", queue)
		is.NoErr(err)
		is.NoErr(d.Cancel(t.Context(), job.ID, "team", "q"))

		// The daemon can't report that another job does not exist while its part is down.
		other := cluster.JobName("0000000000000002")
		store.setPartsUnreachable(jobPartPrefix(0, jobPart(other)))
		_, err = d.State(t.Context(), other, "team", queue)
		is.True(IsKind(err, KindUnavailable))

		store.setPartsUnreachable()
		is.NoErr(d.Submit(t.Context(), job)) // a repeated submission
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		rows, err := o.readJobs()
		is.NoErr(err)
		s := pool.New(pool.Config{Service: "s", Now: time.Now()})
		s.Step(time.Now(), o.decodeJobs(rows, nil).events())
		state, _, _, known := s.State(job.ID)
		is.True(known)
		is.True(state == workload.StateQueued || state == workload.StateCancelled)
		is.Equal(len(s.Pending()), 0) // cancelled, whichever part holds the rows
	})
}

// Guards against a takeover that takes the leases of a restarted worker as shorter than they are, and against a record of
// an earlier version that can't be read.
func TestRecordedWorkersKeepLeases(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_800_000_000_000)
	list := []pool.RecordedWorker{{ID: "w0"}, {ID: "w1", LeaseExpiry: at}, {ID: "w2", LongLeaseExpiry: at.Add(time.Second)}}
	data, err := encodeWorkers(1, 1, list)
	is.NoErr(err)
	row, err := decode[workersRow]("test", data)
	is.NoErr(err)
	is.Equal(row.recordedWorkers(), list)
	row.LongLeaseExpiries = nil
	is.Equal(row.recordedWorkers(), []pool.RecordedWorker{{ID: "w0"}, {ID: "w1", LeaseExpiry: at}, {ID: "w2"}})
}
