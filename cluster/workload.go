package cluster

import "time"

// Workload is what a job runs: a *Service, *Batch or *Gang.
type Workload interface{ workload() }

// Service is a long-running workload whose replicas are spread over zones and racks.
type Service struct {
	Replicas int
	Size     Resources
}

// Batch is a workload of independent tasks.
type Batch struct {
	Tasks int
	Size  Resources
	// RunTime is the declared run time of one task.
	RunTime time.Duration
}

// Gang is a workload whose tasks must all start together or not at all.
type Gang struct {
	Tasks   int
	Size    Resources
	RunTime time.Duration
}

func (*Service) workload() {}
func (*Batch) workload()   {}
func (*Gang) workload()    {}

// Priority orders the work of a team and determines whether it may be deferred.
type Priority int

// Priorities, lowest first.
const (
	// PriorityDeferrable work may be delayed, up to the queue's MaxWait.
	PriorityDeferrable Priority = iota
	// PriorityNormal is the default priority.
	PriorityNormal
	// PriorityUrgent work of a team that is within its share starts before other work of any team.
	PriorityUrgent
)

// JobSpec is the specification of a job as it is submitted.
type JobSpec struct {
	ID       JobID
	Queue    QueueName
	Workload Workload
	Priority Priority
	// Deadline is the time by which the job must have finished; zero means none.
	Deadline time.Time
	// Idempotent means that a task may run again after an attempt with an unknown outcome.
	Idempotent bool
	// Checkpoints means that tasks can be checkpointed and resumed.
	Checkpoints bool
	// MaxAttempts is the number of failed attempts after which a task has failed; zero means the default of 3.
	MaxAttempts int
	// Command is passed to the worker without interpretation.
	Command []string
}

// TaskCount returns the number of tasks or replicas and the size of each.
func (s *JobSpec) TaskCount() (int, Resources) {
	switch w := s.Workload.(type) {
	case *Service:
		return w.Replicas, w.Size
	case *Batch:
		return w.Tasks, w.Size
	case *Gang:
		return w.Tasks, w.Size
	}
	return 0, Resources{}
}

// RunTime returns the declared run time of a task; zero for services.
func (s *JobSpec) RunTime() time.Duration {
	switch w := s.Workload.(type) {
	case *Batch:
		return w.RunTime
	case *Gang:
		return w.RunTime
	}
	return 0
}

// TaskState is the state of a task.
type TaskState int

// Task states.
const (
	TaskPending TaskState = iota
	TaskStarting
	TaskRunning
	TaskFinished
	TaskFailed
	// TaskUnknown is the final state of a non-idempotent task whose last attempt may or may not have run.
	TaskUnknown
	TaskStopped
)

var taskStateNames = [...]string{"pending", "starting", "running", "finished", "failed", "unknown", "stopped"}

// String returns the state's name in lower case.
func (s TaskState) String() string { return taskStateNames[s] }

// Terminal reports whether the state is final.
func (s TaskState) Terminal() bool { return s >= TaskFinished }
