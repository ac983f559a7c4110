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

// pushLog keeps the pushes that are sent; it drops them while drop is set.
type pushLog struct {
	pushes []*peer.ConfigPush
	drop   bool
}

func (l *pushLog) Send(_ cluster.DaemonID, m peer.Message) bool {
	if push, ok := m.(*peer.ConfigPush); ok && !l.drop {
		l.pushes = append(l.pushes, push)
	}
	return !l.drop
}

// take returns the pushes sent since the last call.
func (l *pushLog) take() []*peer.ConfigPush {
	pushes := l.pushes
	l.pushes = nil
	return pushes
}

// transitRelay is a relay with a large configuration and a peer "b" that polls it.
type transitRelay struct {
	*Rollout
	now      time.Time
	sent     *pushLog
	sequence uint64
}

func newTransitRelay(t *testing.T) *transitRelay {
	relay := &transitRelay{now: time.Now(), sent: &pushLog{}}
	relay.Rollout = newLoadedRollout(func() time.Time { return relay.now }, func(m string) { t.Error(m) })
	relay.cfg.Peers = relay.sent
	relay.addRow("route/a", 5, 512<<10)
	return relay
}

// addRow changes the configuration of the relay.
func (r *transitRelay) addRow(name string, version cluster.Version, size int) {
	key := note.EntityPrefix + name
	r.replica.rows[key] = platform.Row{Key: key, Value: make([]byte, size), Version: version}
	r.replica.asOf = version
}

// poll handles a poll of a peer that has the configuration as of a commit, and
// returns the replies.
func (r *transitRelay) poll(since cluster.Version) []*peer.ConfigPush {
	r.sequence++
	r.HandlePeer("b", &peer.ConfigPoll{Sequence: r.sequence, Since: since})
	return r.sent.take()
}

// Guards against a member behind a slow link that honours no keys, because its polls
// are not answered while the first reply is in transit, or that never gets a reply
// that was lost.
func TestPollsAreConfirmedWhilePushIsInTransit(t *testing.T) {
	is := is.New(t)
	relay := newTransitRelay(t)
	member := newLoadedRollout(func() time.Time { return relay.now }, func(m string) { t.Error(m) })
	member.replica.asOf = 0
	polled := member.newPoll("a", relay.now).message.(*peer.ConfigPoll)
	is.Equal(polled.Sequence, uint64(1))
	first := relay.poll(0)
	is.Equal(len(first), 1)
	is.Equal(len(first[0].Rows), 1)
	relay.now = relay.now.Add(pollInterval)
	secondPollAt := relay.now
	member.newPoll("a", relay.now)
	second := relay.poll(0)
	is.Equal(len(second), 1)
	is.Equal(len(second[0].Rows), 0)
	is.Equal(len(relay.poll(0)), 0) // a peer that lacks the push would poll after each reply
	relay.now = relay.now.Add(pollInterval / 2)
	member.HandlePeer("a", first[0])
	member.HandlePeer("a", second[0])
	is.Equal(member.Status().AsOf, cluster.Version(5))
	is.Equal(member.Status().ConfirmedAt, secondPollAt.Add(-second[0].Age))
	relay.now = relay.now.Add(pushTransitTime)
	is.Equal(len(relay.poll(0)[0].Rows), 1) // not acknowledged in time
}

// Guards against a change that waits for the acknowledgement of an earlier large push.
func TestNewerChangesAreSentWhilePushIsInTransit(t *testing.T) {
	is := is.New(t)
	relay := newTransitRelay(t)
	is.Equal(relay.poll(0)[0].AsOf, cluster.Version(5))
	relay.addRow("route/b", 6, 100)
	next := relay.newPushTo("b", 0, relay.now)
	is.Equal(next.Since, cluster.Version(5))
	is.Equal(next.AsOf, cluster.Version(6))
	is.Equal(len(next.Rows), 1)
	relay.addRow("route/c", 7, 100)
	replies := relay.poll(0)
	is.Equal(replies[0].Since, cluster.Version(6))
	is.Equal(len(replies[0].Rows), 1)
	relay.replica.asOf = 8
	is.Equal(len(relay.poll(0)), 0)
	relay.addRow("route/d", 9, 100)
	is.Equal(relay.poll(0)[0].Since, cluster.Version(7)) // commit 8 was not sent
	// A member with all but the small changes gets these again at once.
	is.Equal(len(relay.poll(5)[0].Rows), 3)
}

// Guards against a large push that is held back although its predecessor was lost
// with its connection, was dropped, can't be applied, or has been acknowledged.
func TestLostPushIsSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	relay := newTransitRelay(t)
	is.Equal(len(relay.poll(0)[0].Rows), 1)
	relay.HandlePeer("b", &peer.Hello{From: "b"})
	is.Equal(len(relay.poll(0)[0].Rows), 1) // new connection

	relay.HandlePeer("b", &peer.ConfigAck{AsOf: 5})
	relay.sent.drop = true
	relay.poll(0)
	relay.sent.drop = false
	is.Equal(len(relay.poll(0)[0].Rows), 1) // dropped

	relay.HandlePeer("b", &peer.ConfigAck{AsOf: 5})
	is.Equal(len(relay.propagation.transits), 0)
	relay.addRow("route/b", 6, 512<<10/3)
	is.Equal(relay.poll(5)[0].Since, cluster.Version(5))
	is.Equal(len(relay.poll(4)[0].Rows), 2) // the push in transit starts after commit 5
}

// Guards against a member behind a slow link that gets a copy of a large configuration
// for each of its polls, and whose confirmations are late because they wait behind the copies.
func TestMemberBehindSlowLinkStaysFresh(t *testing.T) {
	is := is.New(t)
	const transferTime = 1800 * time.Millisecond // of one copy; peer.IdleTimeout allows no more than 2 s
	relay := newTransitRelay(t)
	member := newLoadedRollout(func() time.Time { return relay.now }, func(m string) { t.Error(m) })
	member.replica.asOf = 0
	type delivery struct {
		push *peer.ConfigPush
		at   time.Time
	}
	var link []delivery
	linkFreeAt, start := relay.now, relay.now
	bytes, loadedAfter, maxAge := 0, time.Duration(0), time.Duration(0)
	for ; relay.now.Sub(start) < 10*time.Second; relay.now = relay.now.Add(tickInterval) {
		for len(link) > 0 && !link[0].at.After(relay.now) {
			for _, reply := range member.applyPush("a", link[0].push, relay.now) {
				relay.HandlePeer("b", reply.message)
			}
			link = link[1:]
		}
		if relay.now.Sub(start)%pollInterval == 0 {
			relay.freshness.apply(&storeConfirmed{at: relay.now})
			relay.HandlePeer("b", member.newPoll("a", relay.now).message)
		}
		for _, push := range relay.sent.take() {
			size := pushSize(push.Rows)
			bytes += size
			if relay.now.After(linkFreeAt) {
				linkFreeAt = relay.now
			}
			linkFreeAt = linkFreeAt.Add(transferTime * time.Duration(size) / (512 << 10))
			link = append(link, delivery{push, linkFreeAt})
		}
		if member.replica.asOf == 5 && loadedAfter == 0 {
			loadedAfter = relay.now.Sub(start)
		}
		maxAge = max(maxAge, relay.now.Sub(member.Status().ConfirmedAt))
	}
	t.Logf("%.1f copies sent, loaded after %s, oldest confirmation %s", float64(bytes)/(512<<10), loadedAfter, maxAge)
	is.True(loadedAfter > 0)
	is.True(bytes < 2*512<<10)
	is.True(maxAge <= maxNormalConfirmationAge)
}
