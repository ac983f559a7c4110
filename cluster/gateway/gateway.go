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
	stop      context.CancelFunc
	wg        conc.WaitGroup
	pollNow   chan struct{}
	keys      *keyTable

	// requests counts the requests, for their identifiers.
	requests atomic.Uint64
	// closing is a copy of draining that is read without the lock.
	closing atomic.Bool

	mu          sync.Mutex
	services    map[cluster.ServiceName]*service
	teams       map[cluster.TeamName]*team
	ledgers     map[string]*ledger
	fleet       fleet
	snapshot    *cluster.Snapshot
	slotsAsOf   cluster.Version
	slotsRead   bool
	windowStart time.Time
	// missing holds since when daemons that hold slots are not members.
	missing map[cluster.DaemonID]time.Time
	// active counts requests that were accepted and not yet answered, and the records of answers being written.
	active   int
	idle     chan struct{}
	draining bool
	closed   bool
}

type metrics struct {
	served, refused, uncertain, retried, ejected, lendFailed tally.Counter
	latency                                                  tally.Timer
}

// New starts a gateway; Close stops it.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	scope := cfg.Metrics
	g := &Gateway{
		cfg: cfg, transport: newTransport(), ctx: ctx, stop: stop, pollNow: make(chan struct{}, 1),
		services: map[cluster.ServiceName]*service{}, teams: map[cluster.TeamName]*team{}, ledgers: map[string]*ledger{},
		metrics: metrics{
			served: scope.Counter("gateway_served"), refused: scope.Counter("gateway_refused"),
			uncertain: scope.Counter("gateway_uncertain"), retried: scope.Counter("gateway_retried"),
			ejected: scope.Counter("gateway_ejected"), lendFailed: scope.Counter("gateway_lend_failed"),
			latency: scope.Timer("gateway_latency"),
		},
		fleet: fleet{self: cfg.Self},
		keys:  newKeyTable(),
	}
	g.wg.Go(g.pollSlots)
	g.wg.Go(g.tickLoop)
	g.wg.Go(g.sweepLoop)
	return g
}

// Close stops the background work and closes all connections.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.draining, g.closed = true, true
	g.closing.Store(true)
	for _, s := range g.services {
		for _, r := range s.runners {
			r.suspect()
		}
	}
	g.mu.Unlock()
	g.stop()
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

func (g *Gateway) tick() {
	snapshot := g.cfg.Authorizer.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	g.syncTeams(snapshot)
	g.lend(now)
	for _, s := range g.services {
		for _, r := range s.runners {
			r.trimIdle(r.connectionLimit(), now)
		}
		g.checkOutliers(s, now)
		g.dispatch(s)
	}
}

// syncTeams takes over shares and limits of teams from the configuration.
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
			g.setLimit(t, 0)
		}
	}
}

// team returns the load of a team, with the share and limit of the snapshot in force.
func (g *Gateway) team(name cluster.TeamName) *team {
	t := g.teams[name]
	if t == nil {
		t = &team{name: name}
		g.teams[name] = t
	}
	if c := g.snapshot.Teams[name]; c != nil {
		t.share = c.Share
		g.setLimit(t, c.MaxRequests)
	}
	return t
}

// setLimit sets the limit of a team's requests over all daemons; zero means none.
func (g *Gateway) setLimit(t *team, limit int) {
	if limit <= 0 {
		if t.unit != nil {
			delete(t.ledger.units, t.unit.id)
			t.unit, t.ledger = nil, nil
		}
		return
	}
	if t.unit == nil {
		t.ledger = g.ledger(teamPrefix + string(t.name))
		t.unit = &unit{id: string(t.name), capacity: limit}
		g.attach(t.ledger, t.unit)
	}
	t.unit.capacity = limit
}

// service returns the state of a service.
func (g *Gateway) service(name cluster.ServiceName) *service {
	s := g.services[name]
	if s == nil {
		s = &service{name: name, queues: map[cluster.TeamName]*teamQueue{}, ledger: g.ledger(string(name)), retries: retryBudget{tokens: retryBurst}, members: len(g.fleet.all)}
		g.services[name] = s
	}
	return s
}

