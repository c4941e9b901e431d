package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
)

// Guards against a request in another zone of which nobody can say why it went there.
func TestRequestSentEarlyToAnotherZoneIsExplained(t *testing.T) {
	spill := router.SpillBasis{Zone: "z2", Share: 0.125, Expected: 37500, Capacity: 36000, TargetExpected: 20000, TargetCapacity: 36000, Age: 110 * time.Millisecond}
	_, lines, history, m := runScript(t, router.Dispatch{Basis: router.DecisionBasis{Spill: spill}})
	require.Contains(t, history, "sent early to zone z2, which gets 12.5 % of new requests: demand of 37500 ms/s of engine time expected here, capacity 36000; there 20000 and 36000, reported 110ms ago\n")
	for _, field := range []string{`"spill_zone":"z2"`, `"spill_share":0.125`, `"spill_expected":37500`, `"spill_capacity":36000`, `"spill_target_expected":20000`,
		`"spill_target_capacity":36000`, `"spill_age_ms":110`, `"message":"Sent."`} {
		require.Contains(t, lines[0], field)
	}
	require.EqualValues(t, 1, m.GetAll()["requests.spilled"]["count"])
	_, lines, history, m = runScript(t, router.Dispatch{})
	require.NotContains(t, lines[0]+history, "spill")
	require.NotContains(t, m.GetAll(), "requests.spilled")
}
