package rack

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
)

// delistedDelay is how old the last report of a worker that has left the platform's list
// must be before the worker counts as unreachable.
const delistedDelay = 5 * time.Second

// expireLeases ends the attempts on workers that could not be reached for longer than
// any lease, and continues the takeover of racks that could not be reached for as long.
func (c *Controller) expireLeases() {
	for _, r := range c.sortedRacks {
		switch r.phase {
		case phaseFencing:
			// The rack has not replied. Once every lease has expired, the takeover continues without fencing.
			if c.now.Sub(laterTime(r.phaseSince, r.contestedAt)) > c.leaseExpiryDelay() {
				c.beginLoading(r)
			}
		case phaseActive:
			c.expireWorkers(r)
		case phaseNotOwned, phaseRechecking, phaseLoading:
		}
	}
}

// expireWorkers ends the attempts on the workers of an active rack whose leases have
// expired, and removes those workers that are no longer on the platform's list.
func (c *Controller) expireWorkers(r *rack) {
	anyExpired := false
	for _, w := range slices.Clone(r.sortedWorkers) {
		if c.health.State(w.id, c.now) != placement.Healthy {
			r.syncWorker(w)
		}
		c.checkDelisted(r, w)
		since := c.unrenewedSince(r, w)
		if since.IsZero() || c.now.Sub(since) <= c.leaseExpiryDelay() {
			continue
		}
		if !w.leasesExpired {
			c.expireWorker(r, w)
			anyExpired = true
		}
	}
	if anyExpired && r.hasUnfencedWorkers && r.allFenced() {
		c.resolvePossiblyRunning(r)
	}
	for _, w := range slices.Clone(r.sortedWorkers) {
		if w.leasesExpired && !w.listed && !r.hasUnfencedWorkers {
			r.removeWorker(w)
		}
	}
}

// checkDelisted treats a worker as unreachable whose VM has left the platform's
// list, because its rack may never report it again. It also requests a full
// report, which shows the worker if it still runs.
func (c *Controller) checkDelisted(r *rack, w *worker) {
	if w.delisted && w.reachable && c.now.Sub(w.reportedAt) > delistedDelay {
		w.reachable, w.unreachableSince = false, c.now
		r.cursor = 0
		r.syncWorker(w)
	}
}

// unrenewedSince returns the last time at which the leases of a worker may have been
// renewed, or zero if exchanges renew them. As long as the worker is not fenced,
// another daemon that claims to own the rack may renew them too.
func (c *Controller) unrenewedSince(r *rack, w *worker) (since time.Time) {
	if !w.reachable {
		since = w.unreachableSince
	}
	// While exchanges fail, any of them may have reached a worker that was unreachable before.
	since = laterTime(since, r.failingSince)
	if !since.IsZero() && !w.fenced {
		since = laterTime(since, r.contestedAt)
	}
	return since
}

// expireWorker ends the attempts on a worker whose leases have all expired.
func (c *Controller) expireWorker(r *rack, w *worker) {
	w.leasesExpired = true
	tasks := sortedTasks(w)
	c.cfg.Log.Warn().Str("worker", string(w.id)).Int("tasks", len(tasks)).Msg("rack: the leases of a worker have expired")
	c.cfg.Metrics.Counter("rack_workers_lapsed").Inc(1)
	for _, t := range tasks {
		if t.state == cluster.TaskStarting && t.isPinned() && !t.pinCommitted {
			// The start command waits for the row to be written and was never sent.
			c.returnToPending(t, c.now)
			continue
		}
		c.loseAttempt(t, "the leases of its worker have expired")
	}
	for attempt, runningOn := range r.staleAttempts {
		if runningOn == w {
			c.endStaleAttempt(r, attempt)
		}
	}
	clear(w.staleSizes)
	r.syncWorker(w)
}

// sortedTasks returns the tasks on a worker ordered by job and index.
func sortedTasks(w *worker) []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, compareTasks)
	return tasks
}

// removeWorker removes a worker that is no longer on the platform's list.
func (r *rack) removeWorker(w *worker) {
	delete(r.workers, w.id)
	r.sortedWorkers = slices.DeleteFunc(r.sortedWorkers, func(other *worker) bool { return other == w })
	r.placementTable.Remove(w.id)
	r.controller.health.ForgetWorker(w.id)
}

// sortWorkers sorts the workers by identifier, so that decisions do not depend on the order of reports.
func (r *rack) sortWorkers() {
	slices.SortFunc(r.sortedWorkers, func(a, b *worker) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}
