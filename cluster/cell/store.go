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

// relayStore is a platform.TableService that hands its calls to another daemon
// while the store does not answer this one.
type relayStore struct {
	d     *Daemon
	local platform.TableService

	mu sync.Mutex
	// down is set from a probe without an answer to the next answer.
	down bool
	// probed is when a probe was answered last.
	probed   time.Time
	answered time.Time
	// distance is the smoothed time of a call.
	distance time.Duration
	// waits ends the calls that have no answer yet when the store is lost.
	waits     context.Context
	stopWaits context.CancelFunc
	// back is closed when a lost store answers again.
	back chan struct{}
	// probing lets one probe run at a time.
	probing sync.Mutex
}

func newRelayStore(d *Daemon, local platform.TableService) *relayStore {
	s := &relayStore{d: d, local: local, back: make(chan struct{})}
	s.waits, s.stopWaits = context.WithCancel(d.ctx)
	return s
}

// bounded returns a context for a call that may take timeout beyond its wait.
// It ends when the store is lost, which a probe finds out if the answer is late.
func (s *relayStore) bounded(ctx context.Context, wait, timeout time.Duration) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	waits := s.waits
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	stop := context.AfterFunc(waits, cancel)
	late := time.AfterFunc(wait+verifyAfter, s.verify)
	return ctx, func() { late.Stop(); stop(); cancel() }
}

// verify probes the store unless that was done a moment ago. One part of the
// store may be down, or an answer lost, while the store serves other calls.
func (s *relayStore) verify() {
	s.probing.Lock()
	defer s.probing.Unlock()
	s.mu.Lock()
	known := s.down || time.Since(s.probed) < probeFresh
	s.mu.Unlock()
	if !known {
		s.probe()
	}
}

// probe makes a small call; the store is lost if it fails, and back if it does not.
func (s *relayStore) probe() {
	ctx, cancel := context.WithTimeout(s.d.ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	_, err := s.local.Read(ctx, platform.ReadRequest{Keys: []string{s.d.cfg.Reader.ConfigKey()}})
	if s.d.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if away(err) {
		s.setLost(err)
		return
	}
	s.probed = time.Now()
	s.setAnswered(started)
}

// setLost ends the calls under way; s.mu is held.
func (s *relayStore) setLost(err error) {
	if !s.down {
		s.down = true
		s.stopWaits()
		s.d.cfg.Log.Warn().Err(err).Dur("lastAnswer", time.Since(s.answered)).Msg("cell: store is lost")
	}
}

// setAnswered takes note of an answer to a call that began at a time; s.mu is held.
func (s *relayStore) setAnswered(started time.Time) {
	if s.down {
		s.down = false
		close(s.back)
		s.back = make(chan struct{})
		s.waits, s.stopWaits = context.WithCancel(s.d.ctx)
		s.d.cfg.Log.Info().Dur("away", time.Since(s.answered)).Msg("cell: store is back")
	}
	s.answered = time.Now()
	if took := time.Since(started); s.distance == 0 {
		s.distance = took
	} else {
		s.distance += (took - s.distance) / 8
	}
}

// observe takes note of how a call ended and returns whether the store is lost.
func (s *relayStore) observe(started time.Time, wait time.Duration, err error) bool {
	if away(err) {
		s.verify()
		return !s.visible()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 {
		started = time.Now().Add(-s.distance)
	}
	s.setAnswered(started)
	return false
}

// serveTimeout limits a call that is carried out for another daemon.
const serveTimeout = cellFeedWait + storeTimeout

// commitRequest and readRequest carry a call to the store to another daemon.
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
	Keys     []string      `msgpack:"Keys"`
	Prefixes []string      `msgpack:"Prefixes"`
	Since    uint64        `msgpack:"Since"`
	Wait     time.Duration `msgpack:"Wait"`
}

type readReply struct {
	Rows   []platform.Row `msgpack:"Rows"`
	AsOf   uint64         `msgpack:"AsOf"`
	Failed bool           `msgpack:"Failed"`
	Kind   int            `msgpack:"Kind"`
}

// visible reports whether the store answers this daemon.
func (s *relayStore) visible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && !s.answered.IsZero()
}

// age returns the time since the last answer, and false before the first.
func (s *relayStore) age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.answered), !s.answered.IsZero()
}

func (s *relayStore) near() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distance
}

// watch probes the store from time to time while it does not answer.
func (s *relayStore) watch() {
	for s.d.sleep(probeInterval) {
		if !s.visible() {
			s.probe()
		}
	}
}

// pause waits, at most until a lost store answers again.
func (s *relayStore) pause(t time.Duration) {
	s.mu.Lock()
	back := s.back
	s.mu.Unlock()
	pause := time.NewTimer(t)
	defer pause.Stop()
	select {
	case <-s.d.ctx.Done():
	case <-back:
	case <-pause.C:
	}
}

// localRead reads and returns whether the store is lost.
func (s *relayStore) localRead(caller context.Context, req platform.ReadRequest) (platform.ReadReply, bool, error) {
	ctx, cancel := s.bounded(caller, req.Wait, storeTimeout)
	defer cancel()
	started := time.Now()
	reply, err := s.local.Read(ctx, req)
	if caller.Err() != nil {
		return reply, false, err
	}
	return reply, s.observe(started, req.Wait, err), err
}

