package cell

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
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

// lostFeedStore is a feedStore that can lose the reply to a read of the configuration's feed.
type lostFeedStore struct {
	*feedStore
	// loseNext makes the next such read hang until its context ends.
	loseNext atomic.Bool
}

func (s *lostFeedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	isConfigFeed := req.SinceVersion != 0 && req.Prefixes[0] == tablePrefix(versionReader{}.ConfigKey())
	if isConfigFeed && s.loseNext.CompareAndSwap(true, false) {
		<-ctx.Done()
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	return s.feedStore.Read(ctx, req)
}

// Guards against a configuration that is in force too late on a daemon that can reach the store and has lost one reply
// of the configuration's feed. The peer's feed reports the change only when its wait ends.
func TestConfigIsInForceInTimeAfterLostReply(t *testing.T) {
	is := is.New(t)
	const limit = 3 * time.Second
	store := &lostFeedStore{feedStore: &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}}
	id := NewID("peer-0", time.UnixMilli(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var announced atomic.Uint64
	announced.Store(uint64(oldConfig))
	var remote atomic.Pointer[peer.Transport]
	remote.Store(peer.New(peer.Config{
		Self: peer.Hello{From: id}, Listener: listener, Log: zerolog.Nop(),
		Handler: func(from cluster.DaemonID, m peer.Message) {
			if c, ok := m.(*peer.Call); ok && c.Method == methodConfig {
				body := must(encode("test", &configReply{Data: []byte(fmt.Sprint(newConfig))}))
				remote.Load().Send(from, &peer.Reply{ID: c.ID, Body: body})
			}
		},
		Digest: func() peer.Digest { return peer.Digest{ConfigVersion: cluster.Version(announced.Load())} },
	}))
	t.Cleanup(remote.Load().Close)
	row := memberRow{ID: string(id), Addr: listener.Addr().String()}
	_, err = store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{
		configPut(oldConfig), {Key: memberKey("peer-0"), Value: must(encode("test", &row))},
	}})
	is.NoErr(err)
	d := newTestDaemon(t, store)
	d.cfg.Reader = versionReader{}
	d.Start()
	t.Cleanup(d.Close)
	for d.Snapshot().Version < oldConfig || d.transport.LastSeen(id).IsZero() {
		time.Sleep(time.Millisecond)
	}

	for store.loseNext.Store(true); store.loseNext.Load(); {
		time.Sleep(time.Millisecond)
	}
	_, err = store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{configPut(newConfig)}})
	is.NoErr(err)
	writtenAt := time.Now()
	time.AfterFunc(configFeedWait, func() { announced.Store(uint64(newConfig)) })
	for d.Snapshot().Version < newConfig {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(writtenAt)
	t.Logf("in force after %s, reachable: %t", took.Round(10*time.Millisecond), d.store.reachable())
	is.True(took < limit)
}

// sharedLink carries the rows of several readers, each at an equal share of its rate.
type sharedLink struct {
	bytesPerSecond int

	mu        sync.Mutex
	transfers int
	// carried is the number of bytes that have passed the link.
	carried float64
}

// transfer returns when the bytes have passed the link or ctx ends.
func (l *sharedLink) transfer(ctx context.Context, bytes int) error {
	const tick = 10 * time.Millisecond
	l.mu.Lock()
	l.transfers++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.transfers--
		l.mu.Unlock()
	}()
	for remaining := float64(bytes); remaining > 0; time.Sleep(tick) {
		if err := ctx.Err(); err != nil {
			return err
		}
		l.mu.Lock()
		passed := min(remaining, float64(l.bytesPerSecond)*tick.Seconds()/float64(l.transfers))
		l.carried += passed
		l.mu.Unlock()
		remaining -= passed
	}
	return nil
}

// linkedStore is a feedStore that is read over a shared link.
type linkedStore struct {
	*feedStore
	link *sharedLink
}

func (s *linkedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.feedStore.Read(ctx, req)
	if err != nil {
		return reply, err
	}
	bytes := 0
	for _, r := range reply.Rows {
		bytes += len(r.Value)
	}
	if err := s.link.transfer(ctx, bytes); err != nil {
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: err}
	}
	return reply, nil
}

// paddedReader reads configurations that consist of their version, a space and padding.
type paddedReader struct{ stubConfigReader }

func (paddedReader) ReadConfig(data []byte) (*cluster.Snapshot, error) {
	text, _, _ := strings.Cut(string(data), " ")
	version, err := strconv.Atoi(text)
	return cluster.Assemble(cluster.Version(version), nil), err
}

// Guards against daemons that read a large configuration over one link, give up all copies because none arrives within
// storeTimeout, and read it again at once, so that the link stays full and no copy ever arrives.
func TestConfigArrivesOverSharedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			daemons = 16
			size    = 1 << 20
			// copiesTime is how long the link takes to carry one copy for each daemon.
			copiesTime = 4 * time.Second
		)
		link := &sharedLink{bytesPerSecond: daemons * size / int(copiesTime/time.Second)}
		store := &linkedStore{feedStore: &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}, link: link}
		config := fmt.Sprint(newConfig) + strings.Repeat(" ", size)
		_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: paddedReader{}.ConfigKey(), Value: []byte(config)}}})
		is.NoErr(err)
		var cell []*Daemon
		for range daemons {
			d := newTestDaemon(t, store)
			d.cfg.Reader = paddedReader{}
			d.wg.Go(d.followConfig)
			cell = append(cell, d)
		}
		time.Sleep(5 * copiesTime)
		inForce := 0
		for _, d := range cell {
			if d.Snapshot().Version == newConfig {
				inForce++
			}
		}
		for _, d := range cell {
			d.stop()
			d.wg.Wait()
		}
		t.Logf("%d of %d daemons have the configuration after %s; the link carried %.1f copies for each", inForce, daemons, 5*copiesTime, link.carried/daemons/size)
		is.Equal(inForce, daemons)
	})
}
