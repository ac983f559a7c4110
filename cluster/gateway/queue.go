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
	ledger  *ledger
	queues  map[cluster.TeamName]*teamQueue
	queued  int
	// inFlight counts requests that hold a slot.
	inFlight int
	// virtual is the virtual time of the last dispatch.
	virtual float64
	time    estimate
	retries retryBudget
	// members is the number of daemons that share the runners' connections.
	members int
}

// team is the load of one team at this daemon. It is guarded by Gateway.mu.
type team struct {
	name  cluster.TeamName
	share int
	// unit is the daemon's part of MaxRequests; nil if there is no limit.
	unit     *unit
	ledger   *ledger
	queued   int
	inFlight int
	served   int64
	refused  int64
}

func (t *team) full() bool { return t.unit != nil && t.unit.inFlight >= t.unit.limit }

func (t *team) weight() float64 { return float64(max(t.share, 1)) }

// teamQueue holds the waiting requests of one team for one service. Virtual is
// its start time in weighted fair queueing, in slot time divided by weight.
type teamQueue struct {
	team     *team
	waiting  []*ticket
	inFlight int
	virtual  float64
}

// ticket is a request that waits for a slot or holds one.
type ticket struct {
	service  *service
	queue    *teamQueue
	deadline time.Time
	// excluded is the runner that failed the last attempt.
	excluded *runner
	// answered receives once per wait: a runner or a problem.
	answered chan grant
	waiting  bool
	// charged is the virtual time charged at dispatch.
	charged float64
	granted time.Time
	// limited is the unit of the team's limit in which the request is counted.
	limited *unit
}

type grant struct {
	runner  *runner
	problem *problem
}

func (s *service) queue(t *team) *teamQueue {
	q := s.queues[t.name]
	if q == nil {
		q = &teamQueue{team: t}
		s.queues[t.name] = q
	}
	q.team = t
	return q
}

func (q *teamQueue) active() bool { return len(q.waiting) > 0 || q.inFlight > 0 }

// slots is the number of slots that can be used now.
func (s *service) slots() int {
	n := 0
	for _, r := range s.runners {
		if r.available() {
			n += r.usable()
		}
	}
	return n
}

// part is a team's fraction of the service among the teams with demand.
func (s *service) part(q *teamQueue) float64 {
	sum := 0.0
	for _, other := range s.queues {
		if other.active() || other == q {
			sum += other.team.weight()
		}
	}
	return q.team.weight() / sum
}

// wait estimates how long one more request of the team would wait for a slot.
func (s *service) wait(q *teamQueue, now time.Time) time.Duration {
	slots := float64(s.slots())
	if slots == 0 {
		return 0
	}
	if s.queued == 0 && s.inFlight < int(slots) && !q.team.full() {
		return 0
	}
	mean := float64(s.time.value(now))
	own := max(slots*s.part(q), 1)
	if u := q.team.unit; u != nil {
		own = min(own, float64(max(u.limit, 1)))
	}
	byShare := float64(len(q.waiting)+1) * mean / own
	byAll := float64(s.queued+1) * mean / slots
	if q.team.full() {
		byAll = math.Inf(1)
	}
	return time.Duration(min(byShare, byAll))
}

// needs is the time that a request must have left to be worth a slot. While
// others wait, a slot isn't spent on one that may well miss its deadline.
func (s *service) needs(now time.Time) time.Duration {
	if s.queued > 1 {
		return s.time.likely(now)
	}
	return s.time.value(now)
}

// tooLate refuses a request of the team that could not be answered before the deadline.
func (s *service) tooLate(q *teamQueue, deadline, now time.Time) *problem {
	wait := s.wait(q, now)
	if !now.Add(wait + s.needs(now)).After(deadline) {
		return nil
	}
	q.team.refused++
	return refuse(http.StatusServiceUnavailable, "deadline can't be met",
		"the wait is about %s and the service takes about %s", wait, s.time.value(now)).retry(wait)
}

