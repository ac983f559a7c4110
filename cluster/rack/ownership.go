package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	// handoverDelay is how long the members must be unchanged before racks are handed over,
	// so that a member that repeatedly joins and leaves does not move racks back and forth.
	handoverDelay = 3 * time.Second
	// rowRetryDelay is the mean delay before a failed write or read of a row is retried.
	rowRetryDelay = 500 * time.Millisecond
	// renewalInterval is how often the leases of a dead owner's rack are renewed while the table service is down.
	renewalInterval = 5 * time.Second
)

// ingestRack applies the row of a rack.
func (c *Controller) ingestRack(row platform.Row) {
	r := c.ensureRack(cluster.RackID(row.Key[len(prefixRack):]))
	if row.Version <= r.version {
		return
	}
	var v rackRow
	if !row.Deleted {
		if err := decodeRow(row.Key, row.Value, &v); err != nil {
			c.reportMalformedRow(row.Key, err)
			return
		}
	}
	r.version = row.Version
	c.setRackOwner(r, cluster.DaemonID(v.Owner), cluster.Epoch(v.Epoch))
}

// setRackOwner applies the owner and epoch in a rack's row: it starts a takeover or drops the rack's state.
func (c *Controller) setRackOwner(r *rack, owner cluster.DaemonID, epoch cluster.Epoch) {
	changed := owner != r.owner || epoch != r.epoch
	r.owner, r.epoch = owner, epoch
	if owner != c.cfg.Self {
		c.loseOwnership(r, "the row names another owner")
		return
	}
	switch {
	case !changed && r.phase == phaseRechecking:
		// Exchanges from before the recheck may still be in flight. Only a higher epoch makes the workers refuse them.
		c.raiseEpoch(r)
	case changed || r.phase == phaseNotOwned:
		c.beginFencing(r)
	}
}

// raiseEpoch writes a rack's row with an epoch above all that its workers have seen. Work on the rack goes on once the
// row is written.
func (c *Controller) raiseEpoch(r *rack) {
	if r.rowWriteInFlight {
		return
	}
	r.phase, r.rowRetryAt = phaseRechecking, c.now.Add(rowRetryDelay)
	c.writeRackRow(r, c.cfg.Self, max(r.epoch, r.highestEpoch)+1, func(cluster.Version) {})
}

// loseOwnership drops the state of a rack that this daemon no longer owns.
func (c *Controller) loseOwnership(r *rack, reason string) {
	if r.phase == phaseNotOwned {
		return
	}
	c.cfg.Log.Info().Str("rack", string(r.id)).Str("owner", string(r.owner)).Uint64("epoch", uint64(r.epoch)).
		Str("reason", reason).Msg("rack: stopped owning a rack")
	assignments := r.assignmentList
	c.dropRackState(r)
	r.phase, r.phaseSince = phaseNotOwned, c.now
	for _, a := range assignments {
		// If the job's home rack is owned here, the end of the job now depends on a row of another owner.
		c.queueEndCheck(a.id)
	}
}

// dropRackState drops all state of the work in a rack, and makes callbacks of earlier calls ignore their replies.
func (c *Controller) dropRackState(r *rack) {
	r.reset()
	r.generation++
}

// reconcileOwnership claims racks without a live owner, hands over racks that other
// members should own, and renews leases of racks that can't be claimed.
func (c *Controller) reconcileOwnership() {
	if !c.store.synced {
		return
	}
	for _, r := range c.sortedRacks {
		switch r.phase {
		case phaseNotOwned:
			c.claimRack(r)
			c.renewForDeadOwner(r)
		case phaseRechecking:
			c.recheckRack(r)
		default:
			c.handOverRack(r)
		}
	}
}

// claimRack takes over a rack without a live owner, if this daemon is its preferred owner.
func (c *Controller) claimRack(r *rack) {
	if r.rowWriteInFlight || c.draining || !c.members.known || !c.storeUsable() || c.now.Before(r.rowRetryAt) {
		return
	}
	if r.owner != "" && r.owner != c.cfg.Self && c.isLive(r.owner) || c.preferredOwner(r) != c.cfg.Self {
		return
	}
	epoch := r.epoch + 1
	from := r.owner
	c.writeRackRow(r, c.cfg.Self, epoch, func(cluster.Version) {
		c.cfg.Log.Info().Str("rack", string(r.id)).Str("from", string(from)).Uint64("epoch", uint64(epoch)).
			Msg("rack: took over a rack")
		c.cfg.Metrics.Counter("rack_takeovers").Inc(1)
	})
}

// writeRackRow writes a rack's row on the condition that its version is the one last read.
func (c *Controller) writeRackRow(r *rack, owner cluster.DaemonID, epoch cluster.Epoch, onSuccess func(cluster.Version)) {
	value, err := encodeRow(&rackRow{Owner: string(owner), Epoch: uint64(epoch)})
	if err != nil {
		c.reportMalformedRow(rackKey(r.id), err)
		return
	}
	r.rowWriteInFlight = true
	c.commit(journal.Change{
		Checks: []platform.Check{{Key: rackKey(r.id), Version: r.version}},
		Puts:   []platform.Put{{Key: rackKey(r.id), Value: value}},
	}, func(version cluster.Version, err error) {
		r.rowWriteInFlight = false
		if err != nil {
			c.handleRackWriteError(r, err)
			return
		}
		onSuccess(version)
		if version > r.version {
			r.version = version
			c.setRackOwner(r, owner, epoch)
		}
	})
}

