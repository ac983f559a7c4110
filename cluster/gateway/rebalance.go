package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// slotPollInterval is the interval of reading the rows of slots. Peers push changes,
	// so a poll only finds changes whose message was lost.
	slotPollInterval = 2 * time.Second
	slotRowTimeout   = 3 * time.Second
	// slotRequestInterval is the minimum interval between requests to peers for slots of one pool.
	slotRequestInterval = 500 * time.Millisecond
	// peakWindow is how long slots are kept for an earlier peak of the load.
	peakWindow = 2 * time.Second
	// maxDemand limits the number of slots requested at once.
	maxDemand = 64
	// idleCheckInterval is how often a pool without demand is checked. The check of 33
	// pools at once holds the lock for a quarter of a millisecond.
	idleCheckInterval = 500 * time.Millisecond
	// reclaimDelay is how long a daemon has to be missing from the members before its slots are reallocated.
	reclaimDelay = 5 * time.Second
)

// pollSlots reads changed rows of slots until the gateway is closed.
func (g *Gateway) pollSlots() {
	for g.ctx.Err() == nil {
		g.readSlots()
		select {
		case <-time.After(slotPollInterval):
		case <-g.pollNow:
		case <-g.ctx.Done():
		}
	}
}

// readSlots reads the rows of slots that have changed since the last read.
func (g *Gateway) readSlots() {
	g.mu.Lock()
	sinceVersion := g.slotsVersion
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, slotRowTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{slotsPrefix}, SinceVersion: sinceVersion})
	if err != nil {
		if g.ctx.Err() == nil {
			g.cfg.Log.Warn().Err(err).Msg("gateway: slots can't be read; continuing with the last known allocation")
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, row := range reply.Rows {
		g.applyRow(row)
	}
	g.slotsVersion, g.slotsLoaded = reply.AsOf, true
	for _, pool := range g.pools {
		pool.loaded = true
	}
}

// applyRow applies a row of slots if it is newer than the known one.
func (g *Gateway) applyRow(row platform.Row) {
	name, ok := poolName(row.Key)
	if !ok {
		return
	}
	pool := g.pool(name)
	if row.Version <= pool.version {
		return
	}
	decoded := poolAllocations{}
	if !row.Deleted {
		var err error
		if decoded, err = decodePoolRow(row.Value); err != nil {
			g.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("gateway: malformed row of slots ignored")
			return
		}
	}
	pool.apply(g.cfg.Self, decoded, row.Version)
	g.poolChanged(pool)
}

// poolName returns the name of the pool from the key of its row.
func poolName(key string) (string, bool) {
	if len(key) <= len(slotsPrefix) || key[:len(slotsPrefix)] != slotsPrefix {
		return "", false
	}
	return key[len(slotsPrefix):], true
}

// pool returns the pool of a service or team and creates it if needed.
func (g *Gateway) pool(name string) *slotPool {
	pool := g.pools[name]
	if pool == nil {
		pool = newSlotPool(name)
		pool.loaded = g.slotsLoaded
		g.pools[name] = pool
	}
	return pool
}

// addQuota adds a quota to a pool and sets its slots from the known row.
func (g *Gateway) addQuota(pool *slotPool, quota *slotQuota) {
	pool.quotas[quota.id] = quota
	if alloc := pool.allocations[quota.id]; alloc != nil {
		quota.allocated = alloc.byDaemon[g.cfg.Self]
		quota.limit = quota.allocated
	}
}

// poolChanged applies changed limits: it closes idle connections above the limits and dispatches waiting requests.
func (g *Gateway) poolChanged(pool *slotPool) {
	if _, ok := pool.team(); ok {
		g.dispatchAll()
		return
	}
	s := g.services[cluster.ServiceName(pool.name)]
	if s == nil {
		return
	}
	for _, r := range s.runners {
		r.trimIdle(r.connectionLimit(), g.cfg.Clock())
	}
	g.dispatch(s)
}

// rebalanceSlots measures the demand on each pool, requests slots from peers and proposes new allocations.
func (g *Gateway) rebalanceSlots(now time.Time) {
	if len(g.membership.all) == 0 || g.draining {
		return
	}
	var view membership
	for _, pool := range g.pools {
		if !g.updateDemand(pool, now) && now.Before(pool.nextCheckAt) {
			continue
		}
		if view.self == "" {
			view = g.reclaimView(now)
		}
		pool.nextCheckAt = now.Add(g.jitter(idleCheckInterval))
		pool.reserveDeficit = max(pool.reserve(g.membership)-pool.limit(), 0)
		g.requestSlots(pool, now)
		g.propose(pool, view, now)
	}
	if now.Sub(g.peakWindowStart) >= peakWindow {
		g.peakWindowStart = now
	}
}

// reclaimView returns the membership that decides whose slots are reclaimed. It includes
// daemons that hold slots and have been missing for less than reclaimDelay: a daemon that
// has just started may not know all members yet, and must not reclaim their slots.
func (g *Gateway) reclaimView(now time.Time) membership {
	view := g.membership
	view.all = slices.Clone(view.all)
	missing := map[cluster.DaemonID]time.Time{}
	for _, pool := range g.pools {
		for _, alloc := range pool.allocations {
			for d := range alloc.byDaemon {
				if slices.Contains(g.membership.all, d) {
					continue
				}
				since, ok := g.missingSince[d]
				if !ok {
					since = now
				}
				missing[d] = since
			}
		}
	}
	for d, since := range missing {
		if now.Sub(since) < reclaimDelay {
			view.all = append(view.all, d)
		}
	}
	g.missingSince = missing
	return view
}

// updateDemand updates the demand and the peaks of a pool, and reports whether slots may
// have to be moved now.
func (g *Gateway) updateDemand(pool *slotPool, now time.Time) bool {
	inFlight, releasing := pool.usage()
	queued := 0
	if name, ok := pool.team(); ok {
		if t := g.teams[name]; t != nil && t.full() {
			queued = t.queued
		}
	} else if s := g.services[cluster.ServiceName(pool.name)]; s != nil {
		queued = s.queued
	}
	pool.peak = max(pool.peak, inFlight+queued)
	if now.Sub(g.peakWindowStart) >= peakWindow {
		pool.previousPeak, pool.peak = pool.peak, inFlight+queued
	}
	pool.demand = min(queued, maxDemand)
	return pool.demand > 0 || pool.requestedSlots > 0 || releasing
}

// requestSlots requests slots from peers if too few are unallocated.
func (g *Gateway) requestSlots(pool *slotPool, now time.Time) {
	slots := max(pool.demand, pool.reserveDeficit) - pool.unallocated()
	if slots <= 0 || !pool.loaded || g.cfg.Sender == nil || len(g.membership.all) < 2 || now.Sub(pool.lastRequestAt) < slotRequestInterval {
		return
	}
	pool.lastRequestAt = now
	g.cfg.Sender.Broadcast(&peer.SlotRequest{Service: cluster.ServiceName(pool.name), Slots: slots})
}

// propose starts to commit the allocations that this daemon wants, if they differ from the known ones.
func (g *Gateway) propose(pool *slotPool, view membership, now time.Time) {
	if !pool.loaded || pool.commitInFlight || now.Before(pool.nextProposalAt) {
		return
	}
	next := pool.plan(view, now)
	if next == nil {
		return
	}
	pool.commitInFlight = true
	previous, version := pool.allocations, pool.version
	g.wg.Go(func() { g.commitAllocations(pool, next, previous, version) })
}

// commitAllocations writes a row of slots. Added slots are used only after the commit is known to be applied.
func (g *Gateway) commitAllocations(pool *slotPool, next, previous poolAllocations, version cluster.Version) {
	data, err := encodePoolRow(next)
	var newVersion cluster.Version
	if err == nil {
		newVersion, err = g.writeRow(g.ctx, pool, data, version)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	pool.commitInFlight = false
	if err != nil {
		g.metrics.allocationFailed.Inc(1)
		// With many daemons proposing at once, one of them succeeds each time; the others retry after a random delay.
		maxDelay := g.cfg.Tick * time.Duration(max(len(g.membership.all), 1)) / 2
		pool.nextProposalAt = g.cfg.Clock().Add(time.Duration(g.cfg.Random.Int64N(int64(maxDelay) + 1)))
		pool.nextCheckAt = pool.nextProposalAt
		e := g.cfg.Log.Warn()
		if platform.IsKind(err, platform.KindConflict) {
			e = g.cfg.Log.Debug()
		}
		e.Err(err).Str("row", pool.key()).Msg("gateway: slot allocation not committed")
		g.triggerPoll()
		return
	}
	if newVersion <= pool.version {
		return
	}
	pool.apply(g.cfg.Self, next, newVersion)
	g.checkAllocations(pool, next, previous)
	g.poolChanged(pool)
	if g.cfg.Sender != nil {
		row := platform.Row{Key: pool.key(), Value: data, Version: newVersion}
		g.cfg.Sender.Broadcast(&peer.SlotReply{Service: cluster.ServiceName(pool.name), Row: row})
	}
}

// writeRow writes a row of slots without the journal. Conflicts between daemons
// are frequent here, and in the journal each conflict would delay the idempotency rows
// of the same transaction by a round trip. The journal's read-back isn't needed
// either: the row itself shows whether the write was applied, even if late, and
// until then a daemon uses the lower of both allocations.
func (g *Gateway) writeRow(ctx context.Context, pool *slotPool, data []byte, version cluster.Version) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, slotRowTimeout)
	defer cancel()
	return g.cfg.Store.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: pool.key(), Version: version}},
		Puts:   []platform.Put{{Key: pool.key(), Value: data}},
	})
}

