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
	// AliveTimeout is the time without a message from a member after which the
	// member no longer counts as alive.
	AliveTimeout = 2 * time.Second
	// leavingTTL is how long a member that announced that it leaves is remembered
	// if it has no row, so that peers which still report it do not add it again.
	leavingTTL = time.Minute
)

// Member is a daemon of the cell.
type Member struct {
	ID       cluster.DaemonID
	Place    cluster.Place
	PeerAddr netip.AddrPort
	HTTPAddr netip.AddrPort
	// VM is the platform's identifier of the member's VM. It is empty until the
	// VM has appeared in the platform's VM list.
	VM string
	// Version is the commit that wrote the member's row. It is zero for a member
	// that is known only from reports of peers.
	Version cluster.Version
}

// View is the content of the member rows, or the changes to it.
type View struct {
	// Rows are rows under Prefix; others are ignored.
	Rows []platform.Row
	// Full means that Rows holds all member rows and not only changed ones.
	Full bool
	// ConfirmedAt is a time at which the store held this view, or zero if none is known.
	ConfirmedAt time.Time
}

// TableConfig configures a Table.
type TableConfig struct {
	Self cluster.DaemonID
	Now  func() time.Time
	// LastSeen returns when the last message from a member arrived over its peer connection.
	LastSeen func(cluster.DaemonID) time.Time
	Log      zerolog.Logger
}

// Table holds the members of the cell as this daemon knows them. Its methods are
// safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu sync.Mutex
	// rows holds the members with a row in the last applied view.
	rows map[cluster.DaemonID]Member
	// reported holds members that a peer reported and that have no row in the
	// last applied view.
	reported map[cluster.DaemonID]reportedMember
	// leavingSince holds when members announced that they leave.
	leavingSince map[cluster.DaemonID]time.Time
}

// reportedMember is a member that is known only from a peer's report.
type reportedMember struct {
	Member
	reportedAt time.Time
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	return &Table{
		cfg:  cfg,
		rows: map[cluster.DaemonID]Member{}, reported: map[cluster.DaemonID]reportedMember{}, leavingSince: map[cluster.DaemonID]time.Time{},
	}
}

// Apply updates the table from a view of the member rows.
func (t *Table) Apply(view View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Full {
		clear(t.rows)
	}
	for _, row := range view.Rows {
		if strings.HasPrefix(row.Key, Prefix) {
			t.applyRow(row)
		}
	}
	t.prune(view.ConfirmedAt)
}

func (t *Table) applyRow(row platform.Row) {
	id := cluster.DaemonID(strings.TrimPrefix(row.Key, Prefix))
	if row.Deleted {
		delete(t.rows, id)
		return
	}
	m, err := DecodeRow(row)
	if err != nil {
		// The member stays in the table: its acknowledgement is required even if
		// its row can't be read.
		t.cfg.Log.Error().Err(err).Msg("member: malformed row")
		m = Member{ID: id, Version: row.Version}
	}
	t.rows[id] = m
	delete(t.reported, id)
}

// prune drops reported members without a row and outdated entries of
// leavingSince. A daemon writes its row before it contacts others, so a view
// that is newer than the report and lacks the row proves that the row was
// deleted.
func (t *Table) prune(confirmedAt time.Time) {
	for id, reported := range t.reported {
		if reported.reportedAt.Before(confirmedAt) {
			delete(t.reported, id)
		}
	}
	for id, since := range t.leavingSince {
		if _, ok := t.rows[id]; !ok && t.cfg.Now().Sub(since) > leavingTTL {
			delete(t.leavingSince, id)
		}
	}
}

// AddReported adds a member that a peer reported; only ID must be set. A member
// that has a row or is leaving is not changed.
func (t *Table) AddReported(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.rows[m.ID]; ok || m.ID == "" {
		return
	}
	if _, ok := t.leavingSince[m.ID]; ok {
		return
	}
	if old, ok := t.reported[m.ID]; ok && (old.PeerAddr.IsValid() || !m.PeerAddr.IsValid()) {
		return
	}
	m.Version = 0
	t.reported[m.ID] = reportedMember{m, t.cfg.Now()}
}

// MarkLeaving records that a member announced that it leaves.
func (t *Table) MarkLeaving(id cluster.DaemonID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingSince[id] = t.cfg.Now()
	delete(t.reported, id)
}

// Leaving returns the members that announced that they leave and still have a
// row, ordered by identifier.
func (t *Table) Leaving() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for id := range t.leavingSince {
		if m, ok := t.rows[id]; ok {
			members = append(members, m)
		}
	}
	return sortByID(members)
}

// Members returns every member that is not leaving, ordered by identifier. It
// includes this daemon once its row is known.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.rows)+len(t.reported))
	for id, m := range t.rows {
		if _, ok := t.leavingSince[id]; !ok {
			all = append(all, m)
		}
	}
	for _, reported := range t.reported {
		all = append(all, reported.Member)
	}
	return sortByID(all)
}

func sortByID(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Live returns the members that are alive, ordered by identifier.
func (t *Table) Live() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return !t.Alive(m.ID) })
}

// Get returns a member that is not leaving.
func (t *Table) Get(id cluster.DaemonID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, leaving := t.leavingSince[id]; leaving {
		return Member{}, false
	}
	if m, ok := t.rows[id]; ok {
		return m, true
	}
	reported, ok := t.reported[id]
	return reported.Member, ok
}

// Alive reports whether a member is this daemon or sent a message within
// AliveTimeout.
func (t *Table) Alive(id cluster.DaemonID) bool {
	if id == t.cfg.Self {
		return true
	}
	lastSeen := t.cfg.LastSeen(id)
	return !lastSeen.IsZero() && t.cfg.Now().Sub(lastSeen) <= AliveTimeout
}
