package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/gateway"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/metrics"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
	"github.com/goldcrestshift/goldcrestshift/cluster/rollout"
)

// metricsInterval is the interval at which metrics are reported to the registry.
const metricsInterval = time.Second

// Daemon is the scheduler process that runs on every entry VM.
type Daemon struct {
	cfg        Config
	id         cluster.DaemonID
	now        func() time.Time
	log        zerolog.Logger
	metrics    tally.Scope
	closers    []func()
	invariants *invariant.Recorder
	paidLink   *paidlink.Counter

	client *platform.Client
	// store is the table service of client, with monitoring of the calls.
	store *monitoredStore
	// controlJournal commits the changes of the controller and the notes,
	// requestJournal those of the gateway.
	controlJournal *journal.Journal
	requestJournal *journal.Journal
	members        *member.Table
	manager        *member.Manager
	peers          *peer.Transport
	rollout        *rollout.Rollout
	notes          *note.Repository
	noteApplier    note.Applier
	gateway        *gateway.Gateway
	loop           *loop
	server         *http.Server
	listener       net.Listener
	// clients limits what callers may take; decoding is held while a body is decoded that takes much memory.
	clients  *clientlimit.Guard
	decoding sync.Mutex
	// listingClient fetches the listings of the other daemons.
	listingClient *http.Client

	// memberFirstSeen and configLoadedAt are used by the watch goroutine only.
	// memberFirstSeen holds when each member first appeared in the member table;
	// configLoadedAt is when publishMembers first found the configuration loaded.
	memberFirstSeen map[cluster.DaemonID]time.Time
	configLoadedAt  time.Time

	// joined is set once the member row has been written.
	joined   atomic.Bool
	draining atomic.Bool
	// vms is the platform's list of VMs as last read; nil before the first read.
	vms atomic.Pointer[[]platform.VM]
	// rackDigests is the controller's digest after its last step, sent with each ping.
	rackDigests atomic.Pointer[[]peer.RackDigest]
}

// New opens the sockets and builds the components; Run starts serving.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, now: time.Now, id: newDaemonID(cfg.Name)}
	d.log = cfg.Log.With().Str("daemon", string(d.id)).Logger()
	debug.SetMemoryLimit(memoryTarget(cfg.MemoryLimit))
	if err := d.listen(); err != nil {
		return nil, err
	}
	scope, closer, handler := metrics.New(d.log, metricsInterval)
	d.metrics = scope
	d.clients = clientlimit.NewGuard(clientlimit.GuardConfig{Limits: d.clientLimits(), Log: d.log, Metrics: scope})
	d.closers = append(d.closers, func() { _ = closer.Close() })
	d.invariants = invariant.New(invariant.Config{Log: d.log, Metrics: scope, OnViolation: cfg.OnViolation})
	d.paidLink = paidlink.New(paidlink.Config{Self: cfg.Place.Region, Metrics: scope})
	if err := d.buildStore(); err != nil {
		return nil, err
	}
	d.buildMembers()
	d.buildControlLoop()
	d.buildNotes()
	d.buildGateway()
	d.buildServer(handler)
	return d, nil
}

// ID returns the identifier of this run of the daemon.
func (d *Daemon) ID() cluster.DaemonID { return d.id }

// Violations returns the number of invariant violations since the start.
func (d *Daemon) Violations() int64 { return d.invariants.Violations() }

// PaidLinkBytes returns the bytes exchanged with other regions since the start.
func (d *Daemon) PaidLinkBytes() int64 { return d.paidLink.CrossedTotal() }

// listen opens the sockets that the configuration does not supply.
func (d *Daemon) listen() error {
	var err error
	if d.listener = d.cfg.HTTPListener; d.listener == nil {
		if d.listener, err = clientlimit.Listen(d.cfg.HTTPAddr); err != nil {
			return &Error{Op: "listen for HTTP", Kind: KindListen, Err: err}
		}
	}
	if d.cfg.PeerListener == nil {
		if d.cfg.PeerListener, err = net.Listen("tcp", d.cfg.PeerAddr.String()); err != nil {
			_ = d.listener.Close()
			return &Error{Op: "listen for peers", Kind: KindListen, Err: err}
		}
	}
	return nil
}

