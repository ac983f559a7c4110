package standin

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Default rate limits of the table service in rows per second, for all callers
// together. Section 3 of the design page states several hundred writes and about
// two thousand reads per second.
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// Faults holds the faults, delays and rate limits of the platform, which can be
// changed while it runs.
type Faults struct {
	// StoreDown makes every call to the table service fail as unavailable.
	StoreDown bool
	// StoreStalled makes the table service accept calls and never reply.
	StoreStalled bool
	// StoreDelay is added to every call to the table service.
	StoreDelay time.Duration
	// LostCommitReplies is the probability that the reply to a commit is lost.
	LostCommitReplies float64
	// LostCommitUnapplied is the probability that a commit with a lost reply is never applied.
	LostCommitUnapplied float64
	// LostCommitDelay is the delay after which the other commits with a lost reply are applied.
	LostCommitDelay time.Duration
	// WriteRate and ReadRate are the rate limits of the table service in rows per second.
	WriteRate float64
	ReadRate  float64
	// ObjectsDown makes every call to the object store fail as unavailable.
	ObjectsDown bool
	// VMListDown makes every call to the VM list fail as unavailable.
	VMListDown bool
	// VMListLag is the delay between a change of a VM and its publication in
	// the VM list. Increasing it doesn't withdraw published changes.
	VMListLag time.Duration
	// UsageLag is the time from the start of a task to the first report of its usage.
	UsageLag time.Duration
	// PartitionedRegions holds the regions that have no network connection to any other region.
	PartitionedRegions []cluster.Region
	// RacksDown holds the racks whose switch has failed: they can't be
	// reached, but their workers continue to run.
	RacksDown []cluster.RackID
	// LostExchangeReplies is the probability that the reply to an exchange is
	// lost after the exchange was executed.
	LostExchangeReplies float64
}

// DefaultFaults returns the settings of a platform without failures.
func DefaultFaults() Faults {
	return Faults{
		LostCommitUnapplied: 0.5, WriteRate: DefaultWriteRate, ReadRate: DefaultReadRate,
		VMListLag: 5 * time.Second, UsageLag: 5 * time.Second,
	}
}

// WorkerFaults holds the faults of one worker, which can be changed while it runs.
type WorkerFaults struct {
	// Unreachable disconnects the worker; its tasks continue until their leases expire.
	Unreachable bool
	// Paused suspends the worker and its tasks. When it resumes, it first
	// stops the tasks whose leases have expired.
	Paused bool
	// Dead ends every task of the worker. The epoch, the known attempts and
	// the results are kept until the worker is alive again.
	Dead bool
	// FailAll makes every task fail that is started while it is set.
	FailAll bool
	// SizeFactor scales the actual usage of tasks started while it is set; zero means 1.
	SizeFactor float64
	// RunTimeFactor scales the actual run time of tasks started while it is set; zero means 1.
	RunTimeFactor float64
}

func (f *WorkerFaults) reachable() bool { return !f.Unreachable && !f.Paused && !f.Dead }

// partitioned reports whether there is no network connection between two regions.
func (f *Faults) partitioned(a, b cluster.Region) bool {
	if a == b || a == "" || b == "" {
		return false
	}
	return slices.Contains(f.PartitionedRegions, a) || slices.Contains(f.PartitionedRegions, b)
}
