package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
)

// ConfirmationTTL is how long a confirmation of the configuration is valid. A
// withdrawn key must stop working everywhere within 7 s; the remaining 2 s allow
// for clock drift and for the time between the check and the use of a key.
const ConfirmationTTL = 5 * time.Second

// event is an input of the freshness state machine: a *viewApplied,
// *storeConfirmed, *peerReported, *peerDigest, *peerLeaving or *selfLeaving.
type event interface{ event() }

// viewApplied means that the configuration held now is the result of a
// consistent read of the store, in which the given members had a row.
type viewApplied struct {
	version cluster.Version
	members []cluster.DaemonID
}

// storeConfirmed means that the configuration held was not older than the store
// was at the given time.
type storeConfirmed struct{ at time.Time }

// peerReported means that a daemon introduced itself or was listed in a digest
// of a peer.
type peerReported struct {
	id cluster.DaemonID
	at time.Time
}

// peerDigest is the state of a peer as the peer reported it. The state was
// sampled at asOf, on the clock of this daemon, or later. If asOf is zero, the
// time is unknown.
type peerDigest struct {
	from               cluster.DaemonID
	asOf               time.Time
	receivedAt         time.Time
	version            cluster.Version
	hasUnconfirmedNote bool
	storeVisible       bool
	members            []cluster.DaemonID
}

// peerLeaving is the last digest of a peer that leaves and accepts no note after it.
type peerLeaving struct{ digest peerDigest }

// selfLeaving means that this daemon leaves and accepts no more notes.
type selfLeaving struct{}

func (*viewApplied) event()    {}
func (*storeConfirmed) event() {}
func (*peerReported) event()   {}
func (*peerDigest) event()     {}
func (*peerLeaving) event()    {}
func (*selfLeaving) event()    {}

// freshness decides whether keys may be honoured. It is a deterministic state
// machine without I/O or a clock: its only inputs are events and times.
//
// A configuration that the store confirmed at some time may be used for
// ConfirmationTTL after that time. Without the store it may be used while every
// member confirms that it holds no newer note, has no unconfirmed note and can't
// reach the store either. Every note is accepted by some member, so together
// these confirmations prove that no newer note had been accepted at the time of
// the oldest one. A member unknown here can't have accepted a note, because a
// new member needs the acknowledgement of every member that has a row, and
// members list the members that they acknowledged in their digests. A member is
// dropped only when its row is deleted from the store: the deletion is read
// together with all notes accepted before it.
type freshness struct {
	self cluster.DaemonID
	// loaded means that a view has been applied.
	loaded bool
	// version is the version of the last note held.
	version cluster.Version
	// storeConfirmedAt is the latest time at which the store is known to have
	// held no newer note.
	storeConfirmedAt time.Time
	// withRow holds the members with a row in the last applied view.
	withRow map[cluster.DaemonID]bool
	// reportedAt holds the members without a row in that view, and when they were
	// first reported.
	reportedAt map[cluster.DaemonID]time.Time
	peers      map[cluster.DaemonID]peerState
	// acknowledged means that every other member has acknowledged this daemon.
	// It is never reset.
	acknowledged bool
	leaving      bool
}

// peerState is what is known about one other member.
type peerState struct {
	// lastDigest is the digest with the latest asOf.
	lastDigest peerDigest
	// acknowledgesSelf means that a digest of the peer listed this daemon.
	acknowledgesSelf bool
	leaving          bool
}

// newFreshness returns the state of a daemon that has not read the configuration.
func newFreshness(self cluster.DaemonID) *freshness {
	return &freshness{
		self: self, withRow: map[cluster.DaemonID]bool{}, reportedAt: map[cluster.DaemonID]time.Time{},
		peers: map[cluster.DaemonID]peerState{},
	}
}

// apply updates the state after an event.
func (f *freshness) apply(e event) {
	switch v := e.(type) {
	case *viewApplied:
		f.applyView(v)
	case *storeConfirmed:
		f.applyConfirmation(v.at)
	case *peerReported:
		f.addReported(v.id, v.at)
	case *peerDigest:
		f.applyDigest(v)
	case *peerLeaving:
		f.applyLeaving(&v.digest)
	case *selfLeaving:
		f.leaving = true
	}
	f.updateAcknowledged()
}

// applyView replaces the members with a row. The version never decreases.
func (f *freshness) applyView(v *viewApplied) {
	f.loaded = true
	f.version = max(f.version, v.version)
	clear(f.withRow)
	for _, id := range v.members {
		f.withRow[id] = true
		delete(f.reportedAt, id)
	}
	f.prunePeers()
}

// applyConfirmation records a confirmation by the store. It also drops reported
// daemons without a row: a daemon writes its row before others can report it, so
// a confirmation that is newer than the report proves that the row was deleted.
func (f *freshness) applyConfirmation(at time.Time) {
	if at.After(f.storeConfirmedAt) {
		f.storeConfirmedAt = at
	}
	for id, reportedAt := range f.reportedAt {
		if reportedAt.Before(at) {
			delete(f.reportedAt, id)
		}
	}
	f.prunePeers()
}

// prunePeers drops the state of peers that are no longer known.
func (f *freshness) prunePeers() {
	for id := range f.peers {
		if !f.isKnown(id) {
			delete(f.peers, id)
		}
	}
}

