package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// job is an accepted job with its progress.
type job struct {
	spec *workload.Job
	// team is the usage of the job's team.
	team          *usage
	progress      *workload.Progress
	criticalPaths []time.Duration
	// longestPath is the longest of criticalPaths.
	longestPath time.Duration
	// steps holds the steps of all occurrences, grouped by occurrence. Those of an occurrence that is not due, or that has
	// ended, are nil; see occurrence.go. It is nil for a job that had ended when it was loaded.
	steps []*step
	// nextOccurrence is the first occurrence that has not been due yet. builtOccurrences is the number of occurrences that
	// have steps.
	nextOccurrence   int
	builtOccurrences int
	// released means that the payload of the ended job has been released.
	released bool
	// unfinishedTasks is the number of tasks that are not done.
	unfinishedTasks int
	// possiblyRunning means that the previous owner may have started tasks of the job.
	possiblyRunning bool
	// surplus means that the team submitted the job above its job rate; see consumeToken.
	surplus bool
	// started means that a task of the job has started or is done.
	started bool
	// dirty means that the progress has changed since it was last put into a record.
	dirty bool
	// expired means that the rows of the job are being deleted, so that its progress must not be recorded again.
	expired bool
	// finalGeneration is the generation of the record that holds the final state; zero until one does.
	finalGeneration uint64
	// visibleState is the state reported to callers; a final state is reported only once it is recorded.
	visibleState workload.State
	// stallQuarantines is the number of workers that were to be quarantined for stalled runs of the job until
	// stallQuarantinesUntil.
	stallQuarantines      int
	stallQuarantinesUntil time.Time
	// arrivedAt is when this scheduler received the job, after a takeover later than Job.AcceptedAt.
	arrivedAt time.Time
}

// step is one step of one occurrence.
type step struct {
	id    StepID
	job   *job
	spec  *workload.Step
	tasks []task
	// pendingTasks counts the tasks without a run, unfinishedTasks those not done.
	pendingTasks    int
	unfinishedTasks int
	scheduledStart  time.Time
	// releaseTime is the scheduled start of the occurrence, or the time when the job was accepted; the
	// occurrence is to complete between it and the deadline.
	releaseTime time.Time
	deadline    time.Time
	// urgency and rank are valid during one placement pass only.
	urgency urgency
	rank    int
	// useDelay is by how much the use of the team moves the step back in the current placement pass, orderDeadline the
	// deadline that it is ordered by, and movedByUse means that this changed its place.
	useDelay      time.Duration
	orderDeadline time.Time
	movedByUse    bool
	permits       []permit
	// advisedWorkers holds the workers for which advice was received, with the incarnation that it was requested for;
	// requestedWorkers holds those of the advice request in flight.
	advisedWorkers   map[*worker]platform.Incarnation
	requestedWorkers []requestedWorker
	adviceInFlight   bool
	// adviceRequest classifies the advice request in flight.
	adviceRequest adviceRequest
	nextAdviceAt  time.Time
	// nextSearchAt is the earliest time of the next search for further workers.
	nextSearchAt time.Time
	// partialReservationSince is since when the workers that a gang can reserve are too few for it; zero if they are not.
	partialReservationSince time.Time
	// progressInterval is the longest time between two changes of the percent of a run; zero before the first.
	progressInterval time.Duration
	// stallDoublings is how often the time was doubled after which a run that never progressed counts as stalled,
	// stalledAt is when it was last.
	stallDoublings int
	stalledAt      time.Time
	// gangRun is the run number that the members of a gang share; zero if the gang does not run.
	gangRun platform.RunNumber
	// gangStoppedAt is when the gang was stopped; zero if none of its members is being stopped.
	gangStoppedAt time.Time
	// preemptedAt is the last time at which tasks were stopped to free capacity for the step; preemptedWorkers are
	// the workers on which they ran.
	preemptedAt      time.Time
	preemptedWorkers []*worker
	// nextVictimSearchAt is the earliest time of the next search for tasks to stop.
	nextVictimSearchAt time.Time
	// limitWaitSince is when the team's limit first held the step back since its last start; zero if it has not.
	limitWaitSince time.Time
	// idleSince is since when nothing of the due step has run while the pool had spare capacity; zero if that is not
	// so. waitReportedAt is when it was logged last; see reportWaiting.
	idleSince      time.Time
	waitReportedAt time.Time
}

// requestedWorker is a worker that an advice request names, with its incarnation at that time.
type requestedWorker struct {
	worker      *worker
	incarnation platform.Incarnation
}

