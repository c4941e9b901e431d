package node

import (
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// limitMetrics adds the counts of learned limits to the metrics. Names appear once a limit has been learned.
type limitMetrics struct {
	known router.LimitCounts // counts that the metrics contain
}

// limitState is the state of the learned limits at one moment.
type limitState struct {
	counts router.LimitCounts
	// engines is the number of engines with a learned limit below their slots.
	engines int
}

func limitStateOf(v router.View) limitState {
	s := limitState{counts: v.LimitCounts}
	for _, b := range v.Backends {
		if b.LearnedLimit > 0 {
			s.engines++
		}
	}
	return s
}

// publish adds what has happened since the previous call to the counters.
func (m *limitMetrics) publish(metrics telemetry.Metrics, s limitState) {
	if s.counts == (router.LimitCounts{}) {
		return
	}
	metrics.Set("limits.engines", int64(s.engines))
	metrics.Count("limits.lowered", int64(s.counts.Lowered-m.known.Lowered))
	metrics.Count("limits.raised", int64(s.counts.Raised-m.known.Raised))
	m.known = s.counts
}
