package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// View is a listing of what the controller knows, ordered by name.
type View struct {
	Jobs    []JobView
	Workers []WorkerView
	Teams   []TeamView
	Racks   []RackView
}

// JobView is a job as seen by the owners of its racks that this daemon hears of.
type JobView struct {
	ID        cluster.JobID
	Queue     cluster.QueueName
	Kind      string
	State     JobState
	Priority  cluster.Priority
	Submitted time.Time
	Home      cluster.RackID
	// Tasks counts the job's tasks on this daemon's racks by state, indexed by cluster.TaskState.
	Tasks [cluster.TaskStopped + 1]int
	// Recorded counts the tasks of the whole job whose end is in the job's row, by state.
	Recorded [cluster.TaskStopped + 1]int
	// Waits says why pending tasks wait; empty if none do.
	Waits string
}

// WorkerView is a worker of a rack that this daemon owns.
type WorkerView struct {
	ID       cluster.WorkerID
	Rack     cluster.RackID
	Place    cluster.Place
	Capacity cluster.Resources
	Used     cluster.Resources
	Tasks    int
	// Closed says why the worker takes no new tasks; empty if it does.
	Closed string
	Epoch  cluster.Epoch
}

// TeamView is a team's use of this daemon's racks.
type TeamView struct {
	Name  cluster.TeamName
	Share int
	Limit cluster.Resources
	// Running is what the team's tasks use on the racks of this daemon.
	Running cluster.Resources
	// Grant is the part of the limit that the racks of this daemon hold.
	Grant cluster.Resources
	// Pending is the number of the team's tasks that wait here.
	Pending int
}

// RackView is a rack and its owner.
type RackView struct {
	ID    cluster.RackID
	Owner cluster.DaemonID
	Epoch cluster.Epoch
	// Phase is the state of the takeover, or "elsewhere" for racks of other daemons.
	Phase   string
	Workers int
	Free    cluster.Resources
	Pending int
}

// JobState is the state of a job.
type JobState int

// Job states.
const (
	// JobActive has tasks that have not ended.
	JobActive JobState = iota
	// JobFinished has only tasks that finished.
	JobFinished
	// JobFailed has a task that failed for good.
	JobFailed
	// JobUnknown has a task whose end is unknown.
	JobUnknown
	// JobCancelled was cancelled by a caller or withdrawn.
	JobCancelled
)

var jobStateNames = [...]string{"active", "finished", "failed", "unknown", "cancelled"}

// String returns the state in lower case.
func (s JobState) String() string { return jobStateNames[s] }
