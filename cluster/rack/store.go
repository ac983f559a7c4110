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
	pollInterval = 2 * time.Second
	// Retries of the store double from the first to the last delay, spread by jitter.
	firstStoreDelay = 250 * time.Millisecond
	lastStoreDelay  = 8 * time.Second
	// returnSpread is the time over which daemons spread their first reads after an outage.
	returnSpread = 500 * time.Millisecond
)

// storeState is what is known of the table service and of the last poll.
type storeState struct {
	up bool
	// synced says that the rows were read once.
	synced bool
	asOf   cluster.Version
	// floor is the lowest commit number as of which a prefix was read apart from the poll.
	floor    cluster.Version
	polling  bool
	nextPoll time.Time
	delay    time.Duration
	// downUntil holds back calls other than the poll after a failure.
	downUntil time.Time
}

// remoteRow is an assignment row of a rack that another daemon owns.
type remoteRow struct {
	version cluster.Version
	row     assignRow
	deleted bool
}

func (c *Controller) setStore(up bool) {
	if up && !c.store.up {
		c.store.nextPoll = c.now.Add(time.Duration(float64(returnSpread) * c.cfg.Random()))
		c.store.downUntil, c.store.delay = c.store.nextPoll, 0
	}
	c.store.up = up
}

// storeAnswered keeps the back-off of calls to the table service.
func (c *Controller) storeAnswered(ok bool) {
	s := &c.store
	if ok {
		s.up, s.delay, s.downUntil = true, 0, time.Time{}
		return
	}
	s.delay = min(max(2*s.delay, firstStoreDelay), lastStoreDelay)
	s.downUntil = c.now.Add(c.jitter(s.delay))
	if s.delay >= 2*firstStoreDelay {
		s.up = false
	}
}

// writable reports whether calls to the table service are worth a try now.
func (c *Controller) writable() bool {
	return c.store.up && c.store.synced && !c.now.Before(c.store.downUntil)
}

// poll reads what changed in the rows that concern this daemon.
func (c *Controller) poll() {
	s := &c.store
	if s.polling || c.now.Before(s.nextPoll) || c.now.Before(s.downUntil) {
		return
	}
	req := platform.ReadRequest{
		Prefixes:     []string{prefixRack, prefixJob, prefixGrants},
		Keys:         c.remoteKeys(),
		SinceVersion: min(s.asOf, s.floor),
	}
	for _, r := range c.rackOrder {
		if r.phase == phaseActive {
			req.Prefixes = append(req.Prefixes, assignPrefix(r.id))
		}
	}
	s.polling, s.floor = true, math.MaxUint64
	since := req.SinceVersion
	c.read(req, func(reply platform.ReadReply, err error) {
		s.polling = false
		if err != nil {
			s.floor = min(s.floor, since)
			s.nextPoll = s.downUntil
			return
		}
		s.asOf, s.synced = reply.AsOf, true
		s.nextPoll = c.now.Add(pollInterval)
		for _, row := range reply.Rows {
			c.ingest(row)
		}
	})
}

// remoteKeys returns the assignment rows that the ends of jobs at home here depend on.
func (c *Controller) remoteKeys() []string {
	var keys []string
	for key := range c.remote {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ingest takes in one row as read or as sent by a peer; older versions are ignored.
func (c *Controller) ingest(row platform.Row) {
	switch {
	case strings.HasPrefix(row.Key, prefixRack):
		c.ingestRack(row)
	case strings.HasPrefix(row.Key, prefixJob):
		c.ingestJob(row)
	case strings.HasPrefix(row.Key, prefixAssign):
		c.ingestAssign(row)
	case strings.HasPrefix(row.Key, prefixGrants):
		c.ingestGrants(row)
	}
}

func (c *Controller) malformed(key string, err error) {
	c.cfg.Log.Error().Err(err).Str("row", key).Msg("rack: ignored a malformed row")
	c.cfg.Metrics.Counter("rack_malformed_rows").Inc(1)
}
