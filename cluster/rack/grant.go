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
	// grantInterval gathers changes of a team's grants into one write.
	grantInterval = 200 * time.Millisecond
	// requestInterval separates requests for grant to other owners; a request expires after requestLife.
	requestInterval = 500 * time.Millisecond
	requestLife     = 2 * time.Second
	// excessDelay is how long a lowered limit waits for tasks to end before it stops some.
	excessDelay = 5 * time.Second
)

// grants is the row of one team and what is under way to change it.
type grants struct {
	team    cluster.TeamName
	version cluster.Version
	limit   cluster.Resources
	row     map[cluster.RackID]cluster.Resources
	// lowering holds the grants of a transaction in flight or of unknown result
	// that are lower than the row's; the lower value counts.
	lowering  map[cluster.RackID]cluster.Resources
	writing   bool
	notBefore time.Time
	// asked is when other owners were last asked; requests are what others asked for.
	asked    time.Time
	requests map[cluster.RackID]grantTarget
	// overSince is when the sum was first found above the configured limit.
	overSince time.Time
	// yield holds owned racks that leave what becomes free to a request of work that goes first.
	yield map[cluster.RackID]bool
	// first is the job that goes first on each rack.
	first map[cluster.RackID]*job
}

// grantTarget is a grant that a rack of another owner wants to reach.
type grantTarget struct {
	target  cluster.Resources
	expires time.Time
}

func (c *Controller) grantsFor(team cluster.TeamName) *grants {
	g, ok := c.grants[team]
	if !ok {
		g = &grants{team: team, row: map[cluster.RackID]cluster.Resources{}, requests: map[cluster.RackID]grantTarget{}}
		c.grants[team] = g
	}
	return g
}

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
	g.take(v)
	c.require(g.sum().Fits(g.limit), invariant.Limit, "grants of team %s are %s of %s", g.team, g.sum(), g.limit)
}

func (g *grants) take(v grantsRow) {
	g.limit = cluster.Resources{CPU: cluster.CPU(v.CPU), Memory: cluster.Bytes(v.Mem), Accelerators: v.Acc}
	g.row = make(map[cluster.RackID]cluster.Resources, len(v.Grants))
	for _, e := range v.Grants {
		g.row[cluster.RackID(e.Rack)] = cluster.Resources{CPU: cluster.CPU(e.CPU), Memory: cluster.Bytes(e.Mem), Accelerators: e.Acc}
	}
}

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

// effective returns the grant that counts for starts: the lowest that may be in force.
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
		// Nothing starts until the lowered limit is met: rows seen at different
		// times would give the racks parts that add up to more than it.
		return v.Min(r.usedBy(team))
	}
	return v
}

