package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// model runs several freshness machines against an abstract store. Messages
// take any time, links and access to the store come and go, daemons pause,
// crash, leave and join, and answers of commits are lost.
type model struct {
	t    *rapid.T
	now  time.Time
	head cluster.Version
	// asOf counts the changes of the store.
	asOf    int
	commits []time.Time // commits[v-1] is when note v was accepted
	rows    map[cluster.DaemonID]bool
	daemons []*modelDaemon
	next    int
	links   map[[2]cluster.DaemonID]bool
	transit []modelMessage
}

type modelDaemon struct {
	id       cluster.DaemonID
	f        *freshness
	asOf     int
	store    bool
	paused   bool
	dead     bool
	leaving  bool
	pending  *modelCommit
	sequence uint64
	sent     map[uint64]time.Time
	seen     map[cluster.DaemonID]uint64
	queue    []func()
}

// modelCommit is a note on its way to the store or with an answer on its way back.
type modelCommit struct {
	from    *modelDaemon
	head    cluster.Version
	served  bool
	applied cluster.Version
}

type modelMessage struct {
	to      *modelDaemon
	deliver func(*modelDaemon)
}

func newModel(t *rapid.T, daemons int) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), rows: map[cluster.DaemonID]bool{}, links: map[[2]cluster.DaemonID]bool{}}
	for range daemons {
		m.join()
	}
	return m
}

func (m *model) chance(percent int, label string) bool {
	return rapid.IntRange(0, 99).Draw(m.t, label) < percent
}

func (m *model) join() {
	m.next++
	id := cluster.DaemonID(fmt.Sprintf("d%02d", m.next))
	d := &modelDaemon{id: id, f: newFreshness(id), store: true, sent: map[uint64]time.Time{}, seen: map[cluster.DaemonID]uint64{}}
	m.rows[id] = true
	m.asOf++
	for _, other := range m.daemons {
		// A newcomer may reach only some members.
		m.link(d, other, m.chance(70, "reach"))
	}
	m.daemons = append(m.daemons, d)
	m.read(d)
}

func (m *model) link(a, b *modelDaemon, up bool) {
	m.links[[2]cluster.DaemonID{a.id, b.id}] = up
	m.links[[2]cluster.DaemonID{b.id, a.id}] = up
}

// handle runs f at the daemon, after its pause if it is paused.
func (m *model) handle(d *modelDaemon, f func()) {
	switch {
	case d.dead:
	case d.paused:
		d.queue = append(d.queue, f)
	default:
		f()
	}
}

// read reads the store at once; the answer may take effect later.
func (m *model) read(d *modelDaemon) {
	if d.dead || d.paused || !d.store {
		return
	}
	sent, head, asOf := m.now, m.head, m.asOf
	members := make([]cluster.DaemonID, 0, len(m.rows))
	for id := range m.rows {
		members = append(members, id)
	}
	m.send(d, func(d *modelDaemon) {
		if asOf > d.asOf {
			d.asOf = asOf
			d.f.apply(&viewApplied{version: head, members: members})
		}
		d.f.apply(&confirmedByStore{at: sent})
		m.settle(d)
	})
}

// send delivers now, later or never.
func (m *model) send(to *modelDaemon, deliver func(*modelDaemon)) {
	switch roll := rapid.IntRange(0, 19).Draw(m.t, "transit"); {
	case roll < 16:
		m.handle(to, func() { deliver(to) })
	case roll < 19:
		m.transit = append(m.transit, modelMessage{to, deliver})
	}
}

// settle ends the doubt of a note that is in force at its acceptor.
func (m *model) settle(d *modelDaemon) {
	if d.pending != nil && d.pending.applied != 0 && d.pending.applied <= d.f.version {
		d.pending = nil
	}
}

func (m *model) digest(d *modelDaemon, asOf time.Time) peerDigest {
	return peerDigest{
		from: d.id, asOf: asOf, version: d.f.version, doubtful: d.pending != nil,
		storeVisible: d.store, members: d.f.members(),
	}
}

func (m *model) ping(from, to *modelDaemon) {
	if from.dead || from.paused || from.leaving || !m.links[[2]cluster.DaemonID{from.id, to.id}] {
		return
	}
	from.sequence++
	from.sent[from.sequence] = m.now
	sequence, echo := from.sequence, from.seen[to.id]
	digest := m.digest(from, time.Time{})
	m.send(to, func(to *modelDaemon) {
		to.seen[from.id] = max(to.seen[from.id], sequence)
		digest := digest
		digest.asOf, digest.at = to.sent[echo], m.now
		to.f.apply(&digest)
	})
}

