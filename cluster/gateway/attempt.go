package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
)

// An attempt is checked for a stall when no byte has arrived for stallFactor times the
// upper bound of the service time, but not earlier than after minStallTimeout.
const (
	stallFactor     = 2
	minStallTimeout = 500 * time.Millisecond
)

var (
	errStalled     = errors.New("connection is silent")
	errUndelimited = errors.New("answer has neither a length nor chunks, so its end can't be told from a break")
	errMismatched  = errors.New("answer belongs to another request")
	errTooLarge    = errors.New("answer is larger than the limit")
)

// response is a complete response of a runner.
type response struct {
	status   int
	header   http.Header
	body     []byte
	replayed bool
}

// outcome is the result of an attempt.
type outcome int

const (
	// outcomeResponse means that the response is complete.
	outcomeResponse outcome = iota
	// outcomeNotSent means that no byte reached the runner.
	outcomeNotSent
	// outcomeNotRun means that the runner responded that it did not run the request.
	outcomeNotRun
	// outcomeUnknown means that the request may have been run, but there is no complete response.
	outcomeUnknown
)

// attempt describes how sending a request to one runner ended.
type attempt struct {
	outcome  outcome
	response *response
	err      error
	// abandoned means that this daemon stopped waiting for the response while the runner may still be working on it.
	abandoned bool
	// problem is set if the request must not be sent to any other runner.
	problem *problem
}

// send makes one attempt on a runner. An idle connection that turns out to be closed
// before a byte was written is replaced by another one.
func (g *Gateway) send(ctx context.Context, c *call, r *runner) attempt {
	for {
		conn, err := g.acquireConn(ctx, r, !c.idempotent)
		if err != nil {
			return attempt{outcome: outcomeNotSent, err: err}
		}
		if p := g.reauthorize(c); p != nil {
			g.releaseConn(r, conn, false)
			return attempt{outcome: outcomeNotSent, err: context.Canceled, problem: p}
		}
		isNew := conn.verifiedAt.IsZero()
		if !c.idempotent {
			age := g.cfg.Clock().Sub(conn.verifiedAt)
			g.cfg.Invariants.Require(isNew || age <= verifiedTTL, invariant.AtMostOnce,
				"non-idempotent request on a connection last verified as alive %s ago", age)
		}
		a := g.exchange(ctx, c, r, conn)
		if a.outcome != outcomeNotSent || isNew || ctx.Err() != nil {
			return a
		}
	}
}

// exchange sends a request on a connection and reads the complete response.
func (g *Gateway) exchange(ctx context.Context, c *call, r *runner, conn *runnerConn) attempt {
	if err := conn.tracked.beginRequest(); err != nil {
		g.releaseConn(r, conn, false)
		return attempt{outcome: outcomeNotSent, err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.watchStall(c, r, conn, cancel).stop()
	a := g.roundTrip(ctx, c, r, conn)
	if a.outcome == outcomeUnknown && ctx.Err() != nil {
		a.abandoned = true
		a.err = context.Cause(ctx)
	}
	reusable := a.outcome == outcomeResponse || a.outcome == outcomeNotRun
	g.releaseConn(r, conn, reusable && conn.tracked.waitIdle())
	return a
}

// roundTrip sends the request and classifies the result.
func (g *Gateway) roundTrip(ctx context.Context, c *call, r *runner, conn *runnerConn) attempt {
	httpResp, err := conn.client.RoundTrip(c.newRequest(ctx, r))
	if err != nil {
		if sent, _, _ := conn.tracked.state(); !sent {
			return attempt{outcome: outcomeNotSent, err: err}
		}
		return attempt{outcome: outcomeUnknown, err: err}
	}
	resp, err := readResponse(httpResp, c, conn)
	if err != nil {
		// Closing the connection first keeps the rest of the response from being read.
		conn.close()
		_ = httpResp.Body.Close()
		return attempt{outcome: outcomeUnknown, err: err}
	}
	g.recordLeaving(r, httpResp.Header)
	if httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(headerRun) == string(runStatusNo) {
		return attempt{outcome: outcomeNotRun, response: resp}
	}
	return attempt{outcome: outcomeResponse, response: resp}
}

// newRequest builds the request to a runner. It has no GetBody, and an http.ClientConn
// never retries, so the request is sent at most once.
func (c *call) newRequest(ctx context.Context, r *runner) *http.Request {
	host := r.vm.Addr.String()
	req := &http.Request{
		Method: c.method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: host,
		URL:    &url.URL{Scheme: "http", Host: host, Path: c.path, RawPath: c.rawPath, RawQuery: c.query},
		Header: c.forwardedHeader(), Body: http.NoBody, ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return req.WithContext(ctx)
}

// readResponse reads a complete response; a partial or oversized one is an error.
func readResponse(httpResp *http.Response, c *call, conn *runnerConn) (*response, error) {
	if id := httpResp.Header.Get(headerRequest); id != "" && id != c.id {
		return nil, errMismatched
	}
	if httpResp.StatusCode < http.StatusOK {
		return nil, fmt.Errorf("answer with status %d", httpResp.StatusCode)
	}
	bodyless := c.method == http.MethodHead || httpResp.StatusCode == http.StatusNoContent || httpResp.StatusCode == http.StatusNotModified
	if !bodyless && httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
		return nil, errUndelimited
	}
	if !bodyless && httpResp.ContentLength > c.maxResponse {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, c.maxResponse+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxResponse {
		return nil, errTooLarge
	}
	if _, unsolicited, _ := conn.tracked.state(); unsolicited {
		return nil, errMismatched
	}
	_ = httpResp.Body.Close()
	return &response{status: httpResp.StatusCode, header: responseHeader(httpResp.Header, bodyless), body: body}, nil
}

// stallWatch checks a connection on which no byte has arrived for a while.
type stallWatch struct {
	gateway *Gateway
	call    *call
	runner  *runner
	conn    *runnerConn
	timeout time.Duration
	cancel  context.CancelCauseFunc

	mu            sync.Mutex
	timer         *time.Timer
	stopped       bool
	lastBytesRead int
}

// watchStall starts to watch an attempt for a stall.
func (g *Gateway) watchStall(c *call, r *runner, conn *runnerConn, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{gateway: g, call: c, runner: r, conn: conn, timeout: conn.stallTimeout, cancel: cancel}
	w.arm()
	return w
}

// arm starts the timer for the next check.
func (w *stallWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _, w.lastBytesRead = w.conn.tracked.state()
	if !w.stopped {
		w.timer = time.AfterFunc(w.timeout, w.check)
	}
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check cancels an idempotent request on a stalled connection, so that it is retried on another one.
func (w *stallWatch) check() {
	w.mu.Lock()
	stopped, lastBytesRead := w.stopped, w.lastBytesRead
	w.mu.Unlock()
	if stopped {
		return
	}
	if _, _, bytesRead := w.conn.tracked.state(); bytesRead != lastBytesRead {
		w.arm()
		return
	}
	if w.gateway.checkStalled(w.runner) && w.call.idempotent && w.gateway.canRetryStalled(w.call, w.runner.service) {
		w.cancel(errStalled)
	}
}

// canRetryStalled reports whether a stalled request would be retried. Only the first attempt is given up for a stall.
func (g *Gateway) canRetryStalled(c *call, s *service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.attempts == 1 && s.retryBudget.tokens >= 1
}
