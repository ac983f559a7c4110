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
	longAdviceTime = 40 * time.Millisecond
	// deferrableAdviceShare is the number of daemons for each long request of steps that are beyond the weight of their
	// team or overdue. Under overload these are most of the waiting steps; their tickets expire unused, as they may not
	// reserve capacity, while the requests of the other steps wait behind theirs.
	deferrableAdviceShare = 8
	// adviceFactor is the multiple of the needed capacity for which advice is requested, as other steps may
	// take some of the capacity before the reply arrives.
	adviceFactor = 2
	// gangPermitFactor is the multiple of its size for which a gang needs permitted workers, counting their
	// full capacity.
	gangPermitFactor = 2
	// initialPermitShare is the assumed share of workers that may run a step until the first advice for its
	// queue arrives.
	initialPermitShare = 0.5
	// permitShareGain is the weight of new advice in the moving average of that share.
	permitShareGain = 0.1
	// searchInterval is the time between two searches for further workers for a step.
	searchInterval = 100 * time.Millisecond
	// adviceRequestCost is added to the score of a worker for each advice request in flight that names it; 1
	// corresponds to the whole capacity of the worker.
	adviceRequestCost = 0.1
)

// requestMissingAdvice requests the advice that a step lacks: new tickets for its permitted workers, or permits
// for further workers. need is the number of pending tasks.
func (s *Scheduler) requestMissingAdvice(st *step, need int) {
	policy := s.terms(st.job).Advice
	if policy == nil || st.adviceInFlight || s.now.Before(st.nextAdviceAt) || !s.mayRequestAdvice(st, policy.CallDuration) {
		return
	}
	fitting, fittingWhenIdle, fittingExpired := 0, 0, 0
	var permitted []candidate
	renewBefore := s.renewBefore(policy, maxAdviceWorkers)
	for _, p := range st.permits {
		if !p.worker.acceptsTasks() {
			continue
		}
		fittingWhenIdle += taskCapacity(p.worker.vm.Capacity, accountedSize(st.spec))
		c, ok := s.candidate(st, p.worker)
		if !ok {
			continue
		}
		fitting += c.taskCapacity
		if !s.permitValid(p) {
			fittingExpired += c.taskCapacity
		} else if st.spec.Gang && p.expiresAt.After(renewBefore) {
			continue // its ticket is still valid when those of the others are renewed
		}
		permitted = append(permitted, c)
	}
	switch {
	// The tickets of a gang are renewed here only if all its members fit; refreshAdvice renews those of a gang that
	// has reserved capacity.
	case fittingExpired > 0 && (!st.spec.Gang || fitting >= need):
		s.requestAdvice(st, policy, selectWorkers(permitted, need*adviceFactor))
	case fitting < need:
		s.requestFurtherAdvice(st, policy, need-fitting, fittingWhenIdle < gangPermitFactor*need)
	}
}

// permitValid reports whether a permit can be used now.
func (s *Scheduler) permitValid(p permit) bool {
	return s.now.Before(p.expiresAt) && p.incarnation == p.worker.vm.Incarnation
}

// selectWorkers returns the workers with the most free capacity that together fit need tasks.
func selectWorkers(list []candidate, need int) []*worker {
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.taskCapacity, a.taskCapacity) })
	var workers []*worker
	for _, c := range list {
		if need <= 0 || len(workers) == maxAdviceWorkers {
			break
		}
		need -= c.taskCapacity
		workers = append(workers, c.worker)
	}
	return workers
}

// requestFurtherAdvice requests advice about workers for which none was received in their current incarnation.
// A gang that has too few permitted workers also asks about fully used ones. Gangs name as many workers as take as long
// as the fixed part of the call, unless the pool has room for them: under load most workers have no capacity left when the
// reply arrives, so that the few tickets of a gang expire unused.
func (s *Scheduler) requestFurtherAdvice(st *step, policy *cluster.AdvicePolicy, need int, tooFewPermits bool) {
	if s.now.Before(st.nextSearchAt) {
		return
	}
	st.nextSearchAt = s.now.Add(searchInterval)
	share := s.permitShare(st)
	var list []candidate
	fitting := 0
	for _, w := range s.sortedWorkers {
		if incarnation, ok := st.advisedWorkers[w]; ok && incarnation == w.vm.Incarnation {
			continue
		}
		c, ok := s.candidate(st, w)
		if !ok && !(st.spec.Gang && s.suitableWhenIdle(st, w)) {
			continue
		}
		fitting += c.taskCapacity
		c.worker = w
		list = append(list, c)
	}
	if st.spec.Gang && !tooFewPermits && fitting < need {
		return // the gang could not start even if all of them were permitted
	}
	s.sortForAdvice(st, list)
	remaining, minWorkers := float64(adviceFactor*need)/share, 0
	if st.spec.Gang && policy.PerWorker > 0 && !s.passUse.hasSpareCapacity(st) {
		minWorkers = int(policy.CallDuration / policy.PerWorker)
	}
	var workers []*worker
	for _, c := range list {
		if remaining <= 0 && len(workers) >= minWorkers || len(workers) == maxAdviceWorkers {
			break
		}
		remaining -= float64(max(c.taskCapacity, 1))
		workers = append(workers, c.worker)
	}
	s.requestAdvice(st, policy, workers)
}

