package gateway

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a row that cannot be encoded or decoded.
	KindMalformed Kind = iota
	// KindDraining means that requests were still running when the context of Drain ended.
	KindDraining
)

var kindNames = [...]string{"malformed", "draining"}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
