package placement

import "github.com/goldcrestshift/goldcrestshift/cluster"

const (
	// whole is a worker's whole capacity as a fraction.
	whole = 1 << 12
	// scaleShift is the precision of the inverse of a capacity.
	scaleShift = 32
	// emptyPenalty outweighs every other term, so that an empty worker is used last.
	emptyPenalty = 16 * whole
	// acceleratorPenalty keeps workers with accelerators for tasks that need them.
	acceleratorPenalty = 8 * whole
	imbalanceWeight    = 2
)

// scale holds the inverses of a worker's capacity; integers give the same scores on every processor.
type scale struct{ cpu, memory int64 }

func newScale(capacity cluster.Resources) scale {
	return scale{
		cpu:    (whole << (scaleShift - 12)) / max(int64(capacity.CPU), 1),
		memory: (whole << (scaleShift - 12)) / max(int64(capacity.Memory/cluster.MiB), 1),
	}
}

// fractions returns amounts as fractions of the capacity.
func (s scale) fractions(r cluster.Resources) (cpu, memory int64) {
	return int64(r.CPU) * s.cpu >> (scaleShift - 12), int64(r.Memory/cluster.MiB) * s.memory >> (scaleShift - 12)
}

// score rates a worker for a task; lower is better. It is what would be left
// (best fit), plus the imbalance between what would be left of processors and
// of memory, which later tasks can't use.
func (t *Table) score(n *node, free, size cluster.Resources) int64 {
	cpu, memory := n.scale.fractions(free.Sub(size))
	score := (cpu + memory) / 2
	score += imbalanceWeight * max(cpu-memory, memory-cpu)
	w := &t.workers[n.at]
	if w.Used.IsZero() {
		score += emptyPenalty
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score
}