// sortForAdvice sorts the workers by preference of a step: those with the most free capacity first for a gang,
// the best fit first for independent tasks.
func (s *Scheduler) sortForAdvice(st *step, list []candidate) {
	if st.spec.Gang {
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.taskCapacity, a.taskCapacity) })
		return
	}
	for i := range list {
		list[i].score = s.score(st, list[i].worker) + adviceRequestCost*float64(list[i].worker.adviceRequests)
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
}

// suitableWhenIdle reports whether a worker could run a task of a step if nothing else ran on it.
func (s *Scheduler) suitableWhenIdle(st *step, w *worker) bool {
	return w.acceptsTasks() && (st.spec.Label == "" || slices.Contains(w.vm.Labels, st.spec.Label)) &&
		taskCapacity(w.vm.Capacity, accountedSize(st.spec)) > 0
}

// permitShare returns the expected share of workers that may run a step.
func (s *Scheduler) permitShare(st *step) float64 {
	if share, ok := s.permitShares[st.job.spec.Queue]; ok {
		return share
	}
	return initialPermitShare
}

// refreshAdvice renews the tickets of a gang that has reserved capacity before they expire.
func (s *Scheduler) refreshAdvice(st *step) {
	policy := s.terms(st.job).Advice
	if policy == nil || st.adviceInFlight || len(st.permits) == 0 {
		return
	}
	renewBefore := s.renewBefore(policy, min(len(st.permits), maxAdviceWorkers))
	permits := slices.DeleteFunc(slices.Clone(st.permits), func(p permit) bool { return !p.worker.usable })
	// One request can't renew the tickets of more workers; those that expire first come first.
	slices.SortStableFunc(permits, func(a, b permit) int { return a.expiresAt.Compare(b.expiresAt) })
	if len(permits) == 0 || !permits[0].expiresAt.Before(renewBefore) {
		return
	}
	var workers []*worker
	for _, p := range permits[:min(len(permits), maxAdviceWorkers)] {
		workers = append(workers, p.worker)
	}
	s.requestAdvice(st, policy, workers)
}

// renewBefore returns until when a ticket must be valid to outlast an advice request about a number of workers.
func (s *Scheduler) renewBefore(policy *cluster.AdvicePolicy, workers int) time.Time {
	return s.now.Add(policy.CallDuration + time.Duration(workers)*policy.PerWorker + ticketMargin)
}

// adviceRequest classifies the advice request in flight of a step. The zero value is a short one of a step that is on time
// or late.
type adviceRequest struct{ long, deferrable bool }

// adviceLoad counts the advice requests in flight.
type adviceLoad struct{ long, longDeferrable, deferrable int }

func (l *adviceLoad) add(r adviceRequest, n int) {
	if r.long {
		l.long += n
	}
	if r.deferrable {
		l.deferrable += n
	}
	if r.long && r.deferrable {
		l.longDeferrable += n
	}
}

// mayRequestAdvice reports whether a step may send an advice request with an expected response time. Steps that are on
// time or late may use all daemons but one for long requests. The others may use a part of them, or half while that is
// free, and have as many short requests in flight as there are daemons. While the pool has room for them, it is as many as
// the daemons answer until the next pass that includes these steps, as they would otherwise wait for the passes and not for
// capacity.
func (s *Scheduler) mayRequestAdvice(st *step, responseTime time.Duration) bool {
	isLong := responseTime > longAdviceTime
	if isLong && s.advice.long >= max(1, s.advisors-1) {
		return false
	}
	switch {
	case st.urgency <= late:
		return true
	case isLong:
		return s.advice.longDeferrable < max(1, s.advisors/deferrableAdviceShare) || s.advice.long < s.advisors/2
	}
	perDaemon := 1
	if responseTime > 0 && s.passUse.hasSpareCapacity(st) {
		perDaemon = max(1, int(lateStepsInterval/responseTime))
	}
	return s.advice.deferrable < s.advisors*perDaemon
}

