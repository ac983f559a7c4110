package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// storeVisibleFor is how long after a successful call the store counts as visible.
const storeVisibleFor = time.Second

// monitoredStore counts calls to the table service and knows whether they succeed.
type monitoredStore struct {
	next platform.TableService
	now  func() time.Time
	// lastSuccess and lastFailure are in nanoseconds since start.
	start       time.Time
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
	reads       tally.Counter
	writes      tally.Counter
	failures    tally.Counter
	latency     tally.Timer
}

func newMonitoredStore(next platform.TableService, now func() time.Time, metrics tally.Scope) *monitoredStore {
	return &monitoredStore{
		next:     next,
		now:      now,
		start:    now(),
		reads:    metrics.Counter("store_reads"),
		writes:   metrics.Counter("store_writes"),
		failures: metrics.Counter("store_failures"),
		latency:  metrics.Timer("store_latency"),
	}
}

// Read reads rows and records the result.
func (s *monitoredStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	begin := s.now()
	reply, err := s.next.Read(ctx, req)
	s.reads.Inc(int64(max(1, len(reply.Rows))))
	s.record(begin, err)
	return reply, err
}

// Commit commits a transaction and records the result.
func (s *monitoredStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	begin := s.now()
	version, err := s.next.Commit(ctx, txn)
	s.writes.Inc(int64(len(txn.Puts) + len(txn.Deletes)))
	s.record(begin, err)
	return version, err
}

func (s *monitoredStore) record(begin time.Time, err error) {
	now := s.now()
	s.latency.Record(now.Sub(begin))
	if answered(err) {
		s.lastSuccess.Store(int64(now.Sub(s.start)) + 1)
		return
	}
	s.failures.Inc(1)
	s.lastFailure.Store(int64(now.Sub(s.start)) + 1)
}

// answered reports whether a call got an answer: a conflict, an invalid or
// expired request and a call over the rate limit show that the store is up.
func answered(err error) bool {
	var e *platform.Error
	if !errors.As(err, &e) {
		return err == nil
	}
	switch e.Kind {
	case platform.KindConflict, platform.KindInvalid, platform.KindExpired, platform.KindThrottled:
		return true
	default:
		return false
	}
}

// up reports whether the last call succeeded.
func (s *monitoredStore) up() bool {
	return s.lastSuccess.Load() > s.lastFailure.Load()
}

// visible reports whether a call succeeded within the last second.
func (s *monitoredStore) visible() bool {
	last := s.lastSuccess.Load()
	return last > 0 && int64(s.now().Sub(s.start))-last < int64(storeVisibleFor)
}
