package main

import (
	"fmt"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/platform/platformtest"
)

// observations bounds the observations that wait for the checker.
const observations = 1 << 16

// checker holds what the runners did against what clients were told. One
// goroutine makes all observations, in the order in which they were reported.
type checker struct {
	queue   chan func()
	idle    chan struct{}
	runners map[string]*platformtest.Runner
	// live are the runs that began and have not ended, by task and runner.
	live map[string]map[string]uint64
	// done are the tasks that ever ended as done; unnoted holds those ends that
	// were not acknowledged yet, by runner, with whether the task began again since.
	done       map[string]bool
	noted      map[string]bool
	again      map[string]map[string]bool
	started    map[string]bool
	submitted  map[string]bool
	violations []string
}

func newChecker() *checker {
	c := &checker{
		queue: make(chan func(), observations), idle: make(chan struct{}),
		runners: map[string]*platformtest.Runner{}, live: map[string]map[string]uint64{}, done: map[string]bool{},
		noted: map[string]bool{}, again: map[string]map[string]bool{}, started: map[string]bool{}, submitted: map[string]bool{},
	}
	go func() {
		defer close(c.idle)
		for observation := range c.queue {
			observation()
		}
	}()
	return c
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// report adds a violation that a client has seen.
func (c *checker) report(format string, args ...any) {
	c.queue <- func() { c.fail(format, args...) }
}

// submit takes note of a job before it is sent.
func (c *checker) submit(id string) { c.queue <- func() { c.submitted[id] = true } }

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// observe takes note of what happened to a run on a runner.
func (c *checker) observe(runner string, e platformtest.RunEvent) {
	c.queue <- func() { c.apply(runner, e) }
}

func (c *checker) apply(runner string, e platformtest.RunEvent) {
	switch e.What {
	case platformtest.RunStarted:
		c.start(runner, e)
	case platformtest.RunAcknowledged:
		if c.again[e.Task][runner] {
			c.fail("task %s began again after its end as done on %s, which was acknowledged later", e.Task, runner)
		}
		c.noted[e.Task] = true
	case platformtest.RunForgotten:
		delete(c.again[e.Task], runner)
		delete(c.live[e.Task], runner)
	default:
		if c.live[e.Task][runner] == e.Run {
			delete(c.live[e.Task], runner)
		}
		if e.What == platformtest.RunDone {
			c.done[e.Task] = true
			if c.again[e.Task] == nil {
				c.again[e.Task] = map[string]bool{}
			}
			c.again[e.Task][runner] = false
		}
	}
}

func (c *checker) start(runner string, e platformtest.RunEvent) {
	c.started[jobOf(e.Task)] = true
	if !c.submitted[jobOf(e.Task)] {
		c.fail("task %s runs on %s, and nobody submitted its job", e.Task, runner)
	}
	if c.noted[e.Task] {
		c.fail("task %s began again on %s after an acknowledged end as done", e.Task, runner)
	}
	for other := range c.again[e.Task] {
		c.again[e.Task][other] = true
	}
	for other, run := range c.live[e.Task] {
		// A run whose lease has lapsed ends when its runner is looked at.
		if other == runner || c.runners[other].Holds(e.Task, run) {
			c.fail("task %s runs on %s (run %d) and on %s (run %d)", e.Task, other, run, runner, e.Run)
		}
	}
	if c.live[e.Task] == nil {
		c.live[e.Task] = map[string]uint64{}
	}
	c.live[e.Task][runner] = e.Run
}

// completed checks a job that is shown as completed: a task of each step must have ended as done.
func (c *checker) completed(j *job) {
	c.queue <- func() { c.checkCompleted(j) }
}

func (c *checker) checkCompleted(j *job) {
	for i, s := range j.steps {
		n := 0
		for k := range s.tasks {
			if c.done[fmt.Sprintf("%s.0.%d.%d", j.id, i, k)] {
				n++
			}
		}
		if n < s.tasks && (!s.gang || n == 0) {
			c.fail("job %s is shown as completed with %d of %d tasks of step %d done", j.id, n, s.tasks, i)
		}
	}
}

// finish checks what must hold once nothing is disturbed any more and returns every violation.
func (c *checker) finish(jobs []*job) []string {
	close(c.queue)
	<-c.idle
	for _, j := range jobs {
		switch {
		case j.state() == jobRefused && c.started[j.id]:
			c.fail("job %s ran, and every attempt to submit it was refused", j.id)
		case j.state() == jobCancelled && c.runs(j.id):
			c.fail("job %s was cancelled and still runs", j.id)
		}
	}
	return c.violations
}

func (c *checker) runs(id string) bool {
	for task, on := range c.live {
		if jobOf(task) != id {
			continue
		}
		for runner, run := range on {
			if c.runners[runner].Holds(task, run) {
				return true
			}
		}
	}
	return false
}
