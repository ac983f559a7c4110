package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// maxExpiredJobs bounds the job rows deleted by one transaction.
	maxExpiredJobs = 100
	// expiryRecheckDelay is the time after which a row that this daemon may not
	// delete yet, or failed to delete, is checked again.
	expiryRecheckDelay = 10 * time.Second
)

// jobExpiry is the time at which the row of an ended job is deleted.
type jobExpiry struct {
	deleteAt time.Time
	jobID    cluster.JobID
}

// ingestJob applies a job row unless a newer version is known already.
func (c *Controller) ingestJob(row platform.Row) {
	id, ok := parseJobID(row.Key[len(prefixJob):])
	if !ok {
		return
	}
	old := c.jobs[id]
	if old != nil && row.Version <= old.version {
		return
	}
	if row.Deleted {
		delete(c.jobs, id)
		c.quota.Remove(c.now, quotaName(id))
		c.health.ForgetJob(id)
		return
	}
	j, err := decodeJob(row.Key, row.Value)
	if err != nil {
		c.reportMalformedRow(row.Key, err)
		return
	}
	j.id, j.version = id, row.Version
	if old != nil {
		j.gang, j.writeInFlight, j.notBefore, j.endCheckQueued = old.gang, old.writeInFlight, old.notBefore, old.endCheckQueued
		*old = *j
		j = old
	} else {
		c.jobs[id] = j
	}
	c.countMemory(j)
	c.trackGang(j)
	c.applyJobChange(j)
}

// applyJobChange applies the new state of a job to its tasks on owned racks.
func (c *Controller) applyJobChange(j *job) {
	if !j.active() {
		c.expirations = append(c.expirations, jobExpiry{j.endedAt.Add(c.cfg.Retention), j.id})
	}
	for _, r := range c.sortedRacks {
		a := r.assignments[j.id]
		if a == nil {
			continue
		}
		a.needsRequeue = true
		if j.cancelRequested {
			for _, t := range a.tasks {
				c.stopTask(t)
			}
		} else if j.active() {
			c.applyTaskCount(a, j)
		}
	}
	c.queueEndCheck(j.id)
}

// queueEndCheck adds a job that may have ended to the jobs that recordEndedJobs
// checks, if it is active and this daemon owns its home rack.
func (c *Controller) queueEndCheck(id cluster.JobID) {
	j := c.jobs[id]
	if j == nil || j.endCheckQueued || !j.active() || !c.ownsHomeRack(j) {
		return
	}
	j.endCheckQueued = true
	c.endCheckQueue = append(c.endCheckQueue, id)
}

// ownsHomeRack reports whether this daemon owns the job's home rack. The owner of
// the home rack records the end of the job, starts the rounds of a gang job and
// scales a declared job.
func (c *Controller) ownsHomeRack(j *job) bool {
	r := c.racks[j.homeRack]
	return r != nil && r.phase == phaseActive
}

// queueHomeEndChecks queues an end check for every job whose home rack has been taken over.
func (c *Controller) queueHomeEndChecks(r *rack) {
	for _, j := range c.sortedJobs() {
		if j.homeRack == r.id {
			c.queueEndCheck(j.id)
		}
	}
}

// sortedJobs returns all known jobs by team and name.
func (c *Controller) sortedJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.id.Team != b.id.Team {
			return compareStrings(string(a.id.Team), string(b.id.Team))
		}
		return compareStrings(string(a.id.Name), string(b.id.Name))
	})
	return jobs
}

// compareStrings orders strings by bytes.
func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ingestRemoteRow stores an assignment row of another owner's rack if it is one
// of those that the end of a job depends on.
func (c *Controller) ingestRemoteRow(row platform.Row, id cluster.JobID, v assignRow) {
	old, ok := c.remoteAssignments[row.Key]
	j := c.jobs[id]
	if !ok || row.Version <= old.version || j == nil {
		return
	}
	if row.Deleted {
		v = assignRow{}
	}
	c.remoteAssignments[row.Key] = remoteAssignment{version: row.Version, row: v, deleted: row.Deleted}
	c.queueEndCheck(id)
}

