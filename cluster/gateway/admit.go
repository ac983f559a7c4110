package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"
)

func hashSecret(secret string) [32]byte { return sha256.Sum256([]byte(secret)) }

// admit puts a request in its team's queue or refuses it.
func (g *Gateway) admit(c *call) (*ticket, *problem) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncTeams(c.snapshot)
	s := g.services[c.service]
	if s == nil || !s.ready() {
		return nil, notReady(c)
	}
	t := &ticket{service: s, queue: s.queue(g.team(c.team)), deadline: c.deadline, answered: make(chan grant, 1)}
	s.retries.earn()
	if p := g.enqueue(t, g.cfg.Clock()); p != nil {
		return nil, p
	}
	g.dispatch(s)
	return t, nil
}

// precheck refuses a request that would be refused for its deadline, before a row is written for it.
func (g *Gateway) precheck(c *call) *problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncTeams(c.snapshot)
	s := g.services[c.service]
	if s == nil || !s.ready() {
		return notReady(c)
	}
	return s.tooLate(s.queue(g.team(c.team)), c.deadline, g.cfg.Clock())
}

func notReady(c *call) *problem {
	return refuse(http.StatusServiceUnavailable, "service not ready", "no runner of %s can be used yet", c.service).retry(0)
}

// ready reports whether the slots are known and some runner takes work.
func (s *service) ready() bool {
	if !s.ledger.known {
		return false
	}
	for _, r := range s.runners {
		if r.available() {
			return true
		}
	}
	return false
}

// await waits for a slot of a runner.
func (g *Gateway) await(ctx context.Context, c *call, t *ticket) (*runner, *problem) {
	select {
	case got := <-t.answered:
		return g.granted(c, t, got)
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := t.waiting
	if waiting {
		g.remove(t)
		t.queue.team.refused++
	}
	g.mu.Unlock()
	if !waiting {
		return g.granted(c, t, <-t.answered)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, refuse(http.StatusServiceUnavailable, "caller has gone", "the request was still waiting")
	}
	return nil, refuse(http.StatusGatewayTimeout, "deadline has passed", "the request was still waiting").retry(0)
}

// granted checks again, after the wait, what may have changed meanwhile.
func (g *Gateway) granted(c *call, t *ticket, got grant) (*runner, *problem) {
	if got.problem != nil {
		return nil, got.problem
	}
	if p := g.authorizeAgain(c); p != nil {
		g.finish(t, got.runner, attempt{outcome: outcomeNotSent, err: context.Canceled})
		return nil, p
	}
	return got.runner, nil
}

// authorizeAgain authorizes a request that has waited. The key may have been
// withdrawn meanwhile, also if the configuration known here is the same: after a
// pause of the process it is no longer confirmed.
func (g *Gateway) authorizeAgain(c *call) *problem {
	c.snapshot = g.cfg.Authorizer.Snapshot()
	team := c.team
	if p := g.authorize(c); p != nil {
		return p
	}
	if c.team != team {
		return refuse(http.StatusForbidden, "not authorized", "the key has moved to another team")
	}
	return nil
}

// finish takes note of the result of an attempt and frees its slot.
func (g *Gateway) finish(t *ticket, r *runner, a attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	took := now.Sub(t.granted)
	s := t.service
	switch {
	case a.outcome == outcomeAnswer && a.answer.status < http.StatusInternalServerError:
		s.time.add(took, now)
		g.succeeded(r, took, now)
		t.queue.team.served++
	case a.outcome == outcomeAnswer:
		s.time.add(took, now)
		t.queue.team.served++
		g.failed(r, statusWeight, "answers with server errors")
	case errors.Is(a.err, context.Canceled):
		// The caller has gone, which says nothing about the runner.
	case errors.Is(a.err, context.DeadlineExceeded), errors.Is(a.err, errTooLarge):
		// A short deadline or a request for too much may not be the runner's fault.
		g.failed(r, statusWeight, a.err.Error())
	case a.outcome == outcomeLost, a.outcome == outcomeNotSent:
		g.failed(r, transportWeight, a.err.Error())
	}
	if a.abandoned {
		// The runner may still be at work on a request that was given up, so its
		// slot stays in use for as long as a request is likely to take.
		charged := *t
		time.AfterFunc(s.time.likely(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.free(&charged, r)
		})
		return
	}
	g.free(t, r)
}

// free gives back a slot and lets waiting requests use it.
func (g *Gateway) free(t *ticket, r *runner) {
	s, q := t.service, t.queue
	q.virtual += float64(g.cfg.Clock().Sub(t.granted))/q.team.weight() - t.charged
	r.inFlight--
	s.inFlight--
	q.inFlight--
	q.team.inFlight--
	if u := t.limited; u != nil {
		u.inFlight--
		g.dispatchAll()
		return
	}
	g.dispatch(s)
}
