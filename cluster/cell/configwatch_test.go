package cell

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// versionReader reads configurations that consist of their version.
type versionReader struct{ stubConfigReader }

func (versionReader) ReadConfig(data []byte) (*cluster.Snapshot, error) {
	version, err := strconv.Atoi(string(data))
	return cluster.Assemble(cluster.Version(version), nil), err
}

// feedStore is a rowStore whose feeds wait for a change.
type feedStore struct {
	*rowStore
	unavailable atomic.Bool
}

func (s *feedStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	if s.unavailable.Load() {
		return 0, &platform.Error{Op: "test", Kind: platform.KindUnavailable}
	}
	return s.rowStore.Commit(ctx, txn)
}

func (s *feedStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	for deadline := time.Now().Add(req.Wait); ; time.Sleep(5 * time.Millisecond) {
		if s.unavailable.Load() {
			return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnavailable}
		}
		if err := ctx.Err(); err != nil {
			return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: err}
		}
		reply, err := s.rowStore.Read(ctx, req)
		reply.Rows = slices.DeleteFunc(reply.Rows, func(r platform.Row) bool { return r.Version <= req.SinceVersion })
		if err != nil || len(reply.Rows) > 0 || !time.Now().Before(deadline) {
			return reply, err
		}
	}
}

const (
	oldConfig cluster.Version = 7
	newConfig cluster.Version = 8
)

func configPut(version cluster.Version) platform.Put {
	return platform.Put{Key: versionReader{}.ConfigKey(), Value: []byte(fmt.Sprint(version))}
}

// startBehindPeers starts a daemon that has oldConfig and whose peers announce newConfig. It returns the number of
// requests for a configuration that the peers have received; they answer none.
func startBehindPeers(t *testing.T, peers int) (*Daemon, *feedStore, *atomic.Int64) {
	t.Helper()
	is := is.New(t)
	store := &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	requests := &atomic.Int64{}
	puts := []platform.Put{configPut(oldConfig)}
	for i := range peers {
		vm := fmt.Sprintf("peer-%d", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		remote := peer.New(peer.Config{
			Self: peer.Hello{From: NewID(vm, time.UnixMilli(1))}, Listener: listener, Log: zerolog.Nop(),
			Handler: func(_ cluster.DaemonID, m peer.Message) {
				if c, ok := m.(*peer.Call); ok && c.Method == methodConfig {
					requests.Add(1)
				}
			},
			Digest: func() peer.Digest { return peer.Digest{ConfigVersion: newConfig} },
		})
		t.Cleanup(remote.Close)
		row := memberRow{ID: string(NewID(vm, time.UnixMilli(1))), Addr: listener.Addr().String()}
		puts = append(puts, platform.Put{Key: memberKey(vm), Value: must(encode("test", &row))})
	}
	_, err := store.Commit(t.Context(), platform.Txn{Puts: puts})
	is.NoErr(err)
	d := newTestDaemon(t, store)
	d.cfg.Reader = versionReader{}
	d.Start()
	t.Cleanup(d.Close)
	for i := range peers {
		for d.transport.LastSeen(NewID(fmt.Sprintf("peer-%d", i), time.UnixMilli(1))).IsZero() {
			time.Sleep(time.Millisecond)
		}
	}
	return d, store, requests
}

// Guards against links that are filled with copies of one large configuration: a daemon that is behind must not
// request it from every peer, and not again while a request is in flight.
func TestConfigIsRequestedFromOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	_, store, requests := startBehindPeers(t, 8)
	store.unavailable.Store(true)
	for requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second)
	is.Equal(requests.Load(), int64(1))
}

// Guards against a configuration that is transferred between daemons although each reads it from the store.
func TestConfigInReachableStoreIsNotRequested(t *testing.T) {
	is := is.New(t)
	d, store, requests := startBehindPeers(t, 2)
	time.Sleep(configFeedWait)
	_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{configPut(newConfig)}})
	is.NoErr(err)
	for d.Snapshot().Version < newConfig {
		time.Sleep(time.Millisecond)
	}
	is.Equal(requests.Load(), int64(0))
}

// Guards against a daemon whose link is filled with copies of a large configuration for all daemons that are behind.
func TestConfigIsSentToOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	const other = cluster.DaemonID("other@1")
	replies := make(chan *peer.Reply, 8)
	d := newTestDaemon(t, &slowStore{})
	defer d.wg.Wait()
	defer d.stop()
	remote := connectPeer(t, d, other, func(m peer.Message) {
		if r, ok := m.(*peer.Reply); ok {
			replies <- r
		}
	})
	d.config.Store(&configState{snapshot: cluster.Assemble(8, nil), data: make([]byte, 256<<10), readAt: time.Now()})
	request := must(encode("test", &configRequest{}))
	for i := range cap(replies) {
		is.True(remote.Send(d.cfg.Self, &peer.Call{ID: uint64(i + 1), Method: methodConfig, Body: request}))
	}
	sent := 0
	for range cap(replies) {
		if r := <-replies; r.Failure == "" {
			sent++
		}
	}
	is.Equal(sent, 1)
}

// countingStore counts the bytes of the rows that are read.
type countingStore struct {
	*rowStore
	bytesRead int
}

func (s *countingStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	reply, err := s.rowStore.Read(ctx, req)
	for _, r := range reply.Rows {
		s.bytesRead += len(r.Value)
	}
	return reply, err
}

// Guards against probes that read a large configuration: they are sent while calls are late, and would keep a loaded
// link full.
func TestProbeReadsLittle(t *testing.T) {
	is := is.New(t)
	store := &countingStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	d := newTestDaemon(t, store)
	defer d.stop()
	_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{
		{Key: d.cfg.Reader.ConfigKey(), Value: make([]byte, 256<<10)},
		{Key: layoutKey, Value: must(encode("test", &layoutRow{Shards: 1}))},
	}})
	is.NoErr(err)
	d.store.probe()
	is.True(d.store.reachable())
	is.True(store.bytesRead < 1<<10)
}
