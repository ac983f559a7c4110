package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// ReportInterval is the shortest time between two reports of a pool.
	ReportInterval = 250 * time.Millisecond
	// arrivalTime is the time over which the accepted work is averaged. A burst of a few seconds hardly changes it, so
	// that the backlog of a burst counts as worked off at the rate that is left after it.
	arrivalTime = 30 * time.Second
	// minHistory bounds the history of a new owner, whose first jobs would count as a high rate otherwise.
	minHistory = 10 * time.Second
	// teamTime is the time over which the accepted jobs of a team are counted.
	teamTime = time.Second
	// teamReportShare is the part of its entitlement from which a team is reported.
	teamReportShare = 0.5
	// endTime is the time over which run times are compared with the declared ones.
	endTime = 30 * time.Second
	// minRunTimeRatio and maxRunTimeRatio bound the ratio of declared to actual run times that the rate assumes.
	minRunTimeRatio, maxRunTimeRatio = 0.5, 4
	// fullUtilization is the utilization from which a pool in which work waits is full. Below it the work waits for
	// something else, such as permits.
	fullUtilization = 0.85
	// minUtilization is the least utilization that the rate of a full pool assumes.
	minUtilization = 0.85
	// standingTime is how long late work has waited when the overload counts as standing.
	standingTime = 3 * time.Second
	// maxGangs and maxTeams bound the gangs and the teams of a report.
	maxGangs, maxTeams = 4, 16
	// minWaitingSeconds is how long the waiting work would keep the pool busy, at least, for the pool to be full. Less
	// waits in a pool with spare capacity between two passes.
	minWaitingSeconds = 0.05
)

// bandBounds are the upper bounds of the bands of deadlines.
var bandBounds = []time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
	16 * time.Second, 32 * time.Second, 64 * time.Second, 128 * time.Second, math.MaxInt64,
}

// Meter measures the load of a pool for its reports.
type Meter struct {
	startedAt time.Time
	// arrivals is the decayed sum of the accepted work of each rank at arrivalsAt.
	arrivals   map[int]Work
	arrivalsAt time.Time
	accepted   decayed
	teams      map[cluster.TeamName]*decayed
	// declared and actual are the declared and the actual run times of the runs that ended, each weighed by its size.
	declared, actual decayed
	surplusStartAt   time.Time
	// noLateAt and noSurplusAt are when a report had no late and no surplus work last.
	noLateAt, noSurplusAt time.Time
}

// decayed is a sum whose terms lose weight with time.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, v float64, scale time.Duration) {
	d.sum = d.value(now, scale) + v
	d.at = now
}

func (d *decayed) value(now time.Time, scale time.Duration) float64 {
	return d.sum * math.Exp(-max(0, now.Sub(d.at).Seconds())/scale.Seconds())
}

// NewMeter returns a meter without history.
func NewMeter(now time.Time) *Meter {
	return &Meter{startedAt: now, noLateAt: now, noSurplusAt: now, arrivalsAt: now, arrivals: map[int]Work{}, teams: map[cluster.TeamName]*decayed{}}
}

// JobAccepted counts a job that has arrived.
func (m *Meter) JobAccepted(now time.Time, team cluster.TeamName, rank int, surplus bool, w Work) {
	if !surplus {
		decay := m.arrivalDecay(now)
		for r, sum := range m.arrivals {
			m.arrivals[r] = sum.Times(decay)
		}
		m.arrivals[rank] = m.arrivals[rank].Add(w)
		m.arrivalsAt = now
	}
	m.accepted.add(now, 1, teamTime)
	d := m.teams[team]
	if d == nil {
		d = &decayed{}
		m.teams[team] = d
	}
	d.add(now, 1, teamTime)
}

// meanArrivals returns the average of the accepted work of each rank in a second. With less history than arrivalTime it is
// the average over that history, of which minHistory is assumed at least.
func (m *Meter) meanArrivals(now time.Time) []RankArrivals {
	history := max(minHistory, now.Sub(m.startedAt)).Seconds() / arrivalTime.Seconds()
	scale := m.arrivalDecay(now) / (arrivalTime.Seconds() * (1 - math.Exp(-history)))
	list := make([]RankArrivals, 0, len(m.arrivals))
	for _, rank := range slices.Sorted(maps.Keys(m.arrivals)) {
		list = append(list, RankArrivals{Rank: rank, Work: m.arrivals[rank].Times(scale)})
	}
	return list
}

func (m *Meter) arrivalDecay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.arrivalsAt).Seconds()) / arrivalTime.Seconds())
}

