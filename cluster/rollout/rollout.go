package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Peers sends messages to other daemons; a *peer.Transport is one.
type Peers interface {
	Send(to cluster.DaemonID, m peer.Message) bool
}

// Config configures a Rollout.
type Config struct {
	Self    cluster.DaemonID
	Place   cluster.Place
	Store   platform.TableService
	Peers   Peers
	Members *member.Table
	// Clock is the clock; its readings must be monotonic. Nil means time.Now.
	Clock func() time.Time
	// Random returns a number in [0, 1) for the jitter of retries; nil means math/rand.
	Random     func() float64
	Invariants *invariant.Recorder
	Log        zerolog.Logger
	Metrics    tally.Scope
	// Strategy says how the configuration spreads; the zero value is RelayPerRegion.
	Strategy Strategy
}

// Rollout holds the configuration in force at this daemon.
type Rollout struct {
	cfg       Config
	published atomic.Pointer[published]
	used      keyUse
	refused   [len(kindNames)]tally.Counter

	mu        sync.Mutex
	replica   *replica
	fresh     *freshness
	doubts    map[string]*doubt
	doubtful  map[cluster.EntityID]bool
	relay     relay
	changes   []*cluster.Snapshot
	listeners []func(*cluster.Snapshot)

	notifyMu sync.Mutex
	noteLock chan struct{}
	wake     chan struct{}
	work     conc.WaitGroup
	notes    conc.WaitGroup
}

// published is the state that Authorize reads without a lock.
type published struct {
	snapshot *cluster.Snapshot
	decision decision
	doubtful map[cluster.EntityID]bool
}

