package cell

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Daemon is one daemon of a cell.
type Daemon struct {
	cfg       Config
	ctx       context.Context
	stop      context.CancelFunc
	wg        conc.WaitGroup
	transport *peer.Transport
	calls     *calls
	store     *relayStore
	intake    *intake
	advisor   *advisor
	pending   *pendingCache
	started   time.Time

	config  atomic.Pointer[configState]
	leaving atomic.Bool
	// cellRead is closed when the rows of the cell were read for the first time.
	cellRead chan struct{}
	// division is nil until the division of the cell is known.
	division atomic.Pointer[divisionRow]
	// lastWorkers is the length of the last list of workers; used by claimLoop only.
	lastWorkers int

	mu      sync.Mutex
	members map[string]memberRow
	owners  map[shardID]ownership
	pools   map[shardID]*ownedPool
	// peers is the last digest of each daemon.
	peers map[cluster.DaemonID]peer.Digest
	// lostSince is when the owner of a shard was first seen to be missing.
	lostSince map[shardID]time.Time
	// undivided is when this daemon first saw that the cell is not divided yet.
	undivided time.Time
}

// ownership is the row of a pool's owner with its version.
type ownership struct {
	row     ownerRow
	version cluster.Version
	seen    time.Time
}

// New returns a daemon; Run runs it.
func New(cfg Config) (*Daemon, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.ShardWorkers == 0 {
		cfg.ShardWorkers = DefaultShardWorkers
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	d := &Daemon{
		cfg: cfg, calls: newCalls(), started: time.Now(), cellRead: make(chan struct{}),
		members: map[string]memberRow{}, owners: map[shardID]ownership{}, pools: map[shardID]*ownedPool{},
		peers: map[cluster.DaemonID]peer.Digest{}, lostSince: map[shardID]time.Time{},
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.store = newRelayStore(d, cfg.Store)
	d.intake = newIntake(d)
	d.advisor = newAdvisor(d)
	d.pending = &pendingCache{d: d, entries: map[cluster.ServiceName]*pendingEntry{}}
	d.config.Store(&configState{snapshot: cluster.Assemble(0, nil)})
	return d, nil
}

// Start joins the cell and returns at once; Close leaves it.
func (d *Daemon) Start() {
	d.transport = peer.New(peer.Config{
		Self:     peer.Hello{From: d.cfg.Self, Place: d.cfg.Place, PeerAddr: d.cfg.PeerAddr},
		Listener: d.cfg.Listener, Log: d.cfg.Log, Metrics: d.cfg.Metrics, PaidLink: d.cfg.PaidLink,
		Handler: d.receive, Digest: d.digest,
	})
	d.cfg.Log.Info().Str("daemon", string(d.cfg.Self)).Stringer("peerAddr", d.cfg.PeerAddr).Msg("cell: started")
	d.wg.Go(d.store.watch)
	d.wg.Go(d.joinCell)
	d.wg.Go(d.followConfig)
	d.wg.Go(d.followCell)
	d.wg.Go(d.followMembers)
	d.wg.Go(d.claimLoop)
	for part := range jobParts {
		d.wg.Go(func() { d.intake.run(part) })
	}
}

// Release hands the pools over, so that another daemon owns them at once.
func (d *Daemon) Release(ctx context.Context) {
	d.leaving.Store(true)
	d.mu.Lock()
	pools := make([]*ownedPool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.release(ctx)
	}
}

// Close ends every goroutine of the daemon.
func (d *Daemon) Close() {
	d.leaving.Store(true)
	d.stop()
	d.transport.Close()
	d.wg.Wait()
	d.cfg.Log.Info().Msg("cell: stopped")
}

// receive handles a message of another daemon; it does not block.
func (d *Daemon) receive(from cluster.DaemonID, m peer.Message) {
	switch v := m.(type) {
	case *peer.Ping:
		d.mu.Lock()
		d.peers[from] = v.Digest
		d.mu.Unlock()
		if v.Digest.ConfigVersion > d.Snapshot().Version {
			d.fetchConfig(from, v.Digest.ConfigVersion)
		}
	case *peer.Call:
		d.wg.Go(func() { d.serveCall(from, v) })
	case *peer.Answer:
		d.calls.answer(v)
	}
}

func (d *Daemon) digest() peer.Digest {
	return peer.Digest{ConfigVersion: d.Snapshot().Version, StoreVisible: d.store.visible(), Draining: d.leaving.Load()}
}

// relays returns the daemons that say that the store answers them, those of the same region first.
func (d *Daemon) relays() []cluster.DaemonID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var near, far []cluster.DaemonID
	for _, m := range d.members {
		id := cluster.DaemonID(m.ID)
		if id == d.cfg.Self || !d.peers[id].StoreVisible || time.Since(d.transport.LastHeard(id)) > ownerSilence {
			continue
		}
		if cluster.Region(m.Region) == d.cfg.Place.Region {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return slices.Concat(near, far)[:min(len(near)+len(far), maxRelays)]
}

// maxRelays bounds the daemons that are tried for one call.
const maxRelays = 2

// sleep waits and returns false if the daemon is closed meanwhile.
func (d *Daemon) sleep(t time.Duration) bool {
	pause := time.NewTimer(t)
	defer pause.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-pause.C:
		return true
	}
}

// joinCell writes the row of this daemon.
func (d *Daemon) joinCell() {
	row := memberRow{ID: string(d.cfg.Self), Addr: d.cfg.PeerAddr.String(), Region: string(d.cfg.Place.Region), Zone: string(d.cfg.Place.Zone), Cores: d.cfg.Cores}
	data, err := encode("join", &row)
	if err != nil {
		d.cfg.Log.Error().Err(err).Msg("cell: member row can't be written")
		return
	}
	for {
		_, err := d.store.Commit(d.ctx, platform.Txn{Puts: []platform.Put{{Key: memberKey(d.cfg.VM), Value: data}}})
		if err == nil {
			d.cfg.Log.Info().Msg("cell: joined")
			return
		}
		d.cfg.Log.Warn().Err(err).Msg("cell: joining failed; retrying")
		if !d.sleep(feedRetry/2 + rand.N(feedRetry)) {
			return
		}
	}
}

// follow reads the rows below a prefix and then every change, until the daemon
// is closed. apply gets whole as true with the rows of a full read.
func (d *Daemon) follow(ctx context.Context, name string, prefixes []string, feed string, wait time.Duration, apply func(rows []platform.Row, whole bool)) {
	var version cluster.Version
	for ctx.Err() == nil {
		req := platform.ReadRequest{Prefixes: prefixes}
		if version != 0 {
			req = platform.ReadRequest{Prefixes: []string{feed}, SinceVersion: version, Wait: wait}
		}
		reply, err := d.store.Read(ctx, req)
		switch {
		case err == nil:
			if version == 0 || len(reply.Rows) > 0 {
				apply(reply.Rows, version == 0)
			}
			version = max(version, reply.AsOf)
		case platform.IsKind(err, platform.KindExpired):
			d.cfg.Log.Warn().Str("feed", name).Uint64("version", uint64(version)).Msg("cell: history is gone; reading everything")
			version = 0
		case ctx.Err() == nil:
			d.cfg.Log.Debug().Err(err).Str("feed", name).Msg("cell: feed failed; retrying")
			d.sleep(feedRetry)
		}
	}
}

// followCell keeps the candidates and the owners of the shards. In a large cell
// it pauses after each change, so that daemons that start together do not each
// read every row of the others by itself.
func (d *Daemon) followCell() {
	var read sync.Once
	d.follow(d.ctx, "cell", []string{cellTable}, cellTable, cellFeedWait, func(rows []platform.Row, whole bool) {
		large := d.applyCell(rows, whole, candidate)
		read.Do(func() { close(d.cellRead) })
		if large {
			d.sleep(largeCellPause/2 + rand.N(largeCellPause))
		}
	})
}

// followMembers keeps the members that are no candidates, unless the cell is
// large: their rows would be most of what its daemons read from the store.
func (d *Daemon) followMembers() {
	ctx, stop := context.WithCancel(d.ctx)
	defer stop()
	select {
	case <-d.cellRead:
	case <-ctx.Done():
	}
	d.mu.Lock()
	large := largeCell(d.members)
	d.mu.Unlock()
	if large {
		return
	}
	d.follow(ctx, "members", []string{membersTable}, membersTable, memberFeedWait, func(rows []platform.Row, whole bool) {
		if d.applyCell(rows, whole, func(vm string) bool { return !candidate(vm) }) {
			d.cfg.Log.Info().Msg("cell: the cell is large; following its candidates only")
			stop()
		}
	})
}

// applyCell takes rows of the cell over and returns whether it is large. If the
// rows are whole, they replace those of the VMs that belongs selects.
func (d *Daemon) applyCell(rows []platform.Row, whole bool, belongs func(vm string) bool) bool {
	d.mu.Lock()
	if whole {
		maps.DeleteFunc(d.members, func(vm string, _ memberRow) bool { return belongs(vm) })
	}
	for _, r := range rows {
		if err := d.applyCellRow(r); err != nil {
			d.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("cell: row is left out")
		}
	}
	large := largeCell(d.members)
	if large {
		maps.DeleteFunc(d.members, func(vm string, _ memberRow) bool { return !candidate(vm) })
	}
	peers := d.peerList()
	d.mu.Unlock()
	d.transport.SetPeers(peers)
	return large
}

func (d *Daemon) applyCellRow(r platform.Row) error {
	name := lastPart(r.Key)
	if vm, ok := strings.CutPrefix(name, memberPrefix); ok {
		if r.Deleted {
			delete(d.members, vm)
			return nil
		}
		row, err := decode[memberRow]("read member", r.Value)
		if err == nil {
			d.members[vm] = row
		}
		return err
	}
	if r.Deleted {
		return nil
	}
	if r.Key == divisionKey {
		row, err := decode[divisionRow]("read division", r.Value)
		if err == nil {
			d.setDivision(row)
		}
		return err
	}
	if name != "owner" {
		return nil
	}
	row, err := decode[ownerRow]("read owner", r.Value)
	if err != nil {
		return err
	}
	id := shardOfKey(r.Key)
	if old := d.owners[id]; old.version >= r.Version {
		return nil
	}
	d.owners[id] = ownership{row: row, version: r.Version, seen: time.Now()}
	d.cfg.Log.Info().Stringer("shard", id).Str("owner", row.Owner).Uint64("epoch", row.Epoch).Msg("cell: owner of a shard")
	if p := d.pools[id]; p != nil && (row.Owner != string(d.cfg.Self) || row.Epoch > uint64(p.epoch)) {
		p.lose("the store names another owner")
	}
	return nil
}

func (d *Daemon) peerList() []peer.Peer {
	var peers []peer.Peer
	owners := map[string]bool{}
	for _, o := range d.owners {
		owners[o.row.Owner] = true
	}
	for _, m := range connectedMembers(d.members, owners) {
		addr, err := m.addr()
		if err != nil {
			d.cfg.Log.Error().Err(err).Msg("cell: member is left out")
			continue
		}
		peers = append(peers, peer.Peer{
			ID: cluster.DaemonID(m.ID), Addr: addr, Place: cluster.Place{Region: cluster.Region(m.Region), Zone: cluster.Zone(m.Zone)},
		})
	}
	return peers
}

// errLeaving is the cause of calls that end because the daemon leaves.
var errLeaving = errors.New("the daemon is leaving")
