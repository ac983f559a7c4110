package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// configRequest requests the configuration of another daemon.
type configRequest struct {
	// Base is the version that the sender has, and BaseHash the hash of its row; the reply may be a patch of it.
	Base     uint64 `msgpack:"Base"`
	BaseHash uint64 `msgpack:"BaseHash"`
	// MaxParts is the largest number of parts of the reply. It is zero in the requests of daemons of earlier versions,
	// which expect the whole row in Data.
	MaxParts int `msgpack:"MaxParts"`
}

// configReply is a part of the reply to a configRequest.
type configReply struct {
	// Data is the whole row; it is sent to and by daemons of earlier versions only.
	Data []byte `msgpack:"Data"`
	// Version is the version of the configuration, and Hash the hash of its row.
	Version uint64 `msgpack:"Version"`
	Hash    uint64 `msgpack:"Hash"`
	// AsOf is the version of the store up to which the configuration is the newest one; zero if it is not known.
	AsOf uint64 `msgpack:"AsOf"`
	// Update is a part of the compressed configuration; it is empty if the version is that of the request. Patch means
	// that it is relative to the version of the request.
	Update []byte `msgpack:"Update"`
	Patch  bool   `msgpack:"Patch"`
	// Part is the index of the part, and Parts their number.
	Part  int `msgpack:"Part"`
	Parts int `msgpack:"Parts"`
}

// configAnnouncement tells another daemon that a configuration is in force on the sender.
type configAnnouncement struct {
	Version uint64 `msgpack:"Version"`
}

const (
	// configPartBytes bounds the parts of a configuration, so that small messages can pass between them.
	configPartBytes = 16 << 10
	// maxConfigParts bounds the parts of a reply.
	maxConfigParts = 128
	// freeConfigUpdate is the size up to which an update does not count against the rate of the sender.
	freeConfigUpdate = 4 << 10
)

// announceConfig tells the other daemons of the zone that a version is in force here; the daemons of other zones learn
// it from the pings.
func (d *Daemon) announceConfig(version cluster.Version) {
	body, err := encode("announce configuration", &configAnnouncement{Version: uint64(version)})
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: announcement of the configuration can't be encoded")
		return
	}
	var zone []cluster.DaemonID
	d.mu.Lock()
	for vm, m := range d.members {
		id := cluster.DaemonID(m.ID)
		if vm != d.cfg.VM && d.inSameZone(m) && d.digests[id].ConfigVersion < version {
			zone = append(zone, id)
		}
	}
	d.mu.Unlock()
	for _, id := range zone {
		d.transport.Send(id, &peer.Call{ID: noReplyID, Method: methodAnnounceConfig, Body: body})
	}
}

// receiveConfigAnnouncement makes fetchNewerConfig look for the announced version.
func (d *Daemon) receiveConfigAnnouncement(from cluster.DaemonID, a configAnnouncement) {
	d.mu.Lock()
	digest := d.digests[from]
	digest.ConfigVersion = max(digest.ConfigVersion, cluster.Version(a.Version))
	d.digests[from] = digest
	d.mu.Unlock()
	select {
	case d.configAnnounced <- struct{}{}:
	default:
	}
}

// distance orders the daemons that a configuration can be requested from.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// fetchNewerConfig requests a newer configuration from another daemon. It requests one at a time.
func (d *Daemon) fetchNewerConfig() {
	var version cluster.Version
	var behindSince time.Time
	for d.awaitConfigCheck() {
		if current := d.Snapshot().Version; current != version {
			version, behindSince = current, time.Time{}
		}
		sources, nearest := d.configSources()
		if len(sources) == 0 {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = time.Now()
		}
		if time.Since(behindSince) >= d.configFetchDelay(nearest) {
			d.fetchConfig(sources[rand.IntN(len(sources))])
		}
	}
}

// awaitConfigCheck waits until a configuration is announced, at most for configCheckInterval. It returns false if the
// daemon is closed.
func (d *Daemon) awaitConfigCheck() bool {
	timer := time.NewTimer(configCheckInterval)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-d.configAnnounced:
	case <-timer.C:
	}
	return true
}

