package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Job is an accepted job of a team: steps of tasks that may depend on each other.
type Job struct {
	ID    cluster.JobName
	Team  cluster.TeamName
	Queue cluster.QueueName
	// Spec is an opaque specification that is passed to the workers.
	Spec       string
	Steps      []Step
	Recurrence Recurrence
	// AcceptedAt is when a daemon accepted the job.
	AcceptedAt time.Time
	// Terms are the terms of the queue when the job was accepted; they apply if the queue is withdrawn later.
	Terms Terms
}

// Terms are the service terms of a queue for its jobs: where they run, in which order and by when.
type Terms struct {
	// Service is the pool of workers that runs the jobs.
	Service cluster.ServiceName
	// Rank orders the queues of a pool; 0 goes first.
	Rank int
	// MaxAttempts is how many runs of a task or a gang may fail; zero means no limit.
	MaxAttempts int
	// An occurrence of a job should complete within Stretch times its critical path plus Target.
	Stretch float64
	Target  time.Duration
	// Advice is nil if every worker may run the job.
	Advice *cluster.AdvicePolicy
}

// TermsOf returns the terms of a queue.
func TermsOf(q *cluster.Queue) Terms {
	return Terms{Service: q.Service, Rank: q.Rank, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Advice: q.Advice}
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Size is the resources that one task uses on a worker.
	Size cluster.Resources
	// Estimate is the declared run time of one task.
	Estimate time.Duration
	// After lists the indexes of the steps that must be done first.
	After []int
	// Checkpoints means that the tasks save checkpoints from which they can resume.
	Checkpoints bool
	// Gang means that all tasks must run at the same time.
	Gang bool
	// SameRack means that the tasks are slower when spread over several racks.
	SameRack bool
	// Label is a label that a worker must have; empty if none is required.
	Label string
	// Affinity is the rack that holds the data; empty for none.
	Affinity string
	// MaxPerWorker is the maximum number of tasks of the step on one worker; zero for no limit.
	MaxPerWorker int
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Image names the image that the tasks run.
	Image string
	// LatencyTarget is the limit for the tail latency of the tasks' responses; zero for none.
	LatencyTarget time.Duration
	// BestEffortCPU means that the tasks use only processor time that other tasks leave idle.
	BestEffortCPU bool
	// MaxUnavailable is how many tasks may be unavailable at once because of planned maintenance.
	MaxUnavailable int
}

// Recurrence runs the steps of a job several times; the zero value runs them once, immediately.
type Recurrence struct {
	// Count is the number of occurrences; zero means one, which starts immediately.
	Count int
	// FirstStart is the start of the first occurrence, Interval the time between the starts of two.
	FirstStart time.Time
	Interval   time.Duration
}

// Limits of a job.
const (
	// MaxSpec is the largest specification in bytes, as specified by the platform.
	MaxSpec = 4000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence, so that the row of a job stays small.
	MaxTasks = 4096
	// MaxOccurrences bounds the occurrences of a job for the same reason.
	MaxOccurrences = 1024
	// maxTotalTasks bounds the tasks of all occurrences together.
	maxTotalTasks = 1 << 17
)

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Recurrence.Count) }

// OccurrenceStart returns when an occurrence may start; a zero time means immediately.
func (j *Job) OccurrenceStart(occurrence int) time.Time {
	if j.Recurrence.Count == 0 {
		return time.Time{}
	}
	return j.Recurrence.FirstStart.Add(time.Duration(occurrence) * j.Recurrence.Interval)
}

// WithoutPayload returns a copy of the job that has its tasks but not what is only needed to run them.
func (j *Job) WithoutPayload() *Job {
	ended := *j
	ended.Spec, ended.Steps = "", slices.Clone(j.Steps)
	for i := range ended.Steps {
		s := &ended.Steps[i]
		s.After, s.Label, s.Affinity, s.Image = nil, "", "", ""
	}
	return &ended
}

// TasksPerOccurrence returns the number of tasks of all steps.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// Validate returns an Error of kind KindInvalid that says which limit the job violates, or nil.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpec:
		return invalid("spec has %d bytes, at most %d are allowed", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return invalid("there are %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.Recurrence.Count < 0 || j.Recurrence.Count > MaxOccurrences:
		return invalid("the job repeats %d times, 0 to %d are allowed", j.Recurrence.Count, MaxOccurrences)
	case j.Recurrence.Interval < 0:
		return invalid("the interval is negative")
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i, len(j.Steps)); err != nil {
			return err
		}
	}
	if n := j.TasksPerOccurrence(); n > MaxTasks || n*j.Occurrences() > maxTotalTasks {
		return invalid("the job has %d tasks in each of %d occurrences, which is too many", n, j.Occurrences())
	}
	if _, ok := j.topologicalOrder(); !ok {
		return invalid("the steps depend on each other in a cycle")
	}
	return nil
}

func (s *Step) validate(index, steps int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalid("step %d has %d tasks, 1 to %d are allowed", index, s.Tasks, MaxTasks)
	case s.Size.Negative():
		return invalid("step %d has a negative size", index)
	case s.Estimate < 0 || s.LatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return invalid("step %d has a negative limit", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= steps || a == index {
			return invalid("step %d runs after step %d, which is not another step of the job", index, a)
		}
	}
	return nil
}

// topologicalOrder returns the indexes of the steps with each step after its dependencies, and false if there
// is a cycle.
func (j *Job) topologicalOrder() ([]int, bool) {
	order := make([]int, 0, len(j.Steps))
	placed := make([]bool, len(j.Steps))
	for len(order) < len(j.Steps) {
		before := len(order)
		for i := range j.Steps {
			if !placed[i] && allPlaced(placed, j.Steps[i].After) {
				placed[i] = true
				order = append(order, i)
			}
		}
		if len(order) == before {
			return nil, false
		}
	}
	return order, true
}

func allPlaced(placed []bool, steps []int) bool {
	for _, s := range steps {
		if !placed[s] {
			return false
		}
	}
	return true
}

// CriticalPaths returns for each step the longest estimated time from its start to the end of the job.
func (j *Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	order, ok := j.topologicalOrder()
	if !ok {
		return paths
	}
	for i := range j.Steps {
		paths[i] = j.Steps[i].Estimate
	}
	for i := len(order) - 1; i >= 0; i-- {
		step := order[i]
		for _, a := range j.Steps[step].After {
			paths[a] = max(paths[a], j.Steps[a].Estimate+paths[step])
		}
	}
	return paths
}

// TaskID identifies a task of an occurrence of a job.
type TaskID struct {
	Job        cluster.JobName
	Occurrence int
	Step       int
	Index      int
}

// String formats the identifier as job.occurrence.step.index.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the format of TaskID.String and returns false for any other string.
func ParseTaskID(s string) (TaskID, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{Job: cluster.JobName(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, true
}

func invalid(format string, args ...any) error {
	return &Error{Op: "check job", Kind: KindInvalid, Err: fmt.Errorf(format, args...)}
}
