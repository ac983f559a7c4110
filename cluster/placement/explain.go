package placement

import "fmt"

// Explanation says for a request how many workers were ruled out for which reason.
type Explanation struct {
	Workers int
	// Fits is the number of workers that have room.
	Fits int
	// TooSmall workers would not have room even if they were empty.
	TooSmall int
	// Closed workers are large enough but take no new tasks.
	Closed int
	// CPUShort, MemoryShort and AcceleratorsShort workers are large enough and open
	// but have too little left; a worker may be short of several.
	CPUShort, MemoryShort, AcceleratorsShort int
	// Reserved workers have room that is kept for another job.
	Reserved int
}

// String formats the explanation as one line.
func (e Explanation) String() string {
	return fmt.Sprintf("workers=%d fits=%d tooSmall=%d closed=%d cpuShort=%d memoryShort=%d acceleratorsShort=%d reserved=%d",
		e.Workers, e.Fits, e.TooSmall, e.Closed, e.CPUShort, e.MemoryShort, e.AcceleratorsShort, e.Reserved)
}

// Explain returns how many workers were ruled out for which reason.
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
			e.CPUShort += boolCount(req.Size.CPU > free.CPU)
			e.MemoryShort += boolCount(req.Size.Memory > free.Memory)
			e.AcceleratorsShort += boolCount(req.Size.Accelerators > free.Accelerators)
		}
	}
	return e
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}
