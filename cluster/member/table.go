package member

import (
	"net/netip"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// AliveWithin is the longest silence of a member that counts as alive.
const AliveWithin = 2 * time.Second

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

// TableConfig configures a Table.
type TableConfig struct {
	Self cluster.DaemonID
	Now  func() time.Time
	// LastHeard returns when a member was last heard over its peer connection.
	LastHeard func(cluster.DaemonID) time.Time
}

// Table holds the members of the cell; its methods are safe for concurrent use.
type Table struct{ cfg TableConfig }

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table { return &Table{cfg: cfg} }

// Apply takes over rows under member/; other rows are ignored.
func (t *Table) Apply(rows []platform.Row) {}

// Members returns every member that has not left, ordered by identifier, self included.
func (t *Table) Members() []Member { return nil }

// Live returns the members that are alive, ordered by identifier, self included.
func (t *Table) Live() []Member { return nil }

// Get returns a member.
func (t *Table) Get(id cluster.DaemonID) (Member, bool) { return Member{}, false }

// Alive reports whether a member is self or was heard within AliveWithin.
func (t *Table) Alive(id cluster.DaemonID) bool { return false }
