package rack

import (
	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// beginFencing starts a takeover after the epoch was raised in the row.
func (c *Controller) beginFencing(r *rack) {
	c.leaveTable(r)
	r.phase, r.since, r.nextExchange = phaseFencing, c.now, c.now
	if r.highest > r.epoch && !r.claiming {
		// A worker has seen an epoch that the row does not have; only a higher one is accepted there.
		r.phase, r.notBefore = phaseRecheck, c.now.Add(claimDelay)
		c.writeRackRow(r, c.cfg.Self, r.highest+1, func(cluster.Version) {})
		return
	}
	for id, vm := range c.vms {
		if vm.Rack == r.id {
			w := c.workerFor(r, id)
			w.place, w.capacity = vm.Place, vm.Capacity
		}
	}
	r.sortWorkers()
	for _, w := range r.order {
		c.updateListed(w)
	}
}

func (c *Controller) beginLoading(r *rack) {
	r.phase = phaseLoading
	r.since = c.now
}

// load reads the assignment rows of all racks that are fenced, in one request.
func (c *Controller) load() {
	if c.now.Before(c.store.downUntil) {
		return
	}
	var racks []*rack
	req := platform.ReadRequest{Prefixes: []string{prefixGrants}}
	for _, r := range c.rackOrder {
		if r.phase == phaseLoading && !r.loading {
			r.loading = true
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
	c.read(req, func(reply platform.ReadReply, err error) {
		var current []*rack
		for i, r := range racks {
			if r.generation == generations[i] {
				r.loading = false
				current = append(current, r)
			}
		}
		if err != nil {
			return
		}
		c.store.floor = min(c.store.floor, reply.AsOf)
		for _, row := range reply.Rows {
			c.ingest(row)
		}
		c.loadJobs(current)
	})
}

// loadJobs reads the job rows that the assignments of loaded racks need and that no poll has brought yet.
func (c *Controller) loadJobs(racks []*rack) {
	var keys []string
	for _, r := range racks {
		for _, a := range r.list {
			if c.jobs[a.id] == nil {
				keys = append(keys, jobKey(a.id))
			}
		}
	}
	if len(keys) == 0 {
		c.activate(racks)
		return
	}
	generations := make([]uint64, len(racks))
	for i, r := range racks {
		r.loading = true
		generations[i] = r.generation
	}
	c.read(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		var current []*rack
		for i, r := range racks {
			if r.generation == generations[i] {
				r.loading = false
				current = append(current, r)
			}
		}
		if err != nil {
			return
		}
		for _, row := range reply.Rows {
			c.ingest(row)
		}
		c.activate(current)
	})
}

// activate adopts what runs and opens the racks for placement.
func (c *Controller) activate(racks []*rack) {
	for _, r := range racks {
		r.phase, r.since = phaseActive, c.now
		for _, w := range r.order {
			if report, ok := r.reports[w.id]; ok {
				c.takeReport(r, w, report)
			}
		}
		clear(r.reports)
		c.suspectTasks(r)
		adopted := 0
		for _, w := range r.order {
			adopted += len(w.tasks)
		}
		c.cfg.Log.Info().Str("rack", string(r.id)).Uint64("epoch", uint64(r.epoch)).Int("adopted", adopted).
			Int("jobs", len(r.list)).Bool("fenced", !r.unfenced).Msg("rack: took up the work of a rack")
		c.checkHomes(r)
	}
}

// suspectTasks holds back every task that may run on a worker that is not fenced yet.
func (c *Controller) suspectTasks(r *rack) {
	r.unfenced = !r.allFenced()
	for _, a := range r.list {
		for _, t := range a.tasks {
			t.suspect = t.state == cluster.TaskPending
		}
		a.requeue = true
	}
	if !r.unfenced {
		c.resolveSuspects(r)
		return
	}
	for team, g := range c.grants {
		r.frozen[team] = g.row[r.id]
	}
}

// resolveSuspects decides on the held back tasks once every worker is fenced or its leases have lapsed.
func (c *Controller) resolveSuspects(r *rack) {
	lost := false
	for _, w := range r.order {
		lost = lost || !w.fenced
	}
	r.unfenced = false
	clear(r.frozen)
	for _, a := range r.list {
		for _, t := range a.tasks {
			if t.suspect {
				t.suspect = false
				c.resolveSuspect(r, t, lost)
			}
		}
		a.requeue = true
	}
}

// resolveSuspect decides on one task that no fenced worker runs; lost says that some worker was not fenced.
func (c *Controller) resolveSuspect(r *rack, t *task, lost bool) {
	j := c.jobs[t.of.id]
	if t.state != cluster.TaskPending || j == nil {
		return
	}
	w := r.workers[t.pin]
	switch {
	case !j.idempotent() && t.pinned() && (w == nil || !w.fenced):
		// An earlier owner may have started it on a worker that can't be asked any more.
		c.endTask(t, cluster.TaskUnknown, "its worker was lost with its owner")
	case j.idempotent() && lost:
		// The attempt may have run on a lapsed worker; a new number makes its late result void.
		c.nextAttempt(t)
	default:
		c.attemptOver(t)
	}
}

func (c *Controller) workerFor(r *rack, id cluster.WorkerID) *worker {
	w, ok := r.workers[id]
	if !ok {
		w = &worker{
			id: id, rack: r, goneAt: c.now, tasks: map[cluster.TaskID]*task{},
			foreign: map[cluster.AttemptID]cluster.Resources{},
		}
		r.workers[id] = w
		r.order = append(r.order, w)
	}
	return w
}

// updateWorker takes in a worker's own state from a report.
func (c *Controller) updateWorker(r *rack, report platform.WorkerReport) *worker {
	known := len(r.order)
	w := c.workerFor(r, report.Worker)
	if len(r.order) != known {
		r.sortWorkers()
	}
	w.capacity, w.place, w.epoch = report.Capacity, report.Place, report.Epoch
	if !report.Reachable && w.reachable {
		w.goneAt = c.now
		c.cfg.Log.Warn().Str("worker", string(w.id)).Msg("rack: worker is unreachable")
	}
	if report.Reachable && !w.reachable && w.lapsed {
		c.cfg.Log.Info().Str("worker", string(w.id)).Msg("rack: worker is back after its leases lapsed")
	}
	w.reachable = report.Reachable
	if report.Reachable {
		w.lapsed = false
		w.fenced = report.Epoch >= r.epoch
	}
	c.updateListed(w)
	if w.reachable {
		r.queue.Freed(w.capacity.Sub(r.load(w)))
	}
	if report.Reachable {
		r.highest = max(r.highest, report.Epoch)
	}
	return w
}

// openCapacity returns the capacity of the rack's open workers.
func (r *rack) openCapacity() (total, free, largest cluster.Resources) {
	for _, w := range r.order {
		if r.closed(w) != "" {
			continue
		}
		total = total.Add(w.capacity)
		left := w.capacity.Sub(r.load(w)).Max(cluster.Resources{})
		free = free.Add(left)
		if left.CPU > largest.CPU {
			largest = left
		}
	}
	return total, free, largest
}

func newQueue() *placement.Queue { return placement.NewQueue(placement.QueueConfig{}) }
