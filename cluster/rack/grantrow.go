package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// writeGrants writes a team's grants row. The transaction checks the rows of the
// racks whose grant it lowers, so that a late write can't lower the grant of a
// rack that has a new owner.
func (c *Controller) writeGrants(g *teamGrants, next map[cluster.RackID]cluster.Resources) {
	// While the sum is above a lowered limit the row keeps the sum as its limit.
	var sum cluster.Resources
	for _, v := range next {
		sum = sum.Add(v)
	}
	limit := c.teamLimit(g.team).Max(sum)
	value, err := encodeGrants(limit, next)
	if err != nil {
		c.reportMalformedRow(grantsKey(g.team), err)
		return
	}
	key := grantsKey(g.team)
	change := journal.Change{
		Checks: []platform.Check{{Key: key, Version: g.version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	}
	g.pendingReductions = map[cluster.RackID]cluster.Resources{}
	for _, r := range c.sortedRacks {
		if before := g.byRack[r.id]; !before.Fits(next[r.id]) {
			g.pendingReductions[r.id] = next[r.id]
			change.Checks = append(change.Checks, platform.Check{Key: rackKey(r.id), Version: r.version})
		}
	}
	g.writeInFlight = true
	c.commit(change, func(version cluster.Version, err error) {
		g.writeInFlight = false
		g.notBefore = c.now.Add(balanceInterval)
		if err != nil {
			c.grantWriteFailed(g, err)
			return
		}
		before := g.byRack
		c.ingestGrants(platform.Row{Key: key, Value: value, Version: version})
		g.pendingReductions = nil
		c.notifyGrantRaises(g, before, platform.Row{Key: key, Value: value, Version: version})
		c.cfg.Metrics.Counter("rack_grant_writes").Inc(1)
	})
}

// notifyGrantRaises sends the row to the owners of racks whose grant was raised.
func (c *Controller) notifyGrantRaises(g *teamGrants, before map[cluster.RackID]cluster.Resources, row platform.Row) {
	for _, r := range c.sortedRacks {
		if !g.byRack[r.id].Fits(before[r.id]) {
			c.send(r.owner, &peer.GrantRelease{Team: g.team, Row: row})
		}
	}
}

// grantWriteFailed reads the rows again after a failed write of a grants row,
// unless the error shows that nothing was written.
func (c *Controller) grantWriteFailed(g *teamGrants, err error) {
	if journal.IsKind(err, journal.KindUnavailable) {
		g.pendingReductions = nil
		return
	}
	// The grants row or the row of a rack has changed, or the result of the write
	// is unknown. The rows are read again; until then the lower grants count.
	g.writeInFlight = true
	req := platform.ReadRequest{Keys: []string{grantsKey(g.team)}}
	for _, r := range c.sortedRacks {
		if _, ok := g.pendingReductions[r.id]; ok {
			req.Keys = append(req.Keys, rackKey(r.id))
		}
	}
	c.rereadGrants(g, req)
}

// rereadGrants reads the rows after a failed write and repeats the read until it succeeds.
func (c *Controller) rereadGrants(g *teamGrants, req platform.ReadRequest) {
	c.readRows(req, func(reply platform.ReadReply, err error) {
		if err != nil {
			c.scheduleAt(laterTime(c.now.Add(c.jitter(rowRetryDelay)), c.store.retryAt), func() { c.rereadGrants(g, req) })
			return
		}
		g.writeInFlight, g.pendingReductions = false, nil
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
	})
}

// interruptExcess interrupts tasks above a lowered limit that did not end by
// themselves within the grace period.
func (c *Controller) interruptExcess(g *teamGrants) {
	if g.sum().Fits(c.teamLimit(g.team)) {
		g.excessSince = time.Time{}
		return
	}
	if g.excessSince.IsZero() {
		g.excessSince = c.now
	}
	if c.now.Sub(g.excessSince) < excessGracePeriod {
		return
	}
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive {
			continue
		}
		excess := r.usedBy(g.team).Sub(c.scaledToLimit(g, g.byRack[r.id]))
		for _, t := range c.interruptibleTasks(r, g.team) {
			if !anyPositive(excess) {
				break
			}
			excess = excess.Sub(t.size)
			if !t.stopRequested {
				c.interruptTask(t, "the limit of its team was lowered")
			}
		}
	}
}

// anyPositive reports whether any of the resources is above zero.
func anyPositive(r cluster.Resources) bool { return r.CPU > 0 || r.Memory > 0 || r.Accelerators > 0 }

// interruptibleTasks returns the running tasks of a team that may be interrupted,
// those that lose the least work first. Tasks that are being stopped come first,
// so that what they use counts as freed.
func (c *Controller) interruptibleTasks(r *rack, team cluster.TeamName) []*task {
	var tasks []*task
	for _, w := range r.sortedWorkers {
		for _, t := range w.tasks {
			j := c.jobs[t.assignment.id]
			if t.assignment.id.Team == team && j != nil && (t.stopRequested || t.state == cluster.TaskRunning && (j.idempotent() || j.spec.Checkpoints)) {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		switch pa, pb := c.jobs[a.assignment.id].spec.Priority, c.jobs[b.assignment.id].spec.Priority; {
		case a.stopRequested != b.stopRequested && a.stopRequested:
			return -1
		case a.stopRequested != b.stopRequested:
			return 1
		case pa != pb:
			return int(pa - pb)
		case !a.stateSince.Equal(b.stateSince):
			return b.stateSince.Compare(a.stateSince)
		}
		return compareTasks(a, b)
	})
	return tasks
}
