package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// entitledHeadroom is the part of a team's entitlement that counts as entitled, so that an inexact share does not cost
	// the team jobs to which it is entitled.
	entitledHeadroom = 1.1
	// minEntitledShare bounds the share from below against numbers of accepted jobs that are too high by chance.
	minEntitledShare = 0.05
	// announceTime is the usual time from the admission of a job until its owner knows it. Jobs admitted before the report
	// by less are not in it.
	announceTime = 50 * time.Millisecond
)

// Ledger holds what one daemon has admitted and rejected lately. It must not be used concurrently.
type Ledger struct {
	admitted []admittedJob
	// returns holds, for each shard, the rejected jobs whose clients are expected to return.
	returns map[string]*returnQueue
	teams   map[teamKey]*teamCount
}

type teamKey struct {
	shard string
	team  cluster.TeamName
}

// teamCount counts the jobs of a team in the last second.
type teamCount struct{ admitted, rejected decayed }

type admittedJob struct {
	at       time.Time
	shard    string
	rank     int
	deadline time.Time
	work     Work
}

type returningJob struct {
	at   time.Time
	work Work
}

// returnQueue is a heap of rejected jobs, the one whose client returns first at its root, with the sum of their work. A
// client can cause thousands of rejections in a second, so that a decision must not visit all of them.
type returnQueue struct {
	jobs  []returningJob
	total Work
}

// Len implements heap.Interface.
func (q *returnQueue) Len() int { return len(q.jobs) }

// Less implements heap.Interface.
func (q *returnQueue) Less(i, j int) bool { return q.jobs[i].at.Before(q.jobs[j].at) }

// Swap implements heap.Interface.
func (q *returnQueue) Swap(i, j int) { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

// Push implements heap.Interface.
func (q *returnQueue) Push(j any) { q.jobs = append(q.jobs, j.(returningJob)) }

// Pop implements heap.Interface.
func (q *returnQueue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// drop removes the jobs whose clients were to return by now.
func (q *returnQueue) drop(now time.Time) {
	for len(q.jobs) > 0 && !q.jobs[0].at.After(now) {
		q.total = q.total.Add(heap.Pop(q).(returningJob).work.Times(-1))
	}
	if len(q.jobs) == 0 {
		// No rounding error stays.
		q.jobs, q.total = nil, Work{}
	}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{returns: map[string]*returnQueue{}, teams: map[teamKey]*teamCount{}}
}

// Add records the verdict about a job.
func (l *Ledger) Add(now time.Time, r Request, v Verdict) {
	l.admitted = slices.DeleteFunc(l.admitted, func(a admittedJob) bool { return now.Sub(a.at) > MaxAge+announceTime+teamTime })
	for shard, q := range l.returns {
		if q.drop(now); len(q.jobs) == 0 {
			delete(l.returns, shard)
		}
	}
	if v.Reason == ReasonExempt {
		return
	}
	key := teamKey{r.Shard, r.Team}
	count := l.teams[key]
	if count == nil {
		l.forgetIdleTeams(now)
		count = &teamCount{}
		l.teams[key] = count
	}
	if !v.Admitted {
		count.rejected.add(now, 1, teamTime)
		q := l.returns[r.Shard]
		if q == nil {
			q = &returnQueue{}
			l.returns[r.Shard] = q
		}
		heap.Push(q, returningJob{at: now.Add(v.ReturnIn), work: r.Work})
		q.total = q.total.Add(r.Work)
		return
	}
	count.admitted.add(now, 1, teamTime)
	l.admitted = append(l.admitted, admittedJob{at: now, shard: r.Shard, rank: r.Rank, deadline: now.Add(r.Objective), work: r.Work})
}

// forgetIdleTeams drops the counts that have decayed, so that the teams of past requests take no memory.
func (l *Ledger) forgetIdleTeams(now time.Time) {
	for key, count := range l.teams {
		if count.admitted.value(now, teamTime)+count.rejected.value(now, teamTime) < 0.01 {
			delete(l.teams, key)
		}
	}
}

// entitledShare returns the part of a team's jobs to which it is entitled. The owner knows how many were accepted, and
// this daemon which part it admitted, so that their quotient is the number submitted.
func (l *Ledger) entitledShare(now time.Time, r Request, report *Report) float64 {
	i := slices.IndexFunc(report.Teams, func(t TeamLoad) bool { return t.Team == r.Team })
	if i < 0 || report.Teams[i].Accepted <= 0 {
		return 1
	}
	t, admittedShare := report.Teams[i], 1.0
	if count := l.teams[teamKey{r.Shard, r.Team}]; count != nil {
		admitted, rejected := count.admitted.value(now, teamTime), count.rejected.value(now, teamTime)
		if admitted+rejected > 0 {
			admittedShare = max(minEntitledShare, admitted/(admitted+rejected))
		}
	}
	return min(1, max(minEntitledShare, entitledHeadroom*t.Entitled*admittedShare/t.Accepted))
}

// admittedSince returns the work that was admitted since a report and comes before a job: that of earlier ranks, and that of
// the same rank with an objective that is not longer, as the jobs arrive within a second or two of each other. The other
// daemons are taken to have admitted in proportion to what the owner got from them in the last second.
func (l *Ledger) admittedSince(r Request, report *Report) Work {
	var w Work
	since := report.At.Add(-announceTime)
	for _, a := range l.admitted {
		if a.shard == r.Shard && a.at.After(since) && (a.rank < r.Rank || a.rank == r.Rank && !a.deadline.After(a.at.Add(r.Objective))) {
			w = w.Add(a.work)
		}
	}
	// The part of this daemon in what the owner got in the second before the report.
	own := 0
	for _, a := range l.admitted {
		if a.shard == r.Shard && !a.at.After(since) && since.Sub(a.at) < teamTime {
			own++
		}
	}
	return w.Times(min(float64(max(1, report.Daemons)), max(1, report.Accepted*teamTime.Seconds()/float64(max(1, own)))))
}

// returning returns how long the pool takes for the work of the clients that were told to return. It takes the other
// daemons to have told as many.
func (l *Ledger) returning(now time.Time, r Request, report *Report) time.Duration {
	q := l.returns[r.Shard]
	if q == nil {
		return 0
	}
	q.drop(now)
	return seconds(q.total.Times(float64(max(1, report.Daemons))).seconds(report.Rate, r.Work))
}
