package gateway

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// service is the state of one service at this daemon. It is guarded by Gateway.mu.
type service struct {
	name    cluster.ServiceName
	runners []*runner
	pool    *slotPool
	queues  map[cluster.TeamName]*teamQueue
	queued  int
	// inFlight counts the requests that use a slot.
	inFlight int
	// virtualTime is the virtual start time of the request dispatched last (weighted fair queueing).
	virtualTime float64
	serviceTime durationEstimate
	retryBudget retryBudget
	// memberCount is the number of daemons that share the runners' connections.
	memberCount int
}

// team is the load of one team at this daemon. It is guarded by Gateway.mu.
type team struct {
	name  cluster.TeamName
	share int
	// quota is this daemon's share of MaxRequests; nil if there is no limit.
	quota    *slotQuota
	pool     *slotPool
	queued   int
	inFlight int
	// served and refused count requests since the gateway was started.
	served  int64
	refused int64
}

// full reports whether the team uses all of its quota here.
func (t *team) full() bool { return t.quota != nil && t.quota.inFlight >= t.quota.limit }

func (t *team) weight() float64 { return float64(max(t.share, 1)) }

// teamQueue holds the waiting requests of one team for one service. Its virtualTime is
// the start time of its next request in weighted fair queueing, in slot time divided by weight.
type teamQueue struct {
	team        *team
	waiting     []*admittedRequest
	inFlight    int
	virtualTime float64
}

// admittedRequest is a request that waits for a slot or uses one.
type admittedRequest struct {
	service  *service
	queue    *teamQueue
	deadline time.Time
	// excluded is the runner of the failed previous attempt.
	excluded *runner
	// decision receives one value per wait: a runner or a problem.
	decision chan grant
	// waiting is set while the request is in its queue.
	waiting bool
	// chargedTime is the estimated virtual time charged when the slot was granted.
	chargedTime float64
	grantedAt   time.Time
	// teamQuota is the quota that the request counts against; nil if the team has no limit.
	teamQuota *slotQuota
}

// grant is the decision on a waiting request: a slot of a runner, or a problem.
type grant struct {
	runner  *runner
	problem *problem
}

// queueFor returns the queue of a team and creates it if needed.
func (s *service) queueFor(t *team) *teamQueue {
	q := s.queues[t.name]
	if q == nil {
		q = &teamQueue{team: t}
		s.queues[t.name] = q
	}
	q.team = t
	return q
}

func (q *teamQueue) active() bool { return len(q.waiting) > 0 || q.inFlight > 0 }

// usableSlots returns the number of slots that can be used now.
func (s *service) usableSlots() int {
	n := 0
	for _, r := range s.runners {
		if r.available() {
			n += r.usableSlots()
		}
	}
	return n
}

// teamFraction returns the fraction of the service that a team is due among the teams with demand.
func (s *service) teamFraction(q *teamQueue) float64 {
	sum := 0.0
	for _, other := range s.queues {
		if other.active() || other == q {
			sum += other.team.weight()
		}
	}
	return q.team.weight() / sum
}

// estimateWait estimates how long one more request of the team would wait for a slot: the
// shorter of the times in which the team's queue is served by the team's part of the slots, and
// the whole queue by all of them. Only the former counts for a team at its limit.
func (s *service) estimateWait(q *teamQueue, now time.Time) time.Duration {
	slots := float64(s.usableSlots())
	if slots == 0 {
		return 0
	}
	if s.queued == 0 && s.inFlight < int(slots) && !q.team.full() {
		return 0
	}
	mean := float64(s.serviceTime.value(now))
	teamSlots := max(slots*s.teamFraction(q), 1)
	if quota := q.team.quota; quota != nil {
		teamSlots = min(teamSlots, float64(max(quota.limit, 1)))
	}
	byShare := float64(len(q.waiting)+1) * mean / teamSlots
	byQueue := float64(s.queued+1) * mean / slots
	if q.team.full() {
		byQueue = math.Inf(1)
	}
	return time.Duration(min(byShare, byQueue))
}

// requiredTime returns the time to its deadline that a request must have left to get a slot.
// While others wait, no slot is spent on a request that is likely to miss its deadline.
func (s *service) requiredTime(now time.Time) time.Duration {
	if s.queued > 1 {
		return s.serviceTime.upperBound(now)
	}
	return s.serviceTime.value(now)
}

// checkDeadline refuses a request of the team that is not expected to finish before the deadline.
func (s *service) checkDeadline(q *teamQueue, deadline, now time.Time) *problem {
	wait := s.estimateWait(q, now)
	if !now.Add(wait + s.requiredTime(now)).After(deadline) {
		return nil
	}
	q.team.refused++
	return notRunProblem(http.StatusServiceUnavailable, "deadline can't be met",
		"the wait is about %s and the service takes about %s", wait, s.serviceTime.value(now)).withRetryAfter(wait)
}