// configFetchDelay returns how long a daemon that is behind waits before it requests a configuration at a distance. A
// daemon that reads the configuration from the store waits for its feed; the others leave it to the one that leads
// their zone to get a copy from farther away.
func (d *Daemon) configFetchDelay(from distance) time.Duration {
	reader := d.readsConfig()
	switch {
	case from == otherRegion && reader:
		return configFetchDelay
	case from == otherRegion && d.leadsZone():
		return 0
	case from == otherRegion:
		return zoneConfigFetchDelay
	case reader:
		return regionalConfigFetchDelay
	case from == sameRegion && d.Snapshot().Version > 0 && !d.leadsZone():
		return zoneConfigFetchDelay
	}
	return 0
}

// configSources returns the daemons at the shortest distance that announce a newer configuration.
func (d *Daemon) configSources() (sources []cluster.DaemonID, nearest distance) {
	version := d.Snapshot().Version
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	byDistance := map[distance][]cluster.DaemonID{}
	for id, digest := range d.digests {
		if digest.ConfigVersion <= version || now.Sub(d.transport.LastSeen(id)) > peerTimeout || now.Before(d.configRetryAt[id]) {
			continue
		}
		from := otherRegion
		vm, _, _ := strings.Cut(string(id), daemonSeparator)
		switch m, ok := d.members[vm]; {
		case ok && d.inSameZone(m):
			from = sameZone
		case ok && cluster.Region(m.Region) == d.cfg.Place.Region:
			from = sameRegion
		}
		byDistance[from] = append(byDistance[from], id)
	}
	for _, from := range []distance{sameZone, sameRegion} {
		if len(byDistance[from]) > 0 {
			return byDistance[from], from
		}
	}
	return byDistance[otherRegion], otherRegion
}