// New returns a rollout with an empty configuration; Run fills it.
func New(cfg Config) *Rollout {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	r := &Rollout{
		cfg: cfg, replica: newReplica(), fresh: newFreshness(cfg.Self),
		doubts: map[string]*doubt{}, relay: newRelay(),
		noteLock: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	for kind := range r.refused {
		r.refused[kind] = cfg.Metrics.Tagged(map[string]string{"kind": Kind(kind).String()}).Counter("authorize_refused")
	}
	r.published.Store(&published{snapshot: cluster.Assemble(0, nil), decision: r.fresh.decide(cfg.Clock())})
	return r
}

// tickInterval is how often the rollout looks for work that is due.
const tickInterval = 100 * time.Millisecond

// Run reads and spreads the configuration until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	defer r.work.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// Close waits for the note in flight. The journal that commits it must be
// closed before, and no note may follow.
func (r *Rollout) Close() { r.notes.Wait() }

// Snapshot returns the configuration in force; it is never nil. While the
// outcome of a note is unknown, keys named in it are left out and limits that
// it lowers are lowered.
func (r *Rollout) Snapshot() *cluster.Snapshot { return r.published.Load().snapshot }

// OnChange registers a function that is called with each new snapshot, in order; it must not block.
func (r *Rollout) OnChange(f func(*cluster.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// publish makes the state visible to Authorize and Snapshot. It is called with mu held.
func (r *Rollout) publish(now time.Time, changed bool) {
	old := r.published.Load()
	p := &published{snapshot: old.snapshot, decision: r.fresh.decide(now), doubtful: r.doubtful}
	if changed {
		p.snapshot = r.effective()
		r.changes = append(r.changes, p.snapshot)
	}
	if was, is := old.decision.reason, p.decision.reason; (was == "") != (is == "") {
		if is == "" {
			r.cfg.Log.Info().Uint64("version", uint64(r.replica.head)).Msg("rollout: the configuration is fresh")
		} else {
			r.cfg.Log.Warn().Msg("rollout: keys are not honoured: " + is)
		}
	}
	r.published.Store(p)
}

// notify calls the listeners with the snapshots not yet passed on, in order. It is called without mu.
func (r *Rollout) notify() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	changes, listeners := r.changes, r.listeners
	r.changes = nil
	r.mu.Unlock()
	for _, s := range changes {
		for _, f := range listeners {
			f(s)
		}
	}
}

// takeView applies a view and, if at is not zero, the confirmation that it
// comes with. It returns false if changes between the replica and the view are
// missing. It is called with mu held.
func (r *Rollout) takeView(v view, at, now time.Time) bool {
	if !r.replica.fits(v) {
		return false
	}
	if v.asOf > r.replica.asOf {
		head := r.replica.headOf(v)
		if !r.cfg.Invariants.Require(head >= r.replica.head, invariant.Head, "head %d after %d at commit %d", head, r.replica.head, v.asOf) {
			return false
		}
	}
	before := r.replica.asOf
	changed := r.replica.apply(v)
	if changed {
		r.used.check(r.replica, r.cfg.Invariants)
	}
	r.logMalformed()
	if changed || !r.fresh.loaded {
		r.fresh.apply(&viewApplied{version: r.replica.head, members: r.replica.members()})
	}
	if !at.IsZero() {
		r.fresh.apply(&confirmedByStore{at: at})
	}
	if changed || !at.IsZero() {
		r.cfg.Members.Apply(member.View{Rows: r.replica.memberRows(), Whole: true, Confirmed: at})
	}
	changed = r.settleDoubts() || changed
	if changed {
		r.cfg.Metrics.Gauge("config_version").Update(float64(r.replica.head))
		r.relay.changedAfter(before)
		maps.DeleteFunc(r.relay.progress, func(id cluster.DaemonID, _ cluster.Version) bool { return !r.fresh.known(id) })
	}
	r.publish(now, changed)
	return true
}

func (r *Rollout) logMalformed() {
	for _, key := range r.replica.malformed {
		r.cfg.Metrics.Counter("config_malformed_rows").Inc(1)
		r.cfg.Log.Error().Str("row", key).Msg("rollout: a row does not decode and is not in force")
	}
	r.replica.malformed = nil
}

// FillDigest sets the fields of a digest that belong to the configuration and the members.
func (r *Rollout) FillDigest(d *peer.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fillDigest(d, r.cfg.Clock())
}

func (r *Rollout) fillDigest(d *peer.Digest, now time.Time) {
	d.ConfigVersion = r.replica.head
	d.DoubtfulNote = len(r.doubts) > 0
	d.StoreVisible = d.StoreVisible || r.relay.storeVisible(now)
	d.Members = r.fresh.members()
	d.Draining = d.Draining || r.fresh.left
}

// Leave ends the part of this daemon in the rollout: it accepts no note any
// more and tells every member so. A note in flight is waited for until ctx ends.
func (r *Rollout) Leave(ctx context.Context) {
	select {
	case r.noteLock <- struct{}{}:
		// The lock is kept, so that no note follows.
	case <-ctx.Done():
	}
	r.mu.Lock()
	now := r.cfg.Clock()
	r.fresh.apply(&selfLeft{})
	leaving := &peer.Leaving{From: r.cfg.Self}
	r.fillDigest(&leaving.Digest, now)
	to := r.fresh.others()
	r.publish(now, false)
	r.mu.Unlock()
	for _, id := range to {
		r.cfg.Peers.Send(id, leaving)
	}
}

// Status describes the state for operators.
type Status struct {
	// Loaded says that a configuration has been read.
	Loaded  bool
	Version cluster.Version
	AsOf    cluster.Version
	// Relay is the daemon that this one gets the configuration from; itself if it reads the store.
	Relay cluster.DaemonID
	Fresh bool
	// Reason says why keys are refused.
	Reason string
	// Confirmed is when the store last confirmed the configuration.
	Confirmed time.Time
	// MayAccept says whether this daemon may accept notes.
	MayAccept bool
	Doubtful  []cluster.EntityID
}

// Status returns the state.
func (r *Rollout) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	d := r.fresh.decide(now)
	return Status{
		Loaded: r.fresh.loaded, Version: r.replica.head, AsOf: r.replica.asOf, Relay: r.relayOf(),
		Fresh: d.allowed(now), Reason: d.reason, Confirmed: r.fresh.confirmed,
		MayAccept: r.fresh.acknowledged && !r.fresh.left, Doubtful: r.doubtfulEntities(),
	}
}