// handleRackWriteError handles a failed write of a rack's row.
func (c *Controller) handleRackWriteError(r *rack, err error) {
	r.rowRetryAt = c.now.Add(c.jitter(rowRetryDelay))
	r.handingOver = false
	if !journal.IsKind(err, journal.KindUnavailable) {
		// The row has changed since it was last read, or may have: it is read again before the next attempt.
		c.readRackRow(r)
	}
	c.cfg.Log.Warn().Err(err).Str("rack", string(r.id)).Msg("rack: failed to write the row of a rack")
}

// readRackRow reads a rack's row and applies it, even if its version was applied before.
func (c *Controller) readRackRow(r *rack) {
	if r.rowReadInFlight {
		return
	}
	r.rowReadInFlight = true
	c.readRows(platform.ReadRequest{Keys: []string{rackKey(r.id)}}, func(reply platform.ReadReply, err error) {
		r.rowReadInFlight = false
		if err != nil {
			r.rowRetryAt = c.now.Add(c.jitter(rowRetryDelay))
			return
		}
		for _, row := range reply.Rows {
			if row.Version >= r.version {
				r.version = 0
				c.ingestRow(row)
			}
		}
	})
}

// recheckRack reads the row of a rack that this daemon may no longer own, once calls may be made again.
func (c *Controller) recheckRack(r *rack) {
	if !c.now.Before(r.rowRetryAt) && !c.now.Before(c.store.retryAt) {
		c.readRackRow(r)
	}
}

// recheckOwnership stops all work on a rack until its row has been read again.
func (c *Controller) recheckOwnership(r *rack, reason string) {
	if r.phase == phaseNotOwned || r.phase == phaseRechecking {
		return
	}
	c.cfg.Log.Warn().Str("rack", string(r.id)).Str("reason", reason).Msg("rack: stopped work on a rack until its row has been read again")
	c.dropRackState(r)
	r.phase, r.phaseSince, r.rowRetryAt = phaseRechecking, c.now, c.now
}

// recoverFromPause reads all rows again before anything else is done. After a pause
// longer than a lease, other daemons may have taken over the racks.
func (c *Controller) recoverFromPause(pause time.Duration) {
	c.cfg.Log.Warn().Dur("pause", pause).Msg("rack: the daemon was paused for longer than a lease")
	for _, r := range c.sortedRacks {
		c.recheckOwnership(r, "paused for longer than a lease")
	}
	c.store.synced = false
	c.store.nextPollAt = c.now
	c.members.changedAt = c.now
}

// handOverRack hands a rack over to its preferred owner, once all results are written. If no
// member can own the rack, its row is written without an owner.
func (c *Controller) handOverRack(r *rack) {
	to := c.preferredOwner(r)
	draining := c.draining
	if to == c.cfg.Self || r.rowWriteInFlight || !c.storeUsable() || c.now.Before(r.rowRetryAt) {
		r.handingOver = r.handingOver && r.rowWriteInFlight
		return
	}
	if !draining && (r.phase != phaseActive || c.now.Sub(c.members.changedAt) < handoverDelay) {
		return
	}
	r.handingOver = true
	if r.phase == phaseActive && (r.flushInFlight || r.exchangeInFlight || r.hasUnsavedResults()) {
		return
	}
	epoch := r.epoch + 1
	c.writeRackRow(r, to, epoch, func(version cluster.Version) {
		c.cfg.Log.Info().Str("rack", string(r.id)).Str("to", string(to)).Msg("rack: handed a rack over")
		c.notifyNewOwner(r, to, epoch, version)
	})
}

// notifyNewOwner sends the row of a rack to its new owner, which otherwise finds it with its next poll.
func (c *Controller) notifyNewOwner(r *rack, to cluster.DaemonID, epoch cluster.Epoch, version cluster.Version) {
	value, err := encodeRow(&rackRow{Owner: string(to), Epoch: uint64(epoch)})
	if err != nil || to == "" {
		return
	}
	c.send(to, &peer.AssignNotice{Rack: r.id, Rows: []platform.Row{{Key: rackKey(r.id), Value: value, Version: version}}})
}

// hasUnsavedResults reports whether the rack has changed rows to write, or results that are not acknowledged.
func (r *rack) hasUnsavedResults() bool {
	for _, a := range r.assignmentList {
		if a.dirty || len(a.acks) > 0 {
			return true
		}
	}
	return false
}

// renewForDeadOwner renews leases under the epoch of a dead owner while the table
// service is down, because no daemon can take over its rack until then.
func (c *Controller) renewForDeadOwner(r *rack) {
	if c.store.up || c.draining || r.owner == "" || r.owner == c.cfg.Self || c.isLive(r.owner) || c.now.Before(r.nextRenewalAt) {
		return
	}
	if c.preferredOwner(r) != c.cfg.Self {
		return
	}
	r.nextRenewalAt = c.now.Add(renewalInterval)
	c.sendExchange(platform.ExchangeRequest{Rack: r.id, Owner: r.owner, Epoch: r.epoch, Lease: c.cfg.Lease}, func(*ExchangeDone) {})
	c.cfg.Metrics.Counter("rack_renewals_for_peer").Inc(1)
}

// finishDrain emits Drained once the daemon owns no racks.
func (c *Controller) finishDrain() {
	if !c.draining || c.drained {
		return
	}
	for _, r := range c.sortedRacks {
		if r.phase != phaseNotOwned || r.rowWriteInFlight {
			return
		}
	}
	c.drained = true
	c.emit(&Drained{})
}
