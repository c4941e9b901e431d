package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

func heartbeatCount(list []Effect) int { return len(effectsOf[SendHeartbeat](list)) }

// Under heavy load the hosts of a zone choose among the few engines that look free. When loads were
// reported only every 100 to 150 ms, all chose the same engines, and a quarter of the streams began
// late. So a change of the load causes a heartbeat at once, and a burst of changes one per gap.
func TestChangeIsReportedAtOnceAndBurstsAreBounded(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 4)
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	b.post(Tick{})
	b.now += minChangeGap
	send := func() int {
		b.next++
		return heartbeatCount(b.post(Submit{ID: b.next, Route: urgentRoute, Rank: 0, OutputTok: 10, Deadline: b.now + time.Second}))
	}
	require.Equal(t, 1, send())
	b.now += minChangeGap / 2
	require.Zero(t, send())
	require.Zero(t, heartbeatCount(b.post(Tick{})))
	b.now += minChangeGap / 2
	require.Equal(t, 1, heartbeatCount(b.post(Tick{})), "the rest of the burst")
	b.now += minChangeGap
	require.Zero(t, heartbeatCount(b.post(Tick{})), "nothing has changed since")
}
