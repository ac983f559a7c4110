package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// longAdviceTime is the expected response time from which an advice request counts as long. One daemon is
	// kept free of long requests, so that short ones are not delayed behind them.
	longAdvice = 40 * time.Millisecond
	// adviceFactor is the multiple of the needed capacity for which advice is requested, as other steps may
	// take some of the capacity before the reply arrives.
	adviceMargin = 2
	// gangPermitFactor is the multiple of its size for which a gang needs permitted workers, counting their
	// full capacity.
	gangChoice = 2
	// initialPermitShare is the assumed share of workers that may run a step until the first advice for its
	// queue arrives.
	firstPermitShare = 0.5
	// permitShareGain is the weight of new advice in the moving average of that share.
	permitGain = 0.1
	// searchInterval is the time between two searches for further workers for a step.
	searchPause = 100 * time.Millisecond
	// adviceRequestCost is added to the score of a worker for each advice request in flight that names it; 1
	// corresponds to the whole capacity of the worker.
	askedCost = 0.1
)

// requestMissingAdvice requests the advice that a step lacks: new tickets for its permitted workers, or permits
// for further workers. need is the number of pending tasks.
func (s *Scheduler) seekAdvice(st *step, need int) {
	policy := s.terms(st.job).Advice
	if policy == nil || st.advising || s.now.Before(st.askAfter) {
		return
	}
	room, potential, expired := 0, 0, 0
	var permitted []candidate
	for _, p := range st.permits {
		if !p.worker.listed || p.worker.vm.Draining {
			continue
		}
		potential += slots(p.worker.vm.Capacity, occupied(st.spec))
		c, ok := s.candidate(st, p.worker)
		if !ok {
			continue
		}
		room += c.slots
		permitted = append(permitted, c)
		if !s.holds(p) {
			expired += c.slots
		}
	}
	switch {
	case expired > 0 && (!st.spec.Gang || room >= need):
		s.ask(st, policy, enough(permitted, need*adviceMargin))
	case room < need:
		s.askMore(st, policy, need-room, potential < gangChoice*need)
	}
}

// permitValid reports whether a permit can be used now.
func (s *Scheduler) holds(p permit) bool {
	return s.now.Before(p.expires) && p.incarnation == p.worker.vm.Incarnation
}

// selectWorkers returns the workers with the most free capacity that together fit need tasks.
func enough(list []candidate, need int) []*worker {
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.slots, a.slots) })
	var workers []*worker
	for _, c := range list {
		if need <= 0 || len(workers) == maxAdvised {
			break
		}
		need -= c.slots
		workers = append(workers, c.worker)
	}
	return workers
}

// requestFurtherAdvice requests advice about workers for which none was received in their current incarnation.
// A gang that has too few permitted workers also asks about fully used ones.
func (s *Scheduler) askMore(st *step, policy *cluster.AdvicePolicy, need int, few bool) {
	if s.now.Before(st.searchAfter) {
		return
	}
	st.searchAfter = s.now.Add(searchPause)
	share := s.permitShare(st)
	var list []candidate
	room := 0
	for _, w := range s.order {
		if incarnation, ok := st.asked[w]; ok && incarnation == w.vm.Incarnation {
			continue
		}
		c, ok := s.candidate(st, w)
		if !ok && !(st.spec.Gang && few && s.suits(st, w)) {
			continue
		}
		room += c.slots
		c.worker = w
		list = append(list, c)
	}
	if st.spec.Gang && !few && float64(room)*share < float64(need) {
		return
	}
	s.sortForQuestion(st, list)
	wanted := float64(adviceMargin*need) / share
	var workers []*worker
	for _, c := range list {
		if wanted <= 0 || len(workers) == maxAdvised {
			break
		}
		wanted -= float64(max(c.slots, 1))
		workers = append(workers, c.worker)
	}
	s.ask(st, policy, workers)
}

