package placement

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	defaultQuarantineAfterJobs = 3
	defaultStopAfterWorkers    = 3
	defaultProbeMinDelay       = 30 * time.Second
	defaultProbeMaxDelay       = 30 * time.Minute
	defaultJobRetries          = 10
	defaultJobRetryInterval    = time.Minute
	defaultTeamRetries         = 100
	defaultTeamRetryInterval   = time.Second
	// maxFailedJobs bounds the memory per worker when many jobs fail on it that also fail elsewhere.
	maxFailedJobs = 64
)

// HealthConfig configures a HealthTracker.
type HealthConfig struct {
	// QuarantineAfterJobs is the number of distinct jobs that must fail on a worker,
	// without a success in between, to quarantine it; zero means 3.
	QuarantineAfterJobs int
	// StopAfterWorkers is the number of distinct healthy workers on which a job must fail to be
	// stopped; zero means 3.
	StopAfterWorkers int
	// ProbeMinDelay is the time from quarantine to the first probe. Each failed probe
	// doubles the delay, up to ProbeMaxDelay. Zero means 30 seconds and 30 minutes.
	ProbeMinDelay, ProbeMaxDelay time.Duration
	// JobRetries is the retry budget of a job, which regains one retry per JobRetryInterval;
	// zero means 10 and 1 minute.
	JobRetries       int
	JobRetryInterval time.Duration
	// TeamRetries is the retry budget of a team, which regains one retry per TeamRetryInterval;
	// zero means 100 and 1 second.
	TeamRetries       int
	TeamRetryInterval time.Duration
}

// HealthState is the health of a worker.
type HealthState int

// Health states.
const (
	// Healthy workers get tasks.
	Healthy HealthState = iota
	// Quarantined workers get no tasks until the next probe is due.
	Quarantined
	// ProbeDue workers get one task as a probe.
	ProbeDue
	// Probing workers run the probe, whose result ends or prolongs the quarantine.
	Probing
)

var healthStateNames = [...]string{"healthy", "quarantined", "probe due", "probing"}

// String returns a description of the state.
func (s HealthState) String() string { return healthStateNames[s] }

// FailureResult is the consequence of a task failure.
type FailureResult struct {
	// Quarantined means that this failure put the worker into quarantine.
	Quarantined bool
	// StopJob means that the job has failed on enough workers that it must be stopped.
	StopJob bool
}

// HealthTracker distinguishes workers on which every task fails from jobs that fail on
// every worker, and limits retries.
type HealthTracker struct {
	cfg     HealthConfig
	workers map[cluster.WorkerID]*workerRecord
	jobs    map[cluster.JobID]*jobRecord
	// teams holds the retry budgets of the teams.
	teams map[cluster.TeamName]*rate.Limiter
}

// workerRecord holds what is known about the failures on a worker.
type workerRecord struct {
	// streak holds the distinct jobs that failed here since the last success and had not failed
	// on another healthy worker.
	streak []cluster.JobID
	// failedJobs holds the distinct jobs that failed here since the last success, at most the last maxFailedJobs.
	failedJobs  []cluster.JobID
	quarantined bool
	// probing means that the probe is running.
	probing bool
	// probeDelay is the last delay before a probe, and probeAt when the next probe is due.
	probeDelay time.Duration
	probeAt    time.Time
}

// jobRecord holds the failures and the retry budget of a job.
type jobRecord struct {
	// failedOn holds the distinct workers on which the job failed while they were healthy.
	failedOn []cluster.WorkerID
	retries  *rate.Limiter
}

// NewHealthTracker returns a HealthTracker in which every worker is healthy.
func NewHealthTracker(cfg HealthConfig) *HealthTracker {
	setDefault(&cfg.QuarantineAfterJobs, defaultQuarantineAfterJobs)
	setDefault(&cfg.StopAfterWorkers, defaultStopAfterWorkers)
	setDefault(&cfg.ProbeMinDelay, defaultProbeMinDelay)
	setDefault(&cfg.ProbeMaxDelay, defaultProbeMaxDelay)
	setDefault(&cfg.JobRetries, defaultJobRetries)
	setDefault(&cfg.JobRetryInterval, defaultJobRetryInterval)
	setDefault(&cfg.TeamRetries, defaultTeamRetries)
	setDefault(&cfg.TeamRetryInterval, defaultTeamRetryInterval)
	return &HealthTracker{
		cfg:     cfg,
		workers: map[cluster.WorkerID]*workerRecord{},
		jobs:    map[cluster.JobID]*jobRecord{},
		teams:   map[cluster.TeamName]*rate.Limiter{},
	}
}

