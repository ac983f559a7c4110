package peer

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a frame body that is no message.
	KindMalformed Kind = iota
	// KindUnknownMessage is a message with a tag that this version does not know.
	KindUnknownMessage
	// KindOversized is a frame over MaxFrame or a list over its limit.
	KindOversized
	// KindHandshake is a connection that does not start with a Hello.
	KindHandshake
	// KindConnection is a failure of the connection.
	KindConnection
)

var kindNames = [...]string{"malformed", "unknown message", "oversized", "handshake", "connection"}

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
