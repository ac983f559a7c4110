package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"
)

// hashSecret returns the hash under which the configuration lists a key's secret.
func hashSecret(secret string) [32]byte { return sha256.Sum256([]byte(secret)) }

// admit adds a request to its team's queue or refuses it.
func (g *Gateway) admit(c *call) (*admittedRequest, *problem) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncTeams(c.snapshot)
	s := g.services[c.service]
	if s == nil || !s.ready() {
		return nil, notReady(c)
	}
	req := &admittedRequest{service: s, queue: s.queueFor(g.team(c.team)), deadline: c.deadline, decision: make(chan grant, 1)}
	s.retryBudget.deposit()
	if p := g.enqueue(req, g.cfg.Clock()); p != nil {
		return nil, p
	}
	g.dispatch(s)
	return req, nil
}

// checkAdmissible refuses a request that can't meet its deadline before an idempotency row is written for it.
func (g *Gateway) checkAdmissible(c *call) *problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncTeams(c.snapshot)
	s := g.services[c.service]
	if s == nil || !s.ready() {
		return notReady(c)
	}
	return s.checkDeadline(s.queueFor(g.team(c.team)), c.deadline, g.cfg.Clock())
}

func notReady(c *call) *problem {
	return notRunProblem(http.StatusServiceUnavailable, "service not ready", "no runner of %s can be used yet", c.service).withRetryAfter(0)
}

// ready reports whether this daemon's slots are known and a runner is available.
func (s *service) ready() bool {
	if !s.pool.loaded {
		return false
	}
	for _, r := range s.runners {
		if r.available() {
			return true
		}
	}
	return false
}

// waitForSlot waits until the request is granted a slot of a runner or refused.
func (g *Gateway) waitForSlot(ctx context.Context, c *call, req *admittedRequest) (*runner, *problem) {
	select {
	case decision := <-req.decision:
		return g.confirmGrant(c, req, decision)
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := req.waiting
	if waiting {
		g.dequeue(req)
		req.queue.team.refused++
	}
	g.mu.Unlock()
	if !waiting {
		return g.confirmGrant(c, req, <-req.decision)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, notRunProblem(http.StatusServiceUnavailable, "caller has gone", "the request was still waiting")
	}
	return nil, notRunProblem(http.StatusGatewayTimeout, "deadline has passed", "the request was still waiting").withRetryAfter(0)
}

// confirmGrant authorizes a request again after the wait and returns its runner.
func (g *Gateway) confirmGrant(c *call, req *admittedRequest, decision grant) (*runner, *problem) {
	if decision.problem != nil {
		return nil, decision.problem
	}
	if p := g.reauthorize(c); p != nil {
		g.finishAttempt(req, decision.runner, attempt{outcome: outcomeNotSent, err: context.Canceled})
		return nil, p
	}
	return decision.runner, nil
}

// reauthorize authorizes a request that has waited. Its key may have been withdrawn in the
// meantime. That is possible even with an unchanged local configuration, which after a
// pause of the process may no longer be confirmed as current.
func (g *Gateway) reauthorize(c *call) *problem {
	c.snapshot = g.cfg.Authorizer.Snapshot()
	team := c.team
	if p := g.authorize(c); p != nil {
		return p
	}
	if c.team != team {
		return notRunProblem(http.StatusForbidden, "not authorized", "the key has moved to another team")
	}
	return nil
}

// finishAttempt records the result of an attempt and frees its slot.
func (g *Gateway) finishAttempt(req *admittedRequest, r *runner, a attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	elapsed := now.Sub(req.grantedAt)
	s := req.service
	switch {
	case a.outcome == outcomeResponse && a.response.status < http.StatusInternalServerError:
		s.serviceTime.add(elapsed, now)
		g.recordSuccess(r, elapsed, now)
		req.queue.team.served++
	case a.outcome == outcomeResponse:
		s.serviceTime.add(elapsed, now)
		req.queue.team.served++
		g.recordFailure(r, statusFailureWeight, "responds with server errors")
	case errors.Is(a.err, context.Canceled):
		// The caller has disconnected, which says nothing about the runner.
	case errors.Is(a.err, context.DeadlineExceeded), errors.Is(a.err, errTooLarge):
		// A short deadline or an oversized response may be the fault of the request, so it weighs less.
		g.recordFailure(r, statusFailureWeight, a.err.Error())
	case a.outcome == outcomeUnknown, a.outcome == outcomeNotSent:
		g.recordFailure(r, transportFailureWeight, a.err.Error())
	}
	if a.abandoned {
		// The runner may still be working on the abandoned request, so the slot
		// stays in use for as long as a request is likely to take.
		abandoned := *req
		time.AfterFunc(s.serviceTime.upperBound(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.freeSlot(&abandoned, r)
		})
		return
	}
	g.freeSlot(req, r)
}

// freeSlot returns a slot, corrects the virtual time of the queue and dispatches waiting requests.
func (g *Gateway) freeSlot(req *admittedRequest, r *runner) {
	s, q := req.service, req.queue
	q.virtualTime += float64(g.cfg.Clock().Sub(req.grantedAt))/q.team.weight() - req.chargedTime
	r.inFlight--
	s.inFlight--
	q.inFlight--
	q.team.inFlight--
	if quota := req.teamQuota; quota != nil {
		quota.inFlight--
		g.dispatchAll()
		return
	}
	g.dispatch(s)
}
