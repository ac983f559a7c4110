package api

import "strings"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed means that a body is not JSON of the expected form.
	KindMalformed Kind = iota
	// KindInvalid means that fields of a body have values that are not allowed.
	KindInvalid
)

var kindNames = [...]string{"malformed", "invalid"}

// Error is the error returned for a body that can't be accepted.
type Error struct {
	Op   string
	Kind Kind
	// Fields has one line per invalid field, for KindInvalid.
	Fields []string
	Err    error
}

// Error formats the operation, the kind and the causes.
func (e *Error) Error() string {
	s := e.Op + ": " + kindNames[e.Kind]
	if len(e.Fields) > 0 {
		s += ": " + strings.Join(e.Fields, "; ")
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
