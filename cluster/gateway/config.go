package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Defaults for unset values of a Config or of a route.
const (
	DefaultMaxResponse = 1 * cluster.MiB
	DefaultMaxBody     = 1 * cluster.MiB
	DefaultTimeout     = 30 * time.Second
	// DefaultQueueLimit is the number of requests per service that may wait.
	DefaultQueueLimit = 256
	// DefaultRetention is how long a response is kept for repeats of an Idempotency-Key.
	// At 150 requests with a key per second over 7 daemons, one hour is about 80,000 rows per
	// daemon, whose keys take less than 10 MB of the daemon's 64 MB.
	DefaultRetention = time.Hour
	// DefaultTick is the interval of the background work.
	DefaultTick = 100 * time.Millisecond
)

// Authorizer maps the secret of a request to a team.
type Authorizer interface {
	// Authorize returns the team that a request to the queue is accounted to; secret is empty if the
	// caller sent none.
	Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error)
	// Snapshot returns the current configuration, or nil before the first one is known.
	Snapshot() *cluster.Snapshot
}

// Sender sends a message to every other daemon; it doesn't block.
type Sender interface {
	Broadcast(message peer.Message)
}

// Journal commits changes to the table service.
type Journal interface {
	Commit(ctx context.Context, change journal.Change) (cluster.Version, error)
}

// Dialer opens a network connection to a runner.
type Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Refusal is the response to a caller whose authorization failed.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the delay after which a retry may succeed; zero if a retry can't help.
	RetryAfter time.Duration
}

// Member is a daemon in the member table that has not left.
type Member struct {
	ID      cluster.DaemonID
	Place   cluster.Place
	Leaving bool
}

// Config configures a Gateway.
type Config struct {
	Self  cluster.DaemonID
	Place cluster.Place
	// Authorizer, Store and Journal are required.
	Authorizer Authorizer
	Store      platform.TableService
	Journal    Journal
	// Sender is optional; without it, slots are reallocated only through the table service.
	Sender Sender
	// Refusal maps an error of Authorizer to a response; the default is status 401 without a retry delay.
	Refusal func(error) Refusal
	// Dial defaults to TCP.
	Dial Dialer
	// Clock defaults to time.Now.
	Clock func() time.Time
	// Random defaults to a randomly seeded source; the gateway serializes access to it.
	Random *rand.Rand
	// QueueLimit is the maximum number of waiting requests per service.
	QueueLimit int
	// Retention is how long idempotency rows are kept.
	Retention time.Duration
	// Tick is the interval of the background work.
	Tick       time.Duration
	Log        zerolog.Logger
	Metrics    tally.Scope
	Invariants *invariant.Recorder
	PaidLink   *paidlink.Counter
	// Clients limits the memory of the requests and their responses; nil means that it is not limited.
	Clients *clientlimit.Guard
}

func (c Config) withDefaults() Config {
	if c.Refusal == nil {
		c.Refusal = func(error) Refusal { return Refusal{Status: 401} }
	}
	if c.Dial == nil {
		var d net.Dialer
		c.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr.String())
		}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Clients == nil {
		c.Clients = clientlimit.NewGuard(clientlimit.GuardConfig{Limits: clientlimit.Limits{BodyBytes: math.MaxInt64}, Log: c.Log, Metrics: c.Metrics})
	}
	return c
}
