package placement

import (
	"container/heap"
	"math"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/fairshare"
)

const (
	// defaultMaxWait limits the wait of deferrable jobs without a limit of their own.
	defaultMaxWait = time.Hour
	// defaultNormalWait is the wait after which a normal job ranks equal to a deferrable job
	// that has waited for its maximum.
	defaultNormalWait = time.Minute
	defaultMaxSkips   = 200
	// defaultStarvationDelay is below 5 minutes, after which users ask why a job does not start.
	defaultStarvationDelay = 2 * time.Minute
	defaultMaxReservations = 2
	// defaultPackingCycle limits how far packing may deviate from the order of a team's items.
	defaultPackingCycle = 8
	// dueStartInterval is the number of starts of which one goes to a due item even if its
	// team is over its entitled share. This bounds the wait of due items and limits what a
	// team gains by submitting more deferrable work than its share can run.
	dueStartInterval = 8
	// startSlackFraction is the part of the run time added to the lead time of an item with
	// a deadline. On a full fleet an item that is due has to wait for running tasks to end.
	startSlackFraction = 0.25
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Total is the capacity that shares are fractions of.
	Total cluster.Resources
	// MaxWait limits the wait of deferrable items that set no limit; zero means 1 hour.
	MaxWait time.Duration
	// NormalWait is the assumed maximum wait of normal items without a deadline, used for
	// ordering; zero means 1 minute.
	NormalWait time.Duration
	// MaxSkips is the number of other starts after which a blocked item is starved; zero means 200.
	MaxSkips int
	// StarvationDelay is the time after which a blocked item is starved; zero means 2 minutes.
	StarvationDelay time.Duration
	// MaxReservations limits the number of items with a reservation; zero means 2.
	MaxReservations int
	// PackingCycle is the length of a cycle of starts of which the last follows the
	// strict order. The others may prefer an item that fills the capacity freed last
	// better. Zero means 8, and 1 means that all starts follow the strict order.
	PackingCycle int
}

// TeamConfig is the weight and the limit of a team.
type TeamConfig struct {
	// Weight is the team's weight relative to other teams; values below 1 count as 1.
	Weight int
	// Limit is the most that the team may use. It applies only if Limited is set.
	Limit   cluster.Resources
	Limited bool
}

// Queue holds the waiting items of all teams and decides which is tried next.
//
// After Next, the caller tries to place the item and reports the outcome: that tasks
// were started, that the item is blocked, that workers were reserved for it, or that
// it is removed. The same sequence of calls always gives the same results.
type Queue struct {
	cfg   QueueConfig
	items map[cluster.JobID]*entry
	teams map[cluster.TeamName]*teamQueue
	// sortedTeams holds the teams by name, so that ties do not depend on map order.
	sortedTeams     []*teamQueue
	blockedGroups   []*group
	blockedEntries  blockedList
	reservedEntries []*entry
	// startCount is the number of tasks started from the queue.
	startCount uint64
	// startsSinceDue is the number of starts since the last one of the earliest due item.
	startsSinceDue int
	// freedCapacity is the capacity freed last, minus the items started since.
	freedCapacity cluster.Resources
	// packedStarts counts the starts since the last one in strict order.
	packedStarts int
	lastSequence uint64
	// sharesStale means that the entitled shares must be recomputed.
	sharesStale bool
	// noneStarvedAt and noneStarvedStartCount are the time and the start count when
	// firstStarved last found no starved item.
	noneStarvedAt         time.Time
	noneStarvedStartCount uint64
	// claims is a buffer that refreshShares reuses.
	claims []fairshare.Claim
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
	if cfg.StarvationDelay <= 0 {
		cfg.StarvationDelay = defaultStarvationDelay
	}
	if cfg.MaxReservations <= 0 {
		cfg.MaxReservations = defaultMaxReservations
	}
	if cfg.PackingCycle <= 0 {
		cfg.PackingCycle = defaultPackingCycle
	}
	return &Queue{cfg: cfg, items: map[cluster.JobID]*entry{}, teams: map[cluster.TeamName]*teamQueue{}}
}

// SetTotal sets the capacity that shares are fractions of.
func (q *Queue) SetTotal(total cluster.Resources) {
	q.cfg.Total = total
	q.sharesStale = true
}

