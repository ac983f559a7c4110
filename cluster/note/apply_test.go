package note

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// table is a table service and object store that takes a millisecond for each call.
type table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version cluster.Version
	objects map[string][]byte
	lose    bool
}

func (t *table) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := platform.ReadReply{AsOf: t.version}
	for key, row := range t.rows {
		if slices.Contains(req.Keys, key) || slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) }) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply, nil
}

func (t *table) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return 0, &platform.Error{Op: "commit", Kind: platform.KindConflict, Key: c.Key}
		}
	}
	t.version++
	for _, p := range txn.Puts {
		t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: t.version}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	if t.lose {
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	}
	return t.version, nil
}

func (t *table) PutObject(_ context.Context, name string, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objects[name] = data
	return nil
}

func (t *table) GetObject(_ context.Context, name string) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if data, ok := t.objects[name]; ok {
		return data, nil
	}
	return nil, &platform.Error{Op: "get", Kind: platform.KindNotFound}
}

// withTable runs f in virtual time with repositories of two daemons over one table.
func withTable(t *testing.T, f func(is *is.I, tab *table, a, b *Repository)) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
		repository := func(writer string) *Repository {
			j := journal.New(journal.Config{Store: tab, Writer: writer})
			t.Cleanup(j.Close)
			return New(Config{Store: tab, Objects: tab, Journal: j})
		}
		f(is.New(t), tab, repository("a"), repository("b"))
	})
}

func queueNote(t testing.TB, verb, name, more string) *Note {
	return parse(t, fmt.Sprintf("summary: %s %s\n%s: {queues: [{name: %s%s}]}\n", verb, name, verb, name, more))
}

func withdrawNote(t testing.TB, name string) *Note {
	return parse(t, "summary: s\nwithdraw: {queues: ["+name+"]}\n")
}

// Guards against notes on different entities that hinder each other: all that
// are handed in at once are accepted, with versions of their own.
func TestNotesOnDifferentEntitiesAreAllAccepted(t *testing.T) {
	withTable(t, func(is *is.I, _ *table, a, b *Repository) {
		versions := make(chan cluster.Version, 8)
		for i := range 8 {
			go func() {
				r := []*Repository{a, b}[i%2]
				result, err := r.Apply(context.Background(), Request{ID: fmt.Sprint("r", i), Note: queueNote(t, "add", fmt.Sprint("q", i), "")})
				is.NoErr(err)
				versions <- result.Version
			}()
		}
		seen := map[cluster.Version]bool{}
		for range 8 {
			seen[<-versions] = true
		}
		is.Equal(len(seen), 8)
		history, err := a.History(context.Background(), 0, 100)
		is.NoErr(err)
		is.Equal(len(history), 8)
		is.Equal(history[0].Version, cluster.Version(8))
	})
}

// Guards against an operator who overwrites the change of another without
// knowing it. The conflict names the entity and the note.
func TestConflictNamesEntityAndNote(t *testing.T) {
	withTable(t, func(is *is.I, _ *table, a, b *Repository) {
		apply := func(r *Repository, id string, n *Note, base cluster.Version) error {
			_, err := r.Apply(context.Background(), Request{ID: id, Note: n, Base: base})
			return err
		}
		conflict := func(err error, version cluster.Version) {
			t.Helper()
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, KindConflict)
			is.Equal(e.Entity, cluster.EntityID{Kind: cluster.KindQueue, Name: "q"})
			is.Equal(e.Version, version)
		}
		is.NoErr(apply(a, "1", queueNote(t, "add", "q", ""), 0))
		is.NoErr(apply(a, "2", queueNote(t, "change", "q", ", priority: urgent"), 1))
		conflict(apply(b, "3", queueNote(t, "change", "q", ""), 1), 2)                   // planned before note 2
		conflict(apply(b, "4", queueNote(t, "change", "q", ", expect: 1"), 0), 2)        // expects note 1
		is.NoErr(apply(b, "5", queueNote(t, "change", "q", ", expect: 2"), 0))           // expects note 2
		is.NoErr(apply(a, "6", withdrawNote(t, "q"), 3))                                 // knows all
		conflict(apply(b, "7", queueNote(t, "change", "q", ", priority: urgent"), 3), 4) // withdrawn since
		is.True(IsKind(apply(b, "8", withdrawNote(t, "q"), 0), KindInvalid))             // not there

		// Two at the same time: one is accepted, the other conflicts with it.
		is.NoErr(apply(a, "9", queueNote(t, "add", "q", ""), 0))
		errs := make(chan error, 2)
		go func() { errs <- apply(a, "10", queueNote(t, "change", "q", ", maxWait: 1s"), 0) }()
		go func() { errs <- apply(b, "11", queueNote(t, "change", "q", ", maxWait: 2s"), 0) }()
		first, second := <-errs, <-errs
		if first == nil {
			first = second
			second = nil
		}
		is.NoErr(second)
		conflict(first, 6)
	})
}

// Guards against a repeat after a lost answer that is accepted as a second note.
func TestRepeatIsOneNote(t *testing.T) {
	withTable(t, func(is *is.I, tab *table, a, b *Repository) {
		tab.lose = true
		n := queueNote(t, "add", "q", "")
		first, err := a.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err) // the journal reads the lost answer back
		again, err := b.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err)
		is.Equal(again.Version, first.Version)
		is.True(again.Repeat)
		_, err = b.Apply(context.Background(), Request{ID: "r", Note: queueNote(t, "add", "other", "")})
		is.True(IsKind(err, KindRefused)) // another note with the same identifier
		_, err = b.Apply(context.Background(), Request{ID: "no/slash", Note: n})
		is.True(IsKind(err, KindRefused))
	})
}

// Guards against a preview that changes something, and against a text that is shown although it was replaced.
func TestPreviewAndShow(t *testing.T) {
	withTable(t, func(is *is.I, tab *table, a, _ *Repository) {
		n := queueNote(t, "add", "q", "")
		plan, err := a.Preview().Apply(context.Background(), Request{ID: "r", Note: n})
		is.NoErr(err)
		is.Equal(len(plan.Plan.Effects), 1)
		is.Equal(len(tab.rows)+len(tab.objects), 0)
		_, err = a.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err)
		rec, text, err := a.Show(context.Background(), 1)
		is.NoErr(err)
		is.Equal(string(text), string(n.Text))
		is.Equal(rec.Author, "ada")
		_, _, err = a.Show(context.Background(), 2)
		is.True(IsKind(err, KindNotFound))
		for name := range tab.objects {
			tab.objects[name] = []byte("summary: other")
		}
		_, _, err = a.Show(context.Background(), 1)
		is.True(IsKind(err, KindDigest))
	})
}

// Guards against a daemon that accepts a note after the others have removed it from the cell.
func TestRemovedMemberAcceptsNoNote(t *testing.T) {
	withTable(t, func(is *is.I, tab *table, a, _ *Repository) {
		a.cfg.Member = func() platform.Check { return platform.Check{Key: "member/a", Version: 3} }
		_, err := a.Apply(context.Background(), Request{ID: "r", Note: queueNote(t, "add", "q", "")})
		is.True(err != nil)
		_, ok := tab.rows[HeadKey]
		is.True(!ok)
	})
}
