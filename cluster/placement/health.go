package placement

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	defaultQuarantineJobs = 3
	defaultStopWorkers    = 3
	defaultFirstProbe     = 30 * time.Second
	defaultLastProbe      = 30 * time.Minute
	defaultJobRetries     = 10
	defaultJobEvery       = time.Minute
	defaultTeamRetries    = 100
	defaultTeamEvery      = time.Second
	// failedJobs bounds the memory of a worker on which only jobs fail that fail elsewhere too.
	failedJobs = 64
)

// HealthConfig configures a WorkerHealth.
type HealthConfig struct {
	// QuarantineJobs is the number of distinct jobs in a row whose tasks failed on
	// a worker that quarantines it; zero means 3.
	QuarantineJobs int
	// StopWorkers is the number of distinct healthy workers that a job failed on that stops it; zero means 3.
	StopWorkers int
	// FirstProbe is the delay before the first probe; each failed probe doubles it up to LastProbe.
	// Zero means 30 seconds and 30 minutes.
	FirstProbe, LastProbe time.Duration
	// JobRetries is a job's retry budget, which regains one retry per JobEvery; zero means 10 and 1 minute.
	JobRetries int
	JobEvery   time.Duration
	// TeamRetries is a team's retry budget, which regains one retry per TeamEvery; zero means 100 and 1 second.
	TeamRetries int
	TeamEvery   time.Duration
}

// HealthState is the state of a worker's health.
type HealthState int

// States of a worker's health.
const (
	// Healthy workers take work.
	Healthy HealthState = iota
	// Quarantined workers take none until the next probe.
	Quarantined
	// ProbeDue workers take one task.
	ProbeDue
	// Probing workers run one task, whose end decides.
	Probing
)

var healthStateNames = [...]string{"healthy", "quarantined", "probe due", "probing"}

// String returns the state in words.
func (s HealthState) String() string { return healthStateNames[s] }

// Verdict is what a failure led to.
type Verdict struct {
	// Quarantined says that the worker was quarantined by this failure.
	Quarantined bool
	// StopJob says that the job fails everywhere and must be stopped.
	StopJob bool
}

// WorkerHealth tells workers that fail every task from jobs that fail on every
// worker, and limits retries.
type WorkerHealth struct {
	cfg     HealthConfig
	workers map[cluster.WorkerID]*workerHealth
	jobs    map[cluster.JobID]*jobHealth
	teams   map[cluster.TeamName]*rate.Limiter
}

type workerHealth struct {
	// streak holds the distinct jobs that failed since the last success and had not failed elsewhere.
	streak []cluster.JobID
	// failed holds all distinct jobs that failed since the last success, the last failedJobs of them.
	failed      []cluster.JobID
	quarantined bool
	probing     bool
	delay       time.Duration
	probeAt     time.Time
}

type jobHealth struct {
	// failedOn holds the distinct workers that the job failed on while they were healthy.
	failedOn []cluster.WorkerID
	retries  *rate.Limiter
}

