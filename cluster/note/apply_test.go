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

// fakeTable is an in-memory table service and object store. Each call of the
// table service takes a millisecond.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version cluster.Version
	objects map[string][]byte
	// loseReplies makes commits return an unknown outcome although they are applied.
	loseReplies bool
}

func (t *fakeTable) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
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

func (t *fakeTable) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
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
	if t.loseReplies {
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	}
	return t.version, nil
}

func (t *fakeTable) PutObject(_ context.Context, name string, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objects[name] = data
	return nil
}

func (t *fakeTable) GetObject(_ context.Context, name string) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if data, ok := t.objects[name]; ok {
		return data, nil
	}
	return nil, &platform.Error{Op: "get", Kind: platform.KindNotFound}
}

// withTable runs f in virtual time with the repositories of two daemons, a and b,
// on the same table.
func withTable(t *testing.T, f func(is *is.I, table *fakeTable, a, b *Repository)) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
		repository := func(writer string) *Repository {
			j := journal.New(journal.Config{Store: table, Writer: writer})
			t.Cleanup(j.Close)
			return New(Config{Store: table, Objects: table, Journal: j})
		}
		f(is.New(t), table, repository("a"), repository("b"))
	})
}

// queueNote returns a note that applies an action (add or change) to a queue;
// extraFields is appended to the queue's fields.
func queueNote(t testing.TB, action, name, extraFields string) *Note {
	return mustParse(t, fmt.Sprintf("summary: %s %s\n%s: {queues: [{name: %s%s}]}\n", action, name, action, name, extraFields))
}

// withdrawNote returns a note that withdraws a queue.
func withdrawNote(t testing.TB, name string) *Note {
	return mustParse(t, "summary: s\nwithdraw: {queues: ["+name+"]}\n")
}

// Guards against concurrent notes on different entities that fail because of each
// other. All must be accepted, each with its own version.
func TestConcurrentNotesOnDifferentEntities(t *testing.T) {
	withTable(t, func(is *is.I, _ *fakeTable, a, b *Repository) {
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

// Guards against a note that silently overwrites a change that its author has not
// seen. The conflict must identify the entity and the note that wrote it.
func TestConflictNamesEntityAndNote(t *testing.T) {
	withTable(t, func(is *is.I, _ *fakeTable, a, b *Repository) {
		apply := func(r *Repository, id string, n *Note, base cluster.Version) error {
			_, err := r.Apply(context.Background(), Request{ID: id, Note: n, Base: base})
			return err
		}
		checkConflict := func(err error, version cluster.Version) {
			t.Helper()
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, KindConflict)
			is.Equal(e.Entity, cluster.EntityID{Kind: cluster.KindQueue, Name: "q"})
			is.Equal(e.Version, version)
		}
		is.NoErr(apply(a, "1", queueNote(t, "add", "q", ""), 0))
		is.NoErr(apply(a, "2", queueNote(t, "change", "q", ", priority: urgent"), 1))
		checkConflict(apply(b, "3", queueNote(t, "change", "q", ""), 1), 2)                   // planned before note 2
		checkConflict(apply(b, "4", queueNote(t, "change", "q", ", expect: 1"), 0), 2)        // expects note 1
		is.NoErr(apply(b, "5", queueNote(t, "change", "q", ", expect: 2"), 0))                // expects note 2
		is.NoErr(apply(a, "6", withdrawNote(t, "q"), 3))                                      // planned after note 3
		checkConflict(apply(b, "7", queueNote(t, "change", "q", ", priority: urgent"), 3), 4) // withdrawn by note 4
		is.True(IsKind(apply(b, "8", withdrawNote(t, "q"), 0), KindInvalid))                  // does not exist

		// Of two concurrent notes one is accepted and the other conflicts with it.
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
		checkConflict(first, 6)
	})
}

// Guards against a request that is accepted as a second note when it is repeated
// after a lost reply, and against an identifier that is accepted for another note
// or does not fit into a row key.
func TestRepeatedRequestIsAppliedOnce(t *testing.T) {
	withTable(t, func(is *is.I, table *fakeTable, a, b *Repository) {
		table.loseReplies = true
		n := queueNote(t, "add", "q", "")
		first, err := a.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err) // the journal determines the outcome after the lost reply
		duplicate, err := b.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err)
		is.Equal(duplicate.Version, first.Version)
		is.True(duplicate.Duplicate)
		_, err = b.Apply(context.Background(), Request{ID: "r", Note: queueNote(t, "add", "other", "")})
		is.True(IsKind(err, KindRefused)) // another note with the same identifier
		_, err = b.Apply(context.Background(), Request{ID: "no/slash", Note: n})
		is.True(IsKind(err, KindRefused))
	})
}

// Guards against a preview that stores something, and against showing a text that
// was replaced in the object store.
func TestPreviewAndShow(t *testing.T) {
	withTable(t, func(is *is.I, table *fakeTable, a, _ *Repository) {
		n := queueNote(t, "add", "q", "")
		preview, err := a.Preview().Apply(context.Background(), Request{ID: "r", Note: n})
		is.NoErr(err)
		is.Equal(len(preview.Plan.Effects), 1)
		is.Equal(len(table.rows)+len(table.objects), 0)
		_, err = a.Apply(context.Background(), Request{ID: "r", Author: "ada", Note: n})
		is.NoErr(err)
		entry, text, err := a.Show(context.Background(), 1)
		is.NoErr(err)
		is.Equal(string(text), string(n.Text))
		is.Equal(entry.Author, "ada")
		_, _, err = a.Show(context.Background(), 2)
		is.True(IsKind(err, KindNotFound))
		for name := range table.objects {
			table.objects[name] = []byte("summary: other")
		}
		_, _, err = a.Show(context.Background(), 1)
		is.True(IsKind(err, KindDigestMismatch))
	})
}

// Guards against a daemon that accepts a note after other daemons have removed it
// from the members of the cell.
func TestRemovedMemberAcceptsNoNote(t *testing.T) {
	withTable(t, func(is *is.I, table *fakeTable, a, _ *Repository) {
		a.cfg.MemberCheck = func() platform.Check { return platform.Check{Key: "member/a", Version: 3} }
		_, err := a.Apply(context.Background(), Request{ID: "r", Note: queueNote(t, "add", "q", "")})
		is.True(err != nil)
		_, ok := table.rows[HeadKey]
		is.True(!ok)
	})
}
