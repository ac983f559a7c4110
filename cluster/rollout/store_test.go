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

// fakeTable is an in-memory table service and object store with injected faults.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version cluster.Version
	objects map[string][]byte
	down    bool
	// loseReplies makes commits apply while their replies are lost.
	loseReplies bool
	// failAfterNote makes the table go down after it has applied one more note,
	// whose reply is lost.
	failAfterNote bool
	readCount     int
	// tombstoneHorizon is the commit up to which the table has no tombstones.
	tombstoneHorizon cluster.Version
	// onCommit is called with each applied transaction, in order.
	onCommit func(platform.Txn)
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// storeClient is the connection of one daemon to a fakeTable.
type storeClient struct {
	*fakeTable
	// latency returns the latency in one direction, or false if the table can't be
	// reached.
	latency func() (time.Duration, bool)
	// countBytes counts bytes sent over the link, with bodies encoded in JSON; it
	// may be nil.
	countBytes func(n int)
}

var errTableDown = errors.New("the table service is down")

// waitLatency waits for the latency in one direction. If the table can't be
// reached, it waits until ctx ends and returns an error.
func (c *storeClient) waitLatency(ctx context.Context) error {
	delay, up := c.latency()
	if !up {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return nil
}

func (c *storeClient) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	fail := func(err error) (platform.ReadReply, error) {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: err}
	}
	if err := c.waitLatency(ctx); err != nil {
		return fail(err)
	}
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		return fail(errTableDown)
	}
	if req.SinceVersion > 0 && req.SinceVersion < c.tombstoneHorizon {
		c.mu.Unlock()
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindInvalid}
	}
	reply := platform.ReadReply{Rows: c.selectRows(req), AsOf: c.version}
	c.readCount++
	c.mu.Unlock()
	c.countTraffic(req, reply)
	if err := c.waitLatency(ctx); err != nil {
		return fail(err)
	}
	return reply, nil
}

// countTraffic counts the approximate size of a request and its reply.
func (c *storeClient) countTraffic(req platform.ReadRequest, reply platform.ReadReply) {
	if c.countBytes == nil {
		return
	}
	n := 60
	for _, key := range append(append([]string{}, req.Keys...), req.Prefixes...) {
		n += len(key) + 3
	}
	for _, row := range reply.Rows {
		n += len(row.Key) + (len(row.Value)+2)/3*4 + 50
	}
	c.countBytes(n)
}

// selectRows returns the rows that a read request asks for, ordered by key.
func (t *fakeTable) selectRows(req platform.ReadRequest) []platform.Row {
	var rows []platform.Row
	for key, row := range t.rows {
		selected := slices.Contains(req.Keys, key) || slices.ContainsFunc(req.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
		if selected && row.Version > req.SinceVersion && (!row.Deleted || req.SinceVersion > 0) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (c *storeClient) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	fail := func(kind platform.Kind, key string) (cluster.Version, error) {
		return 0, &platform.Error{Op: "commit", Kind: kind, Key: key}
	}
	if c.waitLatency(ctx) != nil {
		return fail(platform.KindUnavailable, "")
	}
	c.mu.Lock()
	version, key := c.commit(txn)
	down, loseReply := c.down, c.loseReplies
	if c.failAfterNote && key == "" && len(txn.Puts) > 2 {
		c.down, c.failAfterNote, loseReply = true, false, true
	}
	c.mu.Unlock()
	switch {
	case down:
		return fail(platform.KindUnavailable, "")
	case key != "":
		return fail(platform.KindConflict, key)
	case loseReply || c.waitLatency(ctx) != nil:
		return fail(platform.KindUnknown, "")
	}
	return version, nil
}

// commit applies a transaction, or returns the key whose check failed.
func (t *fakeTable) commit(txn platform.Txn) (cluster.Version, string) {
	if t.down {
		return 0, ""
	}
	for _, check := range txn.Checks {
		row := t.rows[check.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != check.Version {
			return 0, check.Key
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

func (c *storeClient) PutObject(ctx context.Context, name string, data []byte) error {
	if err := c.waitLatency(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return errTableDown
	}
	c.objects[name] = data
	return nil
}

func (c *storeClient) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := c.waitLatency(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.objects[name]
	if !ok || c.down {
		return nil, &platform.Error{Op: "get object", Kind: platform.KindNotFound}
	}
	return data, nil
}

// update changes the faults of the table.
func (t *fakeTable) update(f func(t *fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}
