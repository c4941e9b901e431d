package node

import (
	"fireflyshift/internal/core"
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// spillMetrics adds the counts of early spill to the metrics. Names appear once a request was offered to another zone.
type spillMetrics struct {
	known router.SpillCounts // counts that the metrics contain
}

func (m *spillMetrics) publish(metrics telemetry.Metrics, now router.SpillCounts) {
	if now.Offered == 0 {
		return
	}
	metrics.Count("spill.offered", int64(now.Offered-m.known.Offered))
	metrics.Count("spill.sent", int64(now.Sent-m.known.Sent))
	metrics.Count("spill.no_slot", int64(now.NoSlot-m.known.NoSlot))
	m.known = now
}

// spillStatus converts the state of early spill for operators.
func spillStatus(services []router.SpillView) []core.SpillStatus {
	var out []core.SpillStatus
	for _, v := range services {
		s := core.SpillStatus{Service: v.Service}
		for _, z := range v.Zones {
			age := int64(-1)
			if z.Age >= 0 {
				age = z.Age.Milliseconds()
			}
			s.Zones = append(s.Zones, core.SpillZoneStatus{Zone: z.Zone, Capacity: z.Capacity, Demand: z.Demand, Expected: z.Expected, AgeMS: age, Share: z.Share,
				Offered: z.Offered, Sent: z.Sent, NoSlot: z.NoSlot})
		}
		out = append(out, s)
	}
	return out
}