// SetUpstreams replaces the list of VMs; those that aren't runners are ignored.
func (g *Gateway) SetUpstreams(vms []platform.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	type entry struct {
		service  cluster.ServiceName
		upstream cluster.UpstreamID
	}
	listed := map[entry]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleRunner && vm.Service != "" && vm.Addr.IsValid() {
			listed[entry{vm.Service, cluster.UpstreamID(vm.ID)}] = true
			g.setUpstream(vm)
		}
	}
	for _, s := range g.services {
		s.runners = slices.DeleteFunc(s.runners, func(r *runner) bool {
			if listed[entry{s.name, r.id()}] {
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
		r.capacity, r.allConnections = vm.Slots, vm.Connections
		if g.setLeaving(r, vm.Leaving, "platform") {
			// The list may reach other daemons later.
			g.broadcast(&peer.UpstreamNotice{Service: s.name, Upstream: r.id(), Leaving: true})
		}
		return
	}
	r := &runner{vm: vm, service: s, tier: g.tierOf(vm.Place), allConnections: vm.Connections, unit: g.unit(s.ledger, vm)}
	if found {
		// The VM's address or place changed: it is another machine.
		s.runners[i].removed = true
		s.runners[i].trimIdle(0, g.cfg.Clock())
		s.runners[i] = r
	} else {
		s.runners = slices.Insert(s.runners, i, r)
	}
	r.leaving = vm.Leaving
}

// unit returns the slots of a runner. A VM that was missing from the list for a
// while may still have requests in flight, which count.
func (g *Gateway) unit(l *ledger, vm platform.VM) *unit {
	u := l.units[vm.ID]
	if u == nil {
		u = &unit{id: vm.ID}
		g.attach(l, u)
	}
	u.capacity, u.retired = vm.Slots, false
	return u
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

// setLeaving marks a runner as leaving. The mark stays until the platform no
// longer lists the VM, because the list lags behind the other sources.
func (g *Gateway) setLeaving(r *runner, leaving bool, source string) bool {
	if !leaving || r.leaving {
		return false
	}
	r.leaving = true
	r.trimIdle(0, g.cfg.Clock())
	g.cfg.Log.Info().Str("service", string(r.service.name)).Str("upstream", r.vm.ID).Str("source", source).
		Msg("gateway: upstream is leaving")
	return true
}

// SetMembers replaces the set of daemons that have not left. Slots of a daemon
// outside it are lent to others, so a daemon belongs to it until it has surely stopped.
func (g *Gateway) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := fleet{self: g.cfg.Self, all: []cluster.DaemonID{g.cfg.Self}, sharing: []cluster.DaemonID{g.cfg.Self}}
	for _, m := range members {
		if m.ID == g.cfg.Self {
			continue
		}
		f.all = append(f.all, m.ID)
		if !m.Leaving {
			f.sharing = append(f.sharing, m.ID)
		}
	}
	slices.Sort(f.all)
	slices.Sort(f.sharing)
	g.fleet = f
	for _, s := range g.services {
		s.members = len(f.all)
	}
}

// HandlePeer handles a message of another daemon and reports whether it was one for the gateway.
func (g *Gateway) HandlePeer(from cluster.DaemonID, message peer.Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m := message.(type) {
	case *peer.SlotRequest:
		g.handleSlotRequest(from, m)
	case *peer.SlotReply:
		g.acceptRow(m.Row)
	case *peer.UpstreamNotice:
		g.handleNotice(from, m)
	default:
		return false
	}
	return true
}

func (g *Gateway) handleNotice(from cluster.DaemonID, m *peer.UpstreamNotice) {
	r := g.runner(m.Service, m.Upstream)
	if r == nil {
		return
	}
	if m.Leaving {
		g.setLeaving(r, true, string(from))
		return
	}
	// Another daemon's trouble with the runner makes its idle connections
	// doubtful; whether it is ejected here depends on this daemon's own requests.
	r.suspect()
}

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
