package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Defaults of a Config and of routes that leave a value out.
const (
	DefaultMaxAnswer = 1 * cluster.MiB
	DefaultMaxBody   = 1 * cluster.MiB
	DefaultTimeout   = 30 * time.Second
	// DefaultQueueLimit is the number of requests that may wait per service.
	DefaultQueueLimit = 256
	// DefaultRetention is how long an answer is kept for repeats of an Idempotency-Key.
	// At 150 keyed requests per second over 7 daemons one hour is about 80,000 rows per
	// daemon, whose keys take less than 10 MB of the daemon's 64 MB.
	DefaultRetention = time.Hour
	// DefaultTick is the interval of the background work.
	DefaultTick = 100 * time.Millisecond
)

// Authorizer decides which team a secret stands for.
type Authorizer interface {
	// Authorize returns the team whose work a request to the queue is; secret is empty if the caller sent none.
	Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error)
	// Snapshot returns the configuration in force; it may be nil before the first one is known.
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

// Dialer opens a connection to a runner.
type Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Refusal is how a failed authorization is reported to the caller.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is when a retry may help; zero if it can't.
	RetryAfter time.Duration
}

// Member is a daemon of the member table that has not left.
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
	// Sender is optional; without it slots move only through the table service.
	Sender Sender
	// Refusal maps an error of Authorizer to a refusal; the default is 401 without a retry.
	Refusal func(error) Refusal
	// Dial defaults to TCP.
	Dial Dialer
	// Clock defaults to time.Now.
	Clock func() time.Time
	// Random defaults to a randomly seeded source; the gateway serializes its use.
	Random *rand.Rand
	// QueueLimit is the most requests that wait per service.
	QueueLimit int
	// Retention is how long idempotency rows are kept.
	Retention time.Duration
	// Tick is the interval of the background work.
	Tick       time.Duration
	Log        zerolog.Logger
	Metrics    tally.Scope
	Invariants *invariant.Recorder
	PaidLink   *paidlink.Counter
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
	return c
}
