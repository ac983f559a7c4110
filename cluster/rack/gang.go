package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// holdLife is how long a hold lasts without a start.
	holdLife = 5 * time.Second
	// holdMargin is what must be left of every hold when the start is decided.
	holdMargin = 2 * time.Second
	// holdTimeout is how long another owner has to answer.
	holdTimeout = time.Second
	// gangDelay separates attempts to hold all workers of a gang job.
	gangDelay = time.Second
	// gangScan is how often a job that runs is looked at.
	gangScan = 200 * time.Millisecond
	// gangReservation is how long room stays reserved for a gang job that did not fit.
	gangReservation = time.Minute
)

// gang is the progress of a gang start at the owner of the home rack. Racks are
// held one after the other in the order of their names, so that two gang jobs
// can't each hold what the other needs.
type gang struct {
	notBefore time.Time
	// until is when the hold of each rack expires.
	until   map[cluster.RackID]time.Time
	asking  cluster.RackID
	askedAt time.Time
}

// gangTasks are the unfinished tasks of a gang job, by rack.
type gangTasks struct {
	racks []cluster.RackID
	count map[cluster.RackID]int
	// ahead counts tasks whose attempt is after the last round, behind the others.
	ahead, behind int
	// ready says that every local task could start.
	ready bool
}

func (j *job) isGang() bool {
	_, ok := j.spec.Workload.(*cluster.Gang)
	return ok
}

// runGangs starts the tasks of decided rounds and prepares the next rounds of jobs at home here.
func (c *Controller) runGangs() {
	for _, r := range c.rackOrder {
		if r.phase != phaseActive {
			continue
		}
		c.expireHolds(r)
		for _, a := range r.list {
			j := c.jobs[a.id]
			if j == nil || !j.isGang() || !j.active() || j.cancel {
				continue
			}
			a.size = c.declaredSize(j)
			c.abortRound(a, j)
			c.startRound(r, a, j)
		}
	}
	c.gangs = slices.DeleteFunc(c.gangs, func(id cluster.JobID) bool {
		j := c.jobs[id]
		return j == nil || !j.active()
	})
	for _, id := range c.gangs {
		if j := c.jobs[id]; c.isHome(j) && !j.cancel {
			c.gatherGang(j)
		}
	}
}

// noteGang adds an active gang job to those that are looked at in every step.
func (c *Controller) noteGang(j *job) {
	if !j.isGang() || !j.active() {
		return
	}
	if i, ok := slices.BinarySearchFunc(c.gangs, j.id, compareJobs); !ok {
		c.gangs = slices.Insert(c.gangs, i, j.id)
	}
}

// roundOf returns the last round that was started, which the row may not show yet.
func (c *Controller) roundOf(j *job) cluster.Attempt {
	round := max(cluster.Attempt(j.round), firstAttempt(j.submitted)-1)
	for _, id := range j.racks {
		r := c.racks[id]
		if r == nil || r.assignments[j.id] == nil {
			continue
		}
		for _, t := range r.assignments[j.id].tasks {
			if t.worker != nil {
				round = max(round, t.attempt)
			}
		}
	}
	return round
}

// abortRound takes the tasks of an aborted round to the next one.
func (c *Controller) abortRound(a *assignment, j *job) {
	for _, t := range a.tasks {
		if t.state.Terminal() || t.stop || t.attempt > cluster.Attempt(j.abort) || !j.idempotent() {
			continue
		}
		switch {
		case t.worker != nil:
			t.stop = true
			c.orderStop(t)
		case c.ready(t):
			c.nextAttempt(t)
		}
	}
}

// startRound starts the waiting tasks of rounds that were decided.
func (c *Controller) startRound(r *rack, a *assignment, j *job) {
	if r.exchanging || r.handover || !r.errSince.IsZero() || a.pending == 0 {
		return
	}
	round := c.roundOf(j)
	for _, t := range a.tasks {
		if t.attempt > round || !c.ready(t) {
			continue
		}
		w := c.takeHeld(r, j, a.size)
		if w == nil {
			id, reason := r.table.Place(placement.Request{Size: a.size, Job: j.id})
			if reason != placement.Placed || !a.size.Fits(c.available(r, j.id.Team)) {
				a.waits = "its gang has started; " + reason.String()
				return
			}
			w = r.workers[id]
		}
		c.start(r, j, t, w)
		r.countUse(j.id.Team, a.size)
		r.table.Unreserve(j.id)
		a.waits = ""
	}
}

// takeHeld gives back one task's share of a hold and returns the worker it was on.
func (c *Controller) takeHeld(r *rack, j *job, size cluster.Resources) *worker {
	h := r.hold(j.id)
	for h != nil && len(h.workers) > 0 {
		w := r.workers[h.workers[0]]
		h.workers = h.workers[1:]
		if w == nil {
			continue
		}
		r.syncWorker(w)
		if r.closed(w) == "" && size.Fits(w.capacity.Sub(r.load(w))) && size.Fits(c.available(r, j.id.Team)) {
			return w
		}
	}
	return nil
}

// gatherGang holds workers for all waiting tasks of a job, then decides the next round.
func (c *Controller) gatherGang(j *job) {
	if j.gang == nil {
		j.gang = &gang{until: map[cluster.RackID]time.Time{}}
	}
	if j.writing || c.now.Before(j.gang.notBefore) {
		return
	}
	tasks, ok := c.gangTasks(j)
	switch {
	case !ok || tasks.ahead == 0:
		j.gang.notBefore = c.now.Add(gangScan)
	case tasks.behind > 0:
		if round := uint32(c.roundOf(j)); j.idempotent() && j.abort < round && c.writable() {
			c.writeRound(j, func(next *job) { next.abort = round })
		}
	case tasks.ready:
		c.holdAll(j, tasks)
	}
}

