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

// storeView returns a view of the member rows of a table.
func storeView(t *fakeTable, sinceVersion cluster.Version) view {
	rows := t.selectRows(platform.ReadRequest{Prefixes: []string{member.Prefix}, SinceVersion: sinceVersion})
	return view{sinceVersion: sinceVersion, asOf: t.version, rows: rows}
}

// sameRows reports whether a replica holds the member rows of a table.
func sameRows(r *replica, t *fakeTable) bool {
	want := storeView(t, 0).rows
	got := r.changesSince(0).rows
	slices.SortFunc(want, compareRowVersions)
	return slices.EqualFunc(got, want, func(a, b platform.Row) bool { return a.Key == b.Key && a.Version == b.Version })
}

// Guards against a replica that differs from the store after it applied old,
// repeated, full and partial views in any order, for example a replica that holds
// a deleted row again.
func TestReplicaMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFakeTable()
		replicas := []*replica{newReplica(), newReplica(), newReplica()}
		var earlierViews []view
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := member.Key(cluster.DaemonID(fmt.Sprint("d", rapid.IntRange(0, 5).Draw(t, "row"))))
			if _, ok := table.rows[key]; ok && rapid.Bool().Draw(t, "delete") {
				table.commit(platform.Txn{Deletes: []string{key}})
			} else {
				table.commit(platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte("x")}}})
			}
			r := rapid.SampledFrom(replicas).Draw(t, "replica")
			var v view
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				v = storeView(table, r.asOf)
			case 1:
				v = storeView(table, 0)
			case 2:
				v = rapid.SampledFrom(replicas).Draw(t, "relay").changesSince(r.asOf)
			case 3:
				if len(earlierViews) == 0 {
					continue
				}
				v = rapid.SampledFrom(earlierViews).Draw(t, "late")
			}
			earlierViews = append(earlierViews, v)
			previous := r.asOf
			if r.canApply(v) {
				r.apply(v)
			}
			if r.asOf < previous {
				t.Fatalf("the replica reverted from commit %d to %d", previous, r.asOf)
			}
			if r.asOf == table.version && !sameRows(r, table) {
				t.Fatalf("the replica holds %v, the store holds %v", r.changesSince(0).rows, storeView(table, 0).rows)
			}
		}
	})
}

// Guards against memory that grows with the number of rows ever deleted, and
// against sending a lagging peer changes that lack dropped tombstones.
func TestDroppedTombstonesRequireFullState(t *testing.T) {
	is := is.New(t)
	table, r := newFakeTable(), newReplica()
	for i := range 3 * maxTombstones {
		key := member.Key(cluster.DaemonID(fmt.Sprint("d", i)))
		table.commit(platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte("x")}}})
		r.apply(storeView(table, r.asOf))
		table.commit(platform.Txn{Deletes: []string{key}})
		r.apply(storeView(table, r.asOf))
	}
	is.True(len(r.tombstones) <= maxTombstones)
	is.Equal(r.changesSince(1).sinceVersion, cluster.Version(0))
	is.Equal(r.changesSince(r.asOf-1).sinceVersion, r.asOf-1)
}

// noPeers discards all messages.
type noPeers struct{}

func (noPeers) Send(cluster.DaemonID, peer.Message) bool { return true }

// newLoadedRollout returns a Rollout whose configuration was just confirmed.
func newLoadedRollout(now func() time.Time, onViolation func(string), texts ...string) *Rollout {
	members := member.NewTable(member.TableConfig{Self: "a", Now: now, LastSeen: func(cluster.DaemonID) time.Time { return time.Time{} }})
	r := New(Config{Self: "a", Members: members, Peers: noPeers{}, Clock: now, Invariants: invariant.New(invariant.Config{OnViolation: onViolation})})
	s := cluster.Assemble(0, nil)
	for _, text := range texts {
		n, err := note.Parse("note.yaml", []byte(text))
		if err != nil {
			panic(err)
		}
		s = n.ApplyTo(s, 1)
	}
	r.freshness.apply(&viewApplied{version: 1, members: []cluster.DaemonID{"a", "b"}})
	r.freshness.apply(&storeConfirmed{at: now()})
	r.published.Store(&published{snapshot: s, decision: r.freshness.decide(now())})
	return r
}

