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
	// Listener accepts connections of peers; Close closes it.
	Listener net.Listener
	// Dial opens a connection; nil means TCP.
	Dial     func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Log      zerolog.Logger
	Metrics  tally.Scope
	PaidLink *paidlink.Counter
	Now      func() time.Time
	// Handler is called for each message received, for one connection in order
	// and for several at once; it must not block.
	Handler func(from cluster.DaemonID, m Message)
	// Digest returns the state to send with the next ping.
	Digest func() Digest
}
