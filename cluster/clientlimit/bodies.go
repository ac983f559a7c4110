package clientlimit

import (
	"sync"
	"time"
)

const (
	// bodyGrace is how long a body may take without a byte, and minBodyRate the rate in bytes per second that it must
	// reach on average after that. A body of 256 KiB may take 37 s.
	bodyGrace   = 5 * time.Second
	minBodyRate = 8 << 10
	// MaxBodyTime limits the time for the body of a job, whatever deadline its client gives.
	MaxBodyTime = 30 * time.Second
)

// rateDeadline returns the time by which the next byte of a body must arrive at minBodyRate.
func rateDeadline(start time.Time, received int64) time.Time {
	return start.Add(bodyGrace + time.Duration(float64(received)/minBodyRate*float64(time.Second)))
}

// Bodies is a Budget that is safe for concurrent use and aborts the bodies that it evicts.
type Bodies struct {
	mu     sync.Mutex
	budget *Budget
}

// NewBodies returns a budget of the given number of bytes.
func NewBodies(limit int64) *Bodies { return &Bodies{budget: NewBudget(limit)} }

// SetLimit is Budget.SetLimit.
func (s *Bodies) SetLimit(limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimit(limit)
}

// Open is Budget.Open.
func (s *Bodies) Open(now time.Time, b *Body, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abort(s.budget.Open(now, b, n))
}

// Grow is Budget.Grow.
func (s *Bodies) Grow(now time.Time, b *Body, n, received int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abort(s.budget.Grow(now, b, n, received))
}

// Finish is Budget.Finish.
func (s *Bodies) Finish(now time.Time, b *Body, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abort(s.budget.Finish(now, b, n))
}

// Close is Budget.Close.
func (s *Bodies) Close(b *Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Close(b)
}

// IsEvicted reports whether a body was closed in favor of others.
func (s *Bodies) IsEvicted(b *Body) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.state == bodyEvicted
}

// EvictSlowest closes the unfinished body that is the latest; it returns false if none is late.
func (s *Bodies) EvictSlowest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget.EvictSlowest(now)
	if b == nil {
		return false
	}
	return s.abort([]*Body{b}, true)
}

// Usage returns the number of open bodies and the bytes that they take.
func (s *Bodies) Usage() (open int, held int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.open, s.budget.held
}

// abort aborts evicted bodies and returns ok. The caller holds s.mu, so that a body is not closed before it is aborted.
func (s *Bodies) abort(evicted []*Body, ok bool) bool {
	for _, b := range evicted {
		if b.Abort != nil {
			b.Abort()
		}
	}
	return ok
}
