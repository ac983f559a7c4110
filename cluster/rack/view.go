package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// View is a listing of the controller's state, ordered by name.
type View struct {
	Jobs    []JobView
	Workers []WorkerView
	Teams   []TeamView
	Racks   []RackView
}

// JobView is a job as this daemon knows it.
type JobView struct {
	ID    cluster.JobID
	Queue cluster.QueueName
	// Kind is the kind of workload: service, batch or gang.
	Kind        string
	State       JobState
	Priority    cluster.Priority
	SubmittedAt time.Time
	// HomeRack is the rack whose owner starts the job's gang rounds and records its end.
	HomeRack cluster.RackID
	// TaskCounts is the number of the job's tasks on this daemon's racks by state, indexed by cluster.TaskState.
	TaskCounts [cluster.TaskStopped + 1]int
	// FinalCounts is the number of the tasks of the whole job by final state, from the row of an ended job.
	FinalCounts [cluster.TaskStopped + 1]int
	// WaitReason is why tasks are pending; empty if none are.
	WaitReason string
}

// WorkerView is a worker of a rack that this daemon owns.
type WorkerView struct {
	ID       cluster.WorkerID
	Rack     cluster.RackID
	Place    cluster.Place
	Capacity cluster.Resources
	// Used is the resources that tasks, stale attempts and holds of gang jobs use.
	Used cluster.Resources
	// Tasks is the number of tasks that are starting or running.
	Tasks int
	// ClosedReason is why the worker gets no new tasks; empty if it gets new tasks.
	ClosedReason string
	// Epoch is the highest epoch that the worker has seen.
	Epoch cluster.Epoch
}

// TeamView is a team's usage of this daemon's racks.
type TeamView struct {
	Name cluster.TeamName
	// Share is the team's configured weight, Limit its configured limit in the whole cell.
	Share int
	Limit cluster.Resources
	// Running is the resources that the team uses on the racks of this daemon.
	Running cluster.Resources
	// Grant is the part of the team's limit that is granted to the racks of this daemon.
	Grant cluster.Resources
	// Pending is the number of the team's pending tasks on the racks of this daemon.
	Pending int
}

// RackView is a rack and its owner.
type RackView struct {
	ID    cluster.RackID
	Owner cluster.DaemonID
	Epoch cluster.Epoch
	// Phase is the phase of ownership; "elsewhere" for racks that this daemon does not own.
	Phase string
	// Workers, Free and Pending are the number of workers, the free capacity of those that get new
	// tasks, and the number of pending tasks; zero for racks that this daemon does not own.
	Workers int
	Free    cluster.Resources
	Pending int
}

// JobState is the state of a job.
type JobState int

// Job states.
const (
	// JobActive is a job that has not ended.
	JobActive JobState = iota
	// JobFinished is a job whose tasks all finished.
	JobFinished
	// JobFailed is a job with a task that failed permanently.
	JobFailed
	// JobUnknown is a job with a task whose outcome is unknown.
	JobUnknown
	// JobCancelled is a job that was cancelled by a caller or whose declaration was withdrawn.
	JobCancelled
)

var jobStateNames = [...]string{"active", "finished", "failed", "unknown", "cancelled"}

// String returns the state in lower case.
func (s JobState) String() string { return jobStateNames[s] }
