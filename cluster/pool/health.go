package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// quarantineFailures is the number of consecutive failed runs of different jobs after which a worker is
	// quarantined.
	quarantineFailures = 3
	// quarantineTime is how long a quarantined worker gets no new tasks; after it, a single failure quarantines
	// the worker again.
	quarantineTime = 5 * time.Second
	// learningRate is the weight of a new observation in the moving average of a worker's slowness; in the
	// average of a queue, which all its workers contribute to, it is a quarter of that.
	learningRate = 0.2
)

// countWorkerFailure counts a failed run against its worker; consecutive failures of one job count once.
func (s *Scheduler) countWorkerFailure(w *worker, j *job) {
	if w.lastFailedJob == j.spec.ID {
		return
	}
	w.lastFailedJob = j.spec.ID
	w.consecutiveFailures++
	if w.consecutiveFailures >= quarantineFailures {
		w.consecutiveFailures = quarantineFailures - 1
		s.quarantine(w, quarantineTime)
	}
}

// quarantine gives a worker no new tasks for a time.
func (s *Scheduler) quarantine(w *worker, d time.Duration) {
	w.quarantinedUntil = s.now.Add(d)
	s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Dur("for", d).Int("failures", w.consecutiveFailures).Msg("pool: worker quarantined; it gets no new tasks")
}

// quarantineUnresponsive quarantines a worker that did not get a request or did not reply, unless the owner's own link or
// processor is the cause.
func (s *Scheduler) quarantineUnresponsive(w *worker, d time.Duration) {
	if !s.congested {
		s.quarantine(w, d)
	}
}

// observeEnd updates the moving averages of how long the tasks of a queue take relative to their estimates, and
// of how slow the worker is, from a finished run.
func (s *Scheduler) observeEnd(r *run, outcome platform.RunOutcome) {
	if outcome != platform.RunDone {
		return
	}
	r.worker.consecutiveFailures, r.worker.lastFailedJob = 0, ""
	estimate := r.step.spec.Estimate
	if estimate <= 0 || r.confirmedAt.IsZero() || r.confirmedAt.Before(r.startSentAt) {
		return
	}
	s.countEndedRun(r, s.now.Sub(r.startSentAt))
	ratio := float64(s.now.Sub(r.startSentAt)) / float64(estimate)
	queue := r.step.job.spec.Queue
	if mean := s.durationRatios[queue]; mean == 0 {
		s.durationRatios[queue] = ratio
	} else {
		s.durationRatios[queue] = mean + (ratio-mean)*learningRate/4
		r.worker.slowness += (min(4, ratio/mean) - r.worker.slowness) * learningRate
	}
}
