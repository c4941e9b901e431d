package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// Guards against counts that are added again with each reading, against a gauge that stays, and against names of a feature that is off.
func TestLimitMetricsFollowTheReducer(t *testing.T) {
	m, metrics := &limitMetrics{}, telemetry.NewMetrics()
	m.publish(metrics, limitStateOf(router.View{}))
	require.Empty(t, metrics.GetAll())
	read := func() []any {
		all := metrics.GetAll()
		return []any{all["limits.lowered"]["count"], all["limits.raised"]["count"], all["limits.engines"]["value"]}
	}
	v := router.View{LimitCounts: router.LimitCounts{Lowered: 3, Raised: 1}, Backends: []router.BackendView{{LearnedLimit: 4}, {}}}
	m.publish(metrics, limitStateOf(v))
	m.publish(metrics, limitStateOf(v))
	require.Equal(t, []any{int64(3), int64(1), int64(1)}, read())
	v.LimitCounts.Raised, v.Backends = 2, nil
	m.publish(metrics, limitStateOf(v))
	require.Equal(t, []any{int64(3), int64(2), int64(0)}, read())
}
