package rack

import (
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// balanceInterval is the minimum time between two computations of the grants, so
	// that one write covers several changes.
	balanceInterval = 200 * time.Millisecond
	// grantRequestInterval is the minimum time between grant requests of a team to
	// other owners; a request expires after grantRequestTTL.
	grantRequestInterval = 500 * time.Millisecond
	grantRequestTTL      = 2 * time.Second
	// excessGracePeriod is how long tasks above a lowered limit may end by
	// themselves before some are stopped.
	excessGracePeriod = 5 * time.Second
)

// teamGrants is the grants row of one team and the state of changing it. A grant
// is the part of a team's limit that the tasks in one rack may use.
type teamGrants struct {
	team    cluster.TeamName
	version cluster.Version
	// rowLimit is the limit stored in the row, which the sum of the grants must not exceed.
	rowLimit cluster.Resources
	byRack   map[cluster.RackID]cluster.Resources
	// pendingReductions holds the lower grants that a transaction in flight or of
	// unknown result writes; until it is known, the lower value counts.
	pendingReductions map[cluster.RackID]cluster.Resources
	// writeInFlight is set while the row is written, or read again after a failed write.
	writeInFlight bool
	// notBefore is the earliest time at which the grants are balanced again after a write.
	notBefore time.Time
	// requestedAt is when other owners were last sent a request, requests are those
	// that other owners sent.
	requestedAt time.Time
	requests    map[cluster.RackID]grantTarget
	// excessSince is when the sum was first found above the configured limit; zero if it is not.
	excessSince time.Time
	// yielding holds the owned racks in which no task of the team starts, so that
	// grant that becomes unused goes to a request that has precedence.
	yielding map[cluster.RackID]bool
	// topJobs is the job that has precedence over the team's other jobs in each rack.
	topJobs map[cluster.RackID]*job
}

// grantTarget is the grant that another owner requested for its rack.
type grantTarget struct {
	target    cluster.Resources
	expiresAt time.Time
}

// grantsFor returns the grants of a team; they are created if there are none.
func (c *Controller) grantsFor(team cluster.TeamName) *teamGrants {
	g, ok := c.grants[team]
	if !ok {
		g = &teamGrants{team: team, byRack: map[cluster.RackID]cluster.Resources{}, requests: map[cluster.RackID]grantTarget{}}
		c.grants[team] = g
	}
	return g
}

// ingestGrants applies a grants row unless a newer version is known already.
func (c *Controller) ingestGrants(row platform.Row) {
	g := c.grantsFor(cluster.TeamName(row.Key[len(prefixGrants):]))
	if row.Version <= g.version {
		return
	}
	var v grantsRow
	if !row.Deleted {
		if err := decodeRow(row.Key, row.Value, &v); err != nil {
			c.reportMalformedRow(row.Key, err)
			return
		}
	}
	g.version = row.Version
	g.setRow(v)
	c.checkInvariant(g.sum().Fits(g.rowLimit), invariant.Limit, "the grants of team %s add up to %s, above the limit of %s", g.team, g.sum(), g.rowLimit)
}

// setRow replaces the limit and the grants by those of a row.
func (g *teamGrants) setRow(v grantsRow) {
	g.rowLimit = cluster.Resources{CPU: cluster.CPU(v.CPU), Memory: cluster.Bytes(v.Mem), Accelerators: v.Acc}
	g.byRack = make(map[cluster.RackID]cluster.Resources, len(v.Grants))
	for _, grant := range v.Grants {
		g.byRack[cluster.RackID(grant.Rack)] = cluster.Resources{CPU: cluster.CPU(grant.CPU), Memory: cluster.Bytes(grant.Mem), Accelerators: grant.Acc}
	}
}

// sum returns the sum of the team's grants in all racks.
func (g *teamGrants) sum() cluster.Resources {
	var sum cluster.Resources
	for _, v := range g.byRack {
		sum = sum.Add(v)
	}
	return sum
}

