package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// pushCounter counts the bytes of the rows that are pushed.
type pushCounter struct{ bytes int }

func (c *pushCounter) Send(_ cluster.DaemonID, m peer.Message) bool {
	if push, ok := m.(*peer.ConfigPush); ok {
		for _, row := range push.Rows {
			c.bytes += len(row.Value)
		}
	}
	return true
}

// Guards against a relay that sends the whole configuration for each poll of a member behind a slow link, which polls
// every second until the first reply has arrived.
func TestPollsDoNotMultiplyPushes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newLoadedRollout(func() time.Time { return now }, func(m string) { t.Error(m) })
	sent := &pushCounter{}
	r.cfg.Peers = sent
	const size = 512 << 10
	r.replica.rows[note.EntityPrefix+"route/a"] = platform.Row{Key: note.EntityPrefix + "route/a", Value: make([]byte, size), Version: 1}
	r.replica.asOf = 1
	r.freshness.loaded = true
	const polls = 5
	for i := range polls {
		r.HandlePeer("b", &peer.ConfigPoll{Sequence: uint64(i + 1)})
		now = now.Add(pollInterval)
	}
	t.Logf("%d polls, %.1f copies sent", polls, float64(sent.bytes)/size)
	is.True(sent.bytes >= size) // the first poll is answered
	is.True(sent.bytes <= 2*size)
}