// enqueue admits a request to the queue or refuses it.
func (g *Gateway) enqueue(t *ticket, now time.Time) *problem {
	s, q := t.service, t.queue
	if p := s.tooLate(q, t.deadline, now); p != nil {
		return p
	}
	if s.queued >= g.cfg.QueueLimit {
		if p := g.makeRoom(s, q, s.wait(q, now)); p != nil {
			q.team.refused++
			return p
		}
	}
	if !q.active() {
		q.virtual = max(q.virtual, s.virtual)
	}
	g.push(t, false)
	return nil
}

// push puts a ticket in its queue; a retry goes first.
func (g *Gateway) push(t *ticket, first bool) {
	t.waiting = true
	if first {
		t.queue.waiting = slices.Insert(t.queue.waiting, 0, t)
	} else {
		t.queue.waiting = append(t.queue.waiting, t)
	}
	t.service.queued++
	t.queue.team.queued++
}

// makeRoom refuses the newest request of the team furthest over its weighted
// share of the full queue, or the new request if that is its own team.
func (g *Gateway) makeRoom(s *service, q *teamQueue, wait time.Duration) *problem {
	worst, most := q, float64(len(q.waiting)+1)/q.team.weight()
	for _, other := range s.queues {
		if over := float64(len(other.waiting)) / other.team.weight(); over > most {
			worst, most = other, over
		}
	}
	full := refuse(http.StatusServiceUnavailable, "queue is full",
		"%d requests wait for service %s", s.queued, s.name).retry(wait)
	if worst == q {
		return full
	}
	newest := worst.waiting[len(worst.waiting)-1]
	g.remove(newest)
	newest.queue.team.refused++
	newest.answered <- grant{problem: full}
	return nil
}

// remove takes a waiting ticket out of its queue.
func (g *Gateway) remove(t *ticket) {
	if i := slices.Index(t.queue.waiting, t); i >= 0 {
		t.queue.waiting = slices.Delete(t.queue.waiting, i, i+1)
		t.service.queued--
		t.queue.team.queued--
	}
	t.waiting = false
}

// dispatch hands free slots to waiting requests, by weighted shares.
func (g *Gateway) dispatch(s *service) {
	now := g.cfg.Clock()
	blocked := map[*teamQueue]bool{}
	for s.queued > 0 {
		q := s.next(blocked)
		if q == nil {
			return
		}
		t := q.waiting[0]
		if now.Add(s.needs(now)).After(t.deadline) {
			g.remove(t)
			q.team.refused++
			t.answered <- grant{problem: refuse(http.StatusServiceUnavailable, "deadline can't be met",
				"the service takes about %s", s.time.value(now)).retry(0)}
			continue
		}
		r := choose(s.runners, t.excluded, g.cfg.Random, now)
		if r == nil && t.excluded != nil && s.only(t.excluded) {
			r = choose(s.runners, nil, g.cfg.Random, now)
		}
		if r == nil {
			blocked[q] = true
			continue
		}
		g.remove(t)
		g.grant(t, r, now)
	}
}

// only reports whether no other runner than r is available.
func (s *service) only(r *runner) bool {
	for _, other := range s.runners {
		if other != r && other.available() {
			return false
		}
	}
	return true
}

// next returns the queue with work and the lowest virtual time whose team is below its limit.
func (s *service) next(blocked map[*teamQueue]bool) *teamQueue {
	var best *teamQueue
	for _, q := range s.queues {
		if len(q.waiting) == 0 || blocked[q] || q.team.full() {
			continue
		}
		if best == nil || q.virtual < best.virtual || (q.virtual == best.virtual && q.team.name < best.team.name) {
			best = q
		}
	}
	return best
}

func (g *Gateway) grant(t *ticket, r *runner, now time.Time) {
	s, q := t.service, t.queue
	s.virtual = max(s.virtual, q.virtual)
	t.charged = max(float64(s.time.value(now)), float64(time.Millisecond)) / q.team.weight()
	q.virtual += t.charged
	t.granted = now
	r.inFlight++
	s.inFlight++
	q.inFlight++
	q.team.inFlight++
	t.limited = q.team.unit
	if t.limited != nil {
		t.limited.inFlight++
	}
	g.checkGrant(t, r)
	t.answered <- grant{runner: r}
}
