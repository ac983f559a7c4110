package gateway

import (
	"context"
	"net/http"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Gateway routes requests to runners.
type Gateway struct {
	cfg Config
}

// New starts a gateway; Close stops it.
func New(cfg Config) *Gateway { return &Gateway{cfg: cfg.withDefaults()} }

// ServeService routes one request to a runner of the service and writes its answer.
func (g *Gateway) ServeService(w http.ResponseWriter, r *http.Request, service cluster.ServiceName, path string) {
}

// SetUpstreams replaces the list of VMs; those that aren't runners are ignored.
func (g *Gateway) SetUpstreams(vms []platform.VM) {}

// SetMembers replaces the set of daemons that have not left; slots of others are reclaimed.
func (g *Gateway) SetMembers(members []Member) {}

// HandlePeer handles a message of another daemon and reports whether it was one for the gateway.
func (g *Gateway) HandlePeer(from cluster.DaemonID, message peer.Message) bool { return false }

// Drain refuses new requests, waits for the running ones and gives the slots back.
func (g *Gateway) Drain(ctx context.Context) error { return nil }

// Status returns a listing of the gateway's state.
func (g *Gateway) Status() Status { return Status{} }

// Close stops the background work and closes all connections.
func (g *Gateway) Close() {}
