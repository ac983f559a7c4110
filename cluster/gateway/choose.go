package gateway

import (
	"math/rand/v2"
	"time"
)

// chooseRunner samples two random runners with a free slot in the nearest tier that has
// any, and returns the less loaded one. The excluded runner is skipped; it is nil for a first attempt.
func chooseRunner(runners []*runner, excluded *runner, random *rand.Rand, now time.Time) *runner {
	var samples [tierCount]runnerSample
	for _, r := range runners {
		if r != excluded && r.hasFreeSlot() {
			samples[r.tier].add(r, random)
		}
	}
	for i := range samples {
		if r := samples[i].lessLoaded(now); r != nil {
			return r
		}
	}
	return nil
}

// runnerSample keeps two runners chosen uniformly at random from those added (reservoir sampling).
type runnerSample struct {
	count  int
	chosen [2]*runner
}

func (s *runnerSample) add(r *runner, random *rand.Rand) {
	s.count++
	if s.count <= len(s.chosen) {
		s.chosen[s.count-1] = r
		return
	}
	if i := random.IntN(s.count); i < len(s.chosen) {
		s.chosen[i] = r
	}
}

// lessLoaded returns the runner with the lower load, or with equal loads the one with
// the lower latency. Latency estimates decay, so a slow runner is tried again later.
func (s *runnerSample) lessLoaded(now time.Time) *runner {
	a, b := s.chosen[0], s.chosen[1]
	if a == nil || b == nil {
		return a
	}
	loadA, loadB := a.load(), b.load()
	if loadB < loadA || (loadB == loadA && b.latency.value(now) < a.latency.value(now)) {
		return b
	}
	return a
}
