package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Transport keeps one connection to each peer and exchanges messages over it.
type Transport struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu     sync.Mutex
	closed bool
	// acceptedConns is the number of open connections that were accepted.
	acceptedConns int
	// unlistedBytes is the size of the frames that maxUnlistedBytes bounds.
	unlistedBytes int64
	// handshakes holds the accepted connections whose handshake is not complete, the
	// oldest first.
	handshakes []*conn
	// handshakeLogAt is when a connection without a complete handshake was last
	// logged, and unloggedHandshakes the number of those since then.
	handshakeLogAt     time.Time
	unloggedHandshakes int
	peers              map[cluster.DaemonID]*peerState
}

// peerState is the state of a peer that outlives its connections. Its fields are
// guarded by Transport.mu.
type peerState struct {
	id        cluster.DaemonID
	addr      netip.AddrPort
	sendQueue chan Message
	// bulkQueue holds the messages that are sent while sendQueue is empty.
	bulkQueue chan Message
	// lastSeen is when the last frame from the peer arrived.
	lastSeen time.Time
	// conn is nil while the peer is not connected.
	conn *conn
	// configured is false for a peer that dialled this daemon and is not in the
	// list of SetPeers.
	configured   bool
	stopDialling context.CancelFunc
}

// New starts a Transport; Close stops it.
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
	if cfg.MaxConns == 0 {
		cfg.MaxConns = maxAcceptedConns
	}
	if cfg.MaxHandshakes == 0 {
		cfg.MaxHandshakes = maxHandshakes
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{cfg: cfg, ctx: ctx, cancel: cancel, peers: map[cluster.DaemonID]*peerState{}}
	if cfg.Listener != nil {
		t.wg.Go(t.acceptLoop)
	}
	return t
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
}

// SetPeers replaces the list of peers to keep connections to. Connections to
// peers that are no longer in the list are closed.
func (t *Transport) SetPeers(peers []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	configured := map[cluster.DaemonID]bool{}
	for _, p := range peers {
		if p.ID == t.cfg.Self.From {
			continue
		}
		configured[p.ID] = true
		t.startDialling(p)
	}
	for id, state := range t.peers {
		if state.configured && !configured[id] {
			state.stopDialling()
			if state.conn != nil {
				state.conn.close()
			}
			delete(t.peers, id)
		}
	}
}

// startDialling keeps dialling a peer in the background. A peer without a valid
// address is not dialled; it can still connect to this daemon.
func (t *Transport) startDialling(p Peer) {
	state := t.peerState(p.ID)
	if state.configured && state.addr == p.Addr {
		return
	}
	if state.stopDialling != nil {
		state.stopDialling()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	state.configured, state.addr, state.stopDialling = true, p.Addr, cancel
	if p.Addr.IsValid() {
		t.wg.Go(func() { t.dialLoop(ctx, state, p) })
	}
}

// peerState returns the state of a peer and creates it if necessary.
func (t *Transport) peerState(id cluster.DaemonID) *peerState {
	state := t.peers[id]
	if state == nil {
		state = &peerState{id: id, sendQueue: make(chan Message, sendQueueLength), bulkQueue: make(chan Message, sendQueueLength)}
		t.peers[id] = state
	}
	return state
}

// Send queues a message for a peer. It never blocks; it returns false if the
// message was dropped because the peer is not connected or its queue is full.
func (t *Transport) Send(to cluster.DaemonID, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[to]
	return state != nil && t.enqueue(state, state.sendQueue, m)
}

// SendBulk is Send for a part of a large transfer. Messages of Send and pings pass those of SendBulk, whose order is
// kept.
func (t *Transport) SendBulk(to cluster.DaemonID, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[to]
	return state != nil && t.enqueue(state, state.bulkQueue, m)
}

// enqueue queues a message for a connected peer, or drops it and returns false.
func (t *Transport) enqueue(state *peerState, queue chan<- Message, m Message) bool {
	if state.conn != nil {
		select {
		case queue <- m:
			return true
		default:
		}
	}
	t.cfg.Metrics.Counter("peer_dropped").Inc(1)
	return false
}

// Broadcast queues a message for every connected peer.
func (t *Transport) Broadcast(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.peers {
		if state.conn != nil {
			t.enqueue(state, state.sendQueue, m)
		}
	}
}

// LastSeen returns the time of Config.Now at which the last frame from a peer
// arrived; zero if none did.
func (t *Transport) LastSeen(id cluster.DaemonID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.peers[id]; state != nil {
		return state.lastSeen
	}
	return time.Time{}
}

// Close closes the listener and all connections and waits for the transport's
// goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, state := range t.peers {
		if state.conn != nil {
			state.conn.close()
		}
	}
	t.mu.Unlock()
	t.cancel()
	if t.cfg.Listener != nil {
		_ = t.cfg.Listener.Close()
	}
	t.wg.Wait()
}

