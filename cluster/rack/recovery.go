package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// unlistedDelay is how old a report must be to be doubted once its worker has left the platform's list.
const unlistedDelay = 5 * time.Second

// lapse gives up on workers and racks that could not be reached for longer than any lease.
func (c *Controller) lapse() {
	for _, r := range c.rackOrder {
		switch r.phase {
		case phaseFencing:
			// No worker of the rack has answered: once every lease has lapsed the work is taken up without them.
			if c.now.Sub(maxTime(r.since, r.contested)) > c.leaseWait() {
				c.beginLoading(r)
			}
		case phaseActive:
			c.lapseWorkers(r)
		case phaseElsewhere, phaseRecheck, phaseLoading:
		}
	}
}

func (c *Controller) lapseWorkers(r *rack) {
	changed := false
	for _, w := range slices.Clone(r.order) {
		if c.health.State(w.id, c.now) != placement.Healthy {
			r.syncWorker(w)
		}
		c.dropUnlisted(r, w)
		since := c.goneSince(r, w)
		if since.IsZero() || c.now.Sub(since) <= c.leaseWait() {
			continue
		}
		if !w.lapsed {
			c.lapseWorker(r, w)
			changed = true
		}
	}
	if changed && r.unfenced && r.allFenced() {
		c.resolveSuspects(r)
	}
	for _, w := range slices.Clone(r.order) {
		if w.lapsed && !w.listed && !r.unfenced {
			r.removeWorker(w)
		}
	}
}

// dropUnlisted treats a worker as unreachable whose VM has left the platform's
// list: its rack may never report it again. If it does live, the full report
// that is asked for here says so.
func (c *Controller) dropUnlisted(r *rack, w *worker) {
	if w.unlisted && w.reachable && c.now.Sub(w.reported) > unlistedDelay {
		w.reachable, w.goneAt = false, c.now
		r.cursor = 0
		r.syncWorker(w)
	}
}

// goneSince returns when the last lease of a worker may have been renewed; zero if it is being renewed.
func (c *Controller) goneSince(r *rack, w *worker) (since time.Time) {
	if !w.reachable {
		since = w.goneAt
	} else if !r.errSince.IsZero() {
		since = r.errSince
	}
	if !since.IsZero() && !w.fenced {
		since = maxTime(since, r.contested)
	}
	return since
}

// lapseWorker ends the attempts on a worker whose leases have all lapsed.
func (c *Controller) lapseWorker(r *rack, w *worker) {
	w.lapsed = true
	tasks := sortedTasks(w)
	c.cfg.Log.Warn().Str("worker", string(w.id)).Int("tasks", len(tasks)).Msg("rack: leases of a worker have lapsed")
	c.cfg.Metrics.Counter("rack_workers_lapsed").Inc(1)
	for _, t := range tasks {
		if t.state == cluster.TaskStarting && t.pinned() && !t.pinDurable {
			// The start waits for its row and was never sent.
			c.backToPending(t, c.now)
			continue
		}
		c.loseAttempt(t, "its worker is gone")
	}
	for attempt, at := range r.zombies {
		if at == w {
			c.endZombie(r, attempt)
		}
	}
	clear(w.foreign)
	r.syncWorker(w)
}

func sortedTasks(w *worker) []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, compareTasks)
	return tasks
}

func (r *rack) removeWorker(w *worker) {
	delete(r.workers, w.id)
	r.order = slices.DeleteFunc(r.order, func(other *worker) bool { return other == w })
	r.table.Remove(w.id)
	r.c.health.ForgetWorker(w.id)
}

// sortWorkers orders the workers by id, so that decisions do not depend on the order of reports.
func (r *rack) sortWorkers() {
	slices.SortFunc(r.order, func(a, b *worker) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}
