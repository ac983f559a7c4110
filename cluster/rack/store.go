package rack

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// pollInterval is the time between two polls of the table service.
	pollInterval = 2 * time.Second
	// The delay before the table service is called again doubles with each failure from the
	// minimum to the maximum, with jitter.
	storeMinDelay = 250 * time.Millisecond
	storeMaxDelay = 8 * time.Second
	// reconnectSpread is the time over which daemons spread their first reads after an outage.
	reconnectSpread = 500 * time.Millisecond
)

// storeState is the state of the table service, called the store here, and of the polls.
type storeState struct {
	// up is false while calls to the table service fail.
	up bool
	// synced means that a poll has succeeded since the start or the last long pause.
	synced bool
	// polledVersion is the version as of which the last poll returned the rows.
	polledVersion cluster.Version
	// minReadVersion is the lowest version as of which rows that polls keep up to date
	// were read outside of a poll since the last one; the next poll returns changes since then.
	minReadVersion cluster.Version
	pollInFlight   bool
	nextPollAt     time.Time
	// retryDelay is the delay after the last failure; zero after a success.
	retryDelay time.Duration
	// retryAt is when calls may be made again after a failure.
	retryAt time.Time
}

// remoteAssignment is an assignment row of a rack that another daemon owns.
type remoteAssignment struct {
	version cluster.Version
	row     assignRow
	// deleted means that the row no longer exists.
	deleted bool
}

// setStoreState records whether the table service is up. When it comes back, the next call is delayed at random.
func (c *Controller) setStoreState(up bool) {
	if up && !c.store.up {
		c.store.nextPollAt = c.now.Add(time.Duration(float64(reconnectSpread) * c.cfg.Random()))
		c.store.retryAt, c.store.retryDelay = c.store.nextPollAt, 0
	}
	c.store.up = up
}

// updateStoreBackoff updates the delay between calls after a success or a failure.
// The second failure in a row marks the table service as down.
func (c *Controller) updateStoreBackoff(ok bool) {
	s := &c.store
	if ok {
		s.up, s.retryDelay, s.retryAt = true, 0, time.Time{}
		return
	}
	s.retryDelay = min(max(2*s.retryDelay, storeMinDelay), storeMaxDelay)
	s.retryAt = c.now.Add(c.jitter(s.retryDelay))
	if s.retryDelay >= 2*storeMinDelay {
		s.up = false
	}
}

// storeUsable reports whether changes may be committed now: the rows have been read and no
// failed call delays the next one.
func (c *Controller) storeUsable() bool {
	return c.store.up && c.store.synced && !c.now.Before(c.store.retryAt)
}

// pollStore reads the rows that concern this daemon and have changed since the last poll.
func (c *Controller) pollStore() {
	s := &c.store
	if s.pollInFlight || c.now.Before(s.nextPollAt) || c.now.Before(s.retryAt) {
		return
	}
	req := platform.ReadRequest{
		Prefixes:     []string{prefixRack, prefixJob, prefixGrants},
		Keys:         c.remoteAssignmentKeys(),
		SinceVersion: min(s.polledVersion, s.minReadVersion),
	}
	for _, r := range c.sortedRacks {
		if r.phase == phaseActive {
			req.Prefixes = append(req.Prefixes, assignPrefix(r.id))
		}
	}
	s.pollInFlight, s.minReadVersion = true, math.MaxUint64
	sinceVersion := req.SinceVersion
	c.readRows(req, func(reply platform.ReadReply, err error) {
		s.pollInFlight = false
		if err != nil {
			s.minReadVersion = min(s.minReadVersion, sinceVersion)
			s.nextPollAt = s.retryAt
			return
		}
		s.polledVersion, s.synced = reply.AsOf, true
		s.nextPollAt = c.now.Add(pollInterval)
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
	})
}

// remoteAssignmentKeys returns the keys of the rows in remoteAssignments, sorted.
func (c *Controller) remoteAssignmentKeys() []string {
	var keys []string
	for key := range c.remoteAssignments {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ingestRow applies a row that was read, written or received from a peer; older versions are ignored.
func (c *Controller) ingestRow(row platform.Row) {
	switch {
	case strings.HasPrefix(row.Key, prefixRack):
		c.ingestRack(row)
	case strings.HasPrefix(row.Key, prefixJob):
		c.ingestJob(row)
	case strings.HasPrefix(row.Key, prefixAssign):
		c.ingestAssignment(row)
	case strings.HasPrefix(row.Key, prefixGrants):
		c.ingestGrants(row)
	}
}

// reportMalformedRow logs and counts a row that cannot be encoded or decoded.
func (c *Controller) reportMalformedRow(key string, err error) {
	c.cfg.Log.Error().Err(err).Str("row", key).Msg("rack: ignored a malformed row")
	c.cfg.Metrics.Counter("rack_malformed_rows").Inc(1)
}
