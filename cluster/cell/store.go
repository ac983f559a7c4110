package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// relayStore is a platform.TableService that relays its calls through another daemon while this one can't reach
// the store.
type relayStore struct {
	d     *Daemon
	local platform.TableService

	mu sync.Mutex
	// unreachable is set when a probe fails, and reset by the next reply of the store.
	unreachable bool
	// probedAt is when the last successful probe ended.
	probedAt  time.Time
	repliedAt time.Time
	// latency is the moving average of the duration of a call.
	latency time.Duration
	// callsCtx is cancelled when the store becomes unreachable, which ends the calls in flight.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	// recovered is closed when the store is reachable again.
	recovered chan struct{}
	// probeMu allows one probe at a time.
	probeMu sync.Mutex
}

func newRelayStore(d *Daemon, local platform.TableService) *relayStore {
	s := &relayStore{d: d, local: local, recovered: make(chan struct{})}
	s.callsCtx, s.cancelCalls = context.WithCancel(d.ctx)
	return s
}

// callContext returns a context for a call that may take timeout in addition to its wait. The context ends when
// the store becomes unreachable; if the reply is late, a probe checks this.
func (s *relayStore) callContext(ctx context.Context, wait, timeout time.Duration) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	callsCtx := s.callsCtx
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	stop := context.AfterFunc(callsCtx, cancel)
	probe := time.AfterFunc(wait+probeDelay, s.probeUnlessFresh)
	return ctx, func() { probe.Stop(); stop(); cancel() }
}

// probeUnlessFresh probes the store unless the last probe is recent. While the store serves other calls, one of
// its parts may be down or a reply may be lost, so a failed call does not show that the store is unreachable.
func (s *relayStore) probeUnlessFresh() {
	s.probeMu.Lock()
	defer s.probeMu.Unlock()
	s.mu.Lock()
	skipProbe := s.unreachable || time.Since(s.probedAt) < probeTTL
	s.mu.Unlock()
	if !skipProbe {
		s.probe()
	}
}

// probeSuffix makes the key that a probe reads from that of the configuration. There is no such row, so that the reply
// is small even if the configuration is large.
const probeSuffix = ".probe"

// probe makes a small call. The store is unreachable if it fails and reachable otherwise.
func (s *relayStore) probe() {
	ctx, cancel := context.WithTimeout(s.d.ctx, probeTimeout)
	defer cancel()
	startedAt := time.Now()
	_, err := s.local.Read(ctx, platform.ReadRequest{Keys: []string{s.d.cfg.Reader.ConfigKey() + probeSuffix}})
	if s.d.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if mayBeUnreachable(err) {
		if !platform.IsKind(err, platform.KindUnknown) || !s.receivesSince(startedAt) {
			s.markUnreachable(err)
			return
		}
		// The probe had no reply; this leaves the mean latency unchanged.
		startedAt = time.Now().Add(-s.latency)
	}
	s.probedAt = time.Now()
	s.markReachable(startedAt)
}

// receivesSince reports whether the store has replied, or a part of a reply has arrived, since t; s.mu is held. The
// reply to a small call is late if a link is loaded with large ones; cancelling and repeating these would load it
// further.
func (s *relayStore) receivesSince(t time.Time) bool {
	observer, ok := s.local.(platform.TransferObserver)
	return s.repliedAt.After(t) || ok && observer.LastReceived().After(t)
}

// markUnreachable ends the calls in flight; s.mu is held.
func (s *relayStore) markUnreachable(err error) {
	if !s.unreachable {
		s.unreachable = true
		s.cancelCalls()
		s.d.cfg.Log.Warn().Err(err).Dur("lastAnswer", time.Since(s.repliedAt)).Msg("cell: store is unreachable")
	}
}

