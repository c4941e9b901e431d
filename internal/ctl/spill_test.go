package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
)

// Guards against operators who cannot see the forecast, the shares and what became of the requests.
func TestStatusListsEarlySpill(t *testing.T) {
	text := printedStatus(t, core.Status{Host: "host-1", EarlySpill: []core.SpillStatus{{Service: "models", Zones: []core.SpillZoneStatus{
		{Zone: "z0", Capacity: 36000, Demand: 30100, Expected: 37500, AgeMS: 110},
		{Zone: "z1", AgeMS: -1, Share: 0.125, Offered: 9, Sent: 7, NoSlot: 2}}}}})
	require.Contains(t, text, "EARLY SPILL HOST ZONE CAPACITY DEMAND EXPECTED REPORT AGE SHARE OFFERED SENT NO SLOT\n"+
		"models host-1 z0 36000 ms/s 30100 ms/s 37500 ms/s 110 ms 0.0 % 0 0 0\nmodels host-1 z1 - - - - 12.5 % 9 7 2")
	require.NotContains(t, printedStatus(t, core.Status{Host: "host-1"}), "SPILL", "no table where it is off")
}
