package placement

import (
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// PlaceAll selects workers for all n tasks of a gang job without allocating capacity, or fails as a whole.
func (t *Table) PlaceAll(req Request, n int) ([]cluster.WorkerID, Reason) {
	placed := make([]cluster.WorkerID, 0, n)
	defer func() {
		for _, id := range placed {
			t.Release(id, req.Size)
		}
	}()
	if req.Spread {
		req.PeerWorkers = slices.Clone(req.PeerWorkers)
	}
	for range n {
		id, reason := t.Place(req)
		if reason != Placed {
			return nil, reason
		}
		t.Allocate(id, req.Size)
		placed = append(placed, id)
		if req.Spread {
			req.PeerWorkers = append(req.PeerWorkers, id)
		}
	}
	return slices.Clone(placed), Placed
}
