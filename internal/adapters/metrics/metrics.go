// Package metrics makes the daemon's metrics scope and the handler that serves it
// in the Prometheus text format. It may be imported by internal/app and the other
// adapters.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of the scope to the Prometheus
// reporter and between two updates of the runtime gauges.
const reportInterval = time.Second

// namePrefix is the prefix of all metric names.
const namePrefix = "hawthornstream"

// New returns the root scope, the handler of /metrics and the closer of the scope,
// which reports it a last time. A metric that can't be registered because its name
// is in use with different tags is logged and not served.
func New(logger *log.Logger) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{
		OnRegisterError: func(err error) {
			logger.Error().Str("event", "metric-not-registered").Err(err).Msg("")
		},
	})
	options := tally.ScopeOptions{
		Prefix:                 namePrefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
