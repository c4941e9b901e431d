package node

import (
	"maps"
	"net/http"
	"sync"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// queueMetrics serves the metrics and first adds the counts of this host's admission queues and learned limits, which the reducer keeps. They are
// read only when somebody asks, since a view of a large fleet is not free on the control thread. Names appear once a request has
// met a queue.
type queueMetrics struct {
	control *control
	metrics telemetry.Metrics

	mu    sync.Mutex
	known router.QueueCounts // counts that the metrics contain
	spill spillMetrics
	// knownLimits are the same of learned limits.
	knownLimits router.LimitCounts
}

// queueState is the state of the admission queues at one moment.
type queueState struct {
	counts   router.QueueCounts
	requests int
	spill    router.SpillCounts
	limits   limitState
}

// ServeHTTP implements http.Handler. If the control thread does not respond, the counts are those of the previous call.
func (m *queueMetrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.update()
	m.metrics.ServeHTTP(w, r)
}

func (m *queueMetrics) update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := query(m.control, func(r *router.Router) queueState {
		v := r.View()
		s := queueState{counts: v.QueueCounts, spill: v.SpillCounts, limits: limitStateOf(v)}
		s.counts.Refused = maps.Clone(s.counts.Refused) // the reducer may go on counting in it
		for _, q := range v.Queues {
			s.requests += q.Requests
		}
		return s
	})
	if ok {
		m.publish(s)
		m.spill.publish(m.metrics, s.spill)
		m.publishLimits(s.limits)
	}
}

// publish adds what has happened since the previous call to the counters.
func (m *queueMetrics) publish(s queueState) {
	now, known := s.counts, m.known
	if now.Added == 0 && len(now.Refused) == 0 && s.requests == 0 {
		return
	}
	m.metrics.Set("queue.requests", int64(s.requests))
	m.metrics.Count("queue.added", int64(now.Added-known.Added))
	m.metrics.Count("queue.granted", int64(now.Granted-known.Granted))
	m.metrics.Count("queue.withdrawn", int64(now.Withdrawn-known.Withdrawn))
	for _, cause := range []admission.Cause{admission.QueueFull, admission.WaitTooLong, admission.Displaced, admission.Expired, admission.OwnerGone} {
		m.metrics.Count("queue.refused."+string(cause), int64(now.Refused[cause]-known.Refused[cause]))
	}
	m.known = now
}
