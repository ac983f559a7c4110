package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// quarantineFailures is the number of consecutive failed runs of different jobs after which a worker is
	// quarantined.
	failuresInRow = 3
	// quarantineTime is how long a quarantined worker gets no new tasks; after it, a single failure quarantines
	// the worker again.
	quarantineTime = 5 * time.Second
	// learningRate is the weight of a new observation in the moving averages.
	speedGain = 0.2
)

// workerFailed counts a failed run against its worker; consecutive failures of one job count once.
func (s *Scheduler) workerFailed(w *worker, j *job) {
	if w.lastFailure == j.spec.ID {
		return
	}
	w.lastFailure = j.spec.ID
	w.failures++
	if w.failures >= failuresInRow {
		w.failures = failuresInRow - 1
		s.quarantine(w, quarantineTime)
	}
}

func (s *Scheduler) quarantine(w *worker, d time.Duration) {
	w.quarantined = s.now.Add(d)
	s.cfg.Log.Warn().Str("worker", string(w.vm.ID)).Dur("for", d).Int("failures", w.failures).Msg("pool: worker quarantined; it gets no new tasks")
}

// observeEnd updates the moving averages of how long the tasks of a queue take relative to their estimates, and
// of how slow the worker is, from a finished run.
func (s *Scheduler) observeEnd(r *run, outcome platform.RunOutcome) {
	if outcome != platform.RunDone {
		return
	}
	r.worker.failures, r.worker.lastFailure = 0, ""
	estimate := r.step.spec.Estimate
	if estimate <= 0 || r.confirmed.IsZero() || r.confirmed.Before(r.sent) {
		return
	}
	ratio := float64(s.now.Sub(r.sent)) / float64(estimate)
	queue := r.step.job.spec.Queue
	if mean := s.durations[queue]; mean == 0 {
		s.durations[queue] = ratio
	} else {
		s.durations[queue] = mean + (ratio-mean)*speedGain/4
		r.worker.speed += (min(4, ratio/mean) - r.worker.speed) * speedGain
	}
}
