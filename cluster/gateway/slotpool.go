package gateway

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/record"
)

const (
	slotsPrefix = "slots/"
	// teamPrefix marks the pool of a team's request limit; the name of a service has no colon.
	teamPrefix = "team:"
	// fairShareDelay keeps a daemon that has released slots without demand of its own from
	// acquiring its fair share again at once.
	fairShareDelay = 2 * time.Second
	// reserveDivisor determines the reserve: a daemon without demand keeps 1/reserveDivisor of its fair share.
	reserveDivisor = 4
)

// slotQuota is this daemon's quota of the slots of one runner, or of the request limit of one
// team. The row in the table service records the allocation to every daemon.
type slotQuota struct {
	id       string
	capacity int
	// allocated is this daemon's allocation as recorded in the row.
	allocated int
	// limit is what may be used now. It never exceeds allocated and is lower while a release is being recorded.
	limit    int
	inFlight int
	// retired means that the runner is no longer listed; the quota is dropped with its last request.
	retired bool
}

// allocation divides the slots of one runner, or the request limit of one team, among the daemons.
type allocation struct {
	capacity int
	byDaemon map[cluster.DaemonID]int
}

func (a *allocation) total() int {
	n := 0
	for _, slots := range a.byDaemon {
		n += slots
	}
	return n
}

// poolAllocations is the decoded row `slots/<service>`: the allocations by runner or team.
type poolAllocations map[string]*allocation

// poolRecord is the encoding of poolAllocations. Each daemon is named only once, because
// there are many allocations and a row is sent to every peer when it changes.
type poolRecord struct {
	Daemons     []string           `msgpack:"Daemons"`
	Allocations []allocationRecord `msgpack:"Units"`
}

// allocationRecord is the encoding of one allocation; Slots has one entry for each of
// poolRecord.Daemons.
type allocationRecord struct {
	ID       string `msgpack:"ID"`
	Capacity int    `msgpack:"Capacity"`
	Slots    []int  `msgpack:"Held"`
}

