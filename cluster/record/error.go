package record

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is data that does not decode to a valid value.
	KindMalformed Kind = iota
	// KindUnsupported is a type or an entity kind that has no encoding.
	KindUnsupported
)

var kindNames = [...]string{"malformed", "unsupported"}

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
		return fmt.Sprintf("%s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }
