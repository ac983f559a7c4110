package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
)

// maxAttempts limits the attempts for one request.
const maxAttempts = 3

// call is the state of one request of a caller.
type call struct {
	id          string
	service     cluster.ServiceName
	queue       cluster.QueueName
	secret      string
	team        cluster.TeamName
	snapshot    *cluster.Snapshot
	method      string
	path        string
	rawPath     string
	query       string
	header      http.Header
	body        []byte
	idemKey     string
	deadline    time.Time
	maxResponse int64
	// idempotent means that the request may be sent more than once.
	idempotent bool
	// attempts counts the attempts; upstream is the runner of the last one.
	attempts int
	upstream cluster.UpstreamID
	// mayHaveRun means that a byte reached a runner which did not report the request as not run.
	mayHaveRun bool
	// sends counts the attempts that sent at least one byte to a runner.
	sends int
	// held is the memory of the body and the response, heldHeader that of the header.
	held       clientlimit.Body
	heldHeader clientlimit.Body
}

// ServeService routes one request to a runner of the service and writes the response.
func (g *Gateway) ServeService(w http.ResponseWriter, r *http.Request, service cluster.ServiceName, path string) {
	startedAt := g.cfg.Clock()
	c := &call{service: service, method: r.Method, header: r.Header, query: r.URL.RawQuery, path: path, rawPath: escapedPath(r.URL, path)}
	if !g.startWork() {
		p := notRunProblem(http.StatusServiceUnavailable, "draining", "this daemon is shutting down").withRetryAfter(0)
		g.report(c, nil, p, 0)
		p.write(w, true)
		return
	}
	defer g.endWork()
	defer g.cfg.Clients.Bodies.Close(&c.held)
	defer g.cfg.Clients.Bodies.Close(&c.heldHeader)
	resp, p := g.serve(w, r, c)
	g.report(c, resp, p, g.cfg.Clock().Sub(startedAt))
	closeConn := g.drainingFlag.Load()
	if p != nil {
		p.write(w, closeConn)
		return
	}
	resp.write(w, closeConn)
}

// startWork counts a request as active work; it returns false if the gateway is draining.
func (g *Gateway) startWork() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.activeWork++
	return true
}

// endWork ends active work; Drain waits for the last of it.
func (g *Gateway) endWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeWork--
	if g.activeWork == 0 && g.workDone != nil {
		close(g.workDone)
		g.workDone = nil
	}
}

// serve validates, authorizes and routes a request within its deadline.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) (*response, *problem) {
	if p := g.prepare(r, c); p != nil {
		return nil, p
	}
	if p := g.readBody(w, r, c); p != nil {
		return nil, p
	}
	parent := r.Context()
	if !c.idempotent {
		// The response is recorded even if the caller has disconnected, and closing
		// the connection to the runner would not undo the request.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, c.deadline.Sub(g.cfg.Clock()))
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	resp, p := g.serveWithKey(ctx, c)
	if p != nil {
		if c.mayHaveRun && p.run == runStatusNo {
			p.run = runStatusUnknown
		}
		g.cfg.Invariants.Require(p.run != runStatusNo || !c.mayHaveRun, invariant.NotRun, "request %s may have been run", c.id)
	}
	g.cfg.Invariants.Require(c.idempotent || c.sends <= 1, invariant.AtMostOnce, "request %s was sent %d times", c.id, c.sends)
	if p == nil && !g.cfg.Clients.HoldResponse(ctx, &c.held, int64(cap(c.body)+cap(resp.body))) {
		g.cfg.Clients.Refused(clientlimit.FrontListener, "no memory for the response")
		return nil, unknownRunProblem(http.StatusGatewayTimeout, "answer dropped", "there is no memory for it")
	}
	return resp, p
}

