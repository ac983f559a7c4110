package daemon

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindSetting is a setting with a value that is not allowed.
	KindSetting Kind = iota
	// KindListen is an address that could not be listened on.
	KindListen
	// KindStopped says that the daemon was stopped before it had started.
	KindStopped
)

var kindNames = [...]string{"invalid setting", "can't listen", "stopped"}

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
