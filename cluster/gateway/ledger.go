package gateway

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	slotsPrefix = "slots/"
	// teamPrefix marks the ledger of a team's request limit; a service's name has no colon.
	teamPrefix = "team:"
	// lentFor keeps a lender without demand from taking back at once what it has just lent.
	lentFor = 2 * time.Second
	// reserveFraction divides the fair part into what is kept without demand.
	reserveFraction = 4
)

// unit is one thing whose slots are lent: a runner, or the request limit of a
// team. The row of the table service records what each daemon holds of it.
type unit struct {
	id       string
	capacity int
	// held is this daemon's part as recorded in the row.
	held int
	// limit is what may be used now; it is at most held and lower while a release is being recorded.
	limit    int
	inFlight int
	// retired says that the runner is no longer listed; the unit is dropped with its last request.
	retired bool
}

// holdings is what each daemon holds of one unit.
type holdings struct {
	capacity int
	held     map[cluster.DaemonID]int
}

func (h *holdings) sum() int {
	n := 0
	for _, held := range h.held {
		n += held
	}
	return n
}

// ledgerRow is the decoded row `slots/<service>`: the holdings by unit.
type ledgerRow map[string]*holdings

// rowRecord is the encoding of a ledgerRow. Daemons are named once, because
// there are many units and a row is sent to every peer when it changes.
type rowRecord struct {
	Daemons []string     `msgpack:"Daemons"`
	Units   []unitRecord `msgpack:"Units"`
}

type unitRecord struct {
	ID       string `msgpack:"ID"`
	Capacity int    `msgpack:"Capacity"`
	Held     []int  `msgpack:"Held"`
}

func encodeRow(row ledgerRow) ([]byte, error) {
	index := map[cluster.DaemonID]int{}
	for _, h := range row {
		for d := range h.held {
			index[d] = 0
		}
	}
	var r rowRecord
	for i, d := range slices.Sorted(maps.Keys(index)) {
		index[d] = i
		r.Daemons = append(r.Daemons, string(d))
	}
	for _, id := range slices.Sorted(maps.Keys(row)) {
		u := unitRecord{ID: id, Capacity: row[id].capacity, Held: make([]int, len(r.Daemons))}
		for d, n := range row[id].held {
			u.Held[index[d]] = n
		}
		r.Units = append(r.Units, u)
	}
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Arrays instead of maps with field names halve the row.
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(r); err != nil {
		return nil, &Error{Op: "encode slots", Kind: KindMalformed, Err: err}
	}
	return buf.Bytes(), nil
}

func decodeRow(data []byte) (ledgerRow, error) {
	var r rowRecord
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return nil, &Error{Op: "decode slots", Kind: KindMalformed, Err: err}
	}
	row := ledgerRow{}
	for _, u := range r.Units {
		if len(u.Held) != len(r.Daemons) {
			return nil, &Error{Op: "decode slots", Kind: KindMalformed, Err: fmt.Errorf("unit %s has %d holdings for %d daemons", u.ID, len(u.Held), len(r.Daemons))}
		}
		h := &holdings{capacity: u.Capacity, held: map[cluster.DaemonID]int{}}
		for i, n := range u.Held {
			if n > 0 {
				h.held[cluster.DaemonID(r.Daemons[i])] = n
			}
		}
		row[u.ID] = h
	}
	return row, nil
}

func (row ledgerRow) clone() ledgerRow {
	out := make(ledgerRow, len(row))
	for id, h := range row {
		out[id] = &holdings{capacity: h.capacity, held: maps.Clone(h.held)}
	}
	return out
}

// total is what a daemon holds over all units.
func (row ledgerRow) total(d cluster.DaemonID) int {
	n := 0
	for _, h := range row {
		n += h.held[d]
	}
	return n
}

// fairPart divides the capacity of a unit among the members. The remainder goes
// to the members with the highest rendezvous hash for the unit, so with more
// members than slots each unit has a fixed subset of daemons that use it.
func fairPart(unit string, capacity int, members []cluster.DaemonID, self cluster.DaemonID) int {
	if len(members) == 0 {
		return 0
	}
	part, rest := capacity/len(members), capacity%len(members)
	mine := rendezvous(unit, self)
	rank := 0
	for _, m := range members {
		if h := rendezvous(unit, m); m != self && (h > mine || (h == mine && m < self)) {
			rank++
		}
	}
	if rank < rest {
		part++
	}
	return part
}

