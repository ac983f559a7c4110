package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
)

// maxAttempts limits the runners that one request is tried on.
const maxAttempts = 3

// call is one request of a caller.
type call struct {
	id        string
	service   cluster.ServiceName
	queue     cluster.QueueName
	secret    string
	team      cluster.TeamName
	snapshot  *cluster.Snapshot
	method    string
	path      string
	rawPath   string
	query     string
	header    http.Header
	body      []byte
	key       string
	deadline  time.Time
	maxAnswer int64
	// idempotent says that the request may be sent again.
	idempotent bool
	attempts   int
	upstream   cluster.UpstreamID
	// mayHaveRun says that a byte reached a runner which did not say that the request was not run.
	mayHaveRun bool
	// sends counts the attempts that reached a runner.
	sends int
}

// ServeService routes one request to a runner of the service and writes its answer.
func (g *Gateway) ServeService(w http.ResponseWriter, r *http.Request, service cluster.ServiceName, path string) {
	start := g.cfg.Clock()
	c := &call{service: service, method: r.Method, header: r.Header, query: r.URL.RawQuery, path: path, rawPath: rawPath(r.URL, path)}
	if !g.enter() {
		p := refuse(http.StatusServiceUnavailable, "draining", "this daemon is shutting down").retry(0)
		g.report(c, nil, p, 0)
		p.write(w, true)
		return
	}
	defer g.leave()
	a, p := g.serve(w, r, c)
	g.report(c, a, p, g.cfg.Clock().Sub(start))
	closing := g.closing.Load()
	if p != nil {
		p.write(w, closing)
		return
	}
	a.write(w, closing)
}

// enter counts a request, unless the gateway is draining.
func (g *Gateway) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.active++
	return true
}