// targetUnder scales a grant down to the configured limit if the sum of the grants is above it.
func (c *Controller) targetUnder(g *grants, v cluster.Resources) cluster.Resources {
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

func (c *Controller) limit(team cluster.TeamName) cluster.Resources {
	if t := c.config.Teams[team]; t != nil {
		return t.Limit
	}
	return cluster.Resources{}
}

// usedBy returns what a team uses in a rack, attempts that are being stopped included.
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

// available returns what a team may still start in a rack.
func (c *Controller) available(r *rack, team cluster.TeamName) cluster.Resources {
	if g := c.grants[team]; g != nil && g.yield[r.id] {
		return cluster.Resources{}
	}
	used := r.usedBy(team).Max(r.frozen[team])
	return c.effective(r, team).Sub(used).Max(cluster.Resources{})
}

// balanceGrants raises the grants of owned racks with waiting work and gives up unused grant.
func (c *Controller) balanceGrants() {
	if !c.writable() || c.now.Before(c.nextBalance) {
		return
	}
	c.nextBalance = c.now.Add(grantInterval)
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
		if len(g.requests) > 0 || len(g.yield) > 0 || !g.sum().Fits(c.limit(team)) {
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
// what waits, as far as there is room. Work that others make room for counts
// even if there is none yet.
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
		if !waiting[team].Fits(free) && belowShare(r)[team] {
			room = free.Max(c.largestWaiting(r, team))
		}
		r.demands[team] = r.usedBy(team).Add(waiting[team].Min(room)).Add(urgent[team].Min(total))
	}
}

// demand returns what was last measured, and at least what the team uses.
func (c *Controller) demand(r *rack, team cluster.TeamName) cluster.Resources {
	return r.demands[team].Max(r.usedBy(team))
}

// largestWaiting returns the size of a team's largest waiting task in a rack.
func (c *Controller) largestWaiting(r *rack, team cluster.TeamName) cluster.Resources {
	var size cluster.Resources
	for _, a := range r.list {
		if j := c.jobs[a.id]; a.id.Team == team && a.pending > 0 && j != nil {
			size = size.Max(c.declaredSize(j))
		}
	}
	return size
}

// balanceTeam computes a team's next row from the demand on owned racks and the requests of others.
func (c *Controller) balanceTeam(g *grants) {
	limit := c.limit(g.team)
	next := make(map[cluster.RackID]cluster.Resources, len(g.row))
	for id, v := range g.row {
		next[id] = v
	}
	spare := limit.Sub(g.sum())
	g.yield = nil
	g.first = c.firstJobs(g.team)
	c.shed(g, next, &spare)
	missing := c.raise(g, next, &spare)
	c.serveRequests(g, next, &spare)
	if !missing.IsZero() {
		c.askForGrant(g, missing)
	}
	if !sameGrants(g.row, next) {
		c.writeGrants(g, next)
	}
	c.stopExcess(g)
}

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

// movable returns the grant of an owned rack that may move to another rack:
// what no running or waiting work needs, or all that is unused if the other
// rack's work goes first. Without the latter, remainders of a scarce limit that
// are too small for any task would stay on every rack. A rack that is not
// fully fenced has none.
func (c *Controller) movable(r *rack, to cluster.RackID, g *grants, grant cluster.Resources) cluster.Resources {
	if r.phase != phaseActive || r.unfenced || r.handover || r.claiming {
		return cluster.Resources{}
	}
	keep := r.usedBy(g.team)
	if !g.goesFirst(to, r.id) {
		keep = keep.Max(c.demand(r, g.team))
	}
	return grant.Sub(keep).Max(cluster.Resources{})
}

// overLimit reports whether a job can't start under its team's limit; it gets no grant that others could use.
func (c *Controller) overLimit(j *job) bool {
	n, size := j.spec.TaskCount()
	if j.isGang() {
		size = size.Times(int64(n))
	}
	return !size.Fits(c.limit(j.id.Team))
}

// firstJobs returns the team's job that goes first on each rack.
func (c *Controller) firstJobs(team cluster.TeamName) map[cluster.RackID]*job {
	first := map[cluster.RackID]*job{}
	for _, j := range c.jobs {
		if j.id.Team != team || !j.active() || j.cancel || c.overLimit(j) {
			continue
		}
		for _, id := range j.racks {
			if first[id] == nil || j.before(first[id]) {
				first[id] = j
			}
		}
	}
	return first
}

// goesFirst reports whether a team's work on rack a goes before that on rack
// b: by priority, then by age, then by rack. Every daemon sees the same job
// rows, so that two racks do not pass a remainder back and forth.
func (g *grants) goesFirst(a, b cluster.RackID) bool {
	first, second := g.first[a], g.first[b]
	switch {
	case first == nil || second == nil:
		return first != nil
	case first == second:
		return a < b
	}
	return first.before(second)
}

// before orders jobs of a team by priority and age.
func (j *job) before(other *job) bool {
	switch {
	case j.spec.Priority != other.spec.Priority:
		return j.spec.Priority > other.spec.Priority
	case !j.submitted.Equal(other.submitted):
		return j.submitted.Before(other.submitted)
	}
	return j.id.Name < other.id.Name
}

// shed lowers unused grants of owned racks while the sum is above the limit.
func (c *Controller) shed(g *grants, next map[cluster.RackID]cluster.Resources, spare *cluster.Resources) {
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

// raise gives owned racks what they lack from the unallocated part of the
// limit and from other owned racks; it returns what is still missing.
func (c *Controller) raise(g *grants, next map[cluster.RackID]cluster.Resources, spare *cluster.Resources) cluster.Resources {
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
			lack = c.takeFromOwn(g, next, donors, r, lack)
		}
		missing = missing.Add(lack)
	}
	return missing
}

// donors returns the owned racks with grant that is not used.
func (c *Controller) donors(g *grants, next map[cluster.RackID]cluster.Resources) []*rack {
	donors := []*rack{}
	for _, r := range c.rackOrder {
		if r.phase == phaseActive && positive(next[r.id].Sub(r.usedBy(g.team))) {
			donors = append(donors, r)
		}
	}
	return donors
}

func (c *Controller) takeFromOwn(g *grants, next map[cluster.RackID]cluster.Resources, donors []*rack, to *rack, lack cluster.Resources) cluster.Resources {
	for _, r := range donors {
		if r == to || lack.IsZero() {
			continue
		}
		part := c.movable(r, to.id, g, next[r.id]).Min(lack)
		next[r.id] = next[r.id].Sub(part)
		next[to.id] = next[to.id].Add(part)
		lack = lack.Sub(part)
	}
	return lack
}

// serveRequests moves unused grant to the racks of other owners that asked for it.
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
			part := c.movable(r, id, g, next[r.id]).Min(lack)
			next[r.id] = next[r.id].Sub(part)
			next[id] = next[id].Add(part)
			lack = lack.Sub(part)
			if !lack.IsZero() && g.goesFirst(id, r.id) {
				if g.yield == nil {
					g.yield = map[cluster.RackID]bool{}
				}
				g.yield[r.id] = true
			}
		}
	}
}

func (c *Controller) grantRequested(m *peer.GrantRequest) {
	g := c.grantsFor(m.Team)
	g.requests[m.Rack] = grantTarget{target: g.row[m.Rack].Add(m.Amount), expires: c.now.Add(requestLife)}
}

// askForGrant asks the owners of other racks to release unused grant.
func (c *Controller) askForGrant(g *grants, missing cluster.Resources) {
	if c.now.Before(g.asked.Add(requestInterval)) {
		return
	}
	g.asked = c.now
	for _, r := range c.rackOrder {
		if r.phase != phaseActive {
			continue
		}
		lack := c.demand(r, g.team).Sub(g.row[r.id]).Max(cluster.Resources{}).Min(missing)
		if lack.IsZero() {
			continue
		}
		for _, to := range c.holdersOf(g) {
			c.send(to, &peer.GrantRequest{Team: g.team, Rack: r.id, Amount: lack})
		}
	}
}

// holdersOf returns the live owners of other racks with grant of the team.
func (c *Controller) holdersOf(g *grants) []cluster.DaemonID {
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