func rendezvous(unit string, daemon cluster.DaemonID) uint64 {
	return xxhash.Sum64String(unit + "\x00" + string(daemon))
}

// fleet is the daemons as this daemon knows them.
type fleet struct {
	self cluster.DaemonID
	// all holds every daemon that has not left; holdings of others are reclaimed.
	all []cluster.DaemonID
	// sharing leaves out those that are leaving.
	sharing []cluster.DaemonID
}

// ledger is this daemon's view of one row of slots. It is guarded by Gateway.mu.
type ledger struct {
	name    string
	version cluster.Version
	// known says that the row, or its absence, was read from the store.
	known bool
	row   ledgerRow
	units map[string]*unit
	// wanted is how many requests wait for a slot; missing is how much this daemon has less than its reserve.
	wanted, missing int
	// turn is when the ledger is checked next, if nothing happens before.
	turn time.Time
	// notBefore delays the next proposal after a conflict with another daemon's.
	notBefore time.Time
	// lend is how many slots peers asked for and who asked.
	lend     int
	borrower cluster.DaemonID
	// keepFrom is when a daemon that lent slots without a demand of its own may take its fair part again.
	keepFrom time.Time
	askedAt  time.Time
	// peak is the most slots in use or wanted in the current and the last window.
	peak, lastPeak int
	busy           bool
}

func newLedger(name string) *ledger {
	return &ledger{name: name, row: ledgerRow{}, units: map[string]*unit{}}
}

func (l *ledger) key() string { return slotsPrefix + l.name }

func (l *ledger) team() (cluster.TeamName, bool) {
	name, ok := strings.CutPrefix(l.name, teamPrefix)
	return cluster.TeamName(name), ok
}

// accept takes over a newer row. What the row no longer gives to this daemon is not used any more.
func (l *ledger) accept(self cluster.DaemonID, row ledgerRow, version cluster.Version) {
	l.row, l.version, l.known = row, version, true
	for id, u := range l.units {
		held := 0
		if h := row[id]; h != nil {
			held = h.held[self]
		}
		if u.limit < u.held {
			// A release is under way; it goes on until the row shows it.
			u.limit = min(u.limit, held)
		} else {
			u.limit = held
		}
		u.held = held
	}
}

// limit is the number of slots that may be used now.
func (l *ledger) limit() int {
	n := 0
	for _, u := range l.units {
		n += u.limit
	}
	return n
}

// use is the number of slots in use, and whether some are being given back. It
// drops retired units that aren't in use any more.
func (l *ledger) use() (inFlight int, releasing bool) {
	for id, u := range l.units {
		inFlight += u.inFlight
		releasing = releasing || u.limit < u.held
		if u.retired && u.inFlight == 0 {
			delete(l.units, id)
		}
	}
	return inFlight, releasing
}

func (l *ledger) fairTotal(members []cluster.DaemonID, d cluster.DaemonID) int {
	n := 0
	for id, u := range l.units {
		n += fairPart(id, u.capacity, members, d)
	}
	return n
}

// plan returns the row that this daemon wants, or nil if nothing is to change.
// A daemon lowers only its own holdings, after it has stopped using them, and
// raises its own only into what nobody holds; so the sum never exceeds the
// capacity, whatever the daemons know of each other. Holdings of daemons that
// have left the member table are dropped by anyone.
func (l *ledger) plan(f fleet, now time.Time) ledgerRow {
	next := l.row.clone()
	changed := reclaim(next, f.all)
	l.release(f, now)
	borrow := l.wanted
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		u := l.units[id]
		h := next[id]
		if h == nil {
			h = &holdings{held: map[cluster.DaemonID]int{}}
			next[id] = h
		}
		h.capacity = u.capacity
		target := l.target(u, h, fairPart(id, u.capacity, f.sharing, f.self), &borrow, now)
		if target != h.held[f.self] {
			changed = true
			h.set(f.self, target)
		}
	}
	changed = l.prune(next, f.self) || changed
	if !changed {
		return nil
	}
	return next
}

