package placement

import "github.com/goldcrestshift/goldcrestshift/cluster"

const (
	// fractionOne is the fixed-point representation of 1, a worker's full capacity.
	fractionOne = 1 << 12
	// inverseShift is the number of fractional bits in the inverse of a capacity.
	inverseShift = 32
	// emptyWorkerPenalty makes a placement use an empty worker only if every other choice
	// would leave a CPU fraction and a memory fraction that differ by more than an eighth
	// of a worker. On a full fleet with mixed jobs a larger penalty left up to twice as
	// much unusable capacity, and at half load it kept no more workers empty
	// (docs/measurements-placement.md).
	emptyWorkerPenalty = fractionOne / 4
	// acceleratorPenalty keeps workers with accelerators free for tasks that need one.
	acceleratorPenalty = 8 * fractionOne
	// imbalanceWeight is the weight of the difference between the CPU and the memory fraction.
	// With 2, a difference of an eighth counts as much as emptyWorkerPenalty.
	imbalanceWeight = 2
)

// inverseCapacity holds fixed-point inverses of a worker's capacity. Integer
// arithmetic gives the same scores on every processor.
type inverseCapacity struct{ cpu, memory int64 }

func newInverseCapacity(capacity cluster.Resources) inverseCapacity {
	return inverseCapacity{
		cpu:    (fractionOne << (inverseShift - 12)) / max(int64(capacity.CPU), 1),
		memory: (fractionOne << (inverseShift - 12)) / max(int64(capacity.Memory/cluster.MiB), 1),
	}
}

// fractions returns amounts as fixed-point fractions of the capacity.
func (s inverseCapacity) fractions(r cluster.Resources) (cpu, memory int64) {
	return int64(r.CPU) * s.cpu >> (inverseShift - 12), int64(r.Memory/cluster.MiB) * s.memory >> (inverseShift - 12)
}

// score rates a worker for a task; lower is better. The main term is the imbalance
// between the CPU and the memory that would remain, because later tasks can't use one
// without the other. The remaining capacity itself (best fit) only breaks ties: given
// more weight, it fills workers whose imbalance a later task could have corrected.
func (t *Table) score(n *workerNode, free, size cluster.Resources) int64 {
	cpu, memory := n.inverse.fractions(free.Sub(size))
	score := imbalanceWeight * max(cpu-memory, memory-cpu)
	w := &t.workers[n.position]
	if w.Used.IsZero() {
		score += emptyWorkerPenalty
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score*2*fractionOne + cpu + memory
}
