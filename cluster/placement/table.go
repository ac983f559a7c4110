package placement

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Table holds the workers of the racks that one daemon owns.
//
// Workers are indexed by capacity class and free amounts, so that the cost of a
// placement depends on the number of distinct free amounts and not on the number
// of workers. The same contents give the same placement, whatever the order of
// the calls that led to them.
type Table struct {
	workers []Worker
	// nodes holds the index entry of the worker at the same position.
	nodes        []*node
	index        map[cluster.WorkerID]int
	classes      []*class
	zones        map[cluster.Place]*zone
	racks        []*rack
	rackByID     map[rackKey]*rack
	reservations []*reservation
	total        cluster.Resources
}

// node ties a worker to its places in the index.
type node struct {
	// at is the worker's position in the table.
	at     int
	class  *class
	rack   *rack
	bucket *bucket
	// free is what others than the holder of a reservation may use; it is the bucket's sort key.
	free cluster.Resources
	// scale converts amounts to fractions of the worker's capacity.
	scale scale
	// reservation is the one that covers the worker, and reserved its amount there.
	reservation *reservation
	reserved    cluster.Resources
	// peers counts the tasks of the job that is being spread.
	peers int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		index:    map[cluster.WorkerID]int{},
		zones:    map[cluster.Place]*zone{},
		rackByID: map[rackKey]*rack{},
	}
}

// Set adds or replaces a worker; a reservation on it stays if the worker does.
func (t *Table) Set(w Worker) {
	at, ok := t.index[w.ID]
	if !ok {
		t.index[w.ID] = len(t.workers)
		t.workers = append(t.workers, w)
		t.nodes = append(t.nodes, &node{at: len(t.workers) - 1})
		t.attach(t.nodes[len(t.workers)-1])
		return
	}
	old, n := &t.workers[at], t.nodes[at]
	if old.Capacity == w.Capacity && old.Rack == w.Rack && old.Place == w.Place && old.Closed == w.Closed {
		old.Used = w.Used
		t.reindex(n)
		return
	}
	t.detach(n)
	t.workers[at] = w
	t.attach(n)
}

// Remove removes a worker.
func (t *Table) Remove(id cluster.WorkerID) {
	at, ok := t.index[id]
	if !ok {
		return
	}
	t.detach(t.nodes[at])
	last := len(t.workers) - 1
	t.workers[at], t.nodes[at] = t.workers[last], t.nodes[last]
	t.nodes[at].at = at
	t.index[t.workers[at].ID] = at
	t.workers[last], t.nodes[last] = Worker{}, nil
	t.workers, t.nodes = t.workers[:last], t.nodes[:last]
	delete(t.index, id)
}

// Get returns a worker.
func (t *Table) Get(id cluster.WorkerID) (Worker, bool) {
	at, ok := t.index[id]
	if !ok {
		return Worker{}, false
	}
	return t.workers[at], true
}

// Workers returns the workers in no order; the slice is the table's own and is not to be modified.
func (t *Table) Workers() []Worker { return t.workers }

// Total returns the capacity of all workers, closed ones included.
func (t *Table) Total() cluster.Resources { return t.total }

// SetClosed opens or closes a worker for new tasks.
func (t *Table) SetClosed(id cluster.WorkerID, closed bool) {
	at, ok := t.index[id]
	if !ok || t.workers[at].Closed == closed {
		return
	}
	t.detach(t.nodes[at])
	t.workers[at].Closed = closed
	t.attach(t.nodes[at])
}

// Occupy adds size to what is used on a worker; it returns false and changes nothing if there is too little left.
// It does not look at reservations: Place does, and a task that runs already must be counted in any case.
func (t *Table) Occupy(id cluster.WorkerID, size cluster.Resources) bool {
	at, ok := t.index[id]
	if !ok || !size.Fits(t.workers[at].Free()) {
		return false
	}
	t.workers[at].Used = t.workers[at].Used.Add(size)
	t.reindex(t.nodes[at])
	return true
}

// Release gives size back to a worker.
func (t *Table) Release(id cluster.WorkerID, size cluster.Resources) {
	if at, ok := t.index[id]; ok {
		t.workers[at].Used = t.workers[at].Used.Sub(size).Max(cluster.Resources{})
		t.reindex(t.nodes[at])
	}
}

// attach enters a worker into its class, rack and bucket.
func (t *Table) attach(n *node) {
	w := &t.workers[n.at]
	n.scale = newScale(w.Capacity)
	n.class = t.classOf(w.Capacity)
	n.class.workers++
	t.total = t.total.Add(w.Capacity)
	t.joinRack(n, w)
	if !w.Closed {
		n.class.open++
	}
	t.reindex(n)
}

// detach takes a worker out of its class, rack and bucket.
func (t *Table) detach(n *node) {
	w := &t.workers[n.at]
	if n.bucket != nil {
		n.class.remove(n, w.ID)
	}
	n.class.workers--
	if !w.Closed {
		n.class.open--
	}
	t.dropEmptyClass(n.class)
	t.total = t.total.Sub(w.Capacity)
	t.leaveRack(n)
}

// reindex moves a worker to the bucket of its free amounts.
func (t *Table) reindex(n *node) {
	w := &t.workers[n.at]
	free := w.Free()
	if n.reservation != nil {
		free = free.Sub(n.reserved)
	}
	if n.bucket != nil {
		if free == n.free {
			return
		}
		n.class.remove(n, w.ID)
	}
	n.free = free
	if !w.Closed && !free.Negative() {
		n.class.insert(n, w.ID)
	}
	n.rack.update(t)
}

// Place returns the worker for a task without occupying it.
func (t *Table) Place(req Request) (cluster.WorkerID, Reason) {
	if n := t.find(&req); n != nil {
		return t.workers[n.at].ID, Placed
	}
	return "", t.reason(req.Size)
}

func (t *Table) find(req *Request) *node {
	if req.Spread {
		return t.spread(req)
	}
	c := candidate{}
	for _, cl := range t.classes {
		if cl.open > 0 {
			t.search(cl, req, &c)
		}
	}
	t.searchReserved(req, &c)
	return c.node
}

// reason says why no worker has room for size.
func (t *Table) reason(size cluster.Resources) Reason {
	reason := TooLarge
	for _, c := range t.classes {
		if !size.Fits(c.largest) {
			continue
		}
		if size.Fits(c.smallest) {
			if c.open > 0 {
				return NoRoomNow
			}
			reason = AllClosed
			continue
		}
		// Only in a class at the edge do the capacities of its workers matter.
		for i := range t.workers {
			if w := &t.workers[i]; t.nodes[i].class == c && size.Fits(w.Capacity) {
				if !w.Closed {
					return NoRoomNow
				}
				reason = AllClosed
			}
		}
	}
	return reason
}