// isKnown reports whether a daemon has a row or was reported by a peer.
func (f *freshness) isKnown(id cluster.DaemonID) bool {
	_, reported := f.reportedAt[id]
	return reported || f.withRow[id]
}

// addReported adds a reported daemon unless it is known.
func (f *freshness) addReported(id cluster.DaemonID, at time.Time) {
	if id != f.self && id != "" && !f.isKnown(id) {
		f.reportedAt[id] = at
	}
}

// applyDigest adds the members listed in a digest, and keeps the digest if it is
// newer than the last one.
func (f *freshness) applyDigest(d *peerDigest) {
	f.addReported(d.from, d.receivedAt)
	for _, id := range d.members {
		f.addReported(id, d.receivedAt)
	}
	p := f.peers[d.from]
	p.acknowledgesSelf = p.acknowledgesSelf || slices.Contains(d.members, f.self)
	if !p.leaving && d.asOf.After(p.lastDigest.asOf) {
		p.lastDigest = *d
	}
	f.peers[d.from] = p
}

// applyLeaving keeps the final digest of a peer, which no later one replaces.
func (f *freshness) applyLeaving(digest *peerDigest) {
	f.applyDigest(digest)
	p := f.peers[digest.from]
	p.lastDigest, p.leaving = *digest, true
	f.peers[digest.from] = p
}

// updateAcknowledged sets acknowledged once this daemon has a row and every
// other known member has listed it in a digest. Members that join later read
// the row of this daemon.
func (f *freshness) updateAcknowledged() {
	if f.acknowledged || !f.withRow[f.self] {
		return
	}
	f.acknowledged = len(f.unacknowledgedBy()) == 0
}

// unacknowledgedBy returns the members that have not acknowledged this daemon,
// in order, without those that are leaving.
func (f *freshness) unacknowledgedBy() []cluster.DaemonID {
	var missing []cluster.DaemonID
	for _, id := range f.others() {
		if p := f.peers[id]; !p.acknowledgesSelf && !p.leaving {
			missing = append(missing, id)
		}
	}
	return missing
}

// others returns every known member except this daemon, in order.
func (f *freshness) others() []cluster.DaemonID {
	all := make([]cluster.DaemonID, 0, len(f.withRow)+len(f.reportedAt))
	for id := range f.withRow {
		if id != f.self {
			all = append(all, id)
		}
	}
	for id := range f.reportedAt {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// members returns every known member in order. Sending the list to a peer
// acknowledges these members.
func (f *freshness) members() []cluster.DaemonID {
	all := f.others()
	if f.withRow[f.self] {
		all = append(all, f.self)
		slices.Sort(all)
	}
	return all
}

// decision is whether keys may be honoured, and until when.
type decision struct {
	// confirmedAt is when the configuration was last confirmed to be in force,
	// by the store or by all members. The decision is valid for ConfirmationTTL
	// after it. It is zero if keys are refused.
	confirmedAt time.Time
	// reason is why keys are refused; empty if they are honoured.
	reason string
}

// allows reports whether keys may be honoured at now.
func (d decision) allows(now time.Time) bool {
	return !d.confirmedAt.IsZero() && member.Elapsed(d.confirmedAt, now) <= ConfirmationTTL
}

// decide returns the decision at now. A confirmation by the store has priority
// over confirmations by members.
func (f *freshness) decide(now time.Time) decision {
	if !f.loaded {
		return decision{reason: "the configuration has not been read yet"}
	}
	byStore := decision{confirmedAt: f.storeConfirmedAt}
	if byStore.allows(now) {
		return byStore
	}
	if f.leaving {
		return decision{reason: "this daemon is leaving"}
	}
	return f.decideByPeers(now)
}

// decideByPeers returns the decision without a recent confirmation by the store:
// keys are honoured only if every member confirms the configuration.
func (f *freshness) decideByPeers(now time.Time) decision {
	others := f.others()
	if !f.withRow[f.self] && len(others) == 0 {
		return decision{reason: "the table service can't be reached and no member is known"}
	}
	oldest := now
	for _, id := range others {
		p := f.peers[id]
		if reason := f.refusalReason(id, p); reason != "" {
			return decision{reason: "the table service can't be reached and " + reason}
		}
		if !p.leaving && p.lastDigest.asOf.Before(oldest) {
			oldest = p.lastDigest.asOf
		}
	}
	d := decision{confirmedAt: oldest}
	if !d.allows(now) {
		return decision{reason: fmt.Sprintf("the table service can't be reached and a member was last heard %s ago", member.Elapsed(oldest, now))}
	}
	return d
}

// refusalReason returns why the last digest of a peer does not confirm the
// configuration, or an empty string if it does.
func (f *freshness) refusalReason(id cluster.DaemonID, p peerState) string {
	switch {
	case !p.leaving && p.lastDigest.asOf.IsZero():
		return fmt.Sprintf("member %s has not confirmed", id)
	case p.lastDigest.version > f.version:
		return fmt.Sprintf("member %s holds the newer note %d", id, p.lastDigest.version)
	case p.lastDigest.hasUnconfirmedNote:
		return fmt.Sprintf("member %s has a note with an unknown outcome", id)
	case p.lastDigest.storeVisible && !p.leaving:
		return fmt.Sprintf("member %s can reach it", id)
	}
	return ""
}
