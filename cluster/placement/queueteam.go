package placement

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// entry is an item in the queue.
type entry struct {
	item Item
	// latestStart is the result of Queue.latestStart when the item was added; items are ordered by it.
	latestStart time.Time
	// sequence orders items with equal latestStart by arrival.
	sequence uint64
	// group is nil while the entry is reserved.
	group *group
	// heapIndex is the entry's index in the heap of its group.
	heapIndex int
	// selectedAsDue means that Next returned the item as the earliest due item.
	selectedAsDue bool
	// selectedForPacking means that Next returned the item because it fills the freed capacity.
	selectedForPacking bool
	reserved           bool
	// triedSinceFreed means that the item, which has a reservation, was tried since capacity for it was last freed.
	triedSinceFreed bool
	// inBlockedList means that the entry is in Queue.blockedEntries, linked by next and prev.
	// blockedSince is when the item first did not fit.
	inBlockedList bool
	blockedSince  time.Time
	// startsAtBlock and teamStartsAtBlock are the start counts of the queue and of the team at blockedSince.
	startsAtBlock, teamStartsAtBlock uint64
	next, prev                       *entry
	// selectedAsStarved means that Next returned the item because it is starved.
	selectedAsStarved bool
}

// precedes orders items by latest start, then by arrival.
func (e *entry) precedes(other *entry) bool {
	if c := e.latestStart.Compare(other.latestStart); c != 0 {
		return c < 0
	}
	return e.sequence < other.sequence
}

// blockedList is a linked list of blocked entries, the longest blocked first.
type blockedList struct{ first, last *entry }

