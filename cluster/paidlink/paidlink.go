package paidlink

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Cause is the reason for traffic.
type Cause int

// Causes of traffic.
const (
	CauseConfig Cause = iota
	CauseMember
	CauseStore
	CauseRack
	CauseRequest
	causes
)

var causeNames = [...]string{"config", "member", "store", "rack", "request"}

// String returns the cause's name as it stands in metrics.
func (c Cause) String() string { return causeNames[c] }

// Config configures a Counter.
type Config struct {
	// Self is the region of this process.
	Self    cluster.Region
	Metrics tally.Scope
}

// Counter counts the bytes that this process sends to and receives from other regions, and all its control traffic.
type Counter struct {
	self    cluster.Region
	crossed [causes]atomic.Int64
	total   [causes]atomic.Int64
	paid    [causes]tally.Counter
	all     [causes]tally.Counter
}

// New returns a counter.
func New(cfg Config) *Counter {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	c := &Counter{self: cfg.Self}
	for cause := range causes {
		scope := cfg.Metrics.Tagged(map[string]string{"cause": cause.String()})
		c.paid[cause] = scope.Counter("paid_link_bytes")
		c.all[cause] = scope.Counter("traffic_bytes")
	}
	return c
}

// Count adds bytes exchanged with a process in the given region; a nil counter ignores them.
func (c *Counter) Count(cause Cause, remote cluster.Region, bytes int) {
	if c == nil || bytes <= 0 {
		return
	}
	c.total[cause].Add(int64(bytes))
	c.all[cause].Inc(int64(bytes))
	if remote != c.self && remote != "" {
		c.crossed[cause].Add(int64(bytes))
		c.paid[cause].Inc(int64(bytes))
	}
}

// Crossed returns the bytes that crossed between regions for a cause.
func (c *Counter) Crossed(cause Cause) int64 { return c.crossed[cause].Load() }

// CrossedTotal returns the bytes that crossed between regions for all causes.
func (c *Counter) CrossedTotal() int64 {
	sum := int64(0)
	for cause := range causes {
		sum += c.crossed[cause].Load()
	}
	return sum
}

// Total returns all bytes for a cause.
func (c *Counter) Total(cause Cause) int64 { return c.total[cause].Load() }
