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
	var urgent, due, rest *entry
	var urgentTeam, restTeam *team
	for _, t := range q.order {
		if t.held {
			continue
		}
		below := t.dominant(q.cfg.Total) < t.entitled
		if e := t.headUrgent(); e != nil {
			if below && (urgent == nil || t.ratio(q.cfg.Total) < urgentTeam.ratio(q.cfg.Total)) {
				urgent, urgentTeam = e, t
			}
		}
		if e := t.headOther(); e != nil && q.isDue(e, now) {
			if (below || q.sinceDue >= dueTurn-1) && (due == nil || e.before(due)) {
				due = e
			}
		}
		if e := t.head(); e != nil && (rest == nil || t.ratio(q.cfg.Total) < restTeam.ratio(q.cfg.Total)) {
			rest, restTeam = e, t
		}
	}
	switch {
	case due != nil && q.sinceDue >= dueTurn-1:
		return q.pick(due, true)
	case urgent != nil:
		return q.pick(urgent, false)
	case due != nil:
		return q.pick(due, true)
	case rest != nil:
		return q.pick(rest, false)
	}
	return Pick{}, false
}

func (q *Queue) pick(e *entry, due bool) (Pick, bool) {
	e.due = due
	return Pick{Item: e.item}, true
}

// isDue reports whether an item's wait must end now. Normal work without a
// deadline is never due: under a sustained overload all of it would be, and
// shares would give way to first come, first served.
func (q *Queue) isDue(e *entry, now time.Time) bool {
	if e.item.Deadline.IsZero() && e.item.Priority != cluster.PriorityDeferrable {
		return false
	}
	return !e.key.After(now)
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
