package pool

import (
	"time"
)

// waitReportInterval is how long nothing of a due step may run while the pool has spare capacity before the step is
// logged, and the time between two such lines of a step.
const waitReportInterval = 5 * time.Second

// reportWaiting logs the due steps of which nothing has run for waitReportInterval although the pool has spare
// capacity.
func (s *Scheduler) reportWaiting(spareCapacity bool) {
	waiting := 0
	for _, st := range s.openSteps {
		if !spareCapacity || !st.isIdle() || !s.isDue(st) {
			st.idleSince, st.waitReportedAt = time.Time{}, time.Time{}
			continue
		}
		if st.idleSince.IsZero() {
			st.idleSince, st.waitReportedAt = s.now, s.now
		}
		if s.now.Sub(st.idleSince) < waitReportInterval {
			continue
		}
		waiting++
		if s.now.Sub(st.waitReportedAt) >= waitReportInterval {
			st.waitReportedAt = s.now
			s.logWaiting(st)
		}
	}
	s.metrics.waiting.Update(float64(waiting))
}

// isIdle reports whether no task of a step has a run; a gang is idle also while some of its members have none.
func (st *step) isIdle() bool {
	if st.spec.Gang {
		return st.pendingTasks > 0
	}
	return st.pendingTasks > 0 && st.pendingTasks == st.unfinishedTasks
}

func (s *Scheduler) logWaiting(st *step) {
	valid, fitting, fittingNow := 0, 0, 0
	for _, p := range st.permits {
		c, ok := s.candidate(st, p.worker)
		if !ok || !p.worker.inPlatformList {
			continue
		}
		fitting += c.taskCapacity
		if s.permitValid(p) {
			valid++
			fittingNow += c.taskCapacity
		}
	}
	u := s.team(st.job.spec.Team)
	line := s.cfg.Log.Warn().Str("job", string(st.id.Job)).Int("occurrence", st.id.Occurrence).Int("step", st.id.Step).Bool("gang", st.spec.Gang).
		Str("reason", s.waitReason(st, fittingNow)).Dur("idle", s.now.Sub(st.idleSince)).Int("pending", st.pendingTasks).Int("unfinished", st.unfinishedTasks).
		Uint64("run", uint64(st.gangRun)).Stringer("size", st.spec.Size).Str("team", string(st.job.spec.Team)).Stringer("teamUse", u.running)
	if team := s.snapshot.Teams[st.job.spec.Team]; team != nil {
		line = line.Stringer("teamLimit", team.Limit)
	}
	line.Int("permits", len(st.permits)).Int("validPermits", valid).Int("fitting", fitting).Int("fittingNow", fittingNow).Int("advisedWorkers", len(st.advisedWorkers)).
		Msg("pool: step waits although the pool has spare capacity")
}

// waitReason returns what keeps an idle step from starting. fitting is the number of its tasks that fit on the
// workers for which it has valid permits.
func (s *Scheduler) waitReason(st *step, fitting int) string {
	needed := 1
	if st.spec.Gang {
		needed = st.unfinishedTasks
	}
	switch {
	case st.job.possiblyRunning && !s.takeoverComplete:
		return "the previous owner may have started it"
	case s.terms(st.job).Service != s.cfg.Service:
		return "its queue has another service"
	case st.spec.Gang && (st.gangRun != 0 || st.pendingTasks < st.unfinishedTasks):
		return "runs of an earlier attempt have not ended"
	case !s.withinLimit(st, needed):
		return "the limit of its team is reached"
	case s.terms(st.job).Advice != nil && st.adviceInFlight:
		return "advice was requested"
	case s.terms(st.job).Advice != nil && fitting < needed:
		return "its valid permits do not suffice"
	}
	return "no capacity"
}
