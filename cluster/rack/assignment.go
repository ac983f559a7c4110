package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// flushInterval gathers the results of a rack into one write per job row.
	flushInterval = time.Second
	// maxFlushRows bounds one transaction.
	maxFlushRows = 100
)

// ingestAssign takes in an assignment row: tasks that are not known are added;
// for known ones memory is right, because only the rack's owner changes them.
func (c *Controller) ingestAssign(row platform.Row) {
	rackID, id, ok := parseAssign(row.Key)
	if !ok {
		return
	}
	var v assignRow
	if !row.Deleted {
		if err := decode(row.Key, row.Value, &v); err != nil {
			c.malformed(row.Key, err)
			return
		}
	}
	c.ingestRemote(row, id, v)
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
	if row.Version <= r.ended[id].version {
		return
	}
	if a != nil && a.submitted != v.Submitted && row.Version > a.version {
		c.dropAssignment(a, a.version)
		a = nil
	}
	if a == nil {
		a = r.newAssignment(id, v.Submitted)
	}
	if row.Version <= a.version {
		return
	}
	a.version = row.Version
	for _, tr := range v.Tasks {
		if a.byIndex[int(tr.Index)] == nil {
			c.addTask(a, tr)
		}
	}
	a.requeue = true
	c.checkEnd(id)
}

func (r *rack) newAssignment(id cluster.JobID, submitted int64) *assignment {
	a := &assignment{id: id, rack: r, submitted: submitted, byIndex: map[int]*task{}}
	r.assignments[id] = a
	r.list = append(r.list, a)
	return a
}

func (c *Controller) addTask(a *assignment, tr taskRow) {
	t := &task{
		of: a, index: int(tr.Index), attempt: cluster.Attempt(tr.Attempt), state: cluster.TaskState(tr.State),
		failures: tr.Failures, pin: cluster.WorkerID(tr.Worker), pinDurable: tr.Worker != "", since: c.now,
		resume: tr.Resume,
	}
	if !t.state.Terminal() {
		t.state = cluster.TaskPending
	}
	// A worker that is not fenced may run it already, started by the previous owner.
	t.suspect = a.rack.unfenced && !t.state.Terminal()
	a.add(t)
	if j := c.jobs[a.id]; j != nil && j.cancel && !t.state.Terminal() {
		c.stopTask(t)
	}
}

// dropAssignment forgets an assignment whose row is gone and stops what still runs of it.
func (c *Controller) dropAssignment(a *assignment, version cluster.Version) {
	r := a.rack
	c.noteEnded(r, a.id, max(a.version, version))
	for _, t := range a.tasks {
		if w := t.worker; w != nil {
			c.order(r, command{order: &platform.StopTask{Worker: w.id, Attempt: t.attemptID()}, attempt: t.attemptID()})
			w.foreign[t.attemptID()] = t.size
			r.detach(t)
		}
	}
	for _, ack := range a.acks {
		c.acknowledge(r, ack)
	}
	a.gone = true
	r.queue.Remove(a.id)
	delete(r.assignments, a.id)
	r.list = slices.DeleteFunc(r.list, func(other *assignment) bool { return other == a })
}

// endedFor is how long the end of an assignment row is remembered; reads and
// notices that are older than the end arrive within seconds.
const endedFor = 10 * time.Minute

// endedRow is the version at which an assignment row no longer existed.
type endedRow struct {
	version cluster.Version
	at      time.Time
}

// noteEnded keeps a read or a notice from before a row's end from bringing its
// tasks back: a task that had moved to another rack was started here as well.
func (c *Controller) noteEnded(r *rack, id cluster.JobID, version cluster.Version) {
	for other, e := range r.ended {
		if c.now.Sub(e.at) > endedFor {
			delete(r.ended, other)
		}
	}
	r.ended[id] = endedRow{version: version, at: c.now}
}

func (c *Controller) acknowledge(r *rack, ack ackEntry) {
	c.order(r, command{order: &platform.AcknowledgeResult{Worker: ack.worker, Attempt: ack.attempt}, attempt: ack.attempt})
}

