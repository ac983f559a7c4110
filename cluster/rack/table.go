package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// task is one task of an assignment on an owned rack.
type task struct {
	// assignment is the assignment that the task belongs to.
	assignment *assignment
	index      int
	attempt    cluster.Attempt
	state      cluster.TaskState
	// failures counts attempts that failed on a healthy worker.
	failures int8
	// pin is the only worker on which a non-idempotent task may start, as written in the task's
	// row; empty until it is chosen.
	pin cluster.WorkerID
	// pinCommitted means that the row with the pin was committed.
	pinCommitted bool
	// possiblyRunning means that a previous owner may have started the attempt on a worker that is not fenced yet.
	possiblyRunning bool
	// stopRequested means that the attempt is to be ended, checkpointRequested that its state is to be saved.
	stopRequested, checkpointRequested bool
	// removed means that the task is no longer part of its job.
	removed bool
	// usesRetryBudget means that the next attempt uses one retry of the budgets of its job and team.
	usesRetryBudget bool
	// resume means that the next attempt continues from a checkpoint.
	resume bool
	// staleAttempts counts earlier attempts that still run; the task does not start before they have ended.
	staleAttempts int8
	// worker and size are the task's worker and its resources there, set while it is starting or running.
	worker *worker
	size   cluster.Resources
	// throttledCPU is the CPU by which the running attempt is throttled.
	throttledCPU cluster.CPU
	// stateSince is when the task entered its state.
	stateSince time.Time
	// notBefore is the earliest time at which the next attempt may start.
	notBefore time.Time
}

func (t *task) id() cluster.TaskID { return cluster.TaskID{Job: t.assignment.id, Index: t.index} }

func (t *task) attemptID() cluster.AttemptID {
	return cluster.AttemptID{Task: t.id(), Attempt: t.attempt}
}

// isPinned reports whether the task has a pin.
func (t *task) isPinned() bool { return t.pin != "" }

// assignment is the part of a job that is assigned to one rack.
type assignment struct {
	id   cluster.JobID
	rack *rack
	// version is the version of the assignment's row.
	version cluster.Version
	// submittedAt is when the job was submitted, in Unix nanoseconds; it distinguishes jobs with the same identifier.
	submittedAt  int64
	tasks        []*task
	tasksByIndex map[int]*task
	// pendingCount counts pending tasks, endedCount tasks with a final state.
	pendingCount, endedCount int
	// dirty means that the row differs from memory, flushNow that a start waits for it to be written.
	dirty, flushNow bool
	// taskSize is the estimated size with which the next task starts.
	taskSize cluster.Resources
	// acks are results to acknowledge once the row is written.
	acks []resultAck
	// moveInFlight means that a transaction that moves tasks to another rack is in flight.
	moveInFlight bool
	// dropped means that the assignment is no longer part of its rack.
	dropped bool
	// needsRequeue means that the assignment's entry in the queue is to be updated.
	needsRequeue bool
	// nextReadyAt is when the first delayed task becomes ready.
	nextReadyAt time.Time
	// waitReason is why the first pending task was not placed, blockedSince since when.
	waitReason   string
	blockedSince time.Time
	// nextMoveAt is the earliest time at which tasks may next be moved to another rack.
	nextMoveAt time.Time
}

// resultAck is the result of an attempt that is to be acknowledged to a worker.
type resultAck struct {
	worker  cluster.WorkerID
	attempt cluster.AttemptID
}

// job is a job as of its row.
type job struct {
	id          cluster.JobID
	spec        *cluster.JobSpec
	version     cluster.Version
	submittedAt time.Time
	state       JobState
	// cancelRequested means that the job's tasks are to be stopped.
	cancelRequested bool
	// declaredVersion is the version of the configuration that declared the job; zero for jobs
	// that callers submitted.
	declaredVersion cluster.Version
	// homeRack is the rack whose owner starts gang rounds and records the end of the job.
	homeRack cluster.RackID
	// racks are the racks that have assignment rows of the job.
	racks []cluster.RackID
	// gangRound is the last gang start that was recorded, abortedRound the last one that was abandoned.
	gangRound, abortedRound uint32
	// endedAt is when the job ended, taskCounts the number of its tasks by final state.
	endedAt    time.Time
	taskCounts []int
	// gang is the progress of the next gang start, kept by the owner of the home rack.
	gang *gangStart
	// writeInFlight means that a transaction of this daemon on the row is in flight.
	writeInFlight bool
	// notBefore is when a failed write of the job's end may be retried.
	notBefore time.Time
	// endCheckQueued means that the job is in Controller.endCheckQueue.
	endCheckQueued bool
}

