package cell

import (
	"context"
	"sync"
	"time"
)

const (
	// lateTimerTolerance is how late a timer may fire while the process has enough processor time.
	lateTimerTolerance = 100 * time.Millisecond
	// lateTimerExtension is how long a timeout is extended each time its timer fires late, maxTimerExtensions how often.
	lateTimerExtension = 200 * time.Millisecond
	maxTimerExtensions = 3
)

// replyTimer limits the wait for a reply. Go runs the timers that are due before it reads from the network, so after a
// time without a processor the timeout would come before a reply that has already arrived. A timeout whose timer fires
// late is therefore extended.
type replyTimer struct {
	expired func()

	mu         sync.Mutex
	timer      *time.Timer
	due        time.Time
	extensions int
	// over is true once the timer was stopped or has expired.
	over bool
}

// startReplyTimer calls expired after d, unless the timer is stopped before.
func startReplyTimer(d time.Duration, expired func()) *replyTimer {
	t := &replyTimer{expired: expired, due: time.Now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

func (t *replyTimer) fire() {
	if t.expire() {
		t.expired()
	}
}

// expire reports whether the timeout has passed, and extends it if the timer has fired late.
func (t *replyTimer) expire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return false
	}
	if time.Since(t.due) > lateTimerTolerance && t.extensions < maxTimerExtensions {
		t.extensions++
		t.due = time.Now().Add(lateTimerExtension)
		t.timer.Reset(lateTimerExtension)
		return false
	}
	t.over = true
	return true
}

// stop stops the timer. It returns false if the timer has expired or was stopped before.
func (t *replyTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped := !t.over
	t.over = true
	t.timer.Stop()
	return stopped
}

// withReplyTimeout returns a context that is cancelled when a reply has not arrived after d; see replyTimer.
func withReplyTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	t := startReplyTimer(d, cancel)
	return ctx, func() {
		t.stop()
		cancel()
	}
}
