package placement

import (
	"cmp"
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

type rackKey struct {
	place cluster.Place
	id    cluster.RackID
}

// zone counts the tasks of the job that is being spread.
type zone struct{ peers, racks int }

// rack holds the workers of a rack.
type rack struct {
	key  rackKey
	zone *zone
	// nodes holds the rack's workers in no order.
	nodes []*node
	// free bounds what any open worker of the rack has left.
	free  cluster.Resources
	peers int
}

func (k rackKey) compare(o rackKey) int {
	return cmp.Or(cmp.Compare(k.place.Region, o.place.Region), cmp.Compare(k.place.Zone, o.place.Zone), cmp.Compare(k.id, o.id))
}

func (t *Table) joinRack(n *node, w *Worker) {
	key := rackKey{w.Place, w.Rack}
	r, ok := t.rackByID[key]
	if !ok {
		z, ok := t.zones[w.Place]
		if !ok {
			z = &zone{}
			t.zones[w.Place] = z
		}
		z.racks++
		r = &rack{key: key, zone: z}
		t.rackByID[key] = r
		at, _ := slices.BinarySearchFunc(t.racks, key, func(r *rack, k rackKey) int { return r.key.compare(k) })
		t.racks = slices.Insert(t.racks, at, r)
	}
	r.nodes = append(r.nodes, n)
	n.rack = r
}

func (t *Table) leaveRack(n *node) {
	r := n.rack
	n.rack = nil
	r.nodes = slices.DeleteFunc(r.nodes, func(o *node) bool { return o == n })
	if len(r.nodes) > 0 {
		r.update(t)
		return
	}
	delete(t.rackByID, r.key)
	t.racks = slices.DeleteFunc(t.racks, func(o *rack) bool { return o == r })
	if r.zone.racks--; r.zone.racks == 0 {
		delete(t.zones, r.key.place)
	}
}

// update computes the bound on what the rack's workers have left.
func (r *rack) update(t *Table) {
	r.free = cluster.Resources{CPU: -1, Memory: -1, Accelerators: -1}
	for _, n := range r.nodes {
		if w := &t.workers[n.at]; !w.Closed {
			// Reserved room counts: it is open to the holder and to backfill.
			r.free = r.free.Max(w.Free())
		}
	}
}

// rank orders workers for a service: the fewest replicas in the zone, then in the rack, then on the worker.
type rank struct{ zone, rack, worker int }

func (r rank) compare(o rank) int {
	if r.zone != o.zone {
		return cmp.Compare(r.zone, o.zone)
	}
	if r.rack != o.rack {
		return cmp.Compare(r.rack, o.rack)
	}
	return cmp.Compare(r.worker, o.worker)
}

// spread returns the worker with room whose loss, or the loss of whose rack or
// zone, would take the fewest replicas.
func (t *Table) spread(req *Request) *node {
	t.countPeers(req.Peers, 1)
	defer t.countPeers(req.Peers, -1)
	best, lowest := candidate{}, rank{}
	for _, r := range t.racks {
		if best.node != nil && (rank{r.zone.peers, r.peers, 0}).compare(lowest) > 0 || !req.Size.Fits(r.free) {
			continue
		}
		for _, n := range r.nodes {
			w := &t.workers[n.at]
			if w.Closed || !req.Size.Fits(t.freeFor(n, req)) {
				continue
			}
			at := rank{r.zone.peers, r.peers, n.peers}
			c := 1
			if best.node != nil {
				c = lowest.compare(at)
			}
			if c > 0 {
				best, lowest = candidate{}, at
			}
			if c >= 0 {
				best.offer(n, w.ID, t.score(n, w.Free(), req.Size))
			}
		}
	}
	return best.node
}

func (t *Table) countPeers(peers []cluster.WorkerID, by int) {
	for _, id := range peers {
		if at, ok := t.index[id]; ok {
			n := t.nodes[at]
			n.peers += by
			n.rack.peers += by
			n.rack.zone.peers += by
		}
	}
}
