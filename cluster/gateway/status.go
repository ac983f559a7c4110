package gateway

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Status is a listing of the gateway's state for the API.
type Status struct {
	Draining bool
	Services []ServiceStatus
	Teams    []TeamStatus
}

// ServiceStatus is the state of one service at this daemon.
type ServiceStatus struct {
	Service cluster.ServiceName
	// Ready says that the daemon knows which slots it may use and has a runner.
	Ready bool
	// Queued and InFlight count requests.
	Queued   int
	InFlight int
	// Slots is the number of slots lent to this daemon over all runners.
	Slots int
	// ServiceTime is the learned mean time of a request at a runner.
	ServiceTime time.Duration
	Upstreams   []UpstreamStatus
}

// UpstreamStatus is the state of one runner at this daemon.
type UpstreamStatus struct {
	Upstream    cluster.UpstreamID
	Place       cluster.Place
	Slots       int
	InFlight    int
	Connections int
	Latency     time.Duration
	Leaving     bool
	Ejected     bool
}

// TeamStatus is the load of one team at this daemon.
type TeamStatus struct {
	Team     cluster.TeamName
	Queued   int
	InFlight int
	// Limit is this daemon's part of the team's MaxRequests; -1 means no limit.
	Limit   int
	Served  int64
	Refused int64
}
