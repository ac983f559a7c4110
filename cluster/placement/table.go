package placement

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Table holds the workers of the racks that one daemon owns.
//
// Workers are indexed by capacity class and free capacity, so that the cost of a
// placement depends on the number of distinct free capacities rather than on the
// number of workers. Placement depends only on the contents of the table, not on
// the order of the calls that produced them.
type Table struct {
	workers []Worker
	// nodes holds the index entry of each worker, in the order of workers.
	nodes        []*workerNode
	positionByID map[cluster.WorkerID]int
	classes      []*capacityClass
	zones        map[cluster.Place]*zone
	racks        []*rack
	rackByID     map[rackKey]*rack
	reservations []*reservation
	total        cluster.Resources
}

// workerNode is the index entry of a worker.
type workerNode struct {
	// position is the worker's index in Table.workers and Table.nodes.
	position int
	class    *capacityClass
	rack     *rack
	bucket   *bucket
	// unreservedFree is the free capacity outside reservations. The entries of a bucket are sorted by it.
	unreservedFree cluster.Resources
	// inverse converts amounts to fractions of the worker's capacity.
	inverse inverseCapacity
	// reservation is the reservation that includes the worker, if any, and reservedAmount the
	// capacity it reserves there.
	reservation    *reservation
	reservedAmount cluster.Resources
	// jobTasks is the number of tasks of the requesting job on the worker; it is nonzero only during findSpreadNode.
	jobTasks int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		positionByID: map[cluster.WorkerID]int{},
		zones:        map[cluster.Place]*zone{},
		rackByID:     map[rackKey]*rack{},
	}
}

// Set adds or replaces a worker. Replacing a worker keeps its reservation.
func (t *Table) Set(w Worker) {
	position, ok := t.positionByID[w.ID]
	if !ok {
		t.positionByID[w.ID] = len(t.workers)
		t.workers = append(t.workers, w)
		t.nodes = append(t.nodes, &workerNode{position: len(t.workers) - 1})
		t.addToIndex(t.nodes[len(t.workers)-1])
		return
	}
	old, n := &t.workers[position], t.nodes[position]
	if old.Capacity == w.Capacity && old.Rack == w.Rack && old.Place == w.Place && old.Closed == w.Closed {
		old.Used = w.Used
		t.reindex(n)
		return
	}
	t.removeFromIndex(n)
	t.workers[position] = w
	t.addToIndex(n)
}

// Remove removes a worker.
func (t *Table) Remove(id cluster.WorkerID) {
	position, ok := t.positionByID[id]
	if !ok {
		return
	}
	t.removeFromIndex(t.nodes[position])
	last := len(t.workers) - 1
	t.workers[position], t.nodes[position] = t.workers[last], t.nodes[last]
	t.nodes[position].position = position
	t.positionByID[t.workers[position].ID] = position
	t.workers[last], t.nodes[last] = Worker{}, nil
	t.workers, t.nodes = t.workers[:last], t.nodes[:last]
	delete(t.positionByID, id)
}

// Get returns a worker.
func (t *Table) Get(id cluster.WorkerID) (Worker, bool) {
	position, ok := t.positionByID[id]
	if !ok {
		return Worker{}, false
	}
	return t.workers[position], true
}

// Workers returns the workers in no particular order. The slice is shared with the table and must not be modified.
func (t *Table) Workers() []Worker { return t.workers }

// Total returns the capacity of all workers, including closed ones.
func (t *Table) Total() cluster.Resources { return t.total }

// SetClosed sets whether a worker is closed to new tasks.
func (t *Table) SetClosed(id cluster.WorkerID, closed bool) {
	position, ok := t.positionByID[id]
	if !ok || t.workers[position].Closed == closed {
		return
	}
	t.removeFromIndex(t.nodes[position])
	t.workers[position].Closed = closed
	t.addToIndex(t.nodes[position])
}

// Allocate adds size to the used capacity of a worker. If the worker has too little
// free capacity, it returns false and changes nothing. Reservations are checked by
// Place and ignored here, because a task that already runs must always be counted.
func (t *Table) Allocate(id cluster.WorkerID, size cluster.Resources) bool {
	position, ok := t.positionByID[id]
	if !ok || !size.Fits(t.workers[position].Free()) {
		return false
	}
	t.workers[position].Used = t.workers[position].Used.Add(size)
	t.reindex(t.nodes[position])
	return true
}

// Release subtracts size from the used capacity of a worker.
func (t *Table) Release(id cluster.WorkerID, size cluster.Resources) {
	if position, ok := t.positionByID[id]; ok {
		t.workers[position].Used = t.workers[position].Used.Sub(size).Max(cluster.Resources{})
		t.reindex(t.nodes[position])
	}
}

// addToIndex adds a worker to its capacity class, rack and bucket.
func (t *Table) addToIndex(n *workerNode) {
	w := &t.workers[n.position]
	n.inverse = newInverseCapacity(w.Capacity)
	n.class = t.classFor(w.Capacity)
	n.class.workerCount++
	t.total = t.total.Add(w.Capacity)
	t.addToRack(n, w)
	if !w.Closed {
		n.class.openCount++
	}
	t.reindex(n)
}

// removeFromIndex removes a worker from its capacity class, rack and bucket.
func (t *Table) removeFromIndex(n *workerNode) {
	w := &t.workers[n.position]
	if n.bucket != nil {
		n.class.remove(n, w.ID)
	}
	n.class.workerCount--
	if !w.Closed {
		n.class.openCount--
	}
	t.removeClassIfEmpty(n.class)
	t.total = t.total.Sub(w.Capacity)
	t.removeFromRack(n)
}

// reindex moves a worker to the bucket that matches its free capacity and updates its rack.
func (t *Table) reindex(n *workerNode) {
	w := &t.workers[n.position]
	free := w.Free()
	if n.reservation != nil {
		free = free.Sub(n.reservedAmount)
	}
	if n.bucket != nil {
		if free == n.unreservedFree {
			return
		}
		n.class.remove(n, w.ID)
	}
	n.unreservedFree = free
	if !w.Closed && !free.Negative() {
		n.class.insert(n, w.ID)
	}
	n.rack.updateMaxFree(t)
}

// Place selects a worker for a task without allocating capacity on it.
func (t *Table) Place(req Request) (cluster.WorkerID, Reason) {
	if n := t.findNode(&req); n != nil {
		return t.workers[n.position].ID, Placed
	}
	return "", t.failureReason(req.Size)
}

// findNode returns the worker for a request, or nil.
func (t *Table) findNode(req *Request) *workerNode {
	if req.Spread {
		return t.findSpreadNode(req)
	}
	best := candidate{}
	for _, class := range t.classes {
		if class.openCount > 0 {
			t.searchClass(class, req, &best)
		}
	}
	t.searchReserved(req, &best)
	return best.node
}

// failureReason returns why no worker can run a task of the given size now.
func (t *Table) failureReason(size cluster.Resources) Reason {
	reason := TooLarge
	for _, class := range t.classes {
		if !size.Fits(class.maxCapacity) {
			continue
		}
		if size.Fits(class.minCapacity) {
			if class.openCount > 0 {
				return NoFreeCapacity
			}
			reason = AllClosed
			continue
		}
		// The size is between the smallest and the largest capacity of the class, so each worker's capacity decides.
		for i := range t.workers {
			if w := &t.workers[i]; t.nodes[i].class == class && size.Fits(w.Capacity) {
				if !w.Closed {
					return NoFreeCapacity
				}
				reason = AllClosed
			}
		}
	}
	return reason
}