// triggerPoll makes the next poll of the slots start at once.
func (g *Gateway) triggerPoll() {
	select {
	case g.pollNow <- struct{}{}:
	default:
	}
}

// checkAllocations requires that no runner has more slots allocated than its capacity. After
// the capacity was lowered the sum may exceed it, but must not grow.
func (g *Gateway) checkAllocations(pool *slotPool, next, previous poolAllocations) {
	for id, alloc := range next {
		previousTotal := 0
		if p := previous[id]; p != nil {
			previousTotal = p.total()
		}
		g.cfg.Invariants.Require(alloc.total() <= max(alloc.capacity, previousTotal), invariant.Limit,
			"%d slots of %s are allocated, but its capacity is %d", alloc.total(), pool.name+"/"+id, alloc.capacity)
	}
}

// checkGrant requires that a request which was just granted a slot is within all limits.
func (g *Gateway) checkGrant(req *admittedRequest, r *runner) {
	inv := g.cfg.Invariants
	inv.Require(r.inFlight <= r.usableSlots(), invariant.Limit, "%d requests at runner %s with %d slots", r.inFlight, r.vm.ID, r.usableSlots())
	inv.Require(r.available(), invariant.Leaving, "request sent to runner %s, which accepts no new requests", r.vm.ID)
	if quota := req.queue.team.quota; quota != nil {
		inv.Require(quota.inFlight <= quota.limit, invariant.Limit, "%d requests of team %s with a limit of %d", quota.inFlight, req.queue.team.name, quota.limit)
	}
}

// handleSlotRequest records that a peer requests slots.
func (g *Gateway) handleSlotRequest(from cluster.DaemonID, m *peer.SlotRequest) {
	pool := g.pools[string(m.Service)]
	if pool == nil || m.Slots <= 0 {
		return
	}
	pool.requestedSlots, pool.requestingPeer = min(m.Slots, maxDemand*16), from
}
