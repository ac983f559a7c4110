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

// Peers sends messages to other daemons. It is implemented by *peer.Transport.
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
	// Clock returns the current time with a monotonic reading; nil means time.Now.
	Clock func() time.Time
	// Random returns a number in [0, 1) for the jitter of retries; nil means math/rand.
	Random     func() float64
	Invariants *invariant.Recorder
	Log        zerolog.Logger
	Metrics    tally.Scope
	// Strategy selects how changes are propagated; the zero value is RelayPerRegion.
	Strategy Strategy
}

// Rollout maintains the configuration in force at this daemon. Its methods are
// safe for concurrent use.
type Rollout struct {
	cfg       Config
	published atomic.Pointer[published]
	keyUsage  keyUsage
	refusals  [len(kindNames)]tally.Counter

	// mu guards the fields up to listeners.
	mu        sync.Mutex
	replica   *replica
	freshness *freshness
	// unconfirmedNotes holds notes of this daemon by request identifier.
	unconfirmedNotes map[string]*unconfirmedNote
	// overdueEntities holds the entities of overdue notes.
	overdueEntities map[cluster.EntityID]bool
	propagation     propagation
	// unsentSnapshots holds the snapshots that listeners have not received yet.
	unsentSnapshots []*cluster.Snapshot
	listeners       []func(*cluster.Snapshot)

	// notifyMu keeps the snapshots in order when several goroutines notify the listeners.
	notifyMu sync.Mutex
	// noteLock is held, by sending to it, while a note is applied.
	noteLock chan struct{}
	// wake triggers the next tick before the ticker does.
	wake        chan struct{}
	storeReads  conc.WaitGroup
	noteCommits conc.WaitGroup
}

// published is the state that Authorize reads without a lock.
type published struct {
	snapshot        *cluster.Snapshot
	decision        decision
	overdueEntities map[cluster.EntityID]bool
}

// New returns a Rollout with an empty configuration; Run reads the configuration.
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
		cfg: cfg, replica: newReplica(), freshness: newFreshness(cfg.Self),
		unconfirmedNotes: map[string]*unconfirmedNote{}, propagation: newPropagation(),
		noteLock: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	for kind := range r.refusals {
		r.refusals[kind] = cfg.Metrics.Tagged(map[string]string{"kind": Kind(kind).String()}).Counter("authorize_refused")
	}
	r.published.Store(&published{snapshot: cluster.Assemble(0, nil), decision: r.freshness.decide(cfg.Clock())})
	return r
}

// tickInterval is the time between calls of tick.
const tickInterval = 100 * time.Millisecond

// Run reads and propagates the configuration until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	defer r.storeReads.Wait()
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

// Close waits for the note in flight. The journal that commits notes must be
// closed before the call, and no note may be applied after it.
func (r *Rollout) Close() { r.noteCommits.Wait() }

// Snapshot returns the configuration in force; it is never nil. While a note is
// overdue (see unconfirmedNote), the snapshot lacks the keys that it names and has
// the limits that it lowers.
func (r *Rollout) Snapshot() *cluster.Snapshot { return r.published.Load().snapshot }

