package node

import (
	"encoding/json"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gateway"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// Guards against counts that are added again with each reading, and against a gauge that stays when the queue is empty.
func TestQueueMetricsFollowTheReducer(t *testing.T) {
	m, metrics := &queueMetrics{}, telemetry.NewMetrics()
	counter := func(name string) int64 { return metrics.Counter(name).Count() }
	gauge := func() any { return metrics.GetAll()["queue.requests"]["value"] }
	s := queueState{requests: 4, counts: router.QueueCounts{Added: 10, Granted: 4, Withdrawn: 1, Refused: map[admission.Cause]int{admission.Expired: 1}}}
	m.publish(metrics, s)
	m.publish(metrics, s)
	require.Equal(t, []int64{10, 4, 1, 1, 0}, []int64{counter("queue.added"), counter("queue.granted"), counter("queue.withdrawn"), counter("queue.refused.expired"), counter("queue.refused.queue_full")})
	require.Equal(t, int64(4), gauge())
	m.publish(metrics, queueState{counts: router.QueueCounts{Added: 12, Granted: 9, Withdrawn: 1, Refused: map[admission.Cause]int{admission.Expired: 1, admission.QueueFull: 2}}})
	require.Equal(t, []int64{12, 9, 1, 1, 2}, []int64{counter("queue.added"), counter("queue.granted"), counter("queue.withdrawn"), counter("queue.refused.expired"), counter("queue.refused.queue_full")})
	require.Equal(t, int64(0), gauge())
}

// Guards against metrics that fail or wait where there is no queue, and against names of a feature that is off.
func TestMetricsOfAHostWithoutQueues(t *testing.T) {
	c := newControl(router.New(router.Options{Host: "10.0.0.1", Zone: "zone-a"}), zerolog.Nop(), telemetry.NewMetrics())
	go c.run(t.Context())
	c.metrics.Count("requests.answered", 1)
	w := httptest.NewRecorder()
	(&reducerMetrics{control: c, metrics: c.metrics}).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), "requests.answered")
	require.NotContains(t, w.Body.String(), "queue.")
}

// Guards against a queue that is missing in the status, and against values that make the whole status unreadable.
func TestQueuesInTheStatus(t *testing.T) {
	require.Nil(t, queueStatus(nil), "no field where there is no queue")
	data, err := json.Marshal(queueStatus([]router.QueueView{
		{Service: "models", Requests: 3, View: admission.View{Room: 5400, PerSlot: 150, Wait: [admission.Priorities]time.Duration{0, 120 * time.Millisecond, -1, -1},
			Workspaces: []admission.WorkspaceView{{Workspace: "school", Weight: 2.5, Waiting: 3, Offered: 9, Granted: 4, Refused: 2, Work: 600, Share: 0.25}, {Weight: 0, Work: math.NaN()}}}},
		{Service: "web", View: admission.View{Room: math.Inf(1), PerSlot: math.NaN()}},
	}))
	require.NoError(t, err)
	require.JSONEq(t, `[{"service":"models","requests":3,"room_ms_per_s":5400,"slot_room_ms_per_s":150,"wait_ms":[0,120,-1,-1,0,0,0,0,0,0,0,0,0,0,0,0],"workspaces":[
		{"workspace":"school","weight":2.5,"waiting":3,"offered":9,"granted":4,"refused":2,"work_ms":600,"share":0.25},
		{"workspace":"","weight":1,"waiting":0,"offered":0,"granted":0,"refused":0,"work_ms":0,"share":0}]},
		{"service":"web","requests":0,"room_ms_per_s":0,"slot_room_ms_per_s":0,"wait_ms":[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]}]`, string(data))
}

// Guards against withdrawals that are counted as another kind of datagram, or not at all.
func TestWithdrawalsAreCounted(t *testing.T) {
	m := telemetry.NewMetrics()
	newTraffic(m, "sent").add(&gossippb.Packet{Withdraw: &gossippb.Withdraw{Number: 1}}, 2, 16)
	require.Equal(t, int64(2), m.Counter("datagrams.sent.withdraw").Count())
	require.Equal(t, int64(16), m.Counter("datagrams.sent_bytes.withdraw").Count())
	require.Zero(t, m.Counter("datagrams.sent.empty").Count())
}

// Guards against requests that are not told that they wait, so that nothing is logged of it.
func TestRequestIsToldThatItWaits(t *testing.T) {
	c := newControl(router.New(router.Options{Host: "10.0.0.1", Zone: "zone-a"}), zerolog.Nop(), telemetry.NewMetrics())
	effects := make(chan router.Effect, 1)
	c.callers[7] = gateway.Caller{Effects: effects}
	c.execute(router.Queued{ID: 7, Owner: "10.0.0.7"})
	require.Equal(t, router.Queued{ID: 7, Owner: "10.0.0.7"}, <-effects)
	require.Contains(t, c.callers, uint64(7), "a dispatch or a refusal follows")
}

// Guards against operators who cannot tell requests that wait without a predicted slot.
func TestProvisionalRequestsAreInTheStatus(t *testing.T) {
	view := admission.View{Workspaces: []admission.WorkspaceView{{Workspace: "school", Provisional: 7}}}
	require.Equal(t, 7, queueStatus([]router.QueueView{{View: view}})[0].Workspaces[0].Provisional)
}
