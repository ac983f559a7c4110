package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Status is a snapshot of the gateway's state for the API.
type Status struct {
	Draining bool
	Services []ServiceStatus
	Teams    []TeamStatus
}

// ServiceStatus is the state of one service at this daemon.
type ServiceStatus struct {
	Service cluster.ServiceName
	// Ready means that the daemon knows which slots it may use and that a runner is available.
	Ready bool
	// Queued and InFlight are numbers of requests.
	Queued   int
	InFlight int
	// Slots is the number of slots over all runners that this daemon may use.
	Slots int
	// ServiceTime is the estimated mean time that a runner takes for a request.
	ServiceTime time.Duration
	Upstreams   []UpstreamStatus
}

// UpstreamStatus is the state of one runner at this daemon.
type UpstreamStatus struct {
	Upstream cluster.UpstreamID
	Place    cluster.Place
	// Slots is the number of slots that this daemon may use.
	Slots    int
	InFlight int
	// Connections counts all connections of this daemon, idle or in use.
	Connections int
	// Latency is the mean latency of successful requests; it is zero before the first one.
	Latency time.Duration
	Leaving bool
	// Ejected means that the runner is not used until a probe succeeds.
	Ejected bool
}

// TeamStatus is the load of one team at this daemon.
type TeamStatus struct {
	Team     cluster.TeamName
	Queued   int
	InFlight int
	// Limit is this daemon's share of the team's MaxRequests; -1 means no limit.
	Limit int
	// Served and Refused count requests since the gateway was started.
	Served  int64
	Refused int64
}

// Status returns a snapshot of the gateway's state.
func (g *Gateway) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	status := Status{Draining: g.draining}
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		status.Services = append(status.Services, g.services[name].status(now))
	}
	for _, name := range slices.Sorted(maps.Keys(g.teams)) {
		t := g.teams[name]
		limit := -1
		if t.quota != nil {
			limit = t.quota.limit
		}
		status.Teams = append(status.Teams, TeamStatus{name, t.queued, t.inFlight, limit, t.served, t.refused})
	}
	return status
}

func (s *service) status(now time.Time) ServiceStatus {
	out := ServiceStatus{Service: s.name, Ready: s.ready(), Queued: s.queued, InFlight: s.inFlight, ServiceTime: s.serviceTime.value(now)}
	for _, r := range s.runners {
		out.Slots += r.limit
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			Upstream: r.id(), Place: r.vm.Place, Slots: r.limit, InFlight: r.inFlight, Connections: r.connections,
			Latency: time.Duration(r.latency.mean), Leaving: r.leaving, Ejected: r.health.ejected,
		})
	}
	return out
}
