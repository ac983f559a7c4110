package cell

import (
	"context"
	"fmt"
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

// rowStore stores rows with versions. If commitDelay is set, the reply to the next transaction is lost, and the
// transaction is applied after that delay if its checks still hold.
type rowStore struct {
	mu          sync.Mutex
	rows        map[string]platform.Row
	version     cluster.Version
	commitDelay time.Duration
	// unreachableParts holds the parts that don't respond, as table/part/.
	unreachableParts map[string]bool
}

// partError returns an error if one of the keys is in an unreachable part; s.mu is held.
func (s *rowStore) partError(keys ...string) error {
	for _, key := range keys {
		if s.unreachableParts[key[:len(key)-len(rowName(key))]] {
			return &platform.Error{Op: "test", Kind: platform.KindUnknown, Key: key}
		}
	}
	return nil
}

func (s *rowStore) setPartsUnreachable(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableParts = map[string]bool{}
	for _, part := range parts {
		s.unreachableParts[part] = true
	}
}

func (s *rowStore) apply(txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range txn.Puts {
		if err := s.partError(p.Key); err != nil {
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
	for _, key := range txn.Deletes {
		delete(s.rows, key)
	}
	return s.version, nil
}

func (s *rowStore) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	delay := s.commitDelay
	s.commitDelay = 0
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _, _ = s.apply(txn) })
		return 0, &platform.Error{Op: "test", Kind: platform.KindUnknown}
	}
	return s.apply(txn)
}

func (s *rowStore) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.ReadReply{AsOf: s.version}
	if err := s.partError(slices.Concat(req.Keys, req.Prefixes)...); err != nil {
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

const limitedTeam = "team"

// newShardOwner returns an owner of a shard with a running control loop, a team that has a limit, and no jobs.
func newShardOwner(t *testing.T, d *Daemon, index int, epoch cluster.Epoch) *ownedShard {
	t.Helper()
	o := newOwnedShard(d, shardID{Service: "s", Index: index}, epoch, 1, time.Now(), time.Time{})
	shares, err := o.claimShares()
	if err != nil {
		t.Fatal(err)
	}
	o.scheduler = pool.New(pool.Config{Service: "s", Shard: index, Shards: d.shardCount(), Epoch: epoch, Now: time.Now()})
	o.scheduler.Step(time.Now(), []pool.Event{
		&pool.ConfigChanged{Snapshot: cluster.Assemble(1, []cluster.Entity{&cluster.Team{Name: limitedTeam, Limit: cluster.Resources{CPU: 24 * cluster.Core}}})},
		&pool.SharesChanged{Shares: shares},
	})
	close(o.loaded)
	d.wg.Go(o.loop)
	return o
}

// newStoreDaemon returns the daemon of a cell with one shard, and its store.
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

// newThreeShardDaemon returns the daemon of a cell with three shards, and its store.
func newThreeShardDaemon(t *testing.T) (*rowStore, *Daemon) {
	t.Helper()
	store, d := newStoreDaemon(t)
	d.layout.Store(&layoutRow{Shards: 3})
	return store, d
}

// storedShares returns the shares of the team that are in the store.
func storedShares(t *testing.T, store *rowStore) []int {
	t.Helper()
	row, err := decode[sharesRow]("test", store.rows[sharesKey("s")].Value)
	if err != nil {
		t.Fatal(err)
	}
	return row.teamShares(limitedTeam)
}

// Guards against a share that is used by two shards, or by none, when it is transferred between shards and the
// reply of the store is lost.
func TestShareIsTransferredOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		commitDelay time.Duration
	}{{name: "answered"}, {name: "late", commitDelay: time.Millisecond}, {name: "very late", commitDelay: 3 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, d := newThreeShardDaemon(t)
				o := newShardOwner(t, d, 0, 1)
				store.commitDelay = c.commitDelay
				reply, err := o.transferShare(t.Context(), shareRequest{To: 2, Team: limitedTeam, Wanted: 1000})
				is.NoErr(err)
				is.Equal(reply.Granted, 1000)
				time.Sleep(10 * time.Second) // until the late transaction is applied
				is.Equal(storedShares(t, store), []int{2334, 3333, 4333})
				is.Equal(reply.Shares.teamShares(limitedTeam), []int{2334, 3333, 4333})
			})
		})
	}
}

// Guards against an owner that transfers a share after the new owner of its shard has read the shares.
func TestReplacedOwnerTransfersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newThreeShardDaemon(t)
		previous := newShardOwner(t, d, 0, 1)
		current := newShardOwner(t, d, 0, 2)
		_, err := previous.transferShare(t.Context(), shareRequest{To: 1, Team: limitedTeam, Wanted: 500})
		is.True(err != nil)
		is.True(previous.ctx.Err() != nil) // the ownership has ended
		is.Equal(storedShares(t, store), []int{3334, 3333, 3333})
		reply, err := current.transferShare(t.Context(), shareRequest{To: 1, Team: limitedTeam, Wanted: 500})
		is.NoErr(err)
		is.Equal(reply.Granted, 500)
	})
}

