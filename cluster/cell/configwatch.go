package cell

import (
	"context"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// configState is the configuration in force and the row that it was decoded from.
type configState struct {
	snapshot *cluster.Snapshot
	data     []byte
	readAt   time.Time
}

type configRequest struct{}

type configReply struct {
	Data []byte `msgpack:"Data"`
}

// Snapshot returns the configuration in force; its version is zero until one has been read.
func (d *Daemon) Snapshot() *cluster.Snapshot { return d.config.Load().snapshot }

// Ready reports whether the daemon can serve requests.
func (d *Daemon) Ready() bool {
	return d.Snapshot().Version > 0 && d.shardCount() > 0 && !d.leaving.Load()
}

// followConfig applies each configuration that the operator writes.
func (d *Daemon) followConfig() {
	key := d.cfg.Reader.ConfigKey()
	table := key[:len(key)-len(rowName(key))]
	d.followRows(d.ctx, "config", []string{table}, tablePrefix(key), configFeedWait, func(rows []platform.Row, _ bool) {
		for _, r := range rows {
			if r.Key == key && !r.Deleted {
				d.applyConfig(r.Value, "store")
			}
		}
	})
}

// applyConfig puts a configuration in force unless the current one is as new.
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
	d.config.Store(&configState{snapshot: snapshot, data: data, readAt: time.Now()})
	owned := make([]*ownedShard, 0, len(d.ownedShards))
	for _, o := range d.ownedShards {
		owned = append(owned, o)
	}
	d.mu.Unlock()
	d.cfg.Log.Info().Uint64("version", uint64(snapshot.Version)).Str("source", source).Int("queues", len(snapshot.Queues)).Msg("cell: configuration in force")
	for _, o := range owned {
		o.configChanged()
	}
}

// fetchConfig requests the configuration of a daemon that has a newer one.
func (d *Daemon) fetchConfig(from cluster.DaemonID, version cluster.Version) {
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		reply, err := call[configReply](ctx, d, from, methodConfig, &configRequest{})
		if err != nil {
			d.cfg.Log.Debug().Err(err).Str("peer", string(from)).Uint64("version", uint64(version)).Msg("cell: configuration could not be fetched")
			return
		}
		d.applyConfig(reply.Data, string(from))
	})
}

func (d *Daemon) serveConfig() configReply { return configReply{Data: d.config.Load().data} }
