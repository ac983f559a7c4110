package member

import (
	"sync"
	"time"
)

// Elapsed returns the time between two readings of the clock. It is the larger
// of the monotonic and the wall clock's difference, because the monotonic clock
// of some VMs stands still while the VM is paused.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// PauseWatch measures the pauses of this process between observations.
type PauseWatch struct {
	limit time.Duration

	mu   sync.Mutex
	last time.Time
}

// NewPauseWatch returns a watch that reports gaps longer than limit.
func NewPauseWatch(limit time.Duration) *PauseWatch { return &PauseWatch{limit: limit} }

// Observe returns the time since the last observation if it exceeds the limit, and zero otherwise.
func (p *PauseWatch) Observe(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last
	p.last = now
	if last.IsZero() {
		return 0
	}
	if gap := Elapsed(last, now); gap > p.limit {
		return gap
	}
	return 0
}
