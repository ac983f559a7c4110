package platform

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// KindInvalid is a request that is rejected because of its content.
	KindInvalid Kind = iota
	// KindConflict is a transaction with a failed check; nothing was applied.
	KindConflict
	// KindUnavailable is an outage; nothing was applied.
	KindUnavailable
	// KindUnknown is a lost reply; the request may have been applied.
	KindUnknown
	// KindNotFound is a missing object or rack.
	KindNotFound
	// KindThrottled is a request that exceeds the platform's rate limits; nothing was applied.
	KindThrottled
	// KindExpired is a read with a SinceVersion so old that some later deletes
	// are no longer stored; the caller must read all rows again.
	KindExpired
)

var kindNames = [...]string{"invalid", "conflict", "unavailable", "unknown", "not found", "throttled", "expired"}

// String returns the name of the kind as it is encoded in replies.
func (k Kind) String() string { return kindNames[k] }

// Error is the error of every operation of the package.
type Error struct {
	// Op is the name of the operation, such as "commit".
	Op   string
	Kind Kind
	// Key is the row whose check failed for KindConflict, or the ID or name that
	// was not found for KindNotFound.
	Key string
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the operation, the kind, the key and the cause.
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
