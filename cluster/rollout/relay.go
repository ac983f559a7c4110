package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Strategy says how the configuration spreads between the daemons.
type Strategy int

// Strategies. All but RelayPerRegion exist to be compared with it.
const (
	// RelayPerRegion has one daemon per region read the store and the others poll it.
	RelayPerRegion Strategy = iota
	// PollByAll has every daemon read the store.
	PollByAll
	// PushByAcceptor has the daemon that accepts a note push it to all; every
	// daemon reads the store too, at the slowest interval that keeps Bound.
	PushByAcceptor
)

// Times of the propagation.
const (
	// readInterval is the time between a relay's reads of the store.
	readInterval = time.Second
	// slowReadInterval is the time between reads of PushByAcceptor. Two reads fit into Bound.
	slowReadInterval = 2 * time.Second
	// pollInterval is the time between polls of the relay.
	pollInterval = time.Second
	// relaySilence is the time without an answer of the relay after which a daemon reads the store itself.
	relaySilence = 2 * time.Second
	// confirmedLately is the age of the confirmation after which a daemon looks
	// for another source, even if the relay answers. In normal operation the age
	// reaches 2.2 s: a read interval, a poll interval and two ticks.
	confirmedLately = 3 * time.Second
	// readTimeout bounds one read of the store.
	readTimeout = 2 * time.Second
	// readRetryMax is the longest delay between reads while the store fails.
	readRetryMax = 2 * time.Second
	// visibleFor is how long a successful read counts as visibility of the store.
	visibleFor = time.Second
	// rememberedPolls is the number of polls whose time is kept until they are answered.
	rememberedPolls = 8
	// maxPushRows and maxPushBytes bound one push; a peer that needs more reads the store.
	maxPushRows  = 1 << 15
	maxPushBytes = peer.MaxFrame * 3 / 4
)

// relay is the state of the propagation.
type relay struct {
	reading  bool
	nextRead time.Time
	delay    time.Duration
	// lastRead is when the last successful read of the store was answered.
	lastRead time.Time
	failing  bool
	// readWhole asks for the whole state, because the store no longer knows what
	// was deleted after the replica's commit.
	readWhole bool
	// readNow asks for a read of the store at the next tick.
	readNow bool

	nextPoll time.Time
	// lastAnswer is when a poll was last answered.
	lastAnswer time.Time
	// catchUp is when a peer that holds more may be polled next.
	catchUp  time.Time
	sequence uint64
	polls    [rememberedPolls]pollSent
	// progress holds up to which commit each peer said that it has the configuration.
	progress map[cluster.DaemonID]cluster.Version
	// pushAfter is the commit after which changes are to be pushed; push says whether there are any.
	push      bool
	pushAfter cluster.Version
	// acceptedHere says that a note accepted by this daemon is to be pushed.
	acceptedHere bool
}

type pollSent struct {
	sequence uint64
	at       time.Time
}

func newRelay() relay {
	return relay{progress: map[cluster.DaemonID]cluster.Version{}, delay: readInterval}
}

func (p *relay) storeVisible(now time.Time) bool {
	return !p.lastRead.IsZero() && member.Elapsed(p.lastRead, now) <= visibleFor
}

func (p *relay) changedAfter(asOf cluster.Version) {
	if !p.push {
		p.push, p.pushAfter = true, asOf
	}
}

// relayOf returns the live member of this region with the lowest identifier.
func (r *Rollout) relayOf() cluster.DaemonID {
	for _, m := range r.cfg.Members.Live() {
		if m.Place.Region == r.cfg.Place.Region {
			return m.ID
		}
	}
	return r.cfg.Self
}

// send is a message to be sent once mu is free.
type send struct {
	to cluster.DaemonID
	m  peer.Message
}

func (r *Rollout) sendAll(out []send) {
	for _, s := range out {
		r.cfg.Peers.Send(s.to, s.m)
	}
}

// tick does what is due.
func (r *Rollout) tick(ctx context.Context) {
	r.mu.Lock()
	now := r.cfg.Clock()
	relayID := r.relayOf()
	var out []send
	if r.readsStore(relayID, now) {
		r.startRead(ctx, now)
	}
	if relayID != r.cfg.Self && r.cfg.Strategy == RelayPerRegion && !now.Before(r.relay.nextPoll) {
		r.relay.nextPoll = now.Add(pollInterval)
		out = append(out, r.poll(relayID, now))
	}
	out = append(out, r.pollAhead(now)...)
	out = append(out, r.pushes(relayID, now)...)
	changed := r.ageDoubts(now)
	r.publish(now, changed)
	r.mu.Unlock()
	r.sendAll(out)
	r.notify()
}

// readsStore reports whether this daemon is to read the store itself.
func (r *Rollout) readsStore(relayID cluster.DaemonID, now time.Time) bool {
	if r.relay.reading {
		return false
	}
	if r.relay.readNow {
		return true
	}
	if now.Before(r.relay.nextRead) {
		return false
	}
	return relayID == r.cfg.Self || r.cfg.Strategy != RelayPerRegion ||
		member.Elapsed(r.relay.lastAnswer, now) > relaySilence ||
		member.Elapsed(r.fresh.confirmed, now) > confirmedLately
}

func (r *Rollout) interval() time.Duration {
	if r.cfg.Strategy == PushByAcceptor {
		return slowReadInterval
	}
	return readInterval
}

