package placement

import "github.com/goldcrestshift/goldcrestshift/cluster"

const (
	// whole is a worker's whole capacity as a fraction.
	whole = 1 << 12
	// scaleShift is the precision of the inverse of a capacity.
	scaleShift = 32
	// emptyPenalty opens an empty worker only if every other choice would leave
	// more than an eighth of a worker's processors without memory or the reverse.
	// In a filled mixed fleet a larger penalty left up to twice as much unusable
	// and kept no more workers empty at half load (docs/measurements-placement.md).
	emptyPenalty = whole / 4
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

// score rates a worker for a task; lower is better. It is the imbalance between
// what would be left of processors and of memory, which later tasks can't use.
// What is left as such (best fit) only decides between equal imbalances: with more
// weight it closes workers whose imbalance a later task could have undone.
func (t *Table) score(n *node, free, size cluster.Resources) int64 {
	cpu, memory := n.scale.fractions(free.Sub(size))
	score := imbalanceWeight * max(cpu-memory, memory-cpu)
	w := &t.workers[n.at]
	if w.Used.IsZero() {
		score += emptyPenalty
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score*2*whole + cpu + memory
}
