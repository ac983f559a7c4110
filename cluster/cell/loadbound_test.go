package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// serialStore is a countingStore that serves one read at a time, so that concurrent reads are counted correctly.
type serialStore struct {
	countingStore
	mu sync.Mutex
}

func (s *serialStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countingStore.Read(ctx, req)
}

// Guards against a new owner that reads all jobs of its shard ten times a second while one part of the store is down.
func TestLoadDoesNotRereadJobsOfHealthyParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobBytes = 1 << 10
		rows := &rowStore{rows: map[string]platform.Row{}}
		store := &serialStore{countingStore: countingStore{rowStore: rows}}
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		var puts []platform.Put
		for part := range jobParts {
			puts = append(puts, platform.Put{Key: jobKeyInPart(1, part, "job"), Value: make([]byte, jobBytes)})
		}
		_, err := d.store.Commit(t.Context(), platform.Txn{Puts: puts})
		is.NoErr(err)
		rows.setPartsUnreachable(jobPartPrefix(0, 0))
		time.AfterFunc(5*time.Second, func() { rows.setPartsUnreachable() })
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		_, loaded := o.load()
		is.True(loaded)
		t.Logf("read %.1f times the jobs of the shard", float64(store.bytesRead)/(jobParts*jobBytes))
		is.True(store.bytesRead <= 2*jobParts*jobBytes)
	})
}

// limitedStore is a rowStore that serves a limited number of calls at a time, each for a tenth of a second.
type limitedStore struct {
	*rowStore
	connections chan struct{}
}

func (s *limitedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	select {
	case s.connections <- struct{}{}:
	case <-ctx.Done():
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	defer func() { <-s.connections }()
	time.Sleep(100 * time.Millisecond)
	return s.rowStore.Read(ctx, req)
}

// Guards against a load of a shard that uses all connections to the store. Probes would wait for one, and the store
// would count as unreachable.
func TestLoadLeavesConnectionsForOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const connections = 16 // to one address
		rows := &rowStore{rows: map[string]platform.Row{}}
		store := &limitedStore{rowStore: rows, connections: make(chan struct{}, connections)}
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		d.wg.Go(func() { _, _ = newPartReads(jobParts, o.readJobPart).readMissing() })
		synctest.Wait()
		is.True(len(store.connections) <= connections/2)
	})
}

// Guards against a daemon that goes on loading a shard, over links that other daemons need, after another one has
// claimed it.
func TestLoadEndsAfterShardIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := &rowStore{rows: map[string]platform.Row{}}
		d := newTestDaemon(t, rows)
		defer d.wg.Wait()
		defer d.stop()
		rows.setPartsUnreachable(jobPartPrefix(0, 0))
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		var loaded atomic.Bool
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, ok := o.load()
			loaded.Store(ok)
		}()
		time.Sleep(5 * time.Second)
		row := ownerRow{Owner: "other@1", Epoch: 2}
		_, err := d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: ownerKey(testShard), Value: must(encode("test", &row))}}})
		is.NoErr(err)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Error("the load goes on 5 s after the claim")
			o.stop()
			<-ended
		}
		is.True(!loaded.Load())
	})
}

// Guards against a shard that is never loaded over a slow link, as none of the parts that are read together arrives
// within the timeout of a read.
func TestShardLoadsOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			jobBytes = 64 << 10
			// loadTime is how long the link takes to carry all parts once.
			loadTime = 25 * time.Second
		)
		rows := &rowStore{rows: map[string]platform.Row{}}
		link := &sharedLink{bytesPerSecond: jobParts * jobBytes / int(loadTime/time.Second)}
		d := newTestDaemon(t, &linkedStore{feedStore: &feedStore{rowStore: rows}, link: link})
		defer d.wg.Wait()
		defer d.stop()
		var puts []platform.Put
		for part := range jobParts {
			puts = append(puts, platform.Put{Key: jobKeyInPart(1, part, "job"), Value: make([]byte, jobBytes)})
		}
		_, err := rows.Commit(t.Context(), platform.Txn{Puts: puts})
		is.NoErr(err)
		o := newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{})
		time.AfterFunc(4*loadTime, o.stop)
		startedAt := time.Now()
		_, loaded := o.load()
		t.Logf("loaded: %t after %s; the link carried %.1f times the jobs", loaded, time.Since(startedAt), link.carried/(jobParts*jobBytes))
		is.True(loaded)
		is.True(time.Since(startedAt) < 2*loadTime)
	})
}