// markReachable records a reply to a call that started at startedAt; s.mu is held.
func (s *relayStore) markReachable(startedAt time.Time) {
	if s.unreachable {
		s.unreachable = false
		close(s.recovered)
		s.recovered = make(chan struct{})
		s.callsCtx, s.cancelCalls = context.WithCancel(s.d.ctx)
		s.d.cfg.Log.Info().Dur("away", time.Since(s.repliedAt)).Msg("cell: store is reachable again")
	}
	s.repliedAt = time.Now()
	if elapsed := time.Since(startedAt); s.latency == 0 {
		s.latency = elapsed
	} else {
		s.latency += (elapsed - s.latency) / 8
	}
}

// recordResult records the result of a call and returns whether the store is unreachable.
func (s *relayStore) recordResult(startedAt time.Time, wait time.Duration, err error) bool {
	if mayBeUnreachable(err) {
		s.probeUnlessFresh()
		return !s.reachable()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 {
		// The duration includes the wait for a change; this leaves the mean latency unchanged.
		startedAt = time.Now().Add(-s.latency)
	}
	s.markReachable(startedAt)
	return false
}

// serveTimeout limits a call that is executed for another daemon, maxServedWait the wait of such a read.
const (
	serveTimeout  = maxServedWait + storeTimeout
	maxServedWait = cellFeedWait
)

// commitRequest and readRequest relay a call to the store through another daemon.
type commitRequest struct {
	Checks  []platform.Check `msgpack:"Checks"`
	Puts    []platform.Put   `msgpack:"Puts"`
	Deletes []string         `msgpack:"Deletes"`
}

type commitReply struct {
	Version uint64 `msgpack:"Version"`
	Failed  bool   `msgpack:"Failed"`
	Kind    int    `msgpack:"Kind"`
	Key     string `msgpack:"Key"`
}

type readRequest struct {
	Keys         []string      `msgpack:"Keys"`
	Prefixes     []string      `msgpack:"Prefixes"`
	SinceVersion uint64        `msgpack:"Since"`
	Wait         time.Duration `msgpack:"Wait"`
	// MaxParts is the largest number of parts of the reply. It is zero in the requests of daemons of earlier versions,
	// which expect one.
	MaxParts int `msgpack:"MaxParts"`
}

// readReply is the reply to a read, or a part of it that has some of the rows.
type readReply struct {
	Rows   []platform.Row `msgpack:"Rows"`
	AsOf   uint64         `msgpack:"AsOf"`
	Failed bool           `msgpack:"Failed"`
	Kind   int            `msgpack:"Kind"`
	// Part is the index of the part, and Parts their number; both are zero in an undivided reply.
	Part  int `msgpack:"Part"`
	Parts int `msgpack:"Parts"`
}

const (
	// maxReplyParts bounds the parts of the reply to a relayed read.
	maxReplyParts = 128
	// minPartBytes and maxPartBytes bound the rows of a part, unless it is a single larger row. Small messages pass
	// between the parts.
	minPartBytes = 32 << 10
	maxPartBytes = 512 << 10
	// rowOverheadBytes is the largest encoded size of a row in addition to its key and its value.
	rowOverheadBytes = 64
)

// split divides a large reply into parts, which are as small as their number allows. It returns the undivided reply if
// there would be more than maxParts.
func (r *readReply) split(maxParts int) []readReply {
	var parts []readReply
	for size := minPartBytes; size <= maxPartBytes; size *= 2 {
		if parts = r.splitAt(size); len(parts) <= maxParts {
			break
		}
	}
	if len(parts) == 1 || len(parts) > maxParts {
		return []readReply{*r}
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// splitAt divides a reply into parts of at most partBytes, or of a single larger row.
func (r *readReply) splitAt(partBytes int) []readReply {
	var parts []readReply
	first, size := 0, 0
	for i, row := range r.Rows {
		rowSize := len(row.Key) + len(row.Value) + rowOverheadBytes
		if i > first && size+rowSize > partBytes {
			parts = append(parts, readReply{Rows: r.Rows[first:i], AsOf: r.AsOf})
			first, size = i, 0
		}
		size += rowSize
	}
	return append(parts, readReply{Rows: r.Rows[first:], AsOf: r.AsOf})
}

// readCollector joins the parts of the reply to a relayed read.
type readCollector struct {
	reply    readReply
	received int
}

// add appends the next part and returns whether it is the last one. It fails if a part is missing.
func (c *readCollector) add(part readReply) (complete bool, err error) {
	if part.Part != c.received {
		return false, &Error{Op: "read answer of " + methodRead, Kind: KindMalformed, Err: fmt.Errorf("received part %d instead of part %d", part.Part, c.received)}
	}
	c.received++
	part.Rows = append(c.reply.Rows, part.Rows...)
	c.reply = part
	return c.received >= part.Parts, nil
}

// reachable reports whether this daemon can reach the store; it is false before the first reply.
func (s *relayStore) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unreachable && !s.repliedAt.IsZero()
}

// replyAge returns the time since the last reply, and false before the first.
func (s *relayStore) replyAge() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.repliedAt), !s.repliedAt.IsZero()
}

