package cluster

import "fmt"

// CPU is an amount of processor capacity, in thousandths of a core.
type CPU int64

// Core is the capacity of one processor core.
const Core CPU = 1000

// Bytes is an amount of memory or data.
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Resources is an amount of each resource that the scheduler allocates.
type Resources struct {
	CPU          CPU
	Memory       Bytes
	Accelerators int64
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{CPU: r.CPU + s.CPU, Memory: r.Memory + s.Memory, Accelerators: r.Accelerators + s.Accelerators}
}

// Sub returns r minus s; components of the result may be negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{CPU: r.CPU - s.CPU, Memory: r.Memory - s.Memory, Accelerators: r.Accelerators - s.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * CPU(n), Memory: r.Memory * Bytes(n), Accelerators: r.Accelerators * n}
}

// Fits reports whether r is at most free in every component.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Max returns the larger of r and s in each component.
func (r Resources) Max(s Resources) Resources {
	return Resources{CPU: max(r.CPU, s.CPU), Memory: max(r.Memory, s.Memory), Accelerators: max(r.Accelerators, s.Accelerators)}
}

// Min returns the smaller of r and s in each component.
func (r Resources) Min(s Resources) Resources {
	return Resources{CPU: min(r.CPU, s.CPU), Memory: min(r.Memory, s.Memory), Accelerators: min(r.Accelerators, s.Accelerators)}
}

// IsZero reports whether every component of r is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether any component of r is below zero.
func (r Resources) Negative() bool { return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 }

// DominantShare returns the largest fraction of total that r uses in any component; components that are zero in total are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	if total.CPU > 0 {
		share = max(share, float64(r.CPU)/float64(total.CPU))
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(r.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// String formats r as cores, MiB and accelerators.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%.3f memory=%dMiB accelerators=%d", float64(r.CPU)/float64(Core), r.Memory/MiB, r.Accelerators)
}
