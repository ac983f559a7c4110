package rack

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Weights of a member for a rack by distance: ownership from the same zone
// saves latency and ownership from the same region keeps off the paid link.
const (
	weightZone   = 16
	weightRegion = 8
	weightFar    = 1
)

// members is the set of live daemons and what they said about themselves.
type members struct {
	live    map[cluster.DaemonID]Member
	changed time.Time
	digests map[cluster.DaemonID]digest
}

type digest struct {
	racks    map[cluster.RackID]peer.RackDigest
	draining bool
	at       time.Time
}

func (c *Controller) setMembers(live []Member) {
	next := make(map[cluster.DaemonID]Member, len(live))
	same := len(live) == len(c.members.live)
	for _, m := range live {
		next[m.ID] = m
		if _, ok := c.members.live[m.ID]; !ok {
			same = false
		}
	}
	c.members.live = next
	if same {
		return
	}
	c.members.changed = c.now
	for id := range c.members.digests {
		if _, ok := next[id]; !ok {
			delete(c.members.digests, id)
		}
	}
}

func (c *Controller) memberLeaving(id cluster.DaemonID) {
	if _, ok := c.members.live[id]; ok && id != c.cfg.Self {
		delete(c.members.live, id)
		delete(c.members.digests, id)
		c.members.changed = c.now
	}
}

func (c *Controller) setDigest(from cluster.DaemonID, d peer.Digest) {
	next := digest{racks: make(map[cluster.RackID]peer.RackDigest, len(d.Racks)), draining: d.Draining, at: c.now}
	for _, rd := range d.Racks {
		next.racks[rd.Rack] = rd
		if r := c.racks[rd.Rack]; r != nil {
			r.promised = cluster.Resources{}
			if r.phase != phaseElsewhere && r.owner == c.cfg.Self {
				r.contested = c.now
			}
		}
	}
	c.members.digests[from] = next
}

func (c *Controller) isLive(id cluster.DaemonID) bool {
	_, ok := c.members.live[id]
	return ok || id == c.cfg.Self
}

// candidate reports whether a member may be given racks.
func (c *Controller) candidate(id cluster.DaemonID) bool {
	if id == c.cfg.Self {
		return !c.draining
	}
	return !c.members.digests[id].draining
}

// preferred returns the member that should own a rack: the best rendezvous
// score among the live members, so that a change of the members moves only
// the racks of members that left or to members that joined.
func (c *Controller) preferred(r *rack) cluster.DaemonID {
	var best cluster.DaemonID
	bestScore := math.Inf(-1)
	consider := func(id cluster.DaemonID, place cluster.Place) {
		if !c.candidate(id) {
			return
		}
		if s := score(id, place, r); s > bestScore || (s == bestScore && id < best) {
			best, bestScore = id, s
		}
	}
	for id, m := range c.members.live {
		if id != c.cfg.Self {
			consider(id, m.Place)
		}
	}
	consider(c.cfg.Self, c.cfg.Place)
	return best
}

func score(id cluster.DaemonID, place cluster.Place, r *rack) float64 {
	weight := float64(weightFar)
	switch {
	case place == r.place:
		weight = weightZone
	case place.Region == r.place.Region:
		weight = weightRegion
	}
	h := xxhash.Sum64String(string(id) + "\x00" + string(r.id))
	return -weight / math.Log((float64(h>>11)+0.5)/(1<<53))
}

// setPlatform takes in the platform's list: it names the racks and their workers.
func (c *Controller) setPlatform(vms []platform.VM) {
	listed := make(map[cluster.WorkerID]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		id := cluster.WorkerID(vm.ID)
		listed[id] = vm
		r := c.rackFor(vm.Rack)
		r.place = vm.Place
	}
	c.vms = listed
	for _, r := range c.rackOrder {
		for _, w := range r.order {
			c.updateListed(w)
		}
	}
}

func (c *Controller) updateListed(w *worker) {
	vm, ok := c.vms[w.id]
	if w.listed && !ok && w.reachable {
		// The VM is gone for good; the rack may never report it again.
		w.reachable, w.goneAt = false, c.now
	}
	w.listed, w.leaving = ok, ok && vm.Leaving
	w.rack.syncWorker(w)
}

func (c *Controller) rackFor(id cluster.RackID) *rack {
	r, ok := c.racks[id]
	if !ok {
		r = newRack(c, id)
		c.racks[id] = r
		i, _ := slices.BinarySearchFunc(c.rackOrder, id, func(r *rack, id cluster.RackID) int {
			return strings.Compare(string(r.id), string(id))
		})
		c.rackOrder = slices.Insert(c.rackOrder, i, r)
	}
	return r
}

// fitsSomeWorker reports whether some worker is large enough for a task.
func (c *Controller) fitsSomeWorker(size cluster.Resources) bool {
	for _, vm := range c.vms {
		if size.Fits(vm.Capacity) {
			return true
		}
	}
	for _, r := range c.rackOrder {
		for _, w := range r.order {
			if size.Fits(w.capacity) {
				return true
			}
		}
	}
	return len(c.vms) == 0
}

// setConfig puts a configuration in force unless it is older than the one that is.
func (c *Controller) setConfig(s *cluster.Snapshot) {
	if s != nil && s.Version >= c.config.Version {
		c.config = s
	}
}
