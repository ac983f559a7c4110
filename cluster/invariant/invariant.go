package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// ID names an invariant of docs/design.md.
type ID string

// The invariants.
const (
	Capacity      ID = "capacity"
	SingleAttempt ID = "single-attempt"
	KeyTeam       ID = "key-team"
	Withdrawn     ID = "withdrawn"
	Limit         ID = "limit"
	OwnAnswer     ID = "own-answer"
	NotRun        ID = "not-run"
	AtMostOnce    ID = "at-most-once"
	Leaving       ID = "leaving"
	Graceful      ID = "graceful"
	Head          ID = "head"
)

// Config configures a Recorder.
type Config struct {
	Log     zerolog.Logger
	Metrics tally.Scope
	// Fail is called with each violation; tests set it to fail the run, production leaves it nil.
	Fail func(message string)
}

// Recorder counts and logs violations.
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

// Require records a violation of the invariant unless ok holds; it returns ok. A nil recorder only returns ok.
func (r *Recorder) Require(ok bool, id ID, format string, args ...any) bool {
	if ok || r == nil {
		return ok
	}
	r.count.Add(1)
	message := fmt.Sprintf("%s: %s", id, fmt.Sprintf(format, args...))
	r.cfg.Log.Error().Str("invariant", string(id)).Msg("invariant: violated: " + message)
	r.cfg.Metrics.Tagged(map[string]string{"invariant": string(id)}).Counter("invariant_violations").Inc(1)
	if r.cfg.Fail != nil {
		r.cfg.Fail(message)
	}
	return false
}

// Violations returns the number of violations so far.
func (r *Recorder) Violations() int64 { return r.count.Load() }
