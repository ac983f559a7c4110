package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// job is an accepted job with its progress.
type job struct {
	spec     *workload.Job
	progress *workload.Progress
	chains   []time.Duration
	// steps holds the steps of all occurrences, occurrence by occurrence.
	steps []*step
	// left is the number of tasks that are not done.
	left int
	// exposed says that an earlier owner may have started tasks of the job.
	exposed bool
	// surplus says that the team handed in more than its weight in jobs a second.
	surplus bool
	started bool
	dirty   bool
	// recorded is the generation that holds the final state; zero before.
	recorded uint64
	// visible is the state that callers are shown.
	visible workload.State
	arrived time.Time
}

// step is one step of one occurrence.
type step struct {
	id    StepID
	job   *job
	spec  *workload.Step
	tasks []task
	// waiting and left count the tasks without a run and those not done.
	waiting int
	left    int
	due     time.Time
	// begin is when the promised time of the occurrence starts, deadline when it ends.
	begin    time.Time
	deadline time.Time
	// urgency and rank hold for one placement pass.
	urgency urgency
	rank    int
	permits []permit
	// asked are the workers that advice was received about, question those of the open question.
	asked    map[*worker]platform.Incarnation
	question []*worker
	advising bool
	// askedLong says that the open question counts as a long one.
	askedLong bool
	askAfter  time.Time
	// searchAfter is when further workers are looked for again.
	searchAfter time.Time
	// gangRun is the run number that the members of a gang share; zero if none is active.
	gangRun platform.RunNumber
	// preempted is when tasks were stopped for the step last, plan the workers where.
	preempted time.Time
	plan      []*worker
}

// permit is the ticket of a step for a worker.
type permit struct {
	worker      *worker
	incarnation platform.Incarnation
	ticket      string
	expires     time.Time
}

// task is one task of a step.
type task struct {
	run        *run
	done       bool
	checkpoint string
	notBefore  time.Time
}

// runState is the state of a run as far as it is known.
type runState int

const (
	// runStarting is ordered and not yet answered.
	runStarting runState = iota
	// runActive is known to run.
	runActive
	// runDoubtful is ordered without an answer.
	runDoubtful
	// runStopping is to be stopped.
	runStopping
)

var runStateNames = [...]string{"starting", "active", "doubtful", "stopping"}

// String returns the state's name.
func (s runState) String() string { return runStateNames[s] }

// run is a start of a task that may be running.
type run struct {
	id     workload.TaskID
	number platform.RunNumber
	step   *step
	worker *worker
	size   cluster.Resources
	state  runState
	sent   time.Time
	// confirmed is when the start was known to be carried out.
	confirmed time.Time
	// listed says that a list of the worker's present incarnation had the run.
	listed bool
	// stopSent is when the last stop was sent, stopped when one was answered.
	stopSent time.Time
	stopped  time.Time
	percent  int
	moved    time.Time
}

// worker is a worker of the pool.
type worker struct {
	vm     platform.WorkerVM
	rack   string
	listed bool
	// fenced says that the worker has answered under this epoch in its present incarnation.
	fenced bool
	// sound is false after an order without an answer until a hold is answered.
	sound bool
	// silent is set while the worker is recorded as not answering. Its leases
	// are not renewed before it is recorded again, in the generation answering.
	silent    bool
	answering uint64
	// unanswered is set from a hold without an answer to the next one with.
	unanswered bool
	// registered is the generation that records the worker; zero if none does yet.
	registered uint64
	runs       map[workload.TaskID]*run
	used       cluster.Resources
	// usable and reserved are used by one placement pass only.
	usable   bool
	reserved cluster.Resources
	clock    time.Duration
	clockAt  time.Time
	// lapse is when every lease that was given has run out.
	lapse    time.Time
	holding  bool
	nextHold time.Time
	// seen is the last end that was read, acknowledge the last that is recorded.
	seen        uint64
	acknowledge uint64
	unrecorded  []endMark
	// failures counts the runs of different jobs that failed in a row.
	failures    int
	lastFailure cluster.JobName
	quarantined time.Time
	speed       float64
	// questions is the number of open questions about the worker.
	questions int
}

// endMark is an end that may be acknowledged once a generation is recorded.
type endMark struct {
	number     uint64
	generation uint64
}

// RecordedWorker is a worker that orders may have been given to.
type RecordedWorker struct {
	ID cluster.WorkerID
	// Lapse is when the leases of a worker that does not answer have run out;
	// none is given before a later record. Zero if the worker answers.
	Lapse time.Time
}

// predecessor is a worker that an earlier owner may have given orders to and that has not answered yet.
type predecessor struct {
	// until is when everything there has lapsed.
	until time.Time
}

// usage is what a team runs.
type usage struct {
	running cluster.Resources
	// unseen is what it may run on workers that have not answered since a takeover.
	unseen cluster.Resources
	// tokens are the jobs that the team may hand in now within its weight.
	tokens  float64
	updated time.Time
	// askAfter is when a larger share of the limit may be asked for again.
	askAfter time.Time
}
