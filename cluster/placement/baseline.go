package placement

import (
	"math/rand/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Policy selects a worker of a table for a task.
type Policy interface {
	Place(t *Table, req Request) (cluster.WorkerID, Reason)
}

// Indexed selects the worker that Table.Place selects.
type Indexed struct{}

// FirstFit selects the first fitting worker in table order.
type FirstFit struct{}

// BestFit selects the fitting worker with the smallest sum of remaining CPU and memory fractions.
type BestFit struct{}

// RandomFit selects a fitting worker uniformly at random.
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
	return "", t.failureReason(req.Size)
}

// Place implements Policy.
func (BestFit) Place(t *Table, req Request) (cluster.WorkerID, Reason) {
	best := candidate{}
	for i := range t.workers {
		w, n := &t.workers[i], t.nodes[i]
		if free := t.freeFor(n, &req); !w.Closed && req.Size.Fits(free) {
			cpu, memory := n.inverse.fractions(free.Sub(req.Size))
			best.replaceIfBetter(n, w.ID, cpu+memory)
		}
	}
	if best.node == nil {
		return "", t.failureReason(req.Size)
	}
	return best.id, Placed
}

// Place implements Policy.
func (p RandomFit) Place(t *Table, req Request) (cluster.WorkerID, Reason) {
	var chosen *Worker
	fitting := 0
	for i := range t.workers {
		w := &t.workers[i]
		if w.Closed || !req.Size.Fits(t.freeFor(t.nodes[i], &req)) {
			continue
		}
		// Reservoir sampling avoids building a list of the fitting workers.
		if fitting++; p.Rand.IntN(fitting) == 0 {
			chosen = w
		}
	}
	if chosen == nil {
		return "", t.failureReason(req.Size)
	}
	return chosen.ID, Placed
}