// gangTasks collects the unfinished tasks of a gang job; false if rows of other owners are not known yet.
func (c *Controller) gangTasks(j *job) (gangTasks, bool) {
	g := gangTasks{count: map[cluster.RackID]int{}, ready: true}
	round := c.roundOf(j)
	add := func(id cluster.RackID, attempt cluster.Attempt) {
		if attempt > round {
			g.ahead++
		} else {
			g.behind++
		}
		g.count[id]++
	}
	var missing []string
	for _, id := range j.racks {
		r, key := c.racks[id], assignKey(id, j.id)
		if r != nil && r.phase == phaseActive {
			if a := r.assignments[j.id]; a != nil {
				for _, t := range a.tasks {
					if !t.state.Terminal() {
						add(id, t.attempt)
						g.ready = g.ready && (c.ready(t) || t.attempt <= round)
					}
				}
			}
		} else if remote, ok := c.remote[key]; ok {
			for _, tr := range remote.row.Tasks {
				if !cluster.TaskState(tr.State).Terminal() {
					add(id, cluster.Attempt(tr.Attempt))
				}
			}
		} else {
			c.remote[key] = remoteRow{}
			missing = append(missing, key)
		}
		if g.count[id] > 0 {
			g.racks = append(g.racks, id)
		}
	}
	slices.Sort(g.racks)
	if len(missing) > 0 {
		c.readRemote(missing)
	}
	return g, len(missing) == 0
}

// holdAll takes the next step towards a hold on every rack.
func (c *Controller) holdAll(j *job, tasks gangTasks) {
	g := j.gang
	for _, id := range tasks.racks {
		if until, ok := g.until[id]; ok && c.now.Add(holdMargin).Before(until) {
			continue
		}
		r := c.racks[id]
		switch {
		case r == nil || r.owner == "" || !c.isLive(r.owner):
			c.giveUpHolds(j)
			return
		case r.phase == phaseActive:
			if !c.holdHere(r, j.id, tasks.count[id], c.declaredSize(j), holdLife) {
				c.giveUpHolds(j)
				return
			}
			g.until[id] = c.now.Add(holdLife)
		case g.asking != id:
			g.asking, g.askedAt = id, c.now
			c.send(r.owner, &peer.HoldRequest{
				Job: j.id, Rack: id, Tasks: tasks.count[id], Size: c.declaredSize(j), For: holdLife,
			})
			return
		case c.now.Sub(g.askedAt) > holdTimeout:
			c.giveUpHolds(j)
			return
		default:
			return
		}
	}
	c.decideRound(j, tasks)
}

// decideRound records that the round starts. Without the table service only a
// job in a single rack can start, because one exchange starts all of it.
func (c *Controller) decideRound(j *job, tasks gangTasks) {
	if !c.writable() {
		if len(tasks.racks) == 1 {
			j.round = uint32(c.roundOf(j)) + 1
			j.gang = nil
		}
		return
	}
	round := uint32(c.roundOf(j)) + 1
	c.cfg.Log.Info().Str("job", j.id.String()).Int("racks", len(tasks.racks)).Uint32("round", round).
		Msg("rack: every task of a gang job has room")
	c.writeRound(j, func(next *job) { next.round = round })
}

func (c *Controller) writeRound(j *job, edit func(*job)) {
	next := *j
	edit(&next)
	value, err := next.encode()
	if err != nil {
		c.malformed(jobKey(j.id), err)
		return
	}
	j.writing = true
	row := platform.Row{Key: jobKey(j.id), Value: value}
	c.commit(journal.Change{
		Checks: []platform.Check{{Key: row.Key, Version: j.version}, {Key: rackKey(j.home), Version: c.racks[j.home].version}},
		Puts:   []platform.Put{{Key: row.Key, Value: value}},
	}, func(version cluster.Version, err error) {
		j.writing = false
		if err != nil {
			c.giveUpHolds(j)
			c.rereadJob(j, err)
			return
		}
		j.gang = nil
		row.Version = version
		c.ingest(row)
		c.tellOwners(row, j.id)
	})
}

// rereadJob reads a job's row after a write of it that failed.
func (c *Controller) rereadJob(j *job, err error) {
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	c.read(platform.ReadRequest{Keys: []string{jobKey(j.id)}}, func(reply platform.ReadReply, _ error) {
		for _, row := range reply.Rows {
			c.ingest(row)
		}
	})
}

// giveUpHolds gives back what is held for a gang job and waits before the next attempt.
func (c *Controller) giveUpHolds(j *job) {
	for _, id := range j.racks {
		r := c.racks[id]
		if r == nil {
			continue
		}
		if r.phase == phaseActive {
			c.dropHold(r, j.id)
		} else if _, ok := j.gangUntil()[id]; ok || j.gang != nil && j.gang.asking == id {
			c.send(r.owner, &peer.HoldRelease{Job: j.id, Rack: id})
		}
	}
	j.gang = &gang{until: map[cluster.RackID]time.Time{}, notBefore: c.now.Add(c.jitter(gangDelay))}
}

func (j *job) gangUntil() map[cluster.RackID]time.Time {
	if j.gang == nil {
		return nil
	}
	return j.gang.until
}
