package rollout

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindUnknownKey is a secret that no key in force has.
	KindUnknownKey Kind = iota
	// KindWrongTeam is a key of a team that the queue does not admit.
	KindWrongTeam
	// KindUnknownQueue is a queue that does not exist.
	KindUnknownQueue
	// KindStale says that the configuration is not known to be in force; the work was not run and a retry can help.
	KindStale
	// KindNotAcknowledged says that this daemon may not accept notes yet.
	KindNotAcknowledged
)

var kindNames = [...]string{"unknown key", "wrong team", "unknown queue", "stale configuration", "not acknowledged"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Error is the error of every operation of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
