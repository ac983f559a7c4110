package member

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a member row that can't be decoded or encoded.
	KindMalformed Kind = iota
	// KindStore is a failed call of the table service.
	KindStore
	// KindPlatform is a failed read of the platform's VM list.
	KindPlatform
)

var kindNames = [...]string{"malformed", "store", "platform"}

// Error is returned by the operations of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one message.
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
