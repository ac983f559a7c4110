package pool

import (
	"time"
	"unsafe"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Parts of the memory of a job that are not the size of a type.
const (
	// jobIndexBytes is the memory of the entries of a job in the maps of a scheduler, its quota and its statuses, and of its
	// identifier after its deletion.
	jobIndexBytes = 600
	// runBytes is the memory of a run with its start request and its entries in the maps of its worker.
	runBytes = 600
	// fewTasksCPU is the size from which the capacity of a pool allows only few runs. Smaller tasks count as if all of them
	// ran.
	fewTasksCPU = cluster.Core / 2
	// permitsBytes is the memory of the permits of a step whose queue has an advice policy.
	permitsBytes = 1 << 10
	// allocationOverhead is the part of its size that an object takes in addition, as it is rounded up to a size class.
	allocationOverhead = 6
)

// EndedJobMemory returns an estimate of the memory that a scheduler needs for a job after its end.
func EndedJobMemory(spec *workload.Job) cluster.Bytes {
	size := jobIndexBytes + int(unsafe.Sizeof(job{})+unsafe.Sizeof(workload.Job{})+unsafe.Sizeof(workload.Progress{}))
	size += len(spec.Team) + len(spec.Queue) + len(spec.Terms.Service)
	size += len(spec.Steps) * int(unsafe.Sizeof(workload.Step{})+unsafe.Sizeof(time.Duration(0)))
	return allocated(size + spec.TasksPerOccurrence()*spec.Occurrences()/8)
}

// allocated returns the memory of objects of the given size.
func allocated(size int) cluster.Bytes { return cluster.Bytes(size + size/allocationOverhead) }

// JobMemory returns an estimate of the memory that a scheduler needs for a job of which one occurrence is open.
func JobMemory(spec *workload.Job) cluster.Bytes {
	size := len(spec.Spec) + len(spec.Steps)*spec.Occurrences()*int(unsafe.Sizeof(uintptr(0)))
	for i := range spec.Steps {
		st := &spec.Steps[i]
		size += len(st.Label) + len(st.Affinity) + len(st.Image) + len(st.After)*int(unsafe.Sizeof(0))
	}
	return EndedJobMemory(spec) + allocated(size) + occurrenceMemory(spec)
}

// occurrenceMemory returns an estimate of the memory of the steps of one occurrence.
func occurrenceMemory(spec *workload.Job) cluster.Bytes {
	size := len(spec.Steps) * int(unsafe.Sizeof(step{}))
	for i := range spec.Steps {
		st := &spec.Steps[i]
		size += st.Tasks * int(unsafe.Sizeof(task{}))
		if st.Size.CPU < fewTasksCPU {
			size += st.Tasks * runBytes
		}
		if spec.Terms.Advice != nil {
			size += permitsBytes
		}
	}
	return allocated(size)
}
