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

// rackCandidate is a rack that tasks of a job may be assigned to. A slot is the
// capacity for one of these tasks.
type rackCandidate struct {
	rack  *rack
	place cluster.Place
	// totalSlots is the number of tasks that fit into the capacity of the workers,
	// freeSlots the number that fit into their free capacity.
	totalSlots, freeSlots int
	// ownerLive means that the owner of the rack is a live daemon.
	ownerLive bool
	// pendingTasks is the number of pending tasks of all jobs in the rack.
	pendingTasks int
	// assigned is the number of the job's tasks that are assigned to the rack.
	assigned int
}

// rackCandidates returns the racks with a worker large enough for a task, by name.
func (c *Controller) rackCandidates(size cluster.Resources) []*rackCandidate {
	byRack := map[cluster.RackID]*rackCandidate{}
	for _, vm := range c.vms {
		n := taskCapacity(size, vm.Capacity)
		if n == 0 || vm.Leaving {
			continue
		}
		candidate := byRack[vm.Rack]
		if candidate == nil {
			r := c.ensureRack(vm.Rack)
			candidate = &rackCandidate{rack: r, place: vm.Place, ownerLive: r.owner != "" && c.isLive(r.owner)}
			byRack[vm.Rack] = candidate
		}
		candidate.totalSlots += n
	}
	candidates := make([]*rackCandidate, 0, len(byRack))
	for _, candidate := range byRack {
		c.measureSlots(candidate, size)
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b *rackCandidate) int { return strings.Compare(string(a.rack.id), string(b.rack.id)) })
	return candidates
}

// taskCapacity returns how many tasks of a size fit into the free resources, at most 1<<20.
func taskCapacity(size, free cluster.Resources) int {
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
func (c *Controller) measureSlots(candidate *rackCandidate, size cluster.Resources) {
	r := candidate.rack
	if r.phase == phaseActive {
		for _, w := range r.sortedWorkers {
			if r.closedReason(w) == "" {
				candidate.freeSlots += taskCapacity(size, w.capacity.Sub(r.workerLoad(w)))
			}
		}
		for _, a := range r.assignmentList {
			candidate.pendingTasks += a.pendingCount
		}
		if r.hasUnfencedWorkers {
			candidate.freeSlots = 0
		}
		return
	}
	d, ok := c.members.digests[r.owner]
	rd, known := d.racks[r.id]
	if !ok || !known {
		return
	}
	candidate.pendingTasks = rd.Pending
	if size.Fits(rd.LargestFree) {
		candidate.freeSlots = taskCapacity(size, rd.Free.Sub(r.assignedSinceDigest))
	}
}

// distributeJob divides a job into parts for one or more racks. The rack of the
// first part becomes the home rack.
func (c *Controller) distributeJob(spec *cluster.JobSpec) []jobPart {
	n, size := spec.TaskCount()
	candidates := c.rackCandidates(size)
	if len(candidates) == 0 {
		return nil
	}
	switch spec.Workload.(type) {
	case *cluster.Service:
		return groupByRack(candidates, size, spreadReplicas(candidates, n))
	case *cluster.Gang:
		return groupByRack(candidates, size, c.gangCandidates(candidates, n))
	}
	return groupByRack(candidates, size, packTasks(candidates, n))
}

// groupByRack turns the rack chosen for each task into one part per rack, ordered by rack.
func groupByRack(candidates []*rackCandidate, size cluster.Resources, chosen []*rackCandidate) []jobPart {
	var parts []jobPart
	for _, candidate := range candidates {
		p := jobPart{rack: candidate.rack.id, size: size}
		for i, chosenFor := range chosen {
			if chosenFor == candidate {
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
func packTasks(candidates []*rackCandidate, n int) []*rackCandidate {
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b *rackCandidate) int {
		return cmp.Or(-compareBool(a.ownerLive, b.ownerLive), -compareBool(a.availableSlots() >= n, b.availableSlots() >= n),
			comparePacking(a, b, n))
	})
	chosen := make([]*rackCandidate, 0, n)
	for _, candidate := range sorted {
		for candidate.ownerLive && candidate.assigned < candidate.availableSlots() && len(chosen) < n {
			candidate.assigned++
			chosen = append(chosen, candidate)
		}
	}
	for len(chosen) < n {
		chosen = append(chosen, assignToShortestQueue(sorted))
	}
	return chosen
}

// availableSlots returns the number of tasks that could start at once: none if
// the rack has no live owner or has pending tasks.
func (rc *rackCandidate) availableSlots() int {
	if !rc.ownerLive || rc.pendingTasks > 0 {
		return 0
	}
	return rc.freeSlots
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
func assignToShortestQueue(candidates []*rackCandidate) *rackCandidate {
	best := slices.MinFunc(candidates, func(a, b *rackCandidate) int {
		return cmp.Or(-compareBool(a.ownerLive, b.ownerLive), cmp.Compare((a.pendingTasks+a.assigned)*b.totalSlots, (b.pendingTasks+b.assigned)*a.totalSlots))
	})
	best.assigned++
	return best
}

// spreadReplicas assigns each replica to the zone with the fewest replicas, and
// there to the rack with the fewest, preferring racks with free slots.
func spreadReplicas(candidates []*rackCandidate, n int) []*rackCandidate {
	zones := map[cluster.Place]int{}
	chosen := make([]*rackCandidate, 0, n)
	for range n {
		best := nextReplicaRack(candidates, zones)
		best.assigned++
		zones[best.place]++
		chosen = append(chosen, best)
	}
	return chosen
}

// nextReplicaRack returns the rack for one more replica. A rack without a live
// owner counts like one with free slots: it gets an owner within seconds, while
// replicas that were all assigned to the only rack with an owner would stay there.
func nextReplicaRack(candidates []*rackCandidate, zones map[cluster.Place]int) *rackCandidate {
	return slices.MinFunc(candidates, func(a, b *rackCandidate) int {
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
func (c *Controller) gangCandidates(candidates []*rackCandidate, n int) []*rackCandidate {
	sorted := slices.Clone(candidates)
	ownerSlots := map[cluster.DaemonID]int{}
	for _, candidate := range candidates {
		ownerSlots[candidate.rack.owner] += candidate.totalSlots
	}
	slices.SortStableFunc(sorted, func(a, b *rackCandidate) int {
		return cmp.Or(
			-compareBool(a.ownerLive, b.ownerLive),
			-compareBool(a.freeSlots >= n, b.freeSlots >= n),
			-compareBool(a.totalSlots >= n, b.totalSlots >= n),
			-compareBool(ownerSlots[a.rack.owner] >= n, ownerSlots[b.rack.owner] >= n),
			strings.Compare(string(a.rack.owner), string(b.rack.owner)),
			cmp.Compare(b.freeSlots, a.freeSlots),
		)
	})
	chosen := make([]*rackCandidate, 0, n)
	for _, candidate := range sorted {
		for candidate.assigned < candidate.totalSlots && len(chosen) < n {
			candidate.assigned++
			chosen = append(chosen, candidate)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}
