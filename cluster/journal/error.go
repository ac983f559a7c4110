package journal

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindConflict is a failed check; the change was not applied.
	KindConflict Kind = iota
	// KindUnavailable is an outage; the change was not applied.
	KindUnavailable
	// KindUnknown says that the caller stopped waiting before the result was known.
	KindUnknown
	// KindClosed says that the journal was closed; the change was not applied.
	KindClosed
	// KindInvalid is a change that the table service refused as malformed.
	KindInvalid
)

var kindNames = [...]string{"conflict", "unavailable", "unknown", "closed", "invalid"}

// Error is the error of every operation of the package.
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
