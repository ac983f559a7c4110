package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Rates of the platform's stores for all callers together (section 3 of the
// design page: several hundred writes and about two thousand reads a second).
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// Faults are the settings of the platform that can be changed while it runs.
type Faults struct {
	// StoreDown refuses every call to the table service.
	StoreDown bool
	// StoreSilent accepts calls to the table service and never answers.
	StoreStalled bool
	// StoreDelay is added to every call to the table service.
	StoreDelay time.Duration
	// LostAnswers is the probability that the answer of a commit is lost.
	LostAnswers float64
	// LostUnapplied is the part of the commits with a lost answer that is never applied.
	LostCommitUnapplied float64
	// LostDelay applies the other commits with a lost answer only after this time.
	LostDelay time.Duration
	// WriteRate and ReadRate are rows a second.
	WriteRate float64
	ReadRate  float64
	// ObjectsDown refuses every call to the object store.
	ObjectsDown bool
	// VMListDown refuses every call to the VM list.
	VMListDown bool
	// VMListLag is the age of the VM list. A larger lag delays later changes; it doesn't take back listed ones.
	VMListLag time.Duration
	// UsageLag is the time from the start of a task to the first report of its use.
	UsageLag time.Duration
	// CutRegions have lost contact with all other regions.
	PartitionedRegions []cluster.Region
	// RacksDown have a failed switch: they can't be reached, their workers go on.
	RacksDown []cluster.RackID
	// LostExchanges is the probability that the answer of an exchange with a rack is lost after it was carried out.
	LostExchangeReplies float64
}

// DefaultFaults returns the settings of a healthy platform.
func DefaultFaults() Faults {
	return Faults{
		LostCommitUnapplied: 0.5, WriteRate: DefaultWriteRate, ReadRate: DefaultReadRate,
		VMListLag: 5 * time.Second, UsageLag: 5 * time.Second,
	}
}

// WorkerFaults are the settings of one worker that can be changed while it runs.
type WorkerFaults struct {
	// Unreachable cuts the worker off; its tasks go on until their leases lapse.
	Unreachable bool
	// Paused freezes the worker and its tasks; when it resumes, lapsed leases take effect first.
	Paused bool
	// Dead ends every task of the worker. The epoch, the known attempts and the results are kept for when it returns.
	Dead bool
	// FailAll makes every task that is started from now on fail.
	FailAll bool
	// SizeFactor scales the actual use of tasks started from now on; zero means 1.
	SizeFactor float64
	// RunTimeFactor scales the actual run time of tasks started from now on; zero means 1.
	RunTimeFactor float64
}

func (f *WorkerFaults) reachable() bool { return !f.Unreachable && !f.Paused && !f.Dead }

// cut reports whether no traffic passes between two regions.
func (f *Faults) partitioned(a, b cluster.Region) bool {
	if a == b || a == "" || b == "" {
		return false
	}
	return slices.Contains(f.PartitionedRegions, a) || slices.Contains(f.PartitionedRegions, b)
}
