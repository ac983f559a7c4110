package cell

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// KindUnavailable means that a daemon or the store can't be reached; nothing was done.
	KindUnavailable Kind = iota
	// KindUnknown means that the reply was lost; the request may have been carried out.
	KindUnknown
	// KindNotFound means that a job or a queue does not exist.
	KindNotFound
	// KindMalformed means that a row or a message can't be encoded or decoded.
	KindMalformed
	// KindOverloaded means that no more requests can be accepted now; nothing was done.
	KindOverloaded
	// KindRejected means that a job was not accepted because of load and does not run; see Error.RetryAfter.
	KindRejected
	// KindCancelled means that a job was cancelled before it was accepted and does not run.
	KindCancelled
	// KindSetting means that a Config is invalid.
	KindSetting
)

var kindNames = [...]string{"unavailable", "unknown", "not found", "malformed", "overloaded", "rejected", "cancelled", "setting"}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// RetryAfter is when the caller should try again; zero if that is not known.
	RetryAfter time.Duration
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
