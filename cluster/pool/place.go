package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// lateStepsInterval is the time between two placement passes that include the steps that are not on time, while many
	// steps wait and the last such pass was not cut short by the limit of unanswered start requests. Under overload they
	// are most of the waiting steps, and trying all of them in each pass would take the processor from the requests to the
	// workers.
	lateStepsInterval = 50 * time.Millisecond
	// manyWaitingSteps is the number of waiting steps from which that applies.
	manyWaitingSteps = 64
)

// place starts the tasks that can be started, in the order of compareSteps. Overdue steps, which come last, are
// started only while the pool has spare capacity.
func (s *Scheduler) place() {
	s.removeClosedSteps()
	s.metrics.open.Update(float64(len(s.openSteps)))
	if len(s.openSteps) == 0 {
		s.ready = nil
		s.metrics.waiting.Update(0)
		s.updateUseMetrics(nil, true)
		return
	}
	s.largestFree, s.use.free = cluster.Resources{}, cluster.Resources{}
	for _, w := range s.sortedWorkers {
		w.usable, w.reserved = s.isUsable(w), cluster.Resources{}
		if w.usable {
			s.largestFree = s.largestFree.Max(w.free())
			s.use.free = s.use.free.Add(w.free())
		}
	}
	s.estimateUnconfirmed()
	ready, complete := s.readySteps()
	s.updateUseMetrics(ready, complete)
	s.delayByUse(ready, complete)
	slices.SortFunc(ready, compareSteps)
	s.markMovedByUse(ready)
	s.reservations = 0
	for _, u := range s.teams {
		u.reservedFor, u.reserved = nil, cluster.Resources{}
	}
	s.passUse = s.poolUse()
	for _, st := range ready {
		if st.urgency == overdue && !s.passUse.hasSpareCapacity(st) {
			continue
		}
		if !s.mayStart() {
			if complete {
				s.lateStepsPlacedAt = time.Time{} // the pass may not have reached the late steps
			}
			break
		}
		if st.spec.Gang {
			s.placeGang(st)
		} else {
			s.placeTasks(st)
		}
	}
	s.reportWaiting()
}

// readySteps returns the steps that may start tasks in this pass, in no particular order, and whether these are all that
// may.
func (s *Scheduler) readySteps() (ready []*step, complete bool) {
	onTimeOnly := s.waitingSteps >= manyWaitingSteps && s.now.Sub(s.lateStepsPlacedAt) < lateStepsInterval
	if !onTimeOnly {
		s.lateStepsPlacedAt = s.now
	}
	s.waitingSteps = 0
	// The steps of the last pass may have ended.
	clear(s.ready)
	s.ready = s.ready[:0]
	for _, st := range s.openSteps {
		if st.pendingTasks == 0 || !s.startable(st) {
			continue
		}
		s.waitingSteps++
		st.urgency, st.rank = s.urgency(st), s.rank(st)
		if st.urgency <= onTime || !onTimeOnly {
			s.ready = append(s.ready, st)
		}
	}
	return s.ready, !onTimeOnly
}

// estimateUnconfirmed estimates what each team may be using on the inherited workers that have not listed all their
// runs: the sum of its pending tasks that the previous owner may have started, limited to the capacity of those workers.
func (s *Scheduler) estimateUnconfirmed() {
	for _, u := range s.teams {
		u.unconfirmed = cluster.Resources{}
	}
	if s.takeoverComplete {
		return
	}
	for _, st := range s.openSteps {
		if st.job.possiblyRunning {
			u := s.team(st.job.spec.Team)
			u.unconfirmed = u.unconfirmed.Add(st.spec.Size.Times(int64(st.pendingTasks)))
		}
	}
	var largest cluster.Resources
	for _, w := range s.sortedWorkers {
		largest = largest.Max(w.vm.Capacity)
	}
	maxUnconfirmed := largest.Times(int64(len(s.inheritedWorkers)))
	for _, u := range s.teams {
		u.unconfirmed = u.unconfirmed.Min(maxUnconfirmed)
	}
}

// startable reports whether the tasks of a step may be started now. A job whose queue has moved to another service stays
// here, as its progress is recorded here.
func (s *Scheduler) startable(st *step) bool {
	if st.job.possiblyRunning && !s.takeoverComplete {
		return false
	}
	return s.isDue(st)
}

// isDue reports whether the scheduled start of a step has passed and the steps that it depends on are done.
func (s *Scheduler) isDue(st *step) bool {
	if s.now.Before(st.scheduledStart) {
		return false
	}
	firstStep := st.id.Occurrence * len(st.job.spec.Steps)
	for _, dependency := range st.spec.After {
		if st.job.steps[firstStep+dependency].unfinishedTasks > 0 {
			return false
		}
	}
	return true
}

