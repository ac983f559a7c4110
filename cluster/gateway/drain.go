package gateway

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// releaseAttempts limits the attempts to release slots; peers reclaim them once this daemon has left.
const (
	releaseAttempts   = 10
	releaseRetryDelay = 100 * time.Millisecond
)

// Drain refuses new requests, waits for the running ones and releases the slots.
// It returns an Error of kind KindDraining if ctx ends before all requests have finished.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.drainingFlag.Store(true)
	var workDone chan struct{}
	if g.activeWork > 0 {
		if g.workDone == nil {
			g.workDone = make(chan struct{})
		}
		workDone = g.workDone
	}
	g.mu.Unlock()
	g.cfg.Log.Info().Msg("gateway: draining")
	if workDone != nil {
		select {
		case <-workDone:
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindDraining, Err: ctx.Err()}
		}
	}
	g.releaseSlots(ctx)
	g.cfg.Log.Info().Msg("gateway: drained")
	return nil
}

// releaseSlots releases all slots that are allocated to this daemon.
func (g *Gateway) releaseSlots(ctx context.Context) {
	g.mu.Lock()
	var pools []*slotPool
	for _, pool := range g.pools {
		for _, quota := range pool.quotas {
			quota.limit = 0
		}
		if pool.allocations.allocatedTo(g.cfg.Self) > 0 {
			pools = append(pools, pool)
		}
	}
	for _, s := range g.services {
		for _, r := range s.runners {
			r.trimIdle(0, g.cfg.Clock())
		}
	}
	g.mu.Unlock()
	for _, pool := range pools {
		for range releaseAttempts {
			if ctx.Err() != nil || g.releasePool(ctx, pool) {
				break
			}
			g.readSlots()
			g.mu.Lock()
			delay := g.jitter(releaseRetryDelay)
			g.mu.Unlock()
			select {
			case <-time.After(delay):
			case <-ctx.Done():
			}
		}
	}
}

// releasePool removes this daemon's allocations from a row; it returns false if that should be retried.
func (g *Gateway) releasePool(ctx context.Context, pool *slotPool) bool {
	g.mu.Lock()
	next, version := pool.allocations.clone(), pool.version
	g.mu.Unlock()
	if next.allocatedTo(g.cfg.Self) == 0 {
		return true
	}
	for _, alloc := range next {
		delete(alloc.byDaemon, g.cfg.Self)
	}
	data, err := encodePoolRow(next)
	if err != nil {
		return true
	}
	newVersion, err := g.writeRow(ctx, pool, data, version)
	if err != nil {
		g.cfg.Log.Warn().Err(err).Str("row", pool.key()).Msg("gateway: slots not released")
		return platform.IsKind(err, platform.KindUnavailable)
	}
	g.mu.Lock()
	pool.apply(g.cfg.Self, next, newVersion)
	g.mu.Unlock()
	g.broadcast(&peer.SlotReply{
		Service: cluster.ServiceName(pool.name),
		Row:     platform.Row{Key: pool.key(), Value: data, Version: newVersion},
	})
	return true
}
