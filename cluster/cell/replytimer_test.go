package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// delay makes the timer see that it fires late by d.
func (t *replyTimer) delay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = t.due.Add(-d)
}

// Guards against a reply that counts as missing although it has arrived, because the process lacked processor time and
// its timer was run first.
func TestLateTimerLeavesTimeToReadReply(t *testing.T) {
	for _, c := range []struct {
		name   string
		delay  time.Duration
		inTime bool
	}{
		{name: "on time", delay: 0},
		{name: "late", delay: time.Second, inTime: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				expired := false
				timer := startReplyTimer(startTimeout, func() { expired = true })
				timer.delay(c.delay)
				time.Sleep(startTimeout + lateTimerExtension/2)
				synctest.Wait()
				is.Equal(expired, !c.inTime)
				is.Equal(timer.stop(), c.inTime) // the reply counts
			})
		})
	}
}

// Guards against a request that never ends because its timer fires late again and again.
func TestLateTimerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		expired := false
		timer := startReplyTimer(startTimeout, func() { expired = true })
		wait := startTimeout
		for range maxTimerExtensions + 1 {
			is.True(!expired)
			timer.delay(time.Second)
			time.Sleep(wait)
			synctest.Wait()
			wait = lateTimerExtension
		}
		is.True(expired)
		is.True(!timer.stop())
	})
}
