package node

import (
	"maps"
	"net/http"
	"sync"

	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// reducerMetrics serves the metrics and first adds the counts that the reducer keeps. They are read only when somebody asks, since a
// view of a large fleet is not free on the control thread.
type reducerMetrics struct {
	control *control
	metrics telemetry.Metrics

	mu     sync.Mutex
	queues queueMetrics
	limits limitMetrics
	spill  spillMetrics
}

// reducerState is the state behind these metrics at one moment.
type reducerState struct {
	queues queueState
	limits limitState
	spill  router.SpillCounts
}

// ServeHTTP implements http.Handler. If the control thread does not respond, the counts are those of the previous call.
func (m *reducerMetrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.update()
	m.metrics.ServeHTTP(w, r)
}

func (m *reducerMetrics) update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := query(m.control, func(r *router.Router) reducerState {
		v := r.View()
		s := reducerState{queues: queueStateOf(v), limits: limitStateOf(v), spill: v.SpillCounts}
		s.queues.counts.Refused = maps.Clone(s.queues.counts.Refused) // the reducer may go on counting in it
		return s
	})
	if !ok {
		return
	}
	m.queues.publish(m.metrics, s.queues)
	m.limits.publish(m.metrics, s.limits)
	m.spill.publish(m.metrics, s.spill)
}
