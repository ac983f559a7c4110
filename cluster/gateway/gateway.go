package gateway

import (
	"context"
	"net/http"
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

// Gateway routes requests to runners.
type Gateway struct {
	cfg       Config
	transport *http.Transport
	metrics   metrics
	ctx       context.Context
	cancel    context.CancelFunc
	wg        conc.WaitGroup
	// pollNow triggers a read of the rows of slots.
	pollNow  chan struct{}
	idemKeys *idemTable

	// requestCounter numbers the requests, for their identifiers.
	requestCounter atomic.Uint64
	// drainingFlag mirrors draining for reads without the lock.
	drainingFlag atomic.Bool

	mu         sync.Mutex
	services   map[cluster.ServiceName]*service
	teams      map[cluster.TeamName]*team
	pools      map[string]*slotPool
	membership membership
	// snapshot is the configuration that the teams were last updated from.
	snapshot *cluster.Snapshot
	// slotsVersion is the version of the table up to which the rows of slots have been read;
	// slotsLoaded is set after the first read.
	slotsVersion cluster.Version
	slotsLoaded  bool
	// peakWindowStart is when the current window of the pools' peaks began.
	peakWindowStart time.Time
	// missingSince records when a daemon that holds slots was first seen missing from the members.
	missingSince map[cluster.DaemonID]time.Time
	// activeWork counts requests without a response and response records that are being written.
	activeWork int
	// workDone is set by Drain and closed when activeWork becomes zero.
	workDone chan struct{}
	draining bool
	closed   bool
}

type metrics struct {
	served, refused, uncertain, retried, ejected, allocationFailed tally.Counter
	latency                                                        tally.Timer
}

// New starts a gateway; Close stops it.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	scope := cfg.Metrics
	g := &Gateway{
		cfg: cfg, transport: newTransport(), ctx: ctx, cancel: cancel, pollNow: make(chan struct{}, 1),
		services: map[cluster.ServiceName]*service{}, teams: map[cluster.TeamName]*team{}, pools: map[string]*slotPool{},
		metrics: metrics{
			served: scope.Counter("gateway_served"), refused: scope.Counter("gateway_refused"),
			uncertain: scope.Counter("gateway_uncertain"), retried: scope.Counter("gateway_retried"),
			ejected: scope.Counter("gateway_ejected"), allocationFailed: scope.Counter("gateway_lend_failed"),
			latency: scope.Timer("gateway_latency"),
		},
		membership: membership{self: cfg.Self},
		idemKeys:   newIdemTable(),
	}
	g.wg.Go(g.pollSlots)
	g.wg.Go(g.tickLoop)
	g.wg.Go(g.sweepLoop)
	return g
}

// Close cancels running requests, stops the background work and closes the connections to runners.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.draining, g.closed = true, true
	g.drainingFlag.Store(true)
	for _, s := range g.services {
		for _, r := range s.runners {
			r.invalidateConns()
		}
	}
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}

func (g *Gateway) tickLoop() {
	ticker := time.NewTicker(g.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.tick()
		case <-g.ctx.Done():
			return
		}
	}
}

// tick updates the teams, rebalances slots, checks runners and dispatches waiting requests.
func (g *Gateway) tick() {
	snapshot := g.cfg.Authorizer.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	g.syncTeams(snapshot)
	g.rebalanceSlots(now)
	for _, s := range g.services {
		for _, r := range s.runners {
			r.trimIdle(r.connectionLimit(), now)
		}
		g.checkOutliers(s, now)
		g.dispatch(s)
	}
}

// syncTeams applies the shares and request limits of the teams from a new configuration snapshot.
func (g *Gateway) syncTeams(snapshot *cluster.Snapshot) {
	if snapshot == nil || snapshot == g.snapshot {
		return
	}
	g.snapshot = snapshot
	for name := range snapshot.Teams {
		g.team(name)
	}
	for name, t := range g.teams {
		if snapshot.Teams[name] == nil {
			g.setTeamLimit(t, 0)
		}
	}
}

// team returns the load of a team, updated with the share and limit of the current snapshot.
func (g *Gateway) team(name cluster.TeamName) *team {
	t := g.teams[name]
	if t == nil {
		t = &team{name: name}
		g.teams[name] = t
	}
	if config := g.snapshot.Teams[name]; config != nil {
		t.share = config.Share
		g.setTeamLimit(t, config.MaxRequests)
	}
	return t
}

// setTeamLimit sets the limit on a team's requests over all daemons; zero means no limit.
func (g *Gateway) setTeamLimit(t *team, limit int) {
	if limit <= 0 {
		if t.quota != nil {
			delete(t.pool.quotas, t.quota.id)
			t.quota, t.pool = nil, nil
		}
		return
	}
	if t.quota == nil {
		t.pool = g.pool(teamPrefix + string(t.name))
		t.quota = &slotQuota{id: string(t.name), capacity: limit}
		g.addQuota(t.pool, t.quota)
	}
	t.quota.capacity = limit
}

// service returns the state of a service and creates it if needed.
func (g *Gateway) service(name cluster.ServiceName) *service {
	s := g.services[name]
	if s == nil {
		s = &service{name: name, queues: map[cluster.TeamName]*teamQueue{}, pool: g.pool(string(name)), retryBudget: retryBudget{tokens: retryBurst}, memberCount: len(g.membership.all)}
		g.services[name] = s
	}
	return s
}

