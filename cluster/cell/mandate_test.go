package cell

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// newOwner returns a daemon that owns the shard, its store, and a function that returns how often the owner was suspended.
// The member "other" has never been heard.
func newOwner(t *testing.T) (*rowStore, *Daemon, func() int64) {
	t.Helper()
	rows, d := newStoreDaemon(t)
	scope := tally.NewTestScope("", nil)
	d.cfg.Metrics = scope
	d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
	d.members["other"] = memberRow{ID: "other@1"}
	d.claim(testShard, ownership{})
	if d.lookupShard(testShard) == nil {
		t.Fatal("the shard is not claimed")
	}
	return rows, d, func() int64 {
		if c, ok := scope.Snapshot().Counters()["owner_suspensions_total+"]; ok {
			return c.Value()
		}
		return 0
	}
}

// Guards against an owner that goes on although it reaches neither the store nor a daemon that may have claimed its shard.
func TestOwnerWithoutStoreAndPeersIsSuspended(t *testing.T) {
	for _, c := range []struct {
		name  string
		store bool
		// hears means that the other daemon hears the owner.
		hears     bool
		suspended bool
	}{
		{name: "cut off", suspended: true},
		{name: "the other daemon is silent", store: true},
		{name: "the store is away", hears: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows, d, suspensions := newOwner(t)
				if !c.store {
					rows.setPartsUnreachable(cellTable + testShard.String() + "/")
				}
				for range 30 {
					time.Sleep(peer.PingInterval)
					if c.hears {
						d.handleMessage("other@1", &peer.Ping{AsOf: time.Now().Add(-peer.PingInterval)})
					}
				}
				is.Equal(suspensions() > 0, c.suspended)
				is.True(d.lookupShard(testShard) != nil) // it still owns the shard
			})
		})
	}
}

// Guards against a previous owner that hears its successor, but not the store, and goes on because of that.
func TestClaimEndsOwnershipOfConnectedOwner(t *testing.T) {
	for _, c := range []struct {
		name  string
		epoch uint64
		ends  bool
	}{{"later claim", 2, true}, {"own claim", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, d, _ := newOwner(t)
				body, err := encode("test", &claimAnnouncement{Shard: testShard.String(), Epoch: c.epoch})
				is.NoErr(err)
				d.handleMessage("other@1", &peer.Call{ID: noReplyID, Method: methodAnnounceClaim, Body: body})
				synctest.Wait()
				is.Equal(d.lookupShard(testShard) == nil, c.ends)
			})
		})
	}
}

// Guards against a claimant that counts the previous owner as stopped too early: that owner has heard the claimant again
// while the claim was written, and counts on not being replaced.
func TestOwnerHeardDuringClaimCountsAsActiveLonger(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	const previous = cluster.DaemonID("other@1")
	connectPeer(t, d, previous, func(peer.Message) {})
	o := ownership{row: ownerRow{Owner: string(previous), Epoch: 1}}
	is.Equal(d.previousOwnerGrace(o, time.Now()), pool.PreviousOwnerGrace+peerTimeout)
	is.Equal(d.previousOwnerGrace(o, time.Now().Add(2*peerTimeout)), pool.PreviousOwnerGrace)
	is.Equal(d.previousOwnerGrace(ownership{row: ownerRow{Owner: "unknown@1"}}, time.Now()), pool.PreviousOwnerGrace)
}

// Guards against an owner without the store that has no daemon to read and write through, because it knows only the
// identifiers of processes that have been replaced meanwhile.
func TestRestartedDaemonRelaysForDaemonWithoutStore(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	const present = cluster.DaemonID("other@2")
	connectPeer(t, d, present, func(peer.Message) {})
	d.mu.Lock()
	d.members["other"] = memberRow{ID: "other@1"}
	d.mu.Unlock()
	d.handleMessage(present, &peer.Ping{Digest: peer.Digest{StoreVisible: true}})
	is.Equal(d.relayDaemons(), []cluster.DaemonID{present})
	d.handleMessage(present, &peer.Ping{})
	is.Equal(len(d.relayDaemons()), 0) // it does not reach the store either
}

// Guards against an owner whose mandate has ended and that still renews leases for the other events of the same step.
func TestEndOfMandateComesBeforeOtherEvents(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	d.members["other"] = memberRow{ID: "other@1"}
	now := time.Now()
	o := newOwnedShard(d, testShard, 1, 1, now, now)
	other := &pool.JobCancelled{}
	is.Equal(o.prependMandate([]pool.Event{other}, now), []pool.Event{other})
	is.Equal(o.prependMandate([]pool.Event{other}, now.Add(time.Minute)), []pool.Event{&pool.MandateChanged{}, other})
	is.Equal(o.prependMandate([]pool.Event{other}, now.Add(time.Minute)), []pool.Event{other})
}

// Guards against an owner that does not count on a claim of a daemon that stands in for the candidates of a large cell, as
// it doesn't read its row.
func TestStandInsAreClaimantsWhileFewCandidatesRespond(t *testing.T) {
	is := is.New(t)
	_, d := newStoreDaemon(t)
	d.members = memberRows(300)
	d.heard["other"] = pool.HeardSpan{}.Extend(time.Now())
	is.True(slices.ContainsFunc(d.claimants(), func(c pool.Claimant) bool { return c.VM == "other" }))
}
