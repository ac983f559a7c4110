package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// flushInterval is the minimum time between writes of a rack's assignment
	// rows, so that one write covers many results.
	flushInterval = time.Second
	// maxRowsPerFlush bounds the assignment rows written by one transaction.
	maxRowsPerFlush = 100
)

// ingestAssignment applies an assignment row. Tasks that are not known yet are
// added. For known tasks the state in memory counts, because only the owner of
// the rack changes them.
func (c *Controller) ingestAssignment(row platform.Row) {
	rackID, id, ok := parseAssignKey(row.Key)
	if !ok {
		return
	}
	var v assignRow
	if !row.Deleted {
		if err := decodeRow(row.Key, row.Value, &v); err != nil {
			c.reportMalformedRow(row.Key, err)
			return
		}
	}
	c.ingestRemoteRow(row, id, v)
	r := c.racks[rackID]
	if r == nil || r.phase < phaseLoading {
		return
	}
	a := r.assignments[id]
	if row.Deleted {
		if a != nil && row.Version > a.version {
			c.dropAssignment(a, row.Version)
		}
		return
	}
	if row.Version <= r.tombstones[id].version {
		return
	}
	if a != nil && a.submittedAt != v.SubmittedAt && row.Version > a.version {
		c.dropAssignment(a, a.version)
		a = nil
	}
	if a == nil {
		a = r.newAssignment(id, v.SubmittedAt)
	}
	if row.Version <= a.version {
		return
	}
	a.version = row.Version
	for _, tr := range v.Tasks {
		if a.tasksByIndex[int(tr.Index)] == nil {
			c.addTask(a, tr)
		}
	}
	a.needsRequeue = true
	c.queueEndCheck(id)
}

// newAssignment adds an assignment without tasks to the rack.
func (r *rack) newAssignment(id cluster.JobID, submitted int64) *assignment {
	a := &assignment{id: id, rack: r, submittedAt: submitted, tasksByIndex: map[int]*task{}}
	r.assignments[id] = a
	r.assignmentList = append(r.assignmentList, a)
	return a
}

// addTask adds a task from an assignment row; a task that has not ended starts as pending.
func (c *Controller) addTask(a *assignment, tr taskRow) {
	t := &task{
		assignment: a, index: int(tr.Index), attempt: cluster.Attempt(tr.Attempt), state: cluster.TaskState(tr.State),
		failures: tr.Failures, pin: cluster.WorkerID(tr.Worker), pinCommitted: tr.Worker != "", stateSince: c.now,
		resume: tr.Resume,
	}
	if !t.state.Terminal() {
		t.state = cluster.TaskPending
	}
	// The previous owner may have started the task on a worker that is not fenced yet.
	t.possiblyRunning = a.rack.hasUnfencedWorkers && !t.state.Terminal()
	a.addTask(t)
	if j := c.jobs[a.id]; j != nil && j.cancelRequested && !t.state.Terminal() {
		c.stopTask(t)
	}
}

// dropAssignment removes an assignment whose row no longer exists and stops its running tasks.
func (c *Controller) dropAssignment(a *assignment, version cluster.Version) {
	r := a.rack
	c.addTombstone(r, a.id, max(a.version, version))
	for _, t := range a.tasks {
		if w := t.worker; w != nil {
			c.queueCommand(r, rackCommand{command: &platform.StopTask{Worker: w.id, Attempt: t.attemptID()}, attempt: t.attemptID()})
			w.staleSizes[t.attemptID()] = t.size
			r.detach(t)
		}
	}
	for _, ack := range a.acks {
		c.queueAcknowledgement(r, ack)
	}
	a.dropped = true
	r.queue.Remove(a.id)
	delete(r.assignments, a.id)
	r.assignmentList = slices.DeleteFunc(r.assignmentList, func(other *assignment) bool { return other == a })
}

// tombstoneRetention is how long the deletion of an assignment row is remembered.
// Reads and notices from before the deletion arrive within seconds.
const tombstoneRetention = 10 * time.Minute

// tombstone records the version at which an assignment row no longer existed.
type tombstone struct {
	version   cluster.Version
	createdAt time.Time
}

// addTombstone records the deletion of an assignment row, so that a read or a
// notice from before the deletion does not add its tasks again. Without it, a
// task that had moved to another rack was started on this rack as well.
func (c *Controller) addTombstone(r *rack, id cluster.JobID, version cluster.Version) {
	for other, e := range r.tombstones {
		if c.now.Sub(e.createdAt) > tombstoneRetention {
			delete(r.tombstones, other)
		}
	}
	r.tombstones[id] = tombstone{version: version, createdAt: c.now}
}

// queueAcknowledgement queues the command that lets a worker discard a recorded result.
func (c *Controller) queueAcknowledgement(r *rack, ack resultAck) {
	c.queueCommand(r, rackCommand{command: &platform.AcknowledgeResult{Worker: ack.worker, Attempt: ack.attempt}, attempt: ack.attempt})
}