// notifyHomeOwner sends an assignment row whose tasks have all ended, or any row
// of a gang job, to the owner of the job's home rack.
func (c *Controller) notifyHomeOwner(a *assignment) {
	j := c.jobs[a.id]
	if j == nil || a.dirty || a.endedCount < len(a.tasks) && !j.isGang() {
		return
	}
	c.queueEndCheck(a.id)
	home := c.racks[j.homeRack]
	if home == nil || home.owner == c.cfg.Self || home.owner == "" {
		return
	}
	value, err := a.encode()
	if err != nil {
		return
	}
	row := platform.Row{Key: assignKey(a.rack.id, a.id), Value: value, Version: a.version}
	c.send(home.owner, &peer.AssignNotice{Rack: a.rack.id, Rows: []platform.Row{row}})
}

// recordEndedJobs writes the end of each queued job whose tasks have all ended.
func (c *Controller) recordEndedJobs() {
	if len(c.endCheckQueue) == 0 {
		return
	}
	ids := c.endCheckQueue
	c.endCheckQueue = nil
	var missing []string
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		j.endCheckQueued = false
		if !j.active() || !c.ownsHomeRack(j) {
			continue
		}
		if j.writeInFlight || !c.storeUsable() || c.now.Before(j.notBefore) {
			c.queueEndCheck(id)
			continue
		}
		missing = append(missing, c.recordJobEnd(j)...)
	}
	if len(missing) > 0 {
		c.readRemoteRows(missing)
	}
}

// readRemoteRows reads assignment rows of other owners for the first time; the poll keeps them up to date.
func (c *Controller) readRemoteRows(keys []string) {
	c.readRows(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		if err != nil {
			for _, key := range keys {
				delete(c.remoteAssignments, key)
				if _, id, ok := parseAssignKey(key); ok {
					c.queueEndCheck(id)
				}
			}
			return
		}
		c.store.minReadVersion = min(c.store.minReadVersion, reply.AsOf)
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
	})
}

// recordJobEnd writes the end of a job if every task has ended. It returns the
// keys of rows that have to be read first.
func (c *Controller) recordJobEnd(j *job) (missing []string) {
	total, _ := j.spec.TaskCount()
	states := make(map[int]cluster.TaskState, total)
	change := journal.Change{Checks: []platform.Check{
		{Key: jobKey(j.id), Version: j.version}, {Key: rackKey(j.homeRack), Version: c.racks[j.homeRack].version},
	}}
	durable := true
	for _, id := range j.racks {
		key := assignKey(id, j.id)
		version, ok := c.collectTaskStates(c.racks[id], j, key, states, &missing)
		durable = durable && ok
		change.Checks = append(change.Checks, platform.Check{Key: key, Version: version})
		if version != 0 {
			change.Deletes = append(change.Deletes, key)
		}
	}
	if !durable || len(missing) > 0 {
		return missing
	}
	for i := range total {
		if s, ok := states[i]; !ok && !j.cancelRequested || ok && !s.Terminal() {
			return nil
		}
	}
	if c.isService(j.id) && !j.cancelRequested {
		return nil
	}
	c.commitJobEnd(j, states, change)
	return nil
}

// collectTaskStates adds the states of a job's tasks in one rack to states and
// returns the version of the assignment row, or zero if there is none. It returns
// false if tasks have not ended, their states are not durable yet or the row has
// to be read first.
func (c *Controller) collectTaskStates(r *rack, j *job, key string, states map[int]cluster.TaskState, missing *[]string) (cluster.Version, bool) {
	if r != nil && r.phase == phaseActive {
		delete(c.remoteAssignments, key)
		a := r.assignments[j.id]
		if a == nil {
			return 0, true
		}
		for _, t := range a.tasks {
			states[t.index] = t.state
		}
		if a.endedCount == len(a.tasks) && (a.dirty || len(a.acks) > 0 || r.flushInFlight || a.moveInFlight) {
			// The row is about to be written or moved; the check is repeated afterwards.
			c.queueEndCheck(j.id)
			return 0, false
		}
		return a.version, a.endedCount == len(a.tasks)
	}
	remote, ok := c.remoteAssignments[key]
	if !ok {
		c.remoteAssignments[key] = remoteAssignment{}
		*missing = append(*missing, key)
		return 0, false
	}
	for _, tr := range remote.row.Tasks {
		states[int(tr.Index)] = cluster.TaskState(tr.State)
	}
	if remote.deleted {
		return 0, true
	}
	return remote.version, true
}

