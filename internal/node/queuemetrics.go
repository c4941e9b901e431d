package node

import (
	"fireflyshift/internal/admission"
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// queueMetrics adds the counts of this host's admission queues to the metrics. Names appear once a request has met a queue.
type queueMetrics struct {
	known router.QueueCounts // counts that the metrics contain
}

// queueState is the state of the admission queues at one moment.
type queueState struct {
	counts   router.QueueCounts
	requests int
}

func queueStateOf(v router.View) queueState {
	s := queueState{counts: v.QueueCounts}
	for _, q := range v.Queues {
		s.requests += q.Requests
	}
	return s
}

// publish adds what has happened since the previous call to the counters.
func (m *queueMetrics) publish(metrics telemetry.Metrics, s queueState) {
	now, known := s.counts, m.known
	if now.Added == 0 && len(now.Refused) == 0 && s.requests == 0 {
		return
	}
	metrics.Set("queue.requests", int64(s.requests))
	metrics.Count("queue.added", int64(now.Added-known.Added))
	metrics.Count("queue.granted", int64(now.Granted-known.Granted))
	metrics.Count("queue.withdrawn", int64(now.Withdrawn-known.Withdrawn))
	for _, cause := range []admission.Cause{admission.QueueFull, admission.WaitTooLong, admission.Displaced, admission.Expired, admission.OwnerGone} {
		metrics.Count("queue.refused."+string(cause), int64(now.Refused[cause]-known.Refused[cause]))
	}
	m.known = now
}