// permit allows a step to run on a worker; the ticket proves it to the worker.
type permit struct {
	worker      *worker
	incarnation platform.Incarnation
	ticket      string
	expiresAt   time.Time
}

// task is one task of a step.
type task struct {
	// run is the current run of the task; nil if there is none.
	run  *run
	done bool
	// history is nil for a task that has not been interrupted, as most are.
	history *taskHistory
}

// taskHistory is what earlier runs of a task have left.
type taskHistory struct {
	// checkpoint is the checkpoint from which the next run resumes; empty if there is none.
	checkpoint string
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// lost is the last lost run of the task; its number is zero if there is none.
	lost lostRun
}

// isDelayed reports whether a task may not be started again yet.
func (t *task) isDelayed(now time.Time) bool {
	return t.history != nil && now.Before(t.history.notBefore)
}

// checkpoint returns the checkpoint from which the next run resumes; empty if there is none.
func (t *task) checkpoint() string {
	if t.history == nil {
		return ""
	}
	return t.history.checkpoint
}

// lost returns the last lost run; its number is zero if there is none.
func (t *task) lost() lostRun {
	if t.history == nil {
		return lostRun{}
	}
	return t.history.lost
}

// changeHistory returns the history of a task to be changed.
func (t *task) changeHistory() *taskHistory {
	if t.history == nil {
		t.history = &taskHistory{}
	}
	return t.history
}

// runState is the state of a run as known to the scheduler.
type runState int

const (
	// runStarting means that the start request was sent and its reply is outstanding.
	runStarting runState = iota
	// runActive means that the run is known to have started.
	runActive
	// runUnconfirmed means that no reply to the start request was received; the run may have started.
	runUnconfirmed
	// runStopping means that the run is being stopped.
	runStopping
)

var runStateNames = [...]string{"starting", "active", "doubtful", "stopping"}

// String returns the state's name.
func (s runState) String() string { return runStateNames[s] }

// run is one execution of a task that may be in progress on a worker.
type run struct {
	id          workload.TaskID
	number      platform.RunNumber
	step        *step
	worker      *worker
	size        cluster.Resources
	state       runState
	startSentAt time.Time
	// start is the request that starts the run; nil for a run of a previous owner. startRepeated means that it was sent
	// again because it got no reply.
	start         *SendStart
	startRepeated bool
	// unansweredStarts is the number of requests that start the run and have got no reply. The worker may have carried
	// them out, or may carry them out later.
	unansweredStarts int
	// unconfirmedAt is when the run became unconfirmed.
	unconfirmedAt time.Time
	// confirmedAt is when the scheduler learned that the run had started.
	confirmedAt time.Time
	// reportedByWorker means that a hold reply of the worker's current incarnation included the run.
	reportedByWorker bool
	// stopSentAt is when the last stop request was sent, stopAnsweredAt when one was answered.
	stopSentAt     time.Time
	stopAnsweredAt time.Time
	// percent is the last reported progress, progressedAt when it changed last.
	percent      int
	progressedAt time.Time
	// progressInterval is the longest time between two changes of the percent; zero before the first.
	progressInterval time.Duration
	// stallDoublings is that of the step when the run was started.
	stallDoublings int
}

