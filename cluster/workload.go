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

// Gang is a workload whose tasks start all at once or not at all.
type Gang struct {
	Tasks   int
	Size    Resources
	RunTime time.Duration
}

func (*Service) workload() {}
func (*Batch) workload()   {}
func (*Gang) workload()    {}

// Priority orders work of a team and decides who may wait.
type Priority int

// Priorities, lowest first.
const (
	// PriorityDeferrable may wait, but not forever.
	PriorityDeferrable Priority = iota
	// PriorityNormal is the default.
	PriorityNormal
	// PriorityUrgent starts before other work of any team within its share.
	PriorityUrgent
)

// JobSpec is a job as it is handed in.
type JobSpec struct {
	ID       JobID
	Queue    QueueName
	Workload Workload
	Priority Priority
	// Deadline is when the job must have finished; zero for none.
	Deadline time.Time
	// Idempotent says that a task may be run again after an attempt with an unknown end.
	Idempotent bool
	// Checkpoints says that tasks can be checkpointed and resumed.
	Checkpoints bool
	// MaxAttempts limits the attempts of one task; zero means the default of 3.
	MaxAttempts int
	// Command is passed to the worker unread.
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
	// TaskUnknown is the end of a non-idempotent task whose last attempt may or may not have run.
	TaskUnknown
	TaskStopped
)

var taskStateNames = [...]string{"pending", "starting", "running", "finished", "failed", "unknown", "stopped"}

// String returns the state's name in lower case.
func (s TaskState) String() string { return taskStateNames[s] }

// Terminal reports whether the state is final.
func (s TaskState) Terminal() bool { return s >= TaskFinished }
