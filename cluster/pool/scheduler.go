package pool

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/fairshare"
	"github.com/goldcrestshift/goldcrestshift/cluster/jobquota"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Scheduler schedules the jobs of one pool. It must be used by one goroutine only.
type Scheduler struct {
	cfg Config
	now time.Time
	// activeTime is how long the scheduler has run, without pauses of its process; see maxCountedGap.
	activeTime time.Duration
	snapshot   *cluster.Snapshot
	workers    map[cluster.WorkerID]*worker
	// sortedWorkers holds the workers ordered by identifier, so that equal inputs give equal decisions.
	sortedWorkers []*worker
	// workersListedAt is when the platform's list of workers was applied last; zero before the first time.
	workersListedAt time.Time
	// listingTime is how long the lists of workers could have shown heartbeats; see maxCountedListGap.
	listingTime time.Duration
	jobs        map[cluster.JobName]*job
	// openSteps are the steps that are not done, in no particular order.
	openSteps []*step
	teams     map[cluster.TeamName]*usage
	use       teamUse
	// shares holds the shares of the teams' limits that this shard may use.
	shares         map[cluster.TeamName]int
	lastRunCounter uint64
	// inheritedWorkers are the workers on which tasks of a previous owner may run unknown to this one.
	inheritedWorkers map[cluster.WorkerID]inheritedWorker
	// restarts counts the observed restarts of each worker, and how often it was dropped.
	restarts map[cluster.WorkerID]uint16
	// takeoverComplete is true once every inherited worker has listed all its runs or its leases have expired.
	takeoverComplete bool
	// stopped is set when a later owner has superseded this one.
	stopped bool
	// suspended is true while a successor may count this owner as stopped. It then starts no task and renews no lease.
	suspended   bool
	evacuations evacuations
	// loaded is set by the first step, whose events include the jobs accepted before the takeover.
	loaded bool
	// previousOwnerActiveUntil is until when the previous owner may have sent requests.
	previousOwnerActiveUntil time.Time

	// scheduledJobs are the jobs with occurrences that have no steps yet, endedOccurrences those whose steps are to be
	// released. releasedAt is when the latter were last searched.
	scheduledJobs    []*job
	endedOccurrences []endedOccurrence
	releasedAt       time.Time

	dirtyJobs   []*job
	expiredJobs []cluster.JobName
	endedJobs   []*job
	// undeletedJobs are the expired jobs whose rows could not be deleted; they are tried again at nextDeletionAt.
	undeletedJobs  []cluster.JobName
	nextDeletionAt time.Time
	deletedJobs    deletedJobs
	// generation is the number of the last record that was emitted, recordedGeneration that of the last one in
	// the store.
	generation         uint64
	recordInFlight     bool
	lastRecordAt       time.Time
	recordedGeneration uint64
	// workersDirty means that the recorded workers are out of date.
	workersDirty bool

	// advisors is the number of daemons that can send advice requests.
	advisors int
	// largestFree holds the largest free amount of each resource on a worker at the start of the current placement pass.
	largestFree cluster.Resources
	// passUse is the use of the pool at the start of the current placement pass.
	passUse poolUse
	// reservations counts the gangs that have reserved capacity in the current placement pass.
	reservations int
	// advice counts the advice requests in flight.
	advice adviceLoad
	// durationRatios holds for each queue the moving average of run times relative to their estimates.
	durationRatios map[cluster.QueueName]float64
	// permitShares is the moving average of the share of workers that may run the steps of a queue.
	permitShares map[cluster.QueueName]float64
	// dueActionsCheckedAt is when due actions were last searched for.
	dueActionsCheckedAt time.Time
	// ready holds the steps of the current placement pass, waitingSteps is the number of those that could start tasks in
	// the last one. lateStepsPlacedAt is when a pass last included the steps that are not on time.
	ready             []*step
	waitingSteps      int
	lateStepsPlacedAt time.Time
	// waitingCheckedAt is when waiting steps were last searched for.
	waitingCheckedAt time.Time
	// deferredEarlierEnds are the deferred run ends of workers that have restarted since.
	deferredEarlierEnds []unacknowledgedEnd
	// congested is true while the replies of workers in all zones are missing or late. startWindow is the number of start
	// requests that may be unanswered at a time, unansweredStarts how many are.
	congested        bool
	startWindow      int
	unansweredStarts int
	// startReplyTime is the moving average of the time until the reply to a start request.
	startReplyTime      time.Duration
	congestionCheckedAt time.Time
	// statuses holds the states of the jobs after the last step; changedStatuses and deletedStatuses are the changes of
	// the current one.
	statuses        *Statuses
	changedStatuses []*job
	deletedStatuses []cluster.JobName
	metrics         *metrics
	load            load
	effects         []Effect
}

