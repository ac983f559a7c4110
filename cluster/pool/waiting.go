package pool

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// waitReportInterval is how long nothing of a due step may run while the pool has spare capacity before the step is
// logged, and the time between two such lines of a step.
const waitReportInterval = 2 * time.Second

// waitCheckInterval is the time between two searches for waiting steps.
const waitCheckInterval = 250 * time.Millisecond

// maxWaitReports bounds the steps that are logged in one pass; the others follow in the next ones.
const maxWaitReports = 5

// reportWaiting logs the steps that may start and of which nothing has run for waitReportInterval although the pool has
// spare capacity. Steps that wait for the end of a takeover are left out.
func (s *Scheduler) reportWaiting() {
	if s.now.Sub(s.waitingCheckedAt) < waitCheckInterval {
		return
	}
	s.waitingCheckedAt = s.now
	waiting, reports, pool := 0, 0, s.poolUse()
	for _, st := range s.openSteps {
		if !st.isIdle() || !pool.hasSpareCapacity(st) || !s.startable(st) {
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
		if reports < maxWaitReports && s.now.Sub(st.waitReportedAt) >= waitReportInterval {
			reports++
			st.waitReportedAt = s.now
			s.logWaiting(st, pool.utilization(st))
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

func (s *Scheduler) logWaiting(st *step, utilization float64) {
	valid, fitting, fittingNow, fittingUnreserved := 0, 0, 0, 0
	for _, p := range st.permits {
		if !p.worker.inPlatformList {
			continue
		}
		reserved := p.worker.reserved
		p.worker.reserved = cluster.Resources{}
		if c, ok := s.candidate(st, p.worker); ok {
			fittingUnreserved += c.taskCapacity
		}
		p.worker.reserved = reserved
		c, ok := s.candidate(st, p.worker)
		if !ok {
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
		Str("reason", s.waitReason(st, fittingNow, fittingUnreserved)).Dur("idle", s.now.Sub(st.idleSince)).Stringer("urgency", s.urgency(st)).
		Float64("utilization", utilization).Int("reservations", s.reservations).Int("pending", st.pendingTasks).Int("unfinished", st.unfinishedTasks).
		Uint64("run", uint64(st.gangRun)).Stringer("size", st.spec.Size).Str("team", string(st.job.spec.Team)).Stringer("teamUse", u.running)
	if team := s.snapshot.Teams[st.job.spec.Team]; team != nil {
		line = line.Stringer("teamLimit", team.Limit)
	}
	if u.reservedFor != nil {
		line = line.Str("limitReservedFor", string(u.reservedFor.id.Job)).Stringer("reservedLimit", u.reserved)
	}
	if r := st.oldestRun(); r != nil {
		line = line.Str("worker", string(r.worker.vm.ID)).Stringer("state", r.state).Bool("inSync", r.worker.inSync).
			Dur("runAge", s.now.Sub(r.startSentAt)).Dur("leaseLeft", r.worker.leaseExpiry.Sub(s.now))
	}
	line.Int("permits", len(st.permits)).Int("validPermits", valid).Int("fitting", fitting).Int("fittingNow", fittingNow).
		Int("fittingUnreserved", fittingUnreserved).Int("advisedWorkers", len(st.advisedWorkers)).
		Msg("pool: step waits although the pool has spare capacity")
}

// oldestRun returns the run of a step that was started first, or nil if it has none.
func (st *step) oldestRun() *run {
	var oldest *run
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && (oldest == nil || r.startSentAt.Before(oldest.startSentAt)) {
			oldest = r
		}
	}
	return oldest
}

// waitReason returns what keeps an idle step from starting. fitting is the number of its tasks that fit on the workers
// for which it has valid permits, fittingUnreserved the number that would fit on all its permitted workers if no gang
// had reserved capacity there.
func (s *Scheduler) waitReason(st *step, fitting, fittingUnreserved int) string {
	needed := 1
	if st.spec.Gang {
		needed = st.unfinishedTasks
	}
	needsAdvice := s.terms(st.job).Advice != nil
	u := s.team(st.job.spec.Team)
	switch {
	case !s.evacuationsKnown():
		return "the evacuated zones have not been read"
	case st.spec.Gang && (st.gangRun != 0 || st.pendingTasks < st.unfinishedTasks):
		return "runs of an earlier attempt have not ended"
	case st.isDelayed(s.now):
		return "a start was refused"
	case s.fitsWholeLimit(st, needed) && s.attainable(st, needed) < needed:
		return "the listed workers can't run it"
	case !s.withinLimit(st, needed) && u.reservedFor != nil && u.reservedFor != st:
		return "the limit of its team is reserved for another step"
	case !s.withinLimit(st, needed):
		return "the limit of its team is reached"
	case needsAdvice && st.adviceInFlight:
		return "advice was requested"
	case needsAdvice && fitting < needed && fittingUnreserved >= needed:
		return "its valid permits do not suffice, as permits have expired or capacity is reserved for other gangs"
	case needsAdvice && fitting < needed:
		return "its valid permits do not suffice"
	}
	return "no capacity"
}

// isDelayed reports whether a task of a step may not be started again yet.
func (st *step) isDelayed(now time.Time) bool {
	return slices.ContainsFunc(st.tasks, func(t task) bool { return !t.done && t.isDelayed(now) })
}
