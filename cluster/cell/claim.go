package cell

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
)

// shardFromKey returns the shard that is named by the part of a key.
func shardFromKey(key string) shardID {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return parseShardID(part)
}

func tablePrefix(key string) string {
	table, _, _ := strings.Cut(key, "/")
	return table + "/"
}

// claimLoop updates the gauges, creates the shard layout if there is none, and claims the shards that need a new
// owner.
func (d *Daemon) claimLoop() {
	var memoryUpdatedAt time.Time
	for d.sleep(claimInterval) {
		d.updateGauges()
		if time.Since(memoryUpdatedAt) >= jobMemoryInterval {
			memoryUpdatedAt = time.Now()
			d.updateJobMemory()
			d.replaceSilentHubs()
		}
		if d.leaving.Load() || !d.store.reachable() {
			d.restartClaimDelays()
			continue
		}
		if d.shardCount() == 0 {
			d.createLayout()
			continue
		}
		for _, id := range d.allShards() {
			if o, ok := d.shouldClaim(id); ok {
				d.claim(id, o)
			}
		}
	}
}

// services returns the services that have a queue.
func (d *Daemon) services() []cluster.ServiceName {
	set := map[cluster.ServiceName]bool{}
	for _, q := range d.Snapshot().Queues {
		if q.Service != "" {
			set[q.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// allShards returns the shards of the pools of all services that have a queue.
func (d *Daemon) allShards() []shardID {
	var all []shardID
	for _, service := range d.services() {
		for i := range d.shardCount() {
			all = append(all, shardID{Service: service, Index: i})
		}
	}
	return all
}

// shouldClaim reports whether this daemon should claim a shard now. Several daemons may try; the first
// transaction succeeds.
func (d *Daemon) shouldClaim(id shardID) (ownership, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[id]
	if d.ownedShards[id] != nil || !d.needsNewOwner(o) || !d.mayClaim() {
		delete(d.unownedSince, id)
		return o, false
	}
	since, ok := d.unownedSince[id]
	if !ok {
		since = time.Now()
		d.unownedSince[id] = since
	}
	return o, time.Since(since) >= d.claimDelay()
}

// restartClaimDelays makes the delays of the claims start again. The daemons that come first can't claim a shard while
// the store is unreachable either.
func (d *Daemon) restartClaimDelays() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unownedSince)
}

// isStandIn reports whether this daemon is no candidate of a large cell; d.mu is held.
func (d *Daemon) isStandIn() bool {
	return !isCandidate(d.cfg.VM) && !d.members[d.cfg.VM].candidate && isLargeCell(d.members)
}

// mayClaim reports whether this daemon may claim shards: it is no stand-in, or there is no candidate that could claim them.
// d.mu is held.
func (d *Daemon) mayClaim() bool {
	if !d.isStandIn() {
		return true
	}
	for _, m := range d.members {
		if m.candidate && d.acceptsShards(m) && d.digests[cluster.DaemonID(m.ID)].StoreVisible {
			return false
		}
	}
	return true
}

// claimDelay returns how long this daemon leaves an unowned shard to daemons with a shorter store latency, with
// fewer shards or with more cores. d.mu is held.
func (d *Daemon) claimDelay() time.Duration {
	delay := claimLatencyFactor*d.store.meanLatency() + claimDelayPerShard*time.Duration(len(d.ownedShards))
	if d.hasMemberWithMoreCores() {
		delay += fewerCoresClaimDelay
	}
	if d.isStandIn() {
		const steps = 1000
		position := vmHash(d.cfg.VM) / candidateModulus % steps
		delay += standInClaimDelay + standInClaimSpread*time.Duration(position)/steps
	}
	return delay
}

// hasMemberWithMoreCores reports whether a daemon with more cores can claim a shard; d.mu is held.
func (d *Daemon) hasMemberWithMoreCores() bool {
	for _, m := range d.members {
		if m.Cores > d.cfg.Cores && d.acceptsShards(m) {
			return true
		}
	}
	return false
}

// acceptsShards reports whether another daemon responds and is not leaving; d.mu is held.
func (d *Daemon) acceptsShards(m memberRow) bool {
	id := cluster.DaemonID(m.ID)
	return id != d.cfg.Self && time.Since(d.transport.LastSeen(id)) < peerTimeout && !d.digests[id].Draining
}

// needsNewOwner reports whether the owner of a shard has released it, has been restarted or does not respond. An
// owner counts as unresponsive only if this daemon and the row are old enough for the owner's pings to have
// arrived. d.mu is held.
func (d *Daemon) needsNewOwner(o ownership) bool {
	if d.ownerStopped(o) {
		return true
	}
	lastSeen := d.transport.LastSeen(cluster.DaemonID(o.row.Owner))
	unresponsive := time.Since(lastSeen) > peerTimeout
	return unresponsive && time.Since(d.startedAt) > joinGrace && time.Since(o.seenAt) > peerTimeout
}

// ownerStopped reports whether the owner of a shard has released it or its process has stopped. The process has
// stopped if a later one has written the member row of its VM. If the row names this daemon, the caller has checked
// that this daemon no longer runs the shard. d.mu is held.
func (d *Daemon) ownerStopped(o ownership) bool {
	if o.row.Owner == "" || o.row.Owner == string(d.cfg.Self) {
		return true
	}
	vm, _, _ := strings.Cut(o.row.Owner, daemonSeparator)
	m, ok := d.members[vm]
	return ok && isLaterProcess(m.ID, o.row.Owner)
}

// claim writes this daemon as the owner of a shard, with the next epoch.
func (d *Daemon) claim(id shardID, o ownership) {
	row := ownerRow{Owner: string(d.cfg.Self), Epoch: o.row.Epoch + 1}
	// The previous owner must have stopped before claimedAt; it may still send requests while the claim is written. If
	// the row names this daemon, an earlier claim was written late, and the owner before it may be active.
	d.mu.Lock()
	previousOwnerStopped := d.ownerStopped(o) && o.row.Owner != string(d.cfg.Self)
	d.mu.Unlock()
	claimedAt := time.Now()
	previousOwnersActiveUntil := o.row.earlierOwnersActiveUntil()
	switch {
	case !previousOwnerStopped:
		row.EarlierOwnersActiveUntil = claimedAt.Add(pool.PreviousOwnerGrace).UnixMilli()
	case claimedAt.Before(previousOwnersActiveUntil):
		row.EarlierOwnersActiveUntil = o.row.EarlierOwnersActiveUntil
	}
	data, err := encode("claim", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: owner row can't be encoded")
		return
	}
	key := ownerKey(id)
	version, err := d.store.Commit(d.ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: o.version}},
		Puts:   []platform.Put{{Key: key, Value: data}},
	})
	if platform.IsKind(err, platform.KindUnknown) {
		version, err = d.confirmClaim(key, row)
	}
	if err != nil {
		d.cfg.Log.Info().Err(err).Stringer("shard", id).Uint64("epoch", row.Epoch).Msg("cell: shard not claimed")
		return
	}
	if !previousOwnerStopped {
		d.announceClaim(id, cluster.DaemonID(o.row.Owner), row.Epoch)
		previousOwnersActiveUntil = time.Now().Add(d.previousOwnerGrace(o, claimedAt))
	}
	d.cfg.Log.Info().Stringer("shard", id).Uint64("epoch", row.Epoch).Str("before", o.row.Owner).
		Dur("sinceSeen", time.Since(o.seenAt)).Msg("cell: shard claimed")
	d.mu.Lock()
	owned := newOwnedShard(d, id, cluster.Epoch(row.Epoch), version, claimedAt, previousOwnersActiveUntil)
	owned.earlierOwnersActiveUntil = row.EarlierOwnersActiveUntil
	if d.owners[id].version < version {
		d.owners[id] = ownership{row: row, version: version, seenAt: time.Now()}
	}
	d.ownedShards[id] = owned
	d.mu.Unlock()
	d.wg.Go(owned.run)
	d.wg.Go(d.writeCandidate)
}