// urgency classifies steps by the value of starting them now; steps with a lower value are placed first.
type urgency int

const (
	// continuous is a step of long-running tasks: it has no deadline, and each moment without a task counts.
	continuous urgency = iota
	// onTime is a step that can still meet its deadline.
	onTime
	// late is a step that misses its deadline but whose result is still useful.
	late
	// surplus is a step of a job above the job rate of its team.
	surplus
	// overdue is a step whose result is of no more use to the caller; it runs only while the pool has spare
	// capacity.
	overdue
)

var urgencyNames = [...]string{"continuous", "on time", "late", "surplus", "overdue"}

// String returns the urgency's name.
func (u urgency) String() string { return urgencyNames[u] }

const (
	// overdueFactor is the multiple of the time between release and deadline after which a step is overdue.
	overdueFactor = 3
	// maxSpareUtilization is the utilization of the pool below which overdue steps are started.
	maxSpareUtilization = 0.6
)

func (s *Scheduler) urgency(st *step) urgency {
	expectedEnd := s.now.Add(st.job.criticalPaths[st.id.Step])
	allowedTime := st.deadline.Sub(st.releaseTime)
	switch {
	case st.spec.LongRunning:
		return continuous
	case expectedEnd.After(st.releaseTime.Add(overdueFactor * allowedTime)):
		return overdue
	case st.job.surplus:
		return surplus
	case expectedEnd.After(st.deadline):
		return late
	}
	return onTime
}

// compareSteps orders steps by urgency, then by the rank of their queue, then by deadline, which the use of their teams
// may have moved back; identifiers break ties.
func compareSteps(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.rank, b.rank),
		a.orderDeadline.Compare(b.orderDeadline),
		cmp.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

func (s *Scheduler) rank(st *step) int { return s.terms(st.job).Rank }

// poolUse is the capacity of the usable workers and the part of it that is used.
type poolUse struct{ used, capacity cluster.Resources }

func (s *Scheduler) poolUse() poolUse {
	var u poolUse
	for _, w := range s.sortedWorkers {
		if w.usable {
			u.used, u.capacity = u.used.Add(w.used), u.capacity.Add(w.vm.Capacity)
		}
	}
	return u
}

// utilization returns the used share of the capacity, of the resource that a step needs and that is used most.
func (u poolUse) utilization(st *step) float64 {
	used, size := u.used, accountedSize(st.spec)
	if size.CPU == 0 {
		used.CPU = 0
	}
	if size.Memory == 0 {
		used.Memory = 0
	}
	if size.Accelerators == 0 {
		used.Accelerators = 0
	}
	return used.DominantShare(u.capacity)
}

// hasSpareCapacity reports whether the utilization of the pool is so low that an overdue step does not delay others.
func (u poolUse) hasSpareCapacity(st *step) bool { return u.utilization(st) < maxSpareUtilization }

// candidate is a worker that may run a step, with the ticket for it.
type candidate struct {
	worker       *worker
	ticket       string
	taskCapacity int
	// score orders the workers of an advice request, lowest first.
	score float64
}

// candidates returns the workers that may start tasks of a step now.
func (s *Scheduler) candidates(st *step) []candidate {
	terms := s.terms(st.job)
	if terms.Advice == nil {
		return s.allCandidates(st)
	}
	found := make([]candidate, 0, len(st.permits))
	for _, p := range st.permits {
		if !s.permitValid(p) {
			continue
		}
		if c, ok := s.candidate(st, p.worker); ok {
			c.ticket = p.ticket
			found = append(found, c)
		}
	}
	return found
}

// allCandidates returns the candidates among all workers.
func (s *Scheduler) allCandidates(st *step) []candidate {
	var found []candidate
	for _, w := range s.sortedWorkers {
		if c, ok := s.candidate(st, w); ok {
			found = append(found, c)
		}
	}
	return found
}

// candidate returns a worker as a candidate for a step, and false if no task of the step may start on it now.
func (s *Scheduler) candidate(st *step, w *worker) (candidate, bool) {
	if !w.usable || !hasLabel(st, w) {
		return candidate{}, false
	}
	n := taskCapacity(w.free(), accountedSize(st.spec))
	if st.spec.MaxPerWorker > 0 {
		n = min(n, st.spec.MaxPerWorker-s.countRuns(w, st))
	}
	if n <= 0 {
		return candidate{}, false
	}
	return candidate{worker: w, taskCapacity: n}, true
}

// countRuns returns the number of runs of a step on a worker.
func (s *Scheduler) countRuns(w *worker, st *step) int {
	n := 0
	for _, r := range w.runs {
		if r.step == st {
			n++
		}
	}
	return n
}