func (d *Daemon) buildStore() error {
	client, err := platform.NewClient(platform.ClientConfig{
		BaseURL:     d.cfg.PlatformURL.String(),
		Self:        d.cfg.Place,
		StoreRegion: d.cfg.StoreRegion,
		Bytes:       d.paidLink,
	})
	if err != nil {
		return &Error{Op: "start", Kind: KindSetting, Err: settingError(SettingPlatformURL, d.cfg.PlatformURL.String(), "an http URL with a host and no path")}
	}
	d.client = client
	d.closers = append(d.closers, client.Close)
	d.store = newMonitoredStore(d.client, d.now, d.metrics)
	d.controlJournal = journal.New(journal.Config{Store: d.store, Writer: member.Writer(d.id, writerControl), Log: d.log, Metrics: d.metrics})
	d.requestJournal = journal.New(journal.Config{Store: d.store, Writer: member.Writer(d.id, writerRequests), Log: d.log, Metrics: d.metrics})
	return nil
}

// Writer names of the daemon's two journals. The gateway's requests have their
// own journal, so that a lost commit reply in one does not delay the other.
const (
	writerControl  = "control"
	writerRequests = "requests"
)

func (d *Daemon) buildMembers() {
	self := member.Member{ID: d.id, Place: d.cfg.Place, PeerAddr: d.cfg.PeerAddr, HTTPAddr: d.cfg.HTTPAddr}
	d.members = member.NewTable(member.TableConfig{
		Self: d.id, Now: d.now,
		LastSeen: func(id cluster.DaemonID) time.Time { return d.peers.LastSeen(id) },
	})
	limits := d.clientLimits()
	d.peers = peer.New(peer.Config{
		Self:     peer.Hello{From: d.id, Place: d.cfg.Place, PeerAddr: d.cfg.PeerAddr, HTTPAddr: d.cfg.HTTPAddr},
		Listener: d.cfg.PeerListener,
		MaxConns: limits.PeerConns, MaxHandshakes: limits.PartialConns,
		Log:      d.log,
		Metrics:  d.metrics,
		PaidLink: d.paidLink,
		Now:      d.now,
		Handler:  d.handlePeer,
		Digest:   d.pingDigest,
	})
	d.rollout = rollout.New(rollout.Config{
		Self: d.id, Place: d.cfg.Place, Store: d.store, Peers: d.peers, Members: d.members,
		Clock: d.now, Random: rand.Float64, Invariants: d.invariants, Log: d.log, Metrics: d.metrics,
	})
	d.manager = member.New(member.Config{
		Self: self, Store: d.store, VMs: d.client, Table: d.members, Log: d.log, Metrics: d.metrics, Random: rand.Float64,
	})
}

func (d *Daemon) buildControlLoop() {
	seed := d.cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(seed, 1))
	controller := rack.New(rack.Config{
		Self: d.id, Place: d.cfg.Place, Random: random.Float64, MaxJobMemory: d.clientLimits().JobBytes, Log: d.log, Metrics: d.metrics, Invariants: d.invariants,
	})
	d.loop = newLoop(loopConfig{
		Controller: controller, Store: d.store, RackService: d.client, Journal: d.controlJournal,
		Send: d.peers.Send, Now: d.now, Log: d.log, Metrics: d.metrics,
		AfterStep: func(c *rack.Controller) {
			racks := c.Digest()
			d.rackDigests.Store(&racks)
		},
	})
	d.rollout.OnChange(func(s *cluster.Snapshot) { d.loop.post(&rack.ConfigChanged{Snapshot: s}) })
}

func (d *Daemon) buildGateway() {
	d.gateway = gateway.New(gateway.Config{
		Self: d.id, Place: d.cfg.Place, Authorizer: d.rollout, Store: d.store, Journal: d.requestJournal, Sender: d.peers,
		Refusal: toRefusal, Clock: d.now, Log: d.log, Metrics: d.metrics, Invariants: d.invariants, PaidLink: d.paidLink,
		Clients: d.clients,
	})
}

// Run serves until ctx is done and then shuts down gracefully. It returns an
// error if the settings contradict the platform's list of VMs or the HTTP
// server fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info().Str("http", d.cfg.HTTPAddr.String()).Str("peer", d.cfg.PeerAddr.String()).
		Str("zone", string(d.cfg.Place.Zone)).Msg("daemon: started")
	workCtx, stopWork := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer func() {
		stopWork()
		wg.Wait()
		d.close()
	}()
	failed := make(chan error, 1)
	wg.Go(func() {
		if err := d.server.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve", Kind: KindListen, Err: err}
		}
	})
	wg.Go(func() { d.loop.run(workCtx) })
	if err := d.join(ctx); err != nil {
		_ = d.server.Close()
		return err
	}
	wg.Go(func() { d.manager.Run(workCtx) })
	wg.Go(func() { d.rollout.Run(workCtx) })
	wg.Go(func() { d.runWatch(workCtx) })
	select {
	case <-ctx.Done():
		d.shutdown()
		return nil
	case err := <-failed:
		return err
	}
}

