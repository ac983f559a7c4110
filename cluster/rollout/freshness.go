package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
)

// Bound is how long a confirmation of the configuration is valid. A withdrawn
// key stops working everywhere within 7 s; the rest is for clock drift and for
// the time between the check and the use.
const Bound = 5 * time.Second

// event changes what a freshness knows: a *viewApplied, *confirmedByStore,
// *peerNamed, *peerDigest, *peerLeft or *selfLeft.
type event interface{ event() }

// viewApplied says that the configuration now held is the one of a consistent
// read of the store, in which the given members had a row.
type viewApplied struct {
	version cluster.Version
	members []cluster.DaemonID
}

// confirmedByStore says that the configuration held was not older than the store at a moment.
type confirmedByStore struct{ at time.Time }

// peerNamed says that a daemon introduced itself or was named by a peer.
type peerNamed struct {
	id cluster.DaemonID
	at time.Time
}

// peerDigest is what a peer says about itself; it was true at asOf or later. A
// zero asOf leaves the time open.
type peerDigest struct {
	from         cluster.DaemonID
	asOf         time.Time
	at           time.Time
	version      cluster.Version
	doubtful     bool
	storeVisible bool
	members      []cluster.DaemonID
}

// peerLeft is the last word of a peer, which accepts no note after it.
type peerLeft struct{ last peerDigest }

// selfLeft says that this daemon leaves and accepts no note any more.
type selfLeft struct{}

func (*viewApplied) event()      {}
func (*confirmedByStore) event() {}
func (*peerNamed) event()        {}
func (*peerDigest) event()       {}
func (*peerLeft) event()         {}
func (*selfLeft) event()         {}

// freshness decides whether keys may be honoured. It is a pure state machine:
// its inputs are events and times.
//
// A configuration that was confirmed by the store at some moment may be used
// for Bound after it. Without the store it may be used while every member
// confirms that it holds no newer note, has no note with an unknown outcome and
// can't reach the store either. Every note is accepted by a member, so that
// these confirmations together show that no note was accepted before the oldest
// of them. Members unknown here can't have accepted one, because a new member
// needs the acknowledgement of every member that has a row, and members name
// the members that they acknowledged. Only the store removes a member: its
// deleted row is seen together with all notes accepted before the deletion.
type freshness struct {
	self      cluster.DaemonID
	loaded    bool
	version   cluster.Version
	confirmed time.Time
	// rows holds the members with a row in the view applied last.
	rows map[cluster.DaemonID]bool
	// named holds members without a row in the view, and when they were named.
	named map[cluster.DaemonID]time.Time
	peers map[cluster.DaemonID]peerState
	// acknowledged says that every member has acknowledged this daemon once.
	acknowledged bool
	left         bool
}

// peerState is what is known of one other member.
type peerState struct {
	// last is the newest dated digest.
	last peerDigest
	// acknowledges says that the peer named this daemon.
	acknowledges bool
	left         bool
}

func newFreshness(self cluster.DaemonID) *freshness {
	return &freshness{
		self: self, rows: map[cluster.DaemonID]bool{}, named: map[cluster.DaemonID]time.Time{},
		peers: map[cluster.DaemonID]peerState{},
	}
}

func (f *freshness) apply(e event) {
	switch v := e.(type) {
	case *viewApplied:
		f.applyView(v)
	case *confirmedByStore:
		f.confirm(v.at)
	case *peerNamed:
		f.name(v.id, v.at)
	case *peerDigest:
		f.digest(v)
	case *peerLeft:
		f.leave(&v.last)
	case *selfLeft:
		f.left = true
	}
	f.acknowledge()
}

func (f *freshness) applyView(v *viewApplied) {
	f.loaded = true
	f.version = max(f.version, v.version)
	clear(f.rows)
	for _, id := range v.members {
		f.rows[id] = true
		delete(f.named, id)
	}
	f.prune()
}

// confirm also drops named daemons without a row: a daemon writes its row
// before it is named, so that a confirmation from after the naming shows that
// the row was deleted.
func (f *freshness) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	for id, named := range f.named {
		if named.Before(at) {
			delete(f.named, id)
		}
	}
	f.prune()
}

func (f *freshness) prune() {
	for id := range f.peers {
		if !f.known(id) {
			delete(f.peers, id)
		}
	}
}

