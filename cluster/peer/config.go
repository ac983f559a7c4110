package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
)

// Intervals and limits of a Transport.
const (
	// PingInterval is the time between pings on a connection, with up to maxFullRatePeers peers.
	PingInterval = 500 * time.Millisecond
	// MaxPingInterval is the longest interval between pings, with many peers. Two
	// of these intervals still fit into IdleTimeout.
	MaxPingInterval = 900 * time.Millisecond
	// maxFullRatePeers is the number of peers up to which pings are sent every
	// PingInterval. With more peers the interval grows, which limits the traffic.
	maxFullRatePeers = 16
	// rackReportInterval is the shortest time between two reports of changed racks
	// on a connection. Racks change with every task, so reporting them in each
	// ping would double the traffic.
	rackReportInterval = time.Second
	// IdleTimeout is the time without a received frame after which a connection is
	// closed. It also limits each write and each attempt to dial.
	IdleTimeout = 2 * time.Second
	// sendQueueLength is the maximum number of messages queued for a peer.
	sendQueueLength = 256
	// maxAcceptedConns is the default of Config.MaxConns, maxHandshakes that of
	// Config.MaxHandshakes.
	maxAcceptedConns = 1024
	maxHandshakes    = 64
	// maxUnlistedBytes bounds the frames that are being received from peers that are
	// not in the list of SetPeers, without the first firstBodyBytes of each.
	maxUnlistedBytes = 4 << 20
	// handshakeLogInterval is the shortest time between two log lines about
	// connections without a complete handshake, which anyone can open.
	handshakeLogInterval = time.Second
	// redialMinDelay is the delay after the first failed connection to a peer. It
	// doubles with each further one up to redialMaxDelay.
	redialMinDelay = 100 * time.Millisecond
	// connectedCheckInterval is the time between checks whether a peer is still
	// connected over a connection that the peer dialled.
	connectedCheckInterval = time.Second
	redialMaxDelay         = 2 * time.Second
	// stableConnectionAge is the age of a connection above which the redial delay
	// is reset to redialMinDelay.
	stableConnectionAge = 5 * time.Second
)

// Peer is another daemon that a Transport keeps a connection to.
type Peer struct {
	ID cluster.DaemonID
	// Addr is the address to dial. If it is not valid, the transport only waits
	// for the peer to dial.
	Addr  netip.AddrPort
	Place cluster.Place
}

// Config configures a Transport.
type Config struct {
	// Self describes this daemon; it is sent at the start of each connection.
	Self Hello
	// Listener accepts connections from peers. Transport.Close closes it. Nil means
	// that no connections are accepted.
	Listener net.Listener
	// MaxConns is the most accepted connections that are open at the same time, and
	// MaxHandshakes the most of them whose handshake is not complete. A further
	// connection is refused in the first case and replaces the oldest unfinished
	// handshake in the second. Zero means the defaults.
	MaxConns      int
	MaxHandshakes int
	// Dial opens a connection; nil means TCP.
	Dial    func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Log     zerolog.Logger
	Metrics tally.Scope
	// PaidLink counts the bytes sent and received, by cause and region of the peer.
	PaidLink *paidlink.Counter
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Random returns a number in [0, 1) for the jitter of redial delays; nil means
	// math/rand.
	Random func() float64
	// Handler is called for each received message. Messages of one connection are
	// handled in order, those of different connections concurrently. It must not
	// block.
	Handler func(from cluster.DaemonID, m Message)
	// Digest returns the state to send with the next ping; nil means an empty one.
	Digest func() Digest
}
