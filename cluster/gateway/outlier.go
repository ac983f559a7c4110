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
	// ejectScore is the weighted number of consecutive failures that ejects a runner: three
	// failed connections, or nine responses with a server error, which may be the fault of
	// the requests.
	ejectScore             = 9
	transportFailureWeight = 3
	statusFailureWeight    = 1
	// slowFactor is the multiple of the median latency of the service's runners above which a runner is an outlier.
	slowFactor     = 5
	slowMinSamples = 10
	slowMinRunners = 3
	// slowMinLatency keeps the jitter of very fast services from ejecting runners.
	slowMinLatency = 20 * time.Millisecond
	// The delay before the next probe of an ejected runner doubles from probeMinDelay to probeMaxDelay.
	probeMinDelay = time.Second
	probeMaxDelay = 30 * time.Second
	probeTimeout  = time.Second
	probePath     = "/healthz"
	// probeResetSuccesses is the number of consecutive successes that resets the probe delay.
	probeResetSuccesses = 20
	maxProbeResponse    = 64 << 10
)

// runnerHealth is the state of the outlier detection for a runner.
type runnerHealth struct {
	// failureScore is the weighted number of consecutive failures.
	failureScore int
	// successes is the number of consecutive successful responses.
	successes   int
	ejected     bool
	probing     bool
	nextProbeAt time.Time
	probeDelay  time.Duration
}

// recordSuccess records a successful response of a runner.
func (g *Gateway) recordSuccess(r *runner, elapsed time.Duration, now time.Time) {
	r.latency.add(elapsed, now)
	r.health.failureScore = 0
	r.health.successes++
	if r.health.successes >= probeResetSuccesses {
		r.health.probeDelay = 0
	}
}

// recordFailure records a failure of a runner and ejects the runner after several in a row.
func (g *Gateway) recordFailure(r *runner, weight int, reason string) {
	r.health.successes = 0
	r.health.failureScore += weight
	if r.health.failureScore >= ejectScore {
		g.eject(r, reason)
	}
}

// eject stops using a runner until a probe succeeds, unless that would eject more than a third of
// the service's runners.
func (g *Gateway) eject(r *runner, reason string) {
	if r.health.ejected || r.removed {
		return
	}
	ejected := 1
	for _, other := range r.service.runners {
		if other.health.ejected {
			ejected++
		}
	}
	if ejected*3 > len(r.service.runners) {
		return
	}
	health := &r.health
	health.ejected = true
	health.probeDelay = min(max(2*health.probeDelay, probeMinDelay), probeMaxDelay)
	health.nextProbeAt = g.cfg.Clock().Add(g.jitter(health.probeDelay))
	r.invalidateConns()
	g.metrics.ejected.Inc(1)
	g.cfg.Log.Warn().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Str("reason", reason).
		Dur("probeIn", health.probeDelay).Msg("gateway: upstream ejected")
	g.broadcast(&peer.UpstreamNotice{Service: r.service.name, Upstream: r.id()})
}

// jitter returns a random duration between 75% and 125% of d.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + g.cfg.Random.Float64()/2))
}

// broadcast sends a message to all peers, if there is a Sender.
func (g *Gateway) broadcast(m peer.Message) {
	if g.cfg.Sender != nil {
		g.cfg.Sender.Broadcast(m)
	}
}

// checkOutliers ejects slow runners and starts the health probes that are due.
func (g *Gateway) checkOutliers(s *service, now time.Time) {
	g.ejectSlow(s, now)
	for _, r := range s.runners {
		health := &r.health
		if !health.ejected || health.probing || r.leaving || g.closed || now.Before(health.nextProbeAt) {
			continue
		}
		health.probing = true
		g.wg.Go(func() { g.probeEjected(r) })
	}
}

// ejectSlow ejects runners whose latency is far above the median of the service.
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
		recent := now.Sub(r.latency.lastSampleAt) < estimateHalfLife
		slow := r.latency.mean > max(slowFactor*median, float64(slowMinLatency))
		if recent && slow && r.available() && r.latency.samples >= slowMinSamples {
			g.eject(r, "slow")
		}
	}
}

// probeEjected probes an ejected runner and either puts it back into use or schedules the next probe.
func (g *Gateway) probeEjected(r *runner) {
	ok := g.probe(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	health := &r.health
	health.probing = false
	if !ok {
		health.probeDelay = min(2*health.probeDelay, probeMaxDelay)
		health.nextProbeAt = g.cfg.Clock().Add(g.jitter(health.probeDelay))
		return
	}
	// One more failed connection ejects the runner again, with a longer probe delay.
	health.ejected, health.failureScore, health.successes = false, ejectScore-transportFailureWeight, 0
	r.latency = durationEstimate{}
	g.cfg.Log.Info().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Msg("gateway: upstream back in use")
	g.dispatch(r.service)
}

// probe sends a health check to a runner on a new connection.
func (g *Gateway) probe(r *runner) bool {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	conn, err := g.dial(ctx, r.vm.Addr, r.byteCounter(g))
	if err != nil {
		return false
	}
	defer conn.close()
	if conn.tracked.beginRequest() != nil {
		return false
	}
	u := &url.URL{Scheme: "http", Host: r.vm.Addr.String(), Path: probePath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	resp, err := conn.client.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	g.recordLeaving(r, resp.Header)
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeResponse))
	return err == nil && resp.StatusCode < http.StatusInternalServerError
}

// checkStalled determines whether a connection without progress is stalled. If a new
// connection to the runner works, all its idle connections are invalidated. It
// returns whether the stalled connection should be given up.
func (g *Gateway) checkStalled(r *runner) bool {
	g.mu.Lock()
	if r.checkingStall || g.closed {
		g.mu.Unlock()
		return false
	}
	r.checkingStall = true
	g.mu.Unlock()
	ok := g.probe(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	r.checkingStall = false
	if !ok {
		g.recordFailure(r, transportFailureWeight, "no response on a new connection")
		return false
	}
	r.invalidateConns()
	g.cfg.Log.Warn().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).
		Msg("gateway: connection stalled while a new one works; idle connections closed")
	return true
}

// recordLeaving checks whether a response reports the runner as leaving, and notifies the other daemons.
func (g *Gateway) recordLeaving(r *runner, h http.Header) {
	if h.Get(headerLeaving) != "true" {
		return
	}
	g.mu.Lock()
	changed := g.markLeaving(r, true, "upstream")
	g.mu.Unlock()
	if changed {
		g.broadcast(&peer.UpstreamNotice{Service: r.service.name, Upstream: r.id(), Leaving: true})
	}
}
