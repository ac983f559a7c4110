package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// fakeStore is a table service in memory with injected faults.
type fakeStore struct {
	mu      sync.Mutex
	version cluster.Version
	rows    map[string]platform.Row
	// nextFault returns the fault of the next call; nil means no faults. A read
	// fails only with storeDown.
	nextFault   func() fault
	commitCalls int
	// delayed holds transactions whose reply was lost and that applyDelayed applies later.
	delayed []platform.Txn
}

// fault is what happens to a call of the fake store.
type fault int

const (
	noFault fault = iota
	// storeDown fails the call without applying the transaction.
	storeDown
	// replyLostApplied, replyLostNotApplied and replyLostDelayed lose the reply
	// of a transaction that is applied, is not applied or is applied later.
	replyLostApplied
	replyLostNotApplied
	replyLostDelayed
	// throttled refuses the transaction because of the rate limit.
	throttled
)

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]platform.Row{}} }

func (s *fakeStore) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault != nil && s.nextFault() == storeDown {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable}
	}
	reply := platform.ReadReply{AsOf: s.version}
	for _, key := range req.Keys {
		if row, ok := s.rows[key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply, nil
}

func (s *fakeStore) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitCalls++
	f := noFault
	if s.nextFault != nil {
		f = s.nextFault()
	}
	unknown := &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	switch f {
	case storeDown:
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnavailable}
	case throttled:
		return 0, &platform.Error{Op: "commit", Kind: platform.KindThrottled}
	case replyLostNotApplied:
		return 0, unknown
	case replyLostDelayed:
		s.delayed = append(s.delayed, txn)
		return 0, unknown
	}
	version, err := s.apply(txn)
	if f == replyLostApplied {
		return 0, unknown
	}
	return version, err
}

func (s *fakeStore) apply(txn platform.Txn) (cluster.Version, error) {
	for _, c := range txn.Checks {
		if s.rows[c.Key].Version != c.Version {
			return 0, &platform.Error{Op: "commit", Kind: platform.KindConflict, Key: c.Key}
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

// applyDelayed applies the delayed transactions, as if they had been delayed in the network.
func (s *fakeStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		_, _ = s.apply(txn)
	}
	s.delayed = nil
}

// put returns a change that writes a row without checks.
func put(key, value string) Change {
	return Change{Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}

// insert returns a change that writes a row and checks that it does not exist.
func insert(key, value string) Change {
	c := put(key, value)
	c.Checks = []platform.Check{{Key: key}}
	return c
}

// Guards against one transaction per change, which would exceed the store's write limit.
func TestConcurrentChangesShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				_, err := j.Commit(t.Context(), insert(fmt.Sprintf("a/%d", i), "x"))
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.Equal(s.commitCalls, 1)
		is.Equal(len(s.rows), 101)
	})
}

// Guards against a conflict of one change failing the other changes of its transaction.
func TestConflictFailsOnlyItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		_, err := j.Commit(t.Context(), insert("a", "1"))
		is.NoErr(err)
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := j.Commit(t.Context(), insert("a", "2"))
			is.True(IsKind(err, KindConflict))
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Key, "a")
		})
		wg.Go(func() {
			_, err := j.Commit(t.Context(), insert("b", "2"))
			is.NoErr(err)
		})
		wg.Wait()
		is.Equal(string(s.rows["a"].Value), "1")
		is.Equal(string(s.rows["b"].Value), "2")
	})
}

