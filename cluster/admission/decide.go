package admission

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// MaxAge is the age above which a report is not used: three times the interval of the reports.
	MaxAge = 1500 * time.Millisecond
	// UsefulFactor is the multiple of a job's objective after which its result is useless.
	UsefulFactor = 3
	// margin is the factor by which the estimated wait must be too long before a job is rejected that would have ended
	// while its result is useful.
	margin = 1.25
	// standingMargin replaces margin for the wait until the job would be late, after work has been late for standingTime.
	// That work shows that the estimate is not too high.
	standingMargin = 1.0
	// gangMargin replaces margin for gangs, so that narrow work can't keep the backlog above what a gang is admitted at.
	gangMargin = 2 * margin
	// GangHold is how long after the latest start of a gang narrow work of its rank is still rejected for it. The pool needs
	// part of this time to work off what was admitted before the owner reported the gang.
	GangHold = time.Second
	// minLateRate is the least part of the rate of a pool that counts as left for late work while new work that is on time
	// goes first.
	minLateRate = 0.05
	// minReturn and maxReturn bound the time after which a rejected client returns, before it is spread. Clients return
	// some 4 times, so a longer time than maxReturn would outlast their patience.
	minReturn = time.Second
	maxReturn = 6 * time.Second
	// surplusReturnSpread is the time over which the returns of surplus jobs are spread after minReturn.
	surplusReturnSpread = 3 * time.Second
)

// Request is a submitted job as far as the decision needs it.
type Request struct {
	// Shard is the name of the job's shard.
	Shard string
	Team  cluster.TeamName
	// Rank is that of the job's queue.
	Rank int
	// Objective is the time in which the job should end, Chain its longest chain of declared run times.
	Objective, Chain time.Duration
	// Work is that of all tasks of the job.
	Work Work
	// Gang means that a step of the job starts whole or not at all.
	Gang bool
	// Exempt means that the job is never rejected because of load: it is long-running or scheduled.
	Exempt bool
	// Random is in [0, 1) and selects the jobs of a team above its entitlement that count as surplus. Spread, which is
	// also in [0, 1), selects the return time.
	Random, Spread float64
}

// usefulWait returns how long a job can wait for its first start so that its result is useful.
func (r *Request) usefulWait() time.Duration { return max(0, UsefulFactor*r.Objective-r.Chain) }

// Reason says why a job was admitted or rejected.
type Reason int

// Reasons of a verdict; those from ReasonUseless on are of rejections.
const (
	// ReasonExempt means that the job is never rejected, or that it would be useless in an empty pool as well.
	ReasonExempt Reason = iota
	// ReasonNoReport means that there is no report that is recent and certain.
	ReasonNoReport
	// ReasonCapacity means that the pool is not full.
	ReasonCapacity
	// ReasonInTime means that the job can end while its result is useful.
	ReasonInTime
	// ReasonUseless means that the job can't end while its result is useful.
	ReasonUseless
	// ReasonGang means that the job would keep a gang of its rank from its latest start, as it comes before it.
	ReasonGang
	// ReasonSurplus means that the team submits more jobs a second than it is entitled to.
	ReasonSurplus

	// NumReasons is the number of reasons.
	NumReasons
)

var reasonNames = [NumReasons]string{"exempt", "no_report", "capacity", "in_time", "useless", "gang", "surplus"}

// String returns the reason's name in metrics and log lines.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about a job, with the numbers behind it.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// ReturnIn is when a rejected client should return: when there is expected to be room, spread over the clients.
	ReturnIn time.Duration
	// Age is the age of the report that decided.
	Age time.Duration
	// Wait is the expected wait before the first start, Allowed the longest wait at which the job is admitted.
	Wait, Allowed time.Duration
	// EntitledShare is the part of the team's jobs to which it is entitled; 1 unless it submits more.
	EntitledShare float64
	// Report is the report that decided; nil if there is none.
	Report *Report
}

// Decide returns the verdict about a job.
func Decide(now time.Time, r Request, reports []Report, l *Ledger) Verdict {
	v := Verdict{Admitted: true, Reason: ReasonNoReport, EntitledShare: 1}
	if r.Exempt || UsefulFactor*r.Objective <= r.Chain {
		v.Reason = ReasonExempt
		return v
	}
	report := reportOf(r.Shard, reports)
	if report == nil || report.Uncertain || now.Sub(report.At) > MaxAge {
		return v
	}
	v.Report, v.Age = report, max(0, now.Sub(report.At))
	if !report.Full {
		v.Reason = ReasonCapacity
		return v
	}
	v.EntitledShare = l.entitledShare(now, r, report)
	surplus := r.Random >= v.EntitledShare
	e := estimate(r, report, l, v.Age, surplus)
	v.Reason, v.Wait, v.Allowed = ReasonInTime, e.wait, e.allowed
	switch {
	case surplus && (report.SurplusHeld >= r.usefulWait() || v.Wait > v.Allowed):
		v.Admitted, v.Reason = false, ReasonSurplus
		v.ReturnIn = minReturn + spread(r.Spread, surplusReturnSpread)
	case !surplus && delaysGang(r, report, l, v.Age):
		v.Admitted, v.Reason = false, ReasonGang
		v.ReturnIn = minReturn + spread(r.Spread, minReturn)
	case v.Wait > v.Allowed:
		v.Admitted, v.Reason = false, ReasonUseless
		room := min(maxReturn, max(minReturn, e.untilRoom+l.returning(now, r, report)))
		v.ReturnIn = room + spread(r.Spread, max(minReturn, room/2))
	}
	return v
}

