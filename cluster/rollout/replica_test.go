package rollout

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

func storeView(t *table, since cluster.Version) view {
	rows := t.matching(platform.ReadRequest{Prefixes: []string{member.Prefix}, SinceVersion: since})
	return view{since: since, asOf: t.version, rows: rows}
}

func sameRows(r *replica, t *table) bool {
	want := storeView(t, 0).rows
	got := r.changes(0).rows
	slices.SortFunc(want, byVersion)
	return slices.EqualFunc(got, want, func(a, b platform.Row) bool { return a.Key == b.Key && a.Version == b.Version })
}

// Guards against a replica that differs from the store after old, repeated,
// whole and partial views in any order, for example with a deleted row back.
func TestReplicaFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := newTable()
		replicas := []*replica{newReplica(), newReplica(), newReplica()}
		var kept []view
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := member.Key(cluster.DaemonID(fmt.Sprint("d", rapid.IntRange(0, 5).Draw(t, "row"))))
			if _, ok := tab.rows[key]; ok && rapid.Bool().Draw(t, "delete") {
				tab.commit(platform.Txn{Deletes: []string{key}})
			} else {
				tab.commit(platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte("x")}}})
			}
			r := rapid.SampledFrom(replicas).Draw(t, "replica")
			var v view
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				v = storeView(tab, r.asOf)
			case 1:
				v = storeView(tab, 0)
			case 2:
				v = rapid.SampledFrom(replicas).Draw(t, "relay").changes(r.asOf)
			case 3:
				if len(kept) == 0 {
					continue
				}
				v = rapid.SampledFrom(kept).Draw(t, "late")
			}
			kept = append(kept, v)
			before := r.asOf
			if r.fits(v) {
				r.apply(v)
			}
			if r.asOf < before {
				t.Fatalf("the replica went back from commit %d to %d", before, r.asOf)
			}
			if r.asOf == tab.version && !sameRows(r, tab) {
				t.Fatalf("replica holds %v, the store %v", r.changes(0).rows, storeView(tab, 0).rows)
			}
		}
	})
}

// Guards against memory that grows with the rows ever deleted, and against a
// peer far behind that gets changes without the deletions forgotten.
func TestForgottenDeletionsGiveTheWholeState(t *testing.T) {
	is := is.New(t)
	tab, r := newTable(), newReplica()
	for i := range 3 * maxTombstones {
		key := member.Key(cluster.DaemonID(fmt.Sprint("d", i)))
		tab.commit(platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte("x")}}})
		r.apply(storeView(tab, r.asOf))
		tab.commit(platform.Txn{Deletes: []string{key}})
		r.apply(storeView(tab, r.asOf))
	}
	is.True(len(r.deleted) <= maxTombstones)
	is.Equal(r.changes(1).since, cluster.Version(0))
	is.Equal(r.changes(r.asOf-1).since, r.asOf-1)
}

type noPeers struct{}

func (noPeers) Send(cluster.DaemonID, peer.Message) bool { return true }

// loaded returns a rollout whose configuration was just confirmed.
func loaded(now func() time.Time, violated func(string), texts ...string) *Rollout {
	members := member.NewTable(member.TableConfig{Self: "a", Now: now, LastHeard: func(cluster.DaemonID) time.Time { return time.Time{} }})
	r := New(Config{Self: "a", Members: members, Peers: noPeers{}, Clock: now, Invariants: invariant.New(invariant.Config{Fail: violated})})
	s := cluster.Assemble(0, nil)
	for _, text := range texts {
		n, err := note.Parse("note.yaml", []byte(text))
		if err != nil {
			panic(err)
		}
		s = n.After(s, 1)
	}
	r.fresh.apply(&viewApplied{version: 1, members: []cluster.DaemonID{"a", "b"}})
	r.fresh.apply(&confirmedByStore{at: now()})
	r.published.Store(&published{snapshot: s, decision: r.fresh.decide(now())})
	return r
}

// Guards against a refusal of the wrong kind, which tells the caller not to
// retry, and against keyed work after the bound.
func TestAuthorizeKinds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other := fmt.Sprintf("summary: s\nadd:\n  teams: [{name: audit, share: 1, limit: {cpus: 1, memory: 1GiB}}]\n"+
		"  keys: [{name: k2, team: audit, hash: %x}]\n", sha256.Sum256([]byte("k2")))
	r := loaded(func() time.Time { return now }, func(m string) { t.Error(m) }, firstNote, keyNote("add", "k1"), other)
	refused := func(secret string, queue cluster.QueueName, kind Kind) {
		t.Helper()
		_, err := r.Authorize(secret, queue)
		is.True(IsKind(err, kind))
	}
	team, err := r.Authorize("k1", "tills")
	is.NoErr(err)
	is.Equal(team, cluster.TeamName("growers"))
	refused("k2", "tills", KindWrongTeam)
	refused("", "tills", KindUnknownKey)
	refused("k3", "tills", KindUnknownKey)
	refused("k1", "nowhere", KindUnknownQueue)
	now = now.Add(Bound + time.Millisecond)
	refused("k1", "tills", KindStale)
	refused("k3", "tills", KindStale) // it may have been added since
	refused("k1", "nowhere", KindStale)
	team, err = r.Authorize("", "prices")
	is.NoErr(err) // open queues are always served
	is.Equal(team, cluster.TeamName("growers"))
}

