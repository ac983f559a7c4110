package gateway

import (
	"math/rand/v2"
	"time"
)

// choose picks the less loaded of two random runners with a free slot in the
// nearest tier that has any. Excluded is avoided; it is nil for a first attempt.
func choose(runners []*runner, excluded *runner, random *rand.Rand, now time.Time) *runner {
	var found [tiers]sample
	for _, r := range runners {
		if r != excluded && r.free() {
			found[r.tier].add(r, random)
		}
	}
	for i := range found {
		if r := found[i].pick(now); r != nil {
			return r
		}
	}
	return nil
}

// sample keeps two runners chosen uniformly from those added.
type sample struct {
	seen  int
	taken [2]*runner
}

func (s *sample) add(r *runner, random *rand.Rand) {
	s.seen++
	if s.seen <= len(s.taken) {
		s.taken[s.seen-1] = r
		return
	}
	if i := random.IntN(s.seen); i < len(s.taken) {
		s.taken[i] = r
	}
}

// pick returns the less loaded one. With equal loads the faster one is taken; an
// old estimate decays, so that a slow runner is tried again.
func (s *sample) pick(now time.Time) *runner {
	a, b := s.taken[0], s.taken[1]
	if a == nil || b == nil {
		return a
	}
	la, lb := a.load(), b.load()
	if lb < la || (lb == la && b.latency.value(now) < a.latency.value(now)) {
		return b
	}
	return a
}
