package cell

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// slowListener accepts connections that write at a limited rate.
type slowListener struct {
	net.Listener
	bytesPerSecond int
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, bytesPerSecond: l.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(p)
}

// Guards against small relayed reads, such as those of an owner row or of a feed, that wait behind a shard that is
// loaded through the same daemon.
func TestSmallRelayedReadPassesLoad(t *testing.T) {
	is := is.New(t)
	const (
		bytesPerSecond = 1 << 20
		loads          = 4
		loadBytes      = 1 << 20
		loadRows       = 64
		limit          = time.Second
	)
	rows := &rowStore{rows: map[string]platform.Row{}}
	stores := []*feedStore{{rowStore: rows}, {rowStore: rows}}
	var puts []platform.Put
	for i := range loadRows {
		puts = append(puts, platform.Put{Key: jobPartPrefix(0, 1) + fmt.Sprint(i), Value: make([]byte, loadBytes/loadRows)})
	}
	_, err := rows.Commit(t.Context(), platform.Txn{Puts: puts})
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	cut, relay := newTestDaemon(t, stores[0]), newTestDaemon(t, stores[1])
	cut.cfg.VM, cut.cfg.Self = "cut", NewID("cut", time.UnixMilli(1))
	relay.cfg.VM, relay.cfg.Self = "relay", NewID("relay", time.UnixMilli(1))
	relay.cfg.PeerAddr = netip.MustParseAddrPort(listener.Addr().String())
	relay.cfg.Listener = &slowListener{Listener: listener, bytesPerSecond: bytesPerSecond}
	for _, d := range []*Daemon{cut, relay} {
		d.Start()
		t.Cleanup(d.Close)
	}
	waitUntil(t, func() bool { return len(cut.relayDaemons()) == 1 })
	stores[0].unavailable.Store(true)
	waitUntil(t, func() bool { return !cut.store.mayBeReachable() })

	var reads conc.WaitGroup
	for range loads {
		reads.Go(func() {
			_, _ = cut.store.Read(t.Context(), platform.ReadRequest{Prefixes: []string{jobPartPrefix(0, 1)}})
		})
	}
	time.Sleep(limit / 2)
	startedAt := time.Now()
	_, err = cut.store.Read(t.Context(), platform.ReadRequest{Keys: []string{memberKey("relay")}})
	took := time.Since(startedAt)
	reads.Wait()
	is.NoErr(err)
	t.Logf("a small read took %s beside a load", took.Round(10*time.Millisecond))
	is.True(took < limit)
}
