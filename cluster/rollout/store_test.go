package rollout

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// table is a small table service and object store with faults.
type table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version cluster.Version
	objects map[string][]byte
	down    bool
	// loseAnswers makes commits apply without an answer.
	loseAnswers bool
	// loseLast makes the table go down after it applied one more note.
	loseLast bool
	reads    int
	// horizon is the commit up to which deletions are forgotten.
	horizon cluster.Version
	// onCommit is called with each applied transaction, in order.
	onCommit func(platform.Txn)
}

func newTable() *table { return &table{rows: map[string]platform.Row{}, objects: map[string][]byte{}} }

// access is a table as one daemon reaches it.
type access struct {
	*table
	// latency returns the time of one way, or false if the table can't be reached.
	latency func() (time.Duration, bool)
	// bytes counts what crosses the link, as encoded in JSON bodies.
	bytes func(n int)
}

var errDown = errors.New("the table service is down")

// travel waits for one way; it ends with ctx if the table can't be reached.
func (a *access) travel(ctx context.Context) error {
	delay, up := a.latency()
	if !up {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return nil
}

func (a *access) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	fail := func(err error) (platform.ReadReply, error) {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: err}
	}
	if err := a.travel(ctx); err != nil {
		return fail(err)
	}
	a.mu.Lock()
	if a.down {
		a.mu.Unlock()
		return fail(errDown)
	}
	if req.SinceVersion > 0 && req.SinceVersion < a.horizon {
		a.mu.Unlock()
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindInvalid}
	}
	reply := platform.ReadReply{Rows: a.matching(req), AsOf: a.version}
	a.reads++
	a.mu.Unlock()
	a.count(req, reply)
	if err := a.travel(ctx); err != nil {
		return fail(err)
	}
	return reply, nil
}

func (a *access) count(req platform.ReadRequest, reply platform.ReadReply) {
	if a.bytes == nil {
		return
	}
	n := 60
	for _, key := range append(append([]string{}, req.Keys...), req.Prefixes...) {
		n += len(key) + 3
	}
	for _, row := range reply.Rows {
		n += len(row.Key) + (len(row.Value)+2)/3*4 + 50
	}
	a.bytes(n)
}

func (t *table) matching(req platform.ReadRequest) []platform.Row {
	var rows []platform.Row
	for key, row := range t.rows {
		hit := slices.Contains(req.Keys, key) || slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
		if hit && row.Version > req.SinceVersion && (!row.Deleted || req.SinceVersion > 0) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (a *access) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	fail := func(kind platform.Kind, key string) (cluster.Version, error) {
		return 0, &platform.Error{Op: "commit", Kind: kind, Key: key}
	}
	if a.travel(ctx) != nil {
		return fail(platform.KindUnavailable, "")
	}
	a.mu.Lock()
	version, key := a.commit(txn)
	down, lose := a.down, a.loseAnswers
	if a.loseLast && key == "" && len(txn.Puts) > 2 {
		a.down, a.loseLast, lose = true, false, true
	}
	a.mu.Unlock()
	switch {
	case down:
		return fail(platform.KindUnavailable, "")
	case key != "":
		return fail(platform.KindConflict, key)
	case lose || a.travel(ctx) != nil:
		return fail(platform.KindUnknown, "")
	}
	return version, nil
}

// commit applies a transaction or returns the key in conflict.
func (t *table) commit(txn platform.Txn) (cluster.Version, string) {
	if t.down {
		return 0, ""
	}
	for _, c := range txn.Checks {
		row := t.rows[c.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != c.Version {
			return 0, c.Key
		}
	}
	t.version++
	for _, put := range txn.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	for _, key := range txn.Deletes {
		t.rows[key] = platform.Row{Key: key, Version: t.version, Deleted: true}
	}
	if t.onCommit != nil {
		t.onCommit(txn)
	}
	return t.version, ""
}

func (a *access) PutObject(ctx context.Context, name string, data []byte) error {
	if err := a.travel(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return errDown
	}
	a.objects[name] = data
	return nil
}

func (a *access) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := a.travel(ctx); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	data, ok := a.objects[name]
	if !ok || a.down {
		return nil, &platform.Error{Op: "get object", Kind: platform.KindNotFound}
	}
	return data, nil
}

func (t *table) set(f func(t *table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}
