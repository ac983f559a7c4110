package rollout

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

const (
	// largePushBytes is the size from which a push is not repeated while it may be
	// in transit.
	largePushBytes = 32 << 10
	// pushTransitTime is how long a large push counts as in transit. It is longer
	// than peer.IdleTimeout, within which a frame arrives or its connection closes.
	pushTransitTime = peer.IdleTimeout + time.Second
	// minTransitReplyInterval is the shortest time between two replies that rely on
	// a push in transit. A peer that lacks that push polls again at once, and would
	// otherwise do so after each reply.
	minTransitReplyInterval = pollInterval / 4
)

// pushTransit describes the changes that were sent to a peer in a large push, and
// in later pushes that continue it, and that the peer has not acknowledged. Messages
// to a peer arrive in order, so a later push can start after these changes.
type pushTransit struct {
	sinceVersion cluster.Version
	asOf         cluster.Version
	// sentAt is when the large push was sent. Pushes that continue it do not change
	// it, so that the changes are sent again in time if the large push was lost.
	sentAt time.Time
	// lastReplyAt is when a poll was last answered with a push that continues these changes.
	lastReplyAt time.Time
}

// inTransit returns the changes in transit to a peer that has the configuration as
// of the given commit, or nil if they are not or if the peer can't apply them.
func (p *propagation) inTransit(to cluster.DaemonID, asOf cluster.Version, now time.Time) *pushTransit {
	t := p.transits[to]
	if t == nil || asOf < t.sinceVersion || asOf >= t.asOf || member.Elapsed(t.sentAt, now) >= pushTransitTime {
		return nil
	}
	return t
}

// acknowledge records that a peer has the configuration as of the given commit.
func (p *propagation) acknowledge(from cluster.DaemonID, asOf cluster.Version) {
	p.ackedVersions[from] = asOf
	if t := p.transits[from]; t != nil && asOf >= t.asOf {
		delete(p.transits, from)
	}
}

// dropTransit records that a push was not sent.
func (p *propagation) dropTransit(to cluster.DaemonID, push *peer.ConfigPush) {
	t := p.transits[to]
	switch {
	case t == nil:
	case push.Since <= t.sinceVersion:
		delete(p.transits, to)
	default:
		t.asOf = min(t.asOf, push.Since)
	}
}

// mayReply reports whether a poll may be answered with a push that continues these
// changes, and records that it is.
func (t *pushTransit) mayReply(push *peer.ConfigPush, now time.Time) bool {
	if len(push.Rows) == 0 && !t.lastReplyAt.IsZero() && member.Elapsed(t.lastReplyAt, now) < minTransitReplyInterval {
		return false
	}
	t.lastReplyAt = now
	return true
}

// newPushTo returns a push for a peer that has the configuration as of sinceVersion,
// without the changes that are in transit to the peer if they are large. It returns
// nil if the changes do not fit into one frame.
func (r *Rollout) newPushTo(to cluster.DaemonID, sinceVersion cluster.Version, now time.Time) *peer.ConfigPush {
	push := r.newPush(sinceVersion, now)
	if push != nil && pushSize(push.Rows) < largePushBytes {
		return push
	}
	if t := r.propagation.inTransit(to, sinceVersion, now); t != nil {
		next := r.newPush(t.asOf, now)
		if next != nil && next.Since == t.asOf {
			t.asOf = next.AsOf
			return next
		}
	}
	if push != nil {
		r.propagation.transits[to] = &pushTransit{sinceVersion: push.Since, asOf: push.AsOf, sentAt: now}
	}
	return push
}
