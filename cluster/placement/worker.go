package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Worker is the state of a worker that placement needs.
type Worker struct {
	ID       cluster.WorkerID
	Rack     cluster.RackID
	Place    cluster.Place
	Capacity cluster.Resources
	// Used is the sum of what was granted on the worker.
	Used cluster.Resources
	// Closed workers take no new tasks: unreachable, unfenced, leaving or quarantined ones.
	Closed bool
}

// Free returns what is left on the worker.
func (w *Worker) Free() cluster.Resources { return w.Capacity.Sub(w.Used) }

// Reason says why a request was not placed.
type Reason int

// Reasons.
const (
	// Placed means that there was room.
	Placed Reason = iota
	// NoRoomNow means that some open worker is large enough but too full.
	NoRoomNow
	// TooLarge means that no worker is large enough.
	TooLarge
	// AllClosed means that the workers that are large enough take no new tasks.
	AllClosed
)

var reasonNames = [...]string{"placed", "no room now", "larger than every worker", "all large enough workers are closed"}

// String returns the reason in words.
func (r Reason) String() string { return reasonNames[r] }

// Request asks for room for one task.
type Request struct {
	Size cluster.Resources
	// Spread asks for the worker whose zone and rack have the fewest tasks of the job; it is set for services.
	Spread bool
	// Peers holds the workers that run tasks of the same job; it is read for Spread only.
	Peers []cluster.WorkerID
	// Job may use room that is reserved for it; empty means that no reservation is the request's own.
	Job cluster.JobID
	// End is when the task is expected to have ended. A task that ends before a
	// reservation starts may use the reserved room; zero means that the end is not known.
	End time.Time
}
