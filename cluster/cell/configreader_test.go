package cell

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// silentStore is a feedStore that may stop replying, and that records when the waits of its feeds started.
type silentStore struct {
	*feedStore
	silent atomic.Bool

	mu      sync.Mutex
	waitsAt map[string]time.Time
}

func (s *silentStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	if req.Wait > 0 {
		s.mu.Lock()
		s.waitsAt[req.Prefixes[0]] = time.Now()
		s.mu.Unlock()
	}
	reply, err := s.feedStore.Read(ctx, req)
	if s.silent.Load() {
		<-ctx.Done()
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	return reply, err
}

// waitedFor returns how long a feed has waited for a change.
func (s *silentStore) waitedFor(prefix string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.waitsAt[prefix])
}

// Guards against a configuration that is in force too late on daemons that can reach the store, because the one that
// reads it for their zone gets no replies and has not noticed yet.
func TestConfigIsInForceInTimeWithoutReader(t *testing.T) {
	is := is.New(t)
	const (
		daemons = 3
		limit   = 3 * time.Second
		// justStarted is the age of the feeds' waits from which the silence takes longest to be noticed.
		justStarted = 150 * time.Millisecond
	)
	rows := &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{configPut(oldConfig)}})
	is.NoErr(err)
	stores := map[*Daemon]*silentStore{}
	for i := range daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		store := &silentStore{feedStore: rows, waitsAt: map[string]time.Time{}}
		d := newTestDaemon(t, store)
		d.cfg.VM = fmt.Sprintf("vm-%d", i)
		d.cfg.Self = NewID(d.cfg.VM, time.UnixMilli(1))
		d.cfg.PeerAddr = netip.MustParseAddrPort(listener.Addr().String())
		d.cfg.Listener = listener
		d.cfg.Reader = versionReader{}
		stores[d] = store
	}
	for d := range stores {
		d.Start()
		t.Cleanup(d.Close)
	}
	for d := range stores {
		waitUntil(t, func() bool { return d.Snapshot().Version == oldConfig })
	}
	time.Sleep(2 * configFeedWait)
	var readers []*Daemon
	for d := range stores {
		if d.readsConfig() {
			readers = append(readers, d)
		}
	}
	is.Equal(len(readers), 1)
	store := stores[readers[0]]
	waitUntil(t, func() bool {
		return store.waitedFor(tablePrefix(versionReader{}.ConfigKey())) < justStarted && store.waitedFor(cellTable) < justStarted
	})
	store.silent.Store(true)
	_, err = rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{configPut(newConfig)}})
	is.NoErr(err)
	writtenAt := time.Now()
	for d := range stores {
		if d != readers[0] {
			waitUntil(t, func() bool { return d.Snapshot().Version == newConfig })
		}
	}
	took := time.Since(writtenAt)
	t.Logf("in force after %s", took.Round(10*time.Millisecond))
	is.True(took < limit)
}

// Guards against all daemons of a zone without a hub reading the configuration, as they are connected to none of
// the others.
func TestLargeCellReadsConfigAtHubs(t *testing.T) {
	rows := memberRows(300)
	hubs := connectedMembers(rows, nil, responds)
	isHub := func(vm string) bool {
		return slices.ContainsFunc(hubs, func(m memberRow) bool { return m.ID == rows[vm].ID })
	}
	var otherCandidate, other string
	for vm := range rows {
		switch {
		case !isCandidate(vm):
			other = vm
		case !isHub(vm):
			otherCandidate = vm
		}
	}
	hub, _, _ := strings.Cut(hubs[0].ID, daemonSeparator)
	secondHub, _, _ := strings.Cut(hubs[1].ID, daemonSeparator)
	for name, test := range map[string]struct {
		vm       string
		hubPlace cluster.Place
		leads    bool
	}{
		"hub in the zone":           {vm: other, hubPlace: cluster.Place{Region: "home", Zone: "a"}},
		"hub in the region":         {vm: other, hubPlace: cluster.Place{Region: "home", Zone: "b"}},
		"candidate in the region":   {vm: otherCandidate, hubPlace: cluster.Place{Region: "home", Zone: "b"}},
		"hub in another region":     {vm: other, hubPlace: cluster.Place{Region: "away", Zone: "c"}, leads: true},
		"second hub of the zone":    {vm: secondHub, hubPlace: cluster.Place{Region: "home", Zone: "a"}},
		"the hub of another zone":   {vm: secondHub, hubPlace: cluster.Place{Region: "home", Zone: "b"}, leads: true},
		"the hub of another region": {vm: secondHub, hubPlace: cluster.Place{Region: "away", Zone: "c"}, leads: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			remote := peer.New(peer.Config{
				Self: peer.Hello{From: cluster.DaemonID(rows[hub].ID)}, Listener: listener, Log: zerolog.Nop(), Handler: func(cluster.DaemonID, peer.Message) {},
				Digest: func() peer.Digest { return peer.Digest{StoreVisible: true} },
			})
			t.Cleanup(remote.Close)
			d := newTestDaemon(t, &slowStore{})
			t.Cleanup(d.stop)
			d.cfg.VM, d.cfg.Self, d.cfg.Cores = test.vm, cluster.DaemonID(rows[test.vm].ID), rows[test.vm].Cores
			d.cfg.Place = cluster.Place{Region: "home", Zone: "a"}
			d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.handleMessage, Digest: d.digest})
			t.Cleanup(d.transport.Close)
			var candidates []platform.Row
			for vm, m := range rows {
				m.Addr, m.Region, m.Zone = d.cfg.PeerAddr.String(), "home", "a"
				if vm == hub {
					m.Addr, m.Region, m.Zone = listener.Addr().String(), string(test.hubPlace.Region), string(test.hubPlace.Zone)
				}
				if isCandidate(vm) {
					candidates = append(candidates, platform.Row{Key: memberKey(vm), Value: must(encode("test", &m))})
				}
			}
			is.True(d.applyCellRows(candidates, true, cellTable))
			waitUntil(t, func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.digests[cluster.DaemonID(rows[hub].ID)].StoreVisible
			})
			is.Equal(d.readsConfig(), test.leads)
		})
	}
}
