package placement

import "github.com/goldcrestshift/goldcrestshift/cluster/fairshare"

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
	for i, t := range q.sortedTeams {
		t.entitled = 0
		if demand := t.used.Add(t.pending).DominantShare(q.cfg.Total); demand > 0 {
			q.claims = append(q.claims, fairshare.Claim{Index: i, Weight: float64(t.cfg.Weight), Demand: demand})
		}
	}
	fairshare.Divide(q.claims)
	for i := range q.claims {
		q.sortedTeams[q.claims[i].Index].entitled = q.claims[i].Entitled
	}
}