// encodeGrants encodes a grants row without empty grants, ordered by rack.
func encodeGrants(limit cluster.Resources, byRack map[cluster.RackID]cluster.Resources) ([]byte, error) {
	v := grantsRow{CPU: int64(limit.CPU), Mem: int64(limit.Memory), Acc: limit.Accelerators}
	for id, r := range byRack {
		if !r.IsZero() {
			v.Grants = append(v.Grants, grantRow{string(id), int64(r.CPU), int64(r.Memory), r.Accelerators})
		}
	}
	slices.SortFunc(v.Grants, func(a, b grantRow) int { return strings.Compare(a.Rack, b.Rack) })
	return encodeRow(&v)
}

// effectiveGrant returns the grant that counts for starts: the lowest that may be in force.
func (c *Controller) effectiveGrant(r *rack, team cluster.TeamName) cluster.Resources {
	g := c.grants[team]
	if g == nil {
		return cluster.Resources{}
	}
	v := g.byRack[r.id]
	if low, ok := g.pendingReductions[r.id]; ok {
		v = v.Min(low)
	}
	if !g.sum().Fits(c.teamLimit(team)) {
		// Nothing starts until the sum is at or below the lowered limit. If each
		// owner scaled its grants by itself, rows read at different times would give
		// parts that add up to more than the limit.
		return v.Min(r.usedBy(team))
	}
	return v
}

// scaledToLimit scales a grant down in proportion if the sum of the grants is
// above the configured limit.
func (c *Controller) scaledToLimit(g *teamGrants, v cluster.Resources) cluster.Resources {
	limit, sum := c.teamLimit(g.team), g.sum()
	if sum.Fits(limit) {
		return v
	}
	scale := func(v, limit, sum int64) int64 {
		if sum <= limit || sum == 0 {
			return v
		}
		return int64(float64(v) * (float64(limit) / float64(sum)))
	}
	return cluster.Resources{
		CPU:          cluster.CPU(scale(int64(v.CPU), int64(limit.CPU), int64(sum.CPU))),
		Memory:       cluster.Bytes(scale(int64(v.Memory), int64(limit.Memory), int64(sum.Memory))),
		Accelerators: scale(v.Accelerators, limit.Accelerators, sum.Accelerators),
	}
}

// teamLimit returns a team's configured limit; zero if the team is not configured.
func (c *Controller) teamLimit(team cluster.TeamName) cluster.Resources {
	if t := c.config.Teams[team]; t != nil {
		return t.Limit
	}
	return cluster.Resources{}
}

// usedBy returns what a team uses in a rack, including stale attempts that are
// being stopped and the holds of its gang jobs.
func (r *rack) usedBy(team cluster.TeamName) cluster.Resources {
	used := r.usedByTeam[team]
	for _, w := range r.sortedWorkers {
		for attempt, size := range w.staleSizes {
			if attempt.Task.Job.Team == team {
				used = used.Add(size)
			}
		}
	}
	return used.Add(r.heldFor(team))
}

// availableGrant returns the part of a team's grant in a rack that new tasks may use.
func (c *Controller) availableGrant(r *rack, team cluster.TeamName) cluster.Resources {
	if g := c.grants[team]; g != nil && g.yielding[r.id] {
		return cluster.Resources{}
	}
	used := r.usedBy(team).Max(r.frozenGrants[team])
	return c.effectiveGrant(r, team).Sub(used).Max(cluster.Resources{})
}

// balanceGrants raises the grants of owned racks with pending tasks and releases
// unused grants to racks that need them.
func (c *Controller) balanceGrants() {
	if !c.storeUsable() || c.now.Before(c.nextGrantBalanceAt) {
		return
	}
	c.nextGrantBalanceAt = c.now.Add(balanceInterval)
	teams := map[cluster.TeamName]bool{}
	for _, r := range c.sortedRacks {
		if r.phase == phaseActive {
			c.measureDemands(r)
			for team := range r.demands {
				teams[team] = true
			}
		}
	}
	for team, g := range c.grants {
		if len(g.requests) > 0 || len(g.yielding) > 0 || !g.sum().Fits(c.teamLimit(team)) {
			teams[team] = true
		}
	}
	for _, team := range sortedTeamNames(teams) {
		g := c.grantsFor(team)
		if !g.writeInFlight && !c.now.Before(g.notBefore) {
			c.balanceTeam(g)
		}
	}
}