// OnChange registers a function that is called with each new snapshot, in
// order. The function must not block.
func (r *Rollout) OnChange(f func(*cluster.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// publish makes the current state visible to Authorize and Snapshot. If changed
// is set, it assembles a new snapshot for the listeners. It is called with mu held.
func (r *Rollout) publish(now time.Time, changed bool) {
	old := r.published.Load()
	p := &published{snapshot: old.snapshot, decision: r.freshness.decide(now), overdueEntities: r.overdueEntities}
	if changed {
		p.snapshot = r.effectiveSnapshot()
		r.unsentSnapshots = append(r.unsentSnapshots, p.snapshot)
	}
	if oldReason, newReason := old.decision.reason, p.decision.reason; (oldReason == "") != (newReason == "") {
		if newReason == "" {
			r.cfg.Log.Info().Uint64("version", uint64(r.replica.head)).Msg("rollout: the configuration is confirmed; keys are honoured")
		} else {
			r.cfg.Log.Warn().Msg("rollout: keys are not honoured: " + newReason)
		}
	}
	r.published.Store(p)
}

// notifyListeners calls the listeners with the snapshots that they have not
// received yet, in order. It is called without mu.
func (r *Rollout) notifyListeners() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	snapshots, listeners := r.unsentSnapshots, r.listeners
	r.unsentSnapshots = nil
	r.mu.Unlock()
	for _, s := range snapshots {
		for _, f := range listeners {
			f(s)
		}
	}
}

// applyView applies a view and, if confirmedAt is not zero, the confirmation
// that the store held the view at that time. It returns false if the view can't
// be applied: changes between the replica and the view are missing, or the head
// would revert. It is called with mu held.
func (r *Rollout) applyView(v view, confirmedAt, now time.Time) bool {
	if !r.replica.canApply(v) {
		return false
	}
	if v.asOf > r.replica.asOf {
		head := r.replica.headAfter(v)
		if !r.cfg.Invariants.Require(head >= r.replica.head, invariant.Head, "head %d after %d at commit %d", head, r.replica.head, v.asOf) {
			return false
		}
	}
	previous := r.replica.asOf
	changed := r.replica.apply(v)
	if changed {
		r.keyUsage.checkWithdrawn(r.replica, r.cfg.Invariants)
	}
	r.reportMalformedRows()
	if changed || !r.freshness.loaded {
		r.freshness.apply(&viewApplied{version: r.replica.head, members: r.replica.memberIDs()})
	}
	if !confirmedAt.IsZero() {
		r.freshness.apply(&storeConfirmed{at: confirmedAt})
	}
	if changed || !confirmedAt.IsZero() {
		r.cfg.Members.Apply(member.View{Rows: r.replica.memberRows(), Full: true, ConfirmedAt: confirmedAt})
	}
	changed = r.resolveUnconfirmedNotes() || changed
	if changed {
		r.cfg.Metrics.Gauge("config_version").Update(float64(r.replica.head))
		r.propagation.markChanged(previous)
		maps.DeleteFunc(r.propagation.ackedVersions, func(id cluster.DaemonID, _ cluster.Version) bool { return !r.freshness.isKnown(id) })
		maps.DeleteFunc(r.propagation.transits, func(id cluster.DaemonID, _ *pushTransit) bool { return !r.freshness.isKnown(id) })
	}
	r.publish(now, changed)
	return true
}

// reportMalformedRows logs and counts the rows that could not be decoded since
// the last call.
func (r *Rollout) reportMalformedRows() {
	for _, key := range r.replica.malformedKeys {
		r.cfg.Metrics.Counter("config_malformed_rows").Inc(1)
		r.cfg.Log.Error().Str("row", key).Msg("rollout: failed to decode a row; it is not in force")
	}
	r.replica.malformedKeys = nil
}

// FillDigest sets the fields of a digest that describe the configuration and
// the members.
func (r *Rollout) FillDigest(d *peer.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fillDigest(d, r.cfg.Clock())
}

// fillDigest is FillDigest with mu held.
func (r *Rollout) fillDigest(d *peer.Digest, now time.Time) {
	d.ConfigVersion = r.replica.head
	d.UnconfirmedNote = len(r.unconfirmedNotes) > 0
	d.StoreVisible = d.StoreVisible || r.propagation.storeVisible(now)
	d.Members = r.freshness.members()
	d.Draining = d.Draining || r.freshness.leaving
}

// Leave stops accepting notes and announces to every member that this daemon
// leaves. It waits for a note in flight until ctx ends.
func (r *Rollout) Leave(ctx context.Context) {
	select {
	case r.noteLock <- struct{}{}:
		// The lock is never released, so that no other note is applied.
	case <-ctx.Done():
	}
	r.mu.Lock()
	now := r.cfg.Clock()
	r.freshness.apply(&selfLeaving{})
	leaving := &peer.Leaving{From: r.cfg.Self}
	r.fillDigest(&leaving.Digest, now)
	recipients := r.freshness.others()
	r.publish(now, false)
	r.mu.Unlock()
	for _, id := range recipients {
		r.cfg.Peers.Send(id, leaving)
	}
}

// Status describes the state of a Rollout for operators.
type Status struct {
	// Loaded means that a configuration has been read.
	Loaded bool
	// Version is the version of the last note in force here.
	Version cluster.Version
	// AsOf is the commit of the store up to which the configuration is complete.
	AsOf cluster.Version
	// Relay is the daemon that this one polls for changes. It is this daemon if
	// it reads the store itself.
	Relay cluster.DaemonID
	// Fresh means that keys are honoured.
	Fresh bool
	// Reason is why keys are refused; empty if they are honoured.
	Reason string
	// ConfirmedAt is when the store last confirmed the configuration, directly or
	// through a relay.
	ConfirmedAt time.Time
	// MayAccept means that this daemon may accept notes.
	MayAccept bool
	// OverdueEntities lists the entities of overdue notes (see unconfirmedNote).
	OverdueEntities []cluster.EntityID
}

// Status returns the current state.
func (r *Rollout) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	d := r.freshness.decide(now)
	return Status{
		Loaded: r.freshness.loaded, Version: r.replica.head, AsOf: r.replica.asOf, Relay: r.regionRelay(),
		Fresh: d.allows(now), Reason: d.reason, ConfirmedAt: r.freshness.storeConfirmedAt,
		MayAccept: r.freshness.acknowledged && !r.freshness.leaving, OverdueEntities: r.sortedOverdueEntities(),
	}
}