// acceptLoop serves incoming connections until the transport is closed.
func (t *Transport) acceptLoop() {
	for {
		netConn, err := t.cfg.Listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.cfg.Log.Warn().Err(err).Msg("peer: failed to accept a connection; retrying")
			t.sleep(t.ctx, redialMinDelay)
			continue
		}
		if !t.reserveConn() {
			t.logRefused(netConn, errTooManyConns)
			_ = netConn.Close()
			continue
		}
		t.wg.Go(func() {
			defer t.releaseConn()
			t.serve(netConn, Peer{})
		})
	}
}

// reserveConn counts an accepted connection; it returns false if there are too many.
func (t *Transport) reserveConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acceptedConns >= t.cfg.MaxConns {
		return false
	}
	t.acceptedConns++
	return true
}

// releaseConn ends the count of an accepted connection.
func (t *Transport) releaseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptedConns--
}

// dialLoop dials a peer whenever it is not connected, until ctx ends.
func (t *Transport) dialLoop(ctx context.Context, state *peerState, p Peer) {
	delay := redialMinDelay
	for ctx.Err() == nil {
		if t.isConnected(state) {
			t.sleep(ctx, connectedCheckInterval)
			continue
		}
		dialledAt := t.cfg.Now()
		dialCtx, cancel := context.WithTimeout(ctx, IdleTimeout)
		netConn, err := t.cfg.Dial(dialCtx, p.Addr)
		cancel()
		if err != nil {
			t.cfg.Log.Debug().Err(err).Str("peer", string(state.id)).Msg("peer: failed to dial")
		} else {
			t.serve(netConn, p)
		}
		if t.cfg.Now().Sub(dialledAt) > stableConnectionAge {
			delay = redialMinDelay
		}
		// Half of the delay is random, so that the daemons do not all redial a
		// restarted peer at the same time.
		t.sleep(ctx, time.Duration(float64(delay)*(0.5+t.cfg.Random()/2)))
		delay = min(2*delay, redialMaxDelay)
	}
}

func (t *Transport) isConnected(state *peerState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return state.conn != nil
}

// sleep waits for d or until ctx ends.
func (t *Transport) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// serve runs a connection until it fails. dialledPeer is the peer that was
// dialled; it is zero for an accepted connection. A later process may have the
// address of the dialled peer: it counts as the peer that it says it is, as the
// receiving side has already replaced its own connection by this one.
func (t *Transport) serve(netConn net.Conn, dialledPeer Peer) {
	dialled := dialledPeer.ID != ""
	c := newConn(t, netConn, dialled)
	defer c.close()
	if !dialled {
		t.beginHandshake(c)
	}
	hello, err := c.handshake(dialledPeer.Place.Region)
	if !dialled {
		t.endHandshake(c)
	}
	if err == nil && (hello.From == "" || hello.From == t.cfg.Self.From) {
		err = &Error{Op: "connect", Kind: KindHandshake, Err: fmt.Errorf("the peer sent the daemon ID %q, which is empty or that of this daemon", hello.From)}
	}
	if err != nil {
		if dialled {
			t.logClosed(string(dialledPeer.ID), netConn, err)
		} else {
			t.logRefused(netConn, err)
		}
		return
	}
	if !t.attach(c, hello) {
		return
	}
	line := t.cfg.Log.Info().Str("peer", string(hello.From)).Bool("dialled", dialled)
	if dialled && hello.From != dialledPeer.ID {
		line = line.Str("earlier", string(dialledPeer.ID))
	}
	line.Msg("peer: connected")
	t.cfg.Handler(hello.From, hello)
	err = c.run()
	t.detach(c)
	t.logClosed(string(hello.From), netConn, err)
}

