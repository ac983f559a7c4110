package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// freshnessModel runs several freshness state machines against an abstract
// store. Messages are delayed arbitrarily, links between daemons and to the
// store fail and recover, daemons pause, crash, leave and join, and replies to
// commits are lost.
type freshnessModel struct {
	t    *rapid.T
	now  time.Time
	head cluster.Version
	// storeVersion counts the changes of the store.
	storeVersion int
	acceptedAt   []time.Time // acceptedAt[v-1] is when note v was accepted
	// rows holds the daemons with a member row.
	rows    map[cluster.DaemonID]bool
	daemons []*modelDaemon
	// joinedDaemons is the number of daemons that have ever joined.
	joinedDaemons int
	// links holds whether two daemons can reach each other.
	links           map[[2]cluster.DaemonID]bool
	delayedMessages []modelMessage
}

// modelDaemon is one daemon of a freshnessModel.
type modelDaemon struct {
	id        cluster.DaemonID
	freshness *freshness
	// viewVersion is the storeVersion of the last applied view.
	viewVersion    int
	storeReachable bool
	paused         bool
	stopped        bool
	leaving        bool
	// pendingCommit is the note whose outcome is not known yet.
	pendingCommit *modelCommit
	pingSequence  uint64
	pingSentAt    map[uint64]time.Time
	// lastSequence holds the sequence of the last ping from each daemon.
	lastSequence map[cluster.DaemonID]uint64
	// deferred holds the messages that arrived while the daemon was paused.
	deferred []func()
}

// modelCommit is the commit of a note from the time it is sent.
type modelCommit struct {
	from         *modelDaemon
	expectedHead cluster.Version
	// processed means that the store has applied or refused the commit.
	processed bool
	// appliedVersion is the version of the note; zero if it was refused.
	appliedVersion cluster.Version
}

// modelMessage is a message or a reply that is delivered later.
type modelMessage struct {
	to      *modelDaemon
	deliver func(*modelDaemon)
}

func newFreshnessModel(t *rapid.T, daemons int) *freshnessModel {
	m := &freshnessModel{t: t, now: time.Unix(1_000_000, 0), rows: map[cluster.DaemonID]bool{}, links: map[[2]cluster.DaemonID]bool{}}
	for range daemons {
		m.join()
	}
	return m
}

func (m *freshnessModel) chance(percent int, label string) bool {
	return rapid.IntRange(0, 99).Draw(m.t, label) < percent
}

func (m *freshnessModel) join() {
	m.joinedDaemons++
	id := cluster.DaemonID(fmt.Sprintf("d%02d", m.joinedDaemons))
	d := &modelDaemon{id: id, freshness: newFreshness(id), storeReachable: true, pingSentAt: map[uint64]time.Time{}, lastSequence: map[cluster.DaemonID]uint64{}}
	m.rows[id] = true
	m.storeVersion++
	for _, other := range m.daemons {
		// A new daemon may reach only some members.
		m.setLink(d, other, m.chance(70, "reach"))
	}
	m.daemons = append(m.daemons, d)
	m.readStore(d)
}

func (m *freshnessModel) setLink(a, b *modelDaemon, up bool) {
	m.links[[2]cluster.DaemonID{a.id, b.id}] = up
	m.links[[2]cluster.DaemonID{b.id, a.id}] = up
}

// runOrDefer runs f at once, or after the pause if the daemon is paused. If the
// daemon has stopped, f is dropped.
func (m *freshnessModel) runOrDefer(d *modelDaemon, f func()) {
	switch {
	case d.stopped:
	case d.paused:
		d.deferred = append(d.deferred, f)
	default:
		f()
	}
}

// readStore reads the store at once; the reply may be delivered later or lost.
func (m *freshnessModel) readStore(d *modelDaemon) {
	if d.stopped || d.paused || !d.storeReachable {
		return
	}
	sent, head, storeVersion := m.now, m.head, m.storeVersion
	members := make([]cluster.DaemonID, 0, len(m.rows))
	for id := range m.rows {
		members = append(members, id)
	}
	m.send(d, func(d *modelDaemon) {
		if storeVersion > d.viewVersion {
			d.viewVersion = storeVersion
			d.freshness.apply(&viewApplied{version: head, members: members})
		}
		d.freshness.apply(&storeConfirmed{at: sent})
		m.resolveCommit(d)
	})
}

