package peer

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a frame body that is not a valid message.
	KindMalformed Kind = iota
	// KindUnknownMessage is a message of a type that this version does not know.
	KindUnknownMessage
	// KindOversized is a frame larger than MaxFrame, or a list or string that is
	// longer than its limit or than the rest of the frame.
	KindOversized
	// KindHandshake is a connection that does not start with a Hello from the
	// expected daemon.
	KindHandshake
	// KindConnection is a failed read or write on a connection.
	KindConnection
)

var kindNames = [...]string{"malformed", "unknown message", "oversized", "handshake", "connection"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Error is the error of every operation of the package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
