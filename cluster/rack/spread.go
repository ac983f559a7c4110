package rack

import (
	"cmp"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// jobPart is the part of a new job that is assigned to one rack.
type jobPart struct {
	rack cluster.RackID
	// size is the size of one task.
	size cluster.Resources
	// indexes are the indexes of the tasks in the job.
	indexes []int
}

// rackCandidate is a rack that tasks of a job may be assigned to.
type rackCandidate struct {
	rack  *rack
	place cluster.Place
	// totalSlots is the number of tasks that fit into the capacity of the workers,
	// freeSlots the number that fit into their free capacity.
	totalSlots, freeSlots int
	// ownerLive says that the owner of the rack is a live daemon.
	ownerLive bool
	// pending is the number of tasks of all jobs that wait in the rack.
	pending int
	// assigned is the number of the job's tasks that are assigned to the rack.
	assigned int
}

// rackCandidates returns the racks with a worker large enough for a task, by name.
func (c *Controller) rackCandidates(size cluster.Resources) []*rackCandidate {
	byRack := map[cluster.RackID]*rackCandidate{}
	for _, vm := range c.vms {
		n := slotCount(size, vm.Capacity)
		if n == 0 || vm.Leaving {
			continue
		}
		s := byRack[vm.Rack]
		if s == nil {
			r := c.rackFor(vm.Rack)
			s = &rackCandidate{rack: r, place: vm.Place, ownerLive: r.owner != "" && c.isLive(r.owner)}
			byRack[vm.Rack] = s
		}
		s.totalSlots += n
	}
	out := make([]*rackCandidate, 0, len(byRack))
	for _, s := range byRack {
		c.measureSlots(s, size)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *rackCandidate) int { return strings.Compare(string(a.rack.id), string(b.rack.id)) })
	return out
}

