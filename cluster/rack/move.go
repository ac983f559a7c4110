package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// moveDelay is how long a task waits for free capacity before it is moved to another rack.
	moveDelay = 2 * time.Second
	// moveInterval is the mean time between moves of tasks of one assignment.
	moveInterval = 2 * time.Second
	// maxTasksPerMove bounds the tasks moved by one transaction, maxMovesPerStep
	// the transactions that begin in one step.
	maxTasksPerMove = 64
	maxMovesPerStep = 4
	// moveCheckInterval is how often pending tasks are checked for a move.
	moveCheckInterval = 500 * time.Millisecond
)

// movePendingTasks moves pending tasks to racks with free capacity for them.
func (c *Controller) movePendingTasks() {
	if !c.storeUsable() || c.now.Before(c.nextMoveScanAt) {
		return
	}
	c.nextMoveScanAt = c.now.Add(moveCheckInterval)
	started := 0
	for _, r := range c.sortedRacks {
		if r.phase != phaseActive || r.handingOver || r.rowWriteInFlight || r.flushInFlight {
			continue
		}
		for _, a := range r.assignmentList {
			if started == maxMovesPerStep {
				return
			}
			if a.pendingCount > 0 && !a.moveInFlight && !a.dirty && !c.now.Before(a.nextMoveAt) && c.moveAssignment(r, a) {
				started++
			}
		}
	}
}

// shouldMove reports whether the pending tasks of an assignment may start earlier
// in another rack.
func (c *Controller) shouldMove(r *rack, a *assignment) bool {
	if !r.failingSince.IsZero() {
		return c.now.Sub(r.failingSince) >= moveDelay
	}
	if a.blockedSince.IsZero() || c.now.Sub(a.blockedSince) < moveDelay {
		return false
	}
	// A rack without free capacity requests no grant, so a missing grant must not
	// keep its tasks there.
	return !r.hasFreeCapacity(a.taskSize) || a.taskSize.Fits(c.availableGrant(r, a.id.Team))
}

// hasFreeCapacity reports whether some worker gets new tasks and has enough free
// capacity for one.
func (r *rack) hasFreeCapacity(size cluster.Resources) bool {
	return slices.ContainsFunc(r.sortedWorkers, func(w *worker) bool {
		return r.closedReason(w) == "" && size.Fits(w.capacity.Sub(r.workerLoad(w)))
	})
}

// maxSlots returns how many tasks of a size could run on the rack's open workers
// once all tasks except those of services have ended. When the slots used by
// services counted as well, a gang of 12 tasks waited forever in a rack of 16
// slots, 6 of which services used.
func (c *Controller) maxSlots(r *rack, size cluster.Resources) int {
	n := 0
	for _, w := range r.sortedWorkers {
		if r.closedReason(w) != "" {
			continue
		}
		free := w.capacity
		for _, t := range w.tasks {
			if c.isService(t.assignment.id) {
				free = free.Sub(t.size)
			}
		}
		n += taskCapacity(size, free)
	}
	return n
}

// moveAssignment begins a move of pending tasks; it returns false if none can be moved.
func (c *Controller) moveAssignment(r *rack, a *assignment) bool {
	j := c.jobs[a.id]
	if j == nil || !j.active() || j.cancelRequested || !c.shouldMove(r, a) {
		return false
	}
	a.nextMoveAt = c.now.Add(c.jitter(moveInterval))
	to := c.moveTarget(r, c.declaredSize(j))
	if to == nil {
		return false
	}
	maxMoved := min(to.freeSlots, maxTasksPerMove)
	if j.isGang() {
		// Tasks that fit into the rack once others have ended stay; only the tasks
		// that can never fit are moved.
		maxMoved = min(maxMoved, c.countReadyTasks(a)-c.maxSlots(r, a.taskSize))
	}
	moved := map[int]bool{}
	var rows []taskRow
	for _, t := range a.tasks {
		// A pending task was never sent a start command, even if it is pinned, unless
		// a previous owner may have started it.
		if t.state == cluster.TaskPending && t.worker == nil && !t.possiblyRunning && !t.stopRequested && t.staleAttempts == 0 && len(moved) < maxMoved {
			moved[t.index] = true
			rows = append(rows, taskRow{Index: int32(t.index), Attempt: uint32(t.attempt), Failures: t.failures, Resume: t.resume})
		}
	}
	if len(moved) == 0 {
		return false
	}
	c.commitMove(r, a, to.rack.id, moved, rows)
	return true
}