// startRead reads the store on another goroutine.
func (r *Rollout) startRead(ctx context.Context, now time.Time) {
	r.relay.reading, r.relay.readNow = true, false
	since := r.replica.asOf
	if r.relay.readWhole {
		since = 0
	}
	r.work.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		reply, err := r.cfg.Store.Read(readCtx, platform.ReadRequest{
			Keys: []string{note.HeadKey}, Prefixes: []string{note.EntityPrefix, member.Prefix}, SinceVersion: since,
		})
		cancel()
		r.finishRead(view{since: since, asOf: reply.AsOf, rows: reply.Rows}, now, err)
	})
}

// finishRead takes over a read that was sent at sent.
func (r *Rollout) finishRead(v view, sent time.Time, err error) {
	r.mu.Lock()
	now := r.cfg.Clock()
	r.relay.reading = false
	r.cfg.Metrics.Counter("config_reads").Inc(1)
	r.relay.readWhole = rejected(err)
	if err != nil {
		// The delay grows and is partly random, so that daemons do not all return to the store at once.
		r.relay.delay = min(2*r.relay.delay, readRetryMax)
		r.relay.nextRead = now.Add(time.Duration(float64(r.relay.delay) * (0.5 + r.cfg.Random()/2)))
		if !r.relay.failing {
			r.cfg.Log.Warn().Err(err).Msg("rollout: the table service can't be read")
		}
		r.relay.failing = true
		r.publish(now, false)
		r.mu.Unlock()
		return
	}
	r.relay.failing = false
	r.relay.delay = r.interval()
	r.relay.lastRead = now
	r.relay.nextRead = sent.Add(r.interval())
	r.takeView(v, sent, now)
	r.mu.Unlock()
	r.notify()
	r.wakeUp()
}

// rejected reports whether the store answered that it can't serve the changes
// since the replica's commit, rather than failed to answer.
func rejected(err error) bool {
	var e *platform.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Kind {
	case platform.KindUnavailable, platform.KindUnknown, platform.KindThrottled:
		return false
	}
	return true
}

func (r *Rollout) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// poll asks a peer for changes; the answer is dated by the time of the poll.
func (r *Rollout) poll(to cluster.DaemonID, now time.Time) send {
	r.relay.sequence++
	r.relay.polls[r.relay.sequence%rememberedPolls] = pollSent{r.relay.sequence, now}
	return send{to, &peer.ConfigPoll{Sequence: r.relay.sequence, Since: r.replica.asOf}}
}

// pollAhead polls a member that holds a newer note, or that can reach the store while this daemon can't.
func (r *Rollout) pollAhead(now time.Time) []send {
	if now.Before(r.relay.catchUp) {
		return nil
	}
	cutOff := member.Elapsed(r.fresh.confirmed, now) > confirmedLately
	best, rank := cluster.DaemonID(""), 0
	for _, id := range r.fresh.others() {
		p := r.fresh.peers[id]
		if p.left || !r.cfg.Members.Alive(id) {
			continue
		}
		m, _ := r.cfg.Members.Get(id)
		near := m.Place.Region == r.cfg.Place.Region
		switch {
		case p.last.version > r.replica.head && near && rank < 4:
			best, rank = id, 4
		case p.last.version > r.replica.head && rank < 3:
			best, rank = id, 3
		case cutOff && p.last.storeVisible && near && rank < 2:
			best, rank = id, 2
		case cutOff && p.last.storeVisible && rank < 1:
			best, rank = id, 1
		}
	}
	if rank == 0 {
		return nil
	}
	r.relay.catchUp = now.Add(pollInterval)
	return []send{r.poll(best, now)}
}

// pushes returns the changes to push after the replica changed.
func (r *Rollout) pushes(relayID cluster.DaemonID, now time.Time) []send {
	if !r.relay.push {
		return nil
	}
	r.relay.push = false
	targets := r.pushTargets(relayID)
	r.relay.acceptedHere = false
	var out []send
	for _, id := range targets {
		since, known := r.relay.progress[id]
		if !known {
			since = r.relay.pushAfter
		}
		if since < r.replica.asOf {
			if push := r.pushSince(since, now); push != nil {
				out = append(out, send{id, push})
			}
		}
	}
	return out
}

// pushTargets returns whom this daemon pushes to: as a relay the members of its
// region, and as the acceptor of a note the relays, which would otherwise find
// it up to a second later.
func (r *Rollout) pushTargets(relayID cluster.DaemonID) []cluster.DaemonID {
	var targets []cluster.DaemonID
	relays := map[cluster.Region]bool{}
	for _, m := range r.cfg.Members.Live() {
		first := !relays[m.Place.Region]
		relays[m.Place.Region] = true
		if m.ID == r.cfg.Self {
			continue
		}
		ofRegion := relayID == r.cfg.Self && m.Place.Region == r.cfg.Place.Region
		switch {
		case r.cfg.Strategy == RelayPerRegion && (ofRegion || r.relay.acceptedHere && first):
			targets = append(targets, m.ID)
		case r.cfg.Strategy == PushByAcceptor && r.relay.acceptedHere:
			targets = append(targets, m.ID)
		}
	}
	return targets
}

// pushSince returns what a peer with the state of since misses, or nil if it is too much for one frame.
func (r *Rollout) pushSince(since cluster.Version, now time.Time) *peer.ConfigPush {
	v := r.replica.changes(since)
	size := 0
	for _, row := range v.rows {
		size += len(row.Key) + len(row.Value) + 16
	}
	if len(v.rows) > maxPushRows || size > maxPushBytes {
		r.cfg.Metrics.Counter("config_push_too_large").Inc(1)
		return nil
	}
	return &peer.ConfigPush{Since: v.since, AsOf: v.asOf, Age: max(0, member.Elapsed(r.fresh.confirmed, now)), Rows: v.rows}
}
