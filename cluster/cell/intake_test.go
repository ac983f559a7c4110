package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against retries of many daemons that keep a slow store overloaded: a
// submission that is throttled for its whole time is tried a few times only,
// and its client is told that it does not run.
func TestThrottledSubmissionsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		throttled := &platform.Error{Op: "test", Kind: platform.KindThrottled}
		store := &slowStore{err: throttled}
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		job := &workload.Job{ID: "0000000000000001"}
		for part := range jobParts {
			d.wg.Go(func() { d.intake.run(part) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err := d.Submit(ctx, job)
		is.True(IsKind(err, KindUnavailable))
		is.True(store.commits.Load() <= 15)
	})
}

// Guards against submissions that wait for their next try although the store is
// back: the time of their clients runs out meanwhile.
func TestSubmissionsResumeWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{}
		store.down.Store(true)
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		d.wg.Go(d.store.watch)
		job := &workload.Job{ID: "0000000000000001"}
		d.wg.Go(func() { d.intake.run(partOf(job.ID)) })
		const outage = 3 * time.Second
		began := time.Now()
		time.AfterFunc(outage, func() { store.down.Store(false) })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(d.Submit(ctx, job))
		is.True(time.Since(began) <= outage+probeInterval+intakeGather)
	})
}
