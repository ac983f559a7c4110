package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// mandateCheckInterval is the time between two checks whether the owner row is to be read.
const mandateCheckInterval = 100 * time.Millisecond

// maxConfirmReads bounds the reads of the owner row in flight.
const maxConfirmReads = 8

// ownerMandate is the mandate of an owner, which the control loop uses and the reads of the owner row extend.
type ownerMandate struct {
	mu      *sync.Mutex
	mandate *pool.Mandate
	// held is the last value that the scheduler was told; only the control loop uses it.
	held bool
}

func newOwnerMandate(ownedSince time.Time) ownerMandate {
	return ownerMandate{mu: &sync.Mutex{}, mandate: pool.NewMandate(ownedSince), held: true}
}

// minRespondingCandidates is the number of candidates of a large cell that must respond to an owner so that it does not
// count on a claim of another daemon. Such a daemon claims only if it hears none of them, and candidates are spread over the
// availability zones.
const minRespondingCandidates = numHubs / 2

// claimants returns the other daemons that may claim a shard. In a large cell these are the candidates, which are its
// members, and while few of them respond also the daemons that have been heard, any of which may stand in for them.
func (d *Daemon) claimants() []pool.Claimant {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]pool.Claimant, 0, len(d.members))
	for vm := range d.members {
		if vm != d.cfg.VM {
			list = append(list, pool.Claimant{VM: vm, Heard: d.heard[vm]})
		}
	}
	if isLargeCell(d.members) && d.respondingCandidates() >= minRespondingCandidates {
		return list
	}
	for vm, heard := range d.heard {
		if _, ok := d.members[vm]; !ok && vm != d.cfg.VM {
			list = append(list, pool.Claimant{VM: vm, Heard: heard})
		}
	}
	return list
}

// respondingCandidates returns the number of other candidates that respond; d.mu is held.
func (d *Daemon) respondingCandidates() int {
	n := 0
	for vm, m := range d.members {
		if m.candidate && vm != d.cfg.VM && time.Since(d.transport.LastSeen(d.presentID(vm, m))) < peerTimeout {
			n++
		}
	}
	return n
}

// prependMandate puts the event for a change of the mandate before the others, which may have leases renewed.
func (o *ownedShard) prependMandate(batch []pool.Event, now time.Time) []pool.Event {
	claimants := o.d.claimants()
	o.mandate.mu.Lock()
	holds := o.mandate.mandate.Holds(now, claimants)
	o.mandate.mu.Unlock()
	if holds == o.mandate.held {
		return batch
	}
	o.mandate.held = holds
	if holds {
		o.evacuations.mandateSince.Store(&now)
	}
	return slices.Insert(batch, 0, pool.Event(&pool.MandateChanged{Holds: holds}))
}

// confirmMandate reads the owner row while a daemon that may claim the shard is silent.
func (o *ownedShard) confirmMandate() {
	inFlight := make(chan struct{}, maxConfirmReads)
	for o.ctx.Err() == nil {
		o.sleep(mandateCheckInterval)
		claimants := o.d.claimants()
		o.mandate.mu.Lock()
		due := o.mandate.mandate.ShouldConfirm(time.Now(), claimants)
		o.mandate.mu.Unlock()
		if !due {
			continue
		}
		select {
		case inFlight <- struct{}{}:
			o.goroutines.Go(func() {
				defer func() { <-inFlight }()
				o.readMandate()
			})
		default:
		}
	}
}

// readMandate reads the owner row. It ends the ownership if the row names another owner.
func (o *ownedShard) readMandate() {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	sentAt := time.Now()
	row, _, err := o.d.readOwner(ctx, ownerKey(o.id))
	if err != nil {
		if o.ctx.Err() == nil {
			o.d.cfg.Log.Debug().Err(err).Stringer("shard", o.id).Msg("cell: the ownership can't be confirmed; retrying")
		}
		return
	}
	if row.Owner != string(o.d.cfg.Self) || row.Epoch != uint64(o.epoch) {
		o.endOwnership("the owner row names another owner")
		return
	}
	claimants := o.d.claimants()
	o.mandate.mu.Lock()
	defer o.mandate.mu.Unlock()
	o.mandate.mandate.Confirm(sentAt, claimants)
}
