package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// run says whether a refused request was run by an upstream.
type run string

const (
	// runNo says that the request was not run: no byte reached an upstream, or the upstream said so.
	runNo run = "no"
	// runUnknown says that the request may have been run.
	runUnknown run = "unknown"
)

// problem is a refusal, written as problem details of RFC 9457.
type problem struct {
	status     int
	title      string
	detail     string
	run        run
	retryAfter time.Duration
}

// Error formats the title and the detail.
func (p *problem) Error() string { return p.title + ": " + p.detail }

type problemDocument struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Run    run    `json:"run"`
}

func refuse(status int, title, format string, args ...any) *problem {
	return &problem{status: status, title: title, detail: fmt.Sprintf(format, args...), run: runNo}
}

func (p *problem) retry(after time.Duration) *problem {
	p.retryAfter = max(after, time.Second)
	return p
}

func uncertain(status int, title, format string, args ...any) *problem {
	p := refuse(status, title, format, args...)
	p.run = runUnknown
	return p
}

// write sends the problem; closing asks the caller to open a new connection, which the balancer sends elsewhere.
func (p *problem) write(w http.ResponseWriter, closing bool) {
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
	if closing {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}
