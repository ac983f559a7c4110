package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Reservation keeps capacity for a job that did not fit, usually a gang job.
type Reservation struct {
	// Job is the holder of the reservation.
	Job cluster.JobID
	// Size is the resources that one task needs.
	Size cluster.Resources
	// Workers has one entry per task; a worker may appear more than once.
	Workers []cluster.WorkerID
	// Start is when the capacity is expected to be free. Tasks that end by then may use it in the meantime.
	Start time.Time
	// ExpiresAt is when the reservation expires.
	ExpiresAt time.Time
}

// reservation is a Reservation with the index entries of its workers, each listed once.
type reservation struct {
	Reservation
	nodes []*workerNode
}

// Reserve reserves capacity for a job, replacing its earlier reservation. It returns
// false and changes nothing if no job or no worker is given, or if a worker is unknown,
// too small for its tasks or reserved for another job.
func (t *Table) Reserve(r Reservation) bool {
	if r.Job == (cluster.JobID{}) || len(r.Workers) == 0 {
		return false
	}
	amountByNode := map[*workerNode]cluster.Resources{}
	added := &reservation{Reservation: r}
	added.Workers = slices.Clone(r.Workers)
	for _, id := range r.Workers {
		position, ok := t.positionByID[id]
		if !ok {
			return false
		}
		n := t.nodes[position]
		if n.reservation != nil && n.reservation.Job != r.Job {
			return false
		}
		if _, ok := amountByNode[n]; !ok {
			added.nodes = append(added.nodes, n)
		}
		amountByNode[n] = amountByNode[n].Add(r.Size)
		if !amountByNode[n].Fits(t.workers[position].Capacity) {
			return false
		}
	}
	t.Unreserve(r.Job)
	for _, n := range added.nodes {
		n.reservation, n.reservedAmount = added, amountByNode[n]
		t.reindex(n)
	}
	t.reservations = append(t.reservations, added)
	return true
}

// Unreserve removes a job's reservation. It is called for the holder once its tasks are allocated.
func (t *Table) Unreserve(job cluster.JobID) bool {
	i := slices.IndexFunc(t.reservations, func(r *reservation) bool { return r.Job == job })
	if i < 0 {
		return false
	}
	r := t.reservations[i]
	t.reservations = slices.Delete(t.reservations, i, i+1)
	for _, n := range r.nodes {
		// The worker may have been removed in the meantime.
		if n.reservation == r {
			n.reservation, n.reservedAmount = nil, cluster.Resources{}
			if n.rack != nil {
				t.reindex(n)
			}
		}
	}
	return true
}

// ExpireReservations removes the expired reservations and returns their holders.
func (t *Table) ExpireReservations(now time.Time) []cluster.JobID {
	var expired []cluster.JobID
	for _, r := range t.reservations {
		if !now.Before(r.ExpiresAt) {
			expired = append(expired, r.Job)
		}
	}
	for _, job := range expired {
		t.Unreserve(job)
	}
	return expired
}

// Reservations returns the reservations, oldest first.
func (t *Table) Reservations() []Reservation {
	out := make([]Reservation, 0, len(t.reservations))
	for _, r := range t.reservations {
		c := r.Reservation
		c.Workers = slices.Clone(c.Workers)
		out = append(out, c)
	}
	return out
}

// freeFor returns the free capacity of a worker that a request may use.
func (t *Table) freeFor(n *workerNode, req *Request) cluster.Resources {
	if n.reservation != nil && n.reservation.admits(req) {
		return t.workers[n.position].Free()
	}
	return n.unreservedFree
}

// admits reports whether a request may use the reserved capacity: as the holder, or because
// its task ends by the start.
func (r *reservation) admits(req *Request) bool {
	return r.Job == req.Job || !req.EndAt.IsZero() && !req.EndAt.After(r.Start)
}

// searchReserved updates best with the reserved workers that the request may use.
func (t *Table) searchReserved(req *Request, best *candidate) {
	for _, r := range t.reservations {
		if !r.admits(req) {
			continue
		}
		for _, n := range r.nodes {
			if n.rack == nil {
				continue
			}
			w := &t.workers[n.position]
			if free := w.Free(); !w.Closed && req.Size.Fits(free) {
				best.replaceIfBetter(n, w.ID, t.score(n, free, req.Size)-reservedBonus)
			}
		}
	}
}

// reservedBonus makes the holder and tasks that end before the reservation starts use
// reserved capacity first, which leaves the rest to tasks that may not use it. It outweighs
// all other terms of the score.
const reservedBonus = 32 * fractionOne * 2 * fractionOne

// TaskEnd is a running task with its expected end.
type TaskEnd struct {
	Worker cluster.WorkerID
	Size   cluster.Resources
	// EndAt is when the task is expected to end. Tasks whose end is unknown must not be listed.
	EndAt time.Time
}

// availability is a time from which a worker has free capacity for a number of additional tasks.
type availability struct {
	from   time.Time
	worker cluster.WorkerID
	tasks  int64
}

// PlanReservation selects workers for n tasks of a request. It returns them with the
// earliest time at which all have enough free capacity, assuming that the running tasks
// end as expected and nothing else is started there. Closed workers and workers reserved
// for other jobs are not considered.
func (t *Table) PlanReservation(req Request, n int, running []TaskEnd, now time.Time) (workers []cluster.WorkerID, start time.Time, ok bool) {
	byWorker := map[cluster.WorkerID][]TaskEnd{}
	for _, e := range running {
		byWorker[e.Worker] = append(byWorker[e.Worker], e)
	}
	var availabilities []availability
	for i := range t.workers {
		w := &t.workers[i]
		r := t.nodes[i].reservation
		if w.Closed || !req.Size.Fits(w.Capacity) || r != nil && r.Job != req.Job {
			continue
		}
		availabilities = appendAvailability(availabilities, w, req.Size, byWorker[w.ID], now)
	}
	slices.SortFunc(availabilities, func(a, b availability) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.worker, b.worker))
	})
	for _, next := range availabilities {
		for range min(next.tasks, int64(n-len(workers))) {
			workers = append(workers, next.worker)
		}
		if len(workers) == n {
			return workers, next.from, true
		}
	}
	return nil, time.Time{}, false
}

// appendAvailability appends the times at which a worker gains capacity for tasks of the given size.
func appendAvailability(availabilities []availability, w *Worker, size cluster.Resources, taskEnds []TaskEnd, now time.Time) []availability {
	for i := range taskEnds {
		// A task that has exceeded its expected end by some time is assumed to run for as long again.
		if e := &taskEnds[i]; e.EndAt.Before(now) {
			e.EndAt = now.Add(now.Sub(e.EndAt))
		}
	}
	slices.SortStableFunc(taskEnds, func(a, b TaskEnd) int { return a.EndAt.Compare(b.EndAt) })
	free := w.Free()
	tasks := taskCapacity(size, free)
	if tasks > 0 {
		availabilities = append(availabilities, availability{now, w.ID, tasks})
	}
	for _, e := range taskEnds {
		free = free.Add(e.Size)
		if newTasks := taskCapacity(size, free); newTasks > tasks {
			availabilities = append(availabilities, availability{e.EndAt, w.ID, newTasks - tasks})
			tasks = newTasks
		}
	}
	return availabilities
}

// taskCapacity returns how many tasks of a size fit into free, at most 1<<20.
func taskCapacity(size, free cluster.Resources) int64 {
	if free.Negative() {
		return 0
	}
	n := int64(1 << 20)
	if size.CPU > 0 {
		n = min(n, int64(free.CPU/size.CPU))
	}
	if size.Memory > 0 {
		n = min(n, int64(free.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return n
}
