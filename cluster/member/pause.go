package member

import (
	"sync"
	"time"
)

// Elapsed returns the time between two clock readings: the larger of the
// monotonic and the wall clock difference, because the monotonic clock of some
// VMs stops while the VM is paused.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// PauseDetector detects pauses of this process from the time between
// observations of the clock. Its methods are safe for concurrent use.
type PauseDetector struct {
	threshold time.Duration

	mu           sync.Mutex
	lastObserved time.Time
}

// NewPauseDetector returns a detector that reports gaps longer than threshold.
func NewPauseDetector(threshold time.Duration) *PauseDetector {
	return &PauseDetector{threshold: threshold}
}

// Observe returns the time since the previous observation if it exceeds the
// threshold, and zero otherwise.
func (p *PauseDetector) Observe(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.lastObserved
	p.lastObserved = now
	if previous.IsZero() {
		return 0
	}
	if gap := Elapsed(previous, now); gap > p.threshold {
		return gap
	}
	return 0
}
