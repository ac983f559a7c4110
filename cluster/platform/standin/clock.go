package standin

import (
	"sync"
	"time"
)

// ManualClock is a clock for tests that changes only in calls of Advance.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewManualClock returns a clock set to start.
func NewManualClock(start time.Time) *ManualClock { return &ManualClock{now: start} }

// Now returns the current time of the clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward and returns the new time.
func (c *ManualClock) Advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}
