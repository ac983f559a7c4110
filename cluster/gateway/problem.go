package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// runStatus indicates whether a request without a complete response was run by an upstream.
type runStatus string

const (
	// runStatusNo means that the request was not run: no byte reached an upstream, or the upstream said so.
	runStatusNo runStatus = "no"
	// runStatusUnknown means that the request may have been run.
	runStatusUnknown runStatus = "unknown"
)

// problem is an error response, written as problem details (RFC 9457).
type problem struct {
	status     int
	title      string
	detail     string
	run        runStatus
	retryAfter time.Duration
}

// Error formats the title and the detail.
func (p *problem) Error() string { return p.title + ": " + p.detail }

// problemDocument is the JSON encoding of a problem.
type problemDocument struct {
	Type   string    `json:"type"`
	Title  string    `json:"title"`
	Status int       `json:"status"`
	Detail string    `json:"detail,omitempty"`
	Run    runStatus `json:"run"`
}

// notRunProblem returns a problem for a request that was not run.
func notRunProblem(status int, title, format string, args ...any) *problem {
	return &problem{status: status, title: title, detail: fmt.Sprintf(format, args...), run: runStatusNo}
}

// withRetryAfter sets the Retry-After header to at least one second.
func (p *problem) withRetryAfter(after time.Duration) *problem {
	p.retryAfter = max(after, time.Second)
	return p
}

// unknownRunProblem returns a problem for a request that may have been run.
func unknownRunProblem(status int, title, format string, args ...any) *problem {
	p := notRunProblem(status, title, format, args...)
	p.run = runStatusUnknown
	return p
}

// write sends the problem. With closeConn the caller is asked to open a new
// connection, which the load balancer then routes to another daemon.
func (p *problem) write(w http.ResponseWriter, closeConn bool) {
	body, err := json.Marshal(problemDocument{"about:blank", p.title, p.status, p.detail, p.run})
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.retryAfter > 0 {
		seconds := (p.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if closeConn {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}
