package clientlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// refusalLogInterval is the shortest time between two log lines about the same kind of refusal.
const refusalLogInterval = time.Second

// ListenerName names a listener in log lines and metrics.
type ListenerName string

// Listeners of a process.
const (
	// FrontListener serves the callers, MetricsListener the readers of metrics, ReadyListener the readiness probe.
	FrontListener   ListenerName = "front"
	MetricsListener ListenerName = "metrics"
	ReadyListener   ListenerName = "ready"
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	Limits  Limits
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Guard holds the limits for clients of all listeners of a process, and logs and counts what they refuse.
type Guard struct {
	// Bodies is the budget for the bodies of requests and what is decoded from them.
	Bodies *Bodies

	log     zerolog.Logger
	metrics tally.Scope
	limits  Limits
	// listeners is written only before the servers start.
	listeners map[ListenerName]*Listener

	mu       sync.Mutex
	refusals map[refusalKind]*refusalLog
}

// refusalKind is a listener with the reason of a refusal.
type refusalKind struct {
	listener ListenerName
	reason   string
}

// refusalLog limits the log lines about one kind of refusal.
type refusalLog struct {
	counter  tally.Counter
	loggedAt time.Time
	// unlogged is the number of refusals since loggedAt.
	unlogged int
}

// NewGuard returns a guard without listeners.
func NewGuard(cfg GuardConfig) *Guard {
	return &Guard{
		log: cfg.Log, metrics: cfg.Metrics, limits: cfg.Limits, Bodies: NewBodies(int64(cfg.Limits.BodyBytes)),
		listeners: map[ListenerName]*Listener{}, refusals: map[refusalKind]*refusalLog{},
	}
}

// Wrap returns a listener with the limits of its name.
func (g *Guard) Wrap(name ListenerName, l net.Listener) *Listener {
	cfg := ListenerConfig{
		MaxConns: g.maxConns(name), MaxPartial: g.limits.PartialConns,
		Closed: func(reason Reason) { g.Refused(name, string(reason)) },
	}
	if name == FrontListener {
		cfg.EvictBody = func() bool { return g.Bodies.EvictSlowest(time.Now()) }
	}
	g.listeners[name] = NewListener(l, cfg)
	return g.listeners[name]
}

// maxConns returns the most connections of a listener.
func (g *Guard) maxConns(name ListenerName) int {
	if name == FrontListener {
		return g.limits.FrontConns
	}
	return g.limits.ProbeConns
}

// SetLimits changes the limits of bodies and connections; those of other daemons and of the store's queue stay.
func (g *Guard) SetLimits(limits Limits) {
	g.limits = limits
	g.Bodies.SetLimit(int64(limits.BodyBytes))
	for name, l := range g.listeners {
		l.SetLimits(g.maxConns(name), limits.PartialConns)
	}
}

// Refused counts a refusal and logs it unless one of the same kind was logged within refusalLogInterval.
func (g *Guard) Refused(name ListenerName, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kind := refusalKind{name, reason}
	r := g.refusals[kind]
	if r == nil {
		r = &refusalLog{counter: g.metrics.Tagged(map[string]string{"listener": string(name), "reason": reason}).Counter("client_refusals_total")}
		g.refusals[kind] = r
	}
	r.counter.Inc(1)
	now := time.Now()
	if now.Sub(r.loggedAt) < refusalLogInterval {
		r.unlogged++
		return
	}
	g.log.Info().Str("listener", string(name)).Str("reason", reason).Int("others", r.unlogged).Msg("front: client refused by a limit")
	r.loggedAt, r.unlogged = now, 0
}

// Report updates the gauges.
func (g *Guard) Report() {
	for name, l := range g.listeners {
		g.metrics.Tagged(map[string]string{"listener": string(name)}).Gauge("client_connections").Update(float64(l.Open()))
	}
	open, held := g.Bodies.Usage()
	g.metrics.Gauge("client_bodies").Update(float64(open))
	g.metrics.Gauge("client_body_bytes").Update(float64(held))
}

const (
	// responseWait is how long a response waits for memory, and responseRetry the time between two attempts.
	responseWait  = 2 * time.Second
	responseRetry = 10 * time.Millisecond
)

// HoldResponse makes a request hold the memory of its response as well, size bytes in all, until held is closed. Clients
// that don't read their responses are closed for it. It returns false if there is no memory in time.
func (g *Guard) HoldResponse(ctx context.Context, held *Body, size int64) bool {
	for end := time.Now().Add(responseWait); !g.Bodies.Finish(time.Now(), held, size); {
		if time.Now().After(end) {
			return false
		}
		if front := g.listeners[FrontListener]; front != nil && front.CloseStalled() {
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(responseRetry):
		}
	}
	return true
}

// Buffered is the function Buffered for responses of any size: they count toward the memory of Bodies until they are sent.
func (g *Guard) Buffered(n int, next http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var held Body
		defer g.Bodies.Close(&held)
		response := g.bufferResponse(r, slots, &held, next, w.Header())
		if response == nil {
			g.Refused(FrontListener, "no memory for the response")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(response.status)
		// An error means that the client is gone.
		_, _ = w.Write(response.body.Bytes())
	})
}

// bufferResponse serves a request once there is a slot. It returns nil if there is none in time, or no memory for the
// response.
func (g *Guard) bufferResponse(r *http.Request, slots chan struct{}, held *Body, next http.Handler, header http.Header) *bufferedResponse {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-time.After(slotTimeout):
		return nil
	}
	if !g.Bodies.Open(time.Now(), held, 0) {
		return nil
	}
	response := &bufferedResponse{header: header, status: http.StatusOK}
	next.ServeHTTP(response, r)
	if !g.HoldResponse(r.Context(), held, int64(response.body.Cap())) {
		return nil
	}
	return response
}
