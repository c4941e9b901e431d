package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/router"
	"fireflyshift/internal/spill"
	"fireflyshift/internal/telemetry"
)

// Guards against counters that count again what they contain, and against names on hosts without early spill.
func TestSpillMetricsCountOnce(t *testing.T) {
	metrics := telemetry.NewMetrics()
	m := spillMetrics{}
	m.publish(metrics, router.SpillCounts{})
	require.NotContains(t, metrics.GetAll(), "spill.offered")
	m.publish(metrics, router.SpillCounts{Offered: 5, Sent: 3, NoSlot: 1})
	m.publish(metrics, router.SpillCounts{Offered: 9, Sent: 4, NoSlot: 5})
	for name, want := range map[string]int64{"spill.offered": 9, "spill.sent": 4, "spill.no_slot": 5} {
		require.Equal(t, want, metrics.GetAll()[name]["count"], name)
	}
}

// Guards against operators who do not see why requests leave their zone, and against a report age of a zone without a report.
func TestSpillInTheStatus(t *testing.T) {
	got := spillStatus([]router.SpillView{{Service: "m", Zones: []router.SpillZoneView{
		{Forecast: spill.Forecast{Zone: "a", Load: spill.Load{Capacity: 1000, Demand: 900}, Age: 20 * time.Millisecond, Expected: 1100}},
		{Forecast: spill.Forecast{Zone: "b", Age: -1}, Share: 0.2, SpillCounts: router.SpillCounts{Offered: 3, Sent: 2, NoSlot: 1}}}}})
	require.Equal(t, []core.SpillStatus{{Service: "m", Zones: []core.SpillZoneStatus{
		{Zone: "a", Capacity: 1000, Demand: 900, Expected: 1100, AgeMS: 20},
		{Zone: "b", AgeMS: -1, Share: 0.2, Offered: 3, Sent: 2, NoSlot: 1}}}}, got)
}
