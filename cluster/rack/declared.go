package rack

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// declaredCheckInterval is how often the declared jobs are compared with the recorded ones.
const declaredCheckInterval = time.Second

// declaredState is the progress of applying the jobs that release notes declare.
type declaredState struct {
	// nextCheckAt is when the declared jobs are compared with the recorded ones again.
	nextCheckAt time.Time
	// scaling holds the jobs that are being scaled by a transaction in flight.
	scaling map[cluster.JobID]bool
}

// reconcileDeclaredJobs submits declared jobs once, scales them when their
// declaration changes and cancels them when it is withdrawn. A job that has no
// home rack yet is submitted by the owner of one rack, which is chosen by hash.
func (c *Controller) reconcileDeclaredJobs() {
	d := &c.declaredJobs
	if c.now.Before(d.nextCheckAt) || !c.storeUsable() || c.config.Version == 0 || c.draining {
		return
	}
	d.nextCheckAt = c.now.Add(declaredCheckInterval)
	if d.scaling == nil {
		d.scaling = map[cluster.JobID]bool{}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.config.Jobs), compareJobIDs) {
		c.reconcileDeclaredJob(c.config.Jobs[id])
	}
	var withdrawn []cluster.JobID
	for id, j := range c.jobs {
		if j.declaredVersion != 0 && j.declaredVersion <= c.config.Version && j.active() && !j.cancelRequested && c.ownsHomeRack(j) && c.config.Jobs[id] == nil {
			withdrawn = append(withdrawn, id)
		}
	}
	if len(withdrawn) > 0 {
		slices.SortFunc(withdrawn, compareJobIDs)
		c.cfg.Log.Info().Int("jobs", len(withdrawn)).Str("first", withdrawn[0].String()).Msg("rack: cancelling jobs whose declaration was withdrawn")
		c.addCancel(&Cancel{Jobs: withdrawn, internal: true})
	}
}

// compareJobIDs orders job identifiers by their text form.
func compareJobIDs(a, b cluster.JobID) int { return strings.Compare(a.String(), b.String()) }

// reconcileDeclaredJob submits, scales or replaces one declared job as needed.
func (c *Controller) reconcileDeclaredJob(spec *cluster.JobSpec) {
	j := c.jobs[spec.ID]
	switch {
	case c.declaredJobs.scaling[spec.ID] || c.submissions[spec.ID] != nil:
		// An earlier change of the job is still in progress.
	case j == nil:
		if r := c.submittingRack(spec.ID); r != nil && r.phase == phaseActive {
			if outcome, _ := c.admit(spec); outcome == Accepted {
				c.queueSubmission(&submission{spec: spec, declaredVersion: c.config.Version})
			}
		}
	case !c.ownsHomeRack(j) || j.writeInFlight || j.declaredVersion == 0:
		// Another daemon is responsible, the row is being written, or a caller submitted the job.
	case !j.active():
		if j.cancelRequested {
			// The job was withdrawn and is declared again: its old row is deleted
			// without waiting for the retention time.
			c.expirations = append(c.expirations, jobExpiry{c.now, j.id})
		}
	case !j.cancelRequested && !sameSpec(j.spec, spec):
		c.scaleJob(j, spec)
	}
}

// submittingRack returns the rack whose owner submits a declared job: the one with
// the highest hash of rack and job.
func (c *Controller) submittingRack(id cluster.JobID) *rack {
	var best *rack
	var bestHash uint64
	for _, r := range c.sortedRacks {
		if h := xxhash.Sum64String(string(r.id) + "\x00" + id.String()); best == nil || h > bestHash {
			best, bestHash = r, h
		}
	}
	return best
}

// scaleJob applies a changed declaration: new tasks are added to racks, and the
// owners of the racks end the tasks whose index is no longer part of the job.
func (c *Controller) scaleJob(j *job, spec *cluster.JobSpec) {
	before, _ := j.spec.TaskCount()
	after, size := spec.TaskCount()
	add := taskAddition{
		job: j.id, tasks: map[cluster.RackID][]taskRow{},
		editJob:    func(next *job) { next.spec, next.declaredVersion = spec, c.config.Version },
		stillValid: func(read *job) bool { return read.version == j.version || sameSpec(read.spec, j.spec) },
	}
	// A job that was larger before still has stopped tasks at some of the indexes;
	// the owners of their racks start them again.
	known := c.knownIndexes(j)
	for index := before; index < after; index++ {
		if known[index] {
			continue
		}
		candidates := c.rackCandidates(size)
		if len(candidates) == 0 {
			return
		}
		id := c.replicaRack(j, candidates, add.tasks)
		add.tasks[id] = append(add.tasks[id], taskRow{Index: int32(index), Attempt: uint32(firstAttempt(j.submittedAt))})
	}
	c.declaredJobs.scaling[j.id] = true
	add.done = func(_ cluster.Version, err error) {
		delete(c.declaredJobs.scaling, j.id)
		if err == nil {
			c.cfg.Log.Info().Str("job", j.id.String()).Int("from", before).Int("to", after).Msg("rack: scaled a declared job")
		}
	}
	c.addTasks(add)
}

// knownIndexes returns the task indexes that exist in the assignment rows of a job.
func (c *Controller) knownIndexes(j *job) map[int]bool {
	known := map[int]bool{}
	for _, id := range j.racks {
		if r := c.racks[id]; r != nil && r.assignments[j.id] != nil {
			for index := range r.assignments[j.id].tasksByIndex {
				known[index] = true
			}
		}
		for _, tr := range c.remoteAssignments[assignKey(id, j.id)].row.Tasks {
			known[int(tr.Index)] = true
		}
	}
	return known
}

// replicaRack returns the rack for one more replica, in the zone with the fewest replicas.
func (c *Controller) replicaRack(j *job, candidates []*rackCandidate, added map[cluster.RackID][]taskRow) cluster.RackID {
	zones := map[cluster.Place]int{}
	for _, candidate := range candidates {
		if candidate.rack.assignments[j.id] != nil {
			candidate.assigned = len(candidate.rack.assignments[j.id].tasks)
		}
		candidate.assigned += len(c.remoteAssignments[assignKey(candidate.rack.id, j.id)].row.Tasks) + len(added[candidate.rack.id])
		zones[candidate.place] += candidate.assigned
	}
	return nextReplicaRack(candidates, zones).rack.id
}

// applyTaskCount stops the tasks of an owned rack that are no longer part of their
// job and restarts stopped ones that are part of it again.
func (c *Controller) applyTaskCount(a *assignment, j *job) {
	n, _ := j.spec.TaskCount()
	for _, t := range a.tasks {
		switch {
		case t.index >= n && !t.state.Terminal() && !t.removed:
			t.removed = true
			c.stopTask(t)
		case t.index < n && t.removed:
			t.removed = false
			if t.state == cluster.TaskStopped {
				c.nextAttempt(t)
			}
		case t.index < n && t.state == cluster.TaskStopped && !j.cancelRequested && c.isService(j.id):
			// The row of a task does not record removed, so a previous owner may have stopped it for that reason.
			c.nextAttempt(t)
		}
	}
}

// sortRunningTasks orders tasks by attempt, so that the choice of victims is deterministic.
func sortRunningTasks(tasks []placement.RunningTask) {
	slices.SortFunc(tasks, func(a, b placement.RunningTask) int {
		return strings.Compare(a.Attempt.String(), b.Attempt.String())
	})
}