// accept sends a note to the store if the daemon may accept notes.
func (m *model) accept(d *modelDaemon) {
	if d.dead || d.paused || d.leaving || d.pending != nil || !d.f.acknowledged {
		return
	}
	d.pending = &modelCommit{from: d, head: d.f.version}
	m.serve(d.pending)
}

// serve lets the store apply a commit now or later, whether or not its sender still lives.
func (m *model) serve(c *modelCommit) {
	if !m.chance(60, "commit arrives") {
		return
	}
	c.served = true
	if c.head == m.head && m.rows[c.from.id] {
		m.head++
		m.asOf++
		m.commits = append(m.commits, m.now)
		c.applied = m.head
	}
	m.send(c.from, func(d *modelDaemon) {
		if d.pending == c && c.applied == 0 {
			d.pending = nil
		}
		m.settle(d)
	})
}

// readBack finds out the outcome of a commit with a lost answer.
func (m *model) readBack(d *modelDaemon) {
	if d.pending == nil || !d.store || d.dead || d.paused {
		return
	}
	if !d.pending.served {
		// The writer's row is overwritten, so that the commit can't apply any more.
		d.pending = nil
		return
	}
	if d.pending.applied == 0 {
		d.pending = nil
	}
	m.settle(d)
}

func (m *model) leave(d *modelDaemon) {
	if d.dead || d.paused || d.leaving || d.pending != nil {
		return
	}
	d.leaving = true
	d.f.apply(&selfLeft{})
	for _, other := range m.daemons {
		if other != d {
			last := m.digest(d, m.now)
			m.send(other, func(other *modelDaemon) {
				last := last
				last.at = m.now
				other.f.apply(&peerLeft{last: last})
			})
		}
	}
	if d.store && m.chance(50, "row deleted") {
		m.remove(d)
	}
}

func (m *model) remove(d *modelDaemon) {
	delete(m.rows, d.id)
	m.asOf++
}

func (m *model) fault() {
	d := m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
	switch rapid.IntRange(0, 9).Draw(m.t, "fault") {
	case 0, 1:
		all := rapid.Bool().Draw(m.t, "store")
		for _, d := range m.daemons {
			d.store = all
		}
	case 2:
		d.store = !d.store
	case 3, 4:
		m.cut()
	case 5:
		d.paused = !d.paused
		for queue := d.queue; !d.paused && len(queue) > 0; queue = queue[1:] {
			m.handle(d, queue[0])
		}
		if !d.paused {
			d.queue = nil
		}
	case 6:
		d.dead = true
	case 7:
		if d.dead {
			m.remove(d) // its VM is no longer listed
		}
	case 8:
		m.leave(d)
	case 9:
		if len(m.daemons) < 8 {
			m.join()
		}
	}
}

// cut splits the daemons into two groups, or joins them again.
func (m *model) cut() {
	whole := m.chance(40, "whole")
	side := map[cluster.DaemonID]bool{}
	for _, d := range m.daemons {
		side[d.id] = whole || rapid.Bool().Draw(m.t, "side")
	}
	for i, a := range m.daemons {
		for _, b := range m.daemons[:i] {
			m.link(a, b, side[a.id] == side[b.id])
		}
	}
}

func (m *model) step() {
	if m.chance(30, "fault happens") {
		m.fault()
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
		m.read(d)
		m.readBack(d)
	}
	if m.chance(40, "note") {
		m.accept(m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "acceptor")])
	}
	for _, d := range m.daemons {
		if d.pending != nil && !d.pending.served {
			m.serve(d.pending)
		}
	}
	if len(m.transit) > 0 && m.chance(50, "late message") {
		i := rapid.IntRange(0, len(m.transit)-1).Draw(m.t, "which")
		late := m.transit[i]
		m.transit = slices.Delete(m.transit, i, i+1)
		m.handle(late.to, func() { late.deliver(late.to) })
	}
	for _, d := range m.daemons {
		m.check(d)
	}
}

// check requires that no note which the daemon does not hold was accepted before the basis of its decision.
func (m *model) check(d *modelDaemon) {
	if d.dead {
		return
	}
	decision := d.f.decide(m.now)
	if !decision.allowed(m.now) {
		return
	}
	for version := d.f.version + 1; version <= m.head; version++ {
		// The acceptor itself counts the keys of its own doubtful note as withdrawn.
		if d.pending != nil && d.pending.applied == version {
			continue
		}
		if missed := m.commits[version-1]; missed.Before(decision.basis) {
			m.t.Fatalf("%s honours keys with note %d, but note %d was accepted %s before the basis of its decision",
				d.id, d.f.version, version, decision.basis.Sub(missed))
		}
	}
}

// Guards against honouring a key longer than Bound after its withdrawal was
// accepted, whatever two or more faults do to messages, members and the store.
func TestFreshnessNeverMissesANote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
		}
	})
}
