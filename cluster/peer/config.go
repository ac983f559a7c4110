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

// Times and limits of a transport.
const (
	// PingInterval is the time between two pings on a connection with few peers.
	PingInterval = 500 * time.Millisecond
	// MaxPingInterval is the interval with many peers. Two pings still fit into SilenceLimit.
	MaxPingInterval = 900 * time.Millisecond
	// fullRatePeers is the number of peers up to which PingInterval holds.
	fullRatePeers = 16
	// rackInterval is the shortest time between two reports of changed racks on
	// a connection. Racks change with every task, so that reports with each ping
	// would double the traffic.
	rackInterval = time.Second
	// SilenceLimit is the silence after which a connection is closed.
	SilenceLimit = 2 * time.Second
	// queueLength is the number of messages that wait for one peer.
	queueLength = 256
	// maxConnections bounds the connections accepted at once.
	maxConnections = 1024
	redialFirst    = 100 * time.Millisecond
	// attachedCheck is the time between two looks whether a peer that has dialled is still connected.
	attachedCheck = time.Second
	redialMax     = 2 * time.Second
	// steadyAfter is the life of a connection after which the redial delay starts again from redialFirst.
	steadyAfter = 5 * time.Second
)

// Peer is another daemon to keep a connection to.
type Peer struct {
	ID    cluster.DaemonID
	Addr  netip.AddrPort
	Place cluster.Place
}

// Config configures a Transport.
type Config struct {
	// Self is sent at the start of each connection.
	Self Hello
	// Listener accepts connections of peers; Close closes it. Nil accepts none.
	Listener net.Listener
	// Dial opens a connection; nil means TCP.
	Dial     func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Log      zerolog.Logger
	Metrics  tally.Scope
	PaidLink *paidlink.Counter
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random returns a number in [0, 1) for the jitter of redials; nil means math/rand.
	Random func() float64
	// Handler is called for each message received, for one connection in order
	// and for several at once; it must not block.
	Handler func(from cluster.DaemonID, m Message)
	// Digest returns the state to send with the next ping; nil sends an empty one.
	Digest func() Digest
}
