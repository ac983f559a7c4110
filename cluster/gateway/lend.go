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
	// slotPoll is the interval of reading the rows of slots. Peers push changes,
	// so that a poll only finds what a lost message has left out.
	slotPoll    = 2 * time.Second
	slotTimeout = 3 * time.Second
	// askEvery limits requests for slots to peers.
	askEvery = 500 * time.Millisecond
	// peakWindow is how long slots stay reserved for a load seen before.
	peakWindow = 2 * time.Second
	// maxWanted limits the slots asked for at once.
	maxWanted = 64
	// quietEvery is how often a ledger without demand is checked. The check holds
	// the lock, for a quarter of a millisecond over 33 ledgers at once.
	quietEvery = 500 * time.Millisecond
	// reclaimAfter is how long a daemon has to be missing from the members before its slots are lent to others.
	reclaimAfter = 5 * time.Second
)

// pollSlots reads changed rows until the gateway is closed.
func (g *Gateway) pollSlots() {
	for g.ctx.Err() == nil {
		g.readSlots()
		select {
		case <-time.After(slotPoll):
		case <-g.pollNow:
		case <-g.ctx.Done():
		}
	}
}

func (g *Gateway) readSlots() {
	g.mu.Lock()
	since := g.slotsAsOf
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, slotTimeout)
	defer cancel()
	reply, err := g.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{slotsPrefix}, SinceVersion: since})
	if err != nil {
		if g.ctx.Err() == nil {
			g.cfg.Log.Warn().Err(err).Msg("gateway: slots can't be read; using those lent last")
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, row := range reply.Rows {
		g.acceptRow(row)
	}
	g.slotsAsOf, g.slotsRead = reply.AsOf, true
	for _, l := range g.ledgers {
		l.known = true
	}
}

// acceptRow takes over a row of slots if it is newer than the one known.
func (g *Gateway) acceptRow(row platform.Row) {
	name, ok := cutPrefix(row.Key)
	if !ok {
		return
	}
	l := g.ledger(name)
	if row.Version <= l.version {
		return
	}
	decoded := ledgerRow{}
	if !row.Deleted {
		var err error
		if decoded, err = decodeRow(row.Value); err != nil {
			g.cfg.Log.Error().Err(err).Str("row", row.Key).Msg("gateway: malformed row of slots ignored")
			return
		}
	}
	l.accept(g.cfg.Self, decoded, row.Version)
	g.ledgerChanged(l)
}

func cutPrefix(key string) (string, bool) {
	if len(key) <= len(slotsPrefix) || key[:len(slotsPrefix)] != slotsPrefix {
		return "", false
	}
	return key[len(slotsPrefix):], true
}

// ledger returns the ledger of a service or team, a new one if there is none.
func (g *Gateway) ledger(name string) *ledger {
	l := g.ledgers[name]
	if l == nil {
		l = newLedger(name)
		l.known = g.slotsRead
		g.ledgers[name] = l
	}
	return l
}

// attach adds a unit to a ledger and gives it what the known row says.
func (g *Gateway) attach(l *ledger, u *unit) {
	l.units[u.id] = u
	if h := l.row[u.id]; h != nil {
		u.held = h.held[g.cfg.Self]
		u.limit = u.held
	}
}

// ledgerChanged applies changed limits: connections over them are closed and waiting requests dispatched.
func (g *Gateway) ledgerChanged(l *ledger) {
	if _, ok := l.team(); ok {
		g.dispatchAll()
		return
	}
	s := g.services[cluster.ServiceName(l.name)]
	if s == nil {
		return
	}
	for _, r := range s.runners {
		r.trimIdle(r.connectionLimit(), g.cfg.Clock())
	}
	g.dispatch(s)
}

// lend measures the demand on each ledger and moves slots accordingly.
func (g *Gateway) lend(now time.Time) {
	if len(g.fleet.all) == 0 || g.draining {
		return
	}
	var f fleet
	for _, l := range g.ledgers {
		if !g.measure(l, now) && now.Before(l.turn) {
			continue
		}
		if f.self == "" {
			f = g.patient(now)
		}
		l.turn = now.Add(g.jitter(quietEvery))
		l.missing = max(l.reserve(g.fleet)-l.limit(), 0)
		g.ask(l, now)
		g.propose(l, f, now)
	}
	if now.Sub(g.windowStart) >= peakWindow {
		g.windowStart = now
	}
}

// patient returns the fleet with those daemons that hold slots and have been
// missing only for a short time. A daemon that has just started may not know
// all members yet, and must not take their slots.
func (g *Gateway) patient(now time.Time) fleet {
	f := g.fleet
	f.all = slices.Clone(f.all)
	missing := map[cluster.DaemonID]time.Time{}
	for _, l := range g.ledgers {
		for _, h := range l.row {
			for d := range h.held {
				if slices.Contains(g.fleet.all, d) {
					continue
				}
				since, ok := g.missing[d]
				if !ok {
					since = now
				}
				missing[d] = since
			}
		}
	}
	for d, since := range missing {
		if now.Sub(since) < reclaimAfter {
			f.all = append(f.all, d)
		}
	}
	g.missing = missing
	return f
}

// measure updates the slots that a ledger needs and wants, and reports whether
// slots are to be moved now.
func (g *Gateway) measure(l *ledger, now time.Time) bool {
	inFlight, releasing := l.use()
	queued := 0
	if name, ok := l.team(); ok {
		if t := g.teams[name]; t != nil && t.full() {
			queued = t.queued
		}
	} else if s := g.services[cluster.ServiceName(l.name)]; s != nil {
		queued = s.queued
	}
	l.peak = max(l.peak, inFlight+queued)
	if now.Sub(g.windowStart) >= peakWindow {
		l.lastPeak, l.peak = l.peak, inFlight+queued
	}
	l.wanted = min(queued, maxWanted)
	return l.wanted > 0 || l.lend > 0 || releasing
}

// ask requests slots from peers if too few are free.
func (g *Gateway) ask(l *ledger, now time.Time) {
	slots := max(l.wanted, l.missing) - l.unheld()
	if slots <= 0 || !l.known || g.cfg.Sender == nil || len(g.fleet.all) < 2 || now.Sub(l.askedAt) < askEvery {
		return
	}
	l.askedAt = now
	g.cfg.Sender.Broadcast(&peer.SlotRequest{Service: cluster.ServiceName(l.name), Slots: slots})
}

// propose commits the row that this daemon wants, if it differs from the known one.
func (g *Gateway) propose(l *ledger, f fleet, now time.Time) {
	if !l.known || l.busy || now.Before(l.notBefore) {
		return
	}
	next := l.plan(f, now)
	if next == nil {
		return
	}
	l.busy = true
	previous, version := l.row, l.version
	g.wg.Go(func() { g.commitRow(l, next, previous, version) })
}

// commitRow writes a row of slots; what it adds is used only after the commit is known to have been applied.
func (g *Gateway) commitRow(l *ledger, next, previous ledgerRow, version cluster.Version) {
	data, err := encodeRow(next)
	var committed cluster.Version
	if err == nil {
		committed, err = g.writeRow(g.ctx, l, data, version)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l.busy = false
	if err != nil {
		g.metrics.lendFailed.Inc(1)
		// With many daemons proposing at once, one of them succeeds each time.
		spread := g.cfg.Tick * time.Duration(max(len(g.fleet.all), 1)) / 2
		l.notBefore = g.cfg.Clock().Add(time.Duration(g.cfg.Random.Int64N(int64(spread) + 1)))
		l.turn = l.notBefore
		e := g.cfg.Log.Warn()
		if platform.IsKind(err, platform.KindConflict) {
			e = g.cfg.Log.Debug()
		}
		e.Err(err).Str("row", l.key()).Msg("gateway: slots not changed")
		g.poke()
		return
	}
	if committed <= l.version {
		return
	}
	l.accept(g.cfg.Self, next, committed)
	g.checkRow(l, next, previous)
	g.ledgerChanged(l)
	if g.cfg.Sender != nil {
		row := platform.Row{Key: l.key(), Value: data, Version: committed}
		g.cfg.Sender.Broadcast(&peer.SlotReply{Service: cluster.ServiceName(l.name), Row: row})
	}
}

// writeRow writes a row of slots without the journal. Conflicts between daemons
// are frequent here, and in the journal each would hold up the idempotency rows
// of the same transaction for a round trip. The journal's read-back isn't
// needed: whether the write applied or not, or applies later, is seen in the
// row, and until then a daemon uses the lower of both.
func (g *Gateway) writeRow(ctx context.Context, l *ledger, data []byte, version cluster.Version) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	return g.cfg.Store.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: l.key(), Version: version}},
		Puts:   []platform.Put{{Key: l.key(), Value: data}},
	})
}

