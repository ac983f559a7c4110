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
		d.wg.Go(func() { d.intake.run(partOf(job.ID)) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err := d.Submit(ctx, job)
		is.True(IsKind(err, KindUnavailable))
		is.True(store.commits.Load() <= 15)
	})
}
