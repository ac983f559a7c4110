package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// longAdvice is the time from which a question is long. One daemon is kept free
// of long questions, so that short ones do not wait behind them.
const longAdvice = 40 * time.Millisecond

// askAll asks once which of the workers may run a step. The answer does not
// change, but its tickets run out.
func (s *Scheduler) askAll(st *step, policy *cluster.AdvicePolicy) {
	var ask []*worker
	for _, w := range s.order {
		if w.listed && !w.vm.Draining && w.sound && slots(w.vm.Capacity, occupied(st.spec)) > 0 &&
			(st.spec.Label == "" || slices.Contains(w.vm.Labels, st.spec.Label)) {
			ask = append(ask, w)
		}
	}
	slices.SortStableFunc(ask, func(a, b *worker) int {
		return -cmp.Compare(a.free().DominantShare(a.vm.Capacity), b.free().DominantShare(b.vm.Capacity))
	})
	s.ask(st, policy, ask[:min(len(ask), maxAdvised)])
}

// renewAdvice asks for new tickets where room would do but tickets have run out.
func (s *Scheduler) renewAdvice(st *step, need int) {
	q := s.terms(st.job)
	if q.Advice == nil || st.advising || s.now.Before(st.askAfter) {
		return
	}
	var ask []*worker
	room, expired := 0, 0
	for _, p := range st.permits {
		c, ok := s.candidate(st, p.worker)
		if !ok {
			continue
		}
		room += c.slots
		ask = append(ask, p.worker)
		if !s.now.Before(p.expires) || p.incarnation != p.worker.vm.Incarnation {
			expired += c.slots
		}
	}
	if expired == 0 || (st.spec.Gang && room < need) {
		return
	}
	s.ask(st, q.Advice, ask)
}

// refreshAdvice asks for new tickets before those of a gang that keeps room run out.
func (s *Scheduler) refreshAdvice(st *step) {
	policy := s.terms(st.job).Advice
	if policy == nil || st.advising || len(st.permits) == 0 {
		return
	}
	var ask []*worker
	soon := s.now.Add(policy.Decide + time.Duration(len(st.permits))*policy.PerWorker + ticketMargin)
	expiring := false
	for _, p := range st.permits {
		if p.worker.usable {
			ask = append(ask, p.worker)
			expiring = expiring || p.expires.Before(soon)
		}
	}
	if expiring {
		s.ask(st, policy, ask)
	}
}

func (s *Scheduler) ask(st *step, policy *cluster.AdvicePolicy, workers []*worker) {
	if st.advising || len(workers) == 0 || s.now.Before(st.askAfter) {
		return
	}
	cost := policy.Decide + time.Duration(len(workers))*policy.PerWorker
	if cost > longAdvice {
		if s.advising >= max(1, s.advisors-1) {
			return
		}
		s.advising++
		st.askedLong = true
	}
	st.advising = true
	ids := make([]cluster.WorkerID, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.vm.ID)
	}
	s.emit(&AskAdvice{Step: st.id, Workers: ids, Cost: cost})
}

func (s *Scheduler) adviceAnswered(e *Advised) {
	j := s.jobs[e.Step.Job]
	if j == nil || len(j.steps) == 0 {
		return
	}
	st := j.steps[e.Step.Occurrence*len(j.spec.Steps)+e.Step.Step]
	st.advising = false
	if st.askedLong {
		st.askedLong = false
		s.advising--
	}
	if e.Failed {
		st.askAfter = s.now.Add(adviceRetry)
		return
	}
	s.cfg.Log.Debug().Str("job", string(e.Step.Job)).Int("step", e.Step.Step).Int("permits", len(e.Advice.Permits)).Msg("pool: advice received")
	expires := e.Received.Add(e.Advice.ValidFor - ticketMargin)
	for _, p := range e.Advice.Permits {
		w := s.workers[p.Worker]
		if w == nil {
			continue
		}
		st.setPermit(permit{worker: w, incarnation: w.vm.Incarnation, ticket: p.Ticket, expires: expires})
	}
	st.advised = len(st.permits) > 0
	if !st.advised {
		st.askAfter = s.now.Add(adviceRetry)
	}
}

func (st *step) setPermit(p permit) {
	for i := range st.permits {
		if st.permits[i].worker == p.worker {
			st.permits[i] = p
			return
		}
	}
	st.permits = append(st.permits, p)
}

// dropPermit takes a ticket as run out.
func (st *step) dropPermit(w *worker) {
	for i := range st.permits {
		if st.permits[i].worker == w {
			st.permits[i].expires = time.Time{}
		}
	}
}