// flushAssignments writes the changed assignment rows, in one transaction for each rack.
func (c *Controller) flushAssignments() {
	if !c.storeUsable() {
		return
	}
	for _, r := range c.sortedRacks {
		if r.phase == phaseActive && !r.flushInFlight && !r.rowWriteInFlight {
			c.flushRack(r)
		}
	}
}

// flushRack writes the changed assignment rows of a rack, if any are due.
func (c *Controller) flushRack(r *rack) {
	flushNow := r.handingOver
	var dirty []*assignment
	for _, a := range r.assignmentList {
		if a.dirty && !a.moveInFlight && len(dirty) < maxRowsPerFlush {
			dirty = append(dirty, a)
			flushNow = flushNow || a.flushNow
		}
	}
	if len(dirty) == 0 || (!flushNow && c.now.Before(r.nextFlushAt)) || c.now.Before(r.flushRetryAt) {
		return
	}
	change := journal.Change{Checks: []platform.Check{{Key: rackKey(r.id), Version: r.version}}}
	var written []writtenAssignment
	for _, a := range dirty {
		value, err := a.encode()
		if err != nil {
			c.reportMalformedRow(assignKey(r.id, a.id), err)
			continue
		}
		key := assignKey(r.id, a.id)
		change.Checks = append(change.Checks, platform.Check{Key: key, Version: a.version})
		change.Puts = append(change.Puts, platform.Put{Key: key, Value: value})
		written = append(written, newWrittenAssignment(a))
	}
	r.flushInFlight, r.nextFlushAt = true, c.now.Add(flushInterval)
	generation := r.generation
	c.commit(change, func(version cluster.Version, err error) {
		if r.generation != generation {
			return
		}
		r.flushInFlight = false
		c.flushFinished(r, written, version, err)
	})
}

// writtenAssignment is what a transaction in flight writes for an assignment.
type writtenAssignment struct {
	assignment *assignment
	acks       []resultAck
	pins       []writtenPin
}

// writtenPin is a task's pin as written by a transaction in flight.
type writtenPin struct {
	task *task
	pin  cluster.WorkerID
}

// newWrittenAssignment captures what is being written for an assignment and marks it as clean.
func newWrittenAssignment(a *assignment) writtenAssignment {
	w := writtenAssignment{assignment: a, acks: slices.Clone(a.acks)}
	for _, t := range a.tasks {
		if t.isPinned() && !t.pinCommitted {
			w.pins = append(w.pins, writtenPin{t, t.pin})
		}
	}
	a.dirty, a.flushNow = false, false
	return w
}

// flushFinished applies the result of a write of assignment rows: results are
// acknowledged and tasks whose pins are now durable are started.
func (c *Controller) flushFinished(r *rack, written []writtenAssignment, version cluster.Version, err error) {
	if err != nil {
		c.flushFailed(r, written, err)
		return
	}
	c.cfg.Metrics.Counter("rack_rows_written").Inc(int64(len(written)))
	for _, w := range written {
		if w.assignment.dropped {
			continue
		}
		w.assignment.version = max(w.assignment.version, version)
		w.assignment.acks = w.assignment.acks[len(w.acks):]
		for _, ack := range w.acks {
			c.queueAcknowledgement(r, ack)
		}
		for _, p := range w.pins {
			if p.task.pin == p.pin {
				p.task.pinCommitted = true
				c.startPinned(p.task)
			}
		}
		c.notifyHomeOwner(w.assignment)
	}
}

// flushFailed marks the assignments that were not written for the next flush.
func (c *Controller) flushFailed(r *rack, written []writtenAssignment, err error) {
	var keys []string
	for _, w := range written {
		if w.assignment.dropped {
			continue
		}
		w.assignment.dirty = true
		keys = append(keys, assignKey(r.id, w.assignment.id))
		for _, p := range w.pins {
			c.revertPin(p, journal.IsKind(err, journal.KindUnavailable))
		}
	}
	r.flushRetryAt = c.now.Add(c.jitter(rowRetryDelay))
	c.cfg.Log.Warn().Err(err).Str("rack", string(r.id)).Msg("rack: failed to write assignment rows")
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	// Another daemon may have taken over the rack or changed one of the rows.
	c.readRackRow(r)
	generation := r.generation
	r.flushInFlight = true
	c.readRows(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		if r.generation != generation {
			return
		}
		r.flushInFlight = false
		if err != nil {
			return
		}
		found := map[string]bool{}
		for _, row := range reply.Rows {
			found[row.Key] = !row.Deleted
			c.ingestRow(row)
		}
		for _, w := range written {
			if !w.assignment.dropped && !found[assignKey(r.id, w.assignment.id)] {
				c.dropAssignment(w.assignment, reply.AsOf)
			}
		}
	})
}
