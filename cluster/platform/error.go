package platform

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindInvalid is a request that can't be right.
	KindInvalid Kind = iota
	// KindConflict is a failed check; nothing was applied.
	KindConflict
	// KindUnavailable is an outage; nothing was applied.
	KindUnavailable
	// KindUnknown is a lost answer; the request may have been applied.
	KindUnknown
	// KindNotFound is a missing object or rack.
	KindNotFound
	// KindThrottled is a request over the platform's rate limits; nothing was applied.
	KindThrottled
	// KindExpired is a SinceVersion so old that later deletes are no longer known; the caller reads everything again.
	KindExpired
)

var kindNames = [...]string{"invalid", "conflict", "unavailable", "unknown", "not found", "throttled", "expired"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

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
	s := fmt.Sprintf("%s: %s", e.Op, e.Kind)
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
