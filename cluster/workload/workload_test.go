package workload

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against a failed run that is not counted because a later one was read first, or that is counted twice
// because it is reported again after a takeover.
func TestAddFailureInAnyOrder(t *testing.T) {
	is := is.New(t)
	var p Progress
	is.Equal(p.AddFailure(3, 20), 1)
	is.Equal(p.AddFailure(3, 10), 2)
	is.Equal(p.AddFailure(3, 20), 2)
	data, err := EncodeProgress(&p)
	is.NoErr(err)
	loaded, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(loaded.AddFailure(3, 10), 2)
	is.Equal(loaded.AddFailure(3, 30), 3)
}

// Guards against a task that is started again and again because fewer failed runs are counted than its queue allows.
func TestFailuresReachLargeAttemptLimit(t *testing.T) {
	is := is.New(t)
	const maxAttempts = 20
	var p Progress
	for run := range uint64(maxAttempts) {
		is.Equal(p.AddFailure(0, run+1), int(run+1))
	}
}

// Guards against a field of a job that is missing from its encoded row.
func TestJobRoundTrip(t *testing.T) {
	is := is.New(t)
	job := &Job{
		ID: "5c0e7a21d94b36f8", Team: "team", Queue: "q", Spec: "spec", AcceptedAt: time.UnixMilli(1_700_000_000_123),
		Recurrence: Recurrence{Count: 3, FirstStart: time.UnixMilli(1_700_000_001_000), Interval: 2 * time.Second},
		Steps: []Step{
			{
				Tasks: 4, Size: cluster.Resources{CPU: 500, Memory: cluster.GiB, Accelerators: 1}, Estimate: 900 * time.Millisecond,
				Checkpoints: true, Gang: true, SameRack: true, Label: "a", Affinity: "r1-3", MaxPerWorker: 2,
			},
			{
				Tasks: 1, After: []int{0}, Speculative: true, LongRunning: true, Image: "img", LatencyTarget: time.Second,
				BestEffortCPU: true, MaxUnavailable: 1,
			},
		},
		Terms: Terms{
			Service: "pool", Rank: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advice: &cluster.AdvicePolicy{CallDuration: 300 * time.Millisecond, PerWorker: 4400 * time.Microsecond, TicketTTL: 2500 * time.Millisecond},
		},
	}
	data, err := EncodeJob(job)
	is.NoErr(err)
	got, err := DecodeJob(job.ID, data)
	is.NoErr(err)
	is.Equal(got, job)
	_, err = DecodeJob(job.ID, data[:len(data)-3])
	is.True(err != nil)
}

// Guards against a panic when a row written by another program is decoded, and against a decoded job that is not
// valid.
func TestDecodeAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if job, err := DecodeJob("id", data); err == nil && job.Validate() != nil {
			t.Fatal("DecodeJob returned an invalid job")
		}
		_, _ = DecodeProgress(data)
	})
}

// Guards against jobs that can never run or that do not fit into a row.
func TestValidateReportsViolatedLimit(t *testing.T) {
	step := Step{Tasks: 1}
	for want, job := range map[string]*Job{
		"spec has":       {Spec: strings.Repeat("x", MaxSpec+1), Steps: []Step{step}},
		"0 steps":        {},
		"in a cycle":     {Steps: []Step{{Tasks: 1, After: []int{1}}, {Tasks: 1, After: []int{0}}}},
		"not another":    {Steps: []Step{{Tasks: 1, After: []int{0}}}},
		"0 tasks":        {Steps: []Step{{}}},
		"negative size":  {Steps: []Step{{Tasks: 1, Size: cluster.Resources{CPU: -1}}}},
		"negative limit": {Steps: []Step{{Tasks: 1, MaxPerWorker: -1}}},
		"repeats":        {Steps: []Step{step}, Recurrence: Recurrence{Count: MaxOccurrences + 1}},
		"too many":       {Steps: []Step{{Tasks: 1000}}, Recurrence: Recurrence{Count: 1000}},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			err := job.Validate()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		})
	}
}

// Guards against a task identifier that is parsed as a different one.
func TestTaskIDRoundTrip(t *testing.T) {
	is := is.New(t)
	id := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	is.Equal(id.String(), "5c0e7a21d94b36f8.2.1.17")
	got, ok := ParseTaskID(id.String())
	is.True(ok)
	is.Equal(got, id)
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.-3", "a.1.2.3.4"} {
		_, ok := ParseTaskID(bad)
		is.True(!ok)
	}
}

// Guards against repeated tasks and uncounted attempts when a task is recorded in only one of two merged
// records.
func TestMergeKeepsBothRecords(t *testing.T) {
	is := is.New(t)
	a, b := &Progress{State: StateRunning}, &Progress{State: StateCompleted, EndedAt: time.Unix(5, 0)}
	a.SetDone(1)
	a.AddFailure(3, 7)
	b.SetDone(20)
	b.AddFailure(3, 7)
	b.AddFailure(3, 9)
	a.Merge(b)
	is.Equal(a.State, StateCompleted)
	is.Equal(a.EndedAt, time.Unix(5, 0))
	is.True(a.IsDone(1) && a.IsDone(20) && !a.IsDone(2))
	is.Equal(a.Failures, map[int][]uint64{3: {7, 9}})
	b.Merge(&Progress{State: StateRunning})
	is.Equal(b.State, StateCompleted)
}