// New returns a scheduler for a new ownership of a pool.
func New(cfg Config) *Scheduler {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.MaxLease == 0 {
		cfg.MaxLease = DefaultMaxLease
	}
	cfg.Shards = max(cfg.Shards, 1)
	if cfg.Quota == nil {
		cfg.Quota = jobquota.New(0).Open()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	s := &Scheduler{
		cfg:              cfg,
		now:              cfg.Now,
		snapshot:         cluster.Assemble(0, nil),
		workers:          map[cluster.WorkerID]*worker{},
		jobs:             map[cluster.JobName]*job{},
		teams:            map[cluster.TeamName]*usage{},
		inheritedWorkers: map[cluster.WorkerID]inheritedWorker{},
		restarts:         map[cluster.WorkerID]uint16{},
		durationRatios:   map[cluster.QueueName]float64{},
		permitShares:     map[cluster.QueueName]float64{},
		deletedJobs:      deletedJobs{deletedAt: map[cluster.JobName]time.Time{}},
		workersDirty:     true,
		startWindow:      initialStartWindow,
		statuses:         &Statuses{jobs: map[cluster.JobName]JobStatus{}},
		metrics:          newMetrics(cfg.Metrics),
		load:             load{meter: admission.NewMeter(cfg.Now)},
	}
	if cfg.UseHalfLife > 0 {
		s.use.ledger = fairshare.NewLedger(cfg.UseHalfLife)
	}
	s.previousOwnerActiveUntil = cfg.Now
	if cfg.PreviousOwnersActiveUntil.After(cfg.Now) {
		s.previousOwnerActiveUntil = cfg.PreviousOwnersActiveUntil
	}
	latestExpiry := s.previousOwnerActiveUntil.Add(maxLeaseDuration(cfg.Lease))
	latestLongExpiry := s.previousOwnerActiveUntil.Add(maxLeaseDuration(cfg.MaxLease))
	for _, recorded := range cfg.InheritedWorkers {
		w := inheritedWorker{leaseExpiry: latestExpiry, recordedUnresponsive: !recorded.LeaseExpiry.IsZero()}
		if !recorded.LongLeaseExpiry.IsZero() {
			w.longLeaseExpiry = recorded.LongLeaseExpiry.Add(MaxClockSkew)
			if w.longLeaseExpiry.After(latestLongExpiry) {
				w.longLeaseExpiry = latestLongExpiry
			}
			w.leaseExpiry = laterTime(w.longLeaseExpiry, latestExpiry)
		}
		if expiry := recorded.LeaseExpiry.Add(MaxClockSkew); !recorded.LeaseExpiry.IsZero() && expiry.Before(w.leaseExpiry) {
			w.leaseExpiry = expiry
		}
		s.inheritedWorkers[recorded.ID] = w
	}
	return s
}

// maxLeaseDuration returns how long a lease may last in real time if the worker's clock is slow.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + leaseExpiryMargin
}

// Step applies events and returns the effects to be carried out.
func (s *Scheduler) Step(now time.Time, events []Event) []Effect {
	s.activeTime += min(now.Sub(s.now), maxCountedGap)
	s.recordUse(now.Sub(s.now))
	s.requireEvacuations(now)
	s.now = now
	s.effects = nil
	if s.stopped {
		return nil
	}
	for _, e := range events {
		s.apply(e)
	}
	s.loaded = true
	s.buildScheduled()
	s.reportEvacuations()
	s.applyDeferredEnds()
	s.checkTakeover()
	s.checkRuns()
	s.checkCongestion()
	if !s.suspended {
		s.place()
	}
	s.sendHolds()
	s.emitRecord()
	s.releaseEnded()
	s.emitUsage()
	s.publishStatuses()
	return s.effects
}

func (s *Scheduler) apply(e Event) {
	switch v := e.(type) {
	case *ConfigChanged:
		s.snapshot = v.Snapshot
	case *SharesChanged:
		s.SetShares(v.Shares)
	case *WorkersListed:
		s.advisors = max(1, v.Advisors)
		s.listWorkers(v.Workers)
		s.updateCapacity()
	case *JobAccepted:
		s.acceptJob(v.Job, v.Progress)
	case *JobCancelled:
		s.cancelJob(v.ID)
	case *StartAnswered:
		s.startAnswered(v)
	case *StopAnswered:
		s.stopAnswered(v)
	case *HoldAnswered:
		s.holdAnswered(v)
	case *AdviceAnswered:
		s.adviceAnswered(v)
	case *RecordWritten:
		s.recordWritten(v.Generation)
	case *JobsDeleted:
		s.jobsDeleted(v)
	case *EvacuationsChanged:
		s.changeEvacuations(v)
	case *MandateChanged:
		s.changeMandate(v.Holds)
	case *UsageRead:
		s.usageRead(v)
	}
}

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

