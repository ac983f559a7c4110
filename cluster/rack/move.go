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
func (c *Controller) move() {
	if !c.writable() || c.now.Before(c.nextMoves) {
		return
	}
	c.nextMoves = c.now.Add(moveCheckInterval)
	started := 0
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.handover || r.claiming || r.flushing {
			continue
		}
		for _, a := range r.list {
			if started == maxMovesPerStep {
				return
			}
			if a.pending > 0 && !a.moving && !a.dirty && !c.now.Before(a.nextMove) && c.moveAssignment(r, a) {
				started++
			}
		}
	}
}

// shouldMove reports whether the pending tasks of an assignment may start earlier
// in another rack.
func (c *Controller) shouldMove(r *rack, a *assignment) bool {
	if !r.errSince.IsZero() {
		return c.now.Sub(r.errSince) >= moveDelay
	}
	if a.blockedSince.IsZero() || c.now.Sub(a.blockedSince) < moveDelay {
		return false
	}
	// A rack without free capacity requests no grant, so a missing grant must not
	// keep its tasks there.
	return !r.hasFreeCapacity(a.size) || a.size.Fits(c.available(r, a.id.Team))
}

// hasFreeCapacity reports whether some worker takes new tasks and has enough free
// capacity for one.
func (r *rack) hasFreeCapacity(size cluster.Resources) bool {
	return slices.ContainsFunc(r.order, func(w *worker) bool {
		return r.closed(w) == "" && size.Fits(w.capacity.Sub(r.load(w)))
	})
}

// maxSlots returns how many tasks of a size could run on the rack's open workers
// once all tasks except those of services have ended. When the slots used by
// services counted as well, a gang of 12 tasks waited forever in a rack of 16
// slots, 6 of which services used.
func (c *Controller) maxSlots(r *rack, size cluster.Resources) int {
	n := 0
	for _, w := range r.order {
		if r.closed(w) != "" {
			continue
		}
		free := w.capacity
		for _, t := range w.tasks {
			if c.isService(t.of.id) {
				free = free.Sub(t.size)
			}
		}
		n += slotCount(size, free)
	}
	return n
}

// moveAssignment begins a move of pending tasks; it returns false if none can be moved.
func (c *Controller) moveAssignment(r *rack, a *assignment) bool {
	j := c.jobs[a.id]
	if j == nil || !j.active() || j.cancel || !c.shouldMove(r, a) {
		return false
	}
	a.nextMove = c.now.Add(c.jitter(moveInterval))
	to := c.moveTarget(r, c.declaredSize(j))
	if to == nil {
		return false
	}
	maxMoved := min(to.freeSlots, maxTasksPerMove)
	if j.isGang() {
		// Tasks that fit into the rack once others have ended stay; only the tasks
		// that can never fit are moved.
		maxMoved = min(maxMoved, c.readyTasks(a)-c.maxSlots(r, a.size))
	}
	moved := map[int]bool{}
	var rows []taskRow
	for _, t := range a.tasks {
		// A pending task was never sent a start command, even if it is pinned, unless
		// a previous owner may have started it.
		if t.state == cluster.TaskPending && t.worker == nil && !t.suspect && !t.stop && t.zombies == 0 && len(moved) < maxMoved {
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
		if candidate.rack != r && candidate.availableSlots() > 0 && !candidate.rack.receiving && (best == nil || candidate.availableSlots() > best.availableSlots()) {
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
	a.moving, a.requeue = true, true
	target := c.rackFor(to)
	target.receiving = true
	generation, id, version := r.generation, a.id, a.version
	c.addTasks(addition{
		job: id, tasks: map[cluster.RackID][]taskRow{to: rows}, change: change,
		edit:  func(*job) {},
		valid: func(*job) bool { return r.generation == generation && !a.gone && a.version == version },
		done: func(version cluster.Version, err error) {
			target.receiving = false
			if r.generation != generation || a.gone {
				return
			}
			a.moving, a.requeue = false, true
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
	a.remove(moved)
	a.version = max(a.version, version)
	a.blockedSince = time.Time{}
	c.cfg.Log.Info().Str("job", a.id.String()).Int("tasks", len(moved)).Str("from", string(r.id)).Str("to", string(to)).
		Msg("rack: moved pending tasks")
	c.cfg.Metrics.Counter("rack_moved_tasks").Inc(int64(len(moved)))
	if len(a.tasks) == 0 {
		c.dropAssignment(a, version)
	}
	c.checkEnd(a.id)
}

// moveFailed reads the assignment row again after a failed move, unless the error
// shows that nothing was written. The row shows which tasks were moved.
func (c *Controller) moveFailed(r *rack, a *assignment, moved map[int]bool, err error) {
	a.nextMove = c.now.Add(c.jitter(moveInterval))
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	// One of the rows has changed, or the result of the transaction is unknown.
	key := assignKey(r.id, a.id)
	generation := r.generation
	a.moving = true
	c.readRackRow(r)
	c.read(platform.ReadRequest{Keys: []string{key}}, func(reply platform.ReadReply, err error) {
		if r.generation != generation || a.gone {
			return
		}
		a.moving, a.requeue = false, true
		if err != nil {
			c.doubt(r, "the result of moving tasks is not known")
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
	if err := decode(row.Key, row.Value, &v); err != nil {
		c.doubt(a.rack, "the assignment row read after a failed move does not decode")
		return
	}
	confirmed := maps.Clone(moved)
	for _, tr := range v.Tasks {
		delete(confirmed, int(tr.Index))
	}
	a.remove(confirmed)
	c.ingest(row)
}
