package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// task is one task of an assignment.
type task struct {
	of      *assignment
	index   int
	attempt cluster.Attempt
	state   cluster.TaskState
	// failures counts attempts that failed on a worker that was healthy.
	failures int8
	// pin is the worker written in the task's row; a non-idempotent task starts only there.
	pin cluster.WorkerID
	// pinDurable says that the row with the pin was committed.
	pinDurable bool
	// suspect says that an earlier owner may have started the attempt on a worker not yet fenced.
	suspect bool
	// stop says that the attempt is to be ended, and checkpoint that its state is to be kept.
	stop, checkpoint bool
	// drop says that the task is no longer part of its job.
	drop bool
	// budget says that the next attempt takes one retry from the budgets of job and team.
	budget bool
	// resume says that the next attempt continues a checkpoint.
	resume bool
	// zombies counts earlier attempts that still run somewhere; the task does not start before they end.
	zombies int8
	// worker and size are set while the task is starting or running.
	worker *worker
	size   cluster.Resources
	// throttled is the part of the processors that was taken from the running attempt.
	throttled cluster.CPU
	// since is when the task entered its state.
	since     time.Time
	notBefore time.Time
}

func (t *task) id() cluster.TaskID { return cluster.TaskID{Job: t.of.id, Index: t.index} }

func (t *task) attemptID() cluster.AttemptID {
	return cluster.AttemptID{Task: t.id(), Attempt: t.attempt}
}

// pinned reports whether the task may start only on its pin.
func (t *task) pinned() bool { return t.pin != "" }

// assignment is the part of a job that is delegated to one rack.
type assignment struct {
	id        cluster.JobID
	rack      *rack
	version   cluster.Version
	submitted int64
	tasks     []*task
	byIndex   map[int]*task
	// pending counts tasks that wait; ended counts tasks with a final state.
	pending, ended int
	// dirty says that the row differs from memory, urgent that a start waits for it to be written.
	dirty, urgent bool
	// size is what one task is granted now.
	size cluster.Resources
	// acks are results that may be acknowledged once the row is written.
	acks []ackEntry
	// moving says that a transaction that takes tasks away is in flight.
	moving bool
	gone   bool
	// requeue says that the assignment's place in the queue is to be computed again.
	requeue bool
	// nextReady is when the first task that is delayed becomes ready.
	nextReady time.Time
	// waits says why the first pending task was not placed; blockedSince since when.
	waits        string
	blockedSince time.Time
	nextMove     time.Time
}

type ackEntry struct {
	worker  cluster.WorkerID
	attempt cluster.AttemptID
}

// job is a job as of its row.
type job struct {
	id        cluster.JobID
	spec      *cluster.JobSpec
	version   cluster.Version
	submitted time.Time
	state     JobState
	cancel    bool
	// declared is the version of the configuration that declared the job; zero for jobs of callers.
	declared     cluster.Version
	home         cluster.RackID
	racks        []cluster.RackID
	round, abort uint32
	ended        time.Time
	counts       []int
	// gang is the progress of a gang start at the owner of the home rack.
	gang *gang
	// writing says that a transaction on the row is in flight here.
	writing   bool
	notBefore time.Time
	// queued says that the job is in the list of jobs to check for their end.
	queued bool
}

func (j *job) active() bool { return j.state == JobActive }

func (j *job) idempotent() bool {
	_, service := j.spec.Workload.(*cluster.Service)
	return j.spec.Idempotent || service
}

// worker is a worker of an owned rack.
type worker struct {
	id        cluster.WorkerID
	rack      *rack
	place     cluster.Place
	capacity  cluster.Resources
	epoch     cluster.Epoch
	reachable bool
	fenced    bool
	leaving   bool
	// listed workers are on the platform's list, unlisted ones were on it before.
	listed, unlisted bool
	// reported is when the worker last reported.
	reported time.Time
	// goneAt is when the worker was first found unreachable; its leases have lapsed a lease wait later.
	goneAt time.Time
	lapsed bool
	tasks  map[cluster.TaskID]*task
	// foreign is the size of attempts on the worker that are no current task's.
	foreign map[cluster.AttemptID]cluster.Resources
	// load is what all of them and the holds use, as of the last syncWorker.
	load cluster.Resources
}

