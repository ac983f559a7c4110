package rollout

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// HandlePeer takes a message of a peer: Hello, Ping, ConfigPush, ConfigPoll,
// ConfigAck and Leaving; it ignores others.
func (r *Rollout) HandlePeer(from cluster.DaemonID, m peer.Message) {
	r.mu.Lock()
	now := r.cfg.Clock()
	var out []send
	switch v := m.(type) {
	case *peer.Hello:
		r.cfg.Members.Heard(member.Member{ID: v.From, Place: v.Place, PeerAddr: v.PeerAddr, HTTPAddr: v.HTTPAddr})
		r.fresh.apply(&peerNamed{id: v.From, at: now})
		r.publish(now, false)
	case *peer.Ping:
		r.takeDigest(from, &v.Digest, v.AsOf, now)
	case *peer.Leaving:
		r.takeLeaving(from, &v.Digest, now)
	case *peer.ConfigPoll:
		out = r.answerPoll(from, v, now)
	case *peer.ConfigAck:
		r.relay.progress[from] = v.AsOf
	case *peer.ConfigPush:
		out = r.takePush(from, v, now)
	}
	r.mu.Unlock()
	r.sendAll(out)
	r.notify()
}

func (r *Rollout) takeDigest(from cluster.DaemonID, d *peer.Digest, asOf, now time.Time) {
	r.hearOf(from, d)
	r.fresh.apply(digestEvent(from, d, asOf, now))
	r.publish(now, false)
}

func digestEvent(from cluster.DaemonID, d *peer.Digest, asOf, now time.Time) *peerDigest {
	return &peerDigest{
		from: from, asOf: asOf, at: now, version: d.ConfigVersion, doubtful: d.DoubtfulNote,
		storeVisible: d.StoreVisible, members: d.Members,
	}
}

func (r *Rollout) hearOf(from cluster.DaemonID, d *peer.Digest) {
	for _, id := range append([]cluster.DaemonID{from}, d.Members...) {
		if id != r.cfg.Self && !r.fresh.known(id) {
			r.cfg.Members.Heard(member.Member{ID: id})
		}
	}
}

// takeLeaving notes a member's last word. A digest without members is not
// filled in and says nothing about the notes that the member accepted.
func (r *Rollout) takeLeaving(from cluster.DaemonID, d *peer.Digest, now time.Time) {
	r.cfg.Members.Leave(from)
	delete(r.relay.progress, from)
	if len(d.Members) > 0 {
		r.fresh.apply(&peerLeft{last: *digestEvent(from, d, now, now)})
	}
	r.publish(now, false)
}

func (r *Rollout) answerPoll(from cluster.DaemonID, poll *peer.ConfigPoll, now time.Time) []send {
	if !r.fresh.loaded || r.fresh.confirmed.IsZero() {
		return nil
	}
	r.relay.progress[from] = poll.Since
	push := r.pushSince(min(poll.Since, r.replica.asOf), now)
	if push == nil {
		return nil
	}
	push.Answer = poll.Sequence
	return []send{{from, push}}
}

// takePush takes over pushed rows. Only the answer to a poll also confirms the
// configuration: the time that an unsolicited push was under way is not known.
func (r *Rollout) takePush(from cluster.DaemonID, push *peer.ConfigPush, now time.Time) []send {
	var at time.Time
	if sent := r.relay.polls[push.Answer%rememberedPolls]; push.Answer != 0 && sent.sequence == push.Answer {
		at = sent.at.Add(-push.Age)
		r.relay.lastAnswer = now
	}
	before := r.replica.asOf
	if !r.takeView(view{since: push.Since, asOf: push.AsOf, rows: push.Rows}, at, now) {
		return []send{r.poll(from, now)}
	}
	if push.Answer != 0 || r.replica.asOf == before {
		return nil
	}
	return []send{{from, &peer.ConfigAck{AsOf: r.replica.asOf, Head: r.replica.head}}}
}
