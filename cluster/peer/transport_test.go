package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
)

// network connects transports in memory.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	// frozen addresses accept connections that carry nothing.
	frozen bool
	// delay is the time that a frame is under way.
	delay time.Duration
	dials int
}

type memListener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// freezable stops to deliver what is written once its network is frozen.
type freezable struct {
	net.Conn
	n *network
}

func (f freezable) Write(p []byte) (int, error) {
	f.n.mu.Lock()
	frozen := f.n.frozen
	f.n.mu.Unlock()
	time.Sleep(f.n.delay)
	if frozen {
		return len(p), nil
	}
	return f.Conn.Write(p)
}

func (n *network) listen(addr netip.AddrPort) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	select {
	case l.conns <- freezable{b, n}:
		return freezable{a, n}, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, errors.New("refused")
}

func (n *network) dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *network) setFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
}

type node struct {
	*Transport
	mu   sync.Mutex
	got  []Message
	log  lockedBuffer
	paid *paidlink.Counter
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (n *node) received() []Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Message{}, n.got...)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func daemonID(i int) cluster.DaemonID { return cluster.DaemonID(fmt.Sprintf("d%02d", i)) }

func start(n *network, i int, digest func() Digest) *node {
	place := cluster.Place{Region: cluster.Region([]string{"north", "south"}[i%2])}
	d := &node{paid: paidlink.New(paidlink.Config{Self: place.Region})}
	d.Transport = New(Config{
		Self: Hello{From: daemonID(i), Place: place, PeerAddr: address(i)}, Listener: n.listen(address(i)), Dial: n.dial,
		Log: zerolog.New(&d.log), PaidLink: d.paid, Random: func() float64 { return 0.5 }, Digest: digest,
		Handler: func(_ cluster.DaemonID, m Message) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.got = append(d.got, m)
		},
	})
	return d
}

func peersOf(n int) []Peer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{ID: daemonID(i), Addr: address(i)})
	}
	return peers
}

func newNetwork() *network { return &network{listeners: map[netip.AddrPort]*memListener{}} }

// Guards against two daemons that dial each other at once ending with no
// connection or with two, and against messages that do not arrive.
func TestOneConnectionPerPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, b := start(n, 0, nil), start(n, 1, nil)
		defer a.Close()
		defer b.Close()
		a.SetPeers(peersOf(2))
		b.SetPeers(peersOf(2))
		time.Sleep(10 * time.Second)
		dials := n.dialled()
		is.True(a.Send("d01", &ConfigPoll{Sequence: 1}))
		time.Sleep(10 * time.Second)
		is.Equal(n.dialled(), dials) // the connection is steady
		is.True(time.Since(b.LastHeard("d00")) <= PingInterval)
		polls := 0
		for _, m := range b.received() {
			if _, ok := m.(*ConfigPoll); ok {
				polls++
			}
		}
		is.Equal(polls, 1)
	})
}

// Guards against a digest that is dated later than it was made: an answer that
// was long under way must not confirm anything.
func TestPingIsDatedByTheEchoedPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.delay = 30 * time.Millisecond
		start0 := time.Now()
		a := start(n, 0, nil)
		made := func() Digest { return Digest{ConfigVersion: cluster.Version(time.Since(start0) / time.Millisecond)} }
		b := start(n, 1, made)
		defer a.Close()
		defer b.Close()
		a.SetPeers(peersOf(2))
		time.Sleep(20 * time.Second)
		dated := 0
		for _, m := range a.received() {
			if p, ok := m.(*Ping); ok && !p.AsOf.IsZero() {
				dated++
				is.True(p.AsOf.Sub(start0) <= time.Duration(p.Digest.ConfigVersion)*time.Millisecond)
			}
		}
		is.True(dated > 10)
	})
}

// Guards against a connection that went silent without an error and stays in use.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, b := start(n, 0, nil), start(n, 1, nil)
		defer a.Close()
		defer b.Close()
		a.SetPeers(peersOf(2))
		time.Sleep(5 * time.Second)
		n.setFrozen(true)
		time.Sleep(SilenceLimit + PingInterval + time.Millisecond)
		is.True(!a.Send("d01", &ConfigPoll{})) // closed
		n.setFrozen(false)
		time.Sleep(SilenceLimit + redialMax)
		is.True(a.Send("d01", &ConfigPoll{}))
		is.True(strings.Contains(a.log.String(), "peer: connection closed"))
	})
}

// Guards against a frame of a faulty or foreign process that stops the transport or other connections.
func TestBadFramesHarmNothingElse(t *testing.T) {
	hello, _ := Encode(&Hello{From: "x"})
	frame := func(body []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	for name, data := range map[string][]byte{
		"wrong rack": append(append(frame(hello), frame(func() []byte { b, _ := Encode(&Ping{Sequence: 1, layout: wholeDigest}); return b }())...), frame(func() []byte {
			b, _ := Encode(&Ping{Sequence: 2, Digest: Digest{Racks: make([]RackDigest, 1)}, layout: layout{partRackChanges, []int{9}}})
			return b
		}())...),
		"no hello":    frame([]byte{byte(tagConfigPoll), 1, 1}),
		"malformed":   append(frame(hello), frame([]byte{0xc1})...),
		"unknown":     append(frame(hello), frame([]byte{99})...),
		"oversized":   append(frame(hello), binary.BigEndian.AppendUint32(nil, MaxFrame+1)...),
		"incomplete":  append(frame(hello), 0, 0, 1, 0, 5),
		"empty":       append(frame(hello), frame(nil)...),
		"nameless":    frame(func() []byte { b, _ := Encode(&Hello{}); return b }()),
		"wrong start": append(frame(hello), frame(func() []byte { b, _ := Encode(&Ping{Sequence: 1}); return b }())...),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				a, b := start(n, 0, nil), start(n, 1, nil)
				defer a.Close()
				defer b.Close()
				a.SetPeers(peersOf(2))
				time.Sleep(time.Second)
				nc, err := n.dial(t.Context(), address(0))
				is.NoErr(err)
				go func() {
					_, _ = nc.Write(data)
				}()
				_ = nc.SetReadDeadline(time.Now().Add(3 * SilenceLimit))
				var last error
				for buf := make([]byte, 1024); last == nil; {
					_, last = nc.Read(buf)
				}
				is.True(!errors.Is(last, context.DeadlineExceeded)) // closed by the other side
				_ = nc.Close()
				time.Sleep(time.Second)
				is.True(strings.Contains(a.log.String(), "connection closed"))
				is.True(a.Send("d01", &ConfigPoll{}))
			})
		})
	}
}

// Guards against a slow peer that blocks the sender or makes its memory grow.
func TestSendNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		a, b := start(n, 0, nil), start(n, 1, nil)
		defer a.Close()
		defer b.Close()
		is.True(!a.Send("d01", &ConfigPoll{})) // unknown peer
		a.SetPeers(peersOf(2))
		time.Sleep(time.Second)
		dropped := 0
		for range 10 * queueLength {
			if !a.Send("d01", &AssignNotice{Rack: "r"}) {
				dropped++
			}
		}
		is.True(dropped > 0)
	})
}