// rack is a rack of the cell; the fields after phase are used while this daemon owns it.
type rack struct {
	// nextOffer is when blocked items are offered again.
	nextOffer time.Time
	c         *Controller
	id        cluster.RackID
	place     cluster.Place
	version   cluster.Version
	owner     cluster.DaemonID
	epoch     cluster.Epoch
	phase     phase
	// since is when the phase was entered.
	since time.Time
	// claiming says that a conditional write of the row is in flight.
	claiming  bool
	notBefore time.Time
	// nextRenewal is when a lease is renewed on behalf of a dead owner.
	nextRenewal time.Time

	table   *placement.Table
	workers map[cluster.WorkerID]*worker
	order   []*worker
	// reports holds what workers reported before the rows were read.
	reports map[cluster.WorkerID]platform.WorkerReport

	assignments map[cluster.JobID]*assignment
	// ended holds assignment rows that ended not long ago.
	ended map[cluster.JobID]endedRow
	list  []*assignment

	// used is what each team uses here; frozen is grant that counts as used until the rack is fenced.
	used   map[cluster.TeamName]cluster.Resources
	frozen map[cluster.TeamName]cluster.Resources
	// demands is what each team with work here could use, as last measured.
	demands map[cluster.TeamName]cluster.Resources
	// held is what other owners' gang jobs hold here.
	holds []*hold

	// queued is what the queue counts as used by each team, and limits what it was told.
	queued map[cluster.TeamName]cluster.Resources
	limits map[cluster.TeamName]placement.TeamConfig
	// queueTotal is the capacity that the queue was told.
	queueTotal cluster.Resources
	// zombies are earlier attempts that still run, and where.
	zombies map[cluster.AttemptID]*worker

	cursor       uint64
	exchanging   bool
	nextExchange time.Time
	commands     []command
	sent         []command
	// retries are commands to unreachable workers.
	retries []command
	// errSince is when exchanges began to fail; zero while they succeed.
	errSince  time.Time
	errDelay  time.Duration
	unfenced  bool
	flushing  bool
	nextFlush time.Time
	// flushAfter holds back the next write after a failed one.
	flushAfter time.Time
	// promised is what was assigned from here since the owner last told its free capacity.
	promised cluster.Resources
	// contested is when another daemon last claimed to own the rack.
	contested time.Time
	handover  bool
	// receiving says that a move to the rack is in flight.
	receiving bool
	// nextPreempt is when further victims may be chosen.
	nextPreempt time.Time
	// pinNext is the worker that the next pin is tried on.
	pinNext int
	// reading and loading say that a read of the rack's row or of its assignments is in flight.
	reading, loading bool
	// generation changes whenever the state of the rack is dropped, so that late answers are recognised.
	generation uint64
	// highest is the highest epoch seen at a worker.
	highest cluster.Epoch
	queue   *placement.Queue
}

type command struct {
	order platform.Command
	// task is set for starts and stops.
	task    *task
	attempt cluster.AttemptID
}

type phase int

// Phases of ownership, in the order of a takeover.
const (
	phaseElsewhere phase = iota
	// phaseRecheck waits for the rack's row to be read again after a pause or a refusal.
	phaseRecheck
	// phaseFencing raises the epoch at the workers.
	phaseFencing
	// phaseLoading reads the assignment rows.
	phaseLoading
	phaseActive
)

var phaseNames = [...]string{"elsewhere", "rechecking", "fencing", "loading", "active"}

func (p phase) String() string { return phaseNames[p] }

func newRack(c *Controller, id cluster.RackID) *rack {
	r := &rack{c: c, id: id}
	r.reset()
	return r
}