// RunEnded counts a run that completed its task, by the share of the pool that it used.
func (m *Meter) RunEnded(now time.Time, share float64, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	m.declared.add(now, share*declared.Seconds(), endTime)
	m.actual.add(now, share*actual.Seconds(), endTime)
}

// SurplusStarted notes that a task of a surplus job was started.
func (m *Meter) SurplusStarted(now time.Time) { m.surplusStartAt = now }

// bandKey identifies a band.
type bandKey struct {
	rank   int
	late   bool
	within time.Duration
}

// Pending is the waiting work of a pool at one time.
type Pending struct {
	bands   map[bandKey]Band
	total   Work
	surplus Work
	gangs   []GangLoad
}

// Add adds work that may start. Its deadline is given as the time until then.
func (p *Pending) Add(rank int, late bool, untilDeadline time.Duration, w Work) {
	if w.IsZero() {
		return
	}
	if p.bands == nil {
		p.bands = map[bandKey]Band{}
	}
	band := bandKey{rank: rank, late: late}
	if !late {
		i, _ := slices.BinarySearch(bandBounds, untilDeadline)
		band.within = bandBounds[min(i, len(bandBounds)-1)]
	}
	b := p.bands[band]
	b.Rank, b.Late, b.Work = rank, late, b.Work.Add(w)
	if !late {
		b.Within = max(b.Within, untilDeadline)
	}
	p.bands[band] = b
	p.total = p.total.Add(w)
}

// AddGang adds a gang that waits.
func (p *Pending) AddGang(g GangLoad) {
	if g.LatestStart >= -GangHold {
		p.gangs = append(p.gangs, g)
	}
}

// AddSurplus adds work of surplus jobs that may start.
func (p *Pending) AddSurplus(w Work) {
	p.surplus = p.surplus.Add(w)
	p.total = p.total.Add(w)
}

// Report returns the load of a pool with the given capacity and running work. entitled returns the jobs a second to which
// a team is entitled, zero if they are not limited.
func (m *Meter) Report(now time.Time, capacity, used cluster.Resources, p Pending, entitled func(cluster.TeamName) float64) Report {
	whole := WorkOf(capacity, time.Second)
	utilization := used.DominantShare(capacity)
	report := Report{
		At: now, Full: utilization >= fullUtilization && p.total.seconds(whole, whole) >= minWaitingSeconds,
		Rate:     whole.Times(max(minUtilization, min(1, utilization)) * m.runTimeRatio(now)),
		Arrivals: m.meanArrivals(now),
		Surplus:  p.surplus, Accepted: m.accepted.value(now, teamTime) / teamTime.Seconds(),
	}
	late := false
	for _, b := range p.bands {
		late = late || b.Late
		report.Bands = append(report.Bands, b)
	}
	if !late || !report.Full {
		m.noLateAt = now
	}
	if p.surplus.IsZero() {
		m.noSurplusAt = now
	}
	report.SurplusHeld = min(now.Sub(m.surplusStartAt), now.Sub(m.noSurplusAt))
	report.Standing = now.Sub(m.noLateAt) >= standingTime
	slices.SortFunc(p.gangs, func(a, b GangLoad) int { return cmp.Compare(a.LatestStart, b.LatestStart) })
	report.Gangs = slices.Clone(p.gangs[:min(len(p.gangs), maxGangs)])
	slices.SortFunc(report.Bands, func(a, b Band) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Within, b.Within), compareBool(a.Late, b.Late))
	})
	for _, team := range slices.Sorted(maps.Keys(m.teams)) {
		accepted := m.teams[team].value(now, teamTime) / teamTime.Seconds()
		if accepted < 0.01 {
			delete(m.teams, team)
			continue
		}
		if rate := entitled(team); rate > 0 && accepted >= teamReportShare*rate {
			report.Teams = append(report.Teams, TeamLoad{Team: team, Accepted: accepted, Entitled: rate})
		}
	}
	slices.SortStableFunc(report.Teams, func(a, b TeamLoad) int { return cmp.Compare(b.Accepted/b.Entitled, a.Accepted/a.Entitled) })
	report.Teams = report.Teams[:min(len(report.Teams), maxTeams)]
	return report
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// runTimeRatio returns the declared run times of recent runs relative to the actual ones; 1 without recent runs.
func (m *Meter) runTimeRatio(now time.Time) float64 {
	declared, actual := m.declared.value(now, endTime), m.actual.value(now, endTime)
	if actual <= 0 {
		return 1
	}
	return min(maxRunTimeRatio, max(minRunTimeRatio, declared/actual))
}