func (f *freshness) known(id cluster.DaemonID) bool {
	_, named := f.named[id]
	return named || f.rows[id]
}

func (f *freshness) name(id cluster.DaemonID, at time.Time) {
	if id != f.self && id != "" && !f.known(id) {
		f.named[id] = at
	}
}

func (f *freshness) digest(d *peerDigest) {
	f.name(d.from, d.at)
	for _, id := range d.members {
		f.name(id, d.at)
	}
	p := f.peers[d.from]
	p.acknowledges = p.acknowledges || slices.Contains(d.members, f.self)
	if !p.left && d.asOf.After(p.last.asOf) {
		p.last = *d
	}
	f.peers[d.from] = p
}

func (f *freshness) leave(last *peerDigest) {
	f.digest(last)
	p := f.peers[last.from]
	p.last, p.left = *last, true
	f.peers[last.from] = p
}

// acknowledge notes when every other member with a row has named this daemon,
// which must have a row itself. Members that join later see that row.
func (f *freshness) acknowledge() {
	if f.acknowledged || !f.rows[f.self] {
		return
	}
	f.acknowledged = len(f.unacknowledged()) == 0
}

// unacknowledged returns the members that have not named this daemon, in order.
func (f *freshness) unacknowledged() []cluster.DaemonID {
	var missing []cluster.DaemonID
	for _, id := range f.others() {
		if p := f.peers[id]; !p.acknowledges && !p.left {
			missing = append(missing, id)
		}
	}
	return missing
}

// others returns every known member but self, in order.
func (f *freshness) others() []cluster.DaemonID {
	all := make([]cluster.DaemonID, 0, len(f.rows)+len(f.named))
	for id := range f.rows {
		if id != f.self {
			all = append(all, id)
		}
	}
	for id := range f.named {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// members returns every known member in order. Telling it to a peer acknowledges them.
func (f *freshness) members() []cluster.DaemonID {
	all := f.others()
	if f.rows[f.self] {
		all = append(all, f.self)
		slices.Sort(all)
	}
	return all
}

// decision says whether keys may be honoured.
type decision struct {
	// basis is when the configuration was last shown to be in force; the
	// decision holds for Bound after it. It is zero for a refusal.
	basis time.Time
	// reason says why keys are refused.
	reason string
}

func (d decision) allowed(now time.Time) bool {
	return !d.basis.IsZero() && member.Elapsed(d.basis, now) <= Bound
}

// decide returns the basis that holds longest.
func (f *freshness) decide(now time.Time) decision {
	if !f.loaded {
		return decision{reason: "the configuration has not been read yet"}
	}
	byStore := decision{basis: f.confirmed}
	if byStore.allowed(now) {
		return byStore
	}
	if f.left {
		return decision{reason: "this daemon is leaving"}
	}
	return f.decideByPeers(now)
}

func (f *freshness) decideByPeers(now time.Time) decision {
	others := f.others()
	if !f.rows[f.self] && len(others) == 0 {
		return decision{reason: "the table service can't be reached and no member is known"}
	}
	oldest := now
	for _, id := range others {
		p := f.peers[id]
		if reason := f.objection(id, p); reason != "" {
			return decision{reason: "the table service can't be reached and " + reason}
		}
		if !p.left && p.last.asOf.Before(oldest) {
			oldest = p.last.asOf
		}
	}
	d := decision{basis: oldest}
	if !d.allowed(now) {
		return decision{reason: fmt.Sprintf("the table service can't be reached and a member was last heard %s ago", member.Elapsed(oldest, now))}
	}
	return d
}

// objection returns why a peer's last word does not confirm the configuration.
func (f *freshness) objection(id cluster.DaemonID, p peerState) string {
	switch {
	case !p.left && p.last.asOf.IsZero():
		return fmt.Sprintf("member %s has not confirmed", id)
	case p.last.version > f.version:
		return fmt.Sprintf("member %s holds the newer note %d", id, p.last.version)
	case p.last.doubtful:
		return fmt.Sprintf("member %s has a note with an unknown outcome", id)
	case p.last.storeVisible && !p.left:
		return fmt.Sprintf("member %s can reach it", id)
	}
	return ""
}