// reportOf returns the report of the latest owner of a shard, the newest one if it has sent several; nil if there is none.
func reportOf(shard string, reports []Report) *Report {
	var best *Report
	for i := range reports {
		report := &reports[i]
		if report.Shard != shard {
			continue
		}
		if best == nil || report.Epoch > best.Epoch || report.Epoch == best.Epoch && report.At.After(best.At) {
			best = report
		}
	}
	return best
}

// waitEstimate is the estimated wait of a job.
type waitEstimate struct {
	wait, allowed time.Duration
	// untilRoom is how long the pool takes to do the work by which the backlog is too long.
	untilRoom time.Duration
}

// estimate returns the expected wait of a job before its first start. Until the job misses its deadline it waits for the
// work that is on time and comes before it, which the whole pool does. After that, new work that is on time goes first, and
// only the rest of the rate is left for the late work that comes before it. A surplus job waits for all of this and for
// the earlier surplus jobs, at that rest of the rate.
func estimate(r Request, report *Report, l *Ledger, age time.Duration, surplus bool) waitEstimate {
	var onTime, all Work
	for _, b := range report.Bands {
		if !surplus && b.Rank > r.Rank {
			continue
		}
		if surplus || b.Late || b.Rank < r.Rank || b.Within <= r.Objective {
			all = all.Add(b.Work)
			if !b.Late {
				onTime = onTime.Add(b.Work)
			}
		}
	}
	if surplus {
		all = all.Add(report.Surplus)
	}
	admitted := l.admittedSince(r, report)
	onTime, all = onTime.Add(admitted), all.Add(admitted)
	slack, useful := max(0, r.Objective-r.Chain).Seconds(), r.usefulWait().Seconds()
	// All new work that is on time comes before late work, but only that of earlier ranks before work that is on time.
	onTimeFactor := slowdown(r.Work, report, func(rank int) bool { return rank < r.Rank })
	lateFactor := slowdown(r.Work, report, func(int) bool { return true })
	onTimeMargin, allowed := margin, margin*useful
	if report.Standing {
		onTimeMargin = standingMargin
	}
	if r.Gang {
		onTimeMargin, allowed = gangMargin, gangMargin*useful
	}
	e := waitEstimate{allowed: seconds(allowed)}
	// The pool has worked since the report.
	wait, waitAll := onTime.seconds(report.Rate, r.Work)-age.Seconds(), all.seconds(report.Rate, r.Work)-age.Seconds()
	wait *= onTimeFactor
	switch {
	case surplus:
		e.wait = seconds(max(0, waitAll) * lateFactor)
	case wait <= slack*onTimeMargin:
		e.wait = seconds(max(0, wait))
		return e
	default:
		e.wait = seconds(slack + max(0, waitAll-slack)*lateFactor)
	}
	e.untilRoom = seconds(max(0, e.wait.Seconds()-allowed) / lateFactor)
	return e
}

// delaysGang reports whether a job that is no gang would be placed before a waiting gang and keep it from starting in time,
// or for up to GangHold longer. Narrow work comes first by its deadlines until the gang is late, and then because it is on
// time, so that a gang would never start while there is enough of it.
func delaysGang(r Request, report *Report, l *Ledger, age time.Duration) bool {
	if r.Gang {
		return false
	}
	for _, g := range report.Gangs {
		latestStart := g.LatestStart - age
		switch {
		case latestStart < -GangHold || r.Rank < g.Rank:
			continue
		case latestStart < 0:
			return true
		case r.Rank > g.Rank || g.Within-age <= r.Objective:
			continue
		}
		var ahead Work
		for _, b := range report.Bands {
			if !b.Late && (b.Rank < g.Rank || b.Rank == g.Rank && b.Within < g.Within) {
				ahead = ahead.Add(b.Work)
			}
		}
		ahead = ahead.Add(l.admittedSince(r, report)).Add(r.Work)
		if ahead.seconds(report.Rate, r.Work)-age.Seconds() > latestStart.Seconds() {
			return true
		}
	}
	return false
}

// slowdown returns how much longer the pool takes for work after which the arrivals of some ranks come first, by the
// resource of which these leave the least.
func slowdown(needs Work, report *Report, first func(rank int) bool) float64 {
	var arrivals Work
	for _, a := range report.Arrivals {
		if first(a.Rank) {
			arrivals = arrivals.Add(a.Work)
		}
	}
	left := func(needs, rate, arrivals float64) float64 {
		if needs <= 0 || rate <= 0 {
			return 1
		}
		return max(minLateRate, 1-arrivals/rate)
	}
	return 1 / min(left(needs.CPU, report.Rate.CPU, arrivals.CPU), left(needs.Memory, report.Rate.Memory, arrivals.Memory),
		left(needs.Accelerators, report.Rate.Accelerators, arrivals.Accelerators))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// spread returns the given part of a time.
func spread(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }
