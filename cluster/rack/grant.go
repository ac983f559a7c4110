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
	// grantInterval is the minimum time between two computations of the grants, so
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
type grants struct {
	team    cluster.TeamName
	version cluster.Version
	// limit is the upper bound of the sum as stored in the row.
	limit cluster.Resources
	row   map[cluster.RackID]cluster.Resources
	// lowering holds the grants that a transaction in flight or of unknown result
	// lowers; the lower value counts.
	lowering map[cluster.RackID]cluster.Resources
	// writing is set while the row is written, or read again after a failed write.
	writing   bool
	notBefore time.Time
	// requestedAt is when other owners were last sent a request, requests are those
	// that other owners sent.
	requestedAt time.Time
	requests    map[cluster.RackID]grantTarget
	// excessSince is when the sum was first found above the configured limit; zero if it is not.
	excessSince time.Time
	// yielding holds the owned racks in which nothing starts for the team, so that
	// capacity of its limit that becomes free goes to a request that has precedence.
	yielding map[cluster.RackID]bool
	// topJobs is the job that has precedence over the team's other jobs in each rack.
	topJobs map[cluster.RackID]*job
}

// grantTarget is the grant that another owner requested for its rack.
type grantTarget struct {
	target  cluster.Resources
	expires time.Time
}

// grantsFor returns the grants of a team; they are created if there are none.
func (c *Controller) grantsFor(team cluster.TeamName) *grants {
	g, ok := c.grants[team]
	if !ok {
		g = &grants{team: team, row: map[cluster.RackID]cluster.Resources{}, requests: map[cluster.RackID]grantTarget{}}
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
		if err := decode(row.Key, row.Value, &v); err != nil {
			c.malformed(row.Key, err)
			return
		}
	}
	g.version = row.Version
	g.setRow(v)
	c.require(g.sum().Fits(g.limit), invariant.Limit, "the grants of team %s add up to %s, its limit is %s", g.team, g.sum(), g.limit)
}

// setRow replaces the limit and the grants by those of a row.
func (g *grants) setRow(v grantsRow) {
	g.limit = cluster.Resources{CPU: cluster.CPU(v.CPU), Memory: cluster.Bytes(v.Mem), Accelerators: v.Acc}
	g.row = make(map[cluster.RackID]cluster.Resources, len(v.Grants))
	for _, e := range v.Grants {
		g.row[cluster.RackID(e.Rack)] = cluster.Resources{CPU: cluster.CPU(e.CPU), Memory: cluster.Bytes(e.Mem), Accelerators: e.Acc}
	}
}

// sum returns the sum of the team's grants in all racks.
func (g *grants) sum() cluster.Resources {
	var sum cluster.Resources
	for _, v := range g.row {
		sum = sum.Add(v)
	}
	return sum
}

func encodeGrants(limit cluster.Resources, row map[cluster.RackID]cluster.Resources) ([]byte, error) {
	v := grantsRow{CPU: int64(limit.CPU), Mem: int64(limit.Memory), Acc: limit.Accelerators}
	for id, r := range row {
		if !r.IsZero() {
			v.Grants = append(v.Grants, grantRow{string(id), int64(r.CPU), int64(r.Memory), r.Accelerators})
		}
	}
	slices.SortFunc(v.Grants, func(a, b grantRow) int { return strings.Compare(a.Rack, b.Rack) })
	return encode(&v)
}

// effectiveGrant returns the grant that counts for starts: the lowest that may be in force.
func (c *Controller) effective(r *rack, team cluster.TeamName) cluster.Resources {
	g := c.grants[team]
	if g == nil {
		return cluster.Resources{}
	}
	v := g.row[r.id]
	if low, ok := g.lowering[r.id]; ok {
		v = v.Min(low)
	}
	if !g.sum().Fits(c.limit(team)) {
		// Nothing starts until the sum is at or below the lowered limit. If each
		// owner scaled its grants by itself, rows read at different times would give
		// parts that add up to more than the limit.
		return v.Min(r.usedBy(team))
	}
	return v
}

