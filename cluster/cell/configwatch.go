package cell

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// configState is a configuration and the row that it was decoded from.
type configState struct {
	snapshot *cluster.Snapshot
	data     []byte
	// hash is the hash of data.
	hash   uint64
	readAt time.Time
}

// maxConfigHistory is the number of earlier configurations that a daemon keeps to send patches to those that have them.
const maxConfigHistory = 3

// Snapshot returns the configuration in force; its version is zero until one has been read.
func (d *Daemon) Snapshot() *cluster.Snapshot { return d.config.Load().snapshot }

// Ready reports whether the daemon can serve requests.
func (d *Daemon) Ready() bool {
	return d.Snapshot().Version > 0 && d.shardCount() > 0 && !d.leaving.Load()
}

// readConfigChanges reads the configuration, or its changes if the version of the store is known up to which this
// daemon has it. The reads are not relayed: a daemon that can't reach the store gets the configuration from others.
func (d *Daemon) readConfigChanges() {
	key := d.cfg.Reader.ConfigKey()
	asOf := d.configAsOf()
	req := platform.ReadRequest{Keys: []string{key}}
	if asOf != 0 {
		req = platform.ReadRequest{Prefixes: []string{tablePrefix(key)}, SinceVersion: asOf, Wait: configFeedWait}
	}
	reply, unreachable, err := d.store.localRead(d.ctx, req, configReadTimeout)
	switch {
	case err == nil:
		for _, r := range reply.Rows {
			if r.Key == key && !r.Deleted {
				d.applyConfig(r.Value, "store")
			}
		}
		if d.Snapshot().Version > 0 {
			d.advanceConfigAsOf(reply.AsOf)
		}
	case platform.IsKind(err, platform.KindExpired):
		d.cfg.Log.Warn().Uint64("version", uint64(asOf)).Msg("cell: changes of the configuration are no longer available; reading all of it")
		d.resetConfigAsOf(asOf)
	case d.ctx.Err() == nil:
		d.cfg.Log.Debug().Err(err).Bool("unreachable", unreachable).Msg("cell: configuration could not be read; retrying")
		d.sleep(feedRetryDelay)
	}
}

// configAsOf returns the version of the store up to which the configuration in force is known to be the newest one;
// zero if no such version is known.
func (d *Daemon) configAsOf() cluster.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configStoreVersion
}

func (d *Daemon) advanceConfigAsOf(version cluster.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configStoreVersion = max(d.configStoreVersion, version)
}

// resetConfigAsOf makes the next read one of the whole row, unless the version has advanced since asOf.
func (d *Daemon) resetConfigAsOf(asOf cluster.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configStoreVersion == asOf {
		d.configStoreVersion = 0
	}
}

// applyConfig puts a configuration in force unless the current one is as new.
func (d *Daemon) applyConfig(data []byte, source string) {
	snapshot, err := d.cfg.Reader.ReadConfig(data)
	if err != nil {
		d.cfg.Log.Error().Err(err).Str("source", source).Msg("cell: configuration can't be read")
		return
	}
	d.mu.Lock()
	previous := d.config.Load()
	if snapshot.Version <= previous.snapshot.Version {
		d.mu.Unlock()
		return
	}
	if previous.snapshot.Version > 0 {
		d.configHistory = append(d.configHistory, previous)
		d.configHistory = slices.Delete(d.configHistory, 0, max(0, len(d.configHistory)-maxConfigHistory))
	}
	d.config.Store(&configState{snapshot: snapshot, data: data, hash: xxhash.Sum64(data), readAt: time.Now()})
	clear(d.configUpdates)
	owned := make([]*ownedShard, 0, len(d.ownedShards))
	for _, o := range d.ownedShards {
		owned = append(owned, o)
	}
	d.mu.Unlock()
	d.cfg.Log.Info().Uint64("version", uint64(snapshot.Version)).Str("source", source).Int("queues", len(snapshot.Queues)).Msg("cell: configuration in force")
	for _, o := range owned {
		o.configChanged()
	}
	d.announceConfig(snapshot.Version)
}