// taskCapacity returns how many tasks of a size fit into the free resources.
func taskCapacity(free, size cluster.Resources) int {
	n := int64(maxTaskCapacity)
	if size.CPU > 0 {
		n = min(n, int64(free.CPU/size.CPU))
	}
	if size.Memory > 0 {
		n = min(n, int64(free.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return int(max(0, n))
}

// maxTaskCapacity bounds the tasks of one step on one worker if they use no resources.
const maxTaskCapacity = 64

// placeTasks starts as many pending tasks as fit. While long-running tasks do not fit, smaller tasks that come later
// leave them what becomes free.
func (s *Scheduler) placeTasks(st *step) {
	var found []candidate
	if s.mayFit(st) {
		found = s.candidates(st)
	}
	for index := range st.tasks {
		t := &st.tasks[index]
		if t.done || t.run != nil || t.isDelayed(s.now) {
			continue
		}
		if !s.mayStart() {
			return
		}
		if !s.fitsLimit(st, 1) {
			s.reserveLimit(st, 1, limitReservationTime)
			return
		}
		best := s.bestFit(st, found)
		if best < 0 {
			s.reportShort(st, 1)
			break
		}
		c := &found[best]
		s.startTask(c.worker, st, index, s.nextRunNumber(), c.ticket)
		c.taskCapacity--
	}
	if st.pendingTasks > 0 {
		if s.mayFit(st) {
			s.requestMissingAdvice(st, st.pendingTasks)
		}
		if st.spec.LongRunning && st.spec.MaxPerWorker == 0 {
			s.reserve(st, st.pendingTasks)
		}
	}
}

// mayFit reports whether a task of a step may fit on a worker. If not, a search through all workers finds none.
func (s *Scheduler) mayFit(st *step) bool { return accountedSize(st.spec).Fits(s.largestFree) }

// bestFit returns the index of the candidate with the lowest score, or -1 if none is left.
func (s *Scheduler) bestFit(st *step, found []candidate) int {
	best, bestScore := -1, 0.0
	for i := range found {
		c := &found[i]
		if c.taskCapacity <= 0 {
			continue
		}
		score := s.score(st, c.worker)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// score rates a worker for a task of a step, lower is better: on the rack that holds the data, fast, and with
// little capacity left over.
func (s *Scheduler) score(st *step, w *worker) float64 {
	rest := w.free().Sub(accountedSize(st.spec))
	score := rest.DominantShare(w.vm.Capacity)
	if st.spec.Affinity != "" && st.spec.Affinity != w.rack {
		score += remoteCost
	}
	return score + slowCost*(w.slowness-1)
}

const (
	// remoteCost outweighs any difference in free capacity, as tasks that are not in the rack of their data run
	// several times as long.
	remoteCost = 2
	// slowCost is the cost of a worker on which tasks take twice as long; 1 corresponds to the whole capacity
	// of the worker.
	slowCost = 1
)

// placeGang starts all tasks of a gang or none. While they do not fit, it reserves the free capacity of the
// permitted workers, unless the listed workers can't run the gang at all.
func (s *Scheduler) placeGang(st *step) {
	if st.pendingTasks < st.unfinishedTasks || st.gangRun != 0 {
		return // the gang runs, or runs of an earlier attempt have not ended yet
	}
	found := s.candidates(st)
	need := st.unfinishedTasks
	for i := range st.tasks {
		if st.tasks[i].isDelayed(s.now) {
			return
		}
	}
	if !s.fitsLimit(st, need) {
		s.reserveLimit(st, need, limitReservationTime)
		return
	}
	fitting := 0
	for _, c := range found {
		fitting += c.taskCapacity
	}
	if fitting < need {
		if s.attainable(st, need) < need {
			return
		}
		s.reportShort(st, need)
		if !st.limitWaitSince.IsZero() {
			s.reserveLimit(st, need, limitCapacityWait)
		}
		s.requestMissingAdvice(st, need)
		s.preempt(st, need)
		if s.reserve(st, need) {
			s.refreshAdvice(st)
		}
		return
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(s.score(st, a.worker), s.score(st, b.worker)) })
	number := s.nextRunNumber()
	st.gangRun = number
	index := 0
	for _, c := range found {
		for ; c.taskCapacity > 0 && index < len(st.tasks); index++ {
			if st.tasks[index].done {
				continue
			}
			s.startTask(c.worker, st, index, number, c.ticket)
			c.taskCapacity--
		}
	}
}

// permittedWorkers returns the workers that may run a step, including those with an expired ticket.
func (s *Scheduler) permittedWorkers(st *step) []*worker {
	if s.terms(st.job).Advice == nil {
		return s.sortedWorkers
	}
	list := make([]*worker, 0, len(st.permits))
	for _, p := range st.permits {
		if p.incarnation == p.worker.vm.Incarnation {
			list = append(list, p.worker)
		}
	}
	return list
}
