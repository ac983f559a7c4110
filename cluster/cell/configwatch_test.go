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

// configCell is a daemon that has oldConfig, with peers that announce another version.
type configCell struct {
	daemon *Daemon
	store  *feedStore
	// announced is the version that the peers announce.
	announced atomic.Uint64
	// requests holds the number of requests for a configuration that each peer has received.
	requests []atomic.Int64
	// answer makes the peers answer the requests with newConfig.
	answer atomic.Bool
	// unreadable makes the answers unreadable for the daemon.
	unreadable atomic.Bool
}

// totalRequests returns the number of requests to all peers.
func (c *configCell) totalRequests() int64 {
	total := int64(0)
	for i := range c.requests {
		total += c.requests[i].Load()
	}
	return total
}

// newConfigCell starts a daemon of the region "home" with a peer in each of the given regions.
func newConfigCell(t *testing.T, regions ...cluster.Region) *configCell {
	t.Helper()
	is := is.New(t)
	c := &configCell{store: &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}, requests: make([]atomic.Int64, len(regions))}
	c.announced.Store(uint64(oldConfig))
	puts := []platform.Put{configPut(oldConfig)}
	for i, region := range regions {
		vm := fmt.Sprintf("peer-%d", i)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		var remote atomic.Pointer[peer.Transport]
		remote.Store(peer.New(peer.Config{
			Self: peer.Hello{From: NewID(vm, time.UnixMilli(1))}, Listener: listener, Log: zerolog.Nop(),
			Handler: func(from cluster.DaemonID, m peer.Message) {
				call, ok := m.(*peer.Call)
				if !ok || call.Method != methodConfig {
					return
				}
				c.requests[i].Add(1)
				if c.answer.Load() {
					data := configPut(newConfig).Value
					if c.unreadable.Load() {
						data = []byte("not a version")
					}
					body := must(encode("test", &configReply{Data: data}))
					remote.Load().Send(from, &peer.Reply{ID: call.ID, Body: body})
				}
			},
			Digest: func() peer.Digest { return peer.Digest{ConfigVersion: cluster.Version(c.announced.Load())} },
		}))
		t.Cleanup(remote.Load().Close)
		row := memberRow{ID: string(NewID(vm, time.UnixMilli(1))), Addr: listener.Addr().String(), Region: string(region)}
		puts = append(puts, platform.Put{Key: memberKey(vm), Value: must(encode("test", &row))})
	}
	_, err := c.store.Commit(t.Context(), platform.Txn{Puts: puts})
	is.NoErr(err)
	c.daemon = newTestDaemon(t, c.store)
	c.daemon.cfg.Reader = versionReader{}
	c.daemon.cfg.Place.Region = "home"
	c.daemon.Start()
	t.Cleanup(c.daemon.Close)
	for i := range regions {
		waitUntil(t, func() bool {
			return !c.daemon.transport.LastSeen(NewID(fmt.Sprintf("peer-%d", i), time.UnixMilli(1))).IsZero()
		})
	}
	waitUntil(t, func() bool { return c.daemon.Snapshot().Version == oldConfig })
	return c
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met after 10 s")
		}
	}
}

// Guards against links that are filled with copies of one large configuration: a daemon that is behind must not
// request it from every peer, and not again while a request is in flight.
func TestConfigIsRequestedFromOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	c := newConfigCell(t, "home", "home", "home", "home", "away", "away", "away", "away")
	c.store.unavailable.Store(true)
	c.announced.Store(uint64(newConfig))
	waitUntil(t, func() bool { return c.totalRequests() > 0 })
	time.Sleep(time.Second)
	is.Equal(c.totalRequests(), int64(1))
}

// Guards against a daemon that requests a configuration that it can't read, such as that of a later version of the
// program, again without a delay.
func TestUnreadableConfigIsRequestedAfterDelay(t *testing.T) {
	is := is.New(t)
	c := newConfigCell(t, "home")
	c.answer.Store(true)
	c.unreadable.Store(true)
	c.store.unavailable.Store(true)
	c.announced.Store(uint64(newConfig))
	waitUntil(t, func() bool { return c.totalRequests() > 0 })
	time.Sleep(2 * time.Second)
	is.True(c.totalRequests() <= int64(1+2*time.Second/configRetryDelay))
}

// Guards against a configuration that is transferred between daemons although each reads it from the store.
func TestConfigInReachableStoreIsNotRequested(t *testing.T) {
	is := is.New(t)
	c := newConfigCell(t, "home", "away")
	_, err := c.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{configPut(newConfig)}})
	is.NoErr(err)
	c.announced.Store(uint64(newConfig))
	time.Sleep(configFetchDelay + time.Second)
	is.Equal(c.daemon.Snapshot().Version, newConfig)
	is.Equal(c.totalRequests(), int64(0))
}

// Guards against a daemon that has lost the store and keeps an old configuration, or waits for its feed.
func TestConfigIsFetchedWithoutStore(t *testing.T) {
	is := is.New(t)
	c := newConfigCell(t, "away", "home")
	c.answer.Store(true)
	c.store.unavailable.Store(true)
	waitUntil(t, func() bool { return !c.daemon.store.mayBeReachable() })
	announcedAt := time.Now()
	c.announced.Store(uint64(newConfig))
	waitUntil(t, func() bool { return c.daemon.Snapshot().Version == newConfig })
	is.True(time.Since(announcedAt) < configFetchDelay)
}

// Guards against copies that cross the link between the regions although a daemon of the own region has one.
func TestConfigIsRequestedInOwnRegion(t *testing.T) {
	is := is.New(t)
	c := newConfigCell(t, "away", "away", "home", "away")
	c.announced.Store(uint64(newConfig))
	waitUntil(t, func() bool {
		c.daemon.mu.Lock()
		defer c.daemon.mu.Unlock()
		announcing := 0
		for _, digest := range c.daemon.digests {
			if digest.ConfigVersion == newConfig {
				announcing++
			}
		}
		return announcing == len(c.requests)
	})
	sources, nearest := c.daemon.configSources()
	is.Equal(sources, []cluster.DaemonID{NewID("peer-2", time.UnixMilli(1))})
	is.True(nearest != otherRegion)
}

// Guards against a daemon whose link is filled with copies of a large configuration for all daemons that are behind,
// and against one that sends no second copy.
func TestConfigCopiesAreSentAtLimitedRate(t *testing.T) {
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
	const size = 256 << 10
	d.config.Store(&configState{snapshot: cluster.Assemble(8, nil), data: make([]byte, size), readAt: time.Now()})
	request := must(encode("test", &configRequest{}))
	requestConfigs := func(n int) (sent int) {
		for i := range n {
			is.True(remote.Send(d.cfg.Self, &peer.Call{ID: uint64(i + 1), Method: methodConfig, Body: request}))
		}
		for range n {
			if r := <-replies; r.Failure == "" {
				sent++
			}
		}
		return sent
	}
	is.Equal(requestConfigs(cap(replies)), 1)
	time.Sleep(size * time.Second / configSendRate)
	is.Equal(requestConfigs(1), 1)
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
