package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// lossReason is why a run counts as over although its end was not reported.
type lossReason int

const (
	lostByRestart lossReason = iota
	lostByLease
	lostByRefusal
	lostByAbsence
	numLossReasons
)

var lossReasonNames = [...]string{"worker restarted", "lease expired", "start refused", "absent from the hold reply"}

// String returns the reason as it is logged.
func (r lossReason) String() string { return lossReasonNames[r] }

// evidence is an observation after which a run may be over although its end was not reported: one of the types below.
type evidence interface{ lossReason() lossReason }

// restartEvidence means that the worker of the run has restarted.
type restartEvidence struct{}

// leaseEvidence means that the worker is out of sync and its leases have expired.
type leaseEvidence struct{}

// refusalEvidence means that a start request of the run was refused or could not be sent.
type refusalEvidence struct{}

// absenceEvidence means that the running runs in the reply to a hold call sent at sentAt do not include the run.
type absenceEvidence struct {
	sentAt time.Time
	reply  *platform.HoldReply
}

func (restartEvidence) lossReason() lossReason { return lostByRestart }
func (leaseEvidence) lossReason() lossReason   { return lostByLease }
func (refusalEvidence) lossReason() lossReason { return lostByRefusal }
func (absenceEvidence) lossReason() lossReason { return lostByAbsence }

// provesOver reports whether a run is surely over, so that its task may start again: the worker neither has the run nor
// can still execute a start request of it.
func (s *Scheduler) provesOver(r *run, e evidence) bool {
	switch v := e.(type) {
	case restartEvidence:
		return r.reportedByWorker && r.unansweredStarts == 0
	case leaseEvidence:
		return !s.awaitsEnd(r)
	case refusalEvidence:
		return r.unansweredStarts == 0
	case absenceEvidence:
		// The run may have ended after the last end in a cut list.
		return !v.reply.MoreEnds && (r.absenceMeansEnded(v.sentAt) || r.startIsTooLate(v.reply))
	}
	return false
}

// loseIfOver releases a run if the evidence proves that it is over, and reports whether it does.
func (s *Scheduler) loseIfOver(r *run, e evidence) bool {
	if !s.provesOver(r, e) {
		return false
	}
	s.markLost(r, e.lossReason())
	return true
}

// lostRun is the last run of a task that was lost. If the worker reports the run afterwards, the loss was wrong, or the
// run went on until its lease expired.
type lostRun struct {
	number platform.RunNumber
	reason lossReason
	lostAt time.Time
}

// markLost releases a run whose end was not reported; a gang can't continue without it.
func (s *Scheduler) markLost(r *run, reason lossReason) {
	s.cfg.Log.Info().Str("job", string(r.id.Job)).Stringer("task", r.id).Uint64("run", uint64(r.number)).
		Str("worker", string(r.worker.vm.ID)).Stringer("state", r.state).Stringer("reason", reason).Bool("repeated", r.startRepeated).
		Bool("listed", r.worker.inPlatformList).Dur("sinceHeartbeat", s.now.Sub(r.worker.heartbeatSeenAt)).Msg("pool: run lost")
	s.metrics.lost[reason].Inc(1)
	r.step.tasks[r.id.Index].changeHistory().lost = lostRun{number: r.number, reason: reason, lostAt: s.now}
	s.releaseRun(r)
	if st := r.step; st.spec.Gang && st.gangRun == r.number {
		s.abortGang(st, reason.String(), r.id, r.worker.vm.ID)
	}
}

// lostRunReported logs and counts that a worker reports a run that counted as lost.
func (s *Scheduler) lostRunReported(w *worker, st *step, task string, index int, number platform.RunNumber, state string) {
	t := &st.tasks[index]
	lost := t.lost()
	if lost.number == 0 || lost.number != number {
		return
	}
	s.cfg.Log.Warn().Str("job", string(st.id.Job)).Str("task", task).Uint64("run", uint64(number)).Str("worker", string(w.vm.ID)).
		Str("state", state).Stringer("reason", lost.reason).Dur("sinceLoss", s.now.Sub(lost.lostAt)).Bool("startedAgain", t.run != nil).
		Msg("pool: a worker reports a run that counted as lost")
	s.metrics.reportedLost[lost.reason].Inc(1)
}