// send delivers a message now, later or never.
func (m *freshnessModel) send(to *modelDaemon, deliver func(*modelDaemon)) {
	switch roll := rapid.IntRange(0, 19).Draw(m.t, "transit"); {
	case roll < 16:
		m.runOrDefer(to, func() { deliver(to) })
	case roll < 19:
		m.delayedMessages = append(m.delayedMessages, modelMessage{to, deliver})
	}
}

// resolveCommit clears the pending commit once its note is in force at the daemon.
func (m *freshnessModel) resolveCommit(d *modelDaemon) {
	if d.pendingCommit != nil && d.pendingCommit.appliedVersion != 0 && d.pendingCommit.appliedVersion <= d.freshness.version {
		d.pendingCommit = nil
	}
}

// newDigest returns the current digest of a daemon.
func (m *freshnessModel) newDigest(d *modelDaemon, asOf time.Time) peerDigest {
	return peerDigest{
		from: d.id, asOf: asOf, version: d.freshness.version, hasUnconfirmedNote: d.pendingCommit != nil,
		storeVisible: d.storeReachable, members: d.freshness.members(),
	}
}

// ping sends a digest. The receiver dates it by the last of its own pings that
// the sender had received.
func (m *freshnessModel) ping(from, to *modelDaemon) {
	if from.stopped || from.paused || from.leaving || !m.links[[2]cluster.DaemonID{from.id, to.id}] {
		return
	}
	from.pingSequence++
	from.pingSentAt[from.pingSequence] = m.now
	sequence, echo := from.pingSequence, from.lastSequence[to.id]
	digest := m.newDigest(from, time.Time{})
	m.send(to, func(to *modelDaemon) {
		to.lastSequence[from.id] = max(to.lastSequence[from.id], sequence)
		digest := digest
		digest.asOf, digest.receivedAt = to.pingSentAt[echo], m.now
		to.freshness.apply(&digest)
	})
}

// submitNote sends a note to the store if the daemon may accept notes.
func (m *freshnessModel) submitNote(d *modelDaemon) {
	if d.stopped || d.paused || d.leaving || d.pendingCommit != nil || !d.freshness.acknowledged {
		return
	}
	d.pendingCommit = &modelCommit{from: d, expectedHead: d.freshness.version}
	m.processCommit(d.pendingCommit)
}

// processCommit lets the store process a commit now or leaves it for a later
// step, whether or not its sender still runs.
func (m *freshnessModel) processCommit(c *modelCommit) {
	if !m.chance(60, "commit arrives") {
		return
	}
	c.processed = true
	if c.expectedHead == m.head && m.rows[c.from.id] {
		m.head++
		m.storeVersion++
		m.acceptedAt = append(m.acceptedAt, m.now)
		c.appliedVersion = m.head
	}
	m.send(c.from, func(d *modelDaemon) {
		if d.pendingCommit == c && c.appliedVersion == 0 {
			d.pendingCommit = nil
		}
		m.resolveCommit(d)
	})
}

// resolveOutcome determines the outcome of a commit whose reply was lost.
func (m *freshnessModel) resolveOutcome(d *modelDaemon) {
	if d.pendingCommit == nil || !d.storeReachable || d.stopped || d.paused {
		return
	}
	if !d.pendingCommit.processed {
		// Reading the outcome overwrites the writer's row, so the commit can no longer apply.
		d.pendingCommit = nil
		return
	}
	if d.pendingCommit.appliedVersion == 0 {
		d.pendingCommit = nil
	}
	m.resolveCommit(d)
}

// leave lets a daemon announce that it leaves; its row may be deleted.
func (m *freshnessModel) leave(d *modelDaemon) {
	if d.stopped || d.paused || d.leaving || d.pendingCommit != nil {
		return
	}
	d.leaving = true
	d.freshness.apply(&selfLeaving{})
	for _, other := range m.daemons {
		if other != d {
			last := m.newDigest(d, m.now)
			m.send(other, func(other *modelDaemon) {
				last := last
				last.receivedAt = m.now
				other.freshness.apply(&peerLeaving{digest: last})
			})
		}
	}
	if d.storeReachable && m.chance(50, "row deleted") {
		m.deleteRow(d)
	}
}

