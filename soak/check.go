package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

// maxQueuedObservations is the number of observations that may wait for the checker.
const maxQueuedObservations = 1 << 16

// checker compares the runs on the workers with the responses that clients
// received. One goroutine applies all observations in the order in which they
// were queued.
type checker struct {
	queue     chan func()
	queueDone chan struct{}
	workers   map[string]*platformtest.Worker
	// liveRuns holds the runs that have started and not ended, by task and worker.
	liveRuns map[string]map[string]uint64
	// doneTasks are the tasks with a run that ended as done; acknowledgedTasks are
	// those of them whose end a daemon has acknowledged. restartedSinceDone has an
	// entry for each end as done that the worker has not discarded, by task and
	// worker; it is true if the task was started again afterwards.
	doneTasks          map[string]bool
	acknowledgedTasks  map[string]bool
	restartedSinceDone map[string]map[string]bool
	startedJobs        map[string]bool
	submittedJobs      map[string]bool
	// unknownJobs are the jobs whose cancellation was answered with "no such job".
	unknownJobs map[string]bool
	// evacuatedSince is since when each zone is evacuated; zero if it is not.
	evacuatedSince map[string]time.Time
	violations     []string
}

// newChecker returns a checker whose goroutine runs until finish is called.
func newChecker() *checker {
	c := &checker{
		queue: make(chan func(), maxQueuedObservations), queueDone: make(chan struct{}),
		workers: map[string]*platformtest.Worker{}, liveRuns: map[string]map[string]uint64{}, doneTasks: map[string]bool{},
		acknowledgedTasks: map[string]bool{}, restartedSinceDone: map[string]map[string]bool{}, startedJobs: map[string]bool{}, submittedJobs: map[string]bool{}, unknownJobs: map[string]bool{},
		evacuatedSince: map[string]time.Time{},
	}
	go func() {
		defer close(c.queueDone)
		for observation := range c.queue {
			observation()
		}
	}()
	return c
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reportViolation queues a violation that a client has observed.
func (c *checker) reportViolation(format string, args ...any) {
	c.queue <- func() { c.addViolation(format, args...) }
}

// recordSubmission records a job before its first submission is sent.
func (c *checker) recordSubmission(id string) { c.queue <- func() { c.submittedJobs[id] = true } }

// recordUnknown records that the cancellation of a job was answered with "no such job". Such a job never runs.
func (c *checker) recordUnknown(id string) {
	c.queue <- func() {
		c.unknownJobs[id] = true
		if c.startedJobs[id] {
			c.addViolation("job %s has run, and its cancellation is answered with 410", id)
		}
	}
}

// jobOfTask returns the job identifier in a task identifier.
func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// observeRun queues an event of a run on a worker.
func (c *checker) observeRun(worker string, e platformtest.RunEvent) {
	at := time.Now()
	c.queue <- func() {
		if e.Kind == platformtest.RunStarted {
			c.checkEvacuation(worker, e.Task, at)
		}
		c.applyEvent(worker, e)
	}
}

// applyEvent updates the records with an event of a run and checks it.
func (c *checker) applyEvent(worker string, e platformtest.RunEvent) {
	switch e.Kind {
	case platformtest.RunStarted:
		c.checkStart(worker, e)
	case platformtest.RunAcknowledged:
		if c.restartedSinceDone[e.Task][worker] {
			c.addViolation("task %s began again after its end as done on %s, which was acknowledged later", e.Task, worker)
		}
		c.acknowledgedTasks[e.Task] = true
	case platformtest.RunDiscarded:
		delete(c.restartedSinceDone[e.Task], worker)
		delete(c.liveRuns[e.Task], worker)
	default:
		if c.liveRuns[e.Task][worker] == e.Run {
			delete(c.liveRuns[e.Task], worker)
		}
		if e.Kind == platformtest.RunDone {
			c.doneTasks[e.Task] = true
			if c.restartedSinceDone[e.Task] == nil {
				c.restartedSinceDone[e.Task] = map[string]bool{}
			}
			c.restartedSinceDone[e.Task][worker] = false
		}
	}
}

// checkStart checks that a started run belongs to a submitted job, that its task has
// no acknowledged end as done and that no other run of the task is live.
func (c *checker) checkStart(worker string, e platformtest.RunEvent) {
	c.startedJobs[jobOfTask(e.Task)] = true
	if !c.submittedJobs[jobOfTask(e.Task)] {
		c.addViolation("task %s runs on %s, and nobody submitted its job", e.Task, worker)
	}
	if c.unknownJobs[jobOfTask(e.Task)] {
		c.addViolation("task %s runs on %s after the cancellation of its job was answered with 410", e.Task, worker)
	}
	if c.acknowledgedTasks[e.Task] {
		c.addViolation("task %s began again on %s after an acknowledged end as done", e.Task, worker)
	}
	for other := range c.restartedSinceDone[e.Task] {
		c.restartedSinceDone[e.Task][other] = true
	}
	for other, run := range c.liveRuns[e.Task] {
		// A worker reports the end of a run with an expired lease only when it is
		// queried, so liveRuns may still contain a run that is over.
		if other == worker || c.workers[other].IsRunning(e.Task, run) {
			c.addViolation("task %s runs on %s (run %d) and on %s (run %d)", e.Task, other, run, worker, e.Run)
		}
	}
	if c.liveRuns[e.Task] == nil {
		c.liveRuns[e.Task] = map[string]uint64{}
	}
	c.liveRuns[e.Task][worker] = e.Run
}

// reportCompleted queues the check of a job that a daemon reports as completed:
// all tasks of each step must have ended as done, or at least one of a gang step.
func (c *checker) reportCompleted(j *job) {
	c.queue <- func() { c.checkCompleted(j) }
}

func (c *checker) checkCompleted(j *job) {
	for i, s := range j.steps {
		doneCount := 0
		for k := range s.tasks {
			if c.doneTasks[fmt.Sprintf("%s.0.%d.%d", j.id, i, k)] {
				doneCount++
			}
		}
		if doneCount < s.tasks && (!s.gang || doneCount == 0) {
			c.addViolation("job %s is shown as completed with %d of %d tasks of step %d done", j.id, doneCount, s.tasks, i)
		}
	}
}

// reportUnfinished queues the violation of a job that has not ended within the bound.
func (c *checker) reportUnfinished(j *job, bound time.Duration) {
	c.queue <- func() {
		var steps []string
		for i, s := range j.steps {
			done, live := 0, 0
			for k := range s.tasks {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, i, k)
				if c.doneTasks[task] {
					done++
				}
				if len(c.liveRuns[task]) > 0 {
					live++
				}
			}
			steps = append(steps, fmt.Sprintf("step %d (gang: %t, after: %v, %d thousandths of a core): %d of %d tasks done, %d with a run", i, s.gang, s.after, s.milliCPU, done, s.tasks, live))
		}
		c.addViolation("job %s of %s has not ended %s after the faults (state %d): %s", j.id, j.prefix, bound, j.state(), strings.Join(steps, "; "))
	}
}

// finish checks the conditions that must hold after the last fault and returns
// every violation of the run.
func (c *checker) finish(jobs []*job) []string {
	close(c.queue)
	<-c.queueDone
	for _, j := range jobs {
		switch {
		case j.state() == jobRefused && c.startedJobs[j.id]:
			c.addViolation("job %s ran, and every attempt to submit it was refused", j.id)
		case j.state() == jobCancelled && c.isRunning(j.id):
			c.addViolation("job %s was cancelled and still runs", j.id)
		}
	}
	return c.violations
}

// isRunning returns true if a worker still runs a task of the job.
func (c *checker) isRunning(id string) bool {
	for task, runs := range c.liveRuns {
		if jobOfTask(task) != id {
			continue
		}
		for worker, run := range runs {
			if c.workers[worker].IsRunning(task, run) {
				return true
			}
		}
	}
	return false
}
