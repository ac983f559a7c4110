package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

func row(t *testing.T, id cluster.DaemonID, version cluster.Version) platform.Row {
	t.Helper()
	value, err := encodeRow(Member{ID: id})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: Key(id), Value: value, Version: version}
}

func ids(members []Member) []cluster.DaemonID {
	var all []cluster.DaemonID
	for _, m := range members {
		all = append(all, m.ID)
	}
	return all
}

// Guards against a member that is forgotten while it may still act, and against
// one that stays for ever because a slow peer names it after it is gone.
func TestTableForgetsOnlyWhatTheStoreForgot(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(TableConfig{
		Self: "a", Now: func() time.Time { return now },
		LastHeard: func(id cluster.DaemonID) time.Time { return map[cluster.DaemonID]time.Time{"b": now}[id] },
	})
	table.Apply(View{Rows: []platform.Row{row(t, "a", 1), row(t, "b", 2)}, Whole: true, Confirmed: now})
	table.Heard(Member{ID: "c"})
	is.Equal(ids(table.Members()), []cluster.DaemonID{"a", "b", "c"})
	is.Equal(ids(table.Live()), []cluster.DaemonID{"a", "b"}) // c was never heard

	table.Apply(View{Confirmed: now}) // not after c was named
	is.Equal(len(table.Members()), 3)
	now = now.Add(time.Second)
	table.Apply(View{Confirmed: now}) // the store has no row of c
	is.Equal(ids(table.Members()), []cluster.DaemonID{"a", "b"})

	now = now.Add(time.Hour)
	is.Equal(len(table.Members()), 2) // silence alone removes nobody
	table.Leave("b")
	table.Heard(Member{ID: "b"}) // named by a peer that did not hear of it
	is.Equal(ids(table.Members()), []cluster.DaemonID{"a"})
	is.Equal(ids(table.Left()), []cluster.DaemonID{"b"})
	table.Apply(View{Rows: []platform.Row{{Key: Key("b"), Deleted: true, Version: 3}}})
	is.Equal(len(table.Left()), 0)
	now = now.Add(leftFor + time.Second)
	table.Apply(View{})
	is.Equal(len(table.left), 0)
}

// Guards against a row that can't be read making a member disappear, whose acknowledgement is needed.
func TestMalformedRowStillCounts(t *testing.T) {
	is := is.New(t)
	table := NewTable(TableConfig{Self: "a", Now: time.Now})
	table.Apply(View{Rows: []platform.Row{{Key: Key("b"), Value: []byte{0xc1}, Version: 2}}, Whole: true})
	is.Equal(ids(table.Members()), []cluster.DaemonID{"b"})
}

// Guards against a pause that goes unnoticed because the VM's monotonic clock stood still.
func TestPauses(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	watch := NewPauseWatch(time.Second)
	is.Equal(watch.Observe(start), time.Duration(0))
	is.Equal(watch.Observe(start.Add(time.Second)), time.Duration(0))
	is.Equal(watch.Observe(start.Add(5*time.Second)), 4*time.Second)
	wall := start.Round(0).Add(20 * time.Second) // without a monotonic reading
	is.Equal(Elapsed(start, wall), 20*time.Second)
	is.Equal(Elapsed(start.Add(time.Second), start), -time.Second)
}

// Guards against a list that is wrong or incomplete removing a member: it must
// lack the VM twice in a row and hold this process's own VM.
func TestGoneNeedsTwoLists(t *testing.T) {
	is := is.New(t)
	table := NewTable(TableConfig{Self: "a", Now: time.Now})
	b := row(t, "b", 2)
	b.Value, _ = encodeRow(Member{ID: "b", VM: "vm-b"})
	table.Apply(View{Rows: []platform.Row{row(t, "a", 1), b, row(t, "unlisted", 3)}, Whole: true})
	m := New(Config{Table: table})
	self := Member{ID: "a", VM: "vm-a"}
	both := []platform.VM{{ID: "vm-a"}, {ID: "vm-b"}}
	is.Equal(len(m.gone(self, both)), 0)
	is.Equal(len(m.gone(self, both[:1])), 0)
	is.Equal(len(m.gone(self, both)), 0) // listed again
	is.Equal(len(m.gone(self, both[:1])), 0)
	is.Equal(len(m.gone(self, nil)), 0) // the list lacks this VM too
	is.Equal(m.gone(self, both[:1]), []cluster.DaemonID{"b"})
}
