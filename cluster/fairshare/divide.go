package fairshare

import (
	"cmp"
	"slices"
)

// Claim is a team's input to and result from Divide.
type Claim struct {
	// Index identifies the team to the caller, as Divide changes the order of the claims.
	Index int
	// Weight is the team's weight, which is above zero.
	Weight float64
	// Demand is the dominant share of the capacity that the team uses and waits for.
	Demand float64
	// Entitled is the share of the capacity to which the team is entitled.
	Entitled float64
}

// Divide computes weighted max-min fair shares of the whole capacity: what a team doesn't demand is divided among the
// others by weight. The entitled shares add up to 1, or to the sum of the demands if that is less. Divide sorts the
// claims.
func Divide(claims []Claim) {
	totalWeight := 0.0
	for i := range claims {
		totalWeight += claims[i].Weight
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight) })
	remaining := 1.0
	for i := range claims {
		claim := &claims[i]
		claim.Entitled = min(claim.Demand, remaining*claim.Weight/totalWeight)
		remaining -= claim.Entitled
		totalWeight -= claim.Weight
	}
}
