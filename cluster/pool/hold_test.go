package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Guards against an owner that calls all workers of a large shard at once after a takeover: the replies arrive
// late and the workers are treated as unresponsive.
func TestInitialHoldCallsAreBounded(t *testing.T) {
	is := is.New(t)
	const workers = 3 * maxInitialHolds
	now := time.Unix(1_800_000_000, 0)
	s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
	list := &WorkersListed{Advisors: 1}
	for i := range workers {
		list.Workers = append(list.Workers, platform.WorkerVM{ID: cluster.WorkerID(fmt.Sprintf("w%d", i)), Service: testService, Incarnation: 1})
	}
	events := []Event{list}
	answered := map[cluster.WorkerID]bool{}
	for len(answered) < workers {
		var replies []Event
		calls := 0
		for _, e := range s.Step(now, events) {
			if h, ok := e.(*SendHold); ok {
				calls++
				answered[h.Worker.ID] = true
				replies = append(replies, &HoldAnswered{Worker: h.Worker.ID, Fence: h.Request.Fence, Incarnation: 1, SentAt: now, ReceivedAt: now})
			}
		}
		is.True(calls > 0 && calls <= maxInitialHolds)
		events = replies
		now = now.Add(10 * time.Millisecond)
	}
}
