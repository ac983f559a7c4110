package rack

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// beginFencing starts a takeover after the epoch in the rack's row was raised.
func (c *Controller) beginFencing(r *rack) {
	c.dropRackState(r)
	r.phase, r.phaseSince, r.nextExchangeAt = phaseFencing, c.now, c.now
	if r.highestEpoch > r.epoch && !r.rowWriteInFlight {
		// A worker has seen an epoch higher than the row's and refuses lower ones, so the row needs
		// a higher one still.
		c.raiseEpoch(r)
		return
	}
	for id, vm := range c.vms {
		if vm.Rack == r.id {
			w := c.ensureWorker(r, id)
			w.place, w.capacity = vm.Place, vm.Capacity
		}
	}
	r.sortWorkers()
	for _, w := range r.sortedWorkers {
		c.updateListing(w)
	}
}

// beginLoading moves a rack on to loading its assignment rows, once it has replied to the
// fencing exchange or every lease has expired.
func (c *Controller) beginLoading(r *rack) {
	r.phase = phaseLoading
	r.phaseSince = c.now
}

// loadAssignments reads the assignment rows of all racks in the loading phase, in one request.
func (c *Controller) loadAssignments() {
	if c.now.Before(c.store.retryAt) {
		return
	}
	var racks []*rack
	req := platform.ReadRequest{Prefixes: []string{prefixGrants}}
	for _, r := range c.sortedRacks {
		if r.phase == phaseLoading && !r.loadInFlight {
			r.loadInFlight = true
			racks = append(racks, r)
			req.Prefixes = append(req.Prefixes, assignPrefix(r.id))
		}
	}
	if len(racks) == 0 {
		return
	}
	generations := make([]uint64, len(racks))
	for i, r := range racks {
		generations[i] = r.generation
	}
	c.readRows(req, func(reply platform.ReadReply, err error) {
		var current []*rack
		for i, r := range racks {
			if r.generation == generations[i] {
				r.loadInFlight = false
				current = append(current, r)
			}
		}
		if err != nil {
			return
		}
		c.store.minReadVersion = min(c.store.minReadVersion, reply.AsOf)
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
		c.loadJobs(current)
	})
}

// loadJobs reads the rows of the jobs with assignments in the racks that no poll has returned yet.
func (c *Controller) loadJobs(racks []*rack) {
	var keys []string
	for _, r := range racks {
		for _, a := range r.assignmentList {
			if c.jobs[a.id] == nil {
				keys = append(keys, jobKey(a.id))
			}
		}
	}
	if len(keys) == 0 {
		c.activateRacks(racks)
		return
	}
	generations := make([]uint64, len(racks))
	for i, r := range racks {
		r.loadInFlight = true
		generations[i] = r.generation
	}
	c.readRows(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		var current []*rack
		for i, r := range racks {
			if r.generation == generations[i] {
				r.loadInFlight = false
				current = append(current, r)
			}
		}
		if err != nil {
			return
		}
		for _, row := range reply.Rows {
			c.ingestRow(row)
		}
		c.activateRacks(current)
	})
}

// activateRacks adopts the tasks that run in the racks and starts placing tasks there.
func (c *Controller) activateRacks(racks []*rack) {
	for _, r := range racks {
		r.phase, r.phaseSince = phaseActive, c.now
		for _, w := range r.sortedWorkers {
			if report, ok := r.reports[w.id]; ok {
				c.applyReport(r, w, report)
			}
		}
		clear(r.reports)
		c.markPossiblyRunning(r)
		adopted := 0
		for _, w := range r.sortedWorkers {
			adopted += len(w.tasks)
		}
		c.cfg.Log.Info().Str("rack", string(r.id)).Uint64("epoch", uint64(r.epoch)).Int("adopted", adopted).
			Int("jobs", len(r.assignmentList)).Bool("fenced", !r.hasUnfencedWorkers).Msg("rack: activated a rack after a takeover")
		c.queueHomeEndChecks(r)
	}
}

// markPossiblyRunning holds back the pending tasks of a rack: until all workers are
// fenced, any of them may run on a worker that is not.
func (c *Controller) markPossiblyRunning(r *rack) {
	r.hasUnfencedWorkers = !r.allFenced()
	for _, a := range r.assignmentList {
		for _, t := range a.tasks {
			t.possiblyRunning = t.state == cluster.TaskPending
		}
		a.needsRequeue = true
	}
	if !r.hasUnfencedWorkers {
		c.resolvePossiblyRunning(r)
		return
	}
	// The tasks on workers that are not fenced may use the whole grant.
	for team, g := range c.grants {
		r.frozenGrants[team] = g.byRack[r.id]
	}
}

