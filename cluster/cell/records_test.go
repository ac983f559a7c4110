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

// newRecorder returns an owner that has loaded the records, without a scheduler.
func newRecorder(t *testing.T, d *Daemon, epoch cluster.Epoch) (*ownedPool, records) {
	t.Helper()
	p := newOwnedPool(d, testShard, epoch, 1, time.Now(), true)
	got, err := p.loadRecords()
	if err != nil {
		t.Fatal(err)
	}
	return p, got
}

// recordDone makes a record of the tasks up to a slot, which are done.
func recordDone(t *testing.T, generation uint64, slot int, workers ...cluster.WorkerID) *pool.WriteRecord {
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

// Guards against ends that are not recorded, so that no job completes, while one
// part of the store is down, and against ends that are lost when it is back.
func TestRecordsGoToAnotherPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		first, _ := newRecorder(t, d, 1)
		first.record(recordDone(t, 1, 0, "a"))
		store.setDown(progressPart(testShard, 0))
		began := time.Now()
		first.record(recordDone(t, 2, 1, "a", "b"))
		is.True(time.Since(began) < retryPause)
		is.Equal(len(first.events), 2)
		store.setDown()
		_, got := newRecorder(t, d, 2)
		is.True(got.progress[recordedJob].IsDone(0))
		is.True(got.progress[recordedJob].IsDone(1))
		is.Equal(got.workers.Workers, []string{"a", "b"})
	})
}

// Guards against an owner that begins without what one of the parts holds.
func TestLoadNeedsEveryPart(t *testing.T) {
	is := is.New(t)
	store, d := newStoreDaemon(t)
	for part := range recordParts {
		store.setDown(progressPart(testShard, part))
		_, err := newOwnedPool(d, testShard, 1, 1, time.Now(), true).loadRecords()
		is.True(err != nil)
	}
}

// Guards against a record of an earlier owner that is carried out after its
// successor has read the records: its ends would count as recorded for it alone.
func TestLateRecordOfEarlierOwnerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		first, _ := newRecorder(t, d, 1)
		store.late = time.Second
		_, err := store.Commit(t.Context(), must(first.recordTxn(0, recordDone(t, 1, 0))))
		is.True(platform.IsKind(err, platform.KindUnknown))
		_, got := newRecorder(t, d, 2)
		is.Equal(len(got.progress), 0)
		time.Sleep(2 * time.Second)
		for part := range recordParts {
			_, there := store.rows[progressKey(testShard, part, recordedJob)]
			is.True(!there)
		}
		first.record(recordDone(t, 1, 0))
		is.True(first.ctx.Err() != nil) // the shard is given up
		is.Equal(len(first.events), 0)
	})
}

// pagedStore reads the rows of a part in two pages and calls between after the
// first, which has the jobs.
type pagedStore struct {
	*rowStore
	between func()
}

func (s *pagedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	first, err := s.rowStore.Read(ctx, req)
	if err != nil || len(req.Prefixes) == 0 || s.between == nil {
		return first, err
	}
	s.between()
	second, err := s.rowStore.Read(ctx, req)
	isJob := func(r platform.Row) bool { return strings.HasPrefix(lastPart(r.Key), progressPrefix) }
	first.Rows = slices.DeleteFunc(first.Rows, func(r platform.Row) bool { return !isJob(r) })
	second.Rows = slices.DeleteFunc(second.Rows, isJob)
	second.Rows = append(first.Rows, second.Rows...)
	return second, err
}

// Guards against an end that is recorded by the earlier owner between the pages
// of its successor's read: it is acknowledged, and the task would run again.
func TestNoRecordBetweenPages(t *testing.T) {
	is := is.New(t)
	rows, d := newStoreDaemon(t)
	store := &pagedStore{rowStore: rows}
	d.store = newRelayStore(d, store)
	first, _ := newRecorder(t, d, 1)
	store.between = func() {
		store.between = nil
		first.record(recordDone(t, 1, 0))
	}
	second := newOwnedPool(d, testShard, 2, 1, time.Now(), true)
	loaded, err := second.sealPart(0)
	is.NoErr(err)
	is.Equal(len(first.events), 0) // the end is not acknowledged
	is.True(first.ctx.Err() != nil)
	is.True(!slices.ContainsFunc(loaded, func(r platform.Row) bool { return r.Key == progressKey(testShard, 0, recordedJob) }))
}

// Guards against a record that is counted as lost, or written twice with other
// contents, when its answer is lost.
func TestRecordWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		p, _ := newRecorder(t, d, 1)
		store.late = time.Millisecond
		p.record(recordDone(t, 1, 0))
		time.Sleep(time.Second)
		p.record(recordDone(t, 2, 1))
		p.records.part = 0 // whose version changed with the late record
		p.record(recordDone(t, 3, 2))
		is.Equal(len(p.events), 3)
		_, got := newRecorder(t, d, 2)
		for slot := range 3 {
			is.True(got.progress[recordedJob].IsDone(slot))
		}
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against submissions that are refused, and cancellations that are not
// accepted, while the part of their job is down, and against a repeat that is
// not recognized as the same job.
func TestSubmissionGoesToAnotherPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newStoreDaemon(t)
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // the store counts as visible
		is.NoErr(err)
		for part := range jobParts {
			d.wg.Go(func() { d.intake.run(part) })
		}
		queue := &cluster.Queue{Name: "q", Service: "s"}
		job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1}}}
		usual := jobPart(0, partOf(job.ID))
		store.setDown(usual)
		began := time.Now()
		is.NoErr(d.Submit(t.Context(), job))
		is.True(time.Since(began) < retryPause)
		_, err = d.State(t.Context(), job.ID, "team", queue)
		is.NoErr(err)
		is.NoErr(d.Cancel(t.Context(), job.ID, "team", "q"))

		// Another job can't be said to be unknown while its part is down.
		other := cluster.JobName("0000000000000002")
		store.setDown(jobPart(0, partOf(other)))
		_, err = d.State(t.Context(), other, "team", queue)
		is.True(IsKind(err, KindUnavailable))

		store.setDown()
		is.NoErr(d.Submit(t.Context(), job)) // a repeat
		p := newOwnedPool(d, testShard, 1, 1, time.Now(), true)
		rows, err := p.readJobs()
		is.NoErr(err)
		s := pool.New(pool.Config{Service: "s", Now: time.Now()})
		s.Step(time.Now(), p.jobEvents(rows.Rows, nil))
		state, _, _, known := s.State(job.ID)
		is.True(known)
		is.True(state == workload.StateQueued || state == workload.StateCancelled)
		is.Equal(len(s.Pending()), 0) // cancelled, in whichever part the rows stand
	})
}
