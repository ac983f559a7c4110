package placement

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// entry is an item in the queue.
type entry struct {
	item     Item
	key      time.Time
	sequence uint64
	group    *group
	// position is the entry's index in its group's heap.
	position int
	due      bool
	// packed says that Next returned the item because it fills the freed room.
	packed   bool
	reserved bool
	// tried says that the item with a reservation did not fit since room was last freed.
	tried bool
	// waiting and the others record when the item first did not fit.
	waiting                      bool
	since                        time.Time
	startsSince, teamStartsSince uint64
	next, prev                   *entry
	// overtaken says that Next returned the item because it was passed over too often.
	overtaken bool
}

// before orders items by latest start; equal ones by arrival.
func (e *entry) before(f *entry) bool {
	if c := e.key.Compare(f.key); c != 0 {
		return c < 0
	}
	return e.sequence < f.sequence
}

// entryList is a list of blocked items, the longest blocked first.
type entryList struct{ first, last *entry }

func (l *entryList) push(e *entry) {
	e.waiting, e.prev, e.next = true, l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

// insert puts an entry at the place that its time in the list gives it.
func (l *entryList) insert(e *entry) {
	after := l.last
	for after != nil && e.since.Before(after.since) {
		after = after.prev
	}
	e.waiting, e.prev = true, after
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

func (l *entryList) remove(e *entry) {
	if !e.waiting {
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
	e.waiting, e.overtaken, e.prev, e.next = false, false, nil, nil
}

// exactShapes is the number of a team's shapes from which sizes are grouped by
// level. With 10,000 different sizes every release of room made thousands of
// groups ready, and each of them was tried in vain.
const exactShapes = 64

// shape is what the items of a group have in common: if one does not fit, none
// does. Sizes of the same level are taken for equal, although they differ by up
// to a quarter, once a team has very many.
type shape struct {
	size  cluster.Resources
	tasks int
	rush  rush
	// leveled says that size holds levels.
	leveled bool
}

// leveledShape returns the shape that holds all sizes of the same level.
func (s shape) leveledShape() shape {
	s.size.CPU, s.size.Memory = cluster.CPU(cpuLevel(s.size.CPU)), cluster.Bytes(memoryLevel(s.size.Memory))
	s.leveled = true
	return s
}

// rush is the kind of order that an item is subject to.
type rush int

const (
	// urgent items go first while the team is below its share.
	urgent rush = iota
	// normal items only have a place in their team's order.
	normal
	// dueLater items go first once their latest start is reached.
	dueLater
	rushes
)

func rushOf(item *Item) rush {
	switch {
	case item.Priority == cluster.PriorityUrgent:
		return urgent
	case !item.Deadline.IsZero() || item.Priority == cluster.PriorityDeferrable:
		return dueLater
	}
	return normal
}

// group holds the items of a team with one shape, the next one first.
type group struct {
	shape
	team    *team
	entries entryHeap
	// smallest is at most the size of any entry.
	smallest cluster.Resources
	// position is the group's index in its team's heap, or -1 while the group is blocked.
	position int
	dropped  bool
}

func (g *group) active() bool { return g.position >= 0 }

// team holds a team's groups.
type team struct {
	name          cluster.TeamName
	cfg           TeamConfig
	held          bool
	used, pending cluster.Resources
	entitled      float64
	starts        uint64
	groups        map[shape]*group
	// active holds the groups that are not blocked. Normal items are kept apart: an
	// old one at the head of a common heap would hide a due item.
	active [rushes]groupHeap
}

func (q *Queue) team(name cluster.TeamName) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name, cfg: TeamConfig{Weight: 1}, groups: map[shape]*group{}}
		q.teams[name] = t
		at, _ := slices.BinarySearchFunc(q.order, name, func(t *team, n cluster.TeamName) int {
			if t.name < n {
				return -1
			}
			return 1
		})
		q.order = slices.Insert(q.order, at, t)
	}
	return t
}

// admits reports whether the team stays within its limit with the item's next start.
func (t *team) admits(item *Item) bool {
	if !t.cfg.Limited {
		return true
	}
	size := item.Size
	if item.Gang {
		size = size.Times(int64(item.Tasks))
	}
	return t.used.Add(size).Fits(t.cfg.Limit)
}

func (t *team) dominant(total cluster.Resources) float64 { return t.used.DominantShare(total) }

func (t *team) ratio(total cluster.Resources) float64 {
	return t.dominant(total) / float64(t.cfg.Weight)
}

func (t *team) heapOf(g *group) *groupHeap { return &t.active[g.rush] }

func (t *team) insert(e *entry) {
	s := shape{size: e.item.Size, rush: rushOf(&e.item)}
	if e.item.Gang {
		s.tasks = e.item.Tasks
	}
	g, ok := t.groups[s]
	if !ok && len(t.groups) >= exactShapes {
		s = s.leveledShape()
		g, ok = t.groups[s]
	}
	if !ok {
		g = &group{shape: s, team: t, position: -1, smallest: e.item.Size}
		t.groups[s] = g
	}
	g.smallest = g.smallest.Min(e.item.Size)
	e.group = g
	heap.Push(&g.entries, e)
	switch {
	case !ok:
		heap.Push(t.heapOf(g), g)
	case g.active():
		heap.Fix(t.heapOf(g), g.position)
	}
}

// detach takes an entry out of its group, the list of blocked items and the reservations.
func (q *Queue) detach(e *entry) {
	q.waiting.remove(e)
	if e.reserved {
		e.reserved = false
		q.reserved = slices.DeleteFunc(q.reserved, func(r *entry) bool { return r == e })
		return
	}
	g := e.group
	t := g.team
	heap.Remove(&g.entries, e.position)
	e.group = nil
	switch {
	case len(g.entries) == 0:
		if g.active() {
			heap.Remove(t.heapOf(g), g.position)
		}
		g.dropped = true
		delete(t.groups, g.shape)
	case g.active():
		heap.Fix(t.heapOf(g), g.position)
	}
}

func (t *team) suspend(g *group) { heap.Remove(t.heapOf(g), g.position) }

func (t *team) resume(g *group) { heap.Push(t.heapOf(g), g) }

// head returns the item that the team would start next: urgent work first, the rest by latest start.
func (t *team) head() *entry {
	if e := t.first(urgent); e != nil {
		return e
	}
	e, d := t.first(normal), t.first(dueLater)
	if e == nil || d != nil && d.before(e) {
		return d
	}
	return e
}

// first returns the first item of a kind that is neither blocked nor over the team's limit.
func (t *team) first(kind rush) *entry {
	groups := t.active[kind]
	if len(groups) == 0 {
		return nil
	}
	if e := groups[0].entries[0]; t.admits(&e.item) {
		return e
	}
	// Only a team at its limit pays for a look at all its groups.
	var best *entry
	for _, g := range groups {
		if e := g.entries[0]; t.admits(&e.item) && (best == nil || e.before(best)) {
			best = e
		}
	}
	return best
}

// entryHeap orders the entries of a group.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.position = len(*h)
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

// groupHeap orders groups by their first entry.
type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, j int) bool { return h[i].entries[0].before(h[j].entries[0]) }
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.position = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.position = -1
	return g
}
