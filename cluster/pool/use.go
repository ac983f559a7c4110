package pool

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/fairshare"
)

const (
	// maxUseDelayPart is the part of a step's allowed time, from its release to its deadline, by which the use of its
	// team moves the step back at most.
	maxUseDelayPart = 0.25
	// maxUseElapsed bounds the time between two steps that counts as use: after a pause of the process it is not known
	// what has run meanwhile.
	maxUseElapsed = time.Second
	// fullRetention is for how long the pool counts as full after a step last found no capacity. A pass that starts
	// with a free slot does not find that out.
	fullRetention = 500 * time.Millisecond
	// factorInterval is the time between two computations of the factors, whose cost grows with the waiting steps.
	factorInterval = 100 * time.Millisecond
	// useMetricsInterval is the time between two updates of the gauges of the teams.
	useMetricsInterval = 5 * time.Second
	// useWriteInterval is the time between two writes of the past use to the store; what was used since the last one may
	// be lost with the owner.
	useWriteInterval = 15 * time.Second
)

// teamUse is the past and the current use of the teams, and the order that follows from it; see delayByUse.
type teamUse struct {
	// ledger is nil if the use is not taken into account.
	ledger *fairshare.Ledger
	// capacity is the capacity of the listed workers.
	capacity cluster.Resources
	// free is the free capacity of the usable workers at the start of the current placement pass.
	free cluster.Resources
	// shortAt is when a step last found no capacity; zero before the first time.
	shortAt time.Time
	// factorsAt is when the factors were last computed, metricsAt when the gauges were last updated.
	factorsAt, metricsAt time.Time
	// read means that the use under previous owners was read; nothing is written before, as it would replace that.
	read bool
	// writtenAt is when the use was last written.
	writtenAt time.Time
	// list holds the teams in the order in which they were added, so that equal inputs give equal decisions.
	list []*usage
	// inputs and inputTeams are buffers that updateFactors reuses.
	inputs     []fairshare.Team
	inputTeams []*usage
}

// useState is the use of a team as far as the order of its waiting steps depends on it.
type useState struct {
	name cluster.TeamName
	// account is nil if the use is not taken into account.
	account *fairshare.Account
	// waiting is the total size of the team's startable tasks when the factors were last computed.
	waiting cluster.Resources
	// share, entitled and factor are the last results of fairshare.SetFactors.
	share, entitled, factor float64
	gauges                  *useGauges
}

// useGauges are the metrics of a team.
type useGauges struct{ past, use, share, factor tally.Gauge }

// addTeam prepares the use of a team that was added.
func (t *teamUse) addTeam(name cluster.TeamName, u *usage) {
	u.use.name = name
	t.list = append(t.list, u)
	if t.ledger != nil {
		u.use.account = t.ledger.Account(name)
	}
}

// updateCapacity sets the capacity that the use of a team is a share of. The workers in evacuated zones do not count, as
// no waiting task can use them.
func (s *Scheduler) updateCapacity() {
	s.use.capacity = cluster.Resources{}
	for _, w := range s.sortedWorkers {
		if w.inPlatformList && !w.evacuated {
			s.use.capacity = s.use.capacity.Add(w.vm.Capacity)
		}
	}
}

// recordUse adds what the teams have used since the last step to the ledger. The time is measured on a steady clock.
func (s *Scheduler) recordUse(elapsed time.Duration) {
	if s.use.ledger == nil {
		return
	}
	elapsed = min(max(elapsed, 0), maxUseElapsed)
	s.use.ledger.Decay(elapsed)
	for _, u := range s.use.list {
		if !u.running.IsZero() {
			u.use.account.Add(u.running.DominantShare(s.use.capacity), elapsed)
		}
	}
}

// usageRead applies the stored past use.
func (s *Scheduler) usageRead(e *UsageRead) {
	if s.use.ledger == nil {
		return
	}
	if !s.use.read {
		s.use.read, s.use.writtenAt = true, s.now
		s.use.ledger.Merge(e.Own, s.now)
	}
	s.use.ledger.SetOthers(e.Others, s.now)
}

// emitUsage writes the past use from time to time if it has changed by more than decay.
func (s *Scheduler) emitUsage() {
	if s.use.ledger == nil || !s.use.read || !s.use.ledger.Changed() || s.now.Sub(s.use.writtenAt) < useWriteInterval {
		return
	}
	s.use.writtenAt = s.now
	s.use.ledger.ClearChanged()
	s.emit(&WriteUsage{Usage: fairshare.Snapshot{At: s.now, Usage: s.use.ledger.Own()}})
}

// reportShort notes that a step found no capacity in this pass, unless the listed workers can't run it at all.
func (s *Scheduler) reportShort(st *step, need int) {
	if s.use.ledger != nil && !s.use.shortAt.Equal(s.now) && s.isShort(st, need) && s.attainable(st, need) >= need {
		s.use.shortAt = s.now
	}
}

// isShort reports whether a step that did not find room for the given number of tasks lacks capacity, and not permits
// for workers with room.
func (s *Scheduler) isShort(st *step, need int) bool {
	return !s.mayFit(st) || !accountedSize(st.spec).Times(int64(need)).Fits(s.use.free) ||
		s.terms(st.job).Advice == nil && st.spec.MaxPerWorker == 0
}

