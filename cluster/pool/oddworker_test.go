package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an entry of another writer that delays each takeover until leases expire that no owner granted.
func TestUnknownWorkerDoesNotDelayTakeover(t *testing.T) {
	for _, c := range []struct {
		name string
		odd  func(f *fakeWorker)
	}{
		{"no answer", func(f *fakeWorker) { f.unreachable = true }},
		{"address of another worker", func(f *fakeWorker) { f.misdirected = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 4)
			sim.addWorker("odd", "r9")
			c.odd(sim.findWorker("odd"))
			for range 3 {
				sim.runFor(5 * time.Second)
				sim.takeOver()
				takenOverAt := sim.now
				for !sim.owner.takeoverComplete && sim.now.Sub(takenOverAt) < 10*time.Second {
					sim.tick()
				}
				is.True(sim.now.Sub(takenOverAt) < time.Second)
			}
			is.Equal(sim.violations, nil)
		})
	}
}
