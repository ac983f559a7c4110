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

// store is a table service whose next answers can be scripted.
type store struct {
	mu      sync.Mutex
	version cluster.Version
	rows    map[string]platform.Row
	// fault is asked before each commit.
	fault   func() fault
	commits int
	// delayed holds transactions that have been sent and may still apply.
	delayed []platform.Txn
}

type fault int

const (
	healthy fault = iota
	down
	lostApplied
	lostNotApplied
	lostDelayed
	throttled
)

func newStore() *store { return &store{rows: map[string]platform.Row{}} }

func (s *store) Read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil && s.fault() == down {
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

func (s *store) Commit(_ context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	f := healthy
	if s.fault != nil {
		f = s.fault()
	}
	unknown := &platform.Error{Op: "commit", Kind: platform.KindUnknown}
	switch f {
	case down:
		return 0, &platform.Error{Op: "commit", Kind: platform.KindUnavailable}
	case throttled:
		return 0, &platform.Error{Op: "commit", Kind: platform.KindThrottled}
	case lostNotApplied:
		return 0, unknown
	case lostDelayed:
		s.delayed = append(s.delayed, txn)
		return 0, unknown
	}
	version, err := s.apply(txn)
	if f == lostApplied {
		return 0, unknown
	}
	return version, err
}

func (s *store) apply(txn platform.Txn) (cluster.Version, error) {
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

// deliver applies the delayed transactions, as a network that held them back would.
func (s *store) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		_, _ = s.apply(txn)
	}
	s.delayed = nil
}

func put(key, value string) Change {
	return Change{Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}

func insert(key, value string) Change {
	c := put(key, value)
	c.Checks = []platform.Check{{Key: key}}
	return c
}

// Guards against one transaction per change, which the store's write limit can't carry.
func TestChangesOfOneTickShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
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
		is.Equal(s.commits, 1)
		is.Equal(len(s.rows), 101)
	})
}

// Guards against a conflict of one change failing the others of its group.
func TestConflictFailsOnlyItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
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

// Guards against reporting a wrong result when the answer of a commit is lost
// or the transaction arrives after the journal has given it up.
func TestLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  []fault
		applied bool
	}{
		{"applied", []fault{lostApplied}, true},
		{"not applied", []fault{lostNotApplied}, false},
		{"delayed on the way", []fault{lostDelayed}, false},
		{"applied, then store down", []fault{lostApplied, down, down, down}, true},
		{"not applied, then invalidation lost too", []fault{lostNotApplied, healthy, lostApplied}, false},
		{"store down", []fault{down}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStore()
				script := tc.faults
				s.fault = func() fault {
					if len(script) == 0 {
						return healthy
					}
					f := script[0]
					script = script[1:]
					return f
				}
				j := New(Config{Store: s, Writer: "d1"})
				defer j.Close()
				_, err := j.Commit(t.Context(), insert("a", "1"))
				s.deliver()
				is.Equal(err == nil, tc.applied)
				if !tc.applied {
					is.True(IsKind(err, KindUnavailable))
				}
				_, present := s.rows["a"]
				is.Equal(present, tc.applied)
				is.True(!j.Doubtful("a"))
				_, err = j.Commit(t.Context(), put("b", "2"))
				is.NoErr(err)
			})
		})
	}
}

// Guards against a row that may have been written being treated as unwritten while its commit is in doubt.
func TestRowsAreDoubtfulWhileTheResultIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		calls := 0
		s.fault = func() fault {
			calls++
			switch {
			case calls == 1:
				return lostApplied
			case calls < 6:
				return down
			}
			return healthy
		}
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := j.Commit(ctx, insert("a", "1"))
		is.True(IsKind(err, KindUnknown))
		is.True(j.Doubtful("a"))
		time.Sleep(time.Minute)
		is.True(!j.Doubtful("a"))
	})
}

// Guards against a burst over the store's rate limit failing changes that the
// store would take a moment later.
func TestThrottledChangesAreRetriedForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		over := 5
		s.fault = func() fault {
			over--
			if over >= 0 {
				return throttled
			}
			return healthy
		}
		j := New(Config{Store: s, Writer: "d1"})
		defer j.Close()
		_, err := j.Commit(t.Context(), insert("a", "1"))
		is.NoErr(err)
		over = 1 << 20
		_, err = j.Commit(t.Context(), insert("b", "1"))
		is.True(IsKind(err, KindUnavailable))
	})
}

// Guards against a restarted writer under an old name losing or repeating changes.
func TestWriterTakesOverItsOldRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		for i := range 3 {
			j := New(Config{Store: s, Writer: "d1"})
			_, err := j.Commit(t.Context(), insert(fmt.Sprintf("a/%d", i), "x"))
			is.NoErr(err)
			j.Close()
		}
	})
}

// Guards against any reported result differing from what the store holds, under
// random faults and late delivery.
func TestReportedResultsMatchTheStore(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newStore()
			s.fault = func() fault {
				if rnd.IntN(2) == 0 {
					return healthy
				}
				return fault(rnd.IntN(int(throttled) + 1))
			}
			j := New(Config{Store: s, Writer: "d1", MaxRows: 8})
			applied := make([]error, 40)
			var wg sync.WaitGroup
			for i := range applied {
				wg.Go(func() {
					_, applied[i] = j.Commit(context.Background(), insert(fmt.Sprintf("a/%d", i/2), fmt.Sprint(i)))
				})
			}
			wg.Wait()
			s.deliver()
			j.Close()
			for i, err := range applied {
				row, present := s.rows[fmt.Sprintf("a/%d", i/2)]
				is.Equal(err == nil, present && string(row.Value) == fmt.Sprint(i))
			}
		})
	}
}
