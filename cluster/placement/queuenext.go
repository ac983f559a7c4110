package placement

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Next returns the item to try next, without removing it.
//
// The order is: items with reservations; items passed over too often; urgent
// work of teams below their share; due work (deferrable work at the end of its
// wait, or work at the latest start that meets its deadline) of teams below
// their share, or of any team once in eight starts; then the team with the
// lowest dominant share for its weight, and within it urgent work first and the
// rest by latest start.
//
// Normal work without a deadline is never due: under a sustained overload all of
// it would be, and shares would give way to first come, first served.
func (q *Queue) Next(now time.Time) (Pick, bool) {
	for _, e := range q.reserved {
		t := q.teams[e.item.Job.Team]
		if !e.tried && !t.held && t.admits(&e.item) {
			return Pick{Item: e.item}, true
		}
	}
	q.refresh()
	if e := q.firstOvertaken(now); e != nil {
		e.overtaken, e.due = true, false
		return Pick{Item: e.item, Reserve: true}, true
	}
	var hurry, due, firstDue, rest *entry
	var hurryTeam, restTeam *team
	for _, t := range q.order {
		if t.held {
			continue
		}
		below := t.dominant(q.cfg.Total) < t.entitled
		if e := t.first(urgent); e != nil && below {
			if hurry == nil || t.ratio(q.cfg.Total) < hurryTeam.ratio(q.cfg.Total) {
				hurry, hurryTeam = e, t
			}
		}
		if e := t.first(dueLater); e != nil && !e.key.After(now) {
			if firstDue == nil || e.before(firstDue) {
				firstDue = e
			}
			if below && (due == nil || e.before(due)) {
				due = e
			}
		}
		if e := t.head(); e != nil && (rest == nil || t.ratio(q.cfg.Total) < restTeam.ratio(q.cfg.Total)) {
			rest, restTeam = e, t
		}
	}
	next, packed := rest, false
	switch {
	case firstDue != nil && q.sinceDue >= dueTurn-1:
		next = firstDue
	case hurry != nil:
		next = hurry
	case due != nil:
		next = due
	default:
		if e := q.pack(rest); e != nil && e != rest {
			next, packed = e, true
		}
	}
	if next == nil {
		return Pick{}, false
	}
	// Only the start of the first due item begins a new turn: due work of teams
	// below their share must not put off older due work of the others.
	next.due, next.packed = next == firstDue, packed
	return Pick{Item: next.item}, true
}

// firstOvertaken returns the item that was passed over too often, if another reservation is allowed.
func (q *Queue) firstOvertaken(now time.Time) *entry {
	if len(q.reserved) >= q.cfg.MaxReservations || q.nobodyAt.Equal(now) && q.nobodyStarts == q.starts {
		return nil
	}
	for e := q.waiting.first; e != nil; e = e.next {
		skips := uint64(q.cfg.MaxSkips)
		if q.starts-e.startsSince < skips && now.Sub(e.since) < q.cfg.MaxBlocked {
			break
		}
		t := q.teams[e.item.Job.Team]
		// Work that may wait is not worth idle workers before it is due.
		if t.held || !t.admits(&e.item) || rushOf(&e.item) == dueLater && e.key.After(now) {
			continue
		}
		// An item of a team over its share waits for the team's turn and not for room;
		// only the team's own work passes it over.
		if t.dominant(q.cfg.Total) < t.entitled || t.starts-e.teamStartsSince >= skips {
			return e
		}
	}
	// The answer stays the same until something is started or time passes.
	q.nobodyAt, q.nobodyStarts = now, q.starts
	return nil
}

// packGroups limits the groups of a team that are compared for packing.
const packGroups = 16

// packSlack is how far a team's share by weight may be above that of the team
// whose turn it is for the team's item to be preferred. At 1.1 a full fleet of
// 32-core workers had 2.8% unusable and at 1.2 had 1.3%; at 1.4 the teams were
// further from their shares in the Erzählwerk mix (docs/measurements-placement.md).
const packSlack = 1.2

// pack returns the item that fills the freed room best, among those of the team
// whose turn it is and of teams with nearly as low a share. In a full fleet
// nearly every start is on the worker that a task just left, so that the choice
// of the item decides how much is left over there.
func (q *Queue) pack(turn *entry) *entry {
	if turn == nil || q.packed >= q.cfg.PackTurns-1 || q.hole.CPU <= 0 || q.hole.Memory <= 0 {
		return nil
	}
	if turn.item.Priority == cluster.PriorityUrgent {
		return nil
	}
	highest := packSlack * q.teams[turn.item.Job.Team].ratio(q.cfg.Total)
	var best *entry
	bestFill := 0.0
	for _, t := range q.order {
		if t.held || t.ratio(q.cfg.Total) > highest {
			continue
		}
		for kind := normal; kind < rushes; kind++ {
			groups := t.active[kind]
			for _, g := range groups[:min(len(groups), packGroups)] {
				e := g.entries[0]
				if !e.item.Size.Fits(q.hole) || e.item.Gang || !t.admits(&e.item) {
					continue
				}
				if f := fill(e.item.Size, q.hole); best == nil || f > bestFill || f == bestFill && e.before(best) {
					best, bestFill = e, f
				}
			}
		}
	}
	return best
}

// fill rates how well a size fills room: the smaller part that it takes of
// processors and memory, less the difference between the two parts, which is
// what would be left of one without the other.
func fill(size, room cluster.Resources) float64 {
	cpu, memory := float64(size.CPU)/float64(room.CPU), float64(size.Memory)/float64(room.Memory)
	return min(cpu, memory) - max(cpu-memory, memory-cpu)
}