// flush writes the changed assignment rows of each rack in one transaction.
func (c *Controller) flush() {
	if !c.writable() {
		return
	}
	for _, r := range c.rackOrder {
		if r.phase == phaseActive && !r.flushing && !r.claiming {
			c.flushRack(r)
		}
	}
}

func (c *Controller) flushRack(r *rack) {
	urgent := r.handover
	var dirty []*assignment
	for _, a := range r.list {
		if a.dirty && !a.moving && len(dirty) < maxFlushRows {
			dirty = append(dirty, a)
			urgent = urgent || a.urgent
		}
	}
	if len(dirty) == 0 || (!urgent && c.now.Before(r.nextFlush)) || c.now.Before(r.flushAfter) {
		return
	}
	change := journal.Change{Checks: []platform.Check{{Key: rackKey(r.id), Version: r.version}}}
	var written []flushed
	for _, a := range dirty {
		value, err := a.encode()
		if err != nil {
			c.malformed(assignKey(r.id, a.id), err)
			continue
		}
		key := assignKey(r.id, a.id)
		change.Checks = append(change.Checks, platform.Check{Key: key, Version: a.version})
		change.Puts = append(change.Puts, platform.Put{Key: key, Value: value})
		written = append(written, newFlushed(a))
	}
	r.flushing, r.nextFlush = true, c.now.Add(flushInterval)
	generation := r.generation
	c.commit(change, func(version cluster.Version, err error) {
		if r.generation != generation {
			return
		}
		r.flushing = false
		c.flushDone(r, written, version, err)
	})
}

// flushed is an assignment as it was written.
type flushed struct {
	a    *assignment
	acks []ackEntry
	pins []pinned
}

type pinned struct {
	t   *task
	pin cluster.WorkerID
}

func newFlushed(a *assignment) flushed {
	f := flushed{a: a, acks: slices.Clone(a.acks)}
	for _, t := range a.tasks {
		if t.pinned() && !t.pinDurable {
			f.pins = append(f.pins, pinned{t, t.pin})
		}
	}
	a.dirty, a.urgent = false, false
	return f
}

func (c *Controller) flushDone(r *rack, written []flushed, version cluster.Version, err error) {
	if err != nil {
		c.flushFailed(r, written, err)
		return
	}
	c.cfg.Metrics.Counter("rack_rows_written").Inc(int64(len(written)))
	for _, f := range written {
		if f.a.gone {
			continue
		}
		f.a.version = max(f.a.version, version)
		f.a.acks = f.a.acks[len(f.acks):]
		for _, ack := range f.acks {
			c.acknowledge(r, ack)
		}
		for _, p := range f.pins {
			if p.t.pin == p.pin {
				p.t.pinDurable = true
				c.sendPinned(p.t)
			}
		}
		c.tellHome(f.a)
	}
}

// flushFailed keeps everything that was not written for the next attempt.
func (c *Controller) flushFailed(r *rack, written []flushed, err error) {
	var keys []string
	for _, f := range written {
		if f.a.gone {
			continue
		}
		f.a.dirty = true
		keys = append(keys, assignKey(r.id, f.a.id))
		for _, p := range f.pins {
			c.unpinUnsent(p, journal.IsKind(err, journal.KindUnavailable))
		}
	}
	r.flushAfter = c.now.Add(c.jitter(claimDelay))
	c.cfg.Log.Warn().Err(err).Str("rack", string(r.id)).Msg("rack: could not write results")
	if journal.IsKind(err, journal.KindUnavailable) {
		return
	}
	// Another daemon took the rack over or changed one of the rows.
	c.readRackRow(r)
	generation := r.generation
	r.flushing = true
	c.read(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		if r.generation != generation {
			return
		}
		r.flushing = false
		if err != nil {
			return
		}
		found := map[string]bool{}
		for _, row := range reply.Rows {
			found[row.Key] = !row.Deleted
			c.ingest(row)
		}
		for _, f := range written {
			if !f.a.gone && !found[assignKey(r.id, f.a.id)] {
				c.dropAssignment(f.a, reply.AsOf)
			}
		}
	})
}
