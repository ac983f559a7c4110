package rack

import (
	"cmp"
	"slices"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// part is the share of a new job that is assigned to one rack.
type part struct {
	rack    cluster.RackID
	size    cluster.Resources
	indexes []int
}

// site is a rack as a place for a new job.
type site struct {
	rack  *rack
	place cluster.Place
	// fits is the number of tasks that empty workers could hold, room the number that free ones could.
	fits, room int
	// served says that a live daemon owns the rack or is about to.
	served  bool
	pending int
	taken   int
}

// sites returns the racks with a worker large enough for a task.
func (c *Controller) sites(size cluster.Resources) []*site {
	byRack := map[cluster.RackID]*site{}
	for _, vm := range c.vms {
		n := copies(size, vm.Capacity)
		if n == 0 || vm.Leaving {
			continue
		}
		s := byRack[vm.Rack]
		if s == nil {
			r := c.rackFor(vm.Rack)
			s = &site{rack: r, place: vm.Place, served: r.owner != "" && c.isLive(r.owner)}
			byRack[vm.Rack] = s
		}
		s.fits += n
	}
	out := make([]*site, 0, len(byRack))
	for _, s := range byRack {
		c.measure(s, size)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *site) int { return strings.Compare(string(a.rack.id), string(b.rack.id)) })
	return out
}

// copies returns how many times size fits into free.
func copies(size, free cluster.Resources) int {
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

// measure fills in the room of a rack from its own state or from its owner's digest.
func (c *Controller) measure(s *site, size cluster.Resources) {
	r := s.rack
	if r.phase == phaseActive {
		for _, w := range r.order {
			if r.closed(w) == "" {
				s.room += copies(size, w.capacity.Sub(r.load(w)))
			}
		}
		for _, a := range r.list {
			s.pending += a.pending
		}
		if r.unfenced {
			s.room = 0
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
		s.room = copies(size, rd.Free.Sub(r.promised))
	}
}

// spreadJob divides a job over racks; the first part is the home rack's.
func (c *Controller) spreadJob(spec *cluster.JobSpec) []part {
	n, size := spec.TaskCount()
	sites := c.sites(size)
	if len(sites) == 0 {
		return nil
	}
	switch spec.Workload.(type) {
	case *cluster.Service:
		return toParts(sites, size, spreadZones(sites, n))
	case *cluster.Gang:
		return toParts(sites, size, c.gangSites(sites, n))
	}
	return toParts(sites, size, packSites(sites, n))
}

// toParts turns the rack of each task into one part per rack, in rack order.
func toParts(sites []*site, size cluster.Resources, chosen []*site) []part {
	var parts []part
	for _, s := range sites {
		p := part{rack: s.rack.id, size: size}
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

// packSites fills the rack with the least room that holds all tasks, or the
// racks with the most room; what fits nowhere now waits in proportion to the size of the racks.
func packSites(sites []*site, n int) []*site {
	order := slices.Clone(sites)
	slices.SortStableFunc(order, func(a, b *site) int {
		return cmp.Or(-compareBool(a.served, b.served), -compareBool(a.open() >= n, b.open() >= n),
			comparePacked(a, b, n))
	})
	chosen := make([]*site, 0, n)
	for _, s := range order {
		for s.served && s.taken < s.open() && len(chosen) < n {
			s.taken++
			chosen = append(chosen, s)
		}
	}
	for len(chosen) < n {
		chosen = append(chosen, shortestWait(order))
	}
	return chosen
}

// open returns the tasks that could start at once.
func (s *site) open() int {
	if !s.served || s.pending > 0 {
		return 0
	}
	return s.room
}

func comparePacked(a, b *site, n int) int {
	if a.open() >= n && b.open() >= n {
		return cmp.Compare(a.open(), b.open())
	}
	return cmp.Compare(b.open(), a.open())
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// shortestWait takes one place in the rack with the fewest waiting tasks for its size.
func shortestWait(sites []*site) *site {
	best := slices.MinFunc(sites, func(a, b *site) int {
		return cmp.Or(-compareBool(a.served, b.served), cmp.Compare((a.pending+a.taken)*b.fits, (b.pending+b.taken)*a.fits))
	})
	best.taken++
	return best
}

// spreadZones puts each replica into the zone with the fewest replicas, and
// there into the rack with the fewest, preferring racks with room.
func spreadZones(sites []*site, n int) []*site {
	zones := map[cluster.Place]int{}
	chosen := make([]*site, 0, n)
	for range n {
		best := spreadNext(sites, zones)
		best.taken++
		zones[best.place]++
		chosen = append(chosen, best)
	}
	return chosen
}

// spreadNext returns the rack for one more replica. A rack without an owner is
// as good as others: it gets one within seconds, while replicas that were all
// placed in the one rack with an owner stay there.
func spreadNext(sites []*site, zones map[cluster.Place]int) *site {
	return slices.MinFunc(sites, func(a, b *site) int {
		return cmp.Or(
			-compareBool(!a.served || a.room > a.taken, !b.served || b.room > b.taken),
			cmp.Compare(zones[a.place], zones[b.place]),
			cmp.Compare(a.taken, b.taken),
			cmp.Compare(b.room, a.room),
			strings.Compare(string(a.rack.id), string(b.rack.id)),
		)
	})
}

// gangSites chooses as few racks as can hold all tasks at once, of one owner if possible.
func (c *Controller) gangSites(sites []*site, n int) []*site {
	order := slices.Clone(sites)
	total := map[cluster.DaemonID]int{}
	for _, s := range sites {
		total[s.rack.owner] += s.fits
	}
	slices.SortStableFunc(order, func(a, b *site) int {
		return cmp.Or(
			-compareBool(a.served, b.served),
			-compareBool(a.room >= n, b.room >= n),
			-compareBool(a.fits >= n, b.fits >= n),
			-compareBool(total[a.rack.owner] >= n, total[b.rack.owner] >= n),
			strings.Compare(string(a.rack.owner), string(b.rack.owner)),
			cmp.Compare(b.room, a.room),
		)
	})
	chosen := make([]*site, 0, n)
	for _, s := range order {
		for s.taken < s.fits && len(chosen) < n {
			s.taken++
			chosen = append(chosen, s)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}