// sortedTeamNames returns the members of a set of teams by name.
func sortedTeamNames(set map[cluster.TeamName]bool) []cluster.TeamName {
	teams := make([]cluster.TeamName, 0, len(set))
	for team := range set {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// measureDemands computes what each team could use in a rack: what it uses and
// what its pending tasks need, up to the free capacity. Tasks that others are
// preempted for count even if there is no free capacity yet.
func (c *Controller) measureDemands(r *rack) {
	pending, urgent := map[cluster.TeamName]cluster.Resources{}, map[cluster.TeamName]cluster.Resources{}
	clear(r.demands)
	for _, a := range r.assignmentList {
		team := a.id.Team
		r.demands[team] = cluster.Resources{}
		j := c.jobs[a.id]
		if a.pendingCount == 0 || j == nil || !j.active() || j.cancelRequested || c.exceedsLimit(j) {
			continue
		}
		size := c.declaredSize(j).Times(int64(a.pendingCount))
		if j.spec.Priority == cluster.PriorityUrgent {
			urgent[team] = urgent[team].Add(size)
		} else {
			pending[team] = pending[team].Add(size)
		}
	}
	total, free, _ := r.openCapacity()
	for team := range r.demands {
		usable := free
		if !pending[team].Fits(free) && teamsBelowShare(r)[team] {
			usable = free.Max(c.largestPendingTask(r, team))
		}
		r.demands[team] = r.usedBy(team).Add(pending[team].Min(usable)).Add(urgent[team].Min(total))
	}
}

// teamDemand returns the demand that was last measured, and at least what the team uses.
func (c *Controller) teamDemand(r *rack, team cluster.TeamName) cluster.Resources {
	return r.demands[team].Max(r.usedBy(team))
}

// largestPendingTask returns the size of a team's largest pending task in a rack.
func (c *Controller) largestPendingTask(r *rack, team cluster.TeamName) cluster.Resources {
	var size cluster.Resources
	for _, a := range r.assignmentList {
		if j := c.jobs[a.id]; a.id.Team == team && a.pendingCount > 0 && j != nil {
			size = size.Max(c.declaredSize(j))
		}
	}
	return size
}

// balanceTeam computes a team's next grants from the demand in owned racks and
// the requests of other owners, and writes them if they have changed.
func (c *Controller) balanceTeam(g *teamGrants) {
	limit := c.teamLimit(g.team)
	next := make(map[cluster.RackID]cluster.Resources, len(g.byRack))
	for id, v := range g.byRack {
		next[id] = v
	}
	unallocated := limit.Sub(g.sum())
	g.yielding = nil
	g.topJobs = c.topJobs(g.team)
	c.reduceToLimit(g, next, &unallocated)
	missing := c.raiseGrants(g, next, &unallocated)
	c.serveGrantRequests(g, next, &unallocated)
	if !missing.IsZero() {
		c.requestGrants(g, missing)
	}
	if !sameGrants(g.byRack, next) {
		c.writeGrants(g, next)
	}
	c.interruptExcess(g)
}

// sameGrants reports whether two sets of grants are equal.
func sameGrants(a, b map[cluster.RackID]cluster.Resources) bool {
	for id, v := range b {
		if a[id] != v {
			return false
		}
	}
	for id, v := range a {
		if b[id] != v {
			return false
		}
	}
	return true
}

// transferable returns the part of an owned rack's grant that may move to another
// rack: what no running or pending task needs, or all that is unused if the other
// rack has precedence. Without the latter, remainders of a scarce limit that are
// too small for any task would stay in every rack. A rack that is not fully
// fenced has nothing to transfer.
func (c *Controller) transferable(r *rack, to cluster.RackID, g *teamGrants, grant cluster.Resources) cluster.Resources {
	if r.phase != phaseActive || r.hasUnfencedWorkers || r.handingOver || r.rowWriteInFlight {
		return cluster.Resources{}
	}
	needed := r.usedBy(g.team)
	if !g.hasPrecedence(to, r.id) {
		needed = needed.Max(c.teamDemand(r, g.team))
	}
	return grant.Sub(needed).Max(cluster.Resources{})
}

// exceedsLimit reports whether a job can't start under its team's limit. Such a
// job gets no grant, because other jobs could use it.
func (c *Controller) exceedsLimit(j *job) bool {
	n, size := j.spec.TaskCount()
	if j.isGang() {
		size = size.Times(int64(n))
	}
	return !size.Fits(c.teamLimit(j.id.Team))
}

// topJobs returns, for each rack, the job that has precedence over the team's
// other jobs there.
func (c *Controller) topJobs(team cluster.TeamName) map[cluster.RackID]*job {
	top := map[cluster.RackID]*job{}
	for _, j := range c.jobs {
		if j.id.Team != team || !j.active() || j.cancelRequested || c.exceedsLimit(j) {
			continue
		}
		for _, id := range j.racks {
			if top[id] == nil || j.precedes(top[id]) {
				top[id] = j
			}
		}
	}
	return top
}

// hasPrecedence reports whether a team's jobs in rack a have precedence over
// those in rack b: by priority, then by age, then by the name of the rack. Every
// daemon reads the same job rows, so that two racks do not move a remainder back
// and forth.
func (g *teamGrants) hasPrecedence(a, b cluster.RackID) bool {
	jobA, jobB := g.topJobs[a], g.topJobs[b]
	switch {
	case jobA == nil || jobB == nil:
		return jobA != nil
	case jobA == jobB:
		return a < b
	}
	return jobA.precedes(jobB)
}

// precedes reports whether a job has precedence over another job of its team: by
// priority, then by age, then by name.
func (j *job) precedes(other *job) bool {
	switch {
	case j.spec.Priority != other.spec.Priority:
		return j.spec.Priority > other.spec.Priority
	case !j.submittedAt.Equal(other.submittedAt):
		return j.submittedAt.Before(other.submittedAt)
	}
	return j.id.Name < other.id.Name
}

// reduceToLimit lowers unused grants of owned racks while the sum is above the
// limit, that is, while unallocated is negative.
func (c *Controller) reduceToLimit(g *teamGrants, next map[cluster.RackID]cluster.Resources, unallocated *cluster.Resources) {
	if !unallocated.Negative() {
		return
	}
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive || r.hasUnfencedWorkers || r.handingOver || r.rowWriteInFlight {
			continue
		}
		excess := cluster.Resources{}.Sub(*unallocated).Max(cluster.Resources{})
		unused := next[r.id].Sub(r.usedBy(g.team)).Max(cluster.Resources{}).Min(excess)
		next[r.id] = next[r.id].Sub(unused)
		*unallocated = unallocated.Add(unused)
	}
}

// raiseGrants raises the grants of owned racks to their demand, from the
// unallocated part of the limit and from other owned racks; it returns what is
// still missing.
func (c *Controller) raiseGrants(g *teamGrants, next map[cluster.RackID]cluster.Resources, unallocated *cluster.Resources) cluster.Resources {
	var missing cluster.Resources
	var donors []*rack
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive || r.handingOver {
			continue
		}
		shortfall := c.teamDemand(r, g.team).Max(r.frozenGrants[g.team]).Sub(next[r.id]).Max(cluster.Resources{})
		if shortfall.IsZero() {
			continue
		}
		allocated := shortfall.Min(unallocated.Max(cluster.Resources{}))
		next[r.id] = next[r.id].Add(allocated)
		*unallocated = unallocated.Sub(allocated)
		shortfall = shortfall.Sub(allocated)
		if !shortfall.IsZero() {
			if donors == nil {
				donors = c.donors(g, next)
			}
			shortfall = c.transferFromDonors(g, next, donors, r, shortfall)
		}
		missing = missing.Add(shortfall)
	}
	return missing
}

