package cell

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidateModulus makes every fourth VM a candidate. In a large cell only candidates are hubs, only their rows are
	// read by all daemons, and other daemons own shards only while no candidate can.
	candidateModulus = 4
	// largeCellThreshold is the number of candidates above which a cell is large, which is reached at about 64
	// members. In a smaller cell all members are connected to one another.
	largeCellThreshold = 16
	// numHubs is the number of candidates that all members of a large cell are connected to, and maxHubs the largest one
	// with those that are silent.
	numHubs = 16
	maxHubs = 3 * numHubs
)

// isCandidate reports whether a VM is a candidate from its start. Others are candidates once they have owned a shard.
func isCandidate(vm string) bool { return vmHash(vm)%candidateModulus == 0 }

// isLargeCell reports whether a cell with these members is large. Candidates that have become so by owning a shard don't
// count, so that their number says how many members there are.
func isLargeCell(members map[string]memberRow) bool {
	n := 0
	for vm := range members {
		if isCandidate(vm) {
			n++
		}
	}
	return n > largeCellThreshold
}

// connectedMembers returns the members that a daemon connects to. In a large cell these are the hubs, which are the
// candidates with the most cores, and the owners of shards. For each hub that is silent there is another one.
func connectedMembers(members map[string]memberRow, owners map[string]bool, isSilent func(memberRow) bool) []memberRow {
	if !isLargeCell(members) {
		return slices.Collect(maps.Values(members))
	}
	var list []memberRow
	for _, m := range members {
		if m.candidate {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareMembers)
	hubs, responding := 0, 0
	for hubs < min(len(list), maxHubs) && responding < numHubs {
		if !isSilent(list[hubs]) {
			responding++
		}
		hubs++
	}
	others := slices.DeleteFunc(list[hubs:], func(m memberRow) bool { return !owners[m.ID] })
	return slices.Concat(list[:hubs], others)
}

// isHub reports whether a VM is one of the hubs of a large cell.
func isHub(members map[string]memberRow, vm string) bool {
	self, ok := members[vm]
	if !ok || !self.candidate {
		return false
	}
	before := 0
	for _, m := range members {
		if m.candidate && compareMembers(m, self) < 0 {
			before++
		}
	}
	return before < numHubs
}

// compareMembers orders members by cores, those with the most first.
func compareMembers(a, b memberRow) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(vmHash(a.ID), vmHash(b.ID)))
}

// vmHash returns a hash of the VM in the identifier of a daemon, or of a VM. Ordering by it mixes the zones,
// and a VM keeps its position when its daemon restarts.
func vmHash(id string) uint64 {
	vm, _, _ := strings.Cut(id, daemonSeparator)
	return xxhash.Sum64String(vm)
}
