package pool

import (
	"math"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// WholeLimit is the whole limit of a team in the unit of its shares.
	WholeLimit = 10000
	// shareRetryDelay is the time between two requests for a larger share.
	shareRetryDelay = 200 * time.Millisecond
)

// EqualShare returns the share of a team's limit that a shard has initially.
func EqualShare(shard, shards int) int {
	share := WholeLimit / shards
	if shard < WholeLimit%shards {
		share++
	}
	return share
}

// share returns the share of a team's limit that this shard may use.
func (s *Scheduler) share(team cluster.TeamName) int {
	if s.cfg.Shards == 1 {
		return WholeLimit
	}
	if share, ok := s.shares[team]; ok {
		return share
	}
	return EqualShare(s.cfg.Shard, s.cfg.Shards)
}

// SetShares sets the shares of the teams' limits at once, as SharesChanged does in the next step.
func (s *Scheduler) SetShares(shares map[cluster.TeamName]int) { s.shares = shares }

// limitShare returns the share of a limit that an amount uses, rounded up.
func limitShare(amount, limit cluster.Resources) int {
	shareOf := func(amount, limit int64) int {
		if limit <= 0 {
			return 0
		}
		return int(math.Ceil(float64(amount) / float64(limit) * WholeLimit))
	}
	return max(shareOf(int64(amount.CPU), int64(limit.CPU)), shareOf(int64(amount.Memory), int64(limit.Memory)),
		shareOf(amount.Accelerators, limit.Accelerators))
}

// fitsLimit reports whether a team may run n more tasks of a step. If they fit the team's whole limit but not
// this shard's share, a larger share is requested.
func (s *Scheduler) fitsLimit(st *step, n int) bool {
	if s.withinLimit(st, n) {
		return true
	}
	if s.cfg.Shards > 1 && s.neededShare(st, n) <= WholeLimit {
		s.requestShare(st, s.neededShare(st, max(n, st.pendingTasks)))
	}
	return false
}

// withinLimit reports whether n more tasks of a step fit this shard's share of its team's limit.
func (s *Scheduler) withinLimit(st *step, n int) bool {
	return s.neededShare(st, n) <= s.share(st.job.spec.Team)
}

// limitReservationTime is for how long a step that waits may keep a part of its team's limit at a time. For as long
// after that it keeps nothing, so that a step that can't start does not hold its team back for good.
const limitReservationTime = 10 * time.Second

// limitCapacityWait replaces limitReservationTime for a gang that fits its team's limit and waits for workers: what it
// keeps is used by nobody. The platform expects work that fits to start within 3 s.
const limitCapacityWait = 2 * time.Second

// reserveLimit keeps the part of the team's limit that n more tasks of a step need from the steps that come later in
// this pass. Otherwise these would take what becomes free, and a step that needs more at once would never start. Only
// the first step of each team that waits for the limit keeps a part of it, for the given time and then nothing for as
// long.
func (s *Scheduler) reserveLimit(st *step, n int, reservationTime time.Duration) {
	team := s.snapshot.Teams[st.job.spec.Team]
	if team == nil {
		return
	}
	if st.limitWaitSince.IsZero() {
		st.limitWaitSince = s.now
	}
	u, size := s.team(team.Name), st.spec.Size.Times(int64(n))
	if u.reservedFor != nil || !s.fitsWholeLimit(st, n) {
		return
	}
	if s.now.Sub(st.limitWaitSince)%(2*reservationTime) >= reservationTime || s.claimableTasks(st) == 0 {
		return
	}
	u.reservedFor, u.reserved = st, size
}

// reservedFrom returns the part of its team's limit that a step may not use, as it is kept for another one. Steps that
// were released earlier may use it: ReduceShare keeps their shares, and otherwise steps in different shards could
// block one another.
func (u *usage) reservedFrom(st *step) cluster.Resources {
	if u.reservedFor == nil || u.reservedFor == st || st.releaseTime.Before(u.reservedFor.releaseTime) {
		return cluster.Resources{}
	}
	reserved := u.reserved
	if st.spec.Size.CPU == 0 {
		reserved.CPU = 0
	}
	if st.spec.Size.Memory == 0 {
		reserved.Memory = 0
	}
	if st.spec.Size.Accelerators == 0 {
		reserved.Accelerators = 0
	}
	return reserved
}

// neededShare returns the share of a team's limit that the team uses with n more tasks of a step; zero if the team has
// no limit.
func (s *Scheduler) neededShare(st *step, n int) int {
	team := s.snapshot.Teams[st.job.spec.Team]
	if team == nil {
		return 0
	}
	u := s.team(team.Name)
	used := u.running.Add(u.unconfirmed).Add(u.reservedFrom(st))
	return limitShare(used.Add(st.spec.Size.Times(int64(n))), team.Limit)
}

// fitsWholeLimit reports whether n more tasks of a step fit its team's whole limit beside the tasks of the team that last.
func (s *Scheduler) fitsWholeLimit(st *step, n int) bool {
	team := s.snapshot.Teams[st.job.spec.Team]
	return team == nil || limitShare(st.spec.Size.Times(int64(n)).Add(s.team(team.Name).lasting), team.Limit) <= WholeLimit
}

// requestShare requests the share that a step's team lacks, unless the step could not use it.
func (s *Scheduler) requestShare(st *step, needed int) {
	team := st.job.spec.Team
	u := s.team(team)
	if s.now.Before(u.nextShareRequestAt) || s.claimableTasks(st) == 0 {
		return
	}
	u.nextShareRequestAt = s.now.Add(shareRetryDelay)
	s.emit(&RequestShare{Team: team, Missing: min(needed, WholeLimit) - s.share(team), ReleaseTime: st.releaseTime})
}

// ReduceShare reduces this shard's share of a team's limit by at most the wanted amount and returns by how much. It
// keeps what the team's tasks use, and what those of its pending steps need that were released before releaseTime and
// could start.
// Therefore the step of the team that was released first gets the free shares of all shards, and steps in
// different shards can't block one another. Until the takeover is complete, the share is not reduced.
func (s *Scheduler) ReduceShare(name cluster.TeamName, wanted int, releaseTime time.Time) int {
	team := s.snapshot.Teams[name]
	if team == nil || s.stopped || !s.takeoverComplete {
		return 0
	}
	needed := s.team(name).running.Add(s.team(name).unconfirmed)
	for _, st := range s.openSteps {
		if st.job.spec.Team == name && st.pendingTasks > 0 && st.releaseTime.Before(releaseTime) && s.startable(st) {
			needed = needed.Add(st.spec.Size.Times(int64(s.claimableTasks(st))))
		}
	}
	reduction := min(wanted, s.share(name)-limitShare(needed, team.Limit))
	if reduction <= 0 {
		return 0
	}
	shares := map[cluster.TeamName]int{name: s.share(name) - reduction}
	for team, share := range s.shares {
		if team != name {
			shares[team] = share
		}
	}
	s.shares = shares
	return reduction
}