// worker is a worker of the pool.
type worker struct {
	vm   platform.WorkerVM
	rack string
	// inPlatformList means that the platform's last list includes the worker.
	inPlatformList bool
	// evacuated means that the worker is in an evacuated zone.
	evacuated bool
	// heartbeatSeenAt is when a list was applied in which the worker's entry had changed, which shows a heartbeat.
	heartbeatSeenAt time.Time
	// heartbeatSeenAtListing is the value of Scheduler.listingTime at heartbeatSeenAt.
	heartbeatSeenAtListing time.Duration
	// fenceAccepted means that the worker has replied under this epoch in its current incarnation.
	fenceAccepted bool
	// inSync is false if the scheduler's view of the worker may be out of date, because a request got no reply
	// or the worker appears to have restarted. The next answered hold call sets it again.
	inSync bool
	// recordedUnresponsive is true while the store records the worker as unresponsive. Its leases are not
	// renewed until the record of generation responsiveGeneration, which lists it as responsive again, is
	// written.
	recordedUnresponsive bool
	responsiveGeneration uint64
	// holdUnanswered is true from a hold call that the worker did not answer, also because another one has its address,
	// until the next answered one.
	holdUnanswered bool
	// registeredGeneration is the generation of the first record that lists the worker; zero if none does yet.
	registeredGeneration uint64
	runs                 map[workload.TaskID]*run
	// used is the total accounted size of the runs, lastingRuns the number of those of tasks that last.
	used        cluster.Resources
	lastingRuns int
	// usable and reserved are valid during one placement pass only.
	usable   bool
	reserved cluster.Resources
	// clockReading is the worker's clock as received at clockReadAt.
	clockReading time.Duration
	clockReadAt  time.Time
	// runsListedAt is the worker's clock in the last reply whose running runs were read.
	runsListedAt time.Duration
	// leaseExpiry is when every lease granted so far has expired.
	leaseExpiry time.Time
	// longLeaseExpiry is when the leases have expired that may be longer than the owner's, see assumeMaxLease; zero if
	// there were none.
	longLeaseExpiry time.Time
	// report is the wait for the ends of this owner's runs, inheritedReport that for those of previous owners.
	report, inheritedReport endReport
	// reportedExpiry is the last value of leaseExpiry whose passing was logged.
	reportedExpiry time.Time
	// holdInFlight means that the periodic hold call is in flight, nextHoldAt is the earliest time of the next
	// one; extra calls are not counted.
	holdInFlight bool
	nextHoldAt   time.Time
	// lastEndRead is the number of the last run end that was read, lastEndRecorded that of the last one that is
	// in the store and may be acknowledged, lastEndAcknowledged that of the last one that a hold call acknowledged.
	lastEndRead         uint64
	lastEndRecorded     uint64
	lastEndAcknowledged uint64
	unrecordedEnds      []unrecordedEnd
	// moreEnds means that the list of run ends in the last reply may have been cut.
	moreEnds bool
	// deferredEnds are the run ends that are applied later; see mayBelongToLaterJob.
	deferredEnds []platform.RunEnd
	// deferredRuns are the runs in the last hold reply that are adopted or stopped later; see mayBelongToLaterJob.
	deferredRuns []platform.TaskRun
	// consecutiveFailures counts the runs of different jobs that failed in a row.
	consecutiveFailures int
	lastFailedJob       cluster.JobName
	quarantinedUntil    time.Time
	// slowness is the moving average of the run times on the worker relative to the average of their queues; 1 is
	// average, a higher value is slower.
	slowness float64
	// calls is the last result of a call to the worker.
	calls callResult
	// adviceRequests is the number of advice requests in flight that name the worker.
	adviceRequests int
}

// unrecordedEnd is a run end that may be acknowledged to the worker once the record of the given generation is
// written. While the job waits for a record, the generation is that of the next one.
type unrecordedEnd struct {
	number uint64
	// job is nil for the end of an unknown run.
	job        *job
	generation uint64
}

// RecordedWorker is a worker that may have received requests from the owner that wrote the record.
type RecordedWorker struct {
	ID cluster.WorkerID
	// LeaseExpiry is when the leases of an unresponsive worker have expired; no lease is granted to it before a
	// later record. It is zero if the worker is responsive.
	LeaseExpiry time.Time
	// LongLeaseExpiry is when the leases have expired that a restarted worker may have granted for longer than usual; zero
	// if there are none.
	LongLeaseExpiry time.Time
}

// inheritedWorker is a worker that may have received requests from a previous owner and has not listed all its runs to
// this owner yet.
type inheritedWorker struct {
	// leaseExpiry is when all leases of the worker have expired.
	leaseExpiry time.Time
	// longLeaseExpiry is when the leases have expired that may be longer than the owner's; zero if there were none.
	longLeaseExpiry time.Time
	// recordedUnresponsive means that the worker did not respond to the previous owner.
	recordedUnresponsive bool
}

// usage is the resource usage of a team in this shard, with the state of its rate limits.
type usage struct {
	// running is the total size of the team's tracked runs.
	running cluster.Resources
	// lasting is the part of running that belongs to long-running tasks.
	lasting cluster.Resources
	// unconfirmed is what the team may be using on inherited workers that have not listed all their runs since the takeover.
	unconfirmed cluster.Resources
	// tokens is the number of jobs that the team may submit now without exceeding its job rate.
	tokens          float64
	tokensUpdatedAt time.Time
	// nextShareRequestAt is the earliest time of the next request for a larger share of the limit.
	nextShareRequestAt time.Time
	// reservedFor is the first step of the current placement pass that the limit holds back, nil if there is none, and
	// reserved is the part of the limit that is kept for it.
	reservedFor *step
	reserved    cluster.Resources
	use         useState
}

// saveCheckpoint stores the checkpoint from which a task, or all members of a gang, resume.
func (st *step) saveCheckpoint(index int, checkpoint string) {
	if !st.spec.Gang {
		st.tasks[index].changeHistory().checkpoint = checkpoint
		return
	}
	for i := range st.tasks {
		st.tasks[i].changeHistory().checkpoint = checkpoint
	}
}
