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

// stallFactor times the likely service time without a byte makes a connection
// suspect; stallFloor is the least such time.
const (
	stallFactor = 2
	stallFloor  = 500 * time.Millisecond
)

var (
	errSilent   = errors.New("connection is silent")
	errDelimit  = errors.New("answer has neither a length nor chunks, so its end can't be told from a break")
	errCrossed  = errors.New("answer belongs to another request")
	errTooLarge = errors.New("answer is larger than the limit")
)

// answer is a complete answer of a runner.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	replayed bool
}

// outcome is how an attempt ended.
type outcome int

const (
	// outcomeAnswer is a complete answer.
	outcomeAnswer outcome = iota
	// outcomeNotSent says that no byte reached the runner.
	outcomeNotSent
	// outcomeNotRun says that the runner answered that it didn't run the request.
	outcomeNotRun
	// outcomeLost says that the request may have been run and there is no complete answer.
	outcomeLost
)

// attempt is the result of sending a request to one runner.
type attempt struct {
	outcome outcome
	answer  *answer
	err     error
	// abandoned says that this daemon gave up on the answer while the runner may still be at work.
	abandoned bool
	// problem is set if the request may no longer be sent to any runner.
	problem *problem
}

// send sends a request to a runner once. An idle connection that turns out to
// be closed before a byte was written is replaced by a new one.
func (g *Gateway) send(ctx context.Context, c *call, r *runner) attempt {
	for {
		l, err := g.obtain(ctx, r, !c.idempotent)
		if err != nil {
			return attempt{outcome: outcomeNotSent, err: err}
		}
		if p := g.authorizeAgain(c); p != nil {
			g.giveBack(r, l, false)
			return attempt{outcome: outcomeNotSent, err: context.Canceled, problem: p}
		}
		fresh := l.verified.IsZero()
		if !c.idempotent {
			age := g.cfg.Clock().Sub(l.verified)
			g.cfg.Invariants.Require(fresh || age <= verifiedFor, invariant.AtMostOnce,
				"non-idempotent request on a connection last proved alive %s ago", age)
		}
		a := g.exchange(ctx, c, r, l)
		if a.outcome != outcomeNotSent || fresh || ctx.Err() != nil {
			return a
		}
	}
}

// exchange sends a request on a link and reads the whole answer.
func (g *Gateway) exchange(ctx context.Context, c *call, r *runner, l *link) attempt {
	if err := l.conn.begin(); err != nil {
		g.giveBack(r, l, false)
		return attempt{outcome: outcomeNotSent, err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.watch(c, r, l, cancel).stop()
	a := g.roundTrip(ctx, c, r, l)
	if a.outcome == outcomeLost && ctx.Err() != nil {
		a.abandoned = true
		a.err = context.Cause(ctx)
	}
	reusable := a.outcome == outcomeAnswer || a.outcome == outcomeNotRun
	g.giveBack(r, l, reusable && l.conn.settle())
	return a
}

func (g *Gateway) roundTrip(ctx context.Context, c *call, r *runner, l *link) attempt {
	res, err := l.client.RoundTrip(c.request(ctx, r))
	if err != nil {
		if sent, _, _ := l.conn.state(); !sent {
			return attempt{outcome: outcomeNotSent, err: err}
		}
		return attempt{outcome: outcomeLost, err: err}
	}
	a, err := readAnswer(res, c, l)
	if err != nil {
		// Closing the connection first keeps the rest of the answer from being read.
		l.close()
		_ = res.Body.Close()
		return attempt{outcome: outcomeLost, err: err}
	}
	g.noteLeaving(r, res.Header)
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRun) == string(runNo) {
		return attempt{outcome: outcomeNotRun, answer: a}
	}
	return attempt{outcome: outcomeAnswer, answer: a}
}

// request builds the request to a runner. It has no GetBody, and a ClientConn
// never sends a request twice.
func (c *call) request(ctx context.Context, r *runner) *http.Request {
	host := r.vm.Addr.String()
	req := &http.Request{
		Method: c.method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: host,
		URL:    &url.URL{Scheme: "http", Host: host, Path: c.path, RawPath: c.rawPath, RawQuery: c.query},
		Header: c.forwarded(), Body: http.NoBody, ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return req.WithContext(ctx)
}

// readAnswer reads an answer whole; anything less is an error.
func readAnswer(res *http.Response, c *call, l *link) (*answer, error) {
	if id := res.Header.Get(headerRequest); id != "" && id != c.id {
		return nil, errCrossed
	}
	if res.StatusCode < http.StatusOK {
		return nil, fmt.Errorf("answer with status %d", res.StatusCode)
	}
	bodyless := c.method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified
	if !bodyless && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return nil, errDelimit
	}
	if !bodyless && res.ContentLength > c.maxAnswer {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, errTooLarge
	}
	if _, stray, _ := l.conn.state(); stray {
		return nil, errCrossed
	}
	_ = res.Body.Close()
	return &answer{status: res.StatusCode, header: answerHeader(res.Header, bodyless), body: body}, nil
}

// stallWatch checks a connection on which no byte arrives for a while.
type stallWatch struct {
	g      *Gateway
	c      *call
	r      *runner
	l      *link
	stall  time.Duration
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	before  int
}

func (g *Gateway) watch(c *call, r *runner, l *link, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{g: g, c: c, r: r, l: l, stall: l.stall, cancel: cancel}
	w.arm()
	return w
}

func (w *stallWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _, w.before = w.l.conn.state()
	if !w.stopped {
		w.timer = time.AfterFunc(w.stall, w.check)
	}
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check gives up an idempotent request on a silent connection, so that it is tried on another.
func (w *stallWatch) check() {
	w.mu.Lock()
	stopped, before := w.stopped, w.before
	w.mu.Unlock()
	if stopped {
		return
	}
	if _, _, now := w.l.conn.state(); now != before {
		w.arm()
		return
	}
	if w.g.checkSilent(w.r) && w.c.idempotent && w.g.mayRetry(w.c, w.r.service) {
		w.cancel(errSilent)
	}
}

// mayRetry reports whether a silent request would be retried; a request is moved for silence only once.
func (g *Gateway) mayRetry(c *call, s *service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.attempts == 1 && s.retries.tokens >= 1
}