// active reports whether the job has not ended.
func (j *job) active() bool { return j.state == JobActive }

// idempotent reports whether the job's tasks may run more than once.
func (j *job) idempotent() bool {
	_, service := j.spec.Workload.(*cluster.Service)
	return j.spec.Idempotent || service
}

// worker is a worker of an owned rack.
type worker struct {
	id       cluster.WorkerID
	rack     *rack
	place    cluster.Place
	capacity cluster.Resources
	// epoch is the highest epoch that the worker has seen.
	epoch     cluster.Epoch
	reachable bool
	// fenced means that the worker has seen the rack's current epoch and refuses commands of previous owners.
	fenced bool
	// leaving means that the platform is about to remove the worker's VM.
	leaving bool
	// listed workers are on the platform's list; delisted ones were on it before.
	listed, delisted bool
	// reportedAt is when the last report on the worker arrived.
	reportedAt time.Time
	// unreachableSince is when the worker was first found unreachable; its leases have expired a
	// leaseExpiryDelay later.
	unreachableSince time.Time
	// leasesExpired means that the worker's leases expired while it was unreachable.
	leasesExpired bool
	// tasks holds the tasks that are starting or running on the worker.
	tasks map[cluster.TaskID]*task
	// staleSizes holds the sizes of the attempts on the worker that are no task's current attempt.
	staleSizes map[cluster.AttemptID]cluster.Resources
	// load is the resources that tasks, stale attempts and holds use, as of the last syncWorker.
	load cluster.Resources
}

// rack is a rack of the cell. The state of the work in it is kept only while this daemon owns
// it; reset drops that state.
type rack struct {
	// nextOfferAt is when blocked assignments are next offered for placement again.
	nextOfferAt time.Time
	controller  *Controller
	id          cluster.RackID
	place       cluster.Place
	// version, owner and epoch are those of the rack's row.
	version cluster.Version
	owner   cluster.DaemonID
	epoch   cluster.Epoch
	phase   phase
	// phaseSince is when the phase was entered.
	phaseSince time.Time
	// rowWriteInFlight means that a conditional write of the row is in flight.
	rowWriteInFlight bool
	// rowRetryAt is the earliest time of the next write or repeated read of the row.
	rowRetryAt time.Time
	// nextRenewalAt is when leases are next renewed on behalf of a dead owner.
	nextRenewalAt time.Time

	placementTable *placement.Table
	// sortedWorkers holds the workers ordered by identifier.
	workers       map[cluster.WorkerID]*worker
	sortedWorkers []*worker
	// reports holds the reports that arrived before the assignment rows were read.
	reports map[cluster.WorkerID]platform.WorkerReport

	// assignments holds the assignments by job, assignmentList in the order in which they arrived.
	assignments map[cluster.JobID]*assignment
	// tombstones holds the versions at which assignment rows were deleted not long ago.
	tombstones     map[cluster.JobID]tombstone
	assignmentList []*assignment

	// usedByTeam is what each team's tasks use here; frozenGrants are grants that count as used
	// until all workers are fenced.
	usedByTeam   map[cluster.TeamName]cluster.Resources
	frozenGrants map[cluster.TeamName]cluster.Resources
	// demands is the resources that each team with assignments here could use, as last measured.
	demands map[cluster.TeamName]cluster.Resources
	// holds is the capacity that is held here for gang jobs.
	holds []*hold

	// queueUsage is what the queue counts as used by each team; queueLimits is the team
	// configuration that was last set in the queue.
	queueUsage  map[cluster.TeamName]cluster.Resources
	queueLimits map[cluster.TeamName]placement.TeamConfig
	// queueCapacity is the capacity that was last set in the queue.
	queueCapacity cluster.Resources
	// staleAttempts holds the earlier attempts of tasks that still run, with their workers.
	staleAttempts map[cluster.AttemptID]*worker

	// cursor is the position of the last report in the rack's changes; zero requests a full report.
	cursor           uint64
	exchangeInFlight bool
	nextExchangeAt   time.Time
	// commands are to be sent with the next exchange; sentCommands are in the one in flight.
	commands     []rackCommand
	sentCommands []rackCommand
	// deferredCommands are commands to unreachable workers.
	deferredCommands []rackCommand
	// failingSince is when exchanges began to fail; zero while they succeed. exchangeRetryDelay
	// is the last delay before a retry.
	failingSince       time.Time
	exchangeRetryDelay time.Duration
	// hasUnfencedWorkers means that the rack is active although some worker is not fenced.
	hasUnfencedWorkers bool
	// flushInFlight means that a write of assignment rows is in flight; nextFlushAt is when the next one is due.
	flushInFlight bool
	nextFlushAt   time.Time
	// flushRetryAt is the earliest time of the next write after a failed one.
	flushRetryAt time.Time
	// assignedSinceDigest is the size of the tasks that this daemon assigned to the rack since
	// its owner's last digest.
	assignedSinceDigest cluster.Resources
	// contestedAt is when another daemon last claimed to own the rack.
	contestedAt time.Time
	// handingOver means that the rack is to be handed over once its results are written.
	handingOver bool
	// receivingMove means that a move of tasks to the rack is in flight.
	receivingMove bool
	// nextPreemptAt is the earliest time at which tasks may next be preempted.
	nextPreemptAt time.Time
	// nextPinIndex is the index of the worker that is tried first for the next pin.
	nextPinIndex int
	// rowReadInFlight and loadInFlight mean that a read of the rack's row, or of its assignment
	// and job rows, is in flight.
	rowReadInFlight, loadInFlight bool
	// generation changes whenever the state of the rack is dropped, so that late replies are recognised.
	generation uint64
	// highestEpoch is the highest epoch that a worker of the rack has seen.
	highestEpoch cluster.Epoch
	queue        *placement.Queue
}

