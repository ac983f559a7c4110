package placement

import (
	"cmp"
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// rackKey identifies a rack by its place and identifier.
type rackKey struct {
	place cluster.Place
	id    cluster.RackID
}

// zone counts the tasks of the requesting job and the racks in a zone.
type zone struct{ jobTasks, rackCount int }

// rack holds the workers of one rack.
type rack struct {
	key  rackKey
	zone *zone
	// nodes holds the rack's workers in no particular order.
	nodes []*workerNode
	// maxFree is, per resource, the largest free amount on any open worker of the rack.
	maxFree  cluster.Resources
	jobTasks int
}

func (k rackKey) compare(o rackKey) int {
	return cmp.Or(cmp.Compare(k.place.Region, o.place.Region), cmp.Compare(k.place.Zone, o.place.Zone), cmp.Compare(k.id, o.id))
}

// addToRack adds a worker to its rack, which is created if necessary.
func (t *Table) addToRack(n *workerNode, w *Worker) {
	key := rackKey{w.Place, w.Rack}
	r, ok := t.rackByID[key]
	if !ok {
		z, ok := t.zones[w.Place]
		if !ok {
			z = &zone{}
			t.zones[w.Place] = z
		}
		z.rackCount++
		r = &rack{key: key, zone: z}
		t.rackByID[key] = r
		position, _ := slices.BinarySearchFunc(t.racks, key, func(r *rack, k rackKey) int { return r.key.compare(k) })
		t.racks = slices.Insert(t.racks, position, r)
	}
	r.nodes = append(r.nodes, n)
	n.rack = r
}

// removeFromRack removes a worker from its rack, and the rack if it is then empty.
func (t *Table) removeFromRack(n *workerNode) {
	r := n.rack
	n.rack = nil
	r.nodes = slices.DeleteFunc(r.nodes, func(o *workerNode) bool { return o == n })
	if len(r.nodes) > 0 {
		r.updateMaxFree(t)
		return
	}
	delete(t.rackByID, r.key)
	t.racks = slices.DeleteFunc(t.racks, func(o *rack) bool { return o == r })
	if r.zone.rackCount--; r.zone.rackCount == 0 {
		delete(t.zones, r.key.place)
	}
}

// updateMaxFree recomputes maxFree.
func (r *rack) updateMaxFree(t *Table) {
	r.maxFree = cluster.Resources{CPU: -1, Memory: -1, Accelerators: -1}
	for _, n := range r.nodes {
		if w := &t.workers[n.position]; !w.Closed {
			// Reserved capacity counts as free: the holder and tasks that end before the reservation
			// starts may use it.
			r.maxFree = r.maxFree.Max(w.Free())
		}
	}
}

// spreadRank orders workers for a replica of a service: by the number of the job's
// tasks in the zone, then in the rack, then on the worker, fewest first.
type spreadRank struct{ zone, rack, worker int }

func (r spreadRank) compare(o spreadRank) int {
	if r.zone != o.zone {
		return cmp.Compare(r.zone, o.zone)
	}
	if r.rack != o.rack {
		return cmp.Compare(r.rack, o.rack)
	}
	return cmp.Compare(r.worker, o.worker)
}

// findSpreadNode returns the fitting worker with the lowest spreadRank, which limits
// how many replicas the loss of a worker, a rack or a zone takes down.
func (t *Table) findSpreadNode(req *Request) *workerNode {
	t.addJobTasks(req.PeerWorkers, 1)
	defer t.addJobTasks(req.PeerWorkers, -1)
	best, lowestRank := candidate{}, spreadRank{}
	for _, r := range t.racks {
		if best.node != nil && (spreadRank{r.zone.jobTasks, r.jobTasks, 0}).compare(lowestRank) > 0 || !req.Size.Fits(r.maxFree) {
			continue
		}
		for _, n := range r.nodes {
			w := &t.workers[n.position]
			if w.Closed || !req.Size.Fits(t.freeFor(n, req)) {
				continue
			}
			rank := spreadRank{r.zone.jobTasks, r.jobTasks, n.jobTasks}
			comparison := 1
			if best.node != nil {
				comparison = lowestRank.compare(rank)
			}
			if comparison > 0 {
				best, lowestRank = candidate{}, rank
			}
			if comparison >= 0 {
				best.replaceIfBetter(n, w.ID, t.score(n, w.Free(), req.Size))
			}
		}
	}
	return best.node
}

// addJobTasks adds delta to the job's task count of each worker and of its rack and zone.
func (t *Table) addJobTasks(workers []cluster.WorkerID, delta int) {
	for _, id := range workers {
		if position, ok := t.positionByID[id]; ok {
			n := t.nodes[position]
			n.jobTasks += delta
			n.rack.jobTasks += delta
			n.rack.zone.jobTasks += delta
		}
	}
}
