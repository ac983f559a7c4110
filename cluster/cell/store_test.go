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
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// slowStore answers transactions and reads after fixed times; a negative time is never.
type slowStore struct {
	commit, read time.Duration
	// err ends each transaction, readErr each read.
	err, readErr error
	reads        atomic.Int64
	commits      atomic.Int64
	// down turns every call away.
	down atomic.Bool
}

func (s *slowStore) Commit(ctx context.Context, _ platform.Txn) (cluster.Version, error) {
	s.commits.Add(1)
	return 7, s.answer(ctx, s.commit, s.err)
}

func (s *slowStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.reads.Add(1)
	return platform.ReadReply{AsOf: 7}, s.answer(ctx, s.read+req.Wait, s.readErr)
}

func (s *slowStore) answer(ctx context.Context, after time.Duration, err error) error {
	if s.down.Load() {
		return &platform.Error{Op: "test", Kind: platform.KindUnavailable}
	}
	if after < 0 {
		<-ctx.Done()
		return &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	select {
	case <-time.After(after):
		return err
	case <-ctx.Done():
		return &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
}

type noConfig struct{}

func (noConfig) ConfigKey() string { return "op//config" }

func (noConfig) ReadConfig([]byte) (*cluster.Snapshot, error) { return nil, errors.New("not used") }

// newTestDaemon returns a daemon that is not started.
func newTestDaemon(t *testing.T, store platform.TableService) *Daemon {
	t.Helper()
	d, err := New(Config{
		VM: "vm", Self: "vm@1", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"), Store: store, Log: zerolog.Nop(),
		Lister: struct{ platform.WorkerLister }{}, Workers: struct{ platform.WorkerService }{}, Advice: struct{ platform.AdviceService }{},
		Reader: noConfig{},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.setDivision(divisionRow{Shards: 1})
	return d
}

// Guards against a slow store that is taken for a lost one: the transactions
// that were given up are carried out all the same and hold up those tried again.
func TestSlowStoreIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commit: 2 * time.Second, read: 300 * time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		version, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		is.Equal(version, cluster.Version(7))
		is.True(d.store.visible())
		is.Equal(store.reads.Load(), int64(1)) // the probe
	})
}

// Guards against calls that hang on a store that answers nothing any more, the
// feed of jobs among them.
func TestLostStoreEndsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commit: time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		_, err := d.store.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		store.commit, store.read = -1, -time.Hour
		ended := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			_, _, _ = d.store.localRead(t.Context(), platform.ReadRequest{Prefixes: []string{"jobs/"}, Wait: jobFeedWait})
			ended <- time.Since(began)
		}()
		_, err = d.store.Commit(t.Context(), platform.Txn{})
		is.True(platform.IsKind(err, platform.KindUnknown))
		is.True(!d.store.visible())
		is.True(<-ended <= verifyAfter+probeTimeout) // the wait ended with the probe
	})
}

// Guards against a store that counts as lost because a client left.
func TestCallerThatLeavesIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{read: 400 * time.Millisecond}
		d := newTestDaemon(t, store)
		defer d.stop()
		_, err := d.store.Read(t.Context(), platform.ReadRequest{Keys: []string{"a"}})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = d.store.Read(ctx, platform.ReadRequest{Keys: []string{"a"}})
		is.True(err != nil)
		is.True(d.store.visible())
	})
}

// Guards against one part of the store that is down, or a lost answer, after
// which a daemon takes the whole store for lost.
func TestPartThatIsDownIsNoLoss(t *testing.T) {
	for _, kind := range []platform.Kind{platform.KindUnavailable, platform.KindUnknown, platform.KindThrottled} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &slowStore{err: &platform.Error{Op: "test", Kind: kind}}
			d := newTestDaemon(t, store)
			defer d.stop()
			_, err := d.store.Commit(t.Context(), platform.Txn{})
			is.True(platform.IsKind(err, kind))
			is.True(d.store.visible())
			store.readErr = store.err
			time.Sleep(probeFresh)
			_, err = d.store.Commit(t.Context(), platform.Txn{})
			is.True(platform.IsKind(err, kind))
			is.True(!d.store.visible()) // the probe fails as well
		})
	}
}

// deafStore has a change that a feed tells only when its wait ends.
type deafStore struct{ slowStore }

func (s *deafStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.slowStore.Read(ctx, req)
	if req.Wait > 0 {
		reply.Rows, reply.AsOf = []platform.Row{{Key: "op//config", Version: 8}}, 8
	}
	return reply, err
}

// Guards against a feed that hears nothing for longer than a configuration or a
// cancellation may take.
func TestDeafFeedsAreBounded(t *testing.T) {
	const bound = 3 * time.Second
	for _, wait := range []time.Duration{configFeedWait, jobFeedWait, cellFeedWait} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(t, &deafStore{})
			defer d.stop()
			began := time.Now()
			ctx, cancel := context.WithCancel(d.ctx)
			d.follow(ctx, "test", []string{"op//"}, "op/", wait, func(rows []platform.Row, _ bool) {
				if len(rows) > 0 {
					cancel()
				}
			})
			is.True(time.Since(began) < bound)
		})
	}
}
