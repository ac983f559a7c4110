package placement

import (
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
}

// Table holds the workers of the racks that one daemon owns.
type Table struct {
	workers []Worker
	index   map[cluster.WorkerID]int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{index: map[cluster.WorkerID]int{}} }

// Set adds or replaces a worker.
func (t *Table) Set(w Worker) {
	if i, ok := t.index[w.ID]; ok {
		t.workers[i] = w
		return
	}
	t.index[w.ID] = len(t.workers)
	t.workers = append(t.workers, w)
}

// Remove removes a worker.
func (t *Table) Remove(id cluster.WorkerID) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	last := len(t.workers) - 1
	t.workers[i] = t.workers[last]
	t.index[t.workers[i].ID] = i
	t.workers = t.workers[:last]
	delete(t.index, id)
}

// Get returns a worker.
func (t *Table) Get(id cluster.WorkerID) (Worker, bool) {
	i, ok := t.index[id]
	if !ok {
		return Worker{}, false
	}
	return t.workers[i], true
}

// Workers returns the workers in no order; the slice is the table's own and is not to be modified.
func (t *Table) Workers() []Worker { return t.workers }

// SetClosed opens or closes a worker for new tasks.
func (t *Table) SetClosed(id cluster.WorkerID, closed bool) {
	if i, ok := t.index[id]; ok {
		t.workers[i].Closed = closed
	}
}

// Occupy adds size to what is used on a worker; it returns false and changes nothing if there is too little left.
func (t *Table) Occupy(id cluster.WorkerID, size cluster.Resources) bool {
	i, ok := t.index[id]
	if !ok || !size.Fits(t.workers[i].Free()) {
		return false
	}
	t.workers[i].Used = t.workers[i].Used.Add(size)
	return true
}

// Release gives size back to a worker.
func (t *Table) Release(id cluster.WorkerID, size cluster.Resources) {
	if i, ok := t.index[id]; ok {
		t.workers[i].Used = t.workers[i].Used.Sub(size).Max(cluster.Resources{})
	}
}

// Place returns the worker for a task without occupying it.
func (t *Table) Place(req Request) (cluster.WorkerID, Reason) {
	reason := TooLarge
	for i := range t.workers {
		w := &t.workers[i]
		if !req.Size.Fits(w.Capacity) {
			continue
		}
		if w.Closed {
			if reason == TooLarge {
				reason = AllClosed
			}
			continue
		}
		if req.Size.Fits(w.Free()) {
			return w.ID, Placed
		}
		reason = NoRoomNow
	}
	return "", reason
}

// PlaceAll returns workers for n tasks of a gang job, or none, without occupying them.
func (t *Table) PlaceAll(req Request, n int) ([]cluster.WorkerID, Reason) {
	placed := make([]cluster.WorkerID, 0, n)
	defer func() {
		for _, id := range placed {
			t.Release(id, req.Size)
		}
	}()
	for range n {
		id, reason := t.Place(req)
		if reason != Placed {
			return nil, reason
		}
		t.Occupy(id, req.Size)
		placed = append(placed, id)
	}
	return append([]cluster.WorkerID(nil), placed...), Placed
}
