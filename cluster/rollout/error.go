package rollout

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindUnknownKey means that no key in force has the given secret.
	KindUnknownKey Kind = iota
	// KindWrongTeam means that the key belongs to a team that the queue does not admit.
	KindWrongTeam
	// KindUnknownQueue means that the queue does not exist.
	KindUnknownQueue
	// KindStale means that this daemon's configuration may be out of date. The
	// work was not run, and a retry can succeed.
	KindStale
	// KindNotAcknowledged means that this daemon must not accept notes, because
	// some member has not acknowledged it or because it is leaving.
	KindNotAcknowledged
)

var kindNames = [...]string{"unknown key", "wrong team", "unknown queue", "stale configuration", "not acknowledged"}

// String returns the name of the kind, which is also a metric tag.
func (k Kind) String() string { return kindNames[k] }

// Error is returned by the operations of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one message.
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
