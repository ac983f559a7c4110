package api

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against a field that is lost or changed in the conversion between specification and body.
func TestSpecRoundTrip(t *testing.T) {
	is := is.New(t)
	size := cluster.Resources{CPU: 1250, Memory: 512 * cluster.MiB, Accelerators: 2}
	for _, w := range []cluster.Workload{
		&cluster.Batch{Tasks: 7, Size: size, RunTime: 90 * time.Second},
		&cluster.Gang{Tasks: 3, Size: size, RunTime: time.Hour},
		&cluster.Service{Replicas: 2, Size: size},
	} {
		spec := &cluster.JobSpec{
			ID: cluster.JobID{Team: "archive", Name: "t-1"}, Queue: "batch", Workload: w, Priority: cluster.PriorityUrgent,
			Deadline: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Idempotent: true, Checkpoints: true, MaxAttempts: 4, Command: []string{"run", "x"},
		}
		r := FromSpec(spec)
		got, err := r.Spec("archive", "batch")
		is.NoErr(err)
		is.Equal(got, spec)
	}
}

// Guards against an invalid field that is accepted or reported without its name.
func TestSpecFieldErrors(t *testing.T) {
	valid := JobRequest{ID: "a", Workload: WorkloadBatch, Tasks: 1, CPUs: 1, Memory: "1GiB", RunTime: "1s"}
	cases := []struct {
		field string
		edit  func(*JobRequest)
	}{
		{"id", func(r *JobRequest) { r.ID = "a/b" }},
		{"id", func(r *JobRequest) { r.ID = "" }},
		{"workload", func(r *JobRequest) { r.Workload = "cron" }},
		{"tasks", func(r *JobRequest) { r.Tasks = 0 }},
		{"tasks", func(r *JobRequest) { r.Tasks = MaxTasks + 1 }},
		{"cpus", func(r *JobRequest) { r.CPUs = 0 }},
		{"memory", func(r *JobRequest) { r.Memory = "512" }},
		{"memory", func(r *JobRequest) { r.Memory = "-1MiB" }},
		{"memory", func(r *JobRequest) { r.Memory = "0B" }},
		{"accelerators", func(r *JobRequest) { r.Accelerators = -1 }},
		{"runTime", func(r *JobRequest) { r.RunTime = "" }},
		{"runTime", func(r *JobRequest) { r.RunTime = "-4s" }},
		{"runTime", func(r *JobRequest) { r.Workload = WorkloadService }},
		{"priority", func(r *JobRequest) { r.Priority = "high" }},
		{"deadline", func(r *JobRequest) { r.Deadline = "tomorrow" }},
		{"maxAttempts", func(r *JobRequest) { r.MaxAttempts = -1 }},
		{"command", func(r *JobRequest) { r.Command = []string{strings.Repeat("x", maxCommandBytes+1)} }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			r := valid
			c.edit(&r)
			_, err := r.Spec("t", "q")
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(len(e.Fields), 1)
			is.True(strings.HasPrefix(e.Fields[0], c.field+": "))
		})
	}
}

// Guards against misspelt fields or trailing data being silently ignored.
func TestDecodeJobRequestIsStrict(t *testing.T) {
	is := is.New(t)
	_, err := DecodeJobRequest([]byte(`{"id":"a","memroy":"1GiB"}`))
	is.True(err != nil)
	_, err = DecodeJobRequest([]byte(`{"id":"a"}{}`))
	is.True(err != nil)
	r, err := DecodeJobRequest([]byte(`{"id":"a","cpus":0.5}`))
	is.NoErr(err)
	is.Equal(r.CPUs, 0.5)
}
