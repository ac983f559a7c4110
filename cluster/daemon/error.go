package daemon

import "fmt"

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindSetting means that the value of a setting is not allowed.
	KindSetting Kind = iota
	// KindListen means that an address can't be listened on or that the HTTP server failed.
	KindListen
	// KindStopped means that the daemon was stopped before it had joined the cell.
	KindStopped
)

var kindNames = [...]string{"invalid setting", "can't listen", "stopped"}

// Error is the type of all errors that the package returns.
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