// slotCount returns how many tasks of a size fit into the free resources.
func slotCount(size, free cluster.Resources) int {
	n := int64(1 << 20)
	if size.CPU > 0 {
		n = min(n, int64(free.CPU/size.CPU))
	}
	if size.Memory > 0 {
		n = min(n, int64(free.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return int(max(n, 0))
}

// measureSlots sets the free slots and pending tasks of a rack, from the state of an
// owned rack or from the digest of another owner.
func (c *Controller) measureSlots(s *rackCandidate, size cluster.Resources) {
	r := s.rack
	if r.phase == phaseActive {
		for _, w := range r.order {
			if r.closed(w) == "" {
				s.freeSlots += slotCount(size, w.capacity.Sub(r.load(w)))
			}
		}
		for _, a := range r.list {
			s.pending += a.pending
		}
		if r.unfenced {
			s.freeSlots = 0
		}
		return
	}
	d, ok := c.members.digests[r.owner]
	rd, known := d.racks[r.id]
	if !ok || !known {
		return
	}
	s.pending = rd.Pending
	if size.Fits(rd.LargestFree) {
		s.freeSlots = slotCount(size, rd.Free.Sub(r.promised))
	}
}

// distributeJob divides a job into parts for one or more racks. The rack of the
// first part becomes the home rack.
func (c *Controller) distributeJob(spec *cluster.JobSpec) []jobPart {
	n, size := spec.TaskCount()
	sites := c.rackCandidates(size)
	if len(sites) == 0 {
		return nil
	}
	switch spec.Workload.(type) {
	case *cluster.Service:
		return groupByRack(sites, size, spreadReplicas(sites, n))
	case *cluster.Gang:
		return groupByRack(sites, size, c.gangCandidates(sites, n))
	}
	return groupByRack(sites, size, packTasks(sites, n))
}

// groupByRack turns the rack chosen for each task into one part per rack, ordered by rack.
func groupByRack(sites []*rackCandidate, size cluster.Resources, chosen []*rackCandidate) []jobPart {
	var parts []jobPart
	for _, s := range sites {
		p := jobPart{rack: s.rack.id, size: size}
		for i, at := range chosen {
			if at == s {
				p.indexes = append(p.indexes, i)
			}
		}
		if len(p.indexes) > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

// packTasks chooses the rack with the fewest available slots that are enough for
// all tasks, or else the racks with the most. Tasks that can't start now are
// distributed in proportion to the size of the racks.
func packTasks(sites []*rackCandidate, n int) []*rackCandidate {
	order := slices.Clone(sites)
	slices.SortStableFunc(order, func(a, b *rackCandidate) int {
		return cmp.Or(-compareBool(a.ownerLive, b.ownerLive), -compareBool(a.availableSlots() >= n, b.availableSlots() >= n),
			comparePacking(a, b, n))
	})
	chosen := make([]*rackCandidate, 0, n)
	for _, s := range order {
		for s.ownerLive && s.assigned < s.availableSlots() && len(chosen) < n {
			s.assigned++
			chosen = append(chosen, s)
		}
	}
	for len(chosen) < n {
		chosen = append(chosen, assignToShortestQueue(order))
	}
	return chosen
}

// availableSlots returns the number of tasks that could start at once: none if
// the rack has no live owner or other tasks wait there.
func (s *rackCandidate) availableSlots() int {
	if !s.ownerLive || s.pending > 0 {
		return 0
	}
	return s.freeSlots
}

// comparePacking orders racks that hold all n tasks by ascending, others by
// descending available slots.
func comparePacking(a, b *rackCandidate, n int) int {
	if a.availableSlots() >= n && b.availableSlots() >= n {
		return cmp.Compare(a.availableSlots(), b.availableSlots())
	}
	return cmp.Compare(b.availableSlots(), a.availableSlots())
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// assignToShortestQueue assigns one task to the rack with the fewest pending
// tasks in relation to its size and returns it.
func assignToShortestQueue(sites []*rackCandidate) *rackCandidate {
	best := slices.MinFunc(sites, func(a, b *rackCandidate) int {
		return cmp.Or(-compareBool(a.ownerLive, b.ownerLive), cmp.Compare((a.pending+a.assigned)*b.totalSlots, (b.pending+b.assigned)*a.totalSlots))
	})
	best.assigned++
	return best
}

// spreadReplicas assigns each replica to the zone with the fewest replicas, and
// there to the rack with the fewest, preferring racks with free slots.
func spreadReplicas(sites []*rackCandidate, n int) []*rackCandidate {
	zones := map[cluster.Place]int{}
	chosen := make([]*rackCandidate, 0, n)
	for range n {
		best := nextReplicaRack(sites, zones)
		best.assigned++
		zones[best.place]++
		chosen = append(chosen, best)
	}
	return chosen
}

// nextReplicaRack returns the rack for one more replica. A rack without a live
// owner counts like one with free slots: it gets an owner within seconds, while
// replicas that were all assigned to the only rack with an owner would stay there.
func nextReplicaRack(sites []*rackCandidate, zones map[cluster.Place]int) *rackCandidate {
	return slices.MinFunc(sites, func(a, b *rackCandidate) int {
		return cmp.Or(
			-compareBool(!a.ownerLive || a.freeSlots > a.assigned, !b.ownerLive || b.freeSlots > b.assigned),
			cmp.Compare(zones[a.place], zones[b.place]),
			cmp.Compare(a.assigned, b.assigned),
			cmp.Compare(b.freeSlots, a.freeSlots),
			strings.Compare(string(a.rack.id), string(b.rack.id)),
		)
	})
}

// gangCandidates chooses as few racks as can run all tasks at once, of one owner
// if possible; nil if all racks together can't run them.
func (c *Controller) gangCandidates(sites []*rackCandidate, n int) []*rackCandidate {
	order := slices.Clone(sites)
	total := map[cluster.DaemonID]int{}
	for _, s := range sites {
		total[s.rack.owner] += s.totalSlots
	}
	slices.SortStableFunc(order, func(a, b *rackCandidate) int {
		return cmp.Or(
			-compareBool(a.ownerLive, b.ownerLive),
			-compareBool(a.freeSlots >= n, b.freeSlots >= n),
			-compareBool(a.totalSlots >= n, b.totalSlots >= n),
			-compareBool(total[a.rack.owner] >= n, total[b.rack.owner] >= n),
			strings.Compare(string(a.rack.owner), string(b.rack.owner)),
			cmp.Compare(b.freeSlots, a.freeSlots),
		)
	})
	chosen := make([]*rackCandidate, 0, n)
	for _, s := range order {
		for s.assigned < s.totalSlots && len(chosen) < n {
			s.assigned++
			chosen = append(chosen, s)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}