// moveTarget returns the rack with the most available slots, or nil.
func (c *Controller) moveTarget(r *rack, size cluster.Resources) *rackCandidate {
	var best *rackCandidate
	for _, candidate := range c.rackCandidates(size) {
		if candidate.rack != r && candidate.availableSlots() > 0 && !candidate.rack.receivingMove && (best == nil || candidate.availableSlots() > best.availableSlots()) {
			best = candidate
		}
	}
	return best
}

// commitMove moves tasks between the assignment rows of two racks in one transaction.
func (c *Controller) commitMove(r *rack, a *assignment, to cluster.RackID, moved map[int]bool, rows []taskRow) {
	change := journal.Change{Checks: []platform.Check{
		{Key: rackKey(r.id), Version: r.version}, {Key: assignKey(r.id, a.id), Version: a.version},
	}}
	rest := *a
	rest.tasks = slices.DeleteFunc(slices.Clone(a.tasks), func(t *task) bool { return moved[t.index] })
	value, err := rest.encode()
	if err != nil {
		return
	}
	if len(rest.tasks) == 0 && len(a.acks) == 0 {
		change.Deletes = []string{assignKey(r.id, a.id)}
	} else {
		change.Puts = []platform.Put{{Key: assignKey(r.id, a.id), Value: value}}
	}
	a.moveInFlight, a.needsRequeue = true, true
	target := c.ensureRack(to)
	target.receivingMove = true
	generation, id, version := r.generation, a.id, a.version
	c.addTasks(taskAddition{
		job: id, tasks: map[cluster.RackID][]taskRow{to: rows}, change: change,
		editJob:    func(*job) {},
		stillValid: func(*job) bool { return r.generation == generation && !a.dropped && a.version == version },
		done: func(version cluster.Version, err error) {
			target.receivingMove = false
			if r.generation != generation || a.dropped {
				return
			}
			a.moveInFlight, a.needsRequeue = false, true
			if err != nil {
				c.moveFailed(r, a, moved, err)
				return
			}
			c.moveCommitted(r, a, to, moved, version)
		},
	})
}

// moveCommitted removes the moved tasks from the assignment in memory.
func (c *Controller) moveCommitted(r *rack, a *assignment, to cluster.RackID, moved map[int]bool, version cluster.Version) {
	a.removeTasks(moved)
	a.version = max(a.version, version)
	a.blockedSince = time.Time{}
	c.cfg.Log.Info().Str("job", a.id.String()).Int("tasks", len(moved)).Str("from", string(r.id)).Str("to", string(to)).
		Msg("rack: moved pending tasks")
	c.cfg.Metrics.Counter("rack_moved_tasks").Inc(int64(len(moved)))
	if len(a.tasks) == 0 {
		c.dropAssignment(a, version)
	}
	c.queueEndCheck(a.id)
}

// moveFailed reads the assignment row again after a failed move, unless the error
// shows that nothing was written. The row shows which tasks were moved.
func (c *Controller) moveFailed(r *rack, a *assignment, moved map[int]bool, err error) {
	a.nextMoveAt = c.now.Add(c.jitter(moveInterval))
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	// One of the rows has changed, or the result of the transaction is unknown.
	key := assignKey(r.id, a.id)
	generation := r.generation
	a.moveInFlight = true
	c.readRackRow(r)
	c.readRows(platform.ReadRequest{Keys: []string{key}}, func(reply platform.ReadReply, err error) {
		if r.generation != generation || a.dropped {
			return
		}
		a.moveInFlight, a.needsRequeue = false, true
		if err != nil {
			c.recheckOwnership(r, "the result of moving tasks is not known")
			return
		}
		if len(reply.Rows) == 0 || reply.Rows[0].Deleted {
			c.dropAssignment(a, reply.AsOf)
			return
		}
		c.resolveMove(a, moved, reply.Rows[0])
	})
}

// resolveMove removes the tasks that were moved according to the row.
func (c *Controller) resolveMove(a *assignment, moved map[int]bool, row platform.Row) {
	var v assignRow
	if err := decodeRow(row.Key, row.Value, &v); err != nil {
		c.recheckOwnership(a.rack, "the assignment row read after a failed move does not decode")
		return
	}
	confirmed := maps.Clone(moved)
	for _, tr := range v.Tasks {
		delete(confirmed, int(tr.Index))
	}
	a.removeTasks(confirmed)
	c.ingestRow(row)
}
