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

// Strategy selects how changes of the configuration reach the daemons.
type Strategy int

// Strategies. The ones other than RelayPerRegion exist for comparison in
// benchmarks.
const (
	// RelayPerRegion lets one daemon per region, the relay, read the store. The
	// other daemons of the region poll the relay.
	RelayPerRegion Strategy = iota
	// PollByAll lets every daemon read the store.
	PollByAll
	// PushByAcceptor lets the daemon that accepts a note push it to all others.
	// Every daemon also reads the store, at the longest interval that keeps
	// confirmations younger than ConfirmationTTL.
	PushByAcceptor
)

// Intervals and limits of the propagation.
const (
	// readInterval is the time between a relay's reads of the store.
	readInterval = time.Second
	// slowReadInterval is the time between reads with PushByAcceptor. Two reads
	// fit into ConfirmationTTL.
	slowReadInterval = 2 * time.Second
	// pollInterval is the time between polls of the relay.
	pollInterval = time.Second
	// relayTimeout is the time without a reply from the relay after which a daemon
	// reads the store itself.
	relayTimeout = 2 * time.Second
	// maxNormalConfirmationAge is the age of the confirmation after which a daemon
	// uses another source, even if the relay replies. In normal operation the age
	// reaches 2.2 s: a read interval, a poll interval and two ticks.
	maxNormalConfirmationAge = 3 * time.Second
	// readTimeout limits one read of the store.
	readTimeout = 2 * time.Second
	// readRetryMaxDelay is the longest delay between reads while reads fail.
	readRetryMaxDelay = 2 * time.Second
	// storeVisibleTTL is how long after a successful read the store counts as visible.
	storeVisibleTTL = time.Second
	// maxSentPolls is the number of polls whose send time is kept for dating replies.
	maxSentPolls = 8
	// maxPushRows and maxPushBytes limit one push. A peer that needs more gets no
	// push and reads the store.
	maxPushRows  = 1 << 15
	maxPushBytes = peer.MaxFrame * 3 / 4
)

// propagation is the state of reading the store and of exchanging the
// configuration with peers. It is guarded by Rollout.mu.
type propagation struct {
	readInFlight bool
	nextReadAt   time.Time
	retryDelay   time.Duration
	// lastReadAt is when the last successful read of the store completed.
	lastReadAt time.Time
	// readFailing means that the last read failed.
	readFailing bool
	// fullReadNeeded makes the next read fetch the full state, because the store
	// no longer knows which rows were deleted after the replica's commit.
	fullReadNeeded bool
	// readRequested makes the next tick read the store.
	readRequested bool

	nextPollAt time.Time
	// lastReplyAt is when the last reply to a poll arrived.
	lastReplyAt time.Time
	// nextCatchUpAt is the earliest time of the next poll by catchUpPoll.
	nextCatchUpAt time.Time
	// pollSequence is the sequence number of the last poll.
	pollSequence uint64
	// sentPolls holds the last polls at their sequence number modulo maxSentPolls.
	sentPolls [maxSentPolls]sentPoll
	// ackedVersions holds the commit up to which each peer reported to have the configuration.
	ackedVersions map[cluster.DaemonID]cluster.Version
	// transits holds the last large push to each peer that has not acknowledged it.
	transits map[cluster.DaemonID]*pushTransit
	// pushPending means that there are changes to push; pushSinceVersion is the
	// commit after which they start.
	pushPending      bool
	pushSinceVersion cluster.Version
	// acceptedLocally means that a note accepted by this daemon is to be pushed.
	acceptedLocally bool
}

// sentPoll is a poll whose reply can be dated.
type sentPoll struct {
	sequence uint64
	sentAt   time.Time
}

// newPropagation returns the state before the first read.
func newPropagation() propagation {
	return propagation{
		ackedVersions: map[cluster.DaemonID]cluster.Version{}, transits: map[cluster.DaemonID]*pushTransit{}, retryDelay: readInterval,
	}
}

// storeVisible reports whether the store was read within storeVisibleTTL.
func (p *propagation) storeVisible(now time.Time) bool {
	return !p.lastReadAt.IsZero() && member.Elapsed(p.lastReadAt, now) <= storeVisibleTTL
}

// markChanged schedules a push of the changes after asOf, unless a push of
// earlier changes is already scheduled.
func (p *propagation) markChanged(asOf cluster.Version) {
	if !p.pushPending {
		p.pushPending, p.pushSinceVersion = true, asOf
	}
}

// regionRelay returns the relay of this region: its live member with the lowest
// identifier, or this daemon if there is none.
func (r *Rollout) regionRelay() cluster.DaemonID {
	for _, m := range r.cfg.Members.Live() {
		if m.Place.Region == r.cfg.Place.Region {
			return m.ID
		}
	}
	return r.cfg.Self
}