// deleteRow deletes the member row of a daemon.
func (m *freshnessModel) deleteRow(d *modelDaemon) {
	delete(m.rows, d.id)
	m.storeVersion++
}

// injectFault applies a random fault, departure or join.
func (m *freshnessModel) injectFault() {
	d := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
	switch rapid.IntRange(0, 9).Draw(m.t, "fault") {
	case 0, 1:
		reachable := rapid.Bool().Draw(m.t, "store")
		for _, d := range m.daemons {
			d.storeReachable = reachable
		}
	case 2:
		d.storeReachable = !d.storeReachable
	case 3, 4:
		m.partition()
	case 5:
		d.paused = !d.paused
		for deferred := d.deferred; !d.paused && len(deferred) > 0; deferred = deferred[1:] {
			m.runOrDefer(d, deferred[0])
		}
		if !d.paused {
			d.deferred = nil
		}
	case 6:
		d.stopped = true
	case 7:
		if d.stopped {
			m.deleteRow(d) // its VM is no longer in the VM list
		}
	case 8:
		m.leave(d)
	case 9:
		if len(m.daemons) < 8 {
			m.join()
		}
	}
}

// partition splits the daemons into two groups that can't reach each other, or
// connects all daemons again.
func (m *freshnessModel) partition() {
	healed := m.chance(40, "whole")
	side := map[cluster.DaemonID]bool{}
	for _, d := range m.daemons {
		side[d.id] = healed || rapid.Bool().Draw(m.t, "side")
	}
	for i, a := range m.daemons {
		for _, b := range m.daemons[:i] {
			m.setLink(a, b, side[a.id] == side[b.id])
		}
	}
}

// step advances the time and lets every daemon ping, read the store and check
// its decision.
func (m *freshnessModel) step() {
	if m.chance(30, "fault happens") {
		m.injectFault()
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(m.t, "step")) * time.Millisecond)
	for _, a := range m.daemons {
		m.check(a)
		for _, b := range m.daemons {
			if a != b {
				m.ping(a, b)
			}
		}
	}
	for _, d := range m.daemons {
		m.readStore(d)
		m.resolveOutcome(d)
	}
	if m.chance(40, "note") {
		m.submitNote(m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "acceptor")])
	}
	for _, d := range m.daemons {
		if d.pendingCommit != nil && !d.pendingCommit.processed {
			m.processCommit(d.pendingCommit)
		}
	}
	if len(m.delayedMessages) > 0 && m.chance(50, "late message") {
		i := rapid.IntRange(0, len(m.delayedMessages)-1).Draw(m.t, "which")
		message := m.delayedMessages[i]
		m.delayedMessages = slices.Delete(m.delayedMessages, i, i+1)
		m.runOrDefer(message.to, func() { message.deliver(message.to) })
	}
	for _, d := range m.daemons {
		m.check(d)
	}
}

// check fails the test if a note that the daemon does not hold was accepted
// before the time from which its decision is valid.
func (m *freshnessModel) check(d *modelDaemon) {
	if d.stopped {
		return
	}
	decision := d.freshness.decide(m.now)
	if !decision.allows(m.now) {
		return
	}
	for version := d.freshness.version + 1; version <= m.head; version++ {
		// The daemon itself treats the keys of its own unconfirmed note as withdrawn.
		if d.pendingCommit != nil && d.pendingCommit.appliedVersion == version {
			continue
		}
		if acceptedAt := m.acceptedAt[version-1]; acceptedAt.Before(decision.confirmedAt) {
			m.t.Fatalf("%s honours keys with note %d, but note %d was accepted %s before the confirmation of its decision",
				d.id, d.freshness.version, version, decision.confirmedAt.Sub(acceptedAt))
		}
	}
}

// Guards against honouring a key longer than ConfirmationTTL after its withdrawal
// was accepted, under any combination of faults of messages, members and the store.
func TestFreshnessNeverMissesANote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFreshnessModel(t, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
		}
	})
}
