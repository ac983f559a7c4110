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
	// moveAfter is how long a task waits for room before it is moved to another rack.
	moveAfter = 2 * time.Second
	// moveInterval separates moves of one assignment.
	moveInterval = 2 * time.Second
	// maxMoved bounds the tasks moved by one transaction, maxMoves the transactions begun in one step.
	maxMoved = 64
	maxMoves = 4
	// moveScan is how often waiting tasks are looked at.
	moveScan = 500 * time.Millisecond
)

// move gives waiting tasks to racks that have room for them.
func (c *Controller) move() {
	if !c.writable() || c.now.Before(c.nextMoves) {
		return
	}
	c.nextMoves = c.now.Add(moveScan)
	begun := 0
	for _, r := range c.rackOrder {
		if r.phase != phaseActive || r.handover || r.claiming || r.flushing {
			continue
		}
		for _, a := range r.list {
			if begun == maxMoves {
				return
			}
			if a.pending > 0 && !a.moving && !a.dirty && !c.now.Before(a.nextMove) && c.moveAssignment(r, a) {
				begun++
			}
		}
	}
}

// stuck reports whether tasks of an assignment wait for something that another rack may have.
func (c *Controller) stuck(r *rack, a *assignment) bool {
	if !r.errSince.IsZero() {
		return c.now.Sub(r.errSince) >= moveAfter
	}
	if a.blockedSince.IsZero() || c.now.Sub(a.blockedSince) < moveAfter {
		return false
	}
	// A rack without room asks for no grant, so a missing grant must not keep its tasks there.
	return !r.hasRoom(a.size) || a.size.Fits(c.available(r, a.id.Team))
}

// hasRoom reports whether some worker takes new tasks and has enough left for one.
func (r *rack) hasRoom(size cluster.Resources) bool {
	return slices.ContainsFunc(r.order, func(w *worker) bool {
		return r.closed(w) == "" && size.Fits(w.capacity.Sub(r.load(w)))
	})
}

// mostCopies returns how many tasks of a size the rack's open workers could hold
// once all work but services has ended. A gang of 12 tasks waited without end in
// a rack of 16 such places, 6 of which services took.
func (c *Controller) mostCopies(r *rack, size cluster.Resources) int {
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
		n += copies(size, free)
	}
	return n
}

// moveAssignment begins a move of waiting tasks; it returns false if nothing can be moved.
func (c *Controller) moveAssignment(r *rack, a *assignment) bool {
	j := c.jobs[a.id]
	if j == nil || !j.active() || j.cancel || !c.stuck(r, a) {
		return false
	}
	a.nextMove = c.now.Add(c.jitter(moveInterval))
	to := c.moveTarget(r, c.declaredSize(j))
	if to == nil {
		return false
	}
	most := min(to.room, maxMoved)
	if j.isGang() {
		// A part that only waits for its turn stays; one that can never fit gives up the rest.
		most = min(most, c.readyTasks(a)-c.mostCopies(r, a.size))
	}
	moved := map[int]bool{}
	var rows []taskRow
	for _, t := range a.tasks {
		// A task that waits and is not in doubt has never been ordered to start, whatever its pin says.
		if t.state == cluster.TaskPending && t.worker == nil && !t.suspect && !t.stop && t.zombies == 0 && len(moved) < most {
			moved[t.index] = true
			rows = append(rows, taskRow{Index: int32(t.index), Attempt: uint32(t.attempt), Failures: t.failures, Resume: t.resume})
		}
	}
	if len(moved) == 0 {
		return false
	}
	c.moveTasks(r, a, to.rack.id, moved, rows)
	return true
}

// moveTarget returns the rack with the most room, or nil.
func (c *Controller) moveTarget(r *rack, size cluster.Resources) *site {
	var best *site
	for _, s := range c.sites(size) {
		if s.rack != r && s.open() > 0 && !s.rack.receiving && (best == nil || s.open() > best.open()) {
			best = s
		}
	}
	return best
}

// moveTasks moves tasks between the rows of two racks in one transaction.
func (c *Controller) moveTasks(r *rack, a *assignment, to cluster.RackID, moved map[int]bool, rows []taskRow) {
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
			c.moveDone(r, a, to, moved, version)
		},
	})
}

func (c *Controller) moveDone(r *rack, a *assignment, to cluster.RackID, moved map[int]bool, version cluster.Version) {
	a.remove(moved)
	a.version = max(a.version, version)
	a.blockedSince = time.Time{}
	c.cfg.Log.Info().Str("job", a.id.String()).Int("tasks", len(moved)).Str("from", string(r.id)).Str("to", string(to)).
		Msg("rack: moved waiting tasks")
	c.cfg.Metrics.Counter("rack_moved_tasks").Inc(int64(len(moved)))
	if len(a.tasks) == 0 {
		c.dropAssignment(a, version)
	}
	c.checkEnd(a.id)
}

func (c *Controller) moveFailed(r *rack, a *assignment, moved map[int]bool, err error) {
	a.nextMove = c.now.Add(c.jitter(moveInterval))
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	// One of the rows has changed, or may have.
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
			c.doubt(r, "the result of a move is not known")
			return
		}
		if len(reply.Rows) == 0 || reply.Rows[0].Deleted {
			c.dropAssignment(a, reply.AsOf)
			return
		}
		c.moveReadBack(a, moved, reply.Rows[0])
	})
}

// moveReadBack drops the tasks that the row shows to have moved after all.
func (c *Controller) moveReadBack(a *assignment, moved map[int]bool, row platform.Row) {
	var v assignRow
	if err := decode(row.Key, row.Value, &v); err != nil {
		c.doubt(a.rack, "the row of a move does not decode")
		return
	}
	gone := maps.Clone(moved)
	for _, tr := range v.Tasks {
		delete(gone, int(tr.Index))
	}
	a.remove(gone)
	c.ingest(row)
}
