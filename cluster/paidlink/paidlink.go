package paidlink

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Cause is the purpose of traffic.
type Cause int

// Causes of traffic.
const (
	// CauseConfig is the distribution of the configuration among daemons.
	CauseConfig Cause = iota
	// CauseMember is the detection of live daemons: handshakes, pings and announcements of leaving.
	CauseMember
	// CauseStore is calls to the table service and the object store.
	CauseStore
	// CauseRack is exchanges with racks and all other messages between daemons.
	CauseRack
	// CauseRequest is requests to services.
	CauseRequest
	numCauses
)

var causeNames = [...]string{"config", "member", "store", "rack", "request"}

// String returns the name of the cause in metrics.
func (c Cause) String() string { return causeNames[c] }

// Config configures a Counter.
type Config struct {
	// Self is the region of this process.
	Self    cluster.Region
	Metrics tally.Scope
}

// Counter counts, by cause, the bytes that this process exchanges with other
// processes in all regions and those that cross between regions.
type Counter struct {
	self    cluster.Region
	crossed [numCauses]atomic.Int64
	total   [numCauses]atomic.Int64
	// crossedMetrics and totalMetrics count the same bytes as crossed and total.
	crossedMetrics [numCauses]tally.Counter
	totalMetrics   [numCauses]tally.Counter
}

// New returns a counter.
func New(cfg Config) *Counter {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	c := &Counter{self: cfg.Self}
	for cause := range numCauses {
		scope := cfg.Metrics.Tagged(map[string]string{"cause": cause.String()})
		c.crossedMetrics[cause] = scope.Counter("paid_link_bytes")
		c.totalMetrics[cause] = scope.Counter("traffic_bytes")
	}
	return c
}

// Count adds bytes exchanged with a process in the region remote. If remote is
// empty or the own region, they do not count as crossing. A nil counter does nothing.
func (c *Counter) Count(cause Cause, remote cluster.Region, bytes int) {
	if c == nil || bytes <= 0 {
		return
	}
	c.total[cause].Add(int64(bytes))
	c.totalMetrics[cause].Inc(int64(bytes))
	if remote != c.self && remote != "" {
		c.crossed[cause].Add(int64(bytes))
		c.crossedMetrics[cause].Inc(int64(bytes))
	}
}

// Crossed returns the bytes that crossed between regions for a cause.
func (c *Counter) Crossed(cause Cause) int64 { return c.crossed[cause].Load() }

// CrossedTotal returns the bytes that crossed between regions for all causes.
func (c *Counter) CrossedTotal() int64 {
	sum := int64(0)
	for cause := range numCauses {
		sum += c.crossed[cause].Load()
	}
	return sum
}

// Total returns the bytes exchanged with all regions for a cause.
func (c *Counter) Total(cause Cause) int64 { return c.total[cause].Load() }