// Read reads from the store, or through another daemon.
func (s *relayStore) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	var reply platform.ReadReply
	err := error(&platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: errors.New("the store does not answer")})
	if s.visible() || !s.tried() {
		var lost bool
		if reply, lost, err = s.localRead(ctx, req); !lost {
			return reply, err
		}
	}
	for _, to := range s.d.relays() {
		relayed, rerr := s.relayRead(ctx, to, req)
		if rerr == nil || !away(rerr) {
			return relayed, rerr
		}
	}
	return reply, err
}

// tried reports whether it is known that the store answers or that it does not.
func (s *relayStore) tried() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || !s.answered.IsZero()
}

// away reports whether an error may be one of the way to the store and not of the call.
func away(err error) bool {
	return platform.IsKind(err, platform.KindUnavailable) || platform.IsKind(err, platform.KindUnknown) ||
		platform.IsKind(err, platform.KindThrottled)
}

// untouched reports whether an error says that nothing was done and another way may be tried.
func untouched(err error) bool {
	return platform.IsKind(err, platform.KindUnavailable) || platform.IsKind(err, platform.KindThrottled)
}

func (s *relayStore) relayRead(ctx context.Context, to cluster.DaemonID, req platform.ReadRequest) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+callTimeout+storeTimeout)
	defer cancel()
	got, err := call[readReply](ctx, s.d, to, methodRead, &readRequest{Keys: req.Keys, Prefixes: req.Prefixes, Since: uint64(req.SinceVersion), Wait: req.Wait})
	if err != nil {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.KindUnavailable, Err: err}
	}
	if got.Failed {
		return platform.ReadReply{}, &platform.Error{Op: "read", Kind: platform.Kind(got.Kind), Err: fmt.Errorf("through %s", to)}
	}
	return platform.ReadReply{Rows: got.Rows, AsOf: cluster.Version(got.AsOf)}, nil
}

// Commit writes to the store, or through another daemon. After an answer was
// lost on one way, an Error of kind Unknown tells so unless another way succeeded.
func (s *relayStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	err := error(&platform.Error{Op: "commit", Kind: platform.KindUnavailable, Err: errors.New("the store does not answer")})
	if s.visible() || !s.tried() {
		v, lost, lerr := s.localCommit(ctx, txn)
		if !lost || !untouched(lerr) {
			return v, lerr
		}
		err = lerr
	}
	for _, to := range s.d.relays() {
		v, rerr := s.relayCommit(ctx, to, txn)
		if rerr == nil || !untouched(rerr) {
			return v, rerr
		}
	}
	return 0, err
}

// localCommit commits and returns whether the store is lost.
func (s *relayStore) localCommit(caller context.Context, txn platform.Txn) (cluster.Version, bool, error) {
	ctx, cancel := s.bounded(caller, 0, storeTimeout)
	defer cancel()
	started := time.Now()
	v, err := s.local.Commit(ctx, txn)
	if caller.Err() != nil {
		return v, false, err
	}
	return v, s.observe(started, 0, err), err
}

func (s *relayStore) relayCommit(ctx context.Context, to cluster.DaemonID, txn platform.Txn) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+storeTimeout)
	defer cancel()
	got, err := call[commitReply](ctx, s.d, to, methodCommit, &commitRequest{Checks: txn.Checks, Puts: txn.Puts, Deletes: txn.Deletes})
	if err != nil {
		kind := platform.KindUnavailable
		if !IsKind(err, KindUnavailable) {
			kind = platform.KindUnknown
		}
		return 0, &platform.Error{Op: "commit", Kind: kind, Err: err}
	}
	if got.Failed {
		return 0, &platform.Error{Op: "commit", Kind: platform.Kind(got.Kind), Key: got.Key, Err: fmt.Errorf("through %s", to)}
	}
	return cluster.Version(got.Version), nil
}

// serveCommit commits for another daemon.
func (s *relayStore) serveCommit(ctx context.Context, r commitRequest) (commitReply, error) {
	if !s.visible() {
		return commitReply{}, &Error{Op: "relay", Kind: KindUnavailable, Err: errors.New("the store does not answer here")}
	}
	v, _, err := s.localCommit(ctx, platform.Txn{Checks: r.Checks, Puts: r.Puts, Deletes: r.Deletes})
	return commitReply{Version: uint64(v), Failed: err != nil, Kind: int(kindOf(err)), Key: keyOf(err)}, nil
}

// serveRead reads for another daemon.
func (s *relayStore) serveRead(ctx context.Context, r readRequest) (readReply, error) {
	if !s.visible() {
		return readReply{}, &Error{Op: "relay", Kind: KindUnavailable, Err: errors.New("the store does not answer here")}
	}
	reply, _, err := s.localRead(ctx, platform.ReadRequest{Keys: r.Keys, Prefixes: r.Prefixes, SinceVersion: cluster.Version(r.Since), Wait: r.Wait})
	return readReply{Rows: reply.Rows, AsOf: uint64(reply.AsOf), Failed: err != nil, Kind: int(kindOf(err))}, nil
}

// kindOf returns the kind of an error of the platform, and Unknown for any other one.
func kindOf(err error) platform.Kind {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return platform.KindUnknown
}

func keyOf(err error) string {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Key
	}
	return ""
}

// Store returns the store as this daemon reaches it, through another daemon if need be.
func (d *Daemon) Store() platform.TableService { return d.store }
