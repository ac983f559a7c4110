package cell

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// slowStore replies to transactions and reads after fixed delays; with a negative delay it does not reply.
type slowStore struct {
	commitDelay, readDelay time.Duration
	// commitErr is the result of each transaction, readErr that of each read.
	commitErr, readErr error
	reads              atomic.Int64
	commits            atomic.Int64
	// unavailable makes every call fail at once.
	unavailable atomic.Bool
}

func (s *slowStore) Commit(ctx context.Context, _ platform.Txn) (cluster.Version, error) {
	s.commits.Add(1)
	return 7, s.wait(ctx, s.commitDelay, s.commitErr)
}

func (s *slowStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.reads.Add(1)
	return platform.ReadReply{AsOf: 7}, s.wait(ctx, s.readDelay+req.Wait, s.readErr)
}

func (s *slowStore) wait(ctx context.Context, delay time.Duration, err error) error {
	if s.unavailable.Load() {
		return &platform.Error{Op: "test", Kind: platform.KindUnavailable}
	}
	if delay < 0 {
		<-ctx.Done()
		return &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	select {
	case <-time.After(delay):
		return err
	case <-ctx.Done():
		return &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
}

type stubConfigReader struct{}

func (stubConfigReader) ConfigKey() string { return "op//config" }

func (stubConfigReader) ReadConfig([]byte) (*cluster.Snapshot, error) {
	return nil, errors.New("not used")
}

// newTestDaemon returns a daemon that is not started.
func newTestDaemon(t *testing.T, store platform.TableService) *Daemon {
	t.Helper()
	d, err := New(Config{
		VM: "vm", Self: "vm@1", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"), Store: store, Log: zerolog.Nop(),
		Lister: struct{ platform.WorkerLister }{}, Workers: struct{ platform.WorkerService }{}, Advice: struct{ platform.AdviceService }{},
		Reader: stubConfigReader{},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop()})
	d.setLayout(layoutRow{Shards: 1})
	return d
}

// Guards against a slow store that is treated as unreachable. The transactions that were given up would still
// be applied and delay their retries.
func TestSlowStoreStaysReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commitDelay: 2 * time.Second, readDelay: 300 * time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		version, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		is.Equal(version, cluster.Version(7))
		is.True(d.store.reachable())
		is.Equal(store.reads.Load(), int64(1)) // the probe
	})
}

// receivingStore is a slowStore on which a large reply is arriving.
type receivingStore struct{ *slowStore }

func (receivingStore) LastReceived() time.Time { return time.Now() }

// Guards against a store that is treated as unreachable while a large reply fills the link. The reply would be given up
// and requested again.
func TestLateProbeDuringTransferKeepsStoreReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commitDelay: time.Millisecond}
		d := newTestDaemon(t, receivingStore{store})
		defer d.stop()
		_, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		store.readDelay = -1
		for range 4 {
			d.store.probe()
		}
		is.True(d.store.reachable())
		is.Equal(d.store.meanLatency(), store.commitDelay) // a longer one would delay claims
		store.readErr, store.readDelay = &platform.Error{Op: "test", Kind: platform.KindUnavailable}, 0
		d.store.probe()
		is.True(!d.store.reachable()) // the store refuses calls
	})
}

// Guards against calls that hang when the store no longer replies, such as those of the feed of jobs.
func TestUnreachableStoreEndsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commitDelay: time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		_, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		store.commitDelay, store.readDelay = -1, -time.Hour
		ended := make(chan time.Duration, 1)
		startedAt := time.Now()
		go func() {
			_, _, _ = d.store.localRead(t.Context(), platform.ReadRequest{Prefixes: []string{"jobs/"}, Wait: jobFeedWait}, storeTimeout)
			ended <- time.Since(startedAt)
		}()
		_, err = d.store.Commit(t.Context(), platform.Txn{})
		is.True(platform.IsKind(err, platform.KindUnknown))
		is.True(!d.store.reachable())
		is.True(<-ended <= probeDelay+probeTimeout) // the read ended when the probe failed
	})
}

