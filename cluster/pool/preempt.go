package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptInterval is how long a step waits for the capacity of the tasks that were stopped for it before
	// more are stopped.
	preemptInterval = 2 * time.Second
	// victimSearchInterval is the time between two searches for tasks that can be stopped for a step. A search looks at
	// all runs on the permitted workers.
	victimSearchInterval = 50 * time.Millisecond
	// victimSlack is the time that a job must have left until its deadline for its tasks to be preempted.
	victimSlack = 3 * time.Second
)

// preemption is a worker with the runs on it that can be preempted for a gang.
type preemption struct {
	worker  *worker
	victims []*run
	// taskCapacity is the number of tasks of the gang that fit without the victims.
	taskCapacity int
}

// preempt stops checkpointing tasks of queues with lower precedence than the gang's queue if the gang then fits,
// and none otherwise.
func (s *Scheduler) preempt(st *step, need int) {
	if st.urgency > onTime || s.now.Before(st.preemptedAt.Add(preemptInterval)) || s.now.Before(st.nextVictimSearchAt) {
		return
	}
	st.nextVictimSearchAt = s.now.Add(victimSearchInterval)
	size := accountedSize(st.spec)
	var plan []preemption
	fitting, victims := 0, 0
	for _, w := range s.permittedWorkers(st) {
		attainable := s.attainableOn(st, w)
		if !w.usable || attainable == 0 {
			continue
		}
		free := w.free()
		p := preemption{worker: w}
		for _, r := range w.runs {
			switch {
			case r.state == runStopping:
				free = free.Add(r.size)
			case s.preemptible(r, st):
				p.victims = append(p.victims, r)
			}
		}
		slices.SortFunc(p.victims, compareRuns)
		fittingNow := min(attainable, taskCapacity(free, size))
		for _, r := range p.victims {
			free = free.Add(r.size)
		}
		p.taskCapacity = min(attainable, taskCapacity(free, size))
		if p.taskCapacity == fittingNow {
			p.victims = nil
		}
		victims += len(p.victims)
		if p.taskCapacity > 0 {
			fitting += p.taskCapacity
			plan = append(plan, p)
		}
	}
	if fitting < need || victims == 0 {
		return
	}
	st.preemptedAt = s.now
	s.stopVictims(st, plan, need)
}

// preemptible reports whether a run may be stopped for a step.
func (s *Scheduler) preemptible(r *run, st *step) bool {
	return r.state == runActive && r.step.spec.Checkpoints && !r.step.spec.Gang && s.rank(r.step) > s.rank(st) &&
		s.now.Add(r.step.job.criticalPaths[r.step.id.Step]+victimSlack).Before(r.step.deadline)
}

// stopVictims stops no more runs than the gang needs, starting with the workers that need the fewest stops and
// then those that fit the most tasks.
func (s *Scheduler) stopVictims(st *step, plan []preemption, need int) {
	slices.SortStableFunc(plan, func(a, b preemption) int {
		return cmp.Or(cmp.Compare(len(a.victims), len(b.victims)), cmp.Compare(b.taskCapacity, a.taskCapacity))
	})
	st.preemptedWorkers = st.preemptedWorkers[:0]
	stopped := 0
	for _, p := range plan {
		if need <= 0 {
			break
		}
		need -= p.taskCapacity
		st.preemptedWorkers = append(st.preemptedWorkers, p.worker)
		for _, r := range p.victims {
			s.stopRun(r)
			stopped++
		}
	}
	s.metrics.preempted.Inc(int64(stopped))
	s.cfg.Log.Info().Str("job", string(st.id.Job)).Int("step", st.id.Step).Int("stopped", stopped).Int("workers", len(st.preemptedWorkers)).
		Dur("waited", s.now.Sub(st.job.arrivedAt)).Msg("pool: preempted tasks of queues with lower precedence for a gang")
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
