package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Reservation keeps room for a job that did not fit, mostly a gang job.
type Reservation struct {
	// Job is the holder.
	Job cluster.JobID
	// Size is what one task needs.
	Size cluster.Resources
	// Workers has one entry per task; a worker may appear more than once.
	Workers []cluster.WorkerID
	// Start is when the room is expected to be free. Tasks that end by then may use it.
	Start time.Time
	// Until is when the reservation lapses.
	Until time.Time
}

type reservation struct {
	Reservation
	nodes []*node
}

// Reserve keeps room for a job and replaces its earlier reservation. It returns
// false and changes nothing if no job or no worker is named, or a worker is
// unknown, too small for its tasks or reserved for another job.
func (t *Table) Reserve(r Reservation) bool {
	if r.Job == (cluster.JobID{}) || len(r.Workers) == 0 {
		return false
	}
	amounts := map[*node]cluster.Resources{}
	added := &reservation{Reservation: r}
	added.Workers = slices.Clone(r.Workers)
	for _, id := range r.Workers {
		at, ok := t.index[id]
		if !ok {
			return false
		}
		n := t.nodes[at]
		if n.reservation != nil && n.reservation.Job != r.Job {
			return false
		}
		if _, ok := amounts[n]; !ok {
			added.nodes = append(added.nodes, n)
		}
		amounts[n] = amounts[n].Add(r.Size)
		if !amounts[n].Fits(t.workers[at].Capacity) {
			return false
		}
	}
	t.Unreserve(r.Job)
	for _, n := range added.nodes {
		n.reservation, n.reserved = added, amounts[n]
		t.reindex(n)
	}
	t.reservations = append(t.reservations, added)
	return true
}

// Unreserve gives up a job's reservation. The holder calls it once its tasks occupy their workers.
func (t *Table) Unreserve(job cluster.JobID) bool {
	at := slices.IndexFunc(t.reservations, func(r *reservation) bool { return r.Job == job })
	if at < 0 {
		return false
	}
	r := t.reservations[at]
	t.reservations = slices.Delete(t.reservations, at, at+1)
	for _, n := range r.nodes {
		// The worker may have been removed since.
		if n.reservation == r {
			n.reservation, n.reserved = nil, cluster.Resources{}
			if n.rack != nil {
				t.reindex(n)
			}
		}
	}
	return true
}

// Expire gives up the reservations that have lapsed and returns their holders.
func (t *Table) Expire(now time.Time) []cluster.JobID {
	var lapsed []cluster.JobID
	for _, r := range t.reservations {
		if !now.Before(r.Until) {
			lapsed = append(lapsed, r.Job)
		}
	}
	for _, job := range lapsed {
		t.Unreserve(job)
	}
	return lapsed
}

// Reservations returns the reservations, the oldest first.
func (t *Table) Reservations() []Reservation {
	out := make([]Reservation, 0, len(t.reservations))
	for _, r := range t.reservations {
		c := r.Reservation
		c.Workers = slices.Clone(c.Workers)
		out = append(out, c)
	}
	return out
}

// freeFor returns what a request may use on a worker.
func (t *Table) freeFor(n *node, req *Request) cluster.Resources {
	if n.reservation != nil && n.reservation.admits(req) {
		return t.workers[n.at].Free()
	}
	return n.free
}

// admits reports whether a request may use reserved room: as the holder, or as a task that ends before the start.
func (r *reservation) admits(req *Request) bool {
	return r.Job == req.Job || !req.End.IsZero() && !req.End.After(r.Start)
}

// searchReserved looks for the best worker among the reserved ones that the request may use.
func (t *Table) searchReserved(req *Request, best *candidate) {
	for _, r := range t.reservations {
		if !r.admits(req) {
			continue
		}
		for _, n := range r.nodes {
			if n.rack == nil {
				continue
			}
			w := &t.workers[n.at]
			if free := w.Free(); !w.Closed && req.Size.Fits(free) {
				best.offer(n, w.ID, t.score(n, free, req.Size)-reservedBonus)
			}
		}
	}
}

// reservedBonus makes the holder and backfill use reserved room first, which
// leaves the rest to tasks that may not use it.
const reservedBonus = 32 * whole * 2 * whole

// Ending is a running task with its expected end.
type Ending struct {
	Worker cluster.WorkerID
	Size   cluster.Resources
	// End is when the task is expected to end; tasks without one are left out of the list.
	End time.Time
}

// opening is a time at which a worker has room for more tasks.
type opening struct {
	at    time.Time
	id    cluster.WorkerID
	tasks int64
}

// PlanReservation returns workers for n tasks of a request and the earliest
// time at which all of them have room if the running tasks end as expected and
// nothing else is started there. Closed workers and workers reserved for other
// jobs are left out.
func (t *Table) PlanReservation(req Request, n int, running []Ending, now time.Time) (workers []cluster.WorkerID, start time.Time, ok bool) {
	byWorker := map[cluster.WorkerID][]Ending{}
	for _, e := range running {
		byWorker[e.Worker] = append(byWorker[e.Worker], e)
	}
	var openings []opening
	for i := range t.workers {
		w := &t.workers[i]
		r := t.nodes[i].reservation
		if w.Closed || !req.Size.Fits(w.Capacity) || r != nil && r.Job != req.Job {
			continue
		}
		openings = appendOpenings(openings, w, req.Size, byWorker[w.ID], now)
	}
	slices.SortFunc(openings, func(a, b opening) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.id, b.id))
	})
	for _, o := range openings {
		for range min(o.tasks, int64(n-len(workers))) {
			workers = append(workers, o.id)
		}
		if len(workers) == n {
			return workers, o.at, true
		}
	}
	return nil, time.Time{}, false
}

// appendOpenings adds the times at which a worker has room for further tasks of a size.
func appendOpenings(openings []opening, w *Worker, size cluster.Resources, endings []Ending, now time.Time) []opening {
	for i := range endings {
		// A task that outlasted its expected end is taken to need as much time again.
		if e := &endings[i]; e.End.Before(now) {
			e.End = now.Add(now.Sub(e.End))
		}
	}
	slices.SortStableFunc(endings, func(a, b Ending) int { return a.End.Compare(b.End) })
	free := w.Free()
	have := timesFits(size, free)
	if have > 0 {
		openings = append(openings, opening{now, w.ID, have})
	}
	for _, e := range endings {
		free = free.Add(e.Size)
		if more := timesFits(size, free); more > have {
			openings = append(openings, opening{e.End, w.ID, more - have})
			have = more
		}
	}
	return openings
}

// timesFits returns how many tasks of a size fit into free.
func timesFits(size, free cluster.Resources) int64 {
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
