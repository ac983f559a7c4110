package workload

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindInvalid is the kind of a job that can't be accepted.
	KindInvalid Kind = iota
	// KindMalformed is the kind of a row that can't be decoded or encoded.
	KindMalformed
)

var kindNames = [...]string{"invalid", "malformed"}

// Error is the error type of all operations of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
