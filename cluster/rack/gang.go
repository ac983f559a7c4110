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
	// holdDuration is how long a hold lasts if the round does not start.
	holdDuration = 5 * time.Second
	// holdMargin is the time that must be left of every hold when the round is committed.
	holdMargin = 2 * time.Second
	// holdReplyTimeout is how long another owner has to answer a hold request.
	holdReplyTimeout = time.Second
	// gangRetryDelay is the mean delay between attempts to hold capacity for all tasks of a gang job.
	gangRetryDelay = time.Second
	// gangCheckInterval is how often a gang job without tasks for a next round is checked.
	gangCheckInterval = 200 * time.Millisecond
	// reservationDuration is how long free capacity stays reserved for tasks that did not fit.
	reservationDuration = time.Minute
)

// gangStart is the progress of a gang start at the owner of the home rack.
// Capacity is held in one rack after the other in the order of their names, so
// that two gang jobs can't deadlock by each holding what the other needs.
type gangStart struct {
	// notBefore delays the next attempt.
	notBefore time.Time
	// holdExpiry is when the hold in each rack expires.
	holdExpiry map[cluster.RackID]time.Time
	// requestedRack is the rack whose owner was sent a hold request at requestedAt
	// and has not answered yet; empty if there is none.
	requestedRack cluster.RackID
	requestedAt   time.Time
}

// unfinishedTasks counts the unfinished tasks of a gang job.
type unfinishedTasks struct {
	// racks lists the racks with unfinished tasks by name.
	racks []cluster.RackID
	// byRack counts the tasks in each rack.
	byRack map[cluster.RackID]int
	// nextRoundTasks counts the tasks that wait for the round after the last one that
	// was started, lastRoundTasks those of that round or of earlier ones.
	nextRoundTasks, lastRoundTasks int
	// allCanStart is set if every task of the next round in an owned rack could start now.
	allCanStart bool
}

// isGang reports whether the tasks of the job start together.
func (j *job) isGang() bool {
	_, ok := j.spec.Workload.(*cluster.Gang)
	return ok
}

// processGangs starts the tasks of committed rounds and prepares the next rounds
// of jobs whose home rack this daemon owns.
func (c *Controller) processGangs() {
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive {
			continue
		}
		c.expireHolds(r)
		for _, a := range r.assignmentList {
			j := c.jobs[a.id]
			if j == nil || !j.isGang() || !j.active() || j.cancelRequested {
				continue
			}
			a.taskSize = c.declaredSize(j)
			c.abortRound(a, j)
			c.startRound(r, a, j)
		}
	}
	c.gangJobs = slices.DeleteFunc(c.gangJobs, func(id cluster.JobID) bool {
		j := c.jobs[id]
		return j == nil || !j.active()
	})
	for _, id := range c.gangJobs {
		if j := c.jobs[id]; c.ownsHomeRack(j) && !j.cancelRequested {
			c.prepareRound(j)
		}
	}
}

// trackGang adds an active gang job to those that are checked in every step.
func (c *Controller) trackGang(j *job) {
	if !j.isGang() || !j.active() {
		return
	}
	if i, ok := slices.BinarySearchFunc(c.gangJobs, j.id, compareJobIDs); !ok {
		c.gangJobs = slices.Insert(c.gangJobs, i, j.id)
	}
}