// Guards against refusals of the wrong kind, which make callers give up instead
// of retrying, and against honouring keys after ConfirmationTTL.
func TestAuthorizeKinds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other := fmt.Sprintf("summary: s\nadd:\n  teams: [{name: audit, share: 1, limit: {cpus: 1, memory: 1GiB}}]\n"+
		"  keys: [{name: k2, team: audit, hash: %x}]\n", sha256.Sum256([]byte("k2")))
	r := newLoadedRollout(func() time.Time { return now }, func(m string) { t.Error(m) }, firstNote, keyNote("add", "k1"), other)
	expectRefused := func(secret string, queue cluster.QueueName, kind Kind) {
		t.Helper()
		_, err := r.Authorize(secret, queue)
		is.True(IsKind(err, kind))
	}
	team, err := r.Authorize("k1", "tills")
	is.NoErr(err)
	is.Equal(team, cluster.TeamName("growers"))
	expectRefused("k2", "tills", KindWrongTeam)
	expectRefused("", "tills", KindUnknownKey)
	expectRefused("k3", "tills", KindUnknownKey)
	expectRefused("k1", "nowhere", KindUnknownQueue)
	now = now.Add(ConfirmationTTL + time.Millisecond)
	expectRefused("k1", "tills", KindStale)
	expectRefused("k3", "tills", KindStale) // the key may have been added since
	expectRefused("k1", "nowhere", KindStale)
	team, err = r.Authorize("", "prices")
	is.NoErr(err) // open queues need no key
	is.Equal(team, cluster.TeamName("growers"))
}

// Guards against an undetected revert of the head: a store that was reset to an
// older state must not bring withdrawn keys into force again.
func TestRevertedHeadIsRefused(t *testing.T) {
	is := is.New(t)
	violations := 0
	r := newLoadedRollout(time.Now, func(string) { violations++ })
	head := func(v int) platform.Row {
		return platform.Row{Key: note.HeadKey, Version: cluster.Version(10 + v), Value: note.EncodeHead(note.Head{Version: cluster.Version(v)})}
	}
	is.True(r.applyView(view{asOf: 15, rows: []platform.Row{head(5)}}, time.Time{}, time.Now()))
	is.True(!r.applyView(view{asOf: 20, rows: []platform.Row{head(4)}}, time.Now(), time.Now()))
	is.True(!r.applyView(view{asOf: 21}, time.Now(), time.Now())) // the head row is missing
	is.Equal(violations, 2)
	is.Equal(r.Status().Version, cluster.Version(5))
}

// Guards against a snapshot that ignores a lowered limit or a withdrawn key of an
// overdue note, and against a limit lowered by a note that is refused at once.
func TestOverdueNoteIsTreatedAsAccepted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newLoadedRollout(func() time.Time { return now }, nil)
	for _, text := range []string{firstNote, keyNote("add", "k1")} {
		n, err := note.Parse("n", []byte(text))
		is.NoErr(err)
		for _, e := range n.Add {
			r.replica.entities[note.EntityKey(cluster.Identify(e))] = e
		}
	}
	overdue, err := note.Parse("n", []byte("summary: s\nwithdraw: {keys: [k1]}\nchange: {teams: [{name: growers, share: 1, limit: {cpus: 40, memory: 200GiB}}]}\n"))
	is.NoErr(err)
	r.addUnconfirmedNote(note.Request{ID: "r", Note: overdue})
	r.tick(t.Context())
	is.Equal(len(r.Status().OverdueEntities), 0) // within commitGrace
	now = now.Add(commitGrace + time.Millisecond)
	r.mu.Lock()
	r.publish(now, r.markOverdueNotes(now))
	r.mu.Unlock()
	s := r.Snapshot()
	is.Equal(len(s.Keys)+len(s.KeysByHash), 0)
	is.Equal(s.Teams["growers"].Limit, cluster.Resources{CPU: 40 * cluster.Core, Memory: 100 * cluster.GiB})
	_, err = r.Authorize("k1", "tills")
	is.True(IsKind(err, KindStale))
	r.finishUnconfirmedNote("r", note.Result{}, &note.Error{Kind: note.KindConflict})
	is.Equal(len(r.Snapshot().Keys), 1)
}