// Guards against an owner that claims its shares only after a later owner of the shard has claimed them. The later owner
// could no longer tell whose shares the row holds.
func TestEarlierOwnerDoesNotClaimShares(t *testing.T) {
	is := is.New(t)
	store, d := newThreeShardDaemon(t)
	_, err := newOwnedShard(d, shardID{Service: "s"}, 3, 1, time.Now(), time.Time{}).claimShares()
	is.NoErr(err)
	_, err = newOwnedShard(d, shardID{Service: "s"}, 2, 1, time.Now(), time.Time{}).claimShares()
	is.True(err != nil)
	row, err := decode[sharesRow]("test", store.rows[sharesKey("s")].Value)
	is.NoErr(err)
	is.Equal(row.Epochs[0], uint64(3))
}

// Guards against an owner that learns the row of a later owner from a share that it receives, and then writes its own
// epoch into it.
func TestEarlierOwnerDoesNotOverwriteReceivedShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newThreeShardDaemon(t)
		earlier := newShardOwner(t, d, 0, 1)
		newShardOwner(t, d, 0, 2)
		other := newShardOwner(t, d, 1, 1)
		reply, err := other.transferShare(t.Context(), shareRequest{To: 0, Team: limitedTeam, Wanted: 500})
		is.NoErr(err)
		earlier.applyShares(reply.Shares, cluster.Version(reply.Version))
		_, err = earlier.transferShare(t.Context(), shareRequest{To: 2, Team: limitedTeam, Wanted: 500})
		is.True(err != nil)
		is.True(earlier.ctx.Err() != nil) // the ownership has ended
		row, err := decode[sharesRow]("test", store.rows[sharesKey("s")].Value)
		is.NoErr(err)
		is.Equal(row.Epochs[0], uint64(2))
		is.Equal(storedShares(t, store), []int{3834, 2833, 3333})
	})
}

// lostReplyStore applies a transaction, calls afterCommit and loses the reply.
type lostReplyStore struct {
	*rowStore
	afterCommit func()
}

func (s *lostReplyStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	if _, err := s.rowStore.Commit(ctx, txn); err != nil {
		return 0, err
	}
	s.afterCommit()
	return 0, &platform.Error{Op: "test", Kind: platform.KindUnknown}
}

func (s *lostReplyStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	if ctx.Err() != nil {
		return platform.ReadReply{}, &platform.Error{Op: "test", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
	return s.rowStore.Read(ctx, req)
}

// Guards against a transfer that is reported as not done although the owner stopped only after the store had applied it.
func TestTransferByStoppedOwnerIsUnknown(t *testing.T) {
	is := is.New(t)
	store, d := newThreeShardDaemon(t)
	o := newShardOwner(t, d, 0, 1)
	d.store = newRelayStore(d, &lostReplyStore{rowStore: store, afterCommit: o.stop})
	_, err := o.transferShare(t.Context(), shareRequest{To: 1, Team: limitedTeam, Wanted: 500})
	is.Equal(storedShares(t, store), []int{2834, 3833, 3333})
	is.True(IsKind(err, KindUnknown))
}

// Guards against owners that transfer shares at the same time and undo each other's changes.
func TestConcurrentShareTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, d := newThreeShardDaemon(t)
		owners := []*ownedShard{newShardOwner(t, d, 0, 1), newShardOwner(t, d, 1, 1), newShardOwner(t, d, 2, 1)}
		var transfers conc.WaitGroup
		for i, o := range owners {
			transfers.Go(func() {
				for range 5 {
					_, err := o.transferShare(t.Context(), shareRequest{To: (i + 1) % 3, Team: limitedTeam, Wanted: 100})
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		transfers.Wait()
		shares := storedShares(t, store)
		is.Equal(shares, []int{3334, 3333, 3333}) // each shard has transferred and received 500
	})
}

// transferWhenIdle transfers a share once no other change of the shares is in progress.
func transferWhenIdle(t *testing.T, o *ownedShard, r shareRequest) (shareReply, error) {
	t.Helper()
	for {
		reply, err := o.transferShare(t.Context(), r)
		if !IsKind(err, KindOverloaded) {
			return reply, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a share that is received, and takes effect in the scheduler only after a part of it was transferred to
// another shard. Both shards could use that part until the transfer is in the store.
func TestReceivedShareTakesEffectBeforeTransfer(t *testing.T) {
	for range 20 { // the order in which the control loop handles what waits for it is random
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			rows, d := newThreeShardDaemon(t)
			first, second := newShardOwner(t, d, 0, 1), newShardOwner(t, d, 1, 1)
			received, err := second.transferShare(t.Context(), shareRequest{To: 0, Team: limitedTeam, Wanted: 500})
			is.NoErr(err)
			is.Equal(received.Granted, 500)
			shareDuringCommit := 0
			d.store = newRelayStore(d, &hookStore{rowStore: rows, beforeCommit: func() {
				time.Sleep(retryDelay)
				is.NoErr(first.query(t.Context(), "test", func(s *pool.Scheduler) { shareDuringCommit = s.ReduceShare(limitedTeam, pool.WholeLimit, time.Now()) }))
			}})
			unblock := make(chan struct{})
			d.wg.Go(func() { _ = first.query(t.Context(), "test", func(*pool.Scheduler) { <-unblock }) })
			synctest.Wait()
			d.wg.Go(func() { first.applyShares(received.Shares, cluster.Version(received.Version)) })
			synctest.Wait()
			time.AfterFunc(retryDelay, func() { close(unblock) })
			transferred, err := transferWhenIdle(t, first, shareRequest{To: 2, Team: limitedTeam, Wanted: 1000})
			is.NoErr(err)
			is.Equal(transferred.Granted, 1000)
			is.Equal(shareDuringCommit, 2834) // 3334 + 500 - 1000
		})
	}
}

// Guards against a shard that loses a share that no shard has received, and transfers no other share, because the store
// refuses the row with the transfer.
func TestRefusedTransferRestoresShare(t *testing.T) {
	is := is.New(t)
	rows, d := newThreeShardDaemon(t)
	full := sharesRow{Epochs: make([]uint64, 3), ChangeNumbers: make([]uint64, 3), Teams: map[string][]int{}}
	// addTeams adds teams up to a number and returns the size of the row. Their names are as long as limitedTeam.
	addTeams := func(n int) int {
		for len(full.Teams) < n {
			full.Teams[fmt.Sprint(1000+len(full.Teams))] = []int{3334, 3333, 3333}
		}
		return len(must(encode("test", &full)))
	}
	size := addTeams(100)
	teamSize := (addTeams(200) - size) / 100
	size = addTeams(100 + (maxRowBytes-size)/teamSize)
	is.True(size <= maxRowBytes && size+teamSize > maxRowBytes)
	_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: sharesKey("s"), Value: must(encode("test", &full))}}})
	is.NoErr(err)
	d.store = newRelayStore(d, rowLimitStore{rows})
	o := newShardOwner(t, d, 0, 1)
	d.ownedShards[o.id] = o
	err = awaitReply(t, startCall(d, methodTransferShare, &shareRequest{Shard: o.id.String(), To: 1, Team: limitedTeam, Wanted: 1000}))
	is.True(err != nil)
	share := 0
	is.NoErr(o.query(t.Context(), "test", func(s *pool.Scheduler) { share = s.ReduceShare(limitedTeam, pool.WholeLimit, time.Now()) }))
	is.Equal(share, pool.EqualShare(0, 3))
	is.NoErr(o.ctx.Err())
}

