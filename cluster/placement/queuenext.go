package placement

import (
	"time"
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
	if e := q.firstOvertaken(now); e != nil {
		e.overtaken, e.due = true, false
		return Pick{Item: e.item, Reserve: true}, true
	}
	q.refresh()
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
	next := rest
	switch {
	case firstDue != nil && q.sinceDue >= dueTurn-1:
		next = firstDue
	case hurry != nil:
		next = hurry
	case due != nil:
		next = due
	}
	if next == nil {
		return Pick{}, false
	}
	// Only the start of the first due item begins a new turn: due work of teams
	// below their share must not put off older due work of the others.
	next.due = next == firstDue
	return Pick{Item: next.item}, true
}

// firstOvertaken returns the item that has been blocked for too long, if another reservation is allowed.
func (q *Queue) firstOvertaken(now time.Time) *entry {
	if len(q.reserved) >= q.cfg.MaxReservations {
		return nil
	}
	for e := q.waiting.first; e != nil; e = e.next {
		if q.starts-e.startsSince < uint64(q.cfg.MaxSkips) && now.Sub(e.since) < q.cfg.MaxBlocked {
			return nil
		}
		t := q.teams[e.item.Job.Team]
		if !t.held && t.admits(&e.item) {
			return e
		}
	}
	return nil
}
