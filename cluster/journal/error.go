package journal

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindConflict means that a check failed; the change was not applied.
	KindConflict Kind = iota
	// KindUnavailable means that the store could not be used, its rate limit was
	// exceeded for too long or the queue was full; the change was not applied.
	KindUnavailable
	// KindUnknown means that the caller stopped waiting or the journal was closed
	// before the result was known, or that the writer row, which shows it, was
	// deleted; the change may have been applied.
	KindUnknown
	// KindClosed means that the journal was closed; the change was not applied.
	KindClosed
	// KindInvalid means that the table service refused the transaction as invalid; the change was not applied.
	KindInvalid
)

var kindNames = [...]string{"conflict", "unavailable", "unknown", "closed", "invalid"}

// Error is the type of all errors that the package returns.
type Error struct {
	Op   string
	Kind Kind
	// Key is the row whose check failed, for KindConflict.
	Key string
	Err error
}

// Error formats the operation, the kind, the key and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	if e.Key != "" {
		s += " at " + e.Key
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
