package placement

import (
	"cmp"
	"slices"
)

// Shares returns the shares of all teams, ordered by team name.
func (q *Queue) Shares() []TeamShare {
	q.refreshShares()
	shares := make([]TeamShare, 0, len(q.sortedTeams))
	for _, t := range q.sortedTeams {
		shares = append(shares, TeamShare{
			Team:     t.name,
			Dominant: t.dominantShare(q.cfg.Total),
			Entitled: t.entitled,
			Demand:   t.used.Add(t.pending).DominantShare(q.cfg.Total),
		})
	}
	return shares
}

// refreshShares recomputes the entitled shares if usage, demand, weights or total capacity have changed.
func (q *Queue) refreshShares() {
	if !q.sharesStale {
		return
	}
	q.sharesStale = false
	q.claims = q.claims[:0]
	for _, t := range q.sortedTeams {
		t.entitled = 0
		if demand := t.used.Add(t.pending).DominantShare(q.cfg.Total); demand > 0 {
			q.claims = append(q.claims, teamClaim{team: t, weight: float64(t.cfg.Weight), demand: demand})
		}
	}
	waterFill(q.claims)
	for i := range q.claims {
		q.claims[i].team.entitled = q.claims[i].entitled
	}
}

// teamClaim is a team's input to and result from water filling.
type teamClaim struct {
	team           *teamQueue
	weight, demand float64
	entitled       float64
}

// waterFill computes weighted max-min fair shares of the total capacity: what a team
// doesn't demand is divided among the others by weight. The entitled shares add up to
// 1, or to the sum of the demands if that is less.
func waterFill(claims []teamClaim) {
	totalWeight := 0.0
	for i := range claims {
		totalWeight += claims[i].weight
	}
	slices.SortFunc(claims, func(a, b teamClaim) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	remaining := 1.0
	for i := range claims {
		claim := &claims[i]
		claim.entitled = min(claim.demand, remaining*claim.weight/totalWeight)
		remaining -= claim.entitled
		totalWeight -= claim.weight
	}
}
