package clientlimit

import (
	"fmt"
	"net/http"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// KindTooLarge means that a body is larger than allowed, KindEnded that it ended early.
	KindTooLarge Kind = iota
	KindEnded
	// KindLate means that a body did not arrive in time.
	KindLate
	// KindEvicted means that a body was closed in favor of others, KindNoMemory that there is no memory for it.
	KindEvicted
	KindNoMemory
)

var kindNames = [...]string{"the body is too large", "the body ended early", "the body did not arrive in time", "too many requests at once", "too many requests at once"}

// Error is the error type of the package; its text may be sent to the client.
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

// Status returns the HTTP status of the response to a request whose body is not accepted.
func (e *Error) Status() int {
	switch e.Kind {
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindLate:
		return http.StatusRequestTimeout
	case KindEvicted, KindNoMemory:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// Limit returns the name of the limit that the body or its client exceeds; empty if the body itself is at fault.
func (e *Error) Limit() string {
	switch e.Kind {
	case KindLate:
		return "body too slow"
	case KindEvicted:
		return "body closed for others"
	case KindNoMemory:
		return "no memory for the body"
	}
	return ""
}
