package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Transport keeps one connection to each peer.
type Transport struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	accepted int
	peers    map[cluster.DaemonID]*remote
}

// remote is the state kept for a peer across its connections.
type remote struct {
	id    cluster.DaemonID
	addr  netip.AddrPort
	queue chan Message
	heard time.Time
	conn  *conn
	// wanted is false for a peer that dialled and is not in the list of SetPeers.
	wanted bool
	cancel context.CancelFunc
}

// New starts a transport; Close stops it.
func New(cfg Config) *Transport {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Digest == nil {
		cfg.Digest = func() Digest { return Digest{} }
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{cfg: cfg, ctx: ctx, stop: stop, peers: map[cluster.DaemonID]*remote{}}
	if cfg.Listener != nil {
		t.wg.Go(t.accept)
	}
	return t
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
}

// SetPeers replaces the peers to keep connections to.
func (t *Transport) SetPeers(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	keep := map[cluster.DaemonID]bool{}
	for _, p := range peers {
		if p.ID == t.cfg.Self.From {
			continue
		}
		keep[p.ID] = true
		t.want(p)
	}
	for id, r := range t.peers {
		if r.wanted && !keep[id] {
			r.cancel()
			if r.conn != nil {
				r.conn.close()
			}
			delete(t.peers, id)
		}
	}
}

// want starts to dial a peer; one without a valid address is waited for.
func (t *Transport) want(p Peer) {
	r := t.remote(p.ID)
	if r.wanted && r.addr == p.Addr {
		return
	}
	if r.cancel != nil {
		r.cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	r.wanted, r.addr, r.cancel = true, p.Addr, cancel
	if p.Addr.IsValid() {
		t.wg.Go(func() { t.dialLoop(ctx, r, p) })
	}
}

func (t *Transport) remote(id cluster.DaemonID) *remote {
	r := t.peers[id]
	if r == nil {
		r = &remote{id: id, queue: make(chan Message, queueLength)}
		t.peers[id] = r
	}
	return r
}

// Send queues a message to a peer; it never blocks and returns false if the message was dropped.
func (t *Transport) Send(to cluster.DaemonID, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peers[to]
	return r != nil && t.enqueue(r, m)
}

func (t *Transport) enqueue(r *remote, m Message) bool {
	if r.conn != nil {
		select {
		case r.queue <- m:
			return true
		default:
		}
	}
	t.cfg.Metrics.Counter("peer_dropped").Inc(1)
	return false
}

// Broadcast queues a message to every connected peer.
func (t *Transport) Broadcast(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.peers {
		if r.conn != nil {
			t.enqueue(r, m)
		}
	}
}

// LastHeard returns when the last frame of a peer arrived, on the clock of Config.Now; zero if none did.
func (t *Transport) LastHeard(id cluster.DaemonID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.peers[id]; r != nil {
		return r.heard
	}
	return time.Time{}
}

// Close closes every connection and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, r := range t.peers {
		if r.conn != nil {
			r.conn.close()
		}
	}
	t.mu.Unlock()
	t.stop()
	if t.cfg.Listener != nil {
		_ = t.cfg.Listener.Close()
	}
	t.wg.Wait()
}

func (t *Transport) accept() {
	for {
		nc, err := t.cfg.Listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.cfg.Log.Warn().Err(err).Msg("peer: accept failed")
			t.sleep(t.ctx, redialFirst)
			continue
		}
		if !t.admit() {
			t.cfg.Log.Warn().Stringer("addr", nc.RemoteAddr()).Msg("peer: too many connections; refused one")
			_ = nc.Close()
			continue
		}
		t.wg.Go(func() {
			defer t.release()
			t.serve(nc, Peer{})
		})
	}
}

func (t *Transport) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted >= maxConnections {
		return false
	}
	t.accepted++
	return true
}

func (t *Transport) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted--
}

// dialLoop keeps a connection to a peer until ctx ends.
func (t *Transport) dialLoop(ctx context.Context, r *remote, p Peer) {
	delay := redialFirst
	for ctx.Err() == nil {
		if t.connected(r) {
			t.sleep(ctx, attachedCheck)
			continue
		}
		start := t.cfg.Now()
		dialCtx, cancel := context.WithTimeout(ctx, SilenceLimit)
		nc, err := t.cfg.Dial(dialCtx, p.Addr)
		cancel()
		if err != nil {
			t.cfg.Log.Debug().Err(err).Str("peer", string(r.id)).Msg("peer: dial failed")
		} else {
			t.serve(nc, p)
		}
		if t.cfg.Now().Sub(start) > steadyAfter {
			delay = redialFirst
		}
		// Half of the delay is random, so that daemons do not redial a returning peer all at once.
		t.sleep(ctx, time.Duration(float64(delay)*(0.5+t.cfg.Random()/2)))
		delay = min(2*delay, redialMax)
	}
}

func (t *Transport) connected(r *remote) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.conn != nil
}

func (t *Transport) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// serve runs a connection until it fails; expect is the peer that was dialled, or zero.
func (t *Transport) serve(nc net.Conn, expect Peer) {
	dialled := expect.ID != ""
	c := newConn(t, nc, dialled)
	defer c.close()
	hello, err := c.handshake(expect.Place.Region)
	if err == nil && dialled && hello.From != expect.ID {
		err = &Error{Op: "connect", Kind: KindHandshake, Err: fmt.Errorf("dialled %s, reached %s", expect.ID, hello.From)}
	}
	if err == nil && (hello.From == "" || hello.From == t.cfg.Self.From) {
		err = &Error{Op: "connect", Kind: KindHandshake, Err: fmt.Errorf("the peer has the name %q", hello.From)}
	}
	if err != nil {
		t.logClosed(string(expect.ID), nc, err)
		return
	}
	if !t.attach(c, hello) {
		return
	}
	t.cfg.Log.Info().Str("peer", string(hello.From)).Bool("dialled", dialled).Msg("peer: connected")
	t.cfg.Handler(hello.From, hello)
	err = c.run()
	t.detach(c)
	t.logClosed(string(hello.From), nc, err)
}

func (t *Transport) logClosed(peer string, nc net.Conn, err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.cfg.Metrics.Counter("peer_closed").Inc(1)
	t.cfg.Log.Warn().Err(err).Str("peer", peer).Stringer("addr", nc.RemoteAddr()).Msg("peer: connection closed")
}

// attach makes c the connection of its peer. If both sides dialled at once, the
// connection dialled by the lower identifier stays; otherwise the newer one does.
func (t *Transport) attach(c *conn, hello *Hello) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	r := t.remote(hello.From)
	if old := r.conn; old != nil {
		lowerDials := t.cfg.Self.From < hello.From
		if old.dialled != c.dialled && old.dialled == lowerDials {
			return false
		}
		old.close()
	}
	c.remote, c.region, r.conn, r.heard = r, hello.Place.Region, c, t.cfg.Now()
	return true
}

func (t *Transport) detach(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.remote.conn != c {
		return
	}
	c.remote.conn = nil
	if !c.remote.wanted && t.peers[c.remote.id] == c.remote {
		delete(t.peers, c.remote.id)
	}
}

// heard notes that a frame of a peer arrived.
func (t *Transport) heard(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.remote.heard = t.cfg.Now()
}

// pingInterval grows with the number of peers, so that pings at 40 members stay within the bytes allowed.
func (t *Transport) pingInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) <= fullRatePeers {
		return PingInterval
	}
	return min(PingInterval*time.Duration(len(t.peers))/fullRatePeers, MaxPingInterval)
}
