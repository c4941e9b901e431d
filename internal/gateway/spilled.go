package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/router"
)

// addSpillFields adds why a request went to another zone before its own was full to the line on its dispatch, and to its history.
func (a *activeRequest) addSpillFields(e *zerolog.Event, d router.Dispatch) *zerolog.Event {
	s := d.Basis.Spill
	if s.Zone == "" {
		return e
	}
	a.g.metrics.Count("requests.spilled", 1)
	a.g.histories.add(a.logID(), d.At, "sent early to zone %s, which gets %.1f %% of new requests: demand of %.0f ms/s of engine time expected here, capacity %.0f; there %.0f and %.0f, reported %s ago",
		s.Zone, 100*s.Share, s.Expected, s.Capacity, s.TargetExpected, s.TargetCapacity, s.Age.Round(time.Millisecond))
	return e.Str("spill_zone", s.Zone).Float64("spill_share", s.Share).Int64("spill_expected", int64(s.Expected)).Int64("spill_capacity", int64(s.Capacity)).
		Int64("spill_target_expected", int64(s.TargetExpected)).Int64("spill_target_capacity", int64(s.TargetCapacity)).Int64("spill_age_ms", s.Age.Milliseconds())
}
