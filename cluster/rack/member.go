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

// Weights of a member as the owner of a rack, by distance. An owner in the same
// zone has lower latency; an owner in the same region avoids the paid link.
const (
	weightSameZone    = 16
	weightSameRegion  = 8
	weightOtherRegion = 1
)

// members is the set of live daemons and their last digests.
type members struct {
	live map[cluster.DaemonID]Member
	// known is set by the first MembersChanged event. Before it, every owner would appear dead.
	known bool
	// changedAt is when a member last joined or left.
	changedAt time.Time
	digests   map[cluster.DaemonID]memberDigest
}

// memberDigest is the last digest of a member.
type memberDigest struct {
	racks    map[cluster.RackID]peer.RackDigest
	draining bool
	// receivedAt is when the digest arrived.
	receivedAt time.Time
}

// setMembers replaces the set of live members and drops the digests of members that left.
func (c *Controller) setMembers(live []Member) {
	next := make(map[cluster.DaemonID]Member, len(live))
	unchanged := len(live) == len(c.members.live)
	for _, m := range live {
		next[m.ID] = m
		if _, ok := c.members.live[m.ID]; !ok {
			unchanged = false
		}
	}
	c.members.live, c.members.known = next, true
	if unchanged {
		return
	}
	c.members.changedAt = c.now
	for id := range c.members.digests {
		if _, ok := next[id]; !ok {
			delete(c.members.digests, id)
		}
	}
}

// removeMember removes a member that announced that it is leaving.
func (c *Controller) removeMember(id cluster.DaemonID) {
	if _, ok := c.members.live[id]; ok && id != c.cfg.Self {
		delete(c.members.live, id)
		delete(c.members.digests, id)
		c.members.changedAt = c.now
	}
}

// setDigest records the digest of a member. A digest that lists a rack owned here
// shows that the member still acts as its owner and may have renewed leases.
func (c *Controller) setDigest(from cluster.DaemonID, d peer.Digest) {
	next := memberDigest{racks: make(map[cluster.RackID]peer.RackDigest, len(d.Racks)), draining: d.Draining, receivedAt: c.now}
	for _, rd := range d.Racks {
		next.racks[rd.Rack] = rd
		if r := c.racks[rd.Rack]; r != nil {
			r.assignedSinceDigest = cluster.Resources{}
			if r.phase != phaseNotOwned && r.owner == c.cfg.Self {
				r.contestedAt = c.now
			}
		}
	}
	c.members.digests[from] = next
}

// isLive reports whether a daemon is a live member.
func (c *Controller) isLive(id cluster.DaemonID) bool {
	_, ok := c.members.live[id]
	return ok || id == c.cfg.Self
}

// canOwnRacks reports whether a member may become the owner of racks: it must not be draining.
func (c *Controller) canOwnRacks(id cluster.DaemonID) bool {
	if id == c.cfg.Self {
		return !c.draining
	}
	return !c.members.digests[id].draining
}

// preferredOwner returns the member that should own a rack by weighted rendezvous
// hashing over the live members. A change of the members moves only the racks
// of members that left and the racks that go to members that joined.
func (c *Controller) preferredOwner(r *rack) cluster.DaemonID {
	var best cluster.DaemonID
	bestScore := math.Inf(-1)
	consider := func(id cluster.DaemonID, place cluster.Place) {
		if !c.canOwnRacks(id) {
			return
		}
		if s := rendezvousScore(id, place, r); s > bestScore || (s == bestScore && id < best) {
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

// rendezvousScore returns the weighted rendezvous score of a member for a rack; the highest score wins.
func rendezvousScore(id cluster.DaemonID, place cluster.Place, r *rack) float64 {
	weight := float64(weightOtherRegion)
	switch {
	case place == r.place:
		weight = weightSameZone
	case place.Region == r.place.Region:
		weight = weightSameRegion
	}
	h := xxhash.Sum64String(string(id) + "\x00" + string(r.id))
	return -weight / math.Log((float64(h>>11)+0.5)/(1<<53))
}

// setVMs replaces the platform's list of VMs and creates the racks that it names.
func (c *Controller) setVMs(vms []platform.VM) {
	workerVMs := make(map[cluster.WorkerID]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		id := cluster.WorkerID(vm.ID)
		workerVMs[id] = vm
		r := c.ensureRack(vm.Rack)
		r.place = vm.Place
	}
	c.vms = workerVMs
	for _, r := range c.sortedRacks {
		for _, w := range r.sortedWorkers {
			c.updateListing(w)
		}
	}
}

// updateListing updates a worker from the platform's list.
func (c *Controller) updateListing(w *worker) {
	vm, ok := c.vms[w.id]
	w.delisted = !ok && (w.listed || w.delisted)
	w.listed, w.leaving = ok, ok && vm.Leaving
	w.rack.syncWorker(w)
}

// ensureRack returns the rack with an identifier and creates it if it is not known.
func (c *Controller) ensureRack(id cluster.RackID) *rack {
	r, ok := c.racks[id]
	if !ok {
		r = newRack(c, id)
		c.racks[id] = r
		i, _ := slices.BinarySearchFunc(c.sortedRacks, id, func(r *rack, id cluster.RackID) int {
			return strings.Compare(string(r.id), string(id))
		})
		c.sortedRacks = slices.Insert(c.sortedRacks, i, r)
	}
	return r
}

// fitsAnyWorker reports whether any worker, when empty, is large enough for a task; true if no VMs are known.
func (c *Controller) fitsAnyWorker(size cluster.Resources) bool {
	for _, vm := range c.vms {
		if size.Fits(vm.Capacity) {
			return true
		}
	}
	for _, r := range c.sortedRacks {
		for _, w := range r.sortedWorkers {
			if size.Fits(w.capacity) {
				return true
			}
		}
	}
	return len(c.vms) == 0
}

// setConfig activates a configuration unless it is older than the active one.
func (c *Controller) setConfig(s *cluster.Snapshot) {
	if s != nil && s.Version >= c.config.Version {
		c.config = s
	}
}
