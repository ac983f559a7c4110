package cell

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// shardOfKey returns the shard that the part of a key names.
func shardOfKey(key string) shardID {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return parseShard(part)
}

func tableOf(key string) string {
	table, _, _ := strings.Cut(key, "/")
	return table + "/"
}

// claimLoop takes the shards over that have no owner.
func (d *Daemon) claimLoop() {
	for d.sleep(claimInterval) {
		d.reportAges()
		if d.leaving.Load() || !d.store.visible() {
			continue
		}
		if d.shardCount() == 0 {
			d.divide()
			continue
		}
		for _, id := range d.allShards() {
			if o, ok := d.claimable(id); ok {
				d.claim(id, o)
			}
		}
	}
}

// services returns the services that queues send jobs to.
func (d *Daemon) services() []cluster.ServiceName {
	set := map[cluster.ServiceName]bool{}
	for _, q := range d.Snapshot().Queues {
		if q.Service != "" {
			set[q.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// allShards returns the shards of the pools that queues send jobs to.
func (d *Daemon) allShards() []shardID {
	var all []shardID
	for _, service := range d.services() {
		for i := range d.shardCount() {
			all = append(all, shardID{Service: service, Index: i})
		}
	}
	return all
}

// claimable reports whether this daemon should take a shard over now. Several
// daemons may; the first transaction wins.
func (d *Daemon) claimable(id shardID) (ownership, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[id]
	if d.pools[id] != nil || !d.ownerLost(o) || !d.carries() {
		delete(d.lostSince, id)
		return o, false
	}
	since, ok := d.lostSince[id]
	if !ok {
		since = time.Now()
		d.lostSince[id] = since
	}
	return o, time.Since(since) >= d.claimDelay()
}

// carries reports whether this daemon may own shards; d.mu is held.
func (d *Daemon) carries() bool { return candidate(d.cfg.VM) || !largeCell(d.members) }

// claimDelay returns how long this daemon leaves a pool without an owner to
// others: to those nearer to the store, with fewer pools or with more of a
// processor. d.mu is held.
func (d *Daemon) claimDelay() time.Duration {
	delay := claimDistance*d.store.near() + claimStagger*time.Duration(len(d.pools))
	if d.strongerMember() {
		delay += claimYield
	}
	return delay
}

// strongerMember reports whether a daemon with a larger share of a processor can
// take a pool over; d.mu is held.
func (d *Daemon) strongerMember() bool {
	for _, m := range d.members {
		if m.Cores > d.cfg.Cores && d.available(m) {
			return true
		}
	}
	return false
}

// available reports whether another daemon can take work; d.mu is held.
func (d *Daemon) available(m memberRow) bool {
	id := cluster.DaemonID(m.ID)
	return id != d.cfg.Self && time.Since(d.transport.LastHeard(id)) < ownerSilence && !d.peers[id].Draining
}

// ownerLost reports whether the owner of a pool has released it, has been
// replaced by a new start of its VM, or is silent.
func (d *Daemon) ownerLost(o ownership) bool {
	if d.ownerEnded(o) {
		return true
	}
	heard := d.transport.LastHeard(cluster.DaemonID(o.row.Owner))
	silent := time.Since(heard) > ownerSilence
	return silent && time.Since(d.started) > joinTime && time.Since(o.seen) > ownerSilence
}

// ownerEnded reports whether the owner of a pool has released it or its process
// has ended, which the row of a new start of its VM shows.
func (d *Daemon) ownerEnded(o ownership) bool {
	if o.row.Owner == "" || o.row.Owner == string(d.cfg.Self) {
		return true
	}
	vm, _, _ := strings.Cut(o.row.Owner, daemonSeparator)
	m, ok := d.members[vm]
	return ok && m.ID != o.row.Owner
}

// claim writes this daemon as the owner, with the next epoch.
func (d *Daemon) claim(id shardID, o ownership) {
	row := ownerRow{Owner: string(d.cfg.Self), Epoch: o.row.Epoch + 1}
	data, err := encode("claim", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: claim failed")
		return
	}
	key := ownerKey(id)
	began := time.Now()
	version, err := d.store.Commit(d.ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: o.version}},
		Puts:   []platform.Put{{Key: key, Value: data}},
	})
	if platform.IsKind(err, platform.KindUnknown) {
		version, err = d.confirmClaim(key, row)
	}
	if err != nil {
		d.cfg.Log.Info().Err(err).Stringer("shard", id).Uint64("epoch", row.Epoch).Msg("cell: claim not won")
		return
	}
	d.cfg.Log.Info().Stringer("shard", id).Uint64("epoch", row.Epoch).Str("before", o.row.Owner).
		Dur("sinceSeen", time.Since(o.seen)).Msg("cell: pool taken over")
	d.mu.Lock()
	p := newOwnedPool(d, id, cluster.Epoch(row.Epoch), version, began, d.ownerEnded(o))
	if d.owners[id].version < version {
		d.owners[id] = ownership{row: row, version: version, seen: time.Now()}
	}
	d.pools[id] = p
	d.mu.Unlock()
	d.wg.Go(p.run)
}

// confirmClaim reads the owner back after an answer was lost.
func (d *Daemon) confirmClaim(key string, row ownerRow) (cluster.Version, error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	got, version, err := d.readOwner(ctx, key)
	if err != nil {
		return 0, err
	}
	if got != row {
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

// owner returns the daemon that owns a shard, and false if none is known.
func (d *Daemon) owner(id shardID) (cluster.DaemonID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[id]
	return cluster.DaemonID(o.row.Owner), o.row.Owner != ""
}

func (d *Daemon) pool(id shardID) *ownedPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[id]
}