// rackCommand is a command to a worker that is sent with an exchange.
type rackCommand struct {
	command platform.Command
	// task is set unless the command is for a stale attempt or acknowledges a result.
	task *task
	// attempt is the attempt that the command is about.
	attempt cluster.AttemptID
	// unansweredAt is when the last request of the command ended without a reply; zero if each got one.
	unansweredAt time.Time
	// notBefore delays a deferred command.
	notBefore time.Time
}

// phase is the phase of a daemon's ownership of a rack.
type phase int

// Phases of ownership, in the order of a takeover.
const (
	// phaseNotOwned means that another daemon owns the rack, or none does.
	phaseNotOwned phase = iota
	// phaseRechecking means that the rack's row is being read again, for example after a pause
	// or after a worker reported a higher epoch.
	phaseRechecking
	// phaseFencing means that the new epoch is being sent to the workers.
	phaseFencing
	// phaseLoading means that the assignment rows are being read.
	phaseLoading
	// phaseActive means that tasks are started and results recorded.
	phaseActive
)

var phaseNames = [...]string{"elsewhere", "rechecking", "fencing", "loading", "active"}

func (p phase) String() string { return phaseNames[p] }

// newRack returns a rack that is not owned.
func newRack(c *Controller, id cluster.RackID) *rack {
	r := &rack{controller: c, id: id}
	r.reset()
	return r
}

// reset drops all state of the work in the rack.
func (r *rack) reset() {
	r.placementTable = placement.NewTable()
	r.workers = map[cluster.WorkerID]*worker{}
	r.sortedWorkers = nil
	r.reports = map[cluster.WorkerID]platform.WorkerReport{}
	for _, a := range r.assignmentList {
		a.dropped = true
	}
	r.assignments = map[cluster.JobID]*assignment{}
	r.tombstones = map[cluster.JobID]tombstone{}
	r.assignmentList = nil
	r.usedByTeam = map[cluster.TeamName]cluster.Resources{}
	r.frozenGrants = map[cluster.TeamName]cluster.Resources{}
	r.demands = map[cluster.TeamName]cluster.Resources{}
	r.holds = nil
	r.queue, r.queueCapacity = newQueue(), cluster.Resources{}
	r.queueUsage = map[cluster.TeamName]cluster.Resources{}
	r.queueLimits = map[cluster.TeamName]placement.TeamConfig{}
	r.staleAttempts = map[cluster.AttemptID]*worker{}
	r.hasUnfencedWorkers, r.loadInFlight = false, false
	r.cursor, r.commands, r.sentCommands, r.deferredCommands = 0, nil, nil, nil
	r.exchangeInFlight, r.flushInFlight, r.handingOver = false, false, false
	r.failingSince, r.exchangeRetryDelay, r.flushRetryAt = time.Time{}, 0, time.Time{}
}