// lastRound returns the last round of a gang job that was started; the job's row
// may not show it yet.
func (c *Controller) lastRound(j *job) cluster.Attempt {
	round := max(cluster.Attempt(j.gangRound), firstAttempt(j.submittedAt)-1)
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

// abortRound moves the tasks of an aborted round to the next one.
func (c *Controller) abortRound(a *assignment, j *job) {
	for _, t := range a.tasks {
		if t.state.Terminal() || t.stopRequested || t.attempt > cluster.Attempt(j.abortedRound) || !j.idempotent() {
			continue
		}
		switch {
		case t.worker != nil:
			t.stopRequested = true
			c.queueStop(t)
		case c.canStart(t):
			c.nextAttempt(t)
		}
	}
}

// startRound starts the pending tasks of committed rounds.
func (c *Controller) startRound(r *rack, a *assignment, j *job) {
	if r.exchangeInFlight || r.handingOver || !r.failingSince.IsZero() || a.pendingCount == 0 {
		return
	}
	round := c.lastRound(j)
	for _, t := range a.tasks {
		if t.attempt > round || !c.canStart(t) {
			continue
		}
		w := c.consumeHold(r, j, a.taskSize)
		if w == nil {
			id, reason := r.placementTable.Place(placement.Request{Size: a.taskSize, Job: j.id})
			if reason != placement.Placed || !a.taskSize.Fits(c.availableGrant(r, j.id.Team)) {
				a.waitReason = "its gang has started; " + reason.String()
				return
			}
			w = r.workers[id]
		}
		c.startTask(r, j, t, w)
		r.addQueueUsage(j.id.Team, a.taskSize)
		r.placementTable.Unreserve(j.id)
		a.waitReason = ""
	}
}

// consumeHold releases the capacity that a hold keeps for one task and returns
// its worker, or nil if no held worker can take the task.
func (c *Controller) consumeHold(r *rack, j *job, size cluster.Resources) *worker {
	h := r.holdOf(j.id)
	for h != nil && len(h.workers) > 0 {
		w := r.workers[h.workers[0]]
		h.workers = h.workers[1:]
		if w == nil {
			continue
		}
		r.syncWorker(w)
		if r.closedReason(w) == "" && size.Fits(w.capacity.Sub(r.workerLoad(w))) && size.Fits(c.availableGrant(r, j.id.Team)) {
			return w
		}
	}
	return nil
}

// prepareRound holds capacity for all pending tasks of a gang job, then commits
// the next round. If tasks of the last round are unfinished while others wait for
// the next, it aborts the last round.
func (c *Controller) prepareRound(j *job) {
	if j.gang == nil {
		j.gang = &gangStart{holdExpiry: map[cluster.RackID]time.Time{}}
	}
	if j.writeInFlight || c.now.Before(j.gang.notBefore) {
		return
	}
	tasks, ok := c.countUnfinishedTasks(j)
	switch {
	case !ok || tasks.nextRoundTasks == 0:
		j.gang.notBefore = c.now.Add(gangCheckInterval)
	case tasks.lastRoundTasks > 0:
		if round := uint32(c.lastRound(j)); j.idempotent() && j.abortedRound < round && c.storeUsable() {
			c.writeJobRound(j, func(next *job) { next.abortedRound = round })
		}
	case tasks.allCanStart:
		c.holdAllRacks(j, tasks)
	}
}

// countUnfinishedTasks counts the unfinished tasks of a gang job; it returns false if
// rows of other owners have to be read first.
func (c *Controller) countUnfinishedTasks(j *job) (unfinishedTasks, bool) {
	unfinished := unfinishedTasks{byRack: map[cluster.RackID]int{}, allCanStart: true}
	round := c.lastRound(j)
	add := func(id cluster.RackID, attempt cluster.Attempt) {
		if attempt > round {
			unfinished.nextRoundTasks++
		} else {
			unfinished.lastRoundTasks++
		}
		unfinished.byRack[id]++
	}
	var missing []string
	for _, id := range j.racks {
		r, key := c.racks[id], assignKey(id, j.id)
		if r != nil && r.phase == phaseActive {
			if a := r.assignments[j.id]; a != nil {
				for _, t := range a.tasks {
					if !t.state.Terminal() {
						add(id, t.attempt)
						unfinished.allCanStart = unfinished.allCanStart && (c.canStart(t) || t.attempt <= round)
					}
				}
			}
		} else if remote, ok := c.remoteAssignments[key]; ok {
			for _, tr := range remote.row.Tasks {
				if !cluster.TaskState(tr.State).Terminal() {
					add(id, cluster.Attempt(tr.Attempt))
				}
			}
		} else {
			c.remoteAssignments[key] = remoteAssignment{}
			missing = append(missing, key)
		}
		if unfinished.byRack[id] > 0 {
			unfinished.racks = append(unfinished.racks, id)
		}
	}
	slices.Sort(unfinished.racks)
	if len(missing) > 0 {
		c.readRemoteRows(missing)
	}
	return unfinished, len(missing) == 0
}

// holdAllRacks requests or renews the next hold that is missing and commits the
// round once capacity is held in every rack.
func (c *Controller) holdAllRacks(j *job, tasks unfinishedTasks) {
	g := j.gang
	for _, id := range tasks.racks {
		if expires, ok := g.holdExpiry[id]; ok && c.now.Add(holdMargin).Before(expires) {
			continue
		}
		r := c.racks[id]
		switch {
		case r == nil || r.owner == "" || !c.isLive(r.owner):
			c.releaseHolds(j)
			return
		case r.phase == phaseActive:
			if !c.placeHold(r, j.id, tasks.byRack[id], c.declaredSize(j), holdDuration) {
				c.releaseHolds(j)
				return
			}
			g.holdExpiry[id] = c.now.Add(holdDuration)
		case g.requestedRack != id:
			g.requestedRack, g.requestedAt = id, c.now
			c.send(r.owner, &peer.HoldRequest{
				Job: j.id, Rack: id, Tasks: tasks.byRack[id], Size: c.declaredSize(j), Duration: holdDuration,
			})
			return
		case c.now.Sub(g.requestedAt) > holdReplyTimeout:
			c.releaseHolds(j)
			return
		default:
			return
		}
	}
	c.commitRound(j, tasks)
}

// commitRound records that the next round starts. While the table service is not
// available only a job in a single rack can start, because one exchange starts
// all of its tasks.
func (c *Controller) commitRound(j *job, tasks unfinishedTasks) {
	if !c.storeUsable() {
		if len(tasks.racks) == 1 {
			j.gangRound = uint32(c.lastRound(j)) + 1
			j.gang = nil
		}
		return
	}
	round := uint32(c.lastRound(j)) + 1
	c.cfg.Log.Info().Str("job", j.id.String()).Int("racks", len(tasks.racks)).Uint32("round", round).
		Msg("rack: capacity is held for every task of a gang job; committing the next round")
	c.writeJobRound(j, func(next *job) { next.gangRound = round })
}

// writeJobRound writes the job's row with a changed round or abort number and
// notifies the owners of its racks.
func (c *Controller) writeJobRound(j *job, edit func(*job)) {
	next := *j
	edit(&next)
	value, err := next.encode()
	if err != nil {
		c.reportMalformedRow(jobKey(j.id), err)
		return
	}
	j.writeInFlight = true
	row := platform.Row{Key: jobKey(j.id), Value: value}
	c.commit(journal.Change{
		Checks: []platform.Check{{Key: row.Key, Version: j.version}, {Key: rackKey(j.homeRack), Version: c.racks[j.homeRack].version}},
		Puts:   []platform.Put{{Key: row.Key, Value: value}},
	}, func(version cluster.Version, err error) {
		j.writeInFlight = false
		if err != nil {
			c.releaseHolds(j)
			c.rereadJob(j, err)
			return
		}
		j.gang = nil
		row.Version = version
		c.ingestRow(row)
		c.notifyRackOwners(row, j.id)
	})
}

// rereadJob reads a job's row after a failed write, unless the error shows that
// nothing was written.
func (c *Controller) rereadJob(j *job, err error) {
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	c.readRows(platform.ReadRequest{Keys: []string{jobKey(j.id)}}, func(reply platform.ReadReply, _ error) {
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
	})
}

// releaseHolds releases the holds of a gang job in all racks and delays the next attempt.
func (c *Controller) releaseHolds(j *job) {
	for _, id := range j.racks {
		r := c.racks[id]
		if r == nil {
			continue
		}
		if r.phase == phaseActive {
			c.releaseHold(r, j.id)
		} else if _, ok := j.holdExpiries()[id]; ok || j.gang != nil && j.gang.requestedRack == id {
			c.send(r.owner, &peer.HoldRelease{Job: j.id, Rack: id})
		}
	}
	j.gang = &gangStart{holdExpiry: map[cluster.RackID]time.Time{}, notBefore: c.now.Add(c.jitter(gangRetryDelay))}
}

// holdExpiries returns when the hold in each rack expires.
func (j *job) holdExpiries() map[cluster.RackID]time.Time {
	if j.gang == nil {
		return nil
	}
	return j.gang.holdExpiry
}
