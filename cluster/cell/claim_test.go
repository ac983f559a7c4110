package cell

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// connectPeer connects a daemon to a new peer and waits for the peer's first message. handle gets the messages
// that the peer receives.
func connectPeer(t *testing.T, d *Daemon, other cluster.DaemonID, handle func(peer.Message)) *peer.Transport {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	remote := peer.New(peer.Config{
		Self: peer.Hello{From: other}, Listener: listener, Log: zerolog.Nop(),
		Handler: func(_ cluster.DaemonID, m peer.Message) { handle(m) },
	})
	t.Cleanup(remote.Close)
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.handleMessage, Digest: d.digest})
	t.Cleanup(d.transport.Close)
	d.transport.SetPeers([]peer.Peer{{ID: other, Addr: netip.MustParseAddrPort(listener.Addr().String())}})
	for d.transport.LastSeen(other).IsZero() {
		time.Sleep(time.Millisecond)
	}
	return remote
}

// Guards against a shard that is scheduled by a VM with few cores although a VM with more cores could own it.
func TestClaimIsDelayedForMemberWithMoreCores(t *testing.T) {
	for _, c := range []struct {
		name    string
		cores   float64
		leaving bool
		delayed bool
	}{
		{name: "more", cores: 0.8, delayed: true},
		{name: "same", cores: 0.2},
		{name: "less", cores: 0.1},
		{name: "more but leaving", cores: 0.8, leaving: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(t, &slowStore{})
			d.cfg.Cores = 0.2
			const other = cluster.DaemonID("other@1")
			connectPeer(t, d, other, func(peer.Message) {})
			d.mu.Lock()
			defer d.mu.Unlock()
			d.members["other"] = memberRow{ID: string(other), Cores: c.cores}
			d.digests[other] = peer.Digest{Draining: c.leaving}
			is.Equal(d.claimDelay() >= fewerCoresClaimDelay, c.delayed)
		})
	}
}

// Guards against a shard that goes to a VM with few cores after an outage of the store, because the time for which it
// leaves the shard to VMs with more cores passes while nobody can claim it.
func TestClaimDelayDoesNotPassWhileStoreIsAway(t *testing.T) {
	is := is.New(t)
	store := &slowStore{commitErr: &platform.Error{Op: "test", Kind: platform.KindConflict}}
	d := newTestDaemon(t, store)
	defer d.wg.Wait()
	defer d.stop()
	d.cfg.Cores = 0.2
	d.startedAt = time.Now().Add(-joinGrace)
	const other = cluster.DaemonID("other@1")
	connectPeer(t, d, other, func(peer.Message) {})
	d.members["other"] = memberRow{ID: string(other), Cores: 0.8}
	d.owners[testShard] = ownership{row: ownerRow{Epoch: 1}, version: 1}
	d.config.Store(&configState{snapshot: cluster.Assemble(1, []cluster.Entity{&cluster.Queue{Name: "queue", Service: testShard.Service}})})
	d.store.probe()
	is.True(d.store.reachable())

	d.wg.Go(d.claimLoop)
	time.Sleep(fewerCoresClaimDelay / 2)
	store.unavailable.Store(true)
	d.store.probe()
	is.True(!d.store.reachable())
	time.Sleep(fewerCoresClaimDelay)
	store.unavailable.Store(false)
	d.store.probe()
	is.True(d.store.reachable())
	time.Sleep(fewerCoresClaimDelay / 2)
	is.Equal(store.commits.Load(), int64(0)) // no claim
}

// hookStore calls beforeCommit before each transaction.
type hookStore struct {
	*rowStore
	beforeCommit func()
}

func (s *hookStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	s.beforeCommit()
	return s.rowStore.Commit(ctx, txn)
}

// Guards against a claim that counts requests of the previous owner as sent before the claim, although the previous
// owner stopped only while the claim was being written. The new owner would treat leases as expired too early.
func TestOwnerThatStopsDuringClaimCountsAsActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
		const previous = "other@1"
		d.members["other"] = memberRow{ID: previous}
		d.store = newRelayStore(d, &hookStore{rowStore: rows, beforeCommit: func() {
			time.Sleep(2 * time.Second) // a slow store
			d.mu.Lock()
			defer d.mu.Unlock()
			d.members["other"] = memberRow{ID: "other@2"}
		}})
		key := ownerKey(testShard)
		version, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: must(encode("test", &ownerRow{Owner: previous, Epoch: 1}))}}})
		is.NoErr(err)
		d.claim(testShard, ownership{row: ownerRow{Owner: previous, Epoch: 1}, version: version})
		owned := d.lookupShard(testShard)
		is.True(owned != nil)
		is.True(owned.previousOwnersActiveUntil.After(owned.ownedSince))
	})
}

// Guards against a claim whose slow write takes up the time for which an owner that does not respond may be active. That
// owner learns of the claim only after it is written.
func TestGraceOfPreviousOwnerFollowsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
		var writtenAt time.Time
		d.store = newRelayStore(d, &hookStore{rowStore: rows, beforeCommit: func() {
			if writtenAt.IsZero() {
				time.Sleep(2 * time.Second) // a slow store
				writtenAt = time.Now()
			}
		}})
		key := ownerKey(testShard)
		row := ownerRow{Owner: "other@1", Epoch: 1}
		version, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: must(encode("test", &row))}}})
		is.NoErr(err)
		d.claim(testShard, ownership{row: row, version: version})
		owned := d.lookupShard(testShard)
		is.True(owned != nil)
		is.True(!owned.previousOwnersActiveUntil.Before(writtenAt.Add(pool.PreviousOwnerGrace)))
	})
}

