package placement

import "fmt"

// Explanation counts the workers that can run a request and those that are ruled out, by reason.
type Explanation struct {
	Workers int
	// Fits is the number of workers with enough free capacity.
	Fits int
	// TooSmall is the number of workers whose total capacity is too small.
	TooSmall int
	// Closed is the number of workers that are large enough but closed.
	Closed int
	// CPUShort, MemoryShort and AcceleratorsShort count the open workers that are large
	// enough but have too little of the resource free. A worker may count for several.
	CPUShort, MemoryShort, AcceleratorsShort int
	// Reserved is the number of workers whose free capacity would suffice but is reserved for another job.
	Reserved int
}

// String formats the explanation as one line.
func (e Explanation) String() string {
	return fmt.Sprintf("workers=%d fits=%d tooSmall=%d closed=%d cpuShort=%d memoryShort=%d acceleratorsShort=%d reserved=%d",
		e.Workers, e.Fits, e.TooSmall, e.Closed, e.CPUShort, e.MemoryShort, e.AcceleratorsShort, e.Reserved)
}

// Explain returns how many workers can run a request and why the others cannot.
func (t *Table) Explain(req Request) Explanation {
	e := Explanation{Workers: len(t.workers)}
	for i := range t.workers {
		w := &t.workers[i]
		free := w.Free()
		switch {
		case !req.Size.Fits(w.Capacity):
			e.TooSmall++
		case w.Closed:
			e.Closed++
		case req.Size.Fits(t.freeFor(t.nodes[i], &req)):
			e.Fits++
		case req.Size.Fits(free):
			e.Reserved++
		default:
			e.CPUShort += boolToInt(req.Size.CPU > free.CPU)
			e.MemoryShort += boolToInt(req.Size.Memory > free.Memory)
			e.AcceleratorsShort += boolToInt(req.Size.Accelerators > free.Accelerators)
		}
	}
	return e
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
