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
	queueKey    = "secret"
	service     = "pool"
	// callLimit is how long a client waits for an answer.
	callLimit = 3 * time.Second
	// callPause is the pause of a client between two calls for one job.
	callPause = 200 * time.Millisecond
)

// jobState is what a client knows of its job.
type jobState int

const (
	// jobOpen may have been accepted.
	jobOpen jobState = iota
	jobRefused
	jobAccepted
	jobCompleted
	jobCancelled
)

type step struct {
	tasks int
	gang  bool
	after []int
}

// job is a job with the client that hands it in.
type job struct {
	id     string
	at     time.Duration
	cancel bool
	steps  []step

	mu  sync.Mutex
	now jobState
}

func (j *job) state() jobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.now
}

func (j *job) set(s jobState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.now = s
}

// newJob draws a job that is handed in at a time.
func newJob(rnd *rand.Rand, at time.Duration) *job {
	j := &job{id: fmt.Sprintf("%016x", rnd.Uint64()), at: at, cancel: rnd.IntN(8) == 0}
	for i := range 1 + rnd.IntN(2) {
		s := step{tasks: 1 + rnd.IntN(4), gang: rnd.IntN(3) == 0}
		if i > 0 {
			s.after = []int{i - 1}
		}
		j.steps = append(j.steps, s)
	}
	return j
}

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
		steps = append(steps, wireStep{Count: s.tasks, CPU: 500, MemoryMB: 64, Estimate: taskTime.Milliseconds(), After: s.after, Gang: s.gang})
	}
	data, err := json.Marshal(map[string]any{"spec": j.id, "steps": steps})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// client hands jobs in at any daemon and keeps its connections open.
type client struct {
	http    *http.Client
	fronts  []string
	checker *checker
}

func newClient(fronts []string, c *checker) *client {
	return &client{http: &http.Client{Transport: &http.Transport{}, Timeout: callLimit}, fronts: fronts, checker: c}
}

// call returns 0 if there was no answer.
func (c *client) call(ctx context.Context, method string, j *job, body string) (int, string) {
	front := c.fronts[rand.IntN(len(c.fronts))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+queuePrefix+j.id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Bearer "+queueKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
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

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(callPause):
		return true
	}
}

// follow hands a job in and asks for it until it has ended or ctx has.
func (c *client) follow(ctx context.Context, j *job) {
	c.checker.submit(j.id)
	if !c.submit(ctx, j) {
		return
	}
	if j.cancel {
		c.cancelJob(ctx, j)
		return
	}
	for pause(ctx) {
		switch status, body := c.call(ctx, http.MethodGet, j, ""); {
		case status == http.StatusGone:
			c.checker.report("accepted job %s is not known", j.id)
			return
		case status != http.StatusOK:
		case strings.Contains(body, "completed"):
			c.checker.completed(j)
			j.set(jobCompleted)
			return
		case strings.Contains(body, "failed"), strings.Contains(body, "cancelled"):
			c.checker.report("job %s is shown as %s without cause", j.id, body)
			return
		}
	}
}

// submitTries bounds the attempts to hand a job in that were all refused.
const submitTries = 5

// submit returns true once the job is accepted.
func (c *client) submit(ctx context.Context, j *job) bool {
	refused, doubtful := 0, false
	for {
		status, body := c.call(ctx, http.MethodPost, j, j.body())
		switch {
		case status/100 == 2:
			j.set(jobAccepted)
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			if refused++; refused == submitTries && !doubtful {
				j.set(jobRefused)
				return false
			}
		case status == 0 || status >= http.StatusInternalServerError:
			doubtful = true
		default:
			c.checker.report("job %s is answered with %d: %s", j.id, status, body)
			return false
		}
		if !pause(ctx) {
			return false
		}
	}
}

func (c *client) cancelJob(ctx context.Context, j *job) {
	for pause(ctx) {
		status, _ := c.call(ctx, http.MethodDelete, j, "")
		if status/100 == 2 || status == http.StatusGone {
			j.set(jobCancelled)
			return
		}
	}
}