// attach assigns a task to a worker and accounts for its resources there.
func (r *rack) attach(t *task, w *worker, size cluster.Resources) {
	t.worker, t.size = w, size
	w.tasks[t.id()] = t
	team := t.assignment.id.Team
	r.usedByTeam[team] = r.usedByTeam[team].Add(size)
	r.syncWorker(w)
}

// detach removes a task from its worker, if it has one, and releases its resources.
func (r *rack) detach(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id())
	team := t.assignment.id.Team
	r.usedByTeam[team] = r.usedByTeam[team].Sub(t.size)
	r.queue.SubtractUsage(team, t.size)
	r.queueUsage[team] = r.queueUsage[team].Sub(t.size).Max(cluster.Resources{})
	t.worker, t.size, t.throttledCPU = nil, cluster.Resources{}, 0
	r.syncWorker(w)
	if r.closedReason(w) == "" {
		r.queue.RecordFreed(w.capacity.Sub(r.workerLoad(w)))
	}
}

// addQueueUsage adds to a team's usage in the queue the resources of a task that was not started from the queue.
func (r *rack) addQueueUsage(team cluster.TeamName, size cluster.Resources) {
	r.queue.AddUsage(team, size)
	r.queueUsage[team] = r.queueUsage[team].Add(size)
}

// workerLoad returns the resources that are used on the worker, including holds of gang jobs.
func (r *rack) workerLoad(w *worker) cluster.Resources { return w.load }

// sumLoad computes the load of a worker.
func (r *rack) sumLoad(w *worker) cluster.Resources {
	var sum cluster.Resources
	for _, t := range w.tasks {
		sum = sum.Add(t.size)
	}
	for _, size := range w.staleSizes {
		sum = sum.Add(size)
	}
	for _, h := range r.holds {
		for _, id := range h.workers {
			if id == w.id {
				sum = sum.Add(h.size)
			}
		}
	}
	return sum
}

// syncWorker copies the state of a worker into the placement table.
func (r *rack) syncWorker(w *worker) {
	w.load = r.sumLoad(w)
	r.placementTable.Set(placement.Worker{
		ID: w.id, Rack: r.id, Place: w.place, Capacity: w.capacity, Used: w.load, Closed: r.closedReason(w) != "",
	})
}

// closedReason returns why a worker gets no new tasks; empty if it gets new tasks.
func (r *rack) closedReason(w *worker) string {
	switch {
	case !w.fenced:
		return "not fenced"
	case !w.reachable:
		return "unreachable"
	case !r.failingSince.IsZero():
		return "rack unreachable"
	case w.leaving:
		return "leaving"
	}
	switch state := r.controller.health.State(w.id, r.controller.now); state {
	case placement.Quarantined, placement.Probing:
		return state.String()
	case placement.Healthy, placement.ProbeDue:
	}
	return ""
}

// setState changes the state of a task and updates the counts of its assignment.
func (t *task) setState(s cluster.TaskState, now time.Time) {
	a := t.assignment
	a.count(t.state, -1)
	t.state, t.stateSince = s, now
	a.count(s, 1)
}

// count adds n to the count of tasks in a state.
func (a *assignment) count(s cluster.TaskState, n int) {
	if s == cluster.TaskPending {
		a.pendingCount += n
	}
	if s.Terminal() {
		a.endedCount += n
	}
}

// addTask adds a task to the assignment.
func (a *assignment) addTask(t *task) {
	a.tasks = append(a.tasks, t)
	a.tasksByIndex[t.index] = t
	a.count(t.state, 1)
}

// removeTasks removes the tasks with the given indexes.
func (a *assignment) removeTasks(indexes map[int]bool) {
	kept := a.tasks[:0]
	for _, t := range a.tasks {
		if indexes[t.index] {
			a.count(t.state, -1)
			delete(a.tasksByIndex, t.index)
			continue
		}
		kept = append(kept, t)
	}
	clear(a.tasks[len(kept):])
	a.tasks = kept
}

// markDirty schedules a write of the assignment's row.
func (a *assignment) markDirty() { a.dirty = true }