// commitJobEnd commits the final state of a job and deletes its assignment rows.
func (c *Controller) commitJobEnd(j *job, states map[int]cluster.TaskState, change journal.Change) {
	next := *j
	next.taskCounts = make([]int, cluster.TaskStopped+1)
	for _, s := range states {
		next.taskCounts[s]++
	}
	next.state, next.endedAt = finalState(j, next.taskCounts), c.now
	value, err := next.encode()
	if err != nil {
		c.reportMalformedRow(jobKey(j.id), err)
		return
	}
	change.Puts = append(change.Puts, platform.Put{Key: jobKey(j.id), Value: value})
	j.writeInFlight = true
	c.commit(change, func(version cluster.Version, err error) {
		j.writeInFlight = false
		if err != nil {
			c.jobEndWriteFailed(j, err)
			return
		}
		c.cfg.Log.Info().Str("job", j.id.String()).Str("state", next.state.String()).Dur("took", c.now.Sub(j.submittedAt)).
			Msg("rack: job ended")
		c.ingestRow(platform.Row{Key: jobKey(j.id), Value: value, Version: version})
		c.dropJobAssignments(j, version)
	})
}

// jobEndWriteFailed schedules another end check after the end of a job could not be written.
func (c *Controller) jobEndWriteFailed(j *job, err error) {
	j.notBefore = c.now.Add(c.jitter(rowRetryDelay))
	c.cfg.Log.Warn().Err(err).Str("job", j.id.String()).Msg("rack: failed to record the end of a job")
	if journal.IsKind(err, journal.KindUnavailable) {
		c.queueEndCheck(j.id)
		return
	}
	// One of the rows has changed or may have: all of them are read again.
	keys := []string{jobKey(j.id)}
	for _, id := range j.racks {
		keys = append(keys, assignKey(id, j.id))
	}
	c.readRows(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
		c.queueEndCheck(j.id)
	})
}

// dropJobAssignments drops the assignments of a job whose rows have been deleted.
func (c *Controller) dropJobAssignments(j *job, version cluster.Version) {
	for _, id := range j.racks {
		delete(c.remoteAssignments, assignKey(id, j.id))
		if r := c.racks[id]; r != nil {
			if a := r.assignments[j.id]; a != nil && a.version < version {
				c.dropAssignment(a, version)
			}
		}
	}
}

// finalState returns the final state of a job from the number of its tasks in each state.
func finalState(j *job, counts []int) JobState {
	switch {
	case counts[cluster.TaskUnknown] > 0:
		return JobUnknown
	case j.cancelRequested:
		return JobCancelled
	case counts[cluster.TaskFailed] > 0:
		return JobFailed
	case counts[cluster.TaskStopped] > 0:
		return JobCancelled
	}
	return JobFinished
}

// keepDeclaredRow reports whether the row of an ended job must be kept because
// the job is still declared: without the row it would be submitted again.
func (c *Controller) keepDeclaredRow(j *job) bool {
	return j.declaredVersion != 0 && !j.cancelRequested && c.config.Jobs[j.id] != nil
}

// deleteExpiredJobs deletes the rows of jobs that ended longer than the retention time ago.
func (c *Controller) deleteExpiredJobs() {
	if len(c.expirations) == 0 || !c.storeUsable() {
		return
	}
	var change journal.Change
	kept := c.expirations[:0]
	var due []jobExpiry
	for _, e := range c.expirations {
		j := c.jobs[e.jobID]
		switch {
		case j == nil || j.active():
		case c.now.Before(e.deleteAt) || len(due) >= maxExpiredJobs:
			kept = append(kept, e)
		case !c.ownsHomeRack(j) || j.writeInFlight || c.keepDeclaredRow(j):
			kept = append(kept, jobExpiry{c.now.Add(expiryRecheckDelay), e.jobID})
		default:
			due = append(due, e)
			j.writeInFlight = true
			change.Checks = append(change.Checks, platform.Check{Key: jobKey(e.jobID), Version: j.version})
			change.Deletes = append(change.Deletes, jobKey(e.jobID))
		}
	}
	c.expirations = kept
	if len(due) == 0 {
		return
	}
	c.commit(change, func(version cluster.Version, err error) {
		for _, e := range due {
			if j := c.jobs[e.jobID]; j != nil {
				j.writeInFlight = false
			}
			if err != nil {
				c.expirations = append(c.expirations, jobExpiry{c.now.Add(c.jitter(expiryRecheckDelay)), e.jobID})
				continue
			}
			c.ingestRow(platform.Row{Key: jobKey(e.jobID), Version: version, Deleted: true})
		}
	})
}
