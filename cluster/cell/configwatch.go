package cell

import (
	"context"
	"math/rand/v2"
	"strings"
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
	feed := rowFeed{name: "config", prefixes: []string{table}, changePrefix: tablePrefix(key), wait: configFeedWait, timeout: configReadTimeout}
	d.followRows(d.ctx, feed, func(rows []platform.Row, _ bool) {
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

// fetchNewerConfig requests a newer configuration from another daemon if this one can't reach the store or its feed is
// late. It requests one copy at a time, as a copy may take a large part of a slow link.
func (d *Daemon) fetchNewerConfig() {
	var version cluster.Version
	var behindSince time.Time
	for d.sleep(configCheckInterval) {
		if current := d.Snapshot().Version; current != version {
			version, behindSince = current, time.Time{}
		}
		sources, sameRegion := d.configSources()
		if len(sources) == 0 {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = time.Now()
		}
		delay := configFetchDelay
		if sameRegion {
			delay = regionalConfigFetchDelay
		}
		if d.store.mayBeReachable() && time.Since(behindSince) < delay {
			continue
		}
		d.fetchConfig(sources[rand.IntN(len(sources))])
	}
}

// configSources returns the daemons that announce a newer configuration, only those of this region if there are any.
func (d *Daemon) configSources() (sources []cluster.DaemonID, sameRegion bool) {
	version := d.Snapshot().Version
	d.mu.Lock()
	defer d.mu.Unlock()
	var regional []cluster.DaemonID
	for id, digest := range d.digests {
		if digest.ConfigVersion <= version || time.Since(d.transport.LastSeen(id)) > peerTimeout {
			continue
		}
		sources = append(sources, id)
		vm, _, _ := strings.Cut(string(id), daemonSeparator)
		if m, ok := d.members[vm]; ok && cluster.Region(m.Region) == d.cfg.Place.Region {
			regional = append(regional, id)
		}
	}
	if len(regional) > 0 {
		return regional, true
	}
	return sources, false
}

// fetchConfig requests the configuration of another daemon and applies it.
func (d *Daemon) fetchConfig(from cluster.DaemonID) {
	ctx, cancel := context.WithTimeout(d.ctx, configFetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	d.cfg.Metrics.Counter("config_requests").Inc(1)
	reply, err := call[configReply](ctx, d, from, methodConfig, &configRequest{})
	if err != nil {
		d.cfg.Metrics.Counter("config_request_failures").Inc(1)
		d.cfg.Log.Info().Err(err).Str("peer", string(from)).Dur("took", time.Since(requestedAt)).Msg("cell: configuration could not be fetched")
		return
	}
	d.cfg.Log.Info().Str("peer", string(from)).Int("bytes", len(reply.Data)).Dur("took", time.Since(requestedAt)).Msg("cell: configuration fetched")
	d.applyConfig(reply.Data, string(from))
}

// serveConfig returns the configuration in force for another daemon. A request above configSendRate is refused; the
// other daemon then asks one that has fetched the configuration meanwhile.
func (d *Daemon) serveConfig() (configReply, error) {
	data := d.config.Load().data
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextConfigSendAt) {
		return configReply{}, &Error{Op: "serve configuration", Kind: KindOverloaded}
	}
	d.nextConfigSendAt = now.Add(time.Duration(len(data)) * time.Second / configSendRate)
	d.cfg.Metrics.Counter("config_bytes_sent").Inc(int64(len(data)))
	return configReply{Data: data}, nil
}