func (s *relayStore) meanLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

// probeWhileUnreachable probes the store periodically while it is unreachable.
func (s *relayStore) probeWhileUnreachable() {
	for s.d.sleep(probeInterval) {
		if !s.reachable() {
			s.probe()
		}
	}
}

// sleepUntilRecovered waits for the given time, or until ctx ends or an unreachable store is reachable again.
func (s *relayStore) sleepUntilRecovered(ctx context.Context, t time.Duration) {
	s.mu.Lock()
	recovered := s.recovered
	s.mu.Unlock()
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-timer.C:
	}
}

// localRead reads without a relay and returns whether the store is unreachable.
func (s *relayStore) localRead(caller context.Context, req platform.ReadRequest, timeout time.Duration) (platform.ReadReply, bool, error) {
	ctx, cancel := s.callContext(caller, req.Wait, timeout)
	defer cancel()
	startedAt := time.Now()
	reply, err := s.local.Read(ctx, req)
	if caller.Err() != nil {
		return reply, false, err
	}
	return reply, s.recordResult(startedAt, req.Wait, err), err
}

// Read reads from the store or, while the store is unreachable, through another daemon.
func (s *relayStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	return s.readWithin(ctx, req, storeTimeout)
}

// readWithin is Read with a limit for the time that a reply from the store may take in addition to the wait.
func (s *relayStore) readWithin(ctx context.Context, req platform.ReadRequest, timeout time.Duration) (platform.ReadReply, error) {
	var reply platform.ReadReply
	err := error(&platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: errors.New("the store does not answer")})
	if s.mayBeReachable() {
		var unreachable bool
		if reply, unreachable, err = s.localRead(ctx, req, timeout); !unreachable {
			return reply, err
		}
	}
	for _, to := range s.d.relayDaemons() {
		relayed, relayErr := s.relayRead(ctx, to, req)
		if relayErr == nil || !mayBeUnreachable(relayErr) {
			return relayed, relayErr
		}
	}
	return reply, err
}

// mayBeReachable reports whether a call to the store should be tried; unlike reachable, it is true before the first
// reply.
func (s *relayStore) mayBeReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unreachable
}

// mayBeUnreachable reports whether an error may have been caused by the connection to the store and not by the
// call.
func mayBeUnreachable(err error) bool {
	return platform.IsKind(err, platform.KindUnavailable) || platform.IsKind(err, platform.KindUnknown) ||
		platform.IsKind(err, platform.KindThrottled)
}

// notExecuted reports whether an error means that the call was not executed, so that it can be relayed.
func notExecuted(err error) bool {
	return platform.IsKind(err, platform.KindUnavailable) || platform.IsKind(err, platform.KindThrottled)
}

func (s *relayStore) relayRead(ctx context.Context, to cluster.DaemonID, req platform.ReadRequest) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+callTimeout+storeTimeout)
	defer cancel()
	request := readRequest{Keys: req.Keys, Prefixes: req.Prefixes, SinceVersion: uint64(req.SinceVersion), Wait: req.Wait, MaxParts: maxReplyParts}
	var parts readCollector
	if err := callForParts(ctx, s.d, to, methodRead, &request, maxReplyParts, parts.add); err != nil {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: err}
	}
	reply := parts.reply
	if reply.Failed {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.Kind(reply.Kind), Err: fmt.Errorf("through %s", to)}
	}
	return platform.ReadReply{Rows: reply.Rows, AsOf: cluster.Version(reply.AsOf)}, nil
}

