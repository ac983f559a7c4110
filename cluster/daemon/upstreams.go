package daemon

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/gateway"
)

// upstreamList is the body of GET /v1/upstreams: the state of this daemon's gateway.
type upstreamList struct {
	Services []serviceLoad `json:"services"`
	Teams    []teamUsage   `json:"teams"`
}

type serviceLoad struct {
	Service     string           `json:"service"`
	Ready       bool             `json:"ready"`
	Queued      int              `json:"queued"`
	InFlight    int              `json:"inFlight"`
	Slots       int              `json:"slots"`
	ServiceTime string           `json:"serviceTime"`
	Upstreams   []upstreamStatus `json:"upstreams"`
}

type upstreamStatus struct {
	Upstream    string `json:"upstream"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"inFlight"`
	Connections int    `json:"connections"`
	Latency     string `json:"latency"`
	Leaving     bool   `json:"leaving,omitempty"`
	Ejected     bool   `json:"ejected,omitempty"`
}

type teamUsage struct {
	Team     string `json:"team"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"inFlight"`
	Limit    int    `json:"limit"`
	Served   int64  `json:"served"`
	Refused  int64  `json:"refused"`
}

func toUpstreamList(s gateway.Status) upstreamList {
	var list upstreamList
	for _, service := range s.Services {
		load := serviceLoad{
			Service: string(service.Service), Ready: service.Ready, Queued: service.Queued, InFlight: service.InFlight,
			Slots: service.Slots, ServiceTime: service.ServiceTime.Round(time.Microsecond).String(),
		}
		for _, u := range service.Upstreams {
			load.Upstreams = append(load.Upstreams, upstreamStatus{
				Upstream: string(u.Upstream), Zone: string(u.Place.Zone), Slots: u.Slots, InFlight: u.InFlight,
				Connections: u.Connections, Latency: u.Latency.Round(time.Microsecond).String(),
				Leaving: u.Leaving, Ejected: u.Ejected,
			})
		}
		list.Services = append(list.Services, load)
	}
	for _, t := range s.Teams {
		list.Teams = append(list.Teams, teamUsage{
			Team: string(t.Team), Queued: t.Queued, InFlight: t.InFlight, Limit: t.Limit, Served: t.Served, Refused: t.Refused,
		})
	}
	return list
}
