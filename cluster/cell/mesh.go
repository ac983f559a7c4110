package cell

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidateShare makes every fourth VM a candidate. In a large cell only
	// candidates are hubs or own shards, and only their rows are read by all.
	candidateShare = 4
	// largeCandidates is the number of candidates above which a cell is large, at some 64 members. In a
	// smaller one each member is connected to every other one.
	largeCandidates = 16
	// hubMembers is the number of candidates that are connected to all members of a large cell.
	hubMembers = 16
)

// candidate reports whether a VM is one of those that carry a large cell.
func candidate(vm string) bool { return spread(vm)%candidateShare == 0 }

// largeCell reports whether a cell with these members is large.
func largeCell(members map[string]memberRow) bool {
	n := 0
	for vm := range members {
		if candidate(vm) {
			n++
		}
	}
	return n > largeCandidates
}

// connectedMembers returns the members that a daemon opens connections to. In a
// large cell these are the hubs, which are the candidates with the most
// processor, and the owners of shards.
func connectedMembers(members map[string]memberRow, owners map[string]bool) []memberRow {
	if !largeCell(members) {
		return slices.Collect(maps.Values(members))
	}
	var list []memberRow
	for vm, m := range members {
		if candidate(vm) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareMembers)
	hubs, others := list[:hubMembers], list[hubMembers:]
	others = slices.DeleteFunc(others, func(m memberRow) bool { return !owners[m.ID] })
	return slices.Concat(hubs, others)
}

// compareMembers puts the members with the most processor first.
func compareMembers(a, b memberRow) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(spread(a.ID), spread(b.ID)))
}

// spread orders the VMs of daemons across zones; a new start of a daemon keeps its place.
func spread(id string) uint64 {
	vm, _, _ := strings.Cut(id, daemonSeparator)
	return xxhash.Sum64String(vm)
}