// setDefault replaces a value that is not positive.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// State returns the health of a worker. Unknown workers are healthy.
func (h *HealthTracker) State(id cluster.WorkerID, now time.Time) HealthState {
	w, ok := h.workers[id]
	switch {
	case !ok || !w.quarantined:
		return Healthy
	case w.probing:
		return Probing
	case now.Before(w.probeAt):
		return Quarantined
	}
	return ProbeDue
}

// RecordStart records that a task was started on a worker. On a quarantined worker the task is the probe.
func (h *HealthTracker) RecordStart(id cluster.WorkerID) {
	if w, ok := h.workers[id]; ok && w.quarantined {
		w.probing = true
	}
}

// RecordAbandonedProbe records that a probe ended without a result, for example because its task was cancelled.
func (h *HealthTracker) RecordAbandonedProbe(id cluster.WorkerID) {
	if w, ok := h.workers[id]; ok {
		w.probing = false
	}
}

// RecordSuccess records that a task of a job succeeded on a worker, which makes the worker healthy.
func (h *HealthTracker) RecordSuccess(id cluster.WorkerID, job cluster.JobID) {
	delete(h.workers, id)
	if j, ok := h.jobs[job]; ok {
		j.failedOn = j.failedOn[:0]
	}
}

// RecordFailure records that a task of a job failed on a worker.
func (h *HealthTracker) RecordFailure(id cluster.WorkerID, job cluster.JobID, now time.Time) FailureResult {
	w, ok := h.workers[id]
	if !ok {
		w = &workerRecord{}
		h.workers[id] = w
	}
	if w.quarantined {
		if w.probing {
			w.probing = false
			w.probeDelay = min(2*w.probeDelay, h.cfg.ProbeMaxDelay)
			w.probeAt = now.Add(w.probeDelay)
		}
		return FailureResult{}
	}
	j := h.getOrAddJob(job)
	if !slices.Contains(j.failedOn, id) {
		j.failedOn = append(j.failedOn, id)
		if len(w.failedJobs) == maxFailedJobs {
			w.failedJobs = slices.Delete(w.failedJobs, 0, 1)
		}
		w.failedJobs = append(w.failedJobs, job)
	}
	result := FailureResult{StopJob: len(j.failedOn) >= h.cfg.StopAfterWorkers}
	// If the job has failed on another healthy worker too, the job is the more likely cause.
	if len(j.failedOn) == 1 && !slices.Contains(w.streak, job) {
		w.streak = append(w.streak, job)
	}
	if len(w.streak) >= h.cfg.QuarantineAfterJobs {
		h.quarantine(id, w, now)
		result.Quarantined = true
	}
	return result
}

// quarantine puts a worker into quarantine and removes it from the failure records of the jobs that failed on it.
func (h *HealthTracker) quarantine(id cluster.WorkerID, w *workerRecord, now time.Time) {
	w.quarantined, w.probing = true, false
	w.probeDelay = h.cfg.ProbeMinDelay
	w.probeAt = now.Add(w.probeDelay)
	for _, job := range w.failedJobs {
		if j, ok := h.jobs[job]; ok {
			j.failedOn = slices.DeleteFunc(j.failedOn, func(f cluster.WorkerID) bool { return f == id })
		}
	}
	w.streak, w.failedJobs = nil, nil
}

// AllowRetry reports whether a failed task of a job may be retried. If so, it takes one
// retry from the budgets of the job and of its team.
func (h *HealthTracker) AllowRetry(job cluster.JobID, now time.Time) bool {
	j := h.getOrAddJob(job)
	team, ok := h.teams[job.Team]
	if !ok {
		team = rate.NewLimiter(rate.Every(h.cfg.TeamRetryInterval), h.cfg.TeamRetries)
		h.teams[job.Team] = team
	}
	// Check both budgets first, so that a refusal by one doesn't consume from the other.
	if j.retries.TokensAt(now) < 1 || team.TokensAt(now) < 1 {
		return false
	}
	return j.retries.AllowN(now, 1) && team.AllowN(now, 1)
}

func (h *HealthTracker) getOrAddJob(job cluster.JobID) *jobRecord {
	j, ok := h.jobs[job]
	if !ok {
		j = &jobRecord{retries: rate.NewLimiter(rate.Every(h.cfg.JobRetryInterval), h.cfg.JobRetries)}
		h.jobs[job] = j
	}
	return j
}

// ForgetJob removes the records of a job that has ended.
func (h *HealthTracker) ForgetJob(job cluster.JobID) { delete(h.jobs, job) }

// ForgetWorker removes the records of a worker that was removed or replaced.
func (h *HealthTracker) ForgetWorker(id cluster.WorkerID) { delete(h.workers, id) }