// Commit writes to the store or, while the store is unreachable, through another daemon. An Error of kind
// KindUnknown means that a reply was lost and the transaction may have been applied.
func (s *relayStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	err := error(&platform.Error{Op: "commit", Kind: platform.KindUnavailable, Err: errors.New("the store does not answer")})
	if s.mayBeReachable() {
		v, unreachable, localErr := s.localCommit(ctx, txn)
		if !unreachable || !notExecuted(localErr) {
			return v, localErr
		}
		err = localErr
	}
	for _, to := range s.d.relayDaemons() {
		v, relayErr := s.relayCommit(ctx, to, txn)
		if relayErr == nil || !notExecuted(relayErr) {
			return v, relayErr
		}
	}
	return 0, err
}

// localCommit commits without a relay and returns whether the store is unreachable.
func (s *relayStore) localCommit(caller context.Context, txn platform.Txn) (cluster.Version, bool, error) {
	ctx, cancel := s.callContext(caller, 0, storeTimeout)
	defer cancel()
	startedAt := time.Now()
	v, err := s.local.Commit(ctx, txn)
	if caller.Err() != nil {
		return v, false, err
	}
	return v, s.recordResult(startedAt, 0, err), err
}

func (s *relayStore) relayCommit(ctx context.Context, to cluster.DaemonID, txn platform.Txn) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+storeTimeout)
	defer cancel()
	reply, err := call[commitReply](ctx, s.d, to, methodCommit, &commitRequest{Checks: txn.Checks, Puts: txn.Puts, Deletes: txn.Deletes})
	if err != nil {
		kind := platform.KindUnavailable
		if !IsKind(err, KindUnavailable) {
			kind = platform.KindUnknown
		}
		return 0, &platform.Error{Op: "commit", Kind: kind, Err: err}
	}
	if reply.Failed {
		return 0, &platform.Error{Op: "commit", Kind: platform.Kind(reply.Kind), Key: reply.Key, Err: fmt.Errorf("through %s", to)}
	}
	return cluster.Version(reply.Version), nil
}

// serveCommit commits for another daemon.
func (s *relayStore) serveCommit(ctx context.Context, r commitRequest) (commitReply, error) {
	if !s.reachable() {
		return commitReply{}, &Error{Op: "relay", Kind: KindUnavailable, Err: errors.New("the store does not answer here")}
	}
	v, _, err := s.localCommit(ctx, platform.Txn{Checks: r.Checks, Puts: r.Puts, Deletes: r.Deletes})
	return commitReply{Version: uint64(v), Failed: err != nil, Kind: int(errorKind(err)), Key: errorKey(err)}, nil
}

// serveRead reads for another daemon and returns the parts of the reply.
func (s *relayStore) serveRead(ctx context.Context, r readRequest) ([]readReply, error) {
	if !s.reachable() {
		return nil, &Error{Op: "relay", Kind: KindUnavailable, Err: errors.New("the store does not answer here")}
	}
	stored, _, err := s.localRead(ctx, platform.ReadRequest{
		Keys: r.Keys, Prefixes: r.Prefixes, SinceVersion: cluster.Version(r.SinceVersion), Wait: min(r.Wait, maxServedWait),
	}, storeTimeout)
	reply := readReply{Rows: stored.Rows, AsOf: uint64(stored.AsOf), Failed: err != nil, Kind: int(errorKind(err))}
	return reply.split(r.MaxParts), nil
}

// errorKind returns the kind of a platform error, and KindUnknown for any other error.
func errorKind(err error) platform.Kind {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return platform.KindUnknown
}

func errorKey(err error) string {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Key
	}
	return ""
}

// Store returns the table service, which relays calls through other daemons if necessary.
func (d *Daemon) Store() platform.TableService { return d.store }