func encodePoolRow(row poolAllocations) ([]byte, error) {
	index := map[cluster.DaemonID]int{}
	for _, alloc := range row {
		for d := range alloc.byDaemon {
			index[d] = 0
		}
	}
	var encoded poolRecord
	for i, d := range slices.Sorted(maps.Keys(index)) {
		index[d] = i
		encoded.Daemons = append(encoded.Daemons, string(d))
	}
	for _, id := range slices.Sorted(maps.Keys(row)) {
		record := allocationRecord{ID: id, Capacity: row[id].capacity, Slots: make([]int, len(encoded.Daemons))}
		for d, n := range row[id].byDaemon {
			record.Slots[index[d]] = n
		}
		encoded.Allocations = append(encoded.Allocations, record)
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Encoding structs as arrays instead of maps with field names halves the size of the row.
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(encoded); err != nil {
		return nil, &Error{Op: "encode slots", Kind: KindMalformed, Err: err}
	}
	return buf.Bytes(), nil
}

func decodePoolRow(data []byte) (poolAllocations, error) {
	var encoded poolRecord
	if err := record.Unmarshal(data, &encoded); err != nil {
		return nil, &Error{Op: "decode slots", Kind: KindMalformed, Err: err}
	}
	row := poolAllocations{}
	for _, r := range encoded.Allocations {
		if len(r.Slots) != len(encoded.Daemons) {
			return nil, &Error{Op: "decode slots", Kind: KindMalformed, Err: fmt.Errorf("%s has %d allocations for %d daemons", r.ID, len(r.Slots), len(encoded.Daemons))}
		}
		alloc := &allocation{capacity: r.Capacity, byDaemon: map[cluster.DaemonID]int{}}
		for i, n := range r.Slots {
			if n > 0 {
				alloc.byDaemon[cluster.DaemonID(encoded.Daemons[i])] = n
			}
		}
		row[r.ID] = alloc
	}
	return row, nil
}

func (row poolAllocations) clone() poolAllocations {
	clone := make(poolAllocations, len(row))
	for id, alloc := range row {
		clone[id] = &allocation{capacity: alloc.capacity, byDaemon: maps.Clone(alloc.byDaemon)}
	}
	return clone
}

// allocatedTo returns the number of slots allocated to a daemon over all runners.
func (row poolAllocations) allocatedTo(d cluster.DaemonID) int {
	n := 0
	for _, alloc := range row {
		n += alloc.byDaemon[d]
	}
	return n
}

// fairShare divides a capacity among the members and returns the share of self. The
// remainder goes to the members with the highest rendezvous hash for the identifier, so with more
// members than slots each runner has a fixed subset of daemons that use it.
func fairShare(id string, capacity int, members []cluster.DaemonID, self cluster.DaemonID) int {
	if len(members) == 0 {
		return 0
	}
	share, remainder := capacity/len(members), capacity%len(members)
	selfHash := rendezvousHash(id, self)
	rank := 0
	for _, m := range members {
		if h := rendezvousHash(id, m); m != self && (h > selfHash || (h == selfHash && m < self)) {
			rank++
		}
	}
	if rank < remainder {
		share++
	}
	return share
}

func rendezvousHash(id string, daemon cluster.DaemonID) uint64 {
	return xxhash.Sum64String(id + "\x00" + string(daemon))
}

// membership is the set of daemons as this daemon knows it.
type membership struct {
	self cluster.DaemonID
	// all holds every daemon that has not left; slots allocated to other daemons are reclaimed.
	all []cluster.DaemonID
	// active holds the members that are not leaving.
	active []cluster.DaemonID
}

// slotPool is this daemon's view of one row of slots. It is guarded by Gateway.mu.
type slotPool struct {
	name    string
	version cluster.Version
	// loaded means that the row, or its absence, was read from the store.
	loaded      bool
	allocations poolAllocations
	quotas      map[string]*slotQuota
	// demand is the number of requests that wait for a slot; reserveDeficit is the number of
	// slots that this daemon lacks to its reserve.
	demand, reserveDeficit int
	// nextCheckAt is when the pool is checked next if there is no demand before.
	nextCheckAt time.Time
	// nextProposalAt is the earliest time of the next commit; it is delayed after a failed one.
	nextProposalAt time.Time
	// requestedSlots is the number of slots that a peer requested; requestingPeer is that peer.
	requestedSlots int
	requestingPeer cluster.DaemonID
	// fairShareFrom is when a daemon that released slots without demand of its own may acquire its fair share again.
	fairShareFrom time.Time
	// lastRequestAt is when this daemon last requested slots from peers.
	lastRequestAt time.Time
	// peak and previousPeak are the most slots in use or in demand in the current and the previous window.
	peak, previousPeak int
	// commitInFlight is set while a commit of this row is in progress.
	commitInFlight bool
}

func newSlotPool(name string) *slotPool {
	return &slotPool{name: name, allocations: poolAllocations{}, quotas: map[string]*slotQuota{}}
}

func (p *slotPool) key() string { return slotsPrefix + p.name }

func (p *slotPool) team() (cluster.TeamName, bool) {
	name, ok := strings.CutPrefix(p.name, teamPrefix)
	return cluster.TeamName(name), ok
}

// apply replaces the allocations by those of a newer row. Slots that the row no longer
// allocates to this daemon are not used any more.
func (p *slotPool) apply(self cluster.DaemonID, row poolAllocations, version cluster.Version) {
	p.allocations, p.version, p.loaded = row, version, true
	for id, quota := range p.quotas {
		allocated := 0
		if alloc := row[id]; alloc != nil {
			allocated = alloc.byDaemon[self]
		}
		if quota.limit < quota.allocated {
			// A release is being recorded; the lower limit stays until the row shows it.
			quota.limit = min(quota.limit, allocated)
		} else {
			quota.limit = allocated
		}
		quota.allocated = allocated
	}
}

// limit returns the number of slots that may be used now.
func (p *slotPool) limit() int {
	n := 0
	for _, quota := range p.quotas {
		n += quota.limit
	}
	return n
}

// usage returns the number of slots in use and whether a release is being recorded. It
// also drops retired quotas that are no longer in use.
func (p *slotPool) usage() (inFlight int, releasing bool) {
	for id, quota := range p.quotas {
		inFlight += quota.inFlight
		releasing = releasing || quota.limit < quota.allocated
		if quota.retired && quota.inFlight == 0 {
			delete(p.quotas, id)
		}
	}
	return inFlight, releasing
}

// totalFairShare returns the fair share of a daemon over all runners.
func (p *slotPool) totalFairShare(members []cluster.DaemonID, d cluster.DaemonID) int {
	n := 0
	for id, quota := range p.quotas {
		n += fairShare(id, quota.capacity, members, d)
	}
	return n
}

// plan returns the allocations that this daemon proposes, or nil if there is no change.
// A daemon lowers only its own allocations, and only after it has stopped using the slots. It
// raises its own allocations only by slots that are allocated to no daemon. So the sum never
// exceeds the capacity, whatever the daemons know of each other. Allocations of
// daemons that have left the member table may be dropped by any daemon.
func (p *slotPool) plan(view membership, now time.Time) poolAllocations {
	next := p.allocations.clone()
	changed := reclaimFromNonMembers(next, view.all)
	p.release(view, now)
	demand := p.demand
	for _, id := range slices.Sorted(maps.Keys(p.quotas)) {
		quota := p.quotas[id]
		alloc := next[id]
		if alloc == nil {
			alloc = &allocation{byDaemon: map[cluster.DaemonID]int{}}
			next[id] = alloc
		}
		alloc.capacity = quota.capacity
		target := p.targetAllocation(quota, alloc, fairShare(id, quota.capacity, view.active, view.self), &demand, now)
		if target != alloc.byDaemon[view.self] {
			changed = true
			alloc.set(view.self, target)
		}
	}
	changed = p.prune(next, view.self) || changed
	if !changed {
		return nil
	}
	return next
}

// set sets the slots of a daemon and removes its entry if there are none.
func (a *allocation) set(d cluster.DaemonID, n int) {
	if n == 0 {
		delete(a.byDaemon, d)
		return
	}
	a.byDaemon[d] = n
}

// targetAllocation returns the number of slots of one runner that this daemon proposes for itself.
func (p *slotPool) targetAllocation(quota *slotQuota, alloc *allocation, fair int, demand *int, now time.Time) int {
	free := max(quota.capacity-alloc.total(), 0)
	switch {
	case quota.retired || quota.limit < quota.allocated:
		return max(quota.limit, min(quota.inFlight, quota.allocated))
	case quota.allocated < fair && free > 0 && (*demand > 0 || !now.Before(p.fairShareFrom)):
		increase := min(free, fair-quota.allocated)
		*demand -= increase
		return quota.allocated + increase
	case free > 0 && *demand > 0:
		// Taking only one more slot of each runner at a time spreads the load.
		*demand--
		return quota.allocated + 1
	}
	return quota.allocated
}

// reclaimFromNonMembers drops the allocations of daemons that are not members.
func reclaimFromNonMembers(next poolAllocations, members []cluster.DaemonID) bool {
	changed := false
	for _, alloc := range next {
		for d := range alloc.byDaemon {
			if !slices.Contains(members, d) {
				delete(alloc.byDaemon, d)
				changed = true
			}
		}
	}
	return changed
}

// prune drops this daemon's allocations of runners that it no longer knows, and the entries
// of such runners that are allocated to no daemon.
func (p *slotPool) prune(next poolAllocations, self cluster.DaemonID) bool {
	changed := false
	for id, alloc := range next {
		if p.quotas[id] != nil {
			continue
		}
		if _, ok := alloc.byDaemon[self]; ok {
			delete(alloc.byDaemon, self)
			changed = true
		}
		if len(alloc.byDaemon) == 0 {
			delete(next, id)
			changed = true
		}
	}
	return changed
}

// release lowers the limits of quotas of which more than the capacity is allocated to all
// daemons together. Then it releases slots for a request by a peer: slots that this daemon
// doesn't need, and slots above its fair share if the peer is below its own.
func (p *slotPool) release(view membership, now time.Time) {
	for id, quota := range p.quotas {
		if alloc := p.allocations[id]; alloc != nil && alloc.total() > quota.capacity {
			quota.limit = min(quota.limit, max(fairShare(id, quota.capacity, view.active, view.self), quota.allocated-(alloc.total()-quota.capacity)))
		}
	}
	if p.requestedSlots == 0 {
		return
	}
	limit := p.limit()
	p.requestedSlots = max(p.requestedSlots-p.unallocated(), 0)
	// All peers receive the same request, so each releases only its part of it.
	others := max(len(view.active)-1, 1)
	count := min((p.requestedSlots+others-1)/others, limit-max(p.peak, p.previousPeak, p.reserve(view)))
	if p.allocations.allocatedTo(p.requestingPeer) < p.totalFairShare(view.active, p.requestingPeer) {
		// A peer below its fair share gets back what this daemon has above its own fair
		// share, even if it is in use now.
		count = max(count, min(p.requestedSlots, limit-p.totalFairShare(view.active, view.self)))
	}
	p.requestedSlots = 0
	if count > 0 {
		p.fairShareFrom = now.Add(fairShareDelay)
	}
	for ; count > 0; count-- {
		quota := p.quotaToRelease(view)
		if quota == nil {
			return
		}
		quota.limit--
	}
}

// reserve returns the slots of a service that a daemon keeps without demand, so that its next
// request doesn't have to wait for a commit. The request limits of teams are too small for a reserve.
func (p *slotPool) reserve(view membership) int {
	if _, ok := p.team(); ok {
		return 0
	}
	return (p.totalFairShare(view.active, view.self) + reserveDivisor - 1) / reserveDivisor
}

// unallocated returns the number of slots that are allocated to no daemon.
func (p *slotPool) unallocated() int {
	n := 0
	for id, quota := range p.quotas {
		total := 0
		if alloc := p.allocations[id]; alloc != nil {
			total = alloc.total()
		}
		n += max(quota.capacity-total, 0)
	}
	return n
}

// quotaToRelease returns the quota to release a slot of, or nil if all limits are zero. Quotas
// above their fair share come first, then those with the most unused slots.
func (p *slotPool) quotaToRelease(view membership) *slotQuota {
	var best *slotQuota
	bestScore := 0
	for _, id := range slices.Sorted(maps.Keys(p.quotas)) {
		quota := p.quotas[id]
		if quota.limit == 0 {
			continue
		}
		excess := quota.limit - fairShare(id, quota.capacity, view.active, view.self)
		score := 2*max(excess, 0)*quota.capacity + quota.limit - quota.inFlight
		if best == nil || score > bestScore {
			best, bestScore = quota, score
		}
	}
	return best
}