// SetTeam sets the weight and limit of a team. The default is weight 1 and no limit.
func (q *Queue) SetTeam(name cluster.TeamName, cfg TeamConfig) {
	t := q.getOrAddTeam(name)
	cfg.Weight = max(cfg.Weight, 1)
	t.cfg = cfg
	q.sharesStale = true
}

// SetTeamHeld sets whether Next ignores a team's items, for example while the team has no grant.
func (q *Queue) SetTeamHeld(name cluster.TeamName, held bool) { q.getOrAddTeam(name).held = held }

// AddUsage adds to a team's usage. Tasks started from the queue are added when the start is recorded.
func (q *Queue) AddUsage(name cluster.TeamName, size cluster.Resources) {
	t := q.getOrAddTeam(name)
	t.used = t.used.Add(size)
	q.sharesStale = true
}

// SubtractUsage subtracts from a team's usage.
func (q *Queue) SubtractUsage(name cluster.TeamName, size cluster.Resources) {
	t := q.getOrAddTeam(name)
	t.used = t.used.Sub(size).Max(cluster.Resources{})
	q.sharesStale = true
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

// Add adds an item or replaces the item of the same job. An item without tasks is removed.
func (q *Queue) Add(item Item) {
	old := q.items[item.Job]
	if old != nil && old.item == item {
		return
	}
	wasReserved, wasBlocked := old != nil && old.reserved, old != nil && old.inBlockedList
	q.Remove(item.Job)
	if item.Tasks <= 0 {
		return
	}
	q.lastSequence++
	e := &entry{item: item, sequence: q.lastSequence, latestStart: q.latestStart(&item)}
	q.items[item.Job] = e
	t := q.getOrAddTeam(item.Job.Team)
	t.pending = t.pending.Add(item.Size.Times(int64(item.Tasks)))
	t.insert(e)
	q.sharesStale = true
	if old == nil {
		return
	}
	// An update of the size or the number of tasks keeps the job's position among equal
	// items and the time for which it has been blocked.
	e.sequence = old.sequence
	heap.Fix(&e.group.entries, e.heapIndex)
	if e.group.isActive() {
		heap.Fix(t.activeHeap(e.group), e.group.heapIndex)
	}
	e.blockedSince, e.startsAtBlock, e.teamStartsAtBlock = old.blockedSince, old.startsAtBlock, old.teamStartsAtBlock
	switch {
	case wasReserved:
		q.MarkReserved(item.Job)
	case wasBlocked:
		q.reinsertBlocked(e)
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
	q.removeEntry(e)
	q.sharesStale = true
}

// RecordStarts records that n tasks of an item were placed, which adds them to the team's usage.
func (q *Queue) RecordStarts(job cluster.JobID, n int) {
	e, ok := q.items[job]
	if !ok || n <= 0 {
		return
	}
	n = min(n, e.item.Tasks)
	q.startCount += uint64(n)
	if e.selectedAsDue {
		q.startsSinceDue = 0
	} else {
		q.startsSinceDue += n
	}
	amount := e.item.Size.Times(int64(n))
	if e.selectedForPacking {
		q.packedStarts += n
	} else {
		q.packedStarts = 0
	}
	if item := &e.item; item.Size.Fits(q.freedCapacity) {
		q.freedCapacity = q.freedCapacity.Sub(item.Size)
	}
	t := q.teams[job.Team]
	t.startCount += uint64(n)
	t.used = t.used.Add(amount)
	t.pending = t.pending.Sub(amount)
	// Used and pending change by opposite amounts, so the entitled shares stay the same.
	e.item.Tasks -= n
	if e.item.Tasks == 0 {
		delete(q.items, job)
		q.removeEntry(e)
		return
	}
	q.blockedEntries.remove(e)
	if e.reserved {
		// The reservation was for one task; the remaining ones are scheduled as usual.
		q.removeEntry(e)
		t.insert(e)
	}
}

// MarkBlocked records that an item did not fit. Next skips the team's items of this size
// until enough capacity is reported as freed or the item is starved.
func (q *Queue) MarkBlocked(job cluster.JobID, now time.Time) {
	e, ok := q.items[job]
	if !ok {
		return
	}
	if e.reserved {
		e.triedSinceFreed = true
		return
	}
	if e.selectedAsStarved {
		// No workers could be reserved. Restart the count, or Next would return this item forever.
		q.blockedEntries.remove(e)
	}
	if !e.inBlockedList {
		e.blockedSince, e.startsAtBlock, e.teamStartsAtBlock, e.selectedAsStarved = now, q.startCount, q.teams[job.Team].startCount, false
		q.blockedEntries.push(e)
	}
	if g := e.group; g.isActive() {
		g.team.deactivate(g)
		q.blockedGroups = append(q.blockedGroups, g)
	}
}

// MarkReserved records that workers were reserved for an item.
func (q *Queue) MarkReserved(job cluster.JobID) {
	e, ok := q.items[job]
	if !ok || e.reserved {
		return
	}
	q.removeEntry(e)
	e.reserved, e.triedSinceFreed = true, true
	q.reservedEntries = append(q.reservedEntries, e)
}

// MarkUnreserved records that the reservation of an item expired or was released. The
// item keeps its earlier blocked time, so that Next immediately asks for another
// reservation: tasks that run longer than expected must not send a large item to the
// end of the queue.
func (q *Queue) MarkUnreserved(job cluster.JobID) {
	e, ok := q.items[job]
	if !ok || !e.reserved {
		return
	}
	q.removeEntry(e)
	q.teams[job.Team].insert(e)
	q.reinsertBlocked(e)
}

// reinsertBlocked adds an entry back to the list of blocked entries by its earlier blocked time.
func (q *Queue) reinsertBlocked(e *entry) {
	q.blockedEntries.insert(e)
	q.noneStarvedAt = time.Time{}
}

// RecordFreed reactivates the blocked items that fit into free, the current free capacity of a worker.
func (q *Queue) RecordFreed(free cluster.Resources) {
	q.freedCapacity = free
	stillBlocked := q.blockedGroups[:0]
	for _, g := range q.blockedGroups {
		switch {
		case g.removed:
		case g.minSize.Fits(free):
			g.team.activate(g)
		default:
			stillBlocked = append(stillBlocked, g)
		}
	}
	clear(q.blockedGroups[len(stillBlocked):])
	q.blockedGroups = stillBlocked
	for _, e := range q.reservedEntries {
		if e.item.Size.Fits(free) {
			e.triedSinceFreed = false
		}
	}
}

// State returns why an item waits.
func (q *Queue) State(job cluster.JobID) ItemState {
	e, ok := q.items[job]
	if !ok {
		return ItemUnknown
	}
	t := q.teams[job.Team]
	switch {
	case t.held:
		return ItemHeld
	case !t.withinLimit(&e.item):
		return ItemOverLimit
	case e.reserved:
		return ItemReserved
	case !e.group.isActive():
		return ItemBlocked
	}
	return ItemReady
}

// latestStart returns the time by which items are ordered: the latest start that meets
// the deadline, or the end of the wait that the priority allows.
func (q *Queue) latestStart(item *Item) time.Time {
	if !item.Deadline.IsZero() {
		return item.Deadline.Add(-q.leadTime(item))
	}
	if item.Priority != cluster.PriorityDeferrable {
		return item.SubmittedAt.Add(q.cfg.NormalWait)
	}
	if item.MaxWait > 0 {
		return item.SubmittedAt.Add(item.MaxWait)
	}
	return item.SubmittedAt.Add(q.cfg.MaxWait)
}

// leadTime returns how long before its deadline an item must start. A job that is
// larger than its team's share of the total capacity runs its tasks in several waves.
func (q *Queue) leadTime(item *Item) time.Duration {
	waves := 1.0
	if !item.Gang {
		weights := 0
		for _, t := range q.sortedTeams {
			weights += t.cfg.Weight
		}
		t := q.getOrAddTeam(item.Job.Team)
		share := float64(t.cfg.Weight) / float64(max(weights, t.cfg.Weight))
		demand := item.Size.Times(int64(item.Tasks)).DominantShare(q.cfg.Total)
		waves = max(1, min(math.Ceil(demand/share), float64(item.Tasks)))
	}
	return time.Duration(float64(item.RunTime) * (waves + startSlackFraction))
}
