package placement

import (
	"container/heap"
	"math"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// defaultMaxWait bounds the wait of deferrable work whose queue sets no bound.
	defaultMaxWait = time.Hour
	// defaultNormalWait is the wait after which normal work ranks with deferrable work at its bound.
	defaultNormalWait = time.Minute
	defaultMaxSkips   = 200
	// defaultMaxBlocked is shorter than the 5 minutes after which a user asks why a job does not start.
	defaultMaxBlocked      = 2 * time.Minute
	defaultMaxReservations = 2
	// defaultPackTurns bounds what packing may do to the order of a team's work.
	defaultPackTurns = 8
	// dueTurn is the number of starts among which one goes to due work of a team over its
	// share. It bounds the wait of due work and limits what a team gains by submitting
	// more deferrable work than its share can run.
	dueTurn = 8
	// startSlack is the part of the run time that work with a deadline may wait for
	// room once it is due: in a full fleet it starts only when running tasks end.
	startSlack = 0.25
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Total is the capacity that shares are fractions of.
	Total cluster.Resources
	// MaxWait bounds the wait of deferrable work that names no bound; zero means 1 hour.
	MaxWait time.Duration
	// NormalWait is the wait that normal work without a deadline is ordered by; zero means 1 minute.
	NormalWait time.Duration
	// MaxSkips is the number of starts after which a blocked item gets a reservation; zero means 200.
	MaxSkips int
	// MaxBlocked is the time after which a blocked item gets a reservation; zero means 2 minutes.
	MaxBlocked time.Duration
	// MaxReservations limits the items with reservations at one time; zero means 2.
	MaxReservations int
	// PackTurns is the number of starts, of which the last is in strict order, while
	// the others may prefer an item that fills the freed room better; zero means 8
	// and 1 means strict order.
	PackTurns int
}

// TeamConfig is a team's part in the queue.
type TeamConfig struct {
	// Weight is the team's share in relation to others; values below 1 count as 1.
	Weight int
	// Limit is the most that the team may use; it is ignored unless Limited is set.
	Limit   cluster.Resources
	Limited bool
}

// Queue holds the waiting items of all teams and says which is tried next.
//
// After Next the caller tries to place the item and calls Started, Blocked,
// Reserved or Remove. Calls with the same arguments give the same answers.
type Queue struct {
	cfg   QueueConfig
	items map[cluster.JobID]*entry
	teams map[cluster.TeamName]*team
	// order holds the teams by name, so that ties do not depend on map order.
	order    []*team
	blocked  []*group
	waiting  entryList
	reserved []*entry
	starts   uint64
	sinceDue int
	// hole is the room that was freed last, less what was started since.
	hole cluster.Resources
	// packed counts the starts since the last one in strict order.
	packed   int
	sequence uint64
	stale    bool
	// nobodyAt and nobodyStarts say when no item was found to have been passed over too often.
	nobodyAt     time.Time
	nobodyStarts uint64
	// fill is the scratch space of refresh.
	fill []claim
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	if cfg.MaxWait <= 0 {
		cfg.MaxWait = defaultMaxWait
	}
	if cfg.NormalWait <= 0 {
		cfg.NormalWait = defaultNormalWait
	}
	if cfg.MaxSkips <= 0 {
		cfg.MaxSkips = defaultMaxSkips
	}
	if cfg.MaxBlocked <= 0 {
		cfg.MaxBlocked = defaultMaxBlocked
	}
	if cfg.MaxReservations <= 0 {
		cfg.MaxReservations = defaultMaxReservations
	}
	if cfg.PackTurns <= 0 {
		cfg.PackTurns = defaultPackTurns
	}
	return &Queue{cfg: cfg, items: map[cluster.JobID]*entry{}, teams: map[cluster.TeamName]*team{}}
}

// SetTotal sets the capacity that shares are fractions of.
func (q *Queue) SetTotal(total cluster.Resources) {
	q.cfg.Total = total
	q.stale = true
}

