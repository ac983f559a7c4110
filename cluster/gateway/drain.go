package gateway

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// returnTries limits the attempts to give slots back; a peer reclaims them once this daemon has left.
const (
	returnTries = 10
	returnPause = 100 * time.Millisecond
)

// Drain refuses new requests, waits for the running ones and gives the slots back.
// It returns an Error of kind KindDraining if ctx ends before all requests have.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.closing.Store(true)
	var idle chan struct{}
	if g.active > 0 {
		if g.idle == nil {
			g.idle = make(chan struct{})
		}
		idle = g.idle
	}
	g.mu.Unlock()
	g.cfg.Log.Info().Msg("gateway: draining")
	if idle != nil {
		select {
		case <-idle:
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindDraining, Err: ctx.Err()}
		}
	}
	g.returnSlots(ctx)
	g.cfg.Log.Info().Msg("gateway: drained")
	return nil
}

// returnSlots gives back all slots that this daemon holds.
func (g *Gateway) returnSlots(ctx context.Context) {
	g.mu.Lock()
	var held []*ledger
	for _, l := range g.ledgers {
		for _, u := range l.units {
			u.limit = 0
		}
		if l.row.total(g.cfg.Self) > 0 {
			held = append(held, l)
		}
	}
	for _, s := range g.services {
		for _, r := range s.runners {
			r.trimIdle(0, g.cfg.Clock())
		}
	}
	g.mu.Unlock()
	for _, l := range held {
		for range returnTries {
			if ctx.Err() != nil || g.returnLedger(ctx, l) {
				break
			}
			g.readSlots()
			g.mu.Lock()
			pause := g.jitter(returnPause)
			g.mu.Unlock()
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}

// returnLedger removes this daemon from a row; it returns false if that is to be tried again.
func (g *Gateway) returnLedger(ctx context.Context, l *ledger) bool {
	g.mu.Lock()
	next, version := l.row.clone(), l.version
	g.mu.Unlock()
	if next.total(g.cfg.Self) == 0 {
		return true
	}
	for _, h := range next {
		delete(h.held, g.cfg.Self)
	}
	data, err := encodeRow(next)
	if err != nil {
		return true
	}
	committed, err := g.writeRow(ctx, l, data, version)
	if err != nil {
		g.cfg.Log.Warn().Err(err).Str("row", l.key()).Msg("gateway: slots not given back")
		return platform.IsKind(err, platform.KindUnavailable)
	}
	g.mu.Lock()
	l.accept(g.cfg.Self, next, committed)
	g.mu.Unlock()
	g.broadcast(&peer.SlotReply{
		Service: cluster.ServiceName(l.name),
		Row:     platform.Row{Key: l.key(), Value: data, Version: committed},
	})
	return true
}
