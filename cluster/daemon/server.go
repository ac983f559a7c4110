package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
)

const (
	// headerTimeout limits how long a caller may take to send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout of common load balancers, so
	// that the load balancer and not the daemon closes an idle connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the header of a request. The server adds 4 KiB.
	maxHeaderBytes = 16 << 10
	// maxMetricsReads is the most readings of the metrics at once, each of which collects all of them.
	maxMetricsReads = 4
)

// serviceMethods are the HTTP methods that requests to services may use.
var serviceMethods = [...]string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// buildServer builds the HTTP server and its routes; the handler metrics serves /metrics.
func (d *Daemon) buildServer(metrics http.Handler) {
	d.listingClient = &http.Client{Timeout: listingTimeout}
	r := httprouter.New()
	r.HandleOPTIONS = false
	r.POST("/v1/queues/:queue/jobs", d.submitJob)
	r.Handler(http.MethodGet, "/v1/queues/:queue/jobs/:job", d.limitListing(d.showJob))
	r.DELETE("/v1/queues/:queue/jobs/:job", d.cancelJob)
	r.Handler(http.MethodGet, "/v1/queues/:queue/jobs/:job/explain", d.limitListing(d.explainJob))
	r.POST("/v1/queues/:queue/cancellations", d.cancelJobs)
	for _, m := range serviceMethods {
		r.Handle(m, "/v1/services/:service/*path", d.serveService)
	}
	r.Handler(http.MethodGet, "/v1/local", d.limitListing(d.listLocal))
	r.Handler(http.MethodGet, "/v1/jobs", d.limitListing(d.listJobs))
	r.Handler(http.MethodGet, "/v1/workers", d.limitListing(d.listWorkers))
	r.Handler(http.MethodGet, "/v1/teams", d.limitListing(d.listTeams))
	r.GET("/v1/upstreams", d.listUpstreams)
	r.GET("/v1/status", d.showStatus)
	r.POST("/v1/notes", d.applyNote)
	r.POST("/v1/notes/:action", d.previewNote)
	r.Handler(http.MethodGet, "/v1/notes", d.limitListing(d.listNotes))
	r.GET("/v1/notes/:version", d.showNote)
	r.GET("/livez", d.serveLiveness)
	r.GET("/readyz", d.serveReadiness)
	r.Handler(http.MethodGet, "/metrics", clientlimit.Buffered(maxMetricsReads, metrics))
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, http.StatusNotFound, "there is no such path")
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, http.StatusMethodNotAllowed, "the path does not take this method")
	})
	r.PanicHandler = func(w http.ResponseWriter, req *http.Request, v any) {
		d.log.Error().Interface("panic", v).Str("path", req.URL.Path).Msg("daemon: request handler panicked")
		writeProblem(w, api.Problem{Status: http.StatusInternalServerError, Run: api.RunUnknown}, 0)
	}
	listener := d.wrapListener()
	d.listener = listener
	d.server = &http.Server{
		Handler:           clientlimit.SkipUnread(r),
		ConnState:         listener.ConnState,
		ConnContext:       clientlimit.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveService handles /v1/services/{service}/*path.
func (d *Daemon) serveService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !d.joined.Load() {
		writeProblem(w, api.Problem{Status: http.StatusServiceUnavailable, Detail: "the daemon has not joined the cell", Run: api.RunNo}, staleRetryAfter)
		return
	}
	d.gateway.ServeService(w, r, cluster.ServiceName(p.ByName("service")), p.ByName("path"))
}

// serveLiveness handles GET /livez.
func (d *Daemon) serveLiveness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, readiness{Ready: true})
}

// readiness is the body of GET /livez and GET /readyz.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// serveReadiness handles GET /readyz, the health check of the load balancer.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reason := d.notReadyReason()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness{Ready: reason == "", Reason: reason})
}

// notReadyReason returns why the daemon accepts no work, or "" if it does.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.draining.Load():
		return "draining"
	case !d.joined.Load():
		return "waiting for the platform"
	case d.rollout.Status().ConfirmedAt.IsZero():
		return "the configuration has not been read yet"
	}
	return ""
}

// showStatus handles GET /v1/status.
func (d *Daemon) showStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !d.authorizeOperator(w, r) {
		return
	}
	rolloutStatus := d.rollout.Status()
	status := api.Status{
		Daemon: string(d.id), Zone: string(d.cfg.Place.Zone), Region: string(d.cfg.Place.Region), Version: d.cfg.Version,
		Ready: d.notReadyReason() == "", Draining: d.draining.Load(),
		ConfigVersion: uint64(rolloutStatus.Version), ConfigFresh: rolloutStatus.Fresh, StoreVisible: d.store.visible(),
		Violations: d.invariants.Violations(), PaidLinkBytes: d.paidLink.CrossedTotal(),
	}
	for _, m := range d.members.Live() {
		status.Members = append(status.Members, string(m.ID))
	}
	d.fillFromControlLoop(r.Context(), &status)
	writeJSON(w, http.StatusOK, status)
}

// fillFromControlLoop adds the racks of this daemon and the numbers of running
// and pending tasks; it adds nothing if the control loop does not respond.
func (d *Daemon) fillFromControlLoop(ctx context.Context, status *api.Status) {
	var view rack.View
	if !d.loop.query(ctx, func(c *rack.Controller) { view = c.View() }) {
		return
	}
	for _, r := range view.Racks {
		if r.Owner == d.id {
			status.Racks = append(status.Racks, string(r.ID))
		}
	}
	for _, w := range view.Workers {
		status.Running += w.Tasks
	}
	for _, t := range view.Teams {
		status.Pending += t.Pending
	}
}

// listUpstreams handles GET /v1/upstreams.
func (d *Daemon) listUpstreams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.authorizeOperator(w, r) {
		writeJSON(w, http.StatusOK, toUpstreamList(d.gateway.Status()))
	}
}