// Guards against a head that reverts without being noticed: a store that was
// set back must not bring withdrawn keys into force again.
func TestHeadThatRevertsIsRefused(t *testing.T) {
	is := is.New(t)
	violations := 0
	r := loaded(time.Now, func(string) { violations++ })
	head := func(v int) platform.Row {
		return platform.Row{Key: note.HeadKey, Version: cluster.Version(10 + v), Value: note.EncodeHead(note.Head{Version: cluster.Version(v)})}
	}
	is.True(r.takeView(view{asOf: 15, rows: []platform.Row{head(5)}}, time.Time{}, time.Now()))
	is.True(!r.takeView(view{asOf: 20, rows: []platform.Row{head(4)}}, time.Now(), time.Now()))
	is.True(!r.takeView(view{asOf: 21}, time.Now(), time.Now())) // no head at all
	is.Equal(violations, 2)
	is.Equal(r.Status().Version, cluster.Version(5))
}

// Guards against a snapshot in which a lowered limit or a changed key of a
// doubtful note does not count, and against a limit lowered by a note that is refused at once.
func TestDoubtfulNoteCountsAsAccepted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := loaded(func() time.Time { return now }, nil)
	for _, text := range []string{firstNote, keyNote("add", "k1")} {
		n, err := note.Parse("n", []byte(text))
		is.NoErr(err)
		for _, e := range n.Add {
			r.replica.entities[note.EntityKey(cluster.Identify(e))] = e
		}
	}
	doubtful, err := note.Parse("n", []byte("summary: s\nwithdraw: {keys: [k1]}\nchange: {teams: [{name: growers, share: 1, limit: {cpus: 40, memory: 200GiB}}]}\n"))
	is.NoErr(err)
	r.beginDoubt(note.Request{ID: "r", Note: doubtful})
	r.tick(t.Context())
	is.Equal(len(r.Status().Doubtful), 0) // within the grace
	now = now.Add(doubtGrace + time.Millisecond)
	r.mu.Lock()
	r.publish(now, r.ageDoubts(now))
	r.mu.Unlock()
	s := r.Snapshot()
	is.Equal(len(s.Keys)+len(s.KeysBy), 0)
	is.Equal(s.Teams["growers"].Limit, cluster.Resources{CPU: 40 * cluster.Core, Memory: 100 * cluster.GiB})
	_, err = r.Authorize("k1", "tills")
	is.True(IsKind(err, KindStale))
	r.endDoubt("r", note.Result{}, &note.Error{Kind: note.KindConflict})
	is.Equal(len(r.Snapshot().Keys), 1)
}

// Guards against a key honoured too long after its withdrawal that nobody notices.
func TestLateUseOfAWithdrawnKeyIsAViolation(t *testing.T) {
	is := is.New(t)
	for late, want := range map[time.Duration]int{withdrawnLimit: 0, withdrawnLimit + clockSkew + time.Second: 1} {
		violations := 0
		now := time.Now()
		r := loaded(func() time.Time { return now }, func(string) { violations++ }, firstNote, keyNote("add", "k1"))
		_, err := r.Authorize("k1", "tills")
		is.NoErr(err)
		value := note.EncodeHead(note.Head{Version: 2, Time: now.Add(-late)})
		r.takeView(view{asOf: 9, rows: []platform.Row{{Key: note.HeadKey, Version: 9, Value: value}}}, now, now)
		is.Equal(violations, want)
	}
}

// Guards against a confirmation that is dated later than the state it is about:
// a read and an answer are dated by their request, a push by nothing.
func TestConfirmationsAreDatedByTheRequest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := loaded(func() time.Time { return now }, func(m string) { t.Error(m) })
	start := now
	poll := r.poll("b", now).m.(*peer.ConfigPoll)
	now = now.Add(3 * time.Second)
	r.HandlePeer("b", &peer.ConfigPush{AsOf: 5})
	is.Equal(r.Status().Confirmed, start) // unsolicited
	r.HandlePeer("b", &peer.ConfigPush{Answer: poll.Sequence + 1, AsOf: 5})
	is.Equal(r.Status().Confirmed, start) // no such poll
	r.finishRead(view{asOf: 6}, start.Add(time.Second), nil)
	is.Equal(r.Status().Confirmed, start.Add(time.Second))
	late := r.poll("b", now).m.(*peer.ConfigPoll)
	now = now.Add(time.Second)
	r.HandlePeer("b", &peer.ConfigPush{Answer: late.Sequence, AsOf: 6, Age: 500 * time.Millisecond})
	is.Equal(r.Status().Confirmed, start.Add(2500*time.Millisecond))
}

type slowApplier struct{ sent bool }

func (s slowApplier) Apply(_ context.Context, req note.Request) (note.Result, error) {
	if s.sent {
		req.Sent()
	}
	time.Sleep(5 * doubtGrace)
	return note.Result{}, &note.Error{Kind: note.KindConflict}
}

// Guards against a note that lowers limits while it is only being checked, which
// would stop work for a note that is refused.
func TestNoteIsDoubtfulOnlyOnceSent(t *testing.T) {
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := loaded(time.Now, nil)
			defer r.Close()
			r.fresh.acknowledged = true
			n, err := note.Parse("n", []byte(keyNote("withdraw", "k1")))
			is.NoErr(err)
			go func() { _, _ = r.Guard(slowApplier{sent}).Apply(context.Background(), note.Request{ID: "r", Note: n}) }()
			time.Sleep(2 * doubtGrace)
			r.mu.Lock()
			r.publish(time.Now(), r.ageDoubts(time.Now()))
			r.mu.Unlock()
			is.Equal(len(r.Status().Doubtful) > 0, sent)
			time.Sleep(5 * doubtGrace)
			is.Equal(len(r.Status().Doubtful), 0)
		})
	}
}