// reset forgets everything about what runs in the rack.
func (r *rack) reset() {
	r.table = placement.NewTable()
	r.workers = map[cluster.WorkerID]*worker{}
	r.order = nil
	r.reports = map[cluster.WorkerID]platform.WorkerReport{}
	for _, a := range r.list {
		a.gone = true
	}
	r.assignments = map[cluster.JobID]*assignment{}
	r.ended = map[cluster.JobID]endedRow{}
	r.list = nil
	r.used = map[cluster.TeamName]cluster.Resources{}
	r.frozen = map[cluster.TeamName]cluster.Resources{}
	r.demands = map[cluster.TeamName]cluster.Resources{}
	r.holds = nil
	r.queue, r.queueTotal = newQueue(), cluster.Resources{}
	r.queued = map[cluster.TeamName]cluster.Resources{}
	r.limits = map[cluster.TeamName]placement.TeamConfig{}
	r.zombies = map[cluster.AttemptID]*worker{}
	r.unfenced, r.loading = false, false
	r.cursor, r.commands, r.sent, r.retries = 0, nil, nil, nil
	r.exchanging, r.flushing, r.handover = false, false, false
	r.errDelay, r.flushAfter = 0, time.Time{}
}

// attach gives a task room on a worker.
func (r *rack) attach(t *task, w *worker, size cluster.Resources) {
	t.worker, t.size = w, size
	w.tasks[t.id()] = t
	team := t.of.id.Team
	r.used[team] = r.used[team].Add(size)
	r.syncWorker(w)
}

// detach takes a task off its worker.
func (r *rack) detach(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id())
	team := t.of.id.Team
	r.used[team] = r.used[team].Sub(t.size)
	r.queue.Release(team, t.size)
	r.queued[team] = r.queued[team].Sub(t.size).Max(cluster.Resources{})
	t.worker, t.size, t.throttled = nil, cluster.Resources{}, 0
	r.syncWorker(w)
	if r.closed(w) == "" {
		r.queue.Freed(w.capacity.Sub(r.load(w)))
	}
}

// countUse adds a task that did not come from the queue to what the queue counts as used.
func (r *rack) countUse(team cluster.TeamName, size cluster.Resources) {
	r.queue.Use(team, size)
	r.queued[team] = r.queued[team].Add(size)
}

// load returns what is used on the worker, holds of gang jobs included.
func (r *rack) load(w *worker) cluster.Resources { return w.load }

// addUp computes the load of a worker.
func (r *rack) addUp(w *worker) cluster.Resources {
	var sum cluster.Resources
	for _, t := range w.tasks {
		sum = sum.Add(t.size)
	}
	for _, size := range w.foreign {
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
	w.load = r.addUp(w)
	r.table.Set(placement.Worker{
		ID: w.id, Rack: r.id, Place: w.place, Capacity: w.capacity, Used: w.load, Closed: r.closed(w) != "",
	})
}

// closed says why a worker takes no new tasks; empty if it does.
func (r *rack) closed(w *worker) string {
	switch {
	case !w.fenced:
		return "not fenced"
	case !w.reachable:
		return "unreachable"
	case !r.errSince.IsZero():
		return "rack unreachable"
	case w.leaving:
		return "leaving"
	}
	switch state := r.c.health.State(w.id, r.c.now); state {
	case placement.Quarantined, placement.Probing:
		return state.String()
	case placement.Healthy, placement.ProbeDue:
	}
	return ""
}

// setState moves a task to a state and keeps the counters of its assignment.
func (t *task) setState(s cluster.TaskState, now time.Time) {
	a := t.of
	a.count(t.state, -1)
	t.state, t.since = s, now
	a.count(s, 1)
}

func (a *assignment) count(s cluster.TaskState, by int) {
	if s == cluster.TaskPending {
		a.pending += by
	}
	if s.Terminal() {
		a.ended += by
	}
}

func (a *assignment) add(t *task) {
	a.tasks = append(a.tasks, t)
	a.byIndex[t.index] = t
	a.count(t.state, 1)
}

// remove takes tasks out of the assignment.
func (a *assignment) remove(gone map[int]bool) {
	kept := a.tasks[:0]
	for _, t := range a.tasks {
		if gone[t.index] {
			a.count(t.state, -1)
			delete(a.byIndex, t.index)
			continue
		}
		kept = append(kept, t)
	}
	clear(a.tasks[len(kept):])
	a.tasks = kept
}

// markDirty asks for the assignment's row to be written.
func (a *assignment) markDirty() { a.dirty = true }
