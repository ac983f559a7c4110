package clientlimit

import "time"

const (
	// expectedRate is the rate in bytes per second at which a body neither gains nor loses on the others of its age.
	expectedRate = 1 << 20
	// minEvictLateness is how late an unfinished body is before it is closed in favor of another one. Bodies that
	// are just arriving are finished instead, and new ones refused.
	minEvictLateness = 200 * time.Millisecond
	// smallBytes is the largest hold of an ordinary request. Larger ones leave a part in largeReserve of the budget to
	// those.
	smallBytes   = 32 << 10
	largeReserve = 4
)

// Budget decides which bodies may take memory and which are closed for others. It does no input or output, reads no
// clock and is not safe for concurrent use; Bodies is.
type Budget struct {
	limit int64
	held  int64
	// unfinished holds the bodies that have not arrived completely; each knows its index.
	unfinished []*Body
	// open is the number of open bodies, finished ones included.
	open int
}

// Body is a request body from its first byte to the end of the response. The zero value can be opened once.
type Body struct {
	// Abort ends the reading of the body; Bodies calls it when the body is evicted. It must not block.
	Abort func()

	start    time.Time
	received int64
	held     int64
	index    int
	state    bodyState
}

type bodyState int

const (
	bodyClosed bodyState = iota
	bodyUnfinished
	bodyFinished
	bodyEvicted
)

// lateness returns how far a body is behind one that arrives at expectedRate.
func (b *Body) lateness(now time.Time) time.Duration {
	return now.Sub(b.start) - time.Duration(float64(b.received)/expectedRate*float64(time.Second))
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the number of bytes. What is held stays held.
func (g *Budget) SetLimit(limit int64) { g.limit = limit }

// Open admits a body that takes n bytes. It returns the bodies to abort in its favor, and false if there is no room.
func (g *Budget) Open(now time.Time, b *Body, n int64) (evicted []*Body, ok bool) {
	b.start, b.received, b.held = now, 0, 0
	if evicted, ok = g.reserve(now, b, n); !ok {
		return evicted, false
	}
	b.state, b.index = bodyUnfinished, len(g.unfinished)
	g.unfinished = append(g.unfinished, b)
	g.open++
	return evicted, true
}

// Grow takes n more bytes for a body of which received bytes have arrived. It returns false if the body has been
// evicted or there is no room; then the body must be refused and closed.
func (g *Budget) Grow(now time.Time, b *Body, n, received int64) (evicted []*Body, ok bool) {
	if b.state != bodyUnfinished {
		return nil, false
	}
	b.received = received
	return g.reserve(now, b, n)
}

// Finish ends the reception of a body, which is then not evicted any more, and sets what it takes, decoded data
// included. A finished body may be finished again with another size. Finish returns false if the body has been evicted
// or there is no room.
func (g *Budget) Finish(now time.Time, b *Body, n int64) (evicted []*Body, ok bool) {
	switch b.state {
	case bodyUnfinished:
		g.remove(b)
		b.state = bodyFinished
	case bodyFinished:
	default:
		return nil, false
	}
	return g.reserve(now, b, n-b.held)
}

// Close releases what a body takes. A body that is not open stays as it is.
func (g *Budget) Close(b *Body) {
	switch b.state {
	case bodyClosed:
		return
	case bodyUnfinished:
		g.remove(b)
	}
	g.open--
	g.held -= b.held
	b.held, b.state = 0, bodyClosed
}

// EvictSlowest returns the unfinished body that is the latest, or nil if none is late.
func (g *Budget) EvictSlowest(now time.Time) *Body {
	b := g.slowest(now)
	if b == nil || b.lateness(now) < minEvictLateness {
		return nil
	}
	g.evict(b)
	return b
}

// reserve takes n bytes for a body and evicts late bodies if that is needed. Nothing is taken if there is no room.
func (g *Budget) reserve(now time.Time, b *Body, n int64) (evicted []*Body, ok bool) {
	allowed := g.limit
	if b.held+n > smallBytes {
		allowed -= g.limit / largeReserve
	}
	for n > 0 && g.held+n > allowed {
		victim := g.slowest(now)
		// A finished body goes before all unfinished ones, an unfinished one only before those that are later.
		if victim == nil || victim == b ||
			b.state != bodyFinished && victim.lateness(now) < max(minEvictLateness, b.lateness(now)) {
			return evicted, false
		}
		g.evict(victim)
		evicted = append(evicted, victim)
	}
	g.held += n
	b.held += n
	return evicted, true
}

// slowest returns the unfinished body that is the latest, or nil.
func (g *Budget) slowest(now time.Time) *Body {
	var slowest *Body
	for _, b := range g.unfinished {
		if slowest == nil || b.lateness(now) > slowest.lateness(now) {
			slowest = b
		}
	}
	return slowest
}

// evict releases an unfinished body, which stays open until it is closed. Its memory counts as free at once, as its
// reader is woken and lets go of it.
func (g *Budget) evict(b *Body) {
	g.remove(b)
	g.held -= b.held
	b.held, b.state = 0, bodyEvicted
}

// remove takes a body from the unfinished ones.
func (g *Budget) remove(b *Body) {
	last := len(g.unfinished) - 1
	g.unfinished[b.index] = g.unfinished[last]
	g.unfinished[b.index].index = b.index
	g.unfinished[last] = nil
	g.unfinished = g.unfinished[:last]
}
