package placement

import (
	"cmp"
	"slices"
)

// Shares returns the share of every team, ordered by name.
func (q *Queue) Shares() []TeamShare {
	q.refresh()
	shares := make([]TeamShare, 0, len(q.order))
	for _, t := range q.order {
		shares = append(shares, TeamShare{
			Team:     t.name,
			Dominant: t.dominant(q.cfg.Total),
			Entitled: t.entitled,
			Demand:   t.used.Add(t.pending).DominantShare(q.cfg.Total),
		})
	}
	return shares
}

// refresh computes the entitled shares if demand, weights or capacity changed.
func (q *Queue) refresh() {
	if !q.stale {
		return
	}
	q.stale = false
	q.fill = q.fill[:0]
	for _, t := range q.order {
		t.entitled = 0
		if demand := t.used.Add(t.pending).DominantShare(q.cfg.Total); demand > 0 {
			q.fill = append(q.fill, claim{team: t, weight: float64(t.cfg.Weight), demand: demand})
		}
	}
	waterFill(q.fill)
	for i := range q.fill {
		q.fill[i].team.entitled = q.fill[i].entitled
	}
}

// claim is a team's part in water filling.
type claim struct {
	team           *team
	weight, demand float64
	entitled       float64
}

// waterFill divides one whole fleet by weight; what a team does not demand goes to the others.
// The entitled shares sum to one, or to the sum of the demands if that is less.
func waterFill(claims []claim) {
	weights := 0.0
	for i := range claims {
		weights += claims[i].weight
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	left := 1.0
	for i := range claims {
		l := &claims[i]
		l.entitled = min(l.demand, left*l.weight/weights)
		left -= l.entitled
		weights -= l.weight
	}
}