func (g *Gateway) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) (*answer, *problem) {
	if p := g.prepare(r, c); p != nil {
		return nil, p
	}
	if p := readBody(w, r, c); p != nil {
		return nil, p
	}
	parent := r.Context()
	if !c.idempotent {
		// The answer is wanted for the record even if the caller has gone, and
		// closing the connection would not undo the request.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, c.deadline.Sub(g.cfg.Clock()))
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	a, p := g.serveKeyed(ctx, c)
	if p != nil {
		if c.mayHaveRun && p.run == runNo {
			p.run = runUnknown
		}
		g.cfg.Invariants.Require(p.run != runNo || !c.mayHaveRun, invariant.NotRun, "request %s may have been run", c.id)
	}
	g.cfg.Invariants.Require(c.idempotent || c.sends <= 1, invariant.AtMostOnce, "request %s was sent %d times", c.id, c.sends)
	return a, p
}

// prepare finds the route of a request, authorizes it and reads its headers.
func (g *Gateway) prepare(r *http.Request, c *call) *problem {
	c.snapshot = g.cfg.Authorizer.Snapshot()
	if c.snapshot == nil {
		return refuse(http.StatusServiceUnavailable, "not ready", "no configuration yet").retry(0)
	}
	route := c.snapshot.Services[c.service]
	if route == nil {
		return refuse(http.StatusNotFound, "unknown service", "there is no service %q", c.service)
	}
	if !idempotentByMethod[r.Method] && r.Method != http.MethodPost && r.Method != http.MethodPatch {
		return refuse(http.StatusMethodNotAllowed, "method not allowed", "%s is not routed", r.Method)
	}
	c.queue, c.secret = route.Queue, bearer(r.Header)
	if p := g.authorize(c); p != nil {
		return p
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	now := g.cfg.Clock()
	var err error
	if c.deadline, err = deadlineOf(r.Header, timeout, now); err != nil {
		return refuse(http.StatusBadRequest, "malformed deadline", "%v", err)
	}
	if !c.deadline.After(now) {
		return refuse(http.StatusGatewayTimeout, "deadline has passed", "it was %s", c.deadline.Format(time.RFC3339Nano))
	}
	if c.key, err = idempotencyKey(r.Header); err != nil {
		return refuse(http.StatusBadRequest, "malformed idempotency key", "%v", err)
	}
	if safe(r.Method) {
		c.key = ""
	}
	c.idempotent = idempotentByMethod[r.Method] || r.Header.Get(headerIdempotent) == "true"
	c.maxAnswer = int64(route.MaxAnswer)
	if c.maxAnswer <= 0 {
		c.maxAnswer = int64(DefaultMaxAnswer)
	}
	c.id = g.newID()
	return nil
}

// newID returns an identifier of a request; it is unique within the fleet,
// because a daemon's identifier stands for one run of it.
func (g *Gateway) newID() string {
	return string(g.cfg.Self) + "-" + strconv.FormatUint(g.requests.Add(1), 36)
}

// authorize finds the team of a request.
func (g *Gateway) authorize(c *call) *problem {
	team, err := g.cfg.Authorizer.Authorize(c.secret, c.queue)
	if err != nil {
		refusal := g.cfg.Refusal(err)
		p := refuse(refusal.Status, "not authorized", "%v", err)
		if refusal.RetryAfter > 0 {
			p.retry(refusal.RetryAfter)
		}
		return p
	}
	c.team = team
	g.checkKey(c)
	return nil
}

// checkKey requires that work on a queue that isn't open runs for the team of
// the presented key. The check is left out while the configuration changes.
func (g *Gateway) checkKey(c *call) {
	q := c.snapshot.Queues[c.queue]
	if q == nil || q.Open || g.cfg.Authorizer.Snapshot() != c.snapshot {
		return
	}
	key := c.snapshot.KeysBy[hashSecret(c.secret)]
	g.cfg.Invariants.Require(key != nil && key.Team == c.team, invariant.KeyTeam, "request for team %s without a key of it", c.team)
}

// readBody reads the body of a request within the route's limit and the deadline.
func readBody(w http.ResponseWriter, r *http.Request, c *call) *problem {
	limit := int64(c.snapshot.Services[c.service].MaxBody)
	if limit <= 0 {
		limit = int64(DefaultMaxBody)
	}
	if r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, "body too large", "the limit is %d bytes", limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	// Writers that don't support deadlines, such as recorders, have no slow callers.
	control := http.NewResponseController(w)
	if control.SetReadDeadline(c.deadline) == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body too large", "the limit is %d bytes", limit)
	case err != nil:
		return refuse(http.StatusBadRequest, "body incomplete", "%v", err)
	}
	c.body = body
	return nil
}

// route sends a request to runners until one answers, within the limits on retries.
func (g *Gateway) route(ctx context.Context, c *call) (*answer, *problem) {
	t, p := g.admit(c)
	if p != nil {
		return nil, p
	}
	for {
		r, p := g.await(ctx, c, t)
		if p != nil {
			return nil, p
		}
		c.attempts++
		c.upstream = r.id()
		a := g.send(ctx, c, r)
		g.finish(t, r, a)
		if a.outcome != outcomeNotSent {
			c.sends++
		}
		if a.outcome == outcomeAnswer {
			return a.answer, nil
		}
		c.mayHaveRun = c.mayHaveRun || a.outcome == outcomeLost
		if !g.retry(ctx, c, t, r, a) {
			return nil, failure(ctx, a)
		}
	}
}

// failure describes an attempt that isn't retried.
func failure(ctx context.Context, a attempt) *problem {
	if a.problem != nil {
		return a.problem
	}
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch a.outcome {
	case outcomeNotSent:
		if expired {
			return refuse(http.StatusGatewayTimeout, "deadline has passed", "no runner was reached: %v", a.err)
		}
		return refuse(http.StatusBadGateway, "runner not reached", "%v", a.err).retry(0)
	case outcomeNotRun:
		return refuse(http.StatusServiceUnavailable, "refused by the runner", "the runner did not run the request").retry(retryAfter(a.answer))
	}
	if expired {
		return uncertain(http.StatusGatewayTimeout, "no answer before the deadline", "%v", a.err)
	}
	return uncertain(http.StatusBadGateway, "answer lost", "%v", a.err)
}

func retryAfter(a *answer) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(a.header.Get("Retry-After")))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retry puts a request back in its queue if it may be tried on another runner.
func (g *Gateway) retry(ctx context.Context, c *call, t *ticket, r *runner, a attempt) bool {
	// What reached a runner is sent again only if it is idempotent, even if the
	// runner says that it wasn't run.
	if a.problem != nil || ctx.Err() != nil || c.attempts >= maxAttempts || (a.outcome != outcomeNotSent && !c.idempotent) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.service.retries.take() {
		return false
	}
	g.metrics.retried.Inc(1)
	t.excluded = r
	g.push(t, true)
	g.dispatch(t.service)
	return true
}

// report logs the routing decision and counts the result.
func (g *Gateway) report(c *call, a *answer, p *problem, took time.Duration) {
	e := g.cfg.Log.Info().Str("service", string(c.service)).Str("team", string(c.team)).Str("method", c.method).
		Str("upstream", string(c.upstream)).Int("attempts", c.attempts).Dur("took", took)
	g.metrics.latency.Record(took)
	if p == nil {
		g.metrics.served.Inc(1)
		e.Int("status", a.status).Msg("gateway: request answered")
		return
	}
	if p.run == runUnknown {
		g.metrics.uncertain.Inc(1)
	} else {
		g.metrics.refused.Inc(1)
	}
	e.Int("status", p.status).Str("run", string(p.run)).Str("reason", p.Error()).Msg("gateway: request refused")
}
