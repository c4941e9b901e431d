package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var withQueues = AdmissionSettings{Enabled: true, MaxRequests: 512}

func TestQueuesSmoke(t *testing.T) {
	for _, size := range []struct{ zones, hosts, engines int }{{1, 6, 6}, {3, 3, 7}, {1, 20, 23}, {2, 12, 12}} {
		z := newZonesWith(t, size.zones, size.hosts, size.engines, 4, withQueues)
		refusals := map[string]int{}
		z.onRefuse = func(e Refuse) { refusals[string(e.Cause)+" "+string(e.Basis.Queue.Cause)]++ }
		z.run(4*time.Second, 12*size.zones*size.engines)
		d1, r1 := z.dispatched, z.refused
		z.run(10*time.Second, 0)
		var c QueueCounts
		for _, h := range z.hosts {
			v := h.r.View().QueueCounts
			c.Added += v.Added
			c.Granted += v.Granted
			c.Withdrawn += v.Withdrawn
			require.Empty(t, h.r.queued.calls)
		}
		t.Logf("%v: %d sent, %d refused; at the end %d %d; added %d granted %d withdrawn %d; longest %s, overloads %d %v", size, d1, r1, z.dispatched, z.refused, c.Added, c.Granted, c.Withdrawn, z.longestWait, z.overloads, refusals)
		require.Empty(t, z.runs)
	}
}
