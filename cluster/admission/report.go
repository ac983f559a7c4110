package admission

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Work is an amount of work: of each resource, the amount multiplied by the time for which it is used.
type Work struct {
	// CPU is in core-seconds, Memory in GiB-seconds, Accelerators in seconds.
	CPU, Memory, Accelerators float64
}

// WorkOf returns the work that uses an amount of resources for a time.
func WorkOf(r cluster.Resources, d time.Duration) Work {
	s := d.Seconds()
	return Work{
		CPU: float64(r.CPU) / float64(cluster.Core) * s, Memory: float64(r.Memory) / float64(cluster.GiB) * s,
		Accelerators: float64(r.Accelerators) * s,
	}
}

// Add returns the sum of w and v.
func (w Work) Add(v Work) Work {
	return Work{CPU: w.CPU + v.CPU, Memory: w.Memory + v.Memory, Accelerators: w.Accelerators + v.Accelerators}
}

// Times returns w multiplied by f.
func (w Work) Times(f float64) Work {
	return Work{CPU: w.CPU * f, Memory: w.Memory * f, Accelerators: w.Accelerators * f}
}

// IsZero reports whether w is no work.
func (w Work) IsZero() bool { return w == Work{} }

// seconds returns for how long the work keeps a pool busy that does rate in a second, by the resource that takes longest
// among those that needs uses. A resource that the pool does not have is left out.
func (w Work) seconds(rate, needs Work) float64 {
	s := 0.0
	if needs.CPU > 0 && rate.CPU > 0 {
		s = max(s, w.CPU/rate.CPU)
	}
	if needs.Memory > 0 && rate.Memory > 0 {
		s = max(s, w.Memory/rate.Memory)
	}
	if needs.Accelerators > 0 && rate.Accelerators > 0 {
		s = max(s, w.Accelerators/rate.Accelerators)
	}
	return s
}

// RankArrivals is the work of the queues of one rank that is accepted in a second.
type RankArrivals struct {
	Rank int
	Work Work
}

// Band is the pending work of the queues of one rank whose deadlines are close to one another.
type Band struct {
	Rank int
	// Late means that the work misses its deadlines. It is placed after all work that does not.
	Late bool
	// Within is the latest time from the report to a deadline in the band; zero for late work.
	Within time.Duration
	Work   Work
}

// GangLoad is a waiting gang whose latest start is at most GangHold past.
type GangLoad struct {
	Rank int
	// Within is the time from the report to its deadline, LatestStart that to the latest start that meets it; both may be
	// negative.
	Within, LatestStart time.Duration
}

// TeamLoad is the load of a team that submits at least teamReportShare of the jobs a second that it is entitled to.
type TeamLoad struct {
	Team cluster.TeamName
	// Accepted and Entitled are in jobs a second.
	Accepted, Entitled float64
}

// Report is the load of one shard of a pool as its owner sees it.
type Report struct {
	// Shard is the name of the shard.
	Shard string
	// Epoch is that of the owner. Of the reports of two owners, the one with the higher epoch counts.
	Epoch uint64
	// At is the earliest time at which the report may have been computed, on the clock of the receiver.
	At time.Time
	// Full means that work waits for capacity.
	Full bool
	// Uncertain means that the owner is suspended or has not completed its takeover, so that the numbers may be wrong.
	Uncertain bool
	// Rate is the work that the pool does in a second while it is full, in declared run times.
	Rate Work
	// Arrivals is the work of each rank that is accepted in a second, without that of surplus jobs, averaged over
	// arrivalTime.
	Arrivals []RankArrivals
	// Bands is the pending work that may start, without that of surplus and of useless jobs.
	Bands []Band
	// Standing means that late work has waited for standingTime.
	Standing bool
	// Gangs are the waiting gangs with the earliest latest starts.
	Gangs []GangLoad
	// Surplus is the pending work of surplus jobs that may start.
	Surplus Work
	// Daemons is the number of daemons that the owner sends its reports to, with itself.
	Daemons int
	// Accepted is the number of jobs accepted in a second.
	Accepted float64
	// Teams lists the teams that are near or above their entitlement, at most maxTeams.
	Teams []TeamLoad
	// SurplusHeld is for how long surplus jobs have waited and none of their tasks has been started.
	SurplusHeld time.Duration
}
