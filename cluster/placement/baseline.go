package placement

import (
	"math/rand/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Policy chooses a worker of a table for a task.
type Policy interface {
	Place(t *Table, req Request) (cluster.WorkerID, Reason)
}

// Indexed is the policy of Table.Place.
type Indexed struct{}

// FirstFit takes the first worker with room in the order of the table.
type FirstFit struct{}

// BestFit takes the worker with the least left over all resources.
type BestFit struct{}

// RandomFit takes any worker with room with the same probability.
type RandomFit struct{ Rand *rand.Rand }

// Place implements Policy.
func (Indexed) Place(t *Table, req Request) (cluster.WorkerID, Reason) { return t.Place(req) }

// Place implements Policy.
func (FirstFit) Place(t *Table, req Request) (cluster.WorkerID, Reason) {
	for i := range t.workers {
		if w := &t.workers[i]; !w.Closed && req.Size.Fits(t.freeFor(t.nodes[i], &req)) {
			return w.ID, Placed
		}
	}
	return "", t.reason(req.Size)
}

// Place implements Policy.
func (BestFit) Place(t *Table, req Request) (cluster.WorkerID, Reason) {
	best := candidate{}
	for i := range t.workers {
		w, n := &t.workers[i], t.nodes[i]
		if free := t.freeFor(n, &req); !w.Closed && req.Size.Fits(free) {
			cpu, memory := n.scale.fractions(free.Sub(req.Size))
			best.offer(n, w.ID, cpu+memory)
		}
	}
	if best.node == nil {
		return "", t.reason(req.Size)
	}
	return best.id, Placed
}

// Place implements Policy.
func (p RandomFit) Place(t *Table, req Request) (cluster.WorkerID, Reason) {
	var chosen *Worker
	seen := 0
	for i := range t.workers {
		w := &t.workers[i]
		if w.Closed || !req.Size.Fits(t.freeFor(t.nodes[i], &req)) {
			continue
		}
		// Reservoir sampling needs no list of the workers with room.
		if seen++; p.Rand.IntN(seen) == 0 {
			chosen = w
		}
	}
	if chosen == nil {
		return "", t.reason(req.Size)
	}
	return chosen.ID, Placed
}
