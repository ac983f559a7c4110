package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Guards against capacity that stays in use for good because a run that has ended is tracked again: the reply that lists
// it as running was overtaken by the one that lists its end.
func TestRunInOvertakenReplyIsNotTracked(t *testing.T) {
	for _, outcome := range []platform.RunOutcome{platform.RunDone, platform.RunFailed} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 1)
			r, f := sim.submitSingleTask(time.Minute)
			older := &HoldAnswered{Worker: f.vm.ID, Fence: f.fence, SentAt: sim.now, ReceivedAt: sim.now, Extra: true, Reply: platform.HoldReply{
				Incarnation: f.vm.Incarnation, Clock: sim.clock(f), Running: []platform.TaskRun{{Task: r.id.String(), Run: r.number, Percent: 50}},
			}}
			sim.endRun(f, r.id.String(), outcome)
			newer := *older
			newer.Reply.Clock += time.Millisecond
			newer.Reply.Running, newer.Reply.Ended = nil, f.unacknowledgedEnds
			sim.events = append(sim.events, &newer, older)
			sim.tick()
			w := sim.owner.workers[f.vm.ID]
			is.True(w.runs[r.id] != r)
			var used cluster.Resources
			for _, other := range w.runs {
				is.True(other.number != r.number)
				used = used.Add(other.size)
			}
			is.Equal(w.used, used)
			is.Equal(sim.owner.team(testTeam).running, used)
		})
	}
}
