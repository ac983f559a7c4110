package rollout

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
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
	Clock   func() time.Time
	// Random returns a number in [0, 1) for the jitter of retries.
	Random     func() float64
	Invariants *invariant.Recorder
	Log        zerolog.Logger
	Metrics    tally.Scope
}

// Rollout holds the configuration in force at this daemon.
type Rollout struct{ cfg Config }

// New returns a rollout with an empty configuration; Run fills it.
func New(cfg Config) *Rollout { return &Rollout{cfg: cfg} }

// Run reads and spreads the configuration until ctx ends.
func (r *Rollout) Run(ctx context.Context) {}

// Snapshot returns the configuration in force; it is never nil.
func (r *Rollout) Snapshot() *cluster.Snapshot { return nil }

// Authorize returns the team that work with the secret on a queue runs for. An
// Error says why it was refused; call it again directly before the work is
// sent if it has waited in between.
func (r *Rollout) Authorize(secret string, queue cluster.QueueName) (cluster.TeamName, error) {
	return "", nil
}

// HandlePeer takes a message of a peer: Hello, Ping, ConfigPush, ConfigPoll, ConfigAck and Leaving; it ignores others.
func (r *Rollout) HandlePeer(from cluster.DaemonID, m peer.Message) {}

// FillDigest sets the fields of a digest that belong to the configuration and the members.
func (r *Rollout) FillDigest(d *peer.Digest) {}

// OnChange registers a function that is called with each new snapshot, in order; it must not block.
func (r *Rollout) OnChange(f func(*cluster.Snapshot)) {}

// Guard returns an applier that refuses notes while this daemon may not accept
// any, and counts the entities of a note as withdrawn or lowered until its
// outcome is known.
func (r *Rollout) Guard(next note.Applier) note.Applier { return next }

// Status describes the state for operators.
type Status struct {
	Version   cluster.Version
	AsOf      cluster.Version
	Relay     cluster.DaemonID
	Fresh     bool
	Reason    string
	Confirmed time.Time
	// MayAccept says whether this daemon may accept notes.
	MayAccept bool
	Doubtful  []cluster.EntityID
}

// Status returns the state.
func (r *Rollout) Status() Status { return Status{} }