// Guards against an owner that writes its shares again and again without a delay while the store is overloaded.
func TestThrottledSharesAreWrittenAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{commitDelay: time.Millisecond, commitErr: &platform.Error{Op: "test", Kind: platform.KindThrottled}}
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		d.layout.Store(&layoutRow{Shards: 3})
		d.wg.Go(func() { _, _ = newOwnedShard(d, testShard, 1, 1, time.Now(), time.Time{}).claimShares() })
		const duration = time.Second
		time.Sleep(duration)
		is.True(store.commits.Load() > 1)
		is.True(store.commits.Load() <= int64(duration/retryDelay))
	})
}

// Guards against a daemon that leaves without releasing its shards because each of them waits for a share of the other,
// which can't be transferred while a part of the store is down. Other daemons would claim them only after a delay.
func TestReleaseDuringShareTransfer(t *testing.T) {
	is := is.New(t)
	rows, d := newThreeShardDaemon(t)
	d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
	d.cfg.Reader = teamConfigReader{}
	d.applyConfig([]byte{1}, "test")
	var owners []*ownedShard
	for index := range 2 {
		id := shardID{Service: "s", Index: index}
		d.claim(id, ownership{})
		owners = append(owners, d.lookupShard(id))
		awaitTeam(t, owners[index], teamOfVersion(1))
	}
	key := sharesKey("s")
	rows.setPartsUnreachable(key[:len(key)-len(rowName(key))])
	for _, o := range owners {
		o.goroutines.Go(func() {
			o.requestShare(&pool.RequestShare{Team: teamOfVersion(1), Missing: 100, ReleaseTime: time.Now()})
		})
	}
	time.Sleep(2 * retryDelay) // until both write their transfer
	ctx, cancel := context.WithTimeout(t.Context(), replyLimit)
	defer cancel()
	d.Release(ctx)
	is.NoErr(ctx.Err())
	for _, o := range owners {
		owner, _, err := d.readOwner(t.Context(), ownerKey(o.id))
		is.NoErr(err)
		is.Equal(owner.Owner, "")
	}
}

// Guards against different shards that have the same name.
func TestShardNamesAreUnique(t *testing.T) {
	is := is.New(t)
	var names []string
	for _, id := range []shardID{{Service: "s"}, {Service: "s", Index: 3}, {Service: "s#3"}, {Service: "s#3", Index: 3}, {Service: "#"}} {
		is.Equal(parseShardID(id.String()), id)
		is.True(!slices.Contains(names, id.String()))
		names = append(names, id.String())
	}
}