// donors returns the owned racks whose grant is not fully used. The result is never nil, so
// that raiseGrants computes it only once.
func (c *Controller) donors(g *teamGrants, next map[cluster.RackID]cluster.Resources) []*rack {
	donors := []*rack{}
	for _, r := range c.sortedRacks {
		if r.phase == phaseActive && anyPositive(next[r.id].Sub(r.usedBy(g.team))) {
			donors = append(donors, r)
		}
	}
	return donors
}

// transferFromDonors moves transferable grant from other owned racks to a rack
// and returns what it still lacks.
func (c *Controller) transferFromDonors(g *teamGrants, next map[cluster.RackID]cluster.Resources, donors []*rack, to *rack, shortfall cluster.Resources) cluster.Resources {
	for _, r := range donors {
		if r == to || shortfall.IsZero() {
			continue
		}
		amount := c.transferable(r, to.id, g, next[r.id]).Min(shortfall)
		next[r.id] = next[r.id].Sub(amount)
		next[to.id] = next[to.id].Add(amount)
		shortfall = shortfall.Sub(amount)
	}
	return shortfall
}

// serveGrantRequests moves unused grant to racks of other owners that requested it.
// An owned rack that has too little to transfer and has no precedence starts
// nothing for the team until the request is served.
func (c *Controller) serveGrantRequests(g *teamGrants, next map[cluster.RackID]cluster.Resources, unallocated *cluster.Resources) {
	if unallocated.Negative() {
		return
	}
	ids := make([]cluster.RackID, 0, len(g.requests))
	for id := range g.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		req := g.requests[id]
		shortfall := req.target.Sub(next[id]).Max(cluster.Resources{})
		if c.now.After(req.expiresAt) || shortfall.IsZero() {
			delete(g.requests, id)
			continue
		}
		for _, r := range c.sortedRacks {
			if r.id == id {
				continue
			}
			amount := c.transferable(r, id, g, next[r.id]).Min(shortfall)
			next[r.id] = next[r.id].Sub(amount)
			next[id] = next[id].Add(amount)
			shortfall = shortfall.Sub(amount)
			if !shortfall.IsZero() && g.hasPrecedence(id, r.id) {
				if g.yielding == nil {
					g.yielding = map[cluster.RackID]bool{}
				}
				g.yielding[r.id] = true
			}
		}
	}
}

