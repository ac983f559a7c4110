package member

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// AliveWithin is the longest silence of a member that counts as alive.
	AliveWithin = 2 * time.Second
	// leftFor is how long the identifier of a member that has left is kept after
	// its row is deleted, so that peers which still name it do not add it again.
	leftFor = time.Minute
)

// Member is a daemon of the cell.
type Member struct {
	ID       cluster.DaemonID
	Place    cluster.Place
	PeerAddr netip.AddrPort
	HTTPAddr netip.AddrPort
	// VM is the platform's identifier of the member's VM once the VM has appeared in the platform's list.
	VM string
	// Version is the commit that wrote the member's row; zero for a member known only from its peers.
	Version cluster.Version
}

// View is a state of the member rows.
type View struct {
	// Rows may hold rows outside Prefix, which are ignored.
	Rows []platform.Row
	// Whole says that the rows are all rows and not only those that changed.
	Whole bool
	// Confirmed is a moment at which the view was in the store; zero if it is not known.
	Confirmed time.Time
}

// TableConfig configures a Table.
type TableConfig struct {
	Self cluster.DaemonID
	Now  func() time.Time
	// LastHeard returns when a member was last heard over its peer connection.
	LastHeard func(cluster.DaemonID) time.Time
	Log       zerolog.Logger
}

// Table holds the members of the cell; its methods are safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu sync.Mutex
	// rows holds the members with a row in the last view.
	rows map[cluster.DaemonID]Member
	// named holds members that were named by a peer and have no row in the last view.
	named map[cluster.DaemonID]namedMember
	// left holds when members said that they leave.
	left map[cluster.DaemonID]time.Time
}

type namedMember struct {
	Member
	at time.Time
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:  cfg,
		rows: map[cluster.DaemonID]Member{}, named: map[cluster.DaemonID]namedMember{}, left: map[cluster.DaemonID]time.Time{},
	}
}

// Apply takes over a view of the member rows.
func (t *Table) Apply(v View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Whole {
		clear(t.rows)
	}
	for _, row := range v.Rows {
		if strings.HasPrefix(row.Key, Prefix) {
			t.applyRow(row)
		}
	}
	t.forget(v.Confirmed)
}

func (t *Table) applyRow(row platform.Row) {
	id := cluster.DaemonID(strings.TrimPrefix(row.Key, Prefix))
	if row.Deleted {
		delete(t.rows, id)
		return
	}
	m, err := DecodeRow(row)
	if err != nil {
		// The member still counts: its acknowledgement is needed even if its row can't be read.
		t.cfg.Log.Error().Err(err).Msg("member: malformed row")
		m = Member{ID: id, Version: row.Version}
	}
	t.rows[id] = m
	delete(t.named, id)
}

// forget drops named members without a row. A daemon writes its row before it
// speaks to others, so a view from after the naming that lacks the row shows
// that the member is gone.
func (t *Table) forget(confirmed time.Time) {
	for id, n := range t.named {
		if n.at.Before(confirmed) {
			delete(t.named, id)
		}
	}
	for id, at := range t.left {
		if _, ok := t.rows[id]; !ok && t.cfg.Now().Sub(at) > leftFor {
			delete(t.left, id)
		}
	}
}

// Heard notes a member named by a peer; only ID need be set.
func (t *Table) Heard(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.rows[m.ID]; ok || m.ID == "" {
		return
	}
	if _, ok := t.left[m.ID]; ok {
		return
	}
	if old, ok := t.named[m.ID]; ok && (old.PeerAddr.IsValid() || !m.PeerAddr.IsValid()) {
		return
	}
	m.Version = 0
	t.named[m.ID] = namedMember{m, t.cfg.Now()}
}

// Leave notes that a member said that it leaves.
func (t *Table) Leave(id cluster.DaemonID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left[id] = t.cfg.Now()
	delete(t.named, id)
}

// Left returns the members that said that they leave and still have a row.
func (t *Table) Left() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []Member
	for id := range t.left {
		if m, ok := t.rows[id]; ok {
			left = append(left, m)
		}
	}
	return sorted(left)
}

// Members returns every member that has not left, ordered by identifier, self
// included as soon as its row is known.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.rows)+len(t.named))
	for id, m := range t.rows {
		if _, ok := t.left[id]; !ok {
			all = append(all, m)
		}
	}
	for _, n := range t.named {
		all = append(all, n.Member)
	}
	return sorted(all)
}

func sorted(all []Member) []Member {
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Live returns the members that are alive, ordered by identifier.
func (t *Table) Live() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return !t.Alive(m.ID) })
}

// Get returns a member that has not left.
func (t *Table) Get(id cluster.DaemonID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, left := t.left[id]; left {
		return Member{}, false
	}
	if m, ok := t.rows[id]; ok {
		return m, true
	}
	n, ok := t.named[id]
	return n.Member, ok
}

// Alive reports whether a member is self or was heard within AliveWithin.
func (t *Table) Alive(id cluster.DaemonID) bool {
	if id == t.cfg.Self {
		return true
	}
	heard := t.cfg.LastHeard(id)
	return !heard.IsZero() && t.cfg.Now().Sub(heard) <= AliveWithin
}
