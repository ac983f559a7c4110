package cluster

import "fmt"

// Identifiers and version numbers in a cell.
type (
	// Region is the name of a region; traffic between regions is charged by volume.
	Region string
	// Zone is the name of an availability zone.
	Zone string
	// RackID identifies a rack, the unit of ownership: one daemon owns all workers of a rack.
	RackID string
	// WorkerID identifies a worker VM.
	WorkerID string
	// UpstreamID identifies a runner VM that serves requests.
	UpstreamID string
	// DaemonID identifies one run of a daemon; a restarted daemon has a new one.
	DaemonID string
	// TeamName identifies a team.
	TeamName string
	// KeyName identifies a key; it is not the key's secret.
	KeyName string
	// QueueName identifies a queue.
	QueueName string
	// ServiceName identifies a service.
	ServiceName string
	// JobName is the caller's name of a job, unique within its team.
	JobName string
	// Epoch is the fencing token of a rack or of a shard; it only increases.
	Epoch uint64
	// Attempt is the number of an attempt of a task. It increases with each
	// attempt, and a job that is submitted later under the same name starts at a
	// higher number.
	Attempt uint32
	// Version is the number of a commit of the table service or of a release note.
	Version uint64
)

// Place is the location of a VM.
type Place struct {
	Region Region
	Zone   Zone
}

// JobID identifies a job within the cell.
type JobID struct {
	Team TeamName
	Name JobName
}

// String formats the identifier as team/name.
func (j JobID) String() string { return string(j.Team) + "/" + string(j.Name) }

// TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String formats the identifier as team/name#index.
func (t TaskID) String() string { return fmt.Sprintf("%s#%d", t.Job, t.Index) }

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    TaskID
	Attempt Attempt
}

// String formats the identifier as team/name#index@attempt.
func (a AttemptID) String() string { return fmt.Sprintf("%s@%d", a.Task, a.Attempt) }
