package pool

import "time"

// ClaimAfter is how long a daemon must not have heard the owner of a shard before it may claim the shard.
const ClaimAfter = 1600 * time.Millisecond

// goneAfter is how long before a confirmation of the ownership a claimant must have been silent to count as gone: if it
// had reached the store, it would have claimed the shard by then.
const goneAfter = 10 * time.Second

// confirmAfter is for how long a claimant may be silent before the owner row is read.
const confirmAfter = 2 * time.Second

// confirmInterval is the time between two reads of the owner row while a claimant is silent.
const confirmInterval = 300 * time.Millisecond

// Claimant is another daemon that may claim the shard.
type Claimant struct {
	// VM is the VM of the daemon. Its processes count as one, as a new one means that the one before has stopped.
	VM    string
	Heard HeardSpan
}

// HeardSpan is a time in which a claimant has received messages of this daemon so often that it could claim no shard of
// it, with the earlier one that the last silence has ended. Both are zero if there is none.
type HeardSpan struct {
	Since, Until               time.Time
	EarlierSince, EarlierUntil time.Time
}

// Extend adds a time at or after which the claimant has received a message of this daemon.
func (s HeardSpan) Extend(at time.Time) HeardSpan {
	switch {
	case !at.After(s.Until):
		return s
	case at.Sub(s.Until) < mandateTime(ClaimAfter):
		s.Until = at
		return s
	}
	return HeardSpan{Since: at, Until: at, EarlierSince: s.Since, EarlierUntil: s.Until}
}

// Mandate tells the owner of a shard until when no successor counts it as stopped. A claimant that has heard the owner
// does not claim the shard for ClaimAfter, and a read of the owner row that names the owner precedes any later claim. A
// successor counts on requests of the owner for PreviousOwnerGrace after its claim. Both clocks may be slow or fast. A
// claimant that was silent may have claimed the shard meanwhile; until the next such read only the time counts in which it
// heard the owner before.
type Mandate struct {
	ownedSince time.Time
	// confirmedAt is when the last read of the owner row was sent that named the owner.
	confirmedAt time.Time
	confirmSent time.Time
	// gone holds the claimants that count as gone, with the time at which each was heard last.
	gone map[string]time.Time
}

// NewMandate returns the mandate of an owner whose claim was sent at a time.
func NewMandate(ownedSince time.Time) *Mandate {
	return &Mandate{ownedSince: ownedSince, confirmedAt: ownedSince, gone: map[string]time.Time{}}
}

// clockMargin is the part of a time that remains if the clock that measures it is slow and that of the successor is fast.
const clockMargin = 1 - 2*maxClockDrift

// mandateTime returns for how long a time lasts on the clock of the owner at least.
func mandateTime(t time.Duration) time.Duration { return time.Duration(float64(t) * clockMargin) }

// Holds reports whether the owner may start tasks and renew leases: no successor assumes before now that the owner has
// stopped.
func (m *Mandate) Holds(now time.Time, claimants []Claimant) bool {
	if now.Sub(m.confirmedAt) < mandateTime(PreviousOwnerGrace) {
		return true
	}
	for _, c := range claimants {
		if !m.isGone(c) && now.Sub(m.heardUntil(c)) >= mandateTime(ClaimAfter+PreviousOwnerGrace) {
			return false
		}
	}
	return true
}

func (m *Mandate) isGone(c Claimant) bool {
	heardAt, ok := m.gone[c.VM]
	return ok && heardAt.Equal(c.Heard.Until)
}

// heardUntil returns until when a claimant has heard the owner without a silence since the last confirmation, in which it
// could have claimed the shard.
func (m *Mandate) heardUntil(c Claimant) time.Time {
	switch {
	case !c.Heard.Since.After(m.confirmedAt):
		return c.Heard.Until
	case !c.Heard.EarlierSince.After(m.confirmedAt):
		return c.Heard.EarlierUntil
	}
	return time.Time{}
}

// ShouldConfirm reports whether the owner row is to be read now. It counts on the read.
func (m *Mandate) ShouldConfirm(now time.Time, claimants []Claimant) bool {
	if now.Sub(m.confirmSent) < confirmInterval {
		return false
	}
	for _, c := range claimants {
		if !m.isGone(c) && (c.Heard.Since.After(m.confirmedAt) || now.Sub(c.Heard.Until) >= confirmAfter) {
			m.confirmSent = now
			return true
		}
	}
	return false
}

// Confirm notes that a read of the owner row that was sent at a time named the owner.
func (m *Mandate) Confirm(sentAt time.Time, claimants []Claimant) {
	if !sentAt.After(m.confirmedAt) {
		return
	}
	m.confirmedAt = sentAt
	// Those that are no claimants any more are dropped.
	gone := map[string]time.Time{}
	for _, c := range claimants {
		if sentAt.Sub(laterTime(c.Heard.Until, m.ownedSince)) >= goneAfter {
			gone[c.VM] = c.Heard.Until
		} else if heardAt, ok := m.gone[c.VM]; ok {
			gone[c.VM] = heardAt
		}
	}
	m.gone = gone
}
