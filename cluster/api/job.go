package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Limits of a submission.
const (
	// MaxTasks limits the tasks of one job, so that its assignment rows stay well under a megabyte.
	MaxTasks = 10_000
	// MaxNameLength limits the length of an identifier chosen by a caller.
	MaxNameLength = 128
	// MaxAttempts is the largest MaxAttempts of a JobRequest.
	MaxAttempts = 100
	// maxCommandBytes limits the size of a command, which is sent with every start of a task.
	maxCommandBytes = 16 << 10
	// maxCPUs limits the cores of one task.
	maxCPUs = 1 << 20
)

// Names of workloads in a JobRequest.
const (
	WorkloadService = "service"
	WorkloadBatch   = "batch"
	WorkloadGang    = "gang"
)

var priorityNames = [...]string{"deferrable", "normal", "urgent"}

// PriorityName returns the name of a priority in bodies; an unknown priority is named normal.
func PriorityName(p cluster.Priority) string {
	if p < 0 || int(p) >= len(priorityNames) {
		return "normal"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name; the empty name means normal.
func ParsePriority(name string) (cluster.Priority, error) {
	if name == "" {
		return cluster.PriorityNormal, nil
	}
	for i, n := range priorityNames {
		if n == name {
			return cluster.Priority(i), nil
		}
	}
	return 0, fmt.Errorf("%q is not one of deferrable, normal, urgent", name)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckName returns an error if name can't be part of a row key and of a URL path.
func CheckName(name string) error {
	if name == "" {
		return errors.New("is missing")
	}
	if len(name) > MaxNameLength {
		return fmt.Errorf("has %d bytes; at most %d are allowed", len(name), MaxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q must start with a letter or digit and hold only letters, digits, dots, dashes and underscores", name)
	}
	return nil
}

// JobRequest is the body of a submission.
type JobRequest struct {
	// ID is the caller's name of the job, unique within its team.
	ID string `json:"id"`
	// Workload is batch, gang or service.
	Workload string `json:"workload"`
	// Tasks is the number of tasks, or of replicas of a service.
	Tasks int `json:"tasks"`
	// CPUs is the number of cores of one task.
	CPUs float64 `json:"cpus"`
	// Memory is a size such as 512MiB.
	Memory       string `json:"memory"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// RunTime is a Go duration such as 90s; services have none.
	RunTime string `json:"runTime,omitempty"`
	// Priority is deferrable, normal or urgent; empty means the priority of the queue.
	Priority string `json:"priority,omitempty"`
	// Deadline is a time in RFC 3339 format.
	Deadline    string `json:"deadline,omitempty"`
	Idempotent  bool   `json:"idempotent,omitempty"`
	Checkpoints bool   `json:"checkpoints,omitempty"`
	// MaxAttempts is the number of failed attempts after which a task has failed; zero means the default.
	MaxAttempts int      `json:"maxAttempts,omitempty"`
	Command     []string `json:"command,omitempty"`
}

// DecodeJobRequest decodes a submission; unknown fields and trailing data are errors.
func DecodeJobRequest(data []byte) (JobRequest, error) {
	var r JobRequest
	return r, decodeStrict("decode job request", data, &r)
}

// decodeStrict decodes data into v; unknown fields and trailing data are errors of KindMalformed.
func decodeStrict(op string, data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{Op: op, Kind: KindMalformed, Err: errors.New("data after the end of the body")}
	}
	return nil
}

// Spec converts a submission by a team to a queue into a job specification. Its
// error is an *Error of KindInvalid with one line per invalid field.
func (r *JobRequest) Spec(team cluster.TeamName, queue cluster.QueueName) (*cluster.JobSpec, error) {
	var fields []string
	addError := func(field string, err error) {
		if err != nil {
			fields = append(fields, field+": "+err.Error())
		}
	}
	addError("id", CheckName(r.ID))
	size, sizeErrors := r.size()
	fields = append(fields, sizeErrors...)
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		addError("tasks", fmt.Errorf("%d is not between 1 and %d", r.Tasks, MaxTasks))
	}
	runTime, err := r.runTime()
	addError("runTime", err)
	priority, err := ParsePriority(r.Priority)
	addError("priority", err)
	deadline, err := r.deadline()
	addError("deadline", err)
	if r.MaxAttempts < 0 || r.MaxAttempts > MaxAttempts {
		addError("maxAttempts", fmt.Errorf("%d is not between 0 and %d", r.MaxAttempts, MaxAttempts))
	}
	addError("command", r.checkCommand())
	workload, err := r.workload(size, runTime)
	addError("workload", err)
	if len(fields) > 0 {
		return nil, &Error{Op: "job request", Kind: KindInvalid, Fields: fields}
	}
	return &cluster.JobSpec{
		ID: cluster.JobID{Team: team, Name: cluster.JobName(r.ID)}, Queue: queue, Workload: workload,
		Priority: priority, Deadline: deadline, Idempotent: r.Idempotent, Checkpoints: r.Checkpoints,
		MaxAttempts: r.MaxAttempts, Command: r.Command,
	}, nil
}

// size returns the resources of one task and one line per invalid field.
func (r *JobRequest) size() (size cluster.Resources, fields []string) {
	if math.IsNaN(r.CPUs) || r.CPUs < 0.001 || r.CPUs > maxCPUs {
		fields = append(fields, fmt.Sprintf("cpus: %v is not between 0.001 and %d", r.CPUs, maxCPUs))
	} else {
		size.CPU = cluster.CPU(math.Round(r.CPUs * float64(cluster.Core)))
	}
	memory, err := ParseBytes(r.Memory)
	if err == nil && memory < 1 {
		err = errors.New("must be more than 0B")
	}
	if err != nil {
		fields = append(fields, "memory: "+err.Error())
	}
	size.Memory = memory
	if r.Accelerators < 0 {
		fields = append(fields, "accelerators: must not be negative")
	}
	size.Accelerators = r.Accelerators
	return size, fields
}

func (r *JobRequest) runTime() (time.Duration, error) {
	if r.RunTime == "" {
		if r.Workload == WorkloadBatch || r.Workload == WorkloadGang {
			return 0, errors.New("is missing")
		}
		return 0, nil
	}
	if r.Workload == WorkloadService {
		return 0, errors.New("a service has none")
	}
	d, err := time.ParseDuration(r.RunTime)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is not a duration such as 90s", r.RunTime)
	}
	return d, nil
}

func (r *JobRequest) deadline() (time.Time, error) {
	if r.Deadline == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, r.Deadline)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is not a time such as 2026-01-31T18:00:00Z", r.Deadline)
	}
	return t, nil
}

func (r *JobRequest) checkCommand() error {
	n := 0
	for _, arg := range r.Command {
		n += len(arg)
	}
	if n > maxCommandBytes {
		return fmt.Errorf("has %d bytes; at most %d are allowed", n, maxCommandBytes)
	}
	return nil
}

func (r *JobRequest) workload(size cluster.Resources, runTime time.Duration) (cluster.Workload, error) {
	switch r.Workload {
	case WorkloadService:
		return &cluster.Service{Replicas: r.Tasks, Size: size}, nil
	case WorkloadBatch:
		return &cluster.Batch{Tasks: r.Tasks, Size: size, RunTime: runTime}, nil
	case WorkloadGang:
		return &cluster.Gang{Tasks: r.Tasks, Size: size, RunTime: runTime}, nil
	}
	return nil, fmt.Errorf("%q is not one of batch, gang, service", r.Workload)
}

// FromSpec returns the submission whose Spec method returns s.
func FromSpec(s *cluster.JobSpec) JobRequest {
	tasks, size := s.TaskCount()
	r := JobRequest{
		ID: string(s.ID.Name), Tasks: tasks, CPUs: float64(size.CPU) / float64(cluster.Core), Memory: FormatBytes(size.Memory),
		Accelerators: size.Accelerators, Priority: PriorityName(s.Priority), Idempotent: s.Idempotent,
		Checkpoints: s.Checkpoints, MaxAttempts: s.MaxAttempts, Command: s.Command,
	}
	switch s.Workload.(type) {
	case *cluster.Service:
		r.Workload = WorkloadService
	case *cluster.Batch:
		r.Workload = WorkloadBatch
	case *cluster.Gang:
		r.Workload = WorkloadGang
	}
	if d := s.RunTime(); d > 0 {
		r.RunTime = d.String()
	}
	if !s.Deadline.IsZero() {
		r.Deadline = s.Deadline.UTC().Format(time.RFC3339Nano)
	}
	return r
}
