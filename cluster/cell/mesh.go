package cell

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshMembers is the number of members up to which each is connected to every other one.
	meshMembers = 48
	// hubMembers is the number of members that are connected to all in a larger cell.
	hubMembers = 16
)

// connectedMembers returns the members that a daemon keeps connections to. In a
// large cell these are the hubs, which have the most processor, and the owners
// of pools; hubs and owners are connected to all.
func connectedMembers(self string, members []memberRow, owners map[string]bool) []memberRow {
	if len(members) <= meshMembers {
		return members
	}
	slices.SortFunc(members, compareMembers)
	list := slices.Clone(members[:hubMembers])
	if owners[self] || slices.ContainsFunc(list, func(m memberRow) bool { return m.ID == self }) {
		return members
	}
	for _, m := range members[hubMembers:] {
		if owners[m.ID] {
			list = append(list, m)
		}
	}
	return list
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