// Guards against not detecting that a key was honoured too long after its withdrawal.
func TestLateUseOfWithdrawnKeyIsViolation(t *testing.T) {
	is := is.New(t)
	for delay, want := range map[time.Duration]int{maxWithdrawalDelay: 0, maxWithdrawalDelay + clockSkew + time.Second: 1} {
		violations := 0
		now := time.Now()
		r := newLoadedRollout(func() time.Time { return now }, func(string) { violations++ }, firstNote, keyNote("add", "k1"))
		_, err := r.Authorize("k1", "tills")
		is.NoErr(err)
		value := note.EncodeHead(note.Head{Version: 2, Time: now.Add(-delay)})
		r.applyView(view{asOf: 9, rows: []platform.Row{{Key: note.HeadKey, Version: 9, Value: value}}}, now, now)
		is.Equal(violations, want)
	}
}

// Guards against a confirmation that is dated later than the state it confirms:
// the result of a read or a poll is dated by its request, and an unsolicited push
// confirms nothing.
func TestConfirmationsAreDatedByTheRequest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newLoadedRollout(func() time.Time { return now }, func(m string) { t.Error(m) })
	start := now
	firstPoll := r.newPoll("b", now).message.(*peer.ConfigPoll)
	now = now.Add(3 * time.Second)
	r.HandlePeer("b", &peer.ConfigPush{AsOf: 5})
	is.Equal(r.Status().ConfirmedAt, start) // unsolicited
	r.HandlePeer("b", &peer.ConfigPush{PollSequence: firstPoll.Sequence + 1, AsOf: 5})
	is.Equal(r.Status().ConfirmedAt, start) // no such poll
	r.finishRead(view{asOf: 6}, start.Add(time.Second), nil)
	is.Equal(r.Status().ConfirmedAt, start.Add(time.Second))
	secondPoll := r.newPoll("b", now).message.(*peer.ConfigPoll)
	now = now.Add(time.Second)
	r.HandlePeer("b", &peer.ConfigPush{PollSequence: secondPoll.Sequence, AsOf: 6, Age: 500 * time.Millisecond})
	is.Equal(r.Status().ConfirmedAt, start.Add(2500*time.Millisecond))
}

// slowApplier is an applier that refuses every note after a delay, with or
// without sending a commit.
type slowApplier struct{ sendsCommit bool }

func (s slowApplier) Apply(_ context.Context, req note.Request) (note.Result, error) {
	if s.sendsCommit {
		req.BeforeCommit()
	}
	time.Sleep(5 * commitGrace)
	return note.Result{}, &note.Error{Kind: note.KindConflict}
}

// Guards against a note that becomes overdue before its commit is sent: a note
// that is still being validated may be refused and must not lower limits.
func TestNoteIsUnconfirmedOnlyOnceSent(t *testing.T) {
	for _, sendsCommit := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newLoadedRollout(time.Now, nil)
			defer r.Close()
			r.freshness.acknowledged = true
			n, err := note.Parse("n", []byte(keyNote("withdraw", "k1")))
			is.NoErr(err)
			go func() {
				_, _ = r.Guard(slowApplier{sendsCommit}).Apply(context.Background(), note.Request{ID: "r", Note: n})
			}()
			time.Sleep(2 * commitGrace)
			r.mu.Lock()
			r.publish(time.Now(), r.markOverdueNotes(time.Now()))
			r.mu.Unlock()
			is.Equal(len(r.Status().OverdueEntities) > 0, sendsCommit)
			time.Sleep(5 * commitGrace)
			is.Equal(len(r.Status().OverdueEntities), 0)
		})
	}
}
