package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Worker describes a worker to the scheduler.
type Worker struct {
	ID       cluster.WorkerID
	Rack     cluster.RackID
	Place    cluster.Place
	Capacity cluster.Resources
	// Used is the sum of the resources granted to tasks on the worker.
	Used cluster.Resources
	// Closed workers get no new tasks: they are unreachable, not fenced, leaving or quarantined.
	Closed bool
}

// Free returns the capacity that is not granted to tasks.
func (w *Worker) Free() cluster.Resources { return w.Capacity.Sub(w.Used) }

// Reason is the result of a placement attempt: success or why it failed.
type Reason int

// Placement results.
const (
	// Placed means that a worker was found.
	Placed Reason = iota
	// NoFreeCapacity means that an open worker is large enough but has too little free capacity.
	NoFreeCapacity
	// TooLarge means that the request exceeds the capacity of every worker.
	TooLarge
	// AllClosed means that all workers that are large enough are closed.
	AllClosed
)

var reasonNames = [...]string{"placed", "no room now", "larger than every worker", "all large enough workers are closed"}

// String returns a description of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Request asks for a worker for one task.
type Request struct {
	Size cluster.Resources
	// Spread selects the worker whose zone and rack run the fewest tasks of the job. It is set for services.
	Spread bool
	// PeerWorkers holds the worker of each running task of the job; it is used only with Spread.
	PeerWorkers []cluster.WorkerID
	// Job is the job of the task; it may use the capacity that is reserved for it. If it is
	// empty, no reservation counts as the request's own.
	Job cluster.JobID
	// EndAt is when the task is expected to end; zero means unknown. A task that ends
	// before a reservation starts may use the reserved capacity.
	EndAt time.Time
}
