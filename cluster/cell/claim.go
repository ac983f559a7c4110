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

func cutPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }

// serviceOf returns the part of a key, which is the service of a pool's rows.
func serviceOf(key string) cluster.ServiceName {
	_, rest, _ := strings.Cut(key, "/")
	service, _, _ := strings.Cut(rest, "/")
	return cluster.ServiceName(service)
}

func tableOf(key string) string {
	table, _, _ := strings.Cut(key, "/")
	return table + "/"
}

// claimLoop takes the pools over that have no owner.
func (d *Daemon) claimLoop() {
	for d.sleep(claimInterval) {
		d.reportAges()
		if d.leaving.Load() || !d.store.visible() {
			continue
		}
		for _, service := range d.services() {
			if o, ok := d.claimable(service); ok {
				d.claim(service, o)
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

// claimable reports whether this daemon should take a pool over now. Several
// daemons may; the first transaction wins.
func (d *Daemon) claimable(service cluster.ServiceName) (ownership, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[service]
	if d.pools[service] != nil || !d.ownerLost(o) {
		delete(d.lostSince, service)
		return o, false
	}
	since, ok := d.lostSince[service]
	if !ok {
		since = time.Now()
		d.lostSince[service] = since
	}
	return o, time.Since(since) >= d.claimDelay()
}

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
func (d *Daemon) claim(service cluster.ServiceName, o ownership) {
	row := ownerRow{Owner: string(d.cfg.Self), Epoch: o.row.Epoch + 1}
	data, err := encode("claim", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: claim failed")
		return
	}
	key := ownerKey(service)
	began := time.Now()
	version, err := d.store.Commit(d.ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: o.version}},
		Puts:   []platform.Put{{Key: key, Value: data}},
	})
	if platform.IsKind(err, platform.KindUnknown) {
		version, err = d.confirmClaim(key, row)
	}
	if err != nil {
		d.cfg.Log.Info().Err(err).Str("service", string(service)).Uint64("epoch", row.Epoch).Msg("cell: claim not won")
		return
	}
	d.cfg.Log.Info().Str("service", string(service)).Uint64("epoch", row.Epoch).Str("before", o.row.Owner).
		Dur("sinceSeen", time.Since(o.seen)).Msg("cell: pool taken over")
	d.mu.Lock()
	p := newOwnedPool(d, service, cluster.Epoch(row.Epoch), version, began, d.ownerEnded(o))
	if d.owners[service].version < version {
		d.owners[service] = ownership{row: row, version: version, seen: time.Now()}
	}
	d.pools[service] = p
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

// owner returns the daemon that owns a pool, and false if none is known.
func (d *Daemon) owner(service cluster.ServiceName) (cluster.DaemonID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owners[service]
	return cluster.DaemonID(o.row.Owner), o.row.Owner != ""
}

func (d *Daemon) pool(service cluster.ServiceName) *ownedPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[service]
}
