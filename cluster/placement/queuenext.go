package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Next returns the item to try next without removing it.
//
// The order is:
//  1. items with a reservation
//  2. starved items
//  3. urgent items of teams below their entitled share
//  4. due items of teams below their entitled share; once in dueStartInterval starts
//     the earliest due item of any team precedes the urgent items
//  5. the first item of the team with the lowest dominant share divided by weight:
//     urgent items first, the others by latest start
//
// An item is due if it is deferrable and has waited for its maximum, or if it has a
// deadline and has reached its latest start. Normal items without a deadline are never
// due: in a sustained overload all of them would be, and first come, first served
// would replace fair sharing.
func (q *Queue) Next(now time.Time) (Pick, bool) {
	for _, e := range q.reservedEntries {
		t := q.teams[e.item.Job.Team]
		if !e.triedSinceFreed && !t.held && t.withinLimit(&e.item) {
			return Pick{Item: e.item}, true
		}
	}
	q.refreshShares()
	if e := q.firstStarved(now); e != nil {
		e.selectedAsStarved, e.selectedAsDue = true, false
		return Pick{Item: e.item, Starved: true}, true
	}
	var urgentEntry, dueEntry, earliestDue, fairEntry *entry
	var urgentTeam, fairTeam *teamQueue
	for _, t := range q.sortedTeams {
		if t.held {
			continue
		}
		belowShare := t.dominantShare(q.cfg.Total) < t.entitled
		if e := t.firstEligible(urgentClass); e != nil && belowShare {
			if urgentEntry == nil || t.weightedShare(q.cfg.Total) < urgentTeam.weightedShare(q.cfg.Total) {
				urgentEntry, urgentTeam = e, t
			}
		}
		if e := t.firstEligible(timedClass); e != nil && !e.latestStart.After(now) {
			if earliestDue == nil || e.precedes(earliestDue) {
				earliestDue = e
			}
			if belowShare && (dueEntry == nil || e.precedes(dueEntry)) {
				dueEntry = e
			}
		}
		if e := t.nextEntry(); e != nil && (fairEntry == nil || t.weightedShare(q.cfg.Total) < fairTeam.weightedShare(q.cfg.Total)) {
			fairEntry, fairTeam = e, t
		}
	}
	next, packed := fairEntry, false
	switch {
	case earliestDue != nil && q.startsSinceDue >= dueStartInterval-1:
		next = earliestDue
	case urgentEntry != nil:
		next = urgentEntry
	case dueEntry != nil:
		next = dueEntry
	default:
		if e := q.selectForPacking(fairEntry); e != nil && e != fairEntry {
			next, packed = e, true
		}
	}
	if next == nil {
		return Pick{}, false
	}
	// Only the start of the earliest due item resets the count: due items of teams below
	// their share must not delay earlier due items of other teams.
	next.selectedAsDue, next.selectedForPacking = next == earliestDue, packed
	return Pick{Item: next.item}, true
}

// firstStarved returns the longest blocked entry that is starved, if another reservation is allowed.
func (q *Queue) firstStarved(now time.Time) *entry {
	if len(q.reservedEntries) >= q.cfg.MaxReservations || q.noneStarvedAt.Equal(now) && q.noneStarvedStartCount == q.startCount {
		return nil
	}
	for e := q.blockedEntries.first; e != nil; e = e.next {
		skips := uint64(q.cfg.MaxSkips)
		if q.startCount-e.startsAtBlock < skips && now.Sub(e.blockedSince) < q.cfg.StarvationDelay {
			break
		}
		t := q.teams[e.item.Job.Team]
		// Items that may still wait do not justify keeping workers idle before they are due.
		if t.held || !t.withinLimit(&e.item) || orderClassOf(&e.item) == timedClass && e.latestStart.After(now) {
			continue
		}
		// An item of a team over its share waits for its team's turn rather than for
		// capacity, so only starts of its own team count as skips.
		if t.dominantShare(q.cfg.Total) < t.entitled || t.startCount-e.teamStartsAtBlock >= skips {
			return e
		}
	}
	// The result stays the same until another task starts or time passes.
	q.noneStarvedAt, q.noneStarvedStartCount = now, q.startCount
	return nil
}

// maxPackGroups limits the groups per team and order class that are compared for packing.
const maxPackGroups = 16

// packShareTolerance is the largest ratio between a team's weighted share and that of
// the team next in strict order at which packing may prefer the former's item. On a full
// fleet of 32-core workers 2.8% of the capacity was unusable at 1.1 and 1.3% at 1.2. At
// 1.4 the teams of the Erzählwerk mix were further from their entitled shares
// (docs/measurements-placement.md).
const packShareTolerance = 1.2

// selectForPacking returns the item that fills the freed capacity best, among the items
// of the team of strictNext, which is next in strict order, and of teams with a similar
// weighted share. It returns nil if the strict order applies or nothing fits.
//
// On a full fleet nearly every task starts on the worker that a task has just left, so
// the choice of the item decides how much capacity is left over there.
func (q *Queue) selectForPacking(strictNext *entry) *entry {
	if strictNext == nil || q.packedStarts >= q.cfg.PackingCycle-1 || q.freedCapacity.CPU <= 0 || q.freedCapacity.Memory <= 0 {
		return nil
	}
	if strictNext.item.Priority == cluster.PriorityUrgent {
		return nil
	}
	maxShare := packShareTolerance * q.teams[strictNext.item.Job.Team].weightedShare(q.cfg.Total)
	var best *entry
	bestScore := 0.0
	for _, t := range q.sortedTeams {
		if t.held || t.weightedShare(q.cfg.Total) > maxShare {
			continue
		}
		for class := normalClass; class < orderClassCount; class++ {
			groups := t.activeGroups[class]
			for _, g := range groups[:min(len(groups), maxPackGroups)] {
				e := g.entries[0]
				if !e.item.Size.Fits(q.freedCapacity) || e.item.Gang || !t.withinLimit(&e.item) {
					continue
				}
				if score := fillScore(e.item.Size, q.freedCapacity); best == nil || score > bestScore || score == bestScore && e.precedes(best) {
					best, bestScore = e, score
				}
			}
		}
	}
	return best
}

// fillScore rates how well a size fills free capacity: the smaller of the CPU and the
// memory fraction that it uses, minus the difference between the two, which would be
// left of one resource without the other.
func fillScore(size, free cluster.Resources) float64 {
	cpu, memory := float64(size.CPU)/float64(free.CPU), float64(size.Memory)/float64(free.Memory)
	return min(cpu, memory) - max(cpu-memory, memory-cpu)
}
