package metrics

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// New returns the root scope of the metrics, a closer for it and an HTTP handler
// that serves the metrics in Prometheus format. The scope reports its metrics to
// the registry once per interval.
func New(log zerolog.Logger, interval time.Duration) (tally.Scope, io.Closer, http.Handler) {
	// A registry per scope, instead of the global one, lets several daemons run in one process.
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("metrics: registering a metric failed")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "goldcrest",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	return scope, closer, reporter.HTTPHandler()
}