// SetTeam sets a team's weight and limit; a team that was never set has weight 1 and no limit.
func (q *Queue) SetTeam(name cluster.TeamName, cfg TeamConfig) {
	t := q.team(name)
	cfg.Weight = max(cfg.Weight, 1)
	t.cfg = cfg
	q.stale = true
}

// Hold keeps a team's items out of Next, for example while it has no grant, or lets them in again.
func (q *Queue) Hold(name cluster.TeamName, held bool) { q.team(name).held = held }

// Use adds to what a team is counted to use; Started does so for the tasks of items.
func (q *Queue) Use(name cluster.TeamName, size cluster.Resources) {
	t := q.team(name)
	t.used = t.used.Add(size)
	q.stale = true
}

// Release takes size from what a team is counted to use.
func (q *Queue) Release(name cluster.TeamName, size cluster.Resources) {
	t := q.team(name)
	t.used = t.used.Sub(size).Max(cluster.Resources{})
	q.stale = true
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Get returns an item.
func (q *Queue) Get(job cluster.JobID) (Item, bool) {
	e, ok := q.items[job]
	if !ok {
		return Item{}, false
	}
	return e.item, true
}

// Add adds an item or replaces the item of the same job; an item without tasks is removed.
func (q *Queue) Add(item Item) {
	old := q.items[item.Job]
	if old != nil && old.item == item {
		return
	}
	wasReserved, wasWaiting := old != nil && old.reserved, old != nil && old.waiting
	q.Remove(item.Job)
	if item.Tasks <= 0 {
		return
	}
	q.sequence++
	e := &entry{item: item, sequence: q.sequence, key: q.latestStart(&item)}
	q.items[item.Job] = e
	t := q.team(item.Job.Team)
	t.pending = t.pending.Add(item.Size.Times(int64(item.Tasks)))
	t.insert(e)
	q.stale = true
	if old == nil {
		return
	}
	// A changed size or count of tasks must not cost the job its place among equals
	// nor what it waited for room.
	e.sequence = old.sequence
	heap.Fix(&e.group.entries, e.position)
	if e.group.active() {
		heap.Fix(t.heapOf(e.group), e.group.position)
	}
	e.since, e.startsSince, e.teamStartsSince = old.since, old.startsSince, old.teamStartsSince
	switch {
	case wasReserved:
		q.Reserved(item.Job)
	case wasWaiting:
		q.rejoin(e)
	}
}

// Remove removes an item.
func (q *Queue) Remove(job cluster.JobID) {
	e, ok := q.items[job]
	if !ok {
		return
	}
	delete(q.items, job)
	t := q.teams[job.Team]
	t.pending = t.pending.Sub(e.item.Size.Times(int64(e.item.Tasks)))
	q.detach(e)
	q.stale = true
}

// Started records that n tasks of an item were given room: they count as used by the team.
func (q *Queue) Started(job cluster.JobID, n int) {
	e, ok := q.items[job]
	if !ok || n <= 0 {
		return
	}
	n = min(n, e.item.Tasks)
	q.starts += uint64(n)
	if e.due {
		q.sinceDue = 0
	} else {
		q.sinceDue += n
	}
	amount := e.item.Size.Times(int64(n))
	if e.packed {
		q.packed += n
	} else {
		q.packed = 0
	}
	if item := &e.item; item.Size.Fits(q.hole) {
		q.hole = q.hole.Sub(item.Size)
	}
	t := q.teams[job.Team]
	t.starts += uint64(n)
	t.used = t.used.Add(amount)
	t.pending = t.pending.Sub(amount)
	// Used and pending change by opposite amounts, so the entitled shares stay as they are.
	e.item.Tasks -= n
	if e.item.Tasks == 0 {
		delete(q.items, job)
		q.detach(e)
		return
	}
	q.waiting.remove(e)
	if e.reserved {
		// The reservation was for one task; the others take their turns again.
		q.detach(e)
		t.insert(e)
	}
}

// Blocked records that an item did not fit. Items of its team and size are not
// returned again until Freed is called with enough room or the item is passed
// over too often.
func (q *Queue) Blocked(job cluster.JobID, now time.Time) {
	e, ok := q.items[job]
	if !ok {
		return
	}
	if e.reserved {
		e.tried = true
		return
	}
	if e.overtaken {
		// No workers could be reserved: the count starts again, or Next would return the item forever.
		q.waiting.remove(e)
	}
	if !e.waiting {
		e.since, e.startsSince, e.teamStartsSince, e.overtaken = now, q.starts, q.teams[job.Team].starts, false
		q.waiting.push(e)
	}
	if g := e.group; g.active() {
		g.team.suspend(g)
		q.blocked = append(q.blocked, g)
	}
}

// Reserved records that workers were reserved for an item.
func (q *Queue) Reserved(job cluster.JobID) {
	e, ok := q.items[job]
	if !ok || e.reserved {
		return
	}
	q.detach(e)
	e.reserved, e.tried = true, true
	q.reserved = append(q.reserved, e)
}

// Unreserved records that the reservation of an item lapsed or was given up. The
// item counts as passed over since before, so that Next asks for another
// reservation at once: tasks that run longer than expected must not send a large
// item back to the end of the line.
func (q *Queue) Unreserved(job cluster.JobID) {
	e, ok := q.items[job]
	if !ok || !e.reserved {
		return
	}
	q.detach(e)
	q.teams[job.Team].insert(e)
	q.rejoin(e)
}

// rejoin puts an item back among those that wait for room, at its old place.
func (q *Queue) rejoin(e *entry) {
	q.waiting.insert(e)
	q.nobodyAt = time.Time{}
}

// Freed makes the blocked items ready that fit into free, which is what some worker now has left.
func (q *Queue) Freed(free cluster.Resources) {
	q.hole = free
	kept := q.blocked[:0]
	for _, g := range q.blocked {
		switch {
		case g.dropped:
		case g.smallest.Fits(free):
			g.team.resume(g)
		default:
			kept = append(kept, g)
		}
	}
	clear(q.blocked[len(kept):])
	q.blocked = kept
	for _, e := range q.reserved {
		if e.item.Size.Fits(free) {
			e.tried = false
		}
	}
}

// State says why an item waits.
func (q *Queue) State(job cluster.JobID) ItemState {
	e, ok := q.items[job]
	if !ok {
		return ItemUnknown
	}
	t := q.teams[job.Team]
	switch {
	case t.held:
		return ItemHeld
	case !t.admits(&e.item):
		return ItemOverLimit
	case e.reserved:
		return ItemReserved
	case !e.group.active():
		return ItemBlocked
	}
	return ItemReady
}

// latestStart returns the time that an item is ordered by: the latest start that
// meets its deadline, or the end of the wait that its priority allows.
func (q *Queue) latestStart(item *Item) time.Time {
	if !item.Deadline.IsZero() {
		return item.Deadline.Add(-q.timeNeeded(item))
	}
	if item.Priority != cluster.PriorityDeferrable {
		return item.Submitted.Add(q.cfg.NormalWait)
	}
	if item.MaxWait > 0 {
		return item.Submitted.Add(item.MaxWait)
	}
	return item.Submitted.Add(q.cfg.MaxWait)
}

// timeNeeded returns how long before its deadline an item must start. A job that
// is larger than its team's share of the fleet runs its tasks in several waves.
func (q *Queue) timeNeeded(item *Item) time.Duration {
	waves := 1.0
	if !item.Gang {
		weights := 0
		for _, t := range q.order {
			weights += t.cfg.Weight
		}
		t := q.team(item.Job.Team)
		share := float64(t.cfg.Weight) / float64(max(weights, t.cfg.Weight))
		demand := item.Size.Times(int64(item.Tasks)).DominantShare(q.cfg.Total)
		waves = max(1, min(math.Ceil(demand/share), float64(item.Tasks)))
	}
	return time.Duration(float64(item.RunTime) * (waves + startSlack))
}