// NextStepAt returns when Step must be called next if no event occurs.
func (s *Scheduler) NextStepAt() time.Time { return s.now.Add(stepInterval) }

// stepInterval bounds the time between two steps, as hold calls, stop requests and occurrences become due
// without an event.
const stepInterval = 50 * time.Millisecond

// terms returns the terms of a job's queue: the current ones, or the stored ones if the queue has been
// withdrawn.
func (s *Scheduler) terms(j *job) workload.Terms {
	if q := s.snapshot.Queues[j.spec.Queue]; q != nil {
		return workload.TermsOf(q)
	}
	return j.spec.Terms
}

// supersede stops the scheduler because a worker has accepted the fencing token of a later owner.
func (s *Scheduler) supersede(w cluster.WorkerID) {
	if s.stopped {
		return
	}
	s.stopped = true
	s.cfg.Log.Warn().Str("worker", string(w)).Uint64("epoch", uint64(s.cfg.Epoch)).Msg("pool: a worker accepted the fencing token of a later owner; sending no more requests")
	s.emit(&Superseded{Worker: w})
}

// changeMandate suspends the scheduler while its mandate does not hold. When it holds again, the leases that may expire
// before the next periodic hold call are renewed at once.
func (s *Scheduler) changeMandate(holds bool) {
	if s.suspended == !holds {
		return
	}
	s.suspended = !holds
	s.cfg.Log.Warn().Uint64("epoch", uint64(s.cfg.Epoch)).Bool("holds", holds).Int("workers", len(s.workers)).Msg("pool: mandate of the owner changed; without it no task is started and no lease is renewed")
	if s.suspended {
		s.metrics.suspensions.Inc(1)
		return
	}
	s.evacuations.neededFrom = s.now
	for _, w := range s.sortedWorkers {
		if w.hasRuns() && w.fenceAccepted && w.leaseExpiry.Sub(s.now) < 2*holdMaxWait {
			s.sendHold(w, true)
		}
	}
}

// acceptJob adds a job that is in the store; a known job is left unchanged. A row that was read or sent before it
// was deleted is ignored.
func (s *Scheduler) acceptJob(spec *workload.Job, progress *workload.Progress) {
	if s.jobs[spec.ID] != nil {
		return
	}
	if s.deletedJobs.contains(spec) {
		s.cfg.Quota.Remove(s.now, spec.ID)
		return
	}
	j := &job{spec: spec, team: s.team(spec.Team), progress: progress, arrivedAt: s.now, criticalPaths: spec.CriticalPaths()}
	for _, path := range j.criticalPaths {
		j.longestPath = max(j.longestPath, path)
	}
	if progress == nil {
		j.progress = &workload.Progress{}
	}
	// A previous owner may have started the jobs of the first step. Until it notices the takeover it may also start
	// jobs that are accepted later.
	j.possiblyRunning = len(s.inheritedWorkers) > 0 && (!s.loaded || !s.now.After(s.previousOwnerActiveUntil) || s.previousOwnerMayKnow(spec))
	s.jobs[spec.ID] = j
	s.showState(j, j.visibleState)
	if j.progress.State.Final() {
		s.showState(j, j.progress.State)
		s.endedJobs = append(s.endedJobs, j)
		s.releaseJob(j)
		s.readDeferredRuns(j)
		return
	}
	s.cfg.Quota.Set(s.now, spec.ID, spec.Team, JobMemory(spec))
	j.surplus = !s.consumeToken(spec.Team)
	s.countAcceptedJob(j)
	s.countUnfinishedTasks(j)
	if !s.buildDueOccurrences(j) {
		s.scheduledJobs = append(s.scheduledJobs, j)
	}
	s.readDeferredRuns(j)
	s.cfg.Log.Info().Str("job", string(spec.ID)).Str("queue", string(spec.Queue)).Str("team", string(spec.Team)).
		Int("tasks", j.unfinishedTasks).Bool("surplus", j.surplus).Bool("exposed", j.possiblyRunning).Msg("pool: job accepted")
	if j.unfinishedTasks == 0 {
		s.finishJob(j, workload.StateCompleted)
	}
}

// previousOwnerMayKnow reports whether a job that is received late was accepted while the previous owner may still have
// sent requests.
func (s *Scheduler) previousOwnerMayKnow(spec *workload.Job) bool {
	return spec.AcceptedAt.Before(s.previousOwnerActiveUntil)
}

func (st *step) taskID(index int) workload.TaskID {
	return workload.TaskID{Job: st.id.Job, Occurrence: st.id.Occurrence, Step: st.id.Step, Index: index}
}

