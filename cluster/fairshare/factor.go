package fairshare

// Team is a team's input to and result from SetFactors.
type Team struct {
	// Weight is the weight of the team; values below 1 count as 1.
	Weight float64
	// Past is the decayed usage of the team.
	Past float64
	// Current is the dominant share of the capacity that the team uses now, Demand that including its waiting work.
	Current, Demand float64
	// Share is the team's part of the weights of all given teams, Entitled the share of the capacity to which it is
	// entitled now.
	Share, Entitled float64
	// Factor is how far the waiting work of the team is moved back, from 0 (not) to 1 (by the whole bound).
	Factor float64
}

// minTotalPart is the part of the largest possible usage that the usage of all teams counts as at least. With less,
// there is hardly any past to compare: a team that has started first would have used all of it. It is 4 minutes of a
// full pool with a half-life of 1 h.
const minTotalPart = 0.05

// SetFactors computes the factors of the teams that have work, waiting or running. Half of a factor is the excess of the
// past usage over the team's part of the usage of all given teams, half that of the current use over what the team is
// entitled to. Either is 1 for a team with twice its share, and 0 for one with no more than its share. maxUsage is the
// largest possible usage of a team, see Ledger.MaxUsage.
func SetFactors(teams []Team, maxUsage float64) {
	totalWeight, totalPast := 0.0, 0.0
	claims := make([]Claim, len(teams))
	for i := range teams {
		t := &teams[i]
		t.Weight = max(t.Weight, 1)
		totalWeight += t.Weight
		totalPast += t.Past
		claims[i] = Claim{Index: i, Weight: t.Weight, Demand: t.Demand}
	}
	Divide(claims)
	for i := range claims {
		teams[claims[i].Index].Entitled = claims[i].Entitled
	}
	totalPast = max(totalPast, minTotalPart*maxUsage)
	for i := range teams {
		t := &teams[i]
		t.Share = t.Weight / totalWeight
		past := 0.0
		if totalPast > 0 {
			past = t.Past / totalPast
		}
		t.Factor = (excess(past, t.Share) + excess(t.Current, t.Entitled)) / 2
	}
}

// excess returns how far a use exceeds a share, relative to the share, from 0 to 1.
func excess(use, share float64) float64 {
	if use <= share || share <= 0 {
		return 0
	}
	return min(use/share-1, 1)
}
