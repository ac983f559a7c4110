package workload

import (
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
	// Failures holds the failed runs of each task, indexed by Job.TaskIndex; tasks without a failed run are absent.
	Failures map[int][]uint64
}

// maxFailures bounds the failed runs recorded for one task, as some tasks are restarted without a limit on
// attempts.
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
	for _, index := range slices.Sorted(maps.Keys(other.Failures)) {
		for _, run := range other.Failures[index] {
			p.AddFailure(index, run)
		}
	}
}

// AddFailure records a failed run and returns the number of failed runs of the task. A run that is reported
// again, in any order, is counted once.
func (p *Progress) AddFailure(index int, run uint64) int {
	if p.Failures == nil {
		p.Failures = map[int][]uint64{}
	}
	runs := p.Failures[index]
	if !slices.Contains(runs, run) {
		runs = append(runs, run)
		p.Failures[index] = runs[max(0, len(runs)-maxFailures):]
	}
	return len(p.Failures[index])
}
