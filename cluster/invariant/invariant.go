package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// ID is the name of an invariant; docs/design.md describes the invariants.
type ID string

// The invariants. No code in this repository reports violations of OwnResponse or Graceful.
const (
	// Capacity: the tasks on a worker fit into its CPU, memory and accelerators.
	Capacity ID = "capacity"
	// SingleAttempt: at most one attempt of a task runs at a time.
	SingleAttempt ID = "single-attempt"
	// KeyTeam: work runs only for the team whose key came with it, except on open
	// queues.
	KeyTeam ID = "key-team"
	// Withdrawn: a withdrawn key is refused within a limited time.
	Withdrawn ID = "withdrawn"
	// Limit: slots in use, requests in flight and resources granted to teams stay
	// within the capacities and limits.
	Limit ID = "limit"
	// OwnResponse: a caller gets the complete response to its own request, also
	// when responses arrive late or out of order.
	OwnResponse ID = "own-answer"
	// NotRun: a request that is reported as not run has not run.
	NotRun ID = "not-run"
	// AtMostOnce: a request that is not idempotent is sent at most once.
	AtMostOnce ID = "at-most-once"
	// Leaving: no request is sent to a runner that accepts no new requests.
	Leaving ID = "leaving"
	// Graceful: a planned stop of a daemon interrupts no request.
	Graceful ID = "graceful"
	// Head: the number of the latest accepted release note never decreases.
	Head ID = "head"
)

// Config configures a Recorder.
type Config struct {
	Log     zerolog.Logger
	Metrics tally.Scope
	// OnViolation is called with the message of each violation. Tests set it to
	// fail the run; in production it is nil.
	OnViolation func(message string)
}

// Recorder counts, logs and reports violations of invariants.
type Recorder struct {
	cfg   Config
	count atomic.Int64
}

// New returns a recorder.
func New(cfg Config) *Recorder {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return &Recorder{cfg: cfg}
}

// Require records a violation of the invariant if ok is false, with a message
// made of format and args. It returns ok; a nil recorder records nothing.
func (r *Recorder) Require(ok bool, id ID, format string, args ...any) bool {
	if ok || r == nil {
		return ok
	}
	r.count.Add(1)
	message := fmt.Sprintf("%s: %s", id, fmt.Sprintf(format, args...))
	r.cfg.Log.Error().Str("invariant", string(id)).Msg("invariant: violated: " + message)
	r.cfg.Metrics.Tagged(map[string]string{"invariant": string(id)}).Counter("invariant_violations").Inc(1)
	if r.cfg.OnViolation != nil {
		r.cfg.OnViolation(message)
	}
	return false
}

// Violations returns the number of violations recorded so far.
func (r *Recorder) Violations() int64 { return r.count.Load() }
