package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

const (
	// ejectScore is the weight of consecutive failures that ejects a runner:
	// three failed connections or nine answers with a server error, which may
	// be the fault of the requests.
	ejectScore      = 9
	transportWeight = 3
	statusWeight    = 1
	// slowFactor times the median latency of its service's runners makes a runner an outlier.
	slowFactor     = 5
	slowMinSamples = 10
	slowMinRunners = 3
	// slowFloor keeps jitter of very fast services from ejecting runners.
	slowFloor    = 20 * time.Millisecond
	probeFirst   = time.Second
	probeMax     = 30 * time.Second
	probeTimeout = time.Second
	probePath    = "/healthz"
	// recoveredAfter is the number of good answers after which the probe delay starts over.
	recoveredAfter = 20
	maxProbeAnswer = 64 << 10
)

// outlier is the health of a runner.
type outlier struct {
	score   int
	good    int
	ejected bool
	probing bool
	probeAt time.Time
	delay   time.Duration
}

// succeeded notes an answer of a runner.
func (g *Gateway) succeeded(r *runner, took time.Duration, now time.Time) {
	r.latency.add(took, now)
	r.outlier.score = 0
	r.outlier.good++
	if r.outlier.good >= recoveredAfter {
		r.outlier.delay = 0
	}
}

// failed notes a failure of a runner and ejects it after several in a row.
func (g *Gateway) failed(r *runner, weight int, reason string) {
	r.outlier.good = 0
	r.outlier.score += weight
	if r.outlier.score >= ejectScore {
		g.eject(r, reason)
	}
}

// eject takes a runner out of use until a probe succeeds, unless a third of the runners is out already.
func (g *Gateway) eject(r *runner, reason string) {
	if r.outlier.ejected || r.removed {
		return
	}
	ejected := 1
	for _, other := range r.service.runners {
		if other.outlier.ejected {
			ejected++
		}
	}
	if ejected*3 > len(r.service.runners) {
		return
	}
	o := &r.outlier
	o.ejected = true
	o.delay = min(max(2*o.delay, probeFirst), probeMax)
	o.probeAt = g.cfg.Clock().Add(g.jitter(o.delay))
	r.suspect()
	g.metrics.ejected.Inc(1)
	g.cfg.Log.Warn().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Str("reason", reason).
		Dur("probeIn", o.delay).Msg("gateway: upstream ejected")
	g.broadcast(&peer.UpstreamNotice{Service: r.service.name, Upstream: r.id()})
}

// jitter spreads a delay over 75% to 125%.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + g.cfg.Random.Float64()/2))
}

func (g *Gateway) broadcast(m peer.Message) {
	if g.cfg.Sender != nil {
		g.cfg.Sender.Broadcast(m)
	}
}

// checkOutliers ejects slow runners and starts the probes that are due.
func (g *Gateway) checkOutliers(s *service, now time.Time) {
	g.ejectSlow(s, now)
	for _, r := range s.runners {
		o := &r.outlier
		if !o.ejected || o.probing || r.leaving || g.closed || now.Before(o.probeAt) {
			continue
		}
		o.probing = true
		g.wg.Go(func() { g.probeEjected(r) })
	}
}

func (g *Gateway) ejectSlow(s *service, now time.Time) {
	var means []float64
	for _, r := range s.runners {
		if r.available() && r.latency.samples >= slowMinSamples {
			means = append(means, r.latency.mean)
		}
	}
	if len(means) < slowMinRunners {
		return
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for _, r := range s.runners {
		recent := now.Sub(r.latency.last) < estimateHalfLife
		slow := r.latency.mean > max(slowFactor*median, float64(slowFloor))
		if recent && slow && r.available() && r.latency.samples >= slowMinSamples {
			g.eject(r, "slow")
		}
	}
}

// probeEjected probes a runner and puts it back into use or delays the next probe.
func (g *Gateway) probeEjected(r *runner) {
	ok := g.probe(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &r.outlier
	o.probing = false
	if !ok {
		o.delay = min(2*o.delay, probeMax)
		o.probeAt = g.cfg.Clock().Add(g.jitter(o.delay))
		return
	}
	// One more failed connection ejects it again, with a longer delay.
	o.ejected, o.score, o.good = false, ejectScore-transportWeight, 0
	r.latency = estimate{}
	g.cfg.Log.Info().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Msg("gateway: upstream back in use")
	g.dispatch(r.service)
}

// probe asks a runner for its health on a new connection.
func (g *Gateway) probe(r *runner) bool {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	l, err := g.dial(ctx, r.vm.Addr, r.count(g))
	if err != nil {
		return false
	}
	defer l.close()
	if l.conn.begin() != nil {
		return false
	}
	u := &url.URL{Scheme: "http", Host: r.vm.Addr.String(), Path: probePath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	res, err := l.client.RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	g.noteLeaving(r, res.Header)
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeAnswer))
	return err == nil && res.StatusCode < http.StatusInternalServerError
}

// checkSilent finds out whether a connection without progress is silent: if a
// new connection works, all idle ones of the runner are suspect. It returns
// whether the connection is to be given up.
func (g *Gateway) checkSilent(r *runner) bool {
	g.mu.Lock()
	if r.checking || g.closed {
		g.mu.Unlock()
		return false
	}
	r.checking = true
	g.mu.Unlock()
	ok := g.probe(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	r.checking = false
	if !ok {
		g.failed(r, transportWeight, "no answer on a new connection")
		return false
	}
	r.suspect()
	g.cfg.Log.Warn().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).
		Msg("gateway: connection silent while a new one works; idle connections closed")
	return true
}

// noteLeaving reads from an answer whether the runner is leaving and tells the other daemons.
func (g *Gateway) noteLeaving(r *runner, h http.Header) {
	if h.Get(headerLeaving) != "true" {
		return
	}
	g.mu.Lock()
	changed := g.setLeaving(r, true, "upstream")
	g.mu.Unlock()
	if changed {
		g.broadcast(&peer.UpstreamNotice{Service: r.service.name, Upstream: r.id(), Leaving: true})
	}
}