// enqueue adds a request to its queue or refuses it.
func (g *Gateway) enqueue(req *admittedRequest, now time.Time) *problem {
	s, q := req.service, req.queue
	if p := s.checkDeadline(q, req.deadline, now); p != nil {
		return p
	}
	if s.queued >= g.cfg.QueueLimit {
		if p := g.refuseNewest(s, q, s.estimateWait(q, now)); p != nil {
			q.team.refused++
			return p
		}
	}
	if !q.active() {
		q.virtualTime = max(q.virtualTime, s.virtualTime)
	}
	g.push(req, false)
	return nil
}

// push inserts a request into its queue, at the front for a retry.
func (g *Gateway) push(req *admittedRequest, atFront bool) {
	req.waiting = true
	if atFront {
		req.queue.waiting = slices.Insert(req.queue.waiting, 0, req)
	} else {
		req.queue.waiting = append(req.queue.waiting, req)
	}
	req.service.queued++
	req.queue.team.queued++
}

// refuseNewest makes space in a full queue. It refuses the newest request of the team that
// is furthest above its weighted share of the queue, or returns the problem for the new
// request if that is its own team.
func (g *Gateway) refuseNewest(s *service, q *teamQueue, wait time.Duration) *problem {
	heaviest, maxLoad := q, float64(len(q.waiting)+1)/q.team.weight()
	for _, other := range s.queues {
		if load := float64(len(other.waiting)) / other.team.weight(); load > maxLoad {
			heaviest, maxLoad = other, load
		}
	}
	refusal := notRunProblem(http.StatusServiceUnavailable, "queue is full",
		"%d requests wait for service %s", s.queued, s.name).withRetryAfter(wait)
	if heaviest == q {
		return refusal
	}
	newest := heaviest.waiting[len(heaviest.waiting)-1]
	g.dequeue(newest)
	newest.queue.team.refused++
	newest.decision <- grant{problem: refusal}
	return nil
}

// dequeue removes a waiting request from its queue.
func (g *Gateway) dequeue(req *admittedRequest) {
	if i := slices.Index(req.queue.waiting, req); i >= 0 {
		req.queue.waiting = slices.Delete(req.queue.waiting, i, i+1)
		req.service.queued--
		req.queue.team.queued--
	}
	req.waiting = false
}

// dispatch grants free slots to waiting requests, by weighted fair queueing.
func (g *Gateway) dispatch(s *service) {
	now := g.cfg.Clock()
	blocked := map[*teamQueue]bool{}
	for s.queued > 0 {
		q := s.nextQueue(blocked)
		if q == nil {
			return
		}
		req := q.waiting[0]
		if now.Add(s.requiredTime(now)).After(req.deadline) {
			g.dequeue(req)
			q.team.refused++
			req.decision <- grant{problem: notRunProblem(http.StatusServiceUnavailable, "deadline can't be met",
				"the service takes about %s", s.serviceTime.value(now)).withRetryAfter(0)}
			continue
		}
		r := chooseRunner(s.runners, req.excluded, g.cfg.Random, now)
		if r == nil && req.excluded != nil && s.noOtherAvailable(req.excluded) {
			// The runner of the failed attempt is used again only if there is no other.
			r = chooseRunner(s.runners, nil, g.cfg.Random, now)
		}
		if r == nil {
			blocked[q] = true
			continue
		}
		g.dequeue(req)
		g.grantSlot(req, r, now)
	}
}

// noOtherAvailable reports whether no runner other than r is available.
func (s *service) noOtherAvailable(r *runner) bool {
	for _, other := range s.runners {
		if other != r && other.available() {
			return false
		}
	}
	return true
}

// nextQueue returns the queue with waiting requests and the lowest virtual time whose team is below its limit.
func (s *service) nextQueue(blocked map[*teamQueue]bool) *teamQueue {
	var best *teamQueue
	for _, q := range s.queues {
		if len(q.waiting) == 0 || blocked[q] || q.team.full() {
			continue
		}
		if best == nil || q.virtualTime < best.virtualTime || (q.virtualTime == best.virtualTime && q.team.name < best.team.name) {
			best = q
		}
	}
	return best
}

// grantSlot gives a slot of a runner to a request and charges the virtual time of its queue.
func (g *Gateway) grantSlot(req *admittedRequest, r *runner, now time.Time) {
	s, q := req.service, req.queue
	s.virtualTime = max(s.virtualTime, q.virtualTime)
	req.chargedTime = max(float64(s.serviceTime.value(now)), float64(time.Millisecond)) / q.team.weight()
	q.virtualTime += req.chargedTime
	req.grantedAt = now
	r.inFlight++
	s.inFlight++
	q.inFlight++
	q.team.inFlight++
	req.teamQuota = q.team.quota
	if req.teamQuota != nil {
		req.teamQuota.inFlight++
	}
	g.checkGrant(req, r)
	req.decision <- grant{runner: r}
}