// SetUpstreams replaces the list of VMs; VMs that aren't runners are ignored.
func (g *Gateway) SetUpstreams(vms []platform.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	type upstreamKey struct {
		service  cluster.ServiceName
		upstream cluster.UpstreamID
	}
	listed := map[upstreamKey]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleRunner && vm.Service != "" && vm.Addr.IsValid() {
			listed[upstreamKey{vm.Service, cluster.UpstreamID(vm.ID)}] = true
			g.setUpstream(vm)
		}
	}
	for _, s := range g.services {
		s.runners = slices.DeleteFunc(s.runners, func(r *runner) bool {
			if listed[upstreamKey{s.name, r.id()}] {
				return false
			}
			r.removed = true
			r.trimIdle(0, g.cfg.Clock())
			r.retired, r.limit = true, 0
			g.cfg.Log.Info().Str("service", string(s.name)).Str("upstream", r.vm.ID).Msg("gateway: upstream removed")
			return true
		})
		g.dispatch(s)
	}
}

// setUpstream adds a runner or updates the known one with the same identifier.
func (g *Gateway) setUpstream(vm platform.VM) {
	if vm.Slots == 0 {
		vm.Slots = defaultSlots
	}
	if vm.Connections == 0 {
		vm.Connections = defaultConnections
	}
	s := g.service(vm.Service)
	i, found := slices.BinarySearchFunc(s.runners, vm.ID, func(r *runner, id string) int { return strings.Compare(r.vm.ID, id) })
	if found && s.runners[i].vm.Addr == vm.Addr && s.runners[i].vm.Place == vm.Place {
		r := s.runners[i]
		r.capacity, r.maxConnections = vm.Slots, vm.Connections
		if g.markLeaving(r, vm.Leaving, "platform") {
			// The list may reach other daemons later than this notice.
			g.broadcast(&peer.UpstreamNotice{Service: s.name, Upstream: r.id(), Leaving: true})
		}
		return
	}
	r := &runner{vm: vm, service: s, tier: g.tierOf(vm.Place), maxConnections: vm.Connections, slotQuota: g.runnerQuota(s.pool, vm)}
	if found {
		// A changed address or place means that the identifier now refers to another machine.
		s.runners[i].removed = true
		s.runners[i].trimIdle(0, g.cfg.Clock())
		s.runners[i] = r
	} else {
		s.runners = slices.Insert(s.runners, i, r)
	}
	r.leaving = vm.Leaving
}

// runnerQuota returns the quota for a runner's slots. An existing quota is reused: a
// VM that was missing from the list for a while may still have requests in flight, which count.
func (g *Gateway) runnerQuota(pool *slotPool, vm platform.VM) *slotQuota {
	quota := pool.quotas[vm.ID]
	if quota == nil {
		quota = &slotQuota{id: vm.ID}
		g.addQuota(pool, quota)
	}
	quota.capacity, quota.retired = vm.Slots, false
	return quota
}

func (g *Gateway) tierOf(place cluster.Place) tier {
	switch {
	case place == g.cfg.Place:
		return tierZone
	case place.Region == g.cfg.Place.Region:
		return tierRegion
	}
	return tierPaid
}

// markLeaving marks a runner as leaving and reports whether the mark is new. The mark
// stays until the platform no longer lists the VM, because the platform's list lags
// behind the other sources.
func (g *Gateway) markLeaving(r *runner, leaving bool, source string) bool {
	if !leaving || r.leaving {
		return false
	}
	r.leaving = true
	r.trimIdle(0, g.cfg.Clock())
	g.cfg.Log.Info().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Str("source", source).
		Msg("gateway: upstream is leaving")
	return true
}

// SetMembers replaces the set of daemons that have not left. Slots of a daemon outside the
// set are reallocated to others, so a daemon may be left out only once it has certainly stopped.
func (g *Gateway) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := membership{self: g.cfg.Self, all: []cluster.DaemonID{g.cfg.Self}, active: []cluster.DaemonID{g.cfg.Self}}
	for _, m := range members {
		if m.ID == g.cfg.Self {
			continue
		}
		view.all = append(view.all, m.ID)
		if !m.Leaving {
			view.active = append(view.active, m.ID)
		}
	}
	slices.Sort(view.all)
	slices.Sort(view.active)
	g.membership = view
	for _, s := range g.services {
		s.memberCount = len(view.all)
	}
}

// HandlePeer handles a message of another daemon and reports whether the message is for the gateway.
func (g *Gateway) HandlePeer(from cluster.DaemonID, message peer.Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m := message.(type) {
	case *peer.SlotRequest:
		g.handleSlotRequest(from, m)
	case *peer.SlotReply:
		g.applyRow(m.Row)
	case *peer.UpstreamNotice:
		g.handleUpstreamNotice(from, m)
	default:
		return false
	}
	return true
}

func (g *Gateway) handleUpstreamNotice(from cluster.DaemonID, m *peer.UpstreamNotice) {
	r := g.runner(m.Service, m.Upstream)
	if r == nil {
		return
	}
	if m.Leaving {
		g.markLeaving(r, true, string(from))
		return
	}
	// A failure seen by another daemon makes the idle connections here unreliable.
	// Ejecting the runner still depends on this daemon's own requests.
	r.invalidateConns()
}

// runner returns a known runner or nil.
func (g *Gateway) runner(name cluster.ServiceName, id cluster.UpstreamID) *runner {
	s := g.services[name]
	if s == nil {
		return nil
	}
	for _, r := range s.runners {
		if r.id() == id {
			return r
		}
	}
	return nil
}

func (g *Gateway) dispatchAll() {
	for _, s := range g.services {
		g.dispatch(s)
	}
}
