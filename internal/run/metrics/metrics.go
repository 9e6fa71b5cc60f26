// Package metrics holds the metrics of the process and serves them in the Prometheus text
// format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second // interval at which new values become visible to the handler

// Set is the set of metrics of the process.
type Set struct {
	Scope   tally.Scope
	Handler http.Handler // serves /metrics

	closer io.Closer
}

// New returns an empty set. The names of its metrics start with "sesameyoke_".
func New() *Set {
	reg := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "sesameyoke", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Set{Scope: scope, Handler: r.HTTPHandler(), closer: closer}
}

// Count increments a counter by one.
func (s *Set) Count(name string, tags map[string]string) {
	s.Scope.Tagged(tags).Counter(name).Inc(1)
}

// Gauge sets a gauge to v.
func (s *Set) Gauge(name string, v float64) {
	s.Scope.Gauge(name).Update(v)
}

// Time records a duration in a histogram, whose buckets are in seconds.
func (s *Set) Time(name string, d time.Duration) {
	s.Scope.Histogram(name, buckets).RecordDuration(d)
}

// Close flushes the metrics and stops reporting.
func (s *Set) Close() {
	_ = s.closer.Close()
}

var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)