// outgoingMessage is a message to be sent after mu is released.
type outgoingMessage struct {
	to      cluster.DaemonID
	message peer.Message
}

// sendAll sends messages. It is called without mu.
func (r *Rollout) sendAll(out []outgoingMessage) {
	for _, outgoing := range out {
		sent := r.cfg.Peers.Send(outgoing.to, outgoing.message)
		if push, ok := outgoing.message.(*peer.ConfigPush); ok && !sent {
			r.mu.Lock()
			r.propagation.dropTransit(outgoing.to, push)
			r.mu.Unlock()
		}
	}
}

// tick starts the reads, polls and pushes that are due and updates the decision.
func (r *Rollout) tick(ctx context.Context) {
	r.mu.Lock()
	now := r.cfg.Clock()
	relayID := r.regionRelay()
	var out []outgoingMessage
	if r.shouldReadStore(relayID, now) {
		r.startRead(ctx, now)
	}
	if relayID != r.cfg.Self && r.cfg.Strategy == RelayPerRegion && !now.Before(r.propagation.nextPollAt) {
		r.propagation.nextPollAt = now.Add(pollInterval)
		out = append(out, r.newPoll(relayID, now))
	}
	out = append(out, r.catchUpPoll(now)...)
	out = append(out, r.pendingPushes(relayID, now)...)
	changed := r.markOverdueNotes(now)
	r.publish(now, changed)
	r.mu.Unlock()
	r.sendAll(out)
	r.notifyListeners()
}

// shouldReadStore reports whether this daemon should read the store now: as a
// relay, on request, or because the relay does not provide recent confirmations.
func (r *Rollout) shouldReadStore(relayID cluster.DaemonID, now time.Time) bool {
	if r.propagation.readInFlight {
		return false
	}
	if r.propagation.readRequested {
		return true
	}
	if now.Before(r.propagation.nextReadAt) {
		return false
	}
	return relayID == r.cfg.Self || r.cfg.Strategy != RelayPerRegion ||
		member.Elapsed(r.propagation.lastReplyAt, now) > relayTimeout ||
		member.Elapsed(r.freshness.storeConfirmedAt, now) > maxNormalConfirmationAge
}

// storeReadInterval returns the time between reads of the store.
func (r *Rollout) storeReadInterval() time.Duration {
	if r.cfg.Strategy == PushByAcceptor {
		return slowReadInterval
	}
	return readInterval
}

// startRead starts a read of the store in a goroutine. It is called with mu held.
func (r *Rollout) startRead(ctx context.Context, now time.Time) {
	r.propagation.readInFlight, r.propagation.readRequested = true, false
	sinceVersion := r.replica.asOf
	if r.propagation.fullReadNeeded {
		sinceVersion = 0
	}
	r.storeReads.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		reply, err := r.cfg.Store.Read(readCtx, platform.ReadRequest{
			Keys: []string{note.HeadKey}, Prefixes: []string{note.EntityPrefix, member.Prefix}, SinceVersion: sinceVersion,
		})
		cancel()
		r.finishRead(view{sinceVersion: sinceVersion, asOf: reply.AsOf, rows: reply.Rows}, now, err)
	})
}

// finishRead applies the result of a read that was sent at sentAt.
func (r *Rollout) finishRead(v view, sentAt time.Time, err error) {
	r.mu.Lock()
	now := r.cfg.Clock()
	r.propagation.readInFlight = false
	r.cfg.Metrics.Counter("config_reads").Inc(1)
	r.propagation.fullReadNeeded = isRejection(err)
	if err != nil {
		// The delay grows exponentially with jitter, so that the daemons do not all
		// read the store at once when it recovers.
		r.propagation.retryDelay = min(2*r.propagation.retryDelay, readRetryMaxDelay)
		r.propagation.nextReadAt = now.Add(time.Duration(float64(r.propagation.retryDelay) * (0.5 + r.cfg.Random()/2)))
		if !r.propagation.readFailing {
			r.cfg.Log.Warn().Err(err).Msg("rollout: the table service can't be read; retrying")
		}
		r.propagation.readFailing = true
		r.publish(now, false)
		r.mu.Unlock()
		return
	}
	r.propagation.readFailing = false
	r.propagation.retryDelay = r.storeReadInterval()
	r.propagation.lastReadAt = now
	r.propagation.nextReadAt = sentAt.Add(r.storeReadInterval())
	r.applyView(v, sentAt, now)
	r.mu.Unlock()
	r.notifyListeners()
	r.wakeUp()
}