// Guards against reporting a wrong result when the reply to a commit is lost or
// the transaction reaches the store after the journal has reported it as failed.
func TestLostReplies(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  []fault
		applied bool
	}{
		{"applied", []fault{replyLostApplied}, true},
		{"not applied", []fault{replyLostNotApplied}, false},
		{"delayed on the way", []fault{replyLostDelayed}, false},
		{"applied, then store down", []fault{replyLostApplied, storeDown, storeDown, storeDown}, true},
		{"not applied, then invalidation lost too", []fault{replyLostNotApplied, noFault, replyLostApplied}, false},
		{"store down", []fault{storeDown}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFakeStore()
				script := tc.faults
				s.nextFault = func() fault {
					if len(script) == 0 {
						return noFault
					}
					f := script[0]
					script = script[1:]
					return f
				}
				j := New(Config{Store: s, Writer: "d1"})
				defer j.Close()
				_, err := j.Commit(t.Context(), insert("a", "1"))
				s.applyDelayed()
				is.Equal(err == nil, tc.applied)
				if !tc.applied {
					is.True(IsKind(err, KindUnavailable))
				}
				_, present := s.rows["a"]
				is.Equal(present, tc.applied)
				is.True(!j.IsUnresolved("a"))
				_, err = j.Commit(t.Context(), put("b", "2"))
				is.NoErr(err)
			})
		})
	}
}

// Guards against a row that may have been written being treated as unwritten
// while the result of its commit is unknown.
func TestRowsAreUnresolvedWhileTheResultIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		calls := 0
		s.nextFault = func() fault {
			calls++
			switch {
			case calls == 1:
				return replyLostApplied
			case calls < 6:
				return storeDown
			}
			return noFault
		}
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := j.Commit(ctx, insert("a", "1"))
		is.True(IsKind(err, KindUnknown))
		is.True(j.IsUnresolved("a"))
		time.Sleep(time.Minute)
		is.True(!j.IsUnresolved("a"))
	})
}

// Guards against a short burst above the store's rate limit failing changes
// that the store would accept a moment later, and against endless retries.
func TestThrottledChangesAreRetriedForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		throttledCommits := 5
		s.nextFault = func() fault {
			throttledCommits--
			if throttledCommits >= 0 {
				return throttled
			}
			return noFault
		}
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		_, err := j.Commit(t.Context(), insert("a", "1"))
		is.NoErr(err)
		throttledCommits = 1 << 20
		_, err = j.Commit(t.Context(), insert("b", "1"))
		is.True(IsKind(err, KindUnavailable))
	})
}

// Guards against commits failing after a restart under the same writer name,
// when the writer row of the previous run exists already.
func TestRestartedWriterContinuesItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		for i := range 3 {
			j := New(Config{Store: s, Writer: "d1"})
			_, err := j.Commit(t.Context(), insert(fmt.Sprintf("a/%d", i), "x"))
			is.NoErr(err)
			j.Close()
		}
	})
}

// Guards against reported results that differ from the contents of the store,
// under random faults and delayed transactions.
func TestReportedResultsMatchTheStore(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newFakeStore()
			s.nextFault = func() fault {
				if rnd.IntN(2) == 0 {
					return noFault
				}
				return fault(rnd.IntN(int(throttled) + 1))
			}
			j := New(Config{Store: s, Writer: "d1", MaxRows: 8})
			results := make([]error, 40)
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() {
					_, results[i] = j.Commit(context.Background(), insert(fmt.Sprintf("a/%d", i/2), fmt.Sprint(i)))
				})
			}
			wg.Wait()
			s.applyDelayed()
			j.Close()
			for i, err := range results {
				row, present := s.rows[fmt.Sprintf("a/%d", i/2)]
				is.Equal(err == nil, present && string(row.Value) == fmt.Sprint(i))
			}
		})
	}
}

// Guards against an applied change that is reported as not applied: the reply is lost and the writer row is deleted, as
// that of a daemon whose VM is missing from the platform's list.
func TestDeletedWriterRowLeavesTheResultUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		_, err := j.Commit(t.Context(), insert("a/1", "x"))
		is.NoErr(err)
		calls := 0
		s.nextFault = func() fault {
			calls++
			switch calls {
			case 1:
				return replyLostApplied
			case 2:
				delete(s.rows, "txn/d1")
			}
			return noFault
		}
		_, err = j.Commit(t.Context(), insert("a/2", "x"))
		is.Equal(string(s.rows["a/2"].Value), "x")
		is.True(IsKind(err, KindUnknown))
		_, err = j.Commit(t.Context(), insert("a/3", "x"))
		is.NoErr(err) // the journal goes on
	})
}
