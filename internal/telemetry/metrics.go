package telemetry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Metrics is the registry of the counters, gauges and timers of one host.
type Metrics struct{ metrics.Registry }

// NewMetrics returns an empty registry.
func NewMetrics() Metrics { return Metrics{metrics.NewRegistry()} }

// Count adds to a named counter.
func (m Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(n)
}

// Set sets a named gauge.
func (m Metrics) Set(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.Registry).Update(v)
}

// Timer returns a named timer, registered at its first use.
func (m Metrics) Timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, m.Registry)
}

// Counter returns a named counter, registered at its first use.
func (m Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.Registry)
}

// ServeHTTP writes all metrics as JSON.
func (m Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.Registry, w)
}
