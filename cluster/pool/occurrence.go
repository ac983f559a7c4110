package pool

import (
	"slices"
	"time"
)

// releaseInterval is the time between two searches for ended occurrences whose steps can be released.
const releaseInterval = time.Second

// endedOccurrence is an occurrence without open tasks whose steps are to be released.
type endedOccurrence struct {
	job   *job
	index int
}

// buildDueOccurrences creates the steps of the occurrences of a job that are due. Beyond the first, an occurrence that
// overlaps others waits until there is memory for it. It returns false if there are occurrences that are not due or wait.
func (s *Scheduler) buildDueOccurrences(j *job) bool {
	for ; j.nextOccurrence < j.spec.Occurrences(); j.nextOccurrence++ {
		if s.now.Before(j.spec.OccurrenceStart(j.nextOccurrence)) {
			return false
		}
		if s.isBuilt(j, j.nextOccurrence) || j.isOccurrenceDone(j.nextOccurrence) {
			continue
		}
		if j.builtOccurrences > 0 && !s.cfg.Quota.HasRoom(j.spec.Team, occurrenceMemory(j.spec)) {
			return false
		}
		s.buildOccurrence(j, j.nextOccurrence)
	}
	return true
}

// buildScheduled creates the steps of the occurrences that have become due.
func (s *Scheduler) buildScheduled() {
	s.scheduledJobs = slices.DeleteFunc(s.scheduledJobs, func(j *job) bool {
		return j.progress.State.Final() || s.buildDueOccurrences(j)
	})
}

func (s *Scheduler) isBuilt(j *job, occurrence int) bool {
	return len(j.steps) > 0 && j.steps[occurrence*len(j.spec.Steps)] != nil
}

// isOccurrenceDone reports whether all tasks of an occurrence are recorded as done.
func (j *job) isOccurrenceDone(occurrence int) bool {
	tasks := j.spec.TasksPerOccurrence()
	for index := occurrence * tasks; index < (occurrence+1)*tasks; index++ {
		if !j.progress.IsDone(index) {
			return false
		}
	}
	return true
}

// countUnfinishedTasks sets the number of tasks that are not recorded as done.
func (s *Scheduler) countUnfinishedTasks(j *job) {
	total := j.spec.TasksPerOccurrence() * j.spec.Occurrences()
	j.unfinishedTasks = total
	for index := range min(total, 8*len(j.progress.Done)) {
		if j.progress.IsDone(index) {
			j.unfinishedTasks--
		}
	}
	if j.unfinishedTasks < total {
		s.markStarted(j)
	}
}

// buildOccurrence creates the steps of an occurrence of a job from its specification and recorded progress.
func (s *Scheduler) buildOccurrence(j *job, occurrence int) {
	if len(j.steps) == 0 {
		j.steps = make([]*step, len(j.spec.Steps)*j.spec.Occurrences())
	}
	if j.builtOccurrences++; j.builtOccurrences > 1 {
		s.cfg.Quota.Grow(s.now, j.spec.ID, occurrenceMemory(j.spec))
	}
	open := false
	for i := range j.spec.Steps {
		st := &step{
			id: StepID{Job: j.spec.ID, Occurrence: occurrence, Step: i}, job: j, spec: &j.spec.Steps[i],
			tasks: make([]task, j.spec.Steps[i].Tasks), scheduledStart: j.spec.OccurrenceStart(occurrence),
		}
		s.setDeadline(st)
		first := j.spec.TaskIndex(st.taskID(0))
		for k := range st.tasks {
			if st.tasks[k].done = j.progress.IsDone(first + k); !st.tasks[k].done {
				st.unfinishedTasks++
			}
		}
		st.pendingTasks = st.unfinishedTasks
		j.steps[occurrence*len(j.spec.Steps)+i] = st
		if !st.closed() {
			open = true
			s.openSteps = append(s.openSteps, st)
		}
	}
	if !open {
		s.occurrenceEnded(j, occurrence)
	}
}

// occurrenceEnded notes that no task of an occurrence is to be started any more.
func (s *Scheduler) occurrenceEnded(j *job, occurrence int) {
	s.endedOccurrences = append(s.endedOccurrences, endedOccurrence{job: j, index: occurrence})
}

// checkOccurrenceEnded notes the end of an occurrence if all tasks of its steps are done.
func (s *Scheduler) checkOccurrenceEnded(st *step) {
	n := len(st.job.spec.Steps)
	first := st.id.Occurrence * n
	for _, other := range st.job.steps[first : first+n] {
		if other.unfinishedTasks > 0 {
			return
		}
	}
	s.occurrenceEnded(st.job, st.id.Occurrence)
}

// releaseEnded releases the steps of ended occurrences, which are created again if a worker reports one of their runs, and
// the specifications of jobs whose end is recorded.
func (s *Scheduler) releaseEnded() {
	if s.now.Sub(s.releasedAt) < releaseInterval {
		return
	}
	s.releasedAt = s.now
	// Placement, which drops closed steps, does not run while the owner is suspended.
	s.removeClosedSteps()
	s.endedOccurrences = shrink(slices.DeleteFunc(s.endedOccurrences, func(o endedOccurrence) bool { return s.releaseOccurrence(o.job, o.index) }))
}

// shrink returns the list without most of its unused capacity if that is large.
func shrink[T any](list []T) []T {
	const minCapacity = 1024
	if cap(list) < minCapacity || len(list) > cap(list)/4 {
		return list
	}
	return append(make([]T, 0, 2*len(list)), list...)
}

// releaseOccurrence releases the steps of an occurrence, and the payload of its job if that has ended. It returns false if
// they are still needed.
func (s *Scheduler) releaseOccurrence(j *job, occurrence int) bool {
	ended := j.progress.State.Final()
	if ended && !j.visibleState.Final() {
		return false // the end is not recorded
	}
	if s.isBuilt(j, occurrence) {
		first := occurrence * len(j.spec.Steps)
		steps := j.steps[first : first+len(j.spec.Steps)]
		if slices.ContainsFunc(steps, (*step).isNeeded) {
			return false
		}
		clear(steps)
		if j.builtOccurrences--; j.builtOccurrences > 0 {
			s.cfg.Quota.Grow(s.now, j.spec.ID, -occurrenceMemory(j.spec))
		}
	}
	if ended && j.builtOccurrences == 0 {
		s.releaseJob(j)
	}
	return true
}

// isNeeded reports whether a step may still change: its tasks are to be started, or a request about it is in flight.
func (st *step) isNeeded() bool { return !st.closed() || st.adviceInFlight || st.oldestRun() != nil }

// releaseJob releases what is only needed to run a job.
func (s *Scheduler) releaseJob(j *job) {
	if j.steps == nil && j.released {
		return
	}
	j.steps, j.criticalPaths, j.released = nil, nil, true
	j.spec = j.spec.WithoutPayload()
	s.cfg.Quota.Set(s.now, j.spec.ID, j.spec.Team, EndedJobMemory(j.spec))
}

// setDeadline sets the release time and the deadline of a step from the terms of its queue.
func (s *Scheduler) setDeadline(st *step) {
	st.releaseTime = st.scheduledStart
	if st.releaseTime.IsZero() {
		st.releaseTime = st.job.spec.AcceptedAt
	}
	st.deadline = s.deadline(st.job, st.releaseTime)
}

// deadline returns the deadline of an occurrence of a job.
func (s *Scheduler) deadline(j *job, releaseTime time.Time) time.Time {
	terms := s.terms(j)
	return releaseTime.Add(time.Duration(terms.Stretch*float64(j.longestPath)) + terms.Target)
}