// isFull reports whether a step of an earlier pass found no capacity.
func (s *Scheduler) isFull() bool {
	return s.use.ledger != nil && !s.use.shortAt.IsZero() && s.now.Sub(s.use.shortAt) < fullRetention
}

// delayByUse sets the deadlines by which the steps of a pass are ordered. While the pool is full, the steps of a team that
// uses or has used more than its share are moved back among those with the same urgency and rank. The shares are computed
// in passes that include all waiting steps.
func (s *Scheduler) delayByUse(ready []*step, complete bool) {
	full := s.isFull()
	if full && complete && s.now.Sub(s.use.factorsAt) >= factorInterval {
		s.updateFactors(ready)
	}
	for _, st := range ready {
		st.useDelay, st.movedByUse = 0, false
		if full {
			st.useDelay = s.useDelay(st)
		}
		st.orderDeadline = st.deadline.Add(st.useDelay)
	}
}

// useDelay returns by how much the use of its team moves a step back. The step is not moved back beyond the time from
// which it would get into a class of lower urgency for that reason.
func (s *Scheduler) useDelay(st *step) time.Duration {
	factor := st.job.team.use.factor
	if factor <= 0 || st.urgency == continuous || st.urgency == overdue {
		return 0
	}
	allowedTime := st.deadline.Sub(st.releaseTime)
	classEnd := st.deadline
	if st.urgency != onTime {
		classEnd = st.releaseTime.Add(overdueFactor * allowedTime)
	}
	left := classEnd.Sub(s.now) - st.job.criticalPaths[st.id.Step]
	return max(0, min(time.Duration(factor*maxUseDelayPart*float64(allowedTime)), left))
}

// updateFactors computes the factors of the teams that have running or waiting tasks.
func (s *Scheduler) updateFactors(ready []*step) {
	s.use.factorsAt = s.now
	for _, u := range s.use.list {
		u.use.waiting, u.use.share, u.use.entitled, u.use.factor = cluster.Resources{}, 0, 0, 0
	}
	for _, st := range ready {
		u := &st.job.team.use
		u.waiting = u.waiting.Add(accountedSize(st.spec).Times(int64(st.pendingTasks)))
	}
	s.use.inputs, s.use.inputTeams = s.use.inputs[:0], s.use.inputTeams[:0]
	for _, u := range s.use.list {
		if u.running.IsZero() && u.use.waiting.IsZero() {
			continue
		}
		in := fairshare.Team{
			Weight: s.weight(u), Past: u.use.account.Usage(),
			Current: u.running.DominantShare(s.use.capacity), Demand: u.running.Add(u.use.waiting).DominantShare(s.use.capacity),
		}
		s.use.inputs, s.use.inputTeams = append(s.use.inputs, in), append(s.use.inputTeams, u)
	}
	fairshare.SetFactors(s.use.inputs, s.maxPastUse())
	for i, u := range s.use.inputTeams {
		u.use.share, u.use.entitled, u.use.factor = s.use.inputs[i].Share, s.use.inputs[i].Entitled, s.use.inputs[i].Factor
	}
}

// weight returns the weight of a team; a removed team has the smallest one.
func (s *Scheduler) weight(u *usage) float64 {
	if team := s.snapshot.Teams[u.use.name]; team != nil {
		return float64(max(team.Share, 1))
	}
	return 1
}

// maxPastUse returns the past use of a team that has always used the whole pool.
func (s *Scheduler) maxPastUse() float64 { return s.use.ledger.MaxUsage() * float64(s.cfg.Shards) }

// markMovedByUse marks the sorted steps of a pass that have another place than without useDelay: behind one with a later
// deadline, or ahead of one with an earlier deadline.
func (s *Scheduler) markMovedByUse(sorted []*step) {
	if !s.isFull() {
		return
	}
	sameClass := func(a, b *step) bool { return a.urgency == b.urgency && a.rank == b.rank }
	var latest *step
	for _, st := range sorted {
		if latest != nil && sameClass(latest, st) && st.deadline.Before(latest.deadline) {
			st.movedByUse = true
			continue
		}
		latest = st
	}
	var earliest *step
	for i := len(sorted) - 1; i >= 0; i-- {
		st := sorted[i]
		if earliest != nil && sameClass(earliest, st) && earliest.deadline.Before(st.deadline) {
			st.movedByUse = true
			continue
		}
		earliest = st
	}
}

// updateUseMetrics updates the gauges of the teams, from time to time.
func (s *Scheduler) updateUseMetrics(ready []*step, complete bool) {
	if s.use.ledger == nil || !complete || s.now.Sub(s.use.metricsAt) < useMetricsInterval {
		return
	}
	s.use.metricsAt = s.now
	s.updateFactors(ready)
	for _, u := range s.use.list {
		if u.use.gauges == nil {
			scope := s.cfg.Metrics.Tagged(map[string]string{"team": string(u.use.name), "pool": string(s.cfg.Service), "shard": strconv.Itoa(s.cfg.Shard)})
			u.use.gauges = &useGauges{past: scope.Gauge("team_past_usage"), use: scope.Gauge("team_use"), share: scope.Gauge("team_share"), factor: scope.Gauge("team_usage_factor")}
		}
		u.use.gauges.past.Update(u.use.account.Usage() / s.maxPastUse())
		u.use.gauges.use.Update(u.running.DominantShare(s.use.capacity))
		u.use.gauges.share.Update(u.use.share)
		u.use.gauges.factor.Update(u.use.factor)
	}
}
