package gateway

import (
	"math"
	"time"
)

const (
	// meanGain and deviationGain are the weights of a new sample, as for TCP's round-trip time (RFC 6298).
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// Three deviations above the mean are the 96th percentile of exponential service times.
	// With one, and a queue as long as the deadlines allow, a fifth of the requests were
	// started and then missed their deadlines.
	upperBoundDeviations = 3
	// estimateHalfLife makes an estimate without new samples decay. Otherwise a service
	// whose requests are all refused because of a long estimate would never be tried again.
	estimateHalfLife = 5 * time.Second
)

// durationEstimate is an exponentially weighted mean and mean deviation of durations.
type durationEstimate struct {
	mean, deviation float64
	samples         int
	lastSampleAt    time.Time
}

func (e *durationEstimate) add(d time.Duration, now time.Time) {
	x := float64(d)
	if e.samples == 0 {
		e.mean, e.deviation = x, x/2
	} else {
		diff := x - e.mean
		e.mean += meanGain * diff
		e.deviation += deviationGain * (math.Abs(diff) - e.deviation)
	}
	e.samples++
	e.lastSampleAt = now
}

// value returns the mean, decayed by the time since the last sample.
func (e *durationEstimate) value(now time.Time) time.Duration {
	return time.Duration(e.mean * e.decay(now))
}

// upperBound returns a duration that nearly all samples stay below.
func (e *durationEstimate) upperBound(now time.Time) time.Duration {
	return time.Duration((e.mean + upperBoundDeviations*e.deviation) * e.decay(now))
}

// decay returns the factor for an estimate without recent samples.
func (e *durationEstimate) decay(now time.Time) float64 {
	sinceLastSample := now.Sub(e.lastSampleAt)
	if e.samples == 0 || sinceLastSample < estimateHalfLife {
		return 1
	}
	return math.Exp2(1 - float64(sinceLastSample)/float64(estimateHalfLife))
}

// retryBudget is a token bucket that each new request adds to, so that retries stay a fixed fraction of the requests.
type retryBudget struct{ tokens float64 }

const (
	retryFraction = 0.1
	// retryBurst lets a service with few requests retry some of them.
	retryBurst = 10
)

// deposit adds the tokens that one new request earns.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+retryFraction, retryBurst) }

// withdraw uses one token; it returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