// push adds an entry that has just been blocked.
func (l *blockedList) push(e *entry) {
	e.inBlockedList, e.prev, e.next = true, l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

// insert adds an entry at the position given by its blockedSince.
func (l *blockedList) insert(e *entry) {
	after := l.last
	for after != nil && e.blockedSince.Before(after.blockedSince) {
		after = after.prev
	}
	e.inBlockedList, e.prev = true, after
	if after == nil {
		e.next, l.first = l.first, e
	} else {
		e.next, after.next = after.next, e
	}
	if e.next == nil {
		l.last = e
	} else {
		e.next.prev = e
	}
}

// remove removes an entry if it is in the list.
func (l *blockedList) remove(e *entry) {
	if !e.inBlockedList {
		return
	}
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.inBlockedList, e.selectedAsStarved, e.prev, e.next = false, false, nil, nil
}

// maxExactGroups is the number of groups of a team from which new sizes are grouped by
// level. With 10,000 distinct sizes, each release of capacity activated thousands of
// groups whose items were all tried without success.
const maxExactGroups = 64

// groupKey is what the items of a group have in common: if one does not fit, none does.
// If a team has very many sizes, sizes of the same level are treated as equal although
// they differ by up to a quarter.
type groupKey struct {
	size cluster.Resources
	// tasks is the number of tasks of a gang job, or 0.
	tasks int
	class orderClass
	// sizeIsLevel means that size holds levels instead of amounts.
	sizeIsLevel bool
}

// withLevels returns the key shared by all sizes of the same level.
func (k groupKey) withLevels() groupKey {
	k.size.CPU, k.size.Memory = cluster.CPU(cpuLevel(k.size.CPU)), cluster.Bytes(memoryLevel(k.size.Memory))
	k.sizeIsLevel = true
	return k
}

// orderClass is the rule by which an item precedes the items of other teams.
type orderClass int

const (
	// urgentClass items go first while the team is below its entitled share.
	urgentClass orderClass = iota
	// normalClass items are only ordered within their team.
	normalClass
	// timedClass items go first once their latest start is reached.
	timedClass
	orderClassCount
)

func orderClassOf(item *Item) orderClass {
	switch {
	case item.Priority == cluster.PriorityUrgent:
		return urgentClass
	case !item.Deadline.IsZero() || item.Priority == cluster.PriorityDeferrable:
		return timedClass
	}
	return normalClass
}

// group holds the items of a team with the same key, the next one first.
type group struct {
	groupKey
	team    *teamQueue
	entries entryHeap
	// minSize is at most the size of any entry.
	minSize cluster.Resources
	// heapIndex is the group's index in the heap of its team's active groups, or -1 while the group is blocked.
	heapIndex int
	// removed means that the group has become empty; it may still be in Queue.blockedGroups.
	removed bool
}

func (g *group) isActive() bool { return g.heapIndex >= 0 }

// teamQueue holds the groups and the usage of a team.
type teamQueue struct {
	name cluster.TeamName
	cfg  TeamConfig
	// held means that Next ignores the team.
	held bool
	// used and pending are the total resources of the running and of the pending tasks.
	used, pending cluster.Resources
	// entitled is the entitled share computed by refreshShares.
	entitled   float64
	startCount uint64
	groups     map[groupKey]*group
	// activeGroups holds the groups that are not blocked. Each order class has its own heap:
	// in a common heap an old normal item at the top would hide a due item.
	activeGroups [orderClassCount]groupHeap
}

func (q *Queue) getOrAddTeam(name cluster.TeamName) *teamQueue {
	t, ok := q.teams[name]
	if !ok {
		t = &teamQueue{name: name, cfg: TeamConfig{Weight: 1}, groups: map[groupKey]*group{}}
		q.teams[name] = t
		position, _ := slices.BinarySearchFunc(q.sortedTeams, name, func(t *teamQueue, n cluster.TeamName) int {
			if t.name < n {
				return -1
			}
			return 1
		})
		q.sortedTeams = slices.Insert(q.sortedTeams, position, t)
	}
	return t
}

// withinLimit reports whether the next start of the item keeps the team within its limit.
func (t *teamQueue) withinLimit(item *Item) bool {
	if !t.cfg.Limited {
		return true
	}
	size := item.Size
	if item.Gang {
		size = size.Times(int64(item.Tasks))
	}
	return t.used.Add(size).Fits(t.cfg.Limit)
}

func (t *teamQueue) dominantShare(total cluster.Resources) float64 {
	return t.used.DominantShare(total)
}

// weightedShare returns the dominant share divided by the weight.
func (t *teamQueue) weightedShare(total cluster.Resources) float64 {
	return t.dominantShare(total) / float64(t.cfg.Weight)
}

func (t *teamQueue) activeHeap(g *group) *groupHeap { return &t.activeGroups[g.class] }

// insert adds an entry to the group of its size and order class, which is created if necessary.
func (t *teamQueue) insert(e *entry) {
	key := groupKey{size: e.item.Size, class: orderClassOf(&e.item)}
	if e.item.Gang {
		key.tasks = e.item.Tasks
	}
	g, ok := t.groups[key]
	if !ok && len(t.groups) >= maxExactGroups {
		key = key.withLevels()
		g, ok = t.groups[key]
	}
	if !ok {
		g = &group{groupKey: key, team: t, heapIndex: -1, minSize: e.item.Size}
		t.groups[key] = g
	}
	g.minSize = g.minSize.Min(e.item.Size)
	e.group = g
	heap.Push(&g.entries, e)
	switch {
	case !ok:
		heap.Push(t.activeHeap(g), g)
	case g.isActive():
		heap.Fix(t.activeHeap(g), g.heapIndex)
	}
}

// removeEntry removes an entry from its group, the list of blocked entries and the reserved entries.
func (q *Queue) removeEntry(e *entry) {
	q.blockedEntries.remove(e)
	if e.reserved {
		e.reserved = false
		q.reservedEntries = slices.DeleteFunc(q.reservedEntries, func(r *entry) bool { return r == e })
		return
	}
	g := e.group
	t := g.team
	heap.Remove(&g.entries, e.heapIndex)
	e.group = nil
	switch {
	case len(g.entries) == 0:
		if g.isActive() {
			heap.Remove(t.activeHeap(g), g.heapIndex)
		}
		g.removed = true
		delete(t.groups, g.groupKey)
	case g.isActive():
		heap.Fix(t.activeHeap(g), g.heapIndex)
	}
}

// deactivate removes a blocked group from its heap.
func (t *teamQueue) deactivate(g *group) { heap.Remove(t.activeHeap(g), g.heapIndex) }

// activate puts a group back that is no longer blocked.
func (t *teamQueue) activate(g *group) { heap.Push(t.activeHeap(g), g) }

// nextEntry returns the next entry of the team: urgent items first, the others by latest start.
func (t *teamQueue) nextEntry() *entry {
	if e := t.firstEligible(urgentClass); e != nil {
		return e
	}
	normal, timed := t.firstEligible(normalClass), t.firstEligible(timedClass)
	if normal == nil || timed != nil && timed.precedes(normal) {
		return timed
	}
	return normal
}

// firstEligible returns the first entry of an order class that is neither blocked nor over the team's limit.
func (t *teamQueue) firstEligible(class orderClass) *entry {
	groups := t.activeGroups[class]
	if len(groups) == 0 {
		return nil
	}
	if e := groups[0].entries[0]; t.withinLimit(&e.item) {
		return e
	}
	// Search all groups. Only teams at their limit get here.
	var best *entry
	for _, g := range groups {
		if e := g.entries[0]; t.withinLimit(&e.item) && (best == nil || e.precedes(best)) {
			best = e
		}
	}
	return best
}

// entryHeap orders the entries of a group.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// groupHeap orders groups by their first entries.
type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, j int) bool { return h[i].entries[0].precedes(h[j].entries[0]) }
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.heapIndex = -1
	return g
}