// resolvePossiblyRunning decides what happens to the tasks that were held back, once every
// worker is fenced or its leases have expired.
func (c *Controller) resolvePossiblyRunning(r *rack) {
	anyLost := false
	for _, w := range r.sortedWorkers {
		anyLost = anyLost || !w.fenced
	}
	r.hasUnfencedWorkers = false
	clear(r.frozenGrants)
	for _, a := range r.assignmentList {
		for _, t := range a.tasks {
			if t.possiblyRunning {
				t.possiblyRunning = false
				c.resolveTask(r, t, anyLost)
			}
		}
		a.needsRequeue = true
	}
}

// resolveTask decides on one pending task that no fenced worker runs. anyLost reports whether
// the leases of some worker expired before it was fenced.
func (c *Controller) resolveTask(r *rack, t *task, anyLost bool) {
	j := c.jobs[t.assignment.id]
	if t.state != cluster.TaskPending || j == nil {
		return
	}
	w := r.workers[t.pin]
	switch {
	case !j.idempotent() && t.isPinned() && (w == nil || !w.fenced):
		// A previous owner may have started the task on a worker that was never fenced, so its outcome is unknown.
		c.endTask(t, cluster.TaskUnknown, "its worker was lost with its owner")
	case j.idempotent() && anyLost:
		// The attempt may have run on a worker that was never fenced; a new attempt number makes a
		// late result of it invalid.
		c.nextAttempt(t)
	default:
		c.endIfUnwanted(t)
	}
}

// ensureWorker returns a worker of a rack and adds it if it is not known.
func (c *Controller) ensureWorker(r *rack, id cluster.WorkerID) *worker {
	w, ok := r.workers[id]
	if !ok {
		w = &worker{
			id: id, rack: r, unreachableSince: c.now, tasks: map[cluster.TaskID]*task{},
			staleSizes: map[cluster.AttemptID]cluster.Resources{},
		}
		r.workers[id] = w
		r.sortedWorkers = append(r.sortedWorkers, w)
	}
	return w
}

// updateWorker applies the worker's own state in a report; applyReport applies that of its tasks.
func (c *Controller) updateWorker(r *rack, report platform.WorkerReport) *worker {
	countBefore := len(r.sortedWorkers)
	w := c.ensureWorker(r, report.Worker)
	if len(r.sortedWorkers) != countBefore {
		r.sortWorkers()
	}
	w.capacity, w.place, w.epoch = report.Capacity, report.Place, report.Epoch
	if !report.Reachable && w.reachable {
		w.unreachableSince = c.now
		c.cfg.Log.Warn().Str("worker", string(w.id)).Msg("rack: worker is unreachable")
	}
	if report.Reachable && !w.reachable && w.leasesExpired {
		c.cfg.Log.Info().Str("worker", string(w.id)).Msg("rack: worker is reachable again after its leases expired")
	}
	w.reachable, w.reportedAt = report.Reachable, c.now
	if report.Reachable {
		w.leasesExpired = false
		w.fenced = report.Epoch >= r.epoch
	}
	c.updateListing(w)
	if w.reachable {
		r.queue.RecordFreed(w.capacity.Sub(r.workerLoad(w)))
	}
	if report.Reachable {
		r.highestEpoch = max(r.highestEpoch, report.Epoch)
	}
	return w
}

// openCapacity returns the total and the free capacity of the workers that get new
// tasks, and the free capacity of the one with the most free CPU.
func (r *rack) openCapacity() (total, free, largest cluster.Resources) {
	for _, w := range r.sortedWorkers {
		if r.closedReason(w) != "" {
			continue
		}
		total = total.Add(w.capacity)
		workerFree := w.capacity.Sub(r.workerLoad(w)).Max(cluster.Resources{})
		free = free.Add(workerFree)
		if workerFree.CPU > largest.CPU {
			largest = workerFree
		}
	}
	return total, free, largest
}

// newQueue returns an empty queue of assignments that wait for placement.
func newQueue() *placement.Queue { return placement.NewQueue(placement.QueueConfig{}) }
