package workload

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
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

// Guards against failed runs that are forgotten or counted twice after a takeover, once there are more than are listed.
func TestEarlierFailuresAreCountedOnce(t *testing.T) {
	is := is.New(t)
	const failed = 3 * maxFailures
	var older, newer Progress
	for run := range uint64(failed) {
		if run < failed-2 {
			older.AddFailure(7, run+1)
		}
		newer.AddFailure(7, run+1)
	}
	for _, rows := range [][]*Progress{{&newer}, {&older, &newer}, {&newer, &older}, {&newer, &newer}} {
		loaded := &Progress{}
		for _, row := range rows {
			data, err := EncodeProgress(row)
			is.NoErr(err)
			decoded, err := DecodeProgress(data)
			is.NoErr(err)
			loaded.Merge(decoded)
		}
		is.Equal(loaded.AddFailure(7, failed), failed)
		is.Equal(loaded.AddFailure(7, 1), failed)
		is.Equal(len(loaded.Failures[7]), maxFailures)
		is.Equal(loaded.AddFailure(7, failed+1), failed+1)
	}
}

// Guards against a progress row that the store refuses, and against failed runs that are no longer counted because the
// row has no room for them.
func TestProgressFitsIntoRow(t *testing.T) {
	const rowBytes = 64 << 10
	for _, c := range []struct {
		name           string
		tasks, runs    int
		countsComplete bool
	}{
		{name: "large step", tasks: MaxTasks, runs: 3, countsComplete: true},
		{name: "large step at the limit of attempts", tasks: MaxTasks, runs: 40, countsComplete: true},
		{name: "largest job", tasks: maxTotalTasks, runs: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			progress := &Progress{State: StateRunning}
			const epoch = 20
			run := uint64(epoch) << 28
			for range c.runs {
				for index := range c.tasks {
					run++
					progress.AddFailure(index, run)
					progress.SetDone(index)
				}
			}
			data, err := EncodeProgress(progress)
			is.NoErr(err)
			is.True(len(data) <= rowBytes)
			loaded, err := DecodeProgress(data)
			is.NoErr(err)
			is.Equal(loaded.Done, progress.Done)
			counted := 0
			for index := range c.tasks {
				if loaded.failureCount(index) == c.runs {
					counted++
				}
			}
			is.Equal(counted == c.tasks, c.countsComplete)
			if c.countsComplete {
				is.Equal(loaded.AddFailure(c.tasks-1, run), c.runs) // the last end is reported again
				is.Equal(loaded.AddFailure(0, run+1), c.runs+1)
			}
			again, err := EncodeProgress(loaded)
			is.NoErr(err)
			is.True(len(again) <= rowBytes)
			loaded.Merge(progress)
			is.Equal(loaded.failureCount(c.tasks-2), c.runs)
		})
	}
}

// earlierProgressRow is the row that earlier builds write and read.
type earlierProgressRow struct {
	State    int
	EndedMS  int64
	Done     []byte
	Failures []failuresRow
}

// Guards against a progress row that can't be read after an upgrade, or by the daemons that are not upgraded yet.
func TestProgressOfEarlierBuilds(t *testing.T) {
	is := is.New(t)
	earlier := earlierProgressRow{State: int(StateRunning), EndedMS: 5, Done: []byte{3}, Failures: []failuresRow{{Slot: 4, Runs: []uint64{20, 10}}}}
	data, err := encodeRow("test", &earlier)
	is.NoErr(err)
	p, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(p, &Progress{State: StateRunning, EndedAt: time.UnixMilli(5), Done: []byte{3}, Failures: map[int][]uint64{4: {10, 20}}})

	for run := range uint64(maxFailures) {
		p.AddFailure(4, 30+run)
	}
	data, err = EncodeProgress(p)
	is.NoErr(err)
	var read earlierProgressRow
	is.NoErr(msgpack.Unmarshal(data, &read))
	is.Equal(read.State, earlier.State)
	is.Equal(read.Done, earlier.Done)
	is.Equal(read.Failures[0], failuresRow{Slot: 4, Runs: p.Failures[4]})
	data, err = encodeRow("test", &read) // written again by an earlier build
	is.NoErr(err)
	loaded, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(loaded, p)
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
