package pool

import (
	"sync"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// JobStatus is the state of a job as recorded, with the team and the queue that the job belongs to.
type JobStatus struct {
	State workload.State
	Team  cluster.TeamName
	Queue cluster.QueueName
}

// Statuses holds the states of a scheduler's jobs after its last step; it is safe for concurrent use, so that queries do
// not wait for the scheduler.
type Statuses struct {
	mu   sync.RWMutex
	jobs map[cluster.JobName]JobStatus
}

// Get returns the status of a job, and false if there is no such job.
func (t *Statuses) Get(id cluster.JobName) (JobStatus, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	status, ok := t.jobs[id]
	return status, ok
}

// update sets the statuses of jobs and removes those of deleted ones.
func (t *Statuses) update(changed []*job, deleted []cluster.JobName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range changed {
		t.jobs[j.spec.ID] = j.status()
	}
	for _, id := range deleted {
		delete(t.jobs, id)
	}
}

// Statuses returns the states of the jobs for concurrent readers.
func (s *Scheduler) Statuses() *Statuses { return s.statuses }

// status returns the state of a job that callers may see.
func (j *job) status() JobStatus {
	state := j.visibleState
	if !state.Final() && j.started {
		state = workload.StateRunning
	}
	return JobStatus{State: state, Team: j.spec.Team, Queue: j.spec.Queue}
}

// markStarted notes that a task of a job has started.
func (s *Scheduler) markStarted(j *job) {
	if !j.started {
		j.started = true
		s.changedStatuses = append(s.changedStatuses, j)
	}
}

// showState sets the state that callers see unless a task has started.
func (s *Scheduler) showState(j *job, state workload.State) {
	j.visibleState = state
	s.changedStatuses = append(s.changedStatuses, j)
}

// publishStatuses makes the changes of a step visible to concurrent readers.
func (s *Scheduler) publishStatuses() {
	if len(s.changedStatuses) == 0 && len(s.deletedStatuses) == 0 {
		return
	}
	s.statuses.update(s.changedStatuses, s.deletedStatuses)
	s.changedStatuses, s.deletedStatuses = s.changedStatuses[:0], s.deletedStatuses[:0]
}