// prepare finds the route of a request, authorizes the request and reads its headers.
func (g *Gateway) prepare(r *http.Request, c *call) *problem {
	c.snapshot = g.cfg.Authorizer.Snapshot()
	if c.snapshot == nil {
		return notRunProblem(http.StatusServiceUnavailable, "not ready", "no configuration yet").withRetryAfter(0)
	}
	route := c.snapshot.Services[c.service]
	if route == nil {
		return notRunProblem(http.StatusNotFound, "unknown service", "there is no service %q", c.service)
	}
	if !idempotentMethods[r.Method] && r.Method != http.MethodPost && r.Method != http.MethodPatch {
		return notRunProblem(http.StatusMethodNotAllowed, "method not allowed", "%s is not routed", r.Method)
	}
	c.queue, c.secret = route.Queue, bearerToken(r.Header)
	if p := g.authorize(c); p != nil {
		return p
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	now := g.cfg.Clock()
	var err error
	if c.deadline, err = requestDeadline(r.Header, timeout, now); err != nil {
		return notRunProblem(http.StatusBadRequest, "malformed deadline", "%v", err)
	}
	if !c.deadline.After(now) {
		return notRunProblem(http.StatusGatewayTimeout, "deadline has passed", "it was %s", c.deadline.Format(time.RFC3339Nano))
	}
	if c.idemKey, err = idempotencyKey(r.Header); err != nil {
		return notRunProblem(http.StatusBadRequest, "malformed idempotency key", "%v", err)
	}
	if safeMethod(r.Method) {
		c.idemKey = ""
	}
	c.idempotent = idempotentMethods[r.Method] || r.Header.Get(headerIdempotent) == "true"
	c.maxResponse = int64(route.MaxAnswer)
	if c.maxResponse <= 0 {
		c.maxResponse = int64(DefaultMaxResponse)
	}
	c.id = g.newRequestID()
	return nil
}

// newRequestID returns a request identifier. It is unique among all daemons, because a
// daemon gets a new identifier each time it starts.
func (g *Gateway) newRequestID() string {
	return string(g.cfg.Self) + "-" + strconv.FormatUint(g.requestCounter.Add(1), 36)
}

// authorize determines the team of a request.
func (g *Gateway) authorize(c *call) *problem {
	team, err := g.cfg.Authorizer.Authorize(c.secret, c.queue)
	if err != nil {
		refusal := g.cfg.Refusal(err)
		p := notRunProblem(refusal.Status, "not authorized", "%v", err)
		if refusal.RetryAfter > 0 {
			p.withRetryAfter(refusal.RetryAfter)
		}
		return p
	}
	c.team = team
	g.checkKeyTeam(c)
	return nil
}

// checkKeyTeam requires that a request on a queue that isn't open runs for the team of
// its key. The check is skipped if the configuration has changed since.
func (g *Gateway) checkKeyTeam(c *call) {
	queue := c.snapshot.Queues[c.queue]
	if queue == nil || queue.Open || g.cfg.Authorizer.Snapshot() != c.snapshot {
		return
	}
	key := c.snapshot.KeysByHash[hashSecret(c.secret)]
	g.cfg.Invariants.Require(key != nil && key.Team == c.team, invariant.KeyTeam, "request for team %s without a key of it", c.team)
}

// readBody reads the request body within the route's size limit, the request deadline and the memory for bodies.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call) *problem {
	now := time.Now()
	if !g.cfg.Clients.Bodies.Open(now, &c.heldHeader, headerBytes(r.Header)) || !g.cfg.Clients.Bodies.Finish(now, &c.heldHeader, headerBytes(r.Header)) {
		return g.bodyProblem(&clientlimit.Error{Op: "read header", Kind: clientlimit.KindNoMemory}, 0)
	}
	limit := int64(c.snapshot.Services[c.service].MaxBody)
	if limit <= 0 {
		limit = int64(DefaultMaxBody)
	}
	reader := clientlimit.BodyReader{Bodies: g.cfg.Clients.Bodies, Held: &c.held, MaxBytes: limit, Deadline: c.deadline}
	body, err := reader.Read(w, r)
	if err == nil && !g.cfg.Clients.Bodies.Finish(time.Now(), &c.held, int64(cap(body))) {
		err = &clientlimit.Error{Op: "read body", Kind: clientlimit.KindNoMemory}
	}
	var refused *clientlimit.Error
	if errors.As(err, &refused) {
		return g.bodyProblem(refused, limit)
	}
	if len(body) > 0 {
		c.body = body
	}
	return nil
}

// headerFieldBytes is the memory of a header field without its text.
const headerFieldBytes = 64