// beginHandshake adds an accepted connection to the unfinished handshakes, of which it closes the oldest if there are
// too many: that of another daemon takes one round trip.
func (t *Transport) beginHandshake(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.handshakes) >= t.cfg.MaxHandshakes {
		t.handshakes[0].close()
		t.handshakes = slices.Delete(t.handshakes, 0, 1)
		t.cfg.Metrics.Counter("peer_handshakes_closed").Inc(1)
	}
	t.handshakes = append(t.handshakes, c)
}

// endHandshake removes a connection from the unfinished handshakes.
func (t *Transport) endHandshake(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.handshakes, c); i >= 0 {
		t.handshakes = slices.Delete(t.handshakes, i, i+1)
	}
}

// errTooManyConns means that the limit of accepted connections is reached.
var errTooManyConns = errors.New("too many connections are open")

// logRefused logs why an accepted connection was closed before its handshake was complete, at most once in each
// handshakeLogInterval.
func (t *Transport) logRefused(netConn net.Conn, err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.cfg.Metrics.Counter("peer_closed").Inc(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if elapsed := now.Sub(t.handshakeLogAt); elapsed >= 0 && elapsed < handshakeLogInterval {
		t.unloggedHandshakes++
		return
	}
	t.cfg.Log.Warn().Err(err).Stringer("addr", netConn.RemoteAddr()).Int("others", t.unloggedHandshakes).
		Msg("peer: connection closed without a complete handshake")
	t.handshakeLogAt, t.unloggedHandshakes = now, 0
}

// logClosed logs why a connection was closed, unless the transport itself is being closed.
func (t *Transport) logClosed(peer string, netConn net.Conn, err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.cfg.Metrics.Counter("peer_closed").Inc(1)
	t.cfg.Log.Warn().Err(err).Str("peer", peer).Stringer("addr", netConn.RemoteAddr()).Msg("peer: connection closed")
}

// attach makes c the connection of its peer; it returns false if c must be closed.
// If both sides dialled at the same time, the connection dialled by the daemon
// with the lower identifier is kept; otherwise the newer one is.
func (t *Transport) attach(c *conn, hello *Hello) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	state := t.peerState(hello.From)
	if existing := state.conn; existing != nil {
		selfIsLower := t.cfg.Self.From < hello.From
		if existing.dialled != c.dialled && existing.dialled == selfIsLower {
			return false
		}
		existing.close()
	}
	c.peer, c.region, state.conn, state.lastSeen = state, hello.Place.Region, c, t.cfg.Now()
	return true
}

// reserveFrame counts a large frame while it is received, if its peer is not in the list of SetPeers. It returns false
// if there are too many bytes of such frames, so that strangers can't take the memory of the daemon.
func (t *Transport) reserveFrame(c *conn, length int64) (release func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.peer == nil || c.peer.configured {
		return func() {}, true
	}
	if t.unlistedBytes+length > maxUnlistedBytes {
		return nil, false
	}
	t.unlistedBytes += length
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.unlistedBytes -= length
	}, true
}

// detach removes c from its peer, unless a newer connection has replaced it. A
// peer that is not configured is removed with its connection.
func (t *Transport) detach(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.peer.conn != c {
		return
	}
	c.peer.conn = nil
	if !c.peer.configured && t.peers[c.peer.id] == c.peer {
		delete(t.peers, c.peer.id)
	}
}

// markSeen records that a frame from a peer arrived.
func (t *Transport) markSeen(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.peer.lastSeen = t.cfg.Now()
}

// pingInterval returns the time until the next ping. It grows with the number of
// peers, so that the pings of 40 members stay within the traffic budget.
func (t *Transport) pingInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) <= maxFullRatePeers {
		return PingInterval
	}
	return min(PingInterval*time.Duration(len(t.peers))/maxFullRatePeers, MaxPingInterval)
}