// NewWorkerHealth returns a record in which every worker is healthy.
func NewWorkerHealth(cfg HealthConfig) *WorkerHealth {
	setDefault(&cfg.QuarantineJobs, defaultQuarantineJobs)
	setDefault(&cfg.StopWorkers, defaultStopWorkers)
	setDefault(&cfg.FirstProbe, defaultFirstProbe)
	setDefault(&cfg.LastProbe, defaultLastProbe)
	setDefault(&cfg.JobRetries, defaultJobRetries)
	setDefault(&cfg.JobEvery, defaultJobEvery)
	setDefault(&cfg.TeamRetries, defaultTeamRetries)
	setDefault(&cfg.TeamEvery, defaultTeamEvery)
	return &WorkerHealth{
		cfg:     cfg,
		workers: map[cluster.WorkerID]*workerHealth{},
		jobs:    map[cluster.JobID]*jobHealth{},
		teams:   map[cluster.TeamName]*rate.Limiter{},
	}
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// State returns the state of a worker; one that is not known is healthy.
func (h *WorkerHealth) State(id cluster.WorkerID, now time.Time) HealthState {
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

// Started records that a task was started on a worker; on a quarantined worker it is the probe.
func (h *WorkerHealth) Started(id cluster.WorkerID) {
	if w, ok := h.workers[id]; ok && w.quarantined {
		w.probing = true
	}
}

// Abandoned records that a probe ended without a result, for example because it was cancelled.
func (h *WorkerHealth) Abandoned(id cluster.WorkerID) {
	if w, ok := h.workers[id]; ok {
		w.probing = false
	}
}

// Succeeded records that a task of a job succeeded on a worker, which makes the worker healthy.
func (h *WorkerHealth) Succeeded(id cluster.WorkerID, job cluster.JobID) {
	delete(h.workers, id)
	if j, ok := h.jobs[job]; ok {
		j.failedOn = j.failedOn[:0]
	}
}

// Failed records that a task of a job failed on a worker.
func (h *WorkerHealth) Failed(id cluster.WorkerID, job cluster.JobID, now time.Time) Verdict {
	w, ok := h.workers[id]
	if !ok {
		w = &workerHealth{}
		h.workers[id] = w
	}
	if w.quarantined {
		if w.probing {
			w.probing = false
			w.delay = min(2*w.delay, h.cfg.LastProbe)
			w.probeAt = now.Add(w.delay)
		}
		return Verdict{}
	}
	j := h.job(job)
	if !slices.Contains(j.failedOn, id) {
		j.failedOn = append(j.failedOn, id)
		if len(w.failed) == failedJobs {
			w.failed = slices.Delete(w.failed, 0, 1)
		}
		w.failed = append(w.failed, job)
	}
	verdict := Verdict{StopJob: len(j.failedOn) >= h.cfg.StopWorkers}
	// A job that failed on another healthy worker says little about this one.
	if len(j.failedOn) == 1 && !slices.Contains(w.streak, job) {
		w.streak = append(w.streak, job)
	}
	if len(w.streak) >= h.cfg.QuarantineJobs {
		h.quarantine(id, w, now)
		verdict.Quarantined = true
	}
	return verdict
}

// quarantine closes a worker and takes back its part in the failures of jobs.
func (h *WorkerHealth) quarantine(id cluster.WorkerID, w *workerHealth, now time.Time) {
	w.quarantined, w.probing = true, false
	w.delay = h.cfg.FirstProbe
	w.probeAt = now.Add(w.delay)
	for _, job := range w.failed {
		if j, ok := h.jobs[job]; ok {
			j.failedOn = slices.DeleteFunc(j.failedOn, func(f cluster.WorkerID) bool { return f == id })
		}
	}
	w.streak, w.failed = nil, nil
}

// Retry reports whether a failed task of a job may be tried again, and takes
// one retry from the budgets of the job and its team if so.
func (h *WorkerHealth) Retry(job cluster.JobID, now time.Time) bool {
	j := h.job(job)
	team, ok := h.teams[job.Team]
	if !ok {
		team = rate.NewLimiter(rate.Every(h.cfg.TeamEvery), h.cfg.TeamRetries)
		h.teams[job.Team] = team
	}
	// A refusal by one budget must not use up the other.
	if j.retries.TokensAt(now) < 1 || team.TokensAt(now) < 1 {
		return false
	}
	return j.retries.AllowN(now, 1) && team.AllowN(now, 1)
}

func (h *WorkerHealth) job(job cluster.JobID) *jobHealth {
	j, ok := h.jobs[job]
	if !ok {
		j = &jobHealth{retries: rate.NewLimiter(rate.Every(h.cfg.JobEvery), h.cfg.JobRetries)}
		h.jobs[job] = j
	}
	return j
}

// ForgetJob drops what is known about a job that ended.
func (h *WorkerHealth) ForgetJob(job cluster.JobID) { delete(h.jobs, job) }

// ForgetWorker drops what is known about a worker that was removed or replaced.
func (h *WorkerHealth) ForgetWorker(id cluster.WorkerID) { delete(h.workers, id) }