// stepOf returns the step of a task, or nil if there is no such task.
func (s *Scheduler) stepOf(id workload.TaskID) *step {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) || id.Occurrence >= j.spec.Occurrences() {
		return nil
	}
	if !s.isBuilt(j, id.Occurrence) {
		// Runs of an occurrence whose steps were released, or that a previous owner started, may have to be stopped or
		// adopted.
		s.buildOccurrence(j, id.Occurrence)
	}
	st := j.steps[id.Occurrence*len(j.spec.Steps)+id.Step]
	if id.Index >= len(st.tasks) {
		return nil
	}
	return st
}

// cancelJob ends a job and stops its runs.
func (s *Scheduler) cancelJob(id cluster.JobName) {
	j := s.jobs[id]
	if j == nil || j.progress.State.Final() {
		return
	}
	s.cfg.Log.Info().Str("job", string(id)).Int("tasksLeft", j.unfinishedTasks).Msg("pool: job cancelled")
	s.finishJob(j, workload.StateCancelled)
}

// finishJob sets a job's final state, stops its remaining runs and marks the state to be recorded.
func (s *Scheduler) finishJob(j *job, state workload.State) {
	j.progress.State = state
	j.progress.EndedAt = s.now
	// A completed job has no run left to stop: the members of a gang end together.
	if state != workload.StateCompleted {
		for _, st := range j.steps {
			if st != nil {
				s.stopStep(st)
			}
		}
	}
	for occurrence := range j.spec.Occurrences() {
		if occurrence == 0 || s.isBuilt(j, occurrence) {
			s.occurrenceEnded(j, occurrence)
		}
	}
	s.markDirty(j)
	s.cfg.Log.Info().Str("job", string(j.spec.ID)).Stringer("state", state).Dur("age", s.now.Sub(j.spec.AcceptedAt)).Msg("pool: job ended")
}

func (s *Scheduler) stopStep(st *step) {
	for k := range st.tasks {
		if r := st.tasks[k].run; r != nil {
			s.stopRun(r)
		}
	}
}

// closed reports whether no task of a step is to be started any more.
func (st *step) closed() bool { return st.unfinishedTasks == 0 || st.job.progress.State.Final() }

// removeClosedSteps drops the closed steps and the state that is only needed to start their tasks.
func (s *Scheduler) removeClosedSteps() {
	s.openSteps = slices.DeleteFunc(s.openSteps, func(st *step) bool {
		if !st.closed() {
			return false
		}
		st.permits, st.advisedWorkers, st.preemptedWorkers = nil, nil, nil
		return true
	})
	s.openSteps = shrink(s.openSteps)
}

// consumeToken counts a job against the job rate of its team and returns false if the rate is exceeded. The rate
// is the team's share in jobs per second, divided equally among the shards; a share of zero is no limit.
func (s *Scheduler) consumeToken(name cluster.TeamName) bool {
	u := s.team(name)
	team := s.snapshot.Teams[name]
	if team == nil || team.Share == 0 {
		return true
	}
	rate := float64(team.Share) / float64(s.cfg.Shards)
	if u.tokensUpdatedAt.IsZero() {
		u.tokens = rate * tokenBurstTime.Seconds()
	} else {
		u.tokens = min(rate*tokenBurstTime.Seconds(), u.tokens+rate*s.now.Sub(u.tokensUpdatedAt).Seconds())
	}
	u.tokensUpdatedAt = s.now
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}

// tokenBurstTime is for how long a team can accumulate unused job tokens.
const tokenBurstTime = 2 * time.Second

func (s *Scheduler) team(name cluster.TeamName) *usage {
	u := s.teams[name]
	if u == nil {
		u = &usage{}
		s.teams[name] = u
		s.use.addTeam(name, u)
	}
	return u
}

// State returns the state of a job as recorded, and false if there is no such job.
func (s *Scheduler) State(id cluster.JobName) (workload.State, cluster.TeamName, cluster.QueueName, bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, "", "", false
	}
	status := j.status()
	return status.State, status.Team, status.Queue, true
}

// Pending returns the number of jobs of each queue that have no started task.
func (s *Scheduler) Pending() map[cluster.QueueName]int {
	pending := map[cluster.QueueName]int{}
	for _, j := range s.jobs {
		if !j.started && !j.progress.State.Final() {
			pending[j.spec.Queue]++
		}
	}
	return pending
}

// nextRunNumber returns a run number above those of this and all previous owners.
func (s *Scheduler) nextRunNumber() platform.RunNumber {
	s.lastRunCounter++
	return platform.RunNumber(uint64(s.cfg.Epoch)<<runCounterBits | s.lastRunCounter)
}

// runCounterBits is the width of the counter in a run number; the bits above it hold the epoch.
const runCounterBits = 28