// join waits for the platform's list of VMs, checks the settings against it and writes the member row.
func (d *Daemon) join(ctx context.Context) error {
	vms, err := d.waitForVMList(ctx)
	if err != nil {
		return err
	}
	if err := d.checkPlace(vms); err != nil {
		return err
	}
	d.vms.Store(&vms)
	if err := d.manager.Join(ctx); err != nil {
		return &Error{Op: "join", Kind: KindStopped, Err: err}
	}
	d.joined.Store(true)
	d.log.Info().Msg("daemon: joined the cell")
	return nil
}

// maxVMListRetryDelay is the longest delay, before jitter, between attempts to read the list of VMs at start.
const maxVMListRetryDelay = 5 * time.Second

// waitForVMList reads the platform's list of VMs, retrying with jittered
// exponential delays until it succeeds or ctx is done.
func (d *Daemon) waitForVMList(ctx context.Context) ([]platform.VM, error) {
	delay := 100 * time.Millisecond
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		vms, err := d.client.ListVMs(attemptCtx)
		cancel()
		if err == nil {
			return vms, nil
		}
		d.log.Warn().Err(err).Msg("daemon: platform did not return the list of VMs; retrying, not ready until it does")
		select {
		case <-ctx.Done():
			return nil, &Error{Op: "start", Kind: KindStopped, Err: ctx.Err()}
		case <-time.After(time.Duration(float64(delay) * (0.5 + rand.Float64()))):
		}
		delay = min(2*delay, maxVMListRetryDelay)
	}
}

// checkPlace returns an error if no VM is in the configured zone or if the zone
// is in another region than the configured one. An empty list passes.
func (d *Daemon) checkPlace(vms []platform.VM) error {
	regionOfZone := map[cluster.Zone]cluster.Region{}
	for _, vm := range vms {
		regionOfZone[vm.Place.Zone] = vm.Place.Region
	}
	if len(regionOfZone) == 0 {
		return nil
	}
	region, known := regionOfZone[d.cfg.Place.Zone]
	if !known {
		return &Error{Op: "start", Kind: KindSetting, Err: settingError(SettingZone, string(d.cfg.Place.Zone), sortedKeys(regionOfZone))}
	}
	if region != d.cfg.Place.Region {
		allowed := fmt.Sprintf("%s, the region of zone %s", region, d.cfg.Place.Zone)
		return &Error{Op: "start", Kind: KindSetting, Err: settingError(SettingRegion, string(d.cfg.Place.Region), allowed)}
	}
	return nil
}

// shutdown hands over racks and slots, waits for running requests and deletes
// the member row, all within the drain timeout.
func (d *Daemon) shutdown() {
	d.log.Info().Msg("daemon: draining")
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	d.loop.post(&rack.Drain{})
	if err := d.gateway.Drain(ctx); err != nil {
		d.log.Warn().Err(err).Msg("daemon: requests were still running at the end of the drain timeout")
	}
	select {
	case <-d.loop.drained:
	case <-ctx.Done():
		d.log.Warn().Msg("daemon: racks were not handed over before the drain timeout")
	}
	d.rollout.Leave(ctx)
	// Leave also deletes the writer rows of the journals, so nothing may be committed after it.
	d.requestJournal.Close()
	d.controlJournal.Close()
	if err := d.manager.Leave(ctx); err != nil {
		d.log.Warn().Err(err).Msg("daemon: member row was not deleted")
	}
	if err := d.server.Shutdown(ctx); err != nil {
		d.log.Warn().Err(err).Msg("daemon: HTTP server did not shut down within the drain timeout; closing its connections")
		_ = d.server.Close()
	}
	d.log.Info().Msg("daemon: stopped")
}

// close releases what New opened and started.
func (d *Daemon) close() {
	d.gateway.Close()
	d.peers.Close()
	d.requestJournal.Close()
	d.controlJournal.Close()
	// rollout.Close waits for the note in flight, whose outcome is known at the
	// latest once the journal is closed.
	d.rollout.Close()
	d.loop.waitForCalls()
	for _, f := range d.closers {
		f()
	}
}
