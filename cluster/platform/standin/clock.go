package standin

import (
	"sync"
	"time"
)

// ManualClock is a clock that only moves when it is told to.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewManualClock returns a clock that shows start.
func NewManualClock(start time.Time) *ManualClock { return &ManualClock{now: start} }

// Now returns the time that the clock shows.
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
