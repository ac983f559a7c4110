package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	queueHost   = "jobs.example"
	queuePrefix = "/q/"
	// wideQueuePrefix is the prefix of the queue of wide jobs.
	wideQueuePrefix = "/wide/"
	apiKey          = "secret"
	serviceName     = "pool"
	// callTimeout is how long a client waits for a response.
	callTimeout = 3 * time.Second
	// callInterval is the time that a client waits between two calls for one job.
	callInterval = 200 * time.Millisecond
)

// jobState is the state of a job as its client knows it.
type jobState int

const (
	// jobUnconfirmed means that no submission got a definite response yet; the job
	// may have been accepted.
	jobUnconfirmed jobState = iota
	// jobRefused means that every submission was refused, so the job must not run.
	jobRefused
	jobAccepted
	jobCompleted
	jobCancelled
)

// step is a step of a job; it starts after the steps with the indexes in after.
type step struct {
	tasks int
	gang  bool
	after []int
	// milliCPU is the size of a task in thousandths of a core.
	milliCPU int
}

// job is a job and its state as seen by the client that submits it.
type job struct {
	id string
	// prefix is the path prefix of the job's queue.
	prefix string
	// submitAfter is the time from the start of the run to the first submission.
	submitAfter    time.Duration
	cancelOnAccept bool
	// cancelUnanswered means that the client cancels the job if a submission gets no answer.
	cancelUnanswered bool
	steps            []step
	// long means that its tasks run for longTaskDuration.
	long bool

	mu      sync.Mutex
	current jobState
}

func (j *job) state() jobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.current
}

func (j *job) setState(s jobState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.current = s
}

// taskDuration returns how long a task of the job runs.
func (j *job) taskDuration() time.Duration {
	switch {
	case j.long:
		return longTaskDuration
	case j.prefix == wideQueuePrefix:
		return wideTaskDuration
	}
	return taskDuration
}

// open reports whether the job may have been accepted and its client has not seen its end.
func (j *job) open() bool {
	s := j.state()
	return s == jobUnconfirmed || s == jobAccepted
}

// newJob returns a random job.
func newJob(rnd *rand.Rand, submitAfter time.Duration) *job {
	j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), prefix: queuePrefix, submitAfter: submitAfter, cancelOnAccept: rnd.IntN(8) == 0}
	for i := range 1 + rnd.IntN(2) {
		s := step{tasks: 1 + rnd.IntN(4), gang: rnd.IntN(3) == 0, milliCPU: plainTaskMilliCPU}
		if i > 0 {
			s.after = []int{i - 1}
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// body returns the JSON body of a submission.
func (j *job) body() string {
	type wireStep struct {
		Count    int   `json:"count"`
		CPU      int   `json:"cpu"`
		MemoryMB int   `json:"mem_mb"`
		Estimate int64 `json:"estimate_ms"`
		After    []int `json:"after,omitempty"`
		Gang     bool  `json:"gang,omitempty"`
	}
	var steps []wireStep
	for _, s := range j.steps {
		steps = append(steps, wireStep{Count: s.tasks, CPU: s.milliCPU, MemoryMB: 64, Estimate: j.taskDuration().Milliseconds(), After: s.after, Gang: s.gang})
	}
	data, err := json.Marshal(map[string]any{"spec": j.id, "steps": steps})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// client sends each call to a random daemon and reuses its connections.
type client struct {
	httpClient *http.Client
	processes  []*process
	checker    *checker
}

func newClient(processes []*process, c *checker) *client {
	return &client{httpClient: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}, processes: processes, checker: c}
}

// call sends a request about a job and returns the status and the body of the
// response, or status 0 if there was none.
func (c *client) call(ctx context.Context, method string, j *job, body string) (int, string) {
	var present []*process
	for _, p := range c.processes {
		if !p.removed.Load() {
			present = append(present, p)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+present[rand.IntN(len(present))].clientAddr+j.prefix+j.id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// waitCallInterval waits for callInterval and returns false if ctx ended first.
func waitCallInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(callInterval):
		return true
	}
}

// runJob submits a job and cancels it or polls its state until it has ended, or
// ctx has.
func (c *client) runJob(ctx context.Context, j *job) {
	c.checker.recordSubmission(j.id)
	accepted := c.submit(ctx, j)
	if !accepted && j.cancelUnanswered && j.state() == jobUnconfirmed {
		c.cancelJob(ctx, j)
		return
	}
	if !accepted {
		return
	}
	if j.cancelOnAccept {
		c.cancelJob(ctx, j)
		return
	}
	for waitCallInterval(ctx) {
		switch status, body := c.call(ctx, http.MethodGet, j, ""); {
		case status == http.StatusGone:
			c.checker.reportViolation("accepted job %s is not known", j.id)
			return
		case status != http.StatusOK:
		case strings.Contains(body, "completed"):
			c.checker.reportCompleted(j)
			j.setState(jobCompleted)
			return
		case strings.Contains(body, "failed"), strings.Contains(body, "cancelled"):
			c.checker.reportViolation("job %s is shown as %s without cause", j.id, body)
			return
		}
	}
}

// maxRefusals is the number of refusals after which a client stops submitting a
// job, provided that every response was definite.
const maxRefusals = 5

// submit sends a job until it is accepted and returns true then. It returns false
// if the job is refused, if its client gives up or ctx ends.
func (c *client) submit(ctx context.Context, j *job) bool {
	refusals, unconfirmed := 0, false
	for {
		status, body := c.call(ctx, http.MethodPost, j, j.body())
		switch {
		case status/100 == 2:
			j.setState(jobAccepted)
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			if refusals++; refusals == maxRefusals && !unconfirmed {
				j.setState(jobRefused)
				return false
			}
		case status == 0 || status >= http.StatusInternalServerError:
			unconfirmed = true
			if j.cancelUnanswered {
				return false
			}
		default:
			c.checker.reportViolation("job %s is answered with %d: %s", j.id, status, body)
			return false
		}
		if !waitCallInterval(ctx) {
			return false
		}
	}
}

// cancelJob cancels a job, repeating the call until it succeeds or the job is unknown.
func (c *client) cancelJob(ctx context.Context, j *job) {
	for waitCallInterval(ctx) {
		status, _ := c.call(ctx, http.MethodDelete, j, "")
		if status == http.StatusGone {
			c.checker.recordUnknown(j.id)
		}
		if status/100 == 2 || status == http.StatusGone {
			j.setState(jobCancelled)
			return
		}
	}
}