// requestAdvice sends an advice request, unless one is in flight for the step or too many are in flight.
func (s *Scheduler) requestAdvice(st *step, policy *cluster.AdvicePolicy, workers []*worker) {
	responseTime := policy.CallDuration + time.Duration(len(workers))*policy.PerWorker
	if st.adviceInFlight || len(workers) == 0 || s.now.Before(st.nextAdviceAt) || !s.mayRequestAdvice(st, responseTime) {
		return
	}
	st.adviceRequest = adviceRequest{long: responseTime > longAdviceTime, deferrable: st.urgency > late}
	s.advice.add(st.adviceRequest, 1)
	st.adviceInFlight = true
	st.requestedWorkers = make([]requestedWorker, 0, len(workers))
	ids := make([]cluster.WorkerID, 0, len(workers))
	for _, w := range workers {
		st.requestedWorkers = append(st.requestedWorkers, requestedWorker{worker: w, incarnation: w.vm.Incarnation})
		w.adviceRequests++
		ids = append(ids, w.vm.ID)
	}
	s.emit(&RequestAdvice{Step: st.id, Workers: ids, ResponseTime: responseTime})
}

// adviceAnswered applies the reply to an advice request.
func (s *Scheduler) adviceAnswered(e *AdviceAnswered) {
	j := s.jobs[e.Step.Job]
	if j == nil || !s.isBuilt(j, e.Step.Occurrence) {
		return
	}
	st := j.steps[e.Step.Occurrence*len(j.spec.Steps)+e.Step.Step]
	requested := st.requestedWorkers
	st.adviceInFlight, st.requestedWorkers = false, nil
	s.advice.add(st.adviceRequest, -1)
	st.adviceRequest = adviceRequest{}
	for _, r := range requested {
		r.worker.adviceRequests--
	}
	if st.closed() {
		return
	}
	if e.Failed {
		st.nextAdviceAt = s.now.Add(adviceRetryDelay)
		return
	}
	s.cfg.Log.Debug().Str("job", string(e.Step.Job)).Int("step", e.Step.Step).Int("asked", len(requested)).
		Int("permits", len(e.Advice.Permits)).Msg("pool: advice received")
	s.storePermits(st, requested, e)
}

// storePermits stores the permits of a reply and the workers that the request named.
func (s *Scheduler) storePermits(st *step, requested []requestedWorker, e *AdviceAnswered) {
	if st.advisedWorkers == nil {
		st.advisedWorkers = map[*worker]platform.Incarnation{}
	}
	tickets := make(map[cluster.WorkerID]string, len(e.Advice.Permits))
	for _, p := range e.Advice.Permits {
		tickets[p.Worker] = p.Ticket
	}
	expiresAt := e.ReceivedAt.Add(e.Advice.ValidFor - ticketMargin)
	newlyAdvised, newlyPermitted := 0, 0
	for _, r := range requested {
		w := r.worker
		if s.workers[w.vm.ID] != w {
			continue // it has left the list
		}
		known, ok := st.advisedWorkers[w]
		isNew := !ok || known != r.incarnation
		st.advisedWorkers[w] = r.incarnation
		if isNew {
			newlyAdvised++
		}
		ticket, permitted := tickets[w.vm.ID]
		if !permitted {
			st.removePermit(w)
			continue
		}
		if isNew {
			newlyPermitted++
		}
		st.setPermit(permit{worker: w, incarnation: r.incarnation, ticket: ticket, expiresAt: expiresAt})
	}
	if newlyAdvised > 0 {
		share := s.permitShare(st)
		share += (float64(newlyPermitted)/float64(newlyAdvised) - share) * permitShareGain
		s.permitShares[st.job.spec.Queue] = max(share, minPermitShare)
	}
}

// minPermitShare bounds the average from below, as the size of an advice request is inversely proportional to
// it.
const minPermitShare = 0.05

func (st *step) setPermit(p permit) {
	for i := range st.permits {
		if st.permits[i].worker == p.worker {
			st.permits[i] = p
			return
		}
	}
	st.permits = append(st.permits, p)
}

// removePermit removes the permit for a worker that may no longer run the step.
func (st *step) removePermit(w *worker) {
	st.permits = slices.DeleteFunc(st.permits, func(p permit) bool { return p.worker == w })
}

// expirePermit marks the ticket for a worker as expired.
func (st *step) expirePermit(w *worker) {
	for i := range st.permits {
		if st.permits[i].worker == w {
			st.permits[i].expiresAt = time.Time{}
		}
	}
}