// Guards against a claim that counts requests of an earlier owner as sent before the claim: the last owner of the shard
// has stopped, but it owned the shard only for a moment, or its claim was written late and it never ran.
func TestEarlierOwnerCountsAsActive(t *testing.T) {
	const previous = "other@1"
	for _, c := range []struct {
		name string
		// owned leaves the shard with the owner row that the next claim finds.
		owned func(t *testing.T, d *Daemon, rows *rowStore)
	}{
		{
			name: "last owner released the shard",
			owned: func(t *testing.T, d *Daemon, _ *rowStore) {
				owned := d.lookupShard(testShard)
				time.Sleep(100 * time.Millisecond)
				owned.release(t.Context())
			},
		},
		{
			name: "last owner restarted",
			owned: func(_ *testing.T, d *Daemon, _ *rowStore) {
				owned := d.lookupShard(testShard)
				owned.endOwnership("test")
				<-owned.done
				d.cfg.Self = cluster.DaemonID(string(d.cfg.VM) + "@later")
				d.members[string(d.cfg.VM)] = memberRow{ID: string(d.cfg.Self)}
			},
		},
		{
			name: "claim of this daemon was confirmed late",
			owned: func(_ *testing.T, d *Daemon, _ *rowStore) {
				owned := d.lookupShard(testShard)
				owned.endOwnership("test")
				<-owned.done
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows, d := newStoreDaemon(t)
				d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
				key := ownerKey(testShard)
				_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: must(encode("test", &ownerRow{Owner: previous, Epoch: 1}))}}})
				is.NoErr(err)
				claim := func() *ownedShard {
					row, version, err := d.readOwner(t.Context(), key)
					is.NoErr(err)
					d.claim(testShard, ownership{row: row, version: version, seenAt: time.Now()})
					return d.lookupShard(testShard)
				}
				first := claim() // the previous owner does not respond
				is.True(first != nil)
				activeUntil := first.previousOwnersActiveUntil
				c.owned(t, d, rows)
				second := claim()
				is.True(second != nil)
				is.True(!second.previousOwnersActiveUntil.Before(activeUntil))
			})
		})
	}
}

// Guards against a takeover that waits for an owner which has stopped.
func TestStoppedOwnerCountsAsInactive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newStoreDaemon(t)
		d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
		d.claim(testShard, ownership{})
		owned := d.lookupShard(testShard)
		is.True(owned != nil)
		is.True(!owned.previousOwnersActiveUntil.After(owned.ownedSince))
		time.Sleep(time.Second)
		owned.release(t.Context())
		row, version, err := d.readOwner(t.Context(), ownerKey(testShard))
		is.NoErr(err)
		d.claim(testShard, ownership{row: row, version: version, seenAt: time.Now()})
		owned = d.lookupShard(testShard)
		is.True(!owned.previousOwnersActiveUntil.After(owned.ownedSince))
	})
}

// Guards against a pool that nobody schedules while the store does not answer, because its owner is stopped in that time
// and ends its work although no other daemon can claim the shard.
func TestStoppedOwnerWaitsForStore(t *testing.T) {
	const gracePeriod = 6 * time.Second
	part := cellTable + testShard.String() + "/"
	for _, c := range []struct {
		name     string
		outage   time.Duration
		released bool
	}{
		{name: "short outage", outage: 3 * time.Second, released: true},
		{name: "outage longer than the grace period", outage: time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows, d := newStoreDaemon(t)
				d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
				d.claim(testShard, ownership{})
				owned := d.lookupShard(testShard)
				time.Sleep(time.Second)
				rows.setPartsUnreachable(part)
				stoppedAt := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), gracePeriod)
				defer cancel()
				returned := make(chan struct{})
				go func() {
					defer close(returned)
					d.Release(ctx)
				}()
				time.Sleep(min(c.outage, gracePeriod/2) - time.Millisecond)
				is.NoErr(owned.ctx.Err()) // it still schedules
				if c.released {
					rows.setPartsUnreachable()
				}
				<-returned
				is.True(owned.ctx.Err() != nil)
				is.True(time.Since(stoppedAt) < gracePeriod)
				rows.setPartsUnreachable()
				row, _, err := d.readOwner(t.Context(), ownerKey(testShard))
				is.NoErr(err)
				is.Equal(row.Owner == "", c.released)
			})
		})
	}
}

// Guards against a claim that counts requests of an earlier owner as sent before the claim, because the owners between them
// owned the shard only for a moment and did not pass on that it may be active.
func TestEarlierOwnerCountsAsActiveForEachLaterOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, d := newStoreDaemon(t)
		d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
		key := ownerKey(testShard)
		_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: must(encode("test", &ownerRow{Owner: "other@1", Epoch: 1}))}}})
		is.NoErr(err)
		var activeUntil time.Time
		for i := range 3 {
			row, version, err := d.readOwner(t.Context(), key)
			is.NoErr(err)
			d.claim(testShard, ownership{row: row, version: version, seenAt: time.Now()})
			owned := d.lookupShard(testShard)
			is.True(owned != nil)
			if i == 0 {
				activeUntil = owned.previousOwnersActiveUntil
			}
			is.True(!owned.previousOwnersActiveUntil.Before(activeUntil))
			time.Sleep(100 * time.Millisecond)
			owned.release(t.Context())
		}
	})
}