// poke makes the next poll of the slots start at once.
func (g *Gateway) poke() {
	select {
	case g.pollNow <- struct{}{}:
	default:
	}
}

// checkRow requires that no more of a unit is lent than it has. After its
// capacity was lowered the sum may be over it, but then it must not grow.
func (g *Gateway) checkRow(l *ledger, next, previous ledgerRow) {
	for id, h := range next {
		before := 0
		if p := previous[id]; p != nil {
			before = p.sum()
		}
		g.cfg.Invariants.Require(h.sum() <= max(h.capacity, before), invariant.Limit,
			"%d slots of %s lent, it has %d", h.sum(), l.name+"/"+id, h.capacity)
	}
}

// checkGrant requires a request that was just given a slot to be within all limits.
func (g *Gateway) checkGrant(t *ticket, r *runner) {
	inv := g.cfg.Invariants
	inv.Require(r.inFlight <= r.usable(), invariant.Limit, "%d requests at runner %s with %d slots", r.inFlight, r.vm.ID, r.usable())
	inv.Require(r.available(), invariant.Leaving, "request sent to runner %s, which takes no new work", r.vm.ID)
	if u := t.queue.team.unit; u != nil {
		inv.Require(u.inFlight <= u.limit, invariant.Limit, "%d requests of team %s with a limit of %d", u.inFlight, t.queue.team.name, u.limit)
	}
}

// handleSlotRequest notes that a peer wants slots.
func (g *Gateway) handleSlotRequest(from cluster.DaemonID, m *peer.SlotRequest) {
	l := g.ledgers[string(m.Service)]
	if l == nil || m.Slots <= 0 {
		return
	}
	l.lend, l.borrower = min(m.Slots, maxWanted*16), from
}