// previousOwnerGrace returns for how long after a claim the previous owner may act. An owner that was heard again while
// the claim was written counts on this daemon not to claim the shard.
func (d *Daemon) previousOwnerGrace(o ownership, claimedAt time.Time) time.Duration {
	if d.transport.LastSeen(cluster.DaemonID(o.row.Owner)).After(claimedAt.Add(-peerTimeout)) {
		return pool.PreviousOwnerGrace + peerTimeout
	}
	return pool.PreviousOwnerGrace
}

// confirmClaim reads the owner row after the reply to a claim was lost.
func (d *Daemon) confirmClaim(key string, row ownerRow) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	stored, version, err := d.readOwner(ctx, key)
	if err != nil {
		return 0, err
	}
	if stored.Owner != row.Owner || stored.Epoch != row.Epoch {
		return 0, &Error{Op: "claim", Kind: KindUnknown}
	}
	return version, nil
}

func (d *Daemon) readOwner(ctx context.Context, key string) (ownerRow, cluster.Version, error) {
	reply, err := d.store.Read(ctx, platform.ReadRequest{Keys: []string{key}})
	if err != nil {
		return ownerRow{}, 0, err
	}
	for _, r := range reply.Rows {
		row, err := decode[ownerRow]("read owner", r.Value)
		return row, r.Version, err
	}
	return ownerRow{}, 0, nil
}

// shardOwner returns the daemon that owns a shard, and false if none is known.
func (d *Daemon) shardOwner(id shardID) (cluster.DaemonID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[id]
	return cluster.DaemonID(o.row.Owner), o.row.Owner != ""
}

func (d *Daemon) lookupShard(id shardID) *ownedShard {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownedShards[id]
}