// sortForAdvice sorts the workers by preference of a step: those with the most free capacity first for a gang,
// the best fit first for independent tasks.
func (s *Scheduler) sortForQuestion(st *step, list []candidate) {
	if st.spec.Gang {
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.slots, a.slots) })
		return
	}
	for i := range list {
		list[i].score = s.score(st, list[i].worker) + askedCost*float64(list[i].worker.questions)
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
}

// suitableWhenIdle reports whether a worker could run a task of a step if nothing else ran on it.
func (s *Scheduler) suits(st *step, w *worker) bool {
	return w.listed && !w.vm.Draining && (st.spec.Label == "" || slices.Contains(w.vm.Labels, st.spec.Label)) &&
		slots(w.vm.Capacity, occupied(st.spec)) > 0
}

func (s *Scheduler) permitShare(st *step) float64 {
	if share, ok := s.permitShares[st.job.spec.Queue]; ok {
		return share
	}
	return firstPermitShare
}

// refreshAdvice renews the tickets of a gang that has reserved capacity before they expire.
func (s *Scheduler) refreshAdvice(st *step) {
	policy := s.terms(st.job).Advice
	if policy == nil || st.advising || len(st.permits) == 0 {
		return
	}
	var ask []*worker
	soon := s.now.Add(policy.Decide + time.Duration(len(st.permits))*policy.PerWorker + ticketMargin)
	expiring := false
	for _, p := range st.permits {
		if p.worker.usable && len(ask) < maxAdvised {
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
	st.question = workers
	ids := make([]cluster.WorkerID, 0, len(workers))
	for _, w := range workers {
		w.questions++
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
	question := st.question
	st.advising, st.question = false, nil
	if st.askedLong {
		st.askedLong = false
		s.advising--
	}
	for _, w := range question {
		w.questions--
	}
	if st.closed() {
		return
	}
	if e.Failed {
		st.askAfter = s.now.Add(adviceRetry)
		return
	}
	s.cfg.Log.Debug().Str("job", string(e.Step.Job)).Int("step", e.Step.Step).Int("asked", len(question)).
		Int("permits", len(e.Advice.Permits)).Msg("pool: advice received")
	s.takePermits(st, question, e)
}

// storePermits stores the permits of a reply and the workers that the request named.
func (s *Scheduler) takePermits(st *step, question []*worker, e *Advised) {
	if st.asked == nil {
		st.asked = map[*worker]platform.Incarnation{}
	}
	fresh, granted := 0, 0
	for _, w := range question {
		if incarnation, ok := st.asked[w]; !ok || incarnation != w.vm.Incarnation {
			fresh++
		}
	}
	expires := e.Received.Add(e.Advice.ValidFor - ticketMargin)
	for _, p := range e.Advice.Permits {
		w := s.workers[p.Worker]
		if w == nil {
			continue
		}
		if incarnation, ok := st.asked[w]; !ok || incarnation != w.vm.Incarnation {
			granted++
		}
		st.setPermit(permit{worker: w, incarnation: w.vm.Incarnation, ticket: p.Ticket, expires: expires})
	}
	for _, w := range question {
		st.asked[w] = w.vm.Incarnation
	}
	if fresh > 0 {
		share := s.permitShare(st)
		share += (float64(granted)/float64(fresh) - share) * permitGain
		s.permitShares[st.job.spec.Queue] = max(share, leastPermitShare)
	}
}

// minPermitShare bounds the average from below, as the size of an advice request is inversely proportional to
// it.
const leastPermitShare = 0.05

func (st *step) setPermit(p permit) {
	for i := range st.permits {
		if st.permits[i].worker == p.worker {
			st.permits[i] = p
			return
		}
	}
	st.permits = append(st.permits, p)
}

// expirePermit marks the ticket for a worker as expired.
func (st *step) dropPermit(w *worker) {
	for i := range st.permits {
		if st.permits[i].worker == w {
			st.permits[i].expires = time.Time{}
		}
	}
}
