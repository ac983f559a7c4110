package cell

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// EvacuationReader decodes the rows with which the operator evacuates availability zones.
type EvacuationReader interface {
	// EvacuationPrefix returns the prefix of the keys of the rows.
	EvacuationPrefix() string
	// ReadEvacuation returns the zone that a row evacuates.
	ReadEvacuation(key string, value []byte) (cluster.Zone, error)
}

const (
	// evacuationReadsPerBound is the number of reads of the evacuated zones within Config.EvacuateBound, and
	// minEvacuationInterval and maxEvacuationInterval bound the time between two of them. A late reply, a read through
	// another daemon and a start request in flight also take a part of the bound.
	evacuationReadsPerBound = 5
	minEvacuationInterval   = 300 * time.Millisecond
	maxEvacuationInterval   = time.Second
	// evacuationReadTimeout limits a read from the store. After a failed one storeTimeout applies, as the store may be slow.
	evacuationReadTimeout = 1250 * time.Millisecond
	// evacuationRelayTimeout is added to it for the read through other daemons.
	evacuationRelayTimeout = 1250 * time.Millisecond
	// evacuationOutageReads is the number of failed reads in a row from which on the zones that were read last hold. A
	// single reply may be lost while the store is available.
	evacuationOutageReads = 2
)

// evacuationState is what an owner knows of the evacuated zones.
type evacuationState struct {
	// latest is the last read; nil before the first one.
	latest atomic.Pointer[pool.EvacuationsChanged]
	// applied is the read that the scheduler was told last; only the control loop uses it.
	applied *pool.EvacuationsChanged
	// mandateSince is when the mandate last held again after the owner was suspended; nil if it was not.
	mandateSince atomic.Pointer[time.Time]
	// failures is the number of failed reads in a row, and mandateFailures that of those sent since countedSince, the value
	// of mandateSince for which they are counted. unreadable holds the versions of the malformed rows that were logged. Only
	// the goroutine that reads uses them.
	failures, mandateFailures int
	countedSince              *time.Time
	unreadable                map[string]cluster.Version
}

// prependEvacuations puts the last read of the evacuated zones before the other events, which may have start requests
// repeated.
func (o *ownedShard) prependEvacuations(batch []pool.Event) []pool.Event {
	latest := o.evacuations.latest.Load()
	if latest == o.evacuations.applied {
		return batch
	}
	o.evacuations.applied = latest
	return slices.Insert(batch, 0, pool.Event(latest))
}

// followEvacuations reads the evacuated zones at intervals, also while the shard is loaded.
func (o *ownedShard) followEvacuations() {
	interval := min(max(o.d.cfg.EvacuateBound/evacuationReadsPerBound, minEvacuationInterval), maxEvacuationInterval)
	for o.ctx.Err() == nil {
		if o.updateEvacuations() {
			o.sleep(interval)
		} else {
			o.d.store.sleepUntilRecovered(o.ctx, feedRetryDelay)
		}
	}
}

// updateEvacuations reads the evacuated zones and reports whether it succeeded. While the store is unavailable to all
// daemons, the zones that were read last hold.
func (o *ownedShard) updateEvacuations() bool {
	sentAt := time.Now()
	zones, err := o.readEvacuations()
	if err == nil {
		if o.evacuations.failures >= evacuationOutageReads {
			o.d.cfg.Log.Info().Stringer("shard", o.id).Int("failures", o.evacuations.failures).Msg("cell: evacuations can be read again")
		}
		o.evacuations.failures, o.evacuations.mandateFailures = 0, 0
		o.evacuations.latest.Store(&pool.EvacuationsChanged{Zones: zones, ReadAt: sentAt})
		return true
	}
	if o.ctx.Err() != nil {
		return false
	}
	o.evacuations.failures++
	o.d.cfg.Metrics.Counter("evacuation_read_failures_total").Inc(1)
	last := o.evacuations.latest.Load()
	if o.evacuations.failures == evacuationOutageReads {
		o.d.cfg.Log.Warn().Err(err).Stringer("shard", o.id).Bool("known", last != nil).Msg("cell: evacuations can't be read; those read last hold, and nothing starts before the first read")
	} else {
		o.d.cfg.Log.Debug().Err(err).Stringer("shard", o.id).Msg("cell: evacuations could not be read; retrying")
	}
	if last != nil && o.countMandateFailure(sentAt) >= evacuationOutageReads {
		o.evacuations.latest.Store(&pool.EvacuationsChanged{Zones: last.Zones, ReadAt: sentAt})
	}
	return false
}

// countMandateFailure counts a failed read and returns the number of failed reads in a row that were sent under the present
// mandate. Earlier ones are no sign of an outage: while the owner was suspended, others could reach the store without it.
func (o *ownedShard) countMandateFailure(sentAt time.Time) int {
	e := &o.evacuations
	if since := e.mandateSince.Load(); since != e.countedSince {
		e.countedSince, e.mandateFailures = since, 0
	}
	if e.countedSince == nil || !sentAt.Before(*e.countedSince) {
		e.mandateFailures++
	}
	return e.mandateFailures
}

// readEvacuations returns the evacuated zones. A row that can't be read evacuates none; it is logged once.
func (o *ownedShard) readEvacuations() ([]cluster.Zone, error) {
	timeout := evacuationReadTimeout
	if o.evacuations.failures > 0 {
		timeout = storeTimeout
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout+evacuationRelayTimeout)
	defer cancel()
	prefix := o.d.cfg.Evacuations.EvacuationPrefix()
	reply, err := o.d.store.readWithin(ctx, platform.ReadRequest{Prefixes: []string{prefix}}, timeout)
	if err != nil {
		return nil, err
	}
	var zones []cluster.Zone
	unreadable := map[string]cluster.Version{}
	for _, r := range reply.Rows {
		// A daemon of an earlier version returns the rows of the whole part.
		if r.Deleted || !strings.HasPrefix(r.Key, prefix) {
			continue
		}
		zone, err := o.d.cfg.Evacuations.ReadEvacuation(r.Key, r.Value)
		if err == nil {
			zones = append(zones, zone)
			continue
		}
		unreadable[r.Key] = r.Version
		if logged, ok := o.evacuations.unreadable[r.Key]; !ok || logged != r.Version {
			o.d.cfg.Metrics.Counter("unreadable_evacuations_total").Inc(1)
			o.d.cfg.Log.Error().Err(err).Stringer("shard", o.id).Str("row", r.Key).Msg("cell: evacuation row can't be read; it evacuates no zone")
		}
	}
	o.evacuations.unreadable = unreadable
	return zones, nil
}
