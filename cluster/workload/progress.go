package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a job as reported to callers.
type State int

// States of a job; the last three are final.
const (
	StateQueued State = iota
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the state's name in lower case.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= StateCompleted }

// Progress is the recorded progress of a job.
type Progress struct {
	State State
	// EndedAt is when the job reached a final state.
	EndedAt time.Time
	// Done is a bitmap of the tasks that are done, indexed by Job.TaskIndex.
	Done []byte
	// Failures holds the latest failed runs of each task in ascending order, indexed by Job.TaskIndex; tasks without a
	// failed run are absent.
	Failures map[int][]uint64
	// EarlierFailures holds the number of failed runs of each task before those in Failures.
	EarlierFailures map[int]int
}

// maxFailures bounds the failed runs listed for one task, as some tasks are restarted without a limit on attempts.
// Earlier ones are only counted.
const maxFailures = 16

// TaskIndex returns the index of a task in a Progress.
func (j *Job) TaskIndex(t TaskID) int {
	index := t.Occurrence * j.TasksPerOccurrence()
	for i := range t.Step {
		index += j.Steps[i].Tasks
	}
	return index + t.Index
}

// SetDone records that a task is done.
func (p *Progress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether a task is recorded as done.
func (p *Progress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// Merge adds the state of another record of the same job.
func (p *Progress) Merge(other *Progress) {
	if other.State > p.State {
		p.State, p.EndedAt = other.State, other.EndedAt
	}
	for len(p.Done) < len(other.Done) {
		p.Done = append(p.Done, 0)
	}
	for i, bits := range other.Done {
		p.Done[i] |= bits
	}
	for index := range other.EarlierFailures {
		p.mergeFailures(index, other)
	}
	for index := range other.Failures {
		p.mergeFailures(index, other)
	}
}

// mergeFailures merges the failed runs of a task. One of two records of a job is based on the other one, so that runs
// that are only counted in both are the same.
func (p *Progress) mergeFailures(index int, other *Progress) {
	runs := slices.Concat(p.Failures[index], other.Failures[index])
	slices.Sort(runs)
	runs = slices.Compact(runs)
	p.setFailures(index, runs, max(len(runs), p.failureCount(index), other.failureCount(index)))
}

func (p *Progress) failureCount(index int) int {
	return len(p.Failures[index]) + p.EarlierFailures[index]
}

// setFailures sets the number of failed runs of a task, of which the given ones are known, in ascending order.
func (p *Progress) setFailures(index int, runs []uint64, count int) {
	runs = runs[max(0, len(runs)-maxFailures):]
	if p.Failures == nil {
		p.Failures = map[int][]uint64{}
	}
	if len(runs) > 0 {
		p.Failures[index] = runs
	} else {
		delete(p.Failures, index)
	}
	if count == len(runs) {
		delete(p.EarlierFailures, index)
		return
	}
	if p.EarlierFailures == nil {
		p.EarlierFailures = map[int]int{}
	}
	p.EarlierFailures[index] = count - len(runs)
}

// AddFailure records a failed run and returns the number of failed runs of the task. A run that is reported
// again, in any order, is counted once.
func (p *Progress) AddFailure(index int, run uint64) int {
	runs, count := p.Failures[index], p.failureCount(index)
	i, found := slices.BinarySearch(runs, run)
	// The runs of a task are numbered in ascending order, so one below all listed runs is among the earlier ones.
	isEarlier := i == 0 && len(runs) > 0 && p.EarlierFailures[index] > 0
	if found || isEarlier {
		return count
	}
	p.setFailures(index, slices.Insert(slices.Clone(runs), i, run), count+1)
	return count + 1
}

const (
	// countBytes is the largest size of an encoded entry of EarlierFailures.
	countBytes = 12
	// failedRunBytes is the largest size of an encoded failed run, with the header and the slot of its task.
	failedRunBytes = 16
	// listBytes is the largest size of the header of the encoded failures.
	listBytes = 5
)

// reduceFailures returns a copy whose failures take at most the given number of bytes in a row. It lists only the
// latest failed runs of the job, as the earlier ones are unlikely to be reported again. If there is no room for the
// counts of all tasks, it leaves out those with the fewest failed runs.
func (p *Progress) reduceFailures(bytes int) *Progress {
	reduced := &Progress{State: p.State, EndedAt: p.EndedAt, Done: p.Done}
	failed := maps.Clone(p.EarlierFailures)
	if failed == nil {
		failed = map[int]int{}
	}
	for index, runs := range p.Failures {
		failed[index] += len(runs)
	}
	indexes := slices.SortedFunc(maps.Keys(failed), func(a, b int) int { return cmp.Or(cmp.Compare(failed[b], failed[a]), cmp.Compare(a, b)) })
	bytes = max(0, bytes-listBytes)
	indexes = indexes[:min(len(indexes), bytes/countBytes)]
	bytes -= len(indexes) * countBytes

	type failedRun struct {
		index int
		run   uint64
	}
	var runs []failedRun
	for _, index := range indexes {
		for _, run := range p.Failures[index] {
			runs = append(runs, failedRun{index: index, run: run})
		}
	}
	slices.SortFunc(runs, func(a, b failedRun) int { return cmp.Or(cmp.Compare(b.run, a.run), cmp.Compare(a.index, b.index)) })
	listed := map[int][]uint64{}
	for _, r := range runs[:min(len(runs), bytes/failedRunBytes)] {
		listed[r.index] = append(listed[r.index], r.run)
	}
	for _, index := range indexes {
		slices.Sort(listed[index])
		reduced.setFailures(index, listed[index], failed[index])
	}
	return reduced
}