// scaledToLimit scales a grant down in proportion if the sum of the grants is
// above the configured limit.
func (c *Controller) scaledToLimit(g *grants, v cluster.Resources) cluster.Resources {
	limit, sum := c.limit(g.team), g.sum()
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

// limit returns a team's configured limit; zero if the team is not configured.
func (c *Controller) limit(team cluster.TeamName) cluster.Resources {
	if t := c.config.Teams[team]; t != nil {
		return t.Limit
	}
	return cluster.Resources{}
}

// usedBy returns what a team uses in a rack, including stale attempts that are
// being stopped and the holds of its gang jobs.
func (r *rack) usedBy(team cluster.TeamName) cluster.Resources {
	used := r.used[team]
	for _, w := range r.order {
		for attempt, size := range w.foreign {
			if attempt.Task.Job.Team == team {
				used = used.Add(size)
			}
		}
	}
	return used.Add(r.heldBy(team))
}

// availableGrant returns the part of a team's grant in a rack that new tasks may use.
func (c *Controller) available(r *rack, team cluster.TeamName) cluster.Resources {
	if g := c.grants[team]; g != nil && g.yielding[r.id] {
		return cluster.Resources{}
	}
	used := r.usedBy(team).Max(r.frozen[team])
	return c.effective(r, team).Sub(used).Max(cluster.Resources{})
}

// balanceGrants raises the grants of owned racks with pending tasks and releases
// unused grants to racks that need them.
func (c *Controller) balanceGrants() {
	if !c.writable() || c.now.Before(c.nextBalance) {
		return
	}
	c.nextBalance = c.now.Add(balanceInterval)
	teams := map[cluster.TeamName]bool{}
	for _, r := range c.rackOrder {
		if r.phase == phaseActive {
			c.measureDemand(r)
			for team := range r.demands {
				teams[team] = true
			}
		}
	}
	for team, g := range c.grants {
		if len(g.requests) > 0 || len(g.yielding) > 0 || !g.sum().Fits(c.limit(team)) {
			teams[team] = true
		}
	}
	for _, team := range sortedTeams(teams) {
		g := c.grantsFor(team)
		if !g.writing && !c.now.Before(g.notBefore) {
			c.balanceTeam(g)
		}
	}
}

func sortedTeams(set map[cluster.TeamName]bool) []cluster.TeamName {
	teams := make([]cluster.TeamName, 0, len(set))
	for team := range set {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// measureDemand computes what each team could use in a rack: what it uses and
// what its pending tasks need, up to the free capacity. Tasks that others are
// preempted for count even if there is no free capacity yet.
func (c *Controller) measureDemand(r *rack) {
	waiting, urgent := map[cluster.TeamName]cluster.Resources{}, map[cluster.TeamName]cluster.Resources{}
	clear(r.demands)
	for _, a := range r.list {
		team := a.id.Team
		r.demands[team] = cluster.Resources{}
		j := c.jobs[a.id]
		if a.pending == 0 || j == nil || !j.active() || j.cancel || c.overLimit(j) {
			continue
		}
		size := c.declaredSize(j).Times(int64(a.pending))
		if j.spec.Priority == cluster.PriorityUrgent {
			urgent[team] = urgent[team].Add(size)
		} else {
			waiting[team] = waiting[team].Add(size)
		}
	}
	total, free, _ := r.openCapacity()
	for team := range r.demands {
		room := free
		if !waiting[team].Fits(free) && teamsBelowShare(r)[team] {
			room = free.Max(c.largestPending(r, team))
		}
		r.demands[team] = r.usedBy(team).Add(waiting[team].Min(room)).Add(urgent[team].Min(total))
	}
}

// demand returns the demand that was last measured, and at least what the team uses.
func (c *Controller) demand(r *rack, team cluster.TeamName) cluster.Resources {
	return r.demands[team].Max(r.usedBy(team))
}

// largestPending returns the size of a team's largest pending task in a rack.
func (c *Controller) largestPending(r *rack, team cluster.TeamName) cluster.Resources {
	var size cluster.Resources
	for _, a := range r.list {
		if j := c.jobs[a.id]; a.id.Team == team && a.pending > 0 && j != nil {
			size = size.Max(c.declaredSize(j))
		}
	}
	return size
}

// balanceTeam computes a team's next grants from the demand in owned racks and
// the requests of other owners, and writes them if they have changed.
func (c *Controller) balanceTeam(g *grants) {
	limit := c.limit(g.team)
	next := make(map[cluster.RackID]cluster.Resources, len(g.row))
	for id, v := range g.row {
		next[id] = v
	}
	spare := limit.Sub(g.sum())
	g.yielding = nil
	g.topJobs = c.topJobs(g.team)
	c.reduceToLimit(g, next, &spare)
	missing := c.raiseGrants(g, next, &spare)
	c.serveRequests(g, next, &spare)
	if !missing.IsZero() {
		c.requestGrants(g, missing)
	}
	if !sameGrants(g.row, next) {
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
func (c *Controller) transferable(r *rack, to cluster.RackID, g *grants, grant cluster.Resources) cluster.Resources {
	if r.phase != phaseActive || r.unfenced || r.handover || r.claiming {
		return cluster.Resources{}
	}
	keep := r.usedBy(g.team)
	if !g.hasPrecedence(to, r.id) {
		keep = keep.Max(c.demand(r, g.team))
	}
	return grant.Sub(keep).Max(cluster.Resources{})
}

// exceedsLimit reports whether a job can't start under its team's limit. Such a
// job gets no grant, because other jobs could use it.
func (c *Controller) overLimit(j *job) bool {
	n, size := j.spec.TaskCount()
	if j.isGang() {
		size = size.Times(int64(n))
	}
	return !size.Fits(c.limit(j.id.Team))
}

// topJobs returns, for each rack, the job that has precedence over the team's
// other jobs there.
func (c *Controller) topJobs(team cluster.TeamName) map[cluster.RackID]*job {
	first := map[cluster.RackID]*job{}
	for _, j := range c.jobs {
		if j.id.Team != team || !j.active() || j.cancel || c.overLimit(j) {
			continue
		}
		for _, id := range j.racks {
			if first[id] == nil || j.precedes(first[id]) {
				first[id] = j
			}
		}
	}
	return first
}

// hasPrecedence reports whether a team's jobs in rack a have precedence over
// those in rack b: by priority, then by age, then by the name of the rack. Every
// daemon reads the same job rows, so that two racks do not move a remainder back
// and forth.
func (g *grants) hasPrecedence(a, b cluster.RackID) bool {
	first, second := g.topJobs[a], g.topJobs[b]
	switch {
	case first == nil || second == nil:
		return first != nil
	case first == second:
		return a < b
	}
	return first.precedes(second)
}

// precedes reports whether a job has precedence over another job of its team: by
// priority, then by age, then by name.
func (j *job) precedes(other *job) bool {
	switch {
	case j.spec.Priority != other.spec.Priority:
		return j.spec.Priority > other.spec.Priority
	case !j.submitted.Equal(other.submitted):
		return j.submitted.Before(other.submitted)
	}
	return j.id.Name < other.id.Name
}

// reduceToLimit lowers unused grants of owned racks while the sum is above the
// limit, that is, while unallocated is negative.
func (c *Controller) reduceToLimit(g *grants, next map[cluster.RackID]cluster.Resources, spare *cluster.Resources) {
	if !spare.Negative() {
		return
	}
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.unfenced || r.handover || r.claiming {
			continue
		}
		over := cluster.Resources{}.Sub(*spare).Max(cluster.Resources{})
		unused := next[r.id].Sub(r.usedBy(g.team)).Max(cluster.Resources{}).Min(over)
		next[r.id] = next[r.id].Sub(unused)
		*spare = spare.Add(unused)
	}
}

// raiseGrants raises the grants of owned racks to their demand, from the
// unallocated part of the limit and from other owned racks; it returns what is
// still missing.
func (c *Controller) raiseGrants(g *grants, next map[cluster.RackID]cluster.Resources, spare *cluster.Resources) cluster.Resources {
	var missing cluster.Resources
	var donors []*rack
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.handover {
			continue
		}
		lack := c.demand(r, g.team).Max(r.frozen[g.team]).Sub(next[r.id]).Max(cluster.Resources{})
		if lack.IsZero() {
			continue
		}
		got := lack.Min(spare.Max(cluster.Resources{}))
		next[r.id] = next[r.id].Add(got)
		*spare = spare.Sub(got)
		lack = lack.Sub(got)
		if !lack.IsZero() {
			if donors == nil {
				donors = c.donors(g, next)
			}
			lack = c.transferFromDonors(g, next, donors, r, lack)
		}
		missing = missing.Add(lack)
	}
	return missing
}

// donors returns the owned racks whose grant is not fully used.
func (c *Controller) donors(g *grants, next map[cluster.RackID]cluster.Resources) []*rack {
	donors := []*rack{}
	for _, r := range c.rackOrder {
		if r.phase == phaseActive && positive(next[r.id].Sub(r.usedBy(g.team))) {
			donors = append(donors, r)
		}
	}
	return donors
}

// transferFromDonors moves transferable grant from other owned racks to a rack
// and returns what it still lacks.
func (c *Controller) transferFromDonors(g *grants, next map[cluster.RackID]cluster.Resources, donors []*rack, to *rack, lack cluster.Resources) cluster.Resources {
	for _, r := range donors {
		if r == to || lack.IsZero() {
			continue
		}
		part := c.transferable(r, to.id, g, next[r.id]).Min(lack)
		next[r.id] = next[r.id].Sub(part)
		next[to.id] = next[to.id].Add(part)
		lack = lack.Sub(part)
	}
	return lack
}

// serveRequests moves unused grant to racks of other owners that requested it.
// An owned rack that has too little to transfer and has no precedence starts
// nothing for the team until the request is served.
func (c *Controller) serveRequests(g *grants, next map[cluster.RackID]cluster.Resources, spare *cluster.Resources) {
	if spare.Negative() {
		return
	}
	ids := make([]cluster.RackID, 0, len(g.requests))
	for id := range g.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		req := g.requests[id]
		lack := req.target.Sub(next[id]).Max(cluster.Resources{})
		if c.now.After(req.expires) || lack.IsZero() {
			delete(g.requests, id)
			continue
		}
		for _, r := range c.rackOrder {
			if r.id == id {
				continue
			}
			part := c.transferable(r, id, g, next[r.id]).Min(lack)
			next[r.id] = next[r.id].Sub(part)
			next[id] = next[id].Add(part)
			lack = lack.Sub(part)
			if !lack.IsZero() && g.hasPrecedence(id, r.id) {
				if g.yielding == nil {
					g.yielding = map[cluster.RackID]bool{}
				}
				g.yielding[r.id] = true
			}
		}
	}
}

// handleGrantRequest stores the request of another owner for the next balancing.
func (c *Controller) grantRequested(m *peer.GrantRequest) {
	g := c.grantsFor(m.Team)
	g.requests[m.Rack] = grantTarget{target: g.row[m.Rack].Add(m.Amount), expires: c.now.Add(grantRequestTTL)}
}

// requestGrants requests the missing grant from the owners of other racks.
func (c *Controller) requestGrants(g *grants, missing cluster.Resources) {
	if c.now.Before(g.requestedAt.Add(grantRequestInterval)) {
		return
	}
	g.requestedAt = c.now
	for _, r := range c.rackOrder {
		if r.phase != phaseActive {
			continue
		}
		lack := c.demand(r, g.team).Sub(g.row[r.id]).Max(cluster.Resources{}).Min(missing)
		if lack.IsZero() {
			continue
		}
		for _, to := range c.grantOwners(g) {
			c.send(to, &peer.GrantRequest{Team: g.team, Rack: r.id, Amount: lack})
		}
	}
}

// grantOwners returns the other live daemons that own racks with a grant of the team.
func (c *Controller) grantOwners(g *grants) []cluster.DaemonID {
	set := map[cluster.DaemonID]bool{}
	for id, v := range g.row {
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
