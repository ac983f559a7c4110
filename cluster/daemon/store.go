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

// storeVisibleDuration is how long the store counts as visible after a call that it replied to.
const storeVisibleDuration = time.Second

// monitoredStore wraps a table service: it records metrics of the calls and whether the service replies.
type monitoredStore struct {
	service   platform.TableService
	now       func() time.Time
	startedAt time.Time
	// lastSuccess and lastFailure are the times of the last call with and without
	// a reply, in nanoseconds after startedAt plus one; zero means none so far.
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
	reads       tally.Counter
	writes      tally.Counter
	failures    tally.Counter
	latency     tally.Timer
}

func newMonitoredStore(next platform.TableService, now func() time.Time, metrics tally.Scope) *monitoredStore {
	return &monitoredStore{
		service:   next,
		now:       now,
		startedAt: now(),
		reads:     metrics.Counter("store_reads"),
		writes:    metrics.Counter("store_writes"),
		failures:  metrics.Counter("store_failures"),
		latency:   metrics.Timer("store_latency"),
	}
}

// Read reads rows and records the result.
func (s *monitoredStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	start := s.now()
	reply, err := s.service.Read(ctx, req)
	s.reads.Inc(int64(max(1, len(reply.Rows))))
	s.recordCall(start, err)
	return reply, err
}

// Commit commits a transaction and records the result.
func (s *monitoredStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	start := s.now()
	version, err := s.service.Commit(ctx, txn)
	s.writes.Inc(int64(len(txn.Puts) + len(txn.Deletes)))
	s.recordCall(start, err)
	return version, err
}

func (s *monitoredStore) recordCall(start time.Time, err error) {
	now := s.now()
	s.latency.Record(now.Sub(start))
	if storeReplied(err) {
		s.lastSuccess.Store(int64(now.Sub(s.startedAt)) + 1)
		return
	}
	s.failures.Inc(1)
	s.lastFailure.Store(int64(now.Sub(s.startedAt)) + 1)
}

// storeReplied reports whether the store replied to a call that returned err. A
// conflict, an invalid or expired request and an exceeded rate limit are
// replies: they show that the store is up.
func storeReplied(err error) bool {
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

// up reports whether the store replied to the last call.
func (s *monitoredStore) up() bool {
	return s.lastSuccess.Load() > s.lastFailure.Load()
}

// visible reports whether the store replied to a call within storeVisibleDuration.
func (s *monitoredStore) visible() bool {
	last := s.lastSuccess.Load()
	return last > 0 && int64(s.now().Sub(s.startedAt))-last < int64(storeVisibleDuration)
}
