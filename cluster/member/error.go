package member

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a member row that does not decode.
	KindMalformed Kind = iota
	// KindStore is a failure of the table service.
	KindStore
	// KindPlatform is a failure of the VM list.
	KindPlatform
)

var kindNames = [...]string{"malformed", "store", "platform"}

// Error is the error of every operation of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
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
