package rack

import "time"

// timer is a callback that is due at a time.
type timer struct {
	dueAt    time.Time
	callback func()
}

// scheduleAt calls f in the first step at or after a time.
func (c *Controller) scheduleAt(at time.Time, f func()) { c.timers = append(c.timers, timer{at, f}) }

// runDueTimers calls the callbacks that are due, in the order in which they were scheduled.
func (c *Controller) runDueTimers() {
	if len(c.timers) == 0 {
		return
	}
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if c.now.Before(t.dueAt) {
			c.timers = append(c.timers, t)
			continue
		}
		t.callback()
	}
}