func (h *holdings) set(d cluster.DaemonID, n int) {
	if n == 0 {
		delete(h.held, d)
		return
	}
	h.held[d] = n
}

// target is the part of a unit to hold next.
func (l *ledger) target(u *unit, h *holdings, fair int, borrow *int, now time.Time) int {
	free := max(u.capacity-h.sum(), 0)
	switch {
	case u.retired || u.limit < u.held:
		return max(u.limit, min(u.inFlight, u.held))
	case u.held < fair && free > 0 && (*borrow > 0 || !now.Before(l.keepFrom)):
		grow := min(free, fair-u.held)
		*borrow -= grow
		return u.held + grow
	case free > 0 && *borrow > 0:
		// One slot of each runner at a time spreads the load.
		*borrow--
		return u.held + 1
	}
	return u.held
}

// reclaim drops the holdings of daemons that are not members.
func reclaim(next ledgerRow, members []cluster.DaemonID) bool {
	changed := false
	for _, h := range next {
		for d := range h.held {
			if !slices.Contains(members, d) {
				delete(h.held, d)
				changed = true
			}
		}
	}
	return changed
}

// prune drops this daemon's holdings of units that it doesn't know any more, and units that nobody holds.
func (l *ledger) prune(next ledgerRow, self cluster.DaemonID) bool {
	changed := false
	for id, h := range next {
		if l.units[id] != nil {
			continue
		}
		if _, ok := h.held[self]; ok {
			delete(h.held, self)
			changed = true
		}
		if len(h.held) == 0 {
			delete(next, id)
			changed = true
		}
	}
	return changed
}

// release lowers the limits of units by what is over their capacity, by what
// others are due, and by what peers asked for and this daemon doesn't need.
func (l *ledger) release(f fleet, now time.Time) {
	for id, u := range l.units {
		if h := l.row[id]; h != nil && h.sum() > u.capacity {
			u.limit = min(u.limit, max(fairPart(id, u.capacity, f.sharing, f.self), u.held-(h.sum()-u.capacity)))
		}
	}
	if l.lend == 0 {
		return
	}
	limit := l.limit()
	l.lend = max(l.lend-l.unheld(), 0)
	// All peers get the same request, so each gives its part of it.
	others := max(len(f.sharing)-1, 1)
	give := min((l.lend+others-1)/others, limit-max(l.peak, l.lastPeak, l.reserve(f)))
	if l.row.total(l.borrower) < l.fairTotal(f.sharing, l.borrower) {
		// A peer below its fair part gets back what this daemon holds above its
		// own, even if it is in use now.
		give = max(give, min(l.lend, limit-l.fairTotal(f.sharing, f.self)))
	}
	l.lend = 0
	if give > 0 {
		l.keepFrom = now.Add(lentFor)
	}
	for ; give > 0; give-- {
		u := l.mostSpare(f)
		if u == nil {
			return
		}
		u.limit--
	}
}

// reserve is what a daemon keeps of a service's slots without demand, so that
// its next request needn't wait for a commit. Small limits of teams have nothing to spare for that.
func (l *ledger) reserve(f fleet) int {
	if _, ok := l.team(); ok {
		return 0
	}
	return (l.fairTotal(f.sharing, f.self) + reserveFraction - 1) / reserveFraction
}

// unheld is the number of slots that no daemon holds.
func (l *ledger) unheld() int {
	n := 0
	for id, u := range l.units {
		sum := 0
		if h := l.row[id]; h != nil {
			sum = h.sum()
		}
		n += max(u.capacity-sum, 0)
	}
	return n
}

// mostSpare picks the unit to give a slot of: one above its fair part first, then the one with the most unused.
func (l *ledger) mostSpare(f fleet) *unit {
	var best *unit
	bestScore := 0
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		u := l.units[id]
		if u.limit == 0 {
			continue
		}
		over := u.limit - fairPart(id, u.capacity, f.sharing, f.self)
		score := 2*max(over, 0)*u.capacity + u.limit - u.inFlight
		if best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	return best
}
