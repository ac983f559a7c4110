package api

import "strings"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a body that is not the expected JSON.
	KindMalformed Kind = iota
	// KindInvalid is a body with fields that can't be right.
	KindInvalid
)

var kindNames = [...]string{"malformed", "invalid"}

// Error is the error of every operation of the package.
type Error struct {
	Op   string
	Kind Kind
	// Fields has one line per wrong field, for KindInvalid.
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