// handleGrantRequest stores the request of another owner for the next balancing.
func (c *Controller) handleGrantRequest(m *peer.GrantRequest) {
	g := c.grantsFor(m.Team)
	g.requests[m.Rack] = grantTarget{target: g.byRack[m.Rack].Add(m.Amount), expiresAt: c.now.Add(grantRequestTTL)}
}

// requestGrants requests the missing grant from the owners of other racks.
func (c *Controller) requestGrants(g *teamGrants, missing cluster.Resources) {
	if c.now.Before(g.requestedAt.Add(grantRequestInterval)) {
		return
	}
	g.requestedAt = c.now
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive {
			continue
		}
		shortfall := c.teamDemand(r, g.team).Sub(g.byRack[r.id]).Max(cluster.Resources{}).Min(missing)
		if shortfall.IsZero() {
			continue
		}
		for _, to := range c.grantOwners(g) {
			c.send(to, &peer.GrantRequest{Team: g.team, Rack: r.id, Amount: shortfall})
		}
	}
}

// grantOwners returns the other live daemons that own racks with a grant of the team.
func (c *Controller) grantOwners(g *teamGrants) []cluster.DaemonID {
	set := map[cluster.DaemonID]bool{}
	for id, v := range g.byRack {
		if r := c.racks[id]; r != nil && !v.IsZero() && r.owner != "" && r.owner != c.cfg.Self && c.isLive(r.owner) {
			set[r.owner] = true
		}
	}
	owners := make([]cluster.DaemonID, 0, len(set))
	for id := range set {
		owners = append(owners, id)
	}
	slices.Sort(owners)
	return owners
}