// fetchConfig requests the configuration of another daemon and applies it.
func (d *Daemon) fetchConfig(from cluster.DaemonID) {
	ctx, cancel := context.WithTimeout(d.ctx, configFetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	base := d.config.Load()
	reply, data, err := d.requestConfig(ctx, from, base)
	if reply.Patch && IsKind(err, KindMalformed) {
		d.cfg.Log.Warn().Err(err).Str("peer", string(from)).Msg("cell: patch of the configuration can't be applied; requesting all of it")
		reply, data, err = d.requestConfig(ctx, from, &configState{snapshot: cluster.Assemble(0, nil)})
	}
	if err != nil {
		d.delayConfigRequests(from)
		d.cfg.Metrics.Counter("config_request_failures").Inc(1)
		d.cfg.Log.Info().Err(err).Str("peer", string(from)).Dur("took", time.Since(requestedAt)).Msg("cell: configuration could not be fetched")
		return
	}
	d.cfg.Log.Info().Str("peer", string(from)).Uint64("version", reply.Version).Int("bytes", len(reply.Update)+len(reply.Data)).Bool("patch", reply.Patch).
		Dur("took", time.Since(requestedAt)).Msg("cell: configuration fetched")
	if data != nil {
		d.applyConfig(data, string(from))
	}
	version := d.Snapshot().Version
	if version > 0 && uint64(version) == reply.Version {
		d.advanceConfigAsOf(cluster.Version(reply.AsOf))
	}
	if version == base.snapshot.Version {
		// The other daemon has no newer row, or one that can't be read here.
		d.delayConfigRequests(from)
	}
}

// requestConfig requests the configuration of another daemon. It returns the reply, which may be a patch
// of base, and the row; nil if the other daemon has the row of base.
func (d *Daemon) requestConfig(ctx context.Context, from cluster.DaemonID, base *configState) (configReply, []byte, error) {
	d.cfg.Metrics.Counter("config_requests").Inc(1)
	request := configRequest{Base: uint64(base.snapshot.Version), BaseHash: base.hash, MaxParts: maxConfigParts}
	var parts configCollector
	if err := callForParts(ctx, d, from, methodConfig, &request, maxConfigParts, parts.add); err != nil {
		return configReply{}, nil, err
	}
	data, err := parts.reply.decode(base.data)
	return parts.reply, data, err
}

// delayConfigRequests makes the next request to another daemon wait for configRetryDelay.
func (d *Daemon) delayConfigRequests(to cluster.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configRetryAt[to] = time.Now().Add(configRetryDelay)
}

// decode returns the row of the configuration; nil if it is the one of the request.
func (r *configReply) decode(base []byte) ([]byte, error) {
	switch {
	case len(r.Data) > 0:
		return r.Data, nil
	case len(r.Update) == 0:
		return nil, nil
	case r.Patch:
		return decodeConfigUpdate(r.Update, base, r.Hash)
	}
	return decodeConfigUpdate(r.Update, nil, r.Hash)
}

// configCollector joins the parts of the reply to a configRequest.
type configCollector struct {
	reply    configReply
	received int
}

// add appends the next part and returns whether it is the last one. It fails if a part is missing.
func (c *configCollector) add(part configReply) (complete bool, err error) {
	if part.Part != c.received {
		return false, &Error{Op: "read answer of " + methodConfig, Kind: KindMalformed, Err: fmt.Errorf("received part %d instead of part %d", part.Part, c.received)}
	}
	c.received++
	part.Update = append(c.reply.Update, part.Update...)
	c.reply = part
	return c.received >= part.Parts, nil
}

// serveConfig returns the parts of the configuration in force for another daemon. It refuses a request that would have
// to wait too long for its turn; the other daemon then asks one that has the configuration as well.
func (d *Daemon) serveConfig(ctx context.Context, r configRequest) ([]configReply, error) {
	d.mu.Lock()
	current, asOf := d.config.Load(), d.configStoreVersion
	d.mu.Unlock()
	reply := configReply{Version: uint64(current.snapshot.Version), Hash: current.hash, AsOf: uint64(asOf)}
	if r.MaxParts == 0 {
		reply.Data = current.data
		return []configReply{reply}, d.awaitConfigTurn(ctx, len(current.data))
	}
	if r.Base == reply.Version && r.BaseHash == reply.Hash {
		return []configReply{reply}, nil
	}
	update, err := d.configUpdate(current, r)
	if err != nil {
		return nil, err
	}
	if err := d.awaitConfigTurn(ctx, len(update.content)); err != nil {
		return nil, err
	}
	reply.Patch = update.patch
	return splitConfig(reply, update.content, r.MaxParts), nil
}

// splitConfig divides an update into parts.
func splitConfig(reply configReply, content []byte, maxParts int) []configReply {
	size := max(configPartBytes, (len(content)+maxParts-1)/maxParts)
	var parts []configReply
	for first := 0; first < len(content); first += size {
		part := reply
		part.Update, part.Part = content[first:min(first+size, len(content))], len(parts)
		parts = append(parts, part)
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// configUpdate is an encoded configuration.
type configUpdate struct {
	content []byte
	patch   bool
}

// configUpdate returns the update of a configuration for a request. Updates are kept until another configuration is
// in force, as several daemons request the same one.
func (d *Daemon) configUpdate(current *configState, r configRequest) (configUpdate, error) {
	d.configEncodeMu.Lock()
	defer d.configEncodeMu.Unlock()
	var base *configState
	d.mu.Lock()
	for _, earlier := range d.configHistory {
		if uint64(earlier.snapshot.Version) == r.Base && earlier.hash == r.BaseHash {
			base = earlier
		}
	}
	baseVersion := cluster.Version(0)
	if base != nil {
		baseVersion = base.snapshot.Version
	}
	update, ok := d.configUpdates[baseVersion]
	isCurrent := d.config.Load() == current
	d.mu.Unlock()
	if ok && isCurrent {
		return update, nil
	}
	var baseData []byte
	if base != nil {
		baseData = base.data
	}
	content, err := encodeConfigUpdate(current.data, baseData)
	if err != nil {
		return configUpdate{}, err
	}
	update = configUpdate{content: content, patch: base != nil}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Load() == current {
		d.configUpdates[baseVersion] = update
	}
	return update, nil
}

// awaitConfigTurn waits until the configurations sent before leave room for another one of the given size. The rate is
// limited, as a VM with a slow link has to serve requests meanwhile.
func (d *Daemon) awaitConfigTurn(ctx context.Context, size int) error {
	d.cfg.Metrics.Counter("config_bytes_sent").Inc(int64(size))
	if size <= freeConfigUpdate {
		return nil
	}
	now := time.Now()
	d.mu.Lock()
	turnAt := d.nextConfigSendAt
	if turnAt.Before(now) {
		turnAt = now
	}
	if turnAt.Sub(now) > maxConfigSendDelay {
		d.mu.Unlock()
		return &Error{Op: "serve configuration", Kind: KindOverloaded}
	}
	rate := max(configSendRate, int(d.cfg.LinkRate)/configLinkShare)
	d.nextConfigSendAt = turnAt.Add(time.Duration(size) * time.Second / time.Duration(rate))
	d.mu.Unlock()
	timer := time.NewTimer(turnAt.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &Error{Op: "serve configuration", Kind: KindUnavailable, Err: ctx.Err()}
	case <-timer.C:
		return nil
	}
}
