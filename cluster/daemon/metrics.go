package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is how often tally reports to the Prometheus registry.
const metricsInterval = time.Second

// newMetrics returns the root scope, its closer and the handler that serves it in Prometheus format.
func newMetrics() (tally.Scope, io.Closer, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "goldcrest",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, closer, reporter.HTTPHandler()
}