// headerBytes returns the memory of a header.
func headerBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		size += headerFieldBytes + len(name)
		for _, v := range values {
			size += headerFieldBytes + len(v)
		}
	}
	return int64(size)
}

// bodyProblem describes a request whose body is not accepted.
func (g *Gateway) bodyProblem(err *clientlimit.Error, limit int64) *problem {
	switch err.Kind {
	case clientlimit.KindTooLarge:
		return notRunProblem(http.StatusRequestEntityTooLarge, "body too large", "the limit is %d bytes", limit)
	case clientlimit.KindEnded:
		return notRunProblem(http.StatusBadRequest, "body incomplete", "%v", err)
	}
	g.cfg.Clients.Refused(clientlimit.FrontListener, err.Limit())
	p := notRunProblem(err.Status(), "body not accepted", "%v", err)
	if err.Status() == http.StatusServiceUnavailable {
		p.withRetryAfter(0)
	}
	return p
}

// route sends a request to runners until one responds or no retry is allowed.
func (g *Gateway) route(ctx context.Context, c *call) (*response, *problem) {
	req, p := g.admit(c)
	if p != nil {
		return nil, p
	}
	for {
		r, p := g.waitForSlot(ctx, c, req)
		if p != nil {
			return nil, p
		}
		c.attempts++
		c.upstream = r.id()
		a := g.send(ctx, c, r)
		g.finishAttempt(req, r, a)
		if a.outcome != outcomeNotSent {
			c.sends++
		}
		if a.outcome == outcomeResponse {
			return a.response, nil
		}
		c.mayHaveRun = c.mayHaveRun || a.outcome == outcomeUnknown
		if !g.retry(ctx, c, req, r, a) {
			return nil, attemptProblem(ctx, a)
		}
	}
}

// attemptProblem describes a failed attempt that isn't retried.
func attemptProblem(ctx context.Context, a attempt) *problem {
	if a.problem != nil {
		return a.problem
	}
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch a.outcome {
	case outcomeNotSent:
		if expired {
			return notRunProblem(http.StatusGatewayTimeout, "deadline has passed", "no runner was reached: %v", a.err)
		}
		return notRunProblem(http.StatusBadGateway, "runner not reached", "%v", a.err).withRetryAfter(0)
	case outcomeNotRun:
		return notRunProblem(http.StatusServiceUnavailable, "refused by the runner", "the runner did not run the request").withRetryAfter(retryAfter(a.response))
	}
	if expired {
		return unknownRunProblem(http.StatusGatewayTimeout, "no answer before the deadline", "%v", a.err)
	}
	return unknownRunProblem(http.StatusBadGateway, "answer lost", "%v", a.err)
}

// retryAfter returns the Retry-After delay of a response, zero if there is none.
func retryAfter(resp *response) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(resp.header.Get("Retry-After")))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retry puts a request back into its queue if another attempt is allowed.
func (g *Gateway) retry(ctx context.Context, c *call, req *admittedRequest, r *runner, a attempt) bool {
	// A request that has reached a runner is sent again only if it is idempotent,
	// even if the runner reports that it was not run.
	if a.problem != nil || ctx.Err() != nil || c.attempts >= maxAttempts || (a.outcome != outcomeNotSent && !c.idempotent) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !req.service.retryBudget.withdraw() {
		return false
	}
	g.metrics.retried.Inc(1)
	req.excluded = r
	g.push(req, true)
	g.dispatch(req.service)
	return true
}

// report logs the routing decision and updates the metrics.
func (g *Gateway) report(c *call, resp *response, p *problem, elapsed time.Duration) {
	e := g.cfg.Log.Info().Str("service", string(c.service)).Str("team", string(c.team)).Str("method", c.method).
		Str("upstream", string(c.upstream)).Int("attempts", c.attempts).Dur("took", elapsed)
	g.metrics.latency.Record(elapsed)
	if p == nil {
		g.metrics.served.Inc(1)
		e.Int("status", resp.status).Msg("gateway: request answered")
		return
	}
	if p.run == runStatusUnknown {
		g.metrics.uncertain.Inc(1)
	} else {
		g.metrics.refused.Inc(1)
	}
	e.Int("status", p.status).Str("run", string(p.run)).Str("reason", p.Error()).Msg("gateway: request refused")
}
