package placement

import (
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// PlaceAll returns workers for n tasks of a gang job, or none, without occupying them.
func (t *Table) PlaceAll(req Request, n int) ([]cluster.WorkerID, Reason) {
	placed := make([]cluster.WorkerID, 0, n)
	defer func() {
		for _, id := range placed {
			t.Release(id, req.Size)
		}
	}()
	if req.Spread {
		req.Peers = slices.Clone(req.Peers)
	}
	for range n {
		id, reason := t.Place(req)
		if reason != Placed {
			return nil, reason
		}
		t.Occupy(id, req.Size)
		placed = append(placed, id)
		if req.Spread {
			req.Peers = append(req.Peers, id)
		}
	}
	return slices.Clone(placed), Placed
}
