package pool

import "time"

const (
	// minStallTime is the shortest time without progress after which a run counts as stalled.
	minStallTime = 2500 * time.Millisecond
	// stallIntervals is the multiple of the longest time between two changes of the percent, of the run or of other runs
	// of its step, after which a run without a change counts as stalled.
	stallIntervals = 2.5
	// stallShare is the part of a run's expected time after which it counts as stalled if no run of its step has
	// progressed: the percent is a whole number and changes once in a hundredth of that time.
	stallShare = 0.03
	// unknownStallFactor is the multiple of stallShare and of minStallTime that applies while it is not known either how
	// far off the declared times of the queue are.
	unknownStallFactor = 4
	// maxStallDoublings bounds how often the limit of a step is doubled.
	maxStallDoublings = 6
	// workersPerStallQuarantine is the number of workers in the pool for each one that a stalled job may quarantine.
	workersPerStallQuarantine = 8
)

// stalled reports whether a run makes no progress on a worker that is in sync. A member of a gang that has
// finished its own work waits for the others and does not count as stalled, nor does a run that may have ended.
func (s *Scheduler) stalled(r *run) bool {
	if r.state != runActive || r.step.spec.LongRunning || r.step.spec.BestEffortCPU || !r.worker.inSync || r.worker.moreEnds || r.percent >= 100 {
		return false
	}
	still := s.now.Sub(r.progressedAt)
	return still > minStallTime && still > s.stallLimit(r)
}

// stallLimit returns for how long a run may report the same percent. The declared time may be far off and the percent
// coarse, so that a run that has never progressed shows nothing by itself: the limit doubles for the runs of
// the step that start after such a run was stopped.
func (s *Scheduler) stallLimit(r *run) time.Duration {
	st := r.step
	if r.progressInterval > 0 {
		return progressLimit(max(r.progressInterval, st.progressInterval))
	}
	if st.progressInterval > 0 {
		return progressLimit(st.progressInterval) << r.stallDoublings
	}
	expected := time.Duration(stallShare * float64(st.spec.Estimate))
	if ratio := s.durationRatios[st.job.spec.Queue]; ratio > 0 {
		return max(minStallTime, time.Duration(float64(expected)*max(1, ratio))) << r.stallDoublings
	}
	return unknownStallFactor * max(minStallTime, expected) << r.stallDoublings
}

// progressLimit returns the limit for a run whose percent changes at an interval.
func progressLimit(interval time.Duration) time.Duration {
	return max(minStallTime, time.Duration(stallIntervals*float64(interval)))
}

// noteProgress notes a percent that differs from the last one.
func (s *Scheduler) noteProgress(r *run, percent int) {
	interval := s.now.Sub(r.progressedAt)
	r.progressInterval = max(r.progressInterval, interval)
	r.step.progressInterval = max(r.step.progressInterval, interval)
	r.percent, r.progressedAt = percent, s.now
}

// stopStalled stops a run that makes no progress and quarantines its worker.
func (s *Scheduler) stopStalled(r *run) {
	st := r.step
	s.cfg.Log.Warn().Str("job", string(r.id.Job)).Stringer("task", r.id).Uint64("run", uint64(r.number)).
		Str("worker", string(r.worker.vm.ID)).Int("percent", r.percent).Dur("still", s.now.Sub(r.progressedAt)).
		Dur("limit", s.stallLimit(r)).Int("doublings", r.stallDoublings).Msg("pool: run is stalled")
	if r.progressInterval == 0 && r.startSentAt.After(st.stalledAt) {
		st.stallDoublings, st.stalledAt = min(st.stallDoublings+1, maxStallDoublings), s.now
	}
	if s.now.After(r.worker.quarantinedUntil) && s.mayQuarantineStalled(st.job) {
		s.quarantine(r.worker, quarantineTime)
	}
	s.stopRunOrGang(r)
}

// mayQuarantineStalled reports whether a job with a stalled run may quarantine one more worker. A job whose runs all count
// as stalled shows more of itself than of the workers.
func (s *Scheduler) mayQuarantineStalled(j *job) bool {
	if s.now.After(j.stallQuarantinesUntil) {
		j.stallQuarantines, j.stallQuarantinesUntil = 0, s.now.Add(quarantineTime)
	}
	j.stallQuarantines++
	return j.stallQuarantines <= max(1, len(s.sortedWorkers)/workersPerStallQuarantine)
}
