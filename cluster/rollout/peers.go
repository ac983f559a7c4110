package rollout

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// HandlePeer handles a message from a peer: Hello, Ping, ConfigPush, ConfigPoll,
// ConfigAck or Leaving. It ignores other messages.
func (r *Rollout) HandlePeer(from cluster.DaemonID, m peer.Message) {
	r.mu.Lock()
	now := r.cfg.Clock()
	var out []outgoingMessage
	switch v := m.(type) {
	case *peer.Hello:
		// What was sent on the previous connection may be lost.
		delete(r.propagation.transits, from)
		r.cfg.Members.AddReported(member.Member{ID: v.From, Place: v.Place, PeerAddr: v.PeerAddr, HTTPAddr: v.HTTPAddr})
		r.freshness.apply(&peerReported{id: v.From, at: now})
		r.publish(now, false)
	case *peer.Ping:
		r.applyDigest(from, &v.Digest, v.AsOf, now)
	case *peer.Leaving:
		r.applyLeaving(from, &v.Digest, now)
	case *peer.ConfigPoll:
		out = r.handlePoll(from, v, now)
	case *peer.ConfigAck:
		r.propagation.acknowledge(from, v.AsOf)
	case *peer.ConfigPush:
		out = r.applyPush(from, v, now)
	}
	r.mu.Unlock()
	r.sendAll(out)
	r.notifyListeners()
}

// applyDigest applies the digest of a ping.
func (r *Rollout) applyDigest(from cluster.DaemonID, d *peer.Digest, asOf, now time.Time) {
	r.addReportedMembers(from, d)
	r.freshness.apply(newPeerDigest(from, d, asOf, now))
	r.publish(now, false)
}

// newPeerDigest returns the freshness event for a digest received at now.
func newPeerDigest(from cluster.DaemonID, d *peer.Digest, asOf, now time.Time) *peerDigest {
	return &peerDigest{
		from: from, asOf: asOf, receivedAt: now, version: d.ConfigVersion, hasUnconfirmedNote: d.UnconfirmedNote,
		storeVisible: d.StoreVisible, members: d.Members,
	}
}

// addReportedMembers adds the sender of a digest and the members listed in it
// to the member table, unless they are known.
func (r *Rollout) addReportedMembers(from cluster.DaemonID, d *peer.Digest) {
	for _, id := range append([]cluster.DaemonID{from}, d.Members...) {
		if id != r.cfg.Self && !r.freshness.isKnown(id) {
			r.cfg.Members.AddReported(member.Member{ID: id})
		}
	}
}

// applyLeaving handles the announcement of a member that it leaves. If its
// digest lists no members, the digest was not filled in and does not show which
// notes the member accepted, so it is ignored.
func (r *Rollout) applyLeaving(from cluster.DaemonID, d *peer.Digest, now time.Time) {
	r.cfg.Members.MarkLeaving(from)
	delete(r.propagation.ackedVersions, from)
	delete(r.propagation.transits, from)
	if len(d.Members) > 0 {
		r.freshness.apply(&peerLeaving{digest: *newPeerDigest(from, d, now, now)})
	}
	r.publish(now, false)
}

// handlePoll returns the reply to a poll. It replies only if this daemon has a
// configuration that the store has confirmed. While a large push is in transit to
// the peer, the reply continues that push and confirms the configuration.
func (r *Rollout) handlePoll(from cluster.DaemonID, poll *peer.ConfigPoll, now time.Time) []outgoingMessage {
	if !r.freshness.loaded || r.freshness.storeConfirmedAt.IsZero() {
		return nil
	}
	r.propagation.acknowledge(from, poll.Since)
	push := r.newPushTo(from, min(poll.Since, r.replica.asOf), now)
	if push == nil {
		return nil
	}
	if t := r.propagation.transits[from]; t != nil && push.Since > poll.Since && !t.mayReply(push, now) {
		r.propagation.dropTransit(from, push)
		return nil
	}
	push.PollSequence = poll.Sequence
	return []outgoingMessage{{from, push}}
}

// applyPush applies pushed rows. Only the reply to a poll also confirms the
// configuration, because the transit time of an unsolicited push is unknown.
// If rows are missing between the replica and the push, it polls the sender.
func (r *Rollout) applyPush(from cluster.DaemonID, push *peer.ConfigPush, now time.Time) []outgoingMessage {
	var confirmedAt time.Time
	if poll := r.propagation.sentPolls[push.PollSequence%maxSentPolls]; push.PollSequence != 0 && poll.sequence == push.PollSequence {
		confirmedAt = poll.sentAt.Add(-push.Age)
		r.propagation.lastReplyAt = now
	}
	previous := r.replica.asOf
	if !r.applyView(view{sinceVersion: push.Since, asOf: push.AsOf, rows: push.Rows}, confirmedAt, now) {
		return []outgoingMessage{r.newPoll(from, now)}
	}
	if push.PollSequence != 0 || r.replica.asOf == previous {
		return nil
	}
	return []outgoingMessage{{from, &peer.ConfigAck{AsOf: r.replica.asOf, Head: r.replica.head}}}
}
