package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

func newRow(t *testing.T, id cluster.DaemonID, version cluster.Version) platform.Row {
	t.Helper()
	value, err := encodeRow(Member{ID: id})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: Key(id), Value: value, Version: version}
}

func memberIDs(members []Member) []cluster.DaemonID {
	var all []cluster.DaemonID
	for _, m := range members {
		all = append(all, m.ID)
	}
	return all
}

// Guards against dropping a member that may still accept notes, and against
// keeping one forever because a slow peer reports it after its row is deleted.
func TestTableDropsOnlyMembersWithoutRow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(TableConfig{
		Self: "a", Now: func() time.Time { return now },
		LastSeen: func(id cluster.DaemonID) time.Time { return map[cluster.DaemonID]time.Time{"b": now}[id] },
	})
	table.Apply(View{Rows: []platform.Row{newRow(t, "a", 1), newRow(t, "b", 2)}, Full: true, ConfirmedAt: now})
	table.AddReported(Member{ID: "c"})
	is.Equal(memberIDs(table.Members()), []cluster.DaemonID{"a", "b", "c"})
	is.Equal(memberIDs(table.Live()), []cluster.DaemonID{"a", "b"}) // no message from c arrived

	table.Apply(View{ConfirmedAt: now}) // not newer than the report of c
	is.Equal(len(table.Members()), 3)
	now = now.Add(time.Second)
	table.Apply(View{ConfirmedAt: now}) // the store has no row of c
	is.Equal(memberIDs(table.Members()), []cluster.DaemonID{"a", "b"})

	now = now.Add(time.Hour)
	is.Equal(len(table.Members()), 2) // missing messages alone remove no member
	table.MarkLeaving("b")
	table.AddReported(Member{ID: "b"}) // reported by a peer that does not know that b leaves
	is.Equal(memberIDs(table.Members()), []cluster.DaemonID{"a"})
	is.Equal(memberIDs(table.Leaving()), []cluster.DaemonID{"b"})
	table.Apply(View{Rows: []platform.Row{{Key: Key("b"), Deleted: true, Version: 3}}})
	is.Equal(len(table.Leaving()), 0)
	now = now.Add(leavingTTL + time.Second)
	table.Apply(View{})
	is.Equal(len(table.leavingSince), 0)
}

// Guards against dropping a member whose row can't be read: its acknowledgement
// is still required.
func TestMalformedRowStillCountsAsMember(t *testing.T) {
	is := is.New(t)
	table := NewTable(TableConfig{Self: "a", Now: time.Now})
	table.Apply(View{Rows: []platform.Row{{Key: Key("b"), Value: []byte{0xc1}, Version: 2}}, Full: true})
	is.Equal(memberIDs(table.Members()), []cluster.DaemonID{"b"})
}

// Guards against missing a pause during which the VM's monotonic clock stopped.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	detector := NewPauseDetector(time.Second)
	is.Equal(detector.Observe(start), time.Duration(0))
	is.Equal(detector.Observe(start.Add(time.Second)), time.Duration(0))
	is.Equal(detector.Observe(start.Add(5*time.Second)), 4*time.Second)
	wallOnly := start.Round(0).Add(20 * time.Second) // without a monotonic reading
	is.Equal(Elapsed(start, wallOnly), 20*time.Second)
	is.Equal(Elapsed(start.Add(time.Second), start), -time.Second)
}

// Guards against removing a member because of a wrong or incomplete VM list: two
// consecutive lists must lack its VM and contain the VM of this process.
func TestRemovalNeedsTwoVMLists(t *testing.T) {
	is := is.New(t)
	table := NewTable(TableConfig{Self: "a", Now: time.Now})
	b := newRow(t, "b", 2)
	b.Value, _ = encodeRow(Member{ID: "b", VM: "vm-b"})
	table.Apply(View{Rows: []platform.Row{newRow(t, "a", 1), b, newRow(t, "unlisted", 3)}, Full: true})
	m := New(Config{Table: table})
	self := Member{ID: "a", VM: "vm-a"}
	bothVMs := []platform.VM{{ID: "vm-a"}, {ID: "vm-b"}}
	is.Equal(len(m.membersWithoutVM(self, bothVMs)), 0)
	is.Equal(len(m.membersWithoutVM(self, bothVMs[:1])), 0)
	is.Equal(len(m.membersWithoutVM(self, bothVMs)), 0) // listed again
	is.Equal(len(m.membersWithoutVM(self, bothVMs[:1])), 0)
	is.Equal(len(m.membersWithoutVM(self, nil)), 0) // the list lacks this VM too
	is.Equal(m.membersWithoutVM(self, bothVMs[:1]), []cluster.DaemonID{"b"})
}