// Guards against a store that is treated as unreachable because a client cancelled its call.
func TestCancelledCallKeepsStoreReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{readDelay: 400 * time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		_, err := d.store.Read(t.Context(), platform.ReadRequest{Keys: []string{"a"}})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = d.store.Read(ctx, platform.ReadRequest{Keys: []string{"a"}})
		is.True(err != nil)
		is.True(d.store.reachable())
	})
}

// Guards against a store that is treated as unreachable because one of its parts is down, a reply was lost or a
// call was throttled.
func TestFailedPartKeepsStoreReachable(t *testing.T) {
	for _, kind := range []platform.Kind{platform.KindUnavailable, platform.KindUnknown, platform.KindThrottled} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &slowStore{commitErr: &platform.Error{Op: "test", Kind: kind}}
			d := newTestDaemon(t, store)
			defer d.stop()
			_, err := d.store.Commit(t.Context(), platform.Txn{})
			is.True(platform.IsKind(err, kind))
			is.True(d.store.reachable())
			store.readErr = store.commitErr
			time.Sleep(probeTTL)
			_, err = d.store.Commit(t.Context(), platform.Txn{})
			is.True(platform.IsKind(err, kind))
			is.True(!d.store.reachable()) // the probe fails as well
		})
	}
}

// waitingFeedStore has a change that a feed reports only when its wait ends.
type waitingFeedStore struct{ slowStore }

func (s *waitingFeedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.slowStore.Read(ctx, req)
	if req.Wait > 0 {
		reply.Rows, reply.AsOf = []platform.Row{{Key: "op//config", Version: 8}}, 8
	}
	return reply, err
}

// Guards against a feed that takes longer to report a change than is allowed for a configuration or a
// cancellation.
func TestFeedDelayIsBounded(t *testing.T) {
	const bound = 3 * time.Second
	for _, wait := range []time.Duration{configFeedWait, jobFeedWait, cellFeedWait} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(t, &waitingFeedStore{})
			defer d.stop()
			startedAt := time.Now()
			ctx, cancel := context.WithCancel(d.ctx)
			feed := rowFeed{name: "test", prefixes: []string{"op//"}, changePrefix: "op/", wait: wait, timeout: storeTimeout}
			d.followRows(ctx, feed, func(rows []platform.Row, _ bool) {
				if len(rows) > 0 {
					cancel()
				}
			})
			is.True(time.Since(startedAt) < bound)
		})
	}
}

// Guards against a relayed feed that fails whenever nothing changes for a while, because its wait is longer than the
// relaying daemon allows a call to take.
func TestWaitOfRelayedReadIsBounded(t *testing.T) {
	for _, wait := range []time.Duration{configFeedWait, jobFeedWait, cellFeedWait, memberFeedWait} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(t, &slowStore{})
			defer d.stop()
			_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
			is.NoErr(err)
			bodies, err := d.executeCall("other@1", &peer.Call{Method: methodRead, Body: must(encode("test", &readRequest{Prefixes: []string{"members/"}, SinceVersion: 1, Wait: wait}))})
			is.NoErr(err)
			reply, err := decode[readReply]("test", bodies[0])
			is.NoErr(err)
			is.True(!reply.Failed)
		})
	}
}

// lateProbeStore is a slowStore that doesn't reply to probes.
type lateProbeStore struct{ slowStore }

func (s *lateProbeStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	if len(req.Keys) > 0 {
		<-ctx.Done()
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	return s.slowStore.Read(ctx, req)
}

// Guards against a read of the configuration that is given up, and repeated, because a probe is late on a loaded link
// although the store replies to other calls meanwhile.
func TestReplyDuringProbeKeepsStoreReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const readDelay = 2 * probeTimeout
		store := &lateProbeStore{slowStore{readDelay: readDelay, commitDelay: 10 * time.Millisecond}}
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		_, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		d.wg.Go(func() {
			for d.sleep(probeTimeout / 4) {
				_, _ = d.store.Commit(d.ctx, platform.Txn{})
			}
		})
		_, err = d.store.Read(t.Context(), platform.ReadRequest{Prefixes: []string{"op//"}})
		is.NoErr(err)
		is.True(d.store.reachable())
	})
}
