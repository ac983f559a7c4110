package rack

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a row that cannot be encoded or decoded.
	KindMalformed Kind = iota
)

var kindNames = [...]string{"malformed"}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
