package cell

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// rowStore keeps rows with versions. late makes the next transaction lose its
// answer and be carried out after a time, or not at all if its checks fail then.
type rowStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version cluster.Version
	late    time.Duration
	// down holds the parts that do not answer, as table/part/.
	down map[string]bool
}

// unavailable returns an error if one of the keys is in a part that is down; s.mu is held.
func (s *rowStore) unavailable(keys ...string) error {
	for _, key := range keys {
		if s.down[key[:len(key)-len(lastPart(key))]] {
			return &platform.Error{Op: "test", Kind: platform.KindUnknown, Key: key}
		}
	}
	return nil
}

func (s *rowStore) setDown(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = map[string]bool{}
	for _, part := range parts {
		s.down[part] = true
	}
}

func (s *rowStore) apply(txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range txn.Puts {
		if err := s.unavailable(p.Key); err != nil {
			return 0, err
		}
	}
	for _, c := range txn.Checks {
		if s.rows[c.Key].Version != c.Version {
			return 0, &platform.Error{Op: "test", Kind: platform.KindConflict, Key: c.Key}
		}
	}
	s.version++
	for _, p := range txn.Puts {
		s.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: s.version}
	}
	return s.version, nil
}

func (s *rowStore) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	late := s.late
	s.late = 0
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = s.apply(txn) })
		return 0, &platform.Error{Op: "test", Kind: platform.KindUnknown}
	}
	return s.apply(txn)
}

func (s *rowStore) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.ReadReply{AsOf: s.version}
	if err := s.unavailable(slices.Concat(req.Keys, req.Prefixes)...); err != nil {
		return reply, err
	}
	for _, prefix := range req.Prefixes {
		for _, key := range slices.Sorted(maps.Keys(s.rows)) {
			if strings.HasPrefix(key, prefix) {
				reply.Rows = append(reply.Rows, s.rows[key])
			}
		}
	}
	for _, key := range req.Keys {
		if r, ok := s.rows[key]; ok {
			reply.Rows = append(reply.Rows, r)
		}
	}
	return reply, nil
}

const splitTeam = "team"

// newShardOwner returns the running owner of a shard, with a team that has a limit and no jobs.
func newShardOwner(t *testing.T, d *Daemon, index int, epoch cluster.Epoch) *ownedPool {
	t.Helper()
	p := newOwnedPool(d, shardID{Service: "s", Index: index}, epoch, 1, time.Now(), true)
	shares, err := p.joinSplit()
	if err != nil {
		t.Fatal(err)
	}
	p.scheduler = pool.New(pool.Config{Service: "s", Shard: index, Shards: d.shardCount(), Epoch: epoch, Now: time.Now()})
	p.scheduler.Step(time.Now(), []pool.Event{
		&pool.ConfigChanged{Snapshot: cluster.Assemble(1, []cluster.Entity{&cluster.Team{Name: splitTeam, Limit: cluster.Resources{CPU: 24 * cluster.Core}}})},
		&pool.SharesChanged{Shares: shares},
	})
	d.wg.Go(p.loop)
	return p
}

// newStoreDaemon returns a daemon of a cell with one shard and its store.
func newStoreDaemon(t *testing.T) (*rowStore, *Daemon) {
	t.Helper()
	store := &rowStore{rows: map[string]platform.Row{}}
	d := newTestDaemon(t, store)
	t.Cleanup(func() {
		d.stop()
		d.wg.Wait()
	})
	return store, d
}

// newSplitDaemon returns a daemon of a cell with three shards and its store.
func newSplitDaemon(t *testing.T) (*rowStore, *Daemon) {
	t.Helper()
	store, d := newStoreDaemon(t)
	d.division.Store(&divisionRow{Shards: 3})
	return store, d
}

// sharesInStore returns the shares of the team as the store has them.
func sharesInStore(t *testing.T, store *rowStore) []int {
	t.Helper()
	row, err := decode[splitRow]("test", store.rows[splitKey("s")].Value)
	if err != nil {
		t.Fatal(err)
	}
	return row.shares(splitTeam)
}

// Guards against parts of a limit that two shards use, or that are lost, when
// one shard lends to another and the answer of the store is lost.
func TestLentPartsMoveOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
	}{{name: "answered"}, {name: "late", late: time.Millisecond}, {name: "very late", late: 3 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, d := newSplitDaemon(t)
				p := newShardOwner(t, d, 0, 1)
				store.late = c.late
				reply, err := p.lend(lendRequest{To: 2, Team: splitTeam, Wanted: 1000})
				is.NoErr(err)
				is.Equal(reply.Given, 1000)
				time.Sleep(10 * time.Second) // after the late transaction
				is.Equal(sharesInStore(t, store), []int{2334, 3333, 4333})
				is.Equal(reply.Split.shares(splitTeam), []int{2334, 3333, 4333})
			})
		})
	}
}

// Guards against an owner that gives parts away after its successor has read
// what the shard may use.
func TestReplacedOwnerLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newSplitDaemon(t)
		before := newShardOwner(t, d, 0, 1)
		after := newShardOwner(t, d, 0, 2)
		_, err := before.lend(lendRequest{To: 1, Team: splitTeam, Wanted: 500})
		is.True(err != nil)
		is.True(before.ctx.Err() != nil) // the shard is given up
		is.Equal(sharesInStore(t, store), []int{3334, 3333, 3333})
		reply, err := after.lend(lendRequest{To: 1, Team: splitTeam, Wanted: 500})
		is.NoErr(err)
		is.Equal(reply.Given, 500)
	})
}

// Guards against owners that lend at the same time and undo each other's changes.
func TestOwnersLendAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newSplitDaemon(t)
		owners := []*ownedPool{newShardOwner(t, d, 0, 1), newShardOwner(t, d, 1, 1), newShardOwner(t, d, 2, 1)}
		var lenders conc.WaitGroup
		for i, p := range owners {
			lenders.Go(func() {
				for range 5 {
					_, err := p.lend(lendRequest{To: (i + 1) % 3, Team: splitTeam, Wanted: 100})
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		lenders.Wait()
		shares := sharesInStore(t, store)
		is.Equal(shares, []int{3334, 3333, 3333}) // each has lent and got 500
	})
}

// Guards against names of shards that stand for one another.
func TestShardNames(t *testing.T) {
	is := is.New(t)
	var names []string
	for _, id := range []shardID{{Service: "s"}, {Service: "s", Index: 3}, {Service: "s#3"}, {Service: "s#3", Index: 3}, {Service: "#"}} {
		is.Equal(parseShard(id.String()), id)
		is.True(!slices.Contains(names, id.String()))
		names = append(names, id.String())
	}
}
