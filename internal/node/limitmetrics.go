package node

import "fireflyshift/internal/router"

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

// publishLimits adds what has happened since the previous call to the counters. Names appear once a limit has been learned.
func (m *queueMetrics) publishLimits(s limitState) {
	if s.counts == (router.LimitCounts{}) {
		return
	}
	m.metrics.Set("limits.engines", int64(s.engines))
	m.metrics.Count("limits.lowered", int64(s.counts.Lowered-m.knownLimits.Lowered))
	m.metrics.Count("limits.raised", int64(s.counts.Raised-m.knownLimits.Raised))
	m.knownLimits = s.counts
}
