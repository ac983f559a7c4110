package cell

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// configState is the configuration in force with the row that it was read from.
type configState struct {
	snapshot *cluster.Snapshot
	data     []byte
	read     time.Time
}

type configRequest struct{}

type configReply struct {
	Data []byte `msgpack:"Data"`
}

// Snapshot returns the configuration in force; its version is zero before the first.
func (d *Daemon) Snapshot() *cluster.Snapshot { return d.config.Load().snapshot }

// Ready reports whether the daemon can take requests.
func (d *Daemon) Ready() bool {
	return d.Snapshot().Version > 0 && d.shardCount() > 0 && !d.leaving.Load()
}

// followConfig keeps the operator's configuration in force.
func (d *Daemon) followConfig() {
	key := d.cfg.Reader.ConfigKey()
	table := key[:len(key)-len(lastPart(key))]
	d.follow(d.ctx, "config", []string{table}, tableOf(key), configFeedWait, func(rows []platform.Row, _ bool) {
		for _, r := range rows {
			if r.Key == key && !r.Deleted {
				d.applyConfig(r.Value, "store")
			}
		}
	})
}

// applyConfig brings a configuration into force unless a newer one is.
func (d *Daemon) applyConfig(data []byte, source string) {
	snapshot, err := d.cfg.Reader.ReadConfig(data)
	if err != nil {
		d.cfg.Log.Error().Err(err).Str("source", source).Msg("cell: configuration can't be read")
		return
	}
	d.mu.Lock()
	if snapshot.Version <= d.Snapshot().Version {
		d.mu.Unlock()
		return
	}
	d.config.Store(&configState{snapshot: snapshot, data: data, read: time.Now()})
	pools := make([]*ownedPool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	d.cfg.Log.Info().Uint64("version", uint64(snapshot.Version)).Str("source", source).Int("queues", len(snapshot.Queues)).Msg("cell: configuration in force")
	for _, p := range pools {
		p.configChanged(snapshot)
	}
}

// fetchConfig asks a daemon that has a newer configuration for it.
func (d *Daemon) fetchConfig(from cluster.DaemonID, version cluster.Version) {
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		reply, err := call[configReply](ctx, d, from, methodConfig, &configRequest{})
		if err != nil {
			d.cfg.Log.Debug().Err(err).Str("peer", string(from)).Uint64("version", uint64(version)).Msg("cell: configuration not fetched")
			return
		}
		d.applyConfig(reply.Data, string(from))
	})
}

func (d *Daemon) localConfig() configReply { return configReply{Data: d.config.Load().data} }