// isRejection reports whether the store replied that it can't serve the changes
// since the replica's commit, as opposed to a call that failed or was throttled.
func isRejection(err error) bool {
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

// wakeUp triggers the next tick of Run without waiting for the ticker.
func (r *Rollout) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newPoll returns a poll that asks a peer for changes, and records its time: the
// reply confirms the configuration as of that time.
func (r *Rollout) newPoll(to cluster.DaemonID, now time.Time) outgoingMessage {
	r.propagation.pollSequence++
	r.propagation.sentPolls[r.propagation.pollSequence%maxSentPolls] = sentPoll{r.propagation.pollSequence, now}
	return outgoingMessage{to, &peer.ConfigPoll{Sequence: r.propagation.pollSequence, Since: r.replica.asOf}}
}

// catchUpPoll returns a poll of a member that holds a newer note, or that can
// reach the store while the confirmation of this daemon is old. It prefers
// members with a newer note and, among these, members of this region.
func (r *Rollout) catchUpPoll(now time.Time) []outgoingMessage {
	if now.Before(r.propagation.nextCatchUpAt) {
		return nil
	}
	confirmationOld := member.Elapsed(r.freshness.storeConfirmedAt, now) > maxNormalConfirmationAge
	best, rank := cluster.DaemonID(""), 0
	for _, id := range r.freshness.others() {
		p := r.freshness.peers[id]
		if p.leaving || !r.cfg.Members.Alive(id) {
			continue
		}
		m, _ := r.cfg.Members.Get(id)
		sameRegion := m.Place.Region == r.cfg.Place.Region
		switch {
		case p.lastDigest.version > r.replica.head && sameRegion && rank < 4:
			best, rank = id, 4
		case p.lastDigest.version > r.replica.head && rank < 3:
			best, rank = id, 3
		case confirmationOld && p.lastDigest.storeVisible && sameRegion && rank < 2:
			best, rank = id, 2
		case confirmationOld && p.lastDigest.storeVisible && rank < 1:
			best, rank = id, 1
		}
	}
	if rank == 0 {
		return nil
	}
	r.propagation.nextCatchUpAt = now.Add(pollInterval)
	return []outgoingMessage{r.newPoll(best, now)}
}

// pendingPushes returns the pushes that are due after the replica changed.
func (r *Rollout) pendingPushes(relayID cluster.DaemonID, now time.Time) []outgoingMessage {
	if !r.propagation.pushPending {
		return nil
	}
	r.propagation.pushPending = false
	targets := r.pushTargets(relayID)
	r.propagation.acceptedLocally = false
	var out []outgoingMessage
	for _, id := range targets {
		sinceVersion, known := r.propagation.ackedVersions[id]
		if !known {
			sinceVersion = r.propagation.pushSinceVersion
		}
		if sinceVersion < r.replica.asOf {
			if push := r.newPushTo(id, sinceVersion, now); push != nil {
				out = append(out, outgoingMessage{id, push})
			}
		}
	}
	return out
}

// pushTargets returns the members to push to. A relay pushes to the members of
// its region. The daemon that accepted a note pushes to the relays, which would
// otherwise read the note up to a second later.
func (r *Rollout) pushTargets(relayID cluster.DaemonID) []cluster.DaemonID {
	var targets []cluster.DaemonID
	relays := map[cluster.Region]bool{}
	for _, m := range r.cfg.Members.Live() {
		isRelay := !relays[m.Place.Region]
		relays[m.Place.Region] = true
		if m.ID == r.cfg.Self {
			continue
		}
		inOwnRegion := relayID == r.cfg.Self && m.Place.Region == r.cfg.Place.Region
		switch {
		case r.cfg.Strategy == RelayPerRegion && (inOwnRegion || r.propagation.acceptedLocally && isRelay):
			targets = append(targets, m.ID)
		case r.cfg.Strategy == PushByAcceptor && r.propagation.acceptedLocally:
			targets = append(targets, m.ID)
		}
	}
	return targets
}

// newPush returns a push with the changes after sinceVersion, or nil if they do
// not fit into one frame.
func (r *Rollout) newPush(sinceVersion cluster.Version, now time.Time) *peer.ConfigPush {
	v := r.replica.changesSince(sinceVersion)
	if len(v.rows) > maxPushRows || pushSize(v.rows) > maxPushBytes {
		r.cfg.Metrics.Counter("config_push_too_large").Inc(1)
		return nil
	}
	return &peer.ConfigPush{Since: v.sinceVersion, AsOf: v.asOf, Age: max(0, member.Elapsed(r.freshness.storeConfirmedAt, now)), Rows: v.rows}
}

// pushSize returns the approximate size of a push in bytes.
func pushSize(rows []platform.Row) int {
	size := 0
	for _, row := range rows {
		// 16 bytes allow for the version and the encoding of a row.
		size += len(row.Key) + len(row.Value) + 16
	}
	return size
}
