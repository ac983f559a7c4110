package gateway

import (
	"math"
	"time"
)

const (
	// meanGain and deviationGain are the weights of a new sample, as for TCP's round-trip time (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations above the mean is the 96th percentile of exponential service
	// times. With one, a queue that is as long as the deadlines allow let a fifth
	// of the requests start that then missed their deadlines.
	deviations = 3
	// estimateHalfLife lets an estimate without new samples decay, so that a
	// service whose requests are all refused for a long estimate is tried again.
	estimateHalfLife = 5 * time.Second
)

// estimate is a moving mean and mean deviation of durations.
type estimate struct {
	mean, deviation float64
	samples         int
	last            time.Time
}

func (e *estimate) add(d time.Duration, now time.Time) {
	x := float64(d)
	if e.samples == 0 {
		e.mean, e.deviation = x, x/2
	} else {
		diff := x - e.mean
		e.mean += meanGain * diff
		e.deviation += deviationGain * (math.Abs(diff) - e.deviation)
	}
	e.samples++
	e.last = now
}

func (e *estimate) value(now time.Time) time.Duration {
	return time.Duration(e.mean * e.decay(now))
}

// likely returns a duration that nearly all samples stay below.
func (e *estimate) likely(now time.Time) time.Duration {
	return time.Duration((e.mean + deviations*e.deviation) * e.decay(now))
}

func (e *estimate) decay(now time.Time) float64 {
	idle := now.Sub(e.last)
	if e.samples == 0 || idle < estimateHalfLife {
		return 1
	}
	return math.Exp2(1 - float64(idle)/float64(estimateHalfLife))
}

// retryBudget is a token bucket filled by requests, so that retries stay a fixed fraction of them.
type retryBudget struct{ tokens float64 }

const (
	retryFraction = 0.1
	// retryBurst lets a service with few requests retry some of them.
	retryBurst = 10
)

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryFraction, retryBurst) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
