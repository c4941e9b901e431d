package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a lower limit that refuses requests which still fit, or urgent ones before others.
func TestLowerLimitRefusesTheLastInOrder(t *testing.T) {
	q := testQueue(6)
	for n, r := range []Request{testRequest(1, "a", 1, 0), testRequest(2, "a", 0, 0), testRequest(3, "b", 1, 0),
		testRequest(4, "a", 1, 0), testRequest(5, "b", 0, 0), testRequest(6, "a", 1, 0)} {
		mustAdd(t, q, 0, r)
		require.Equal(t, n+1, q.Len())
	}
	require.Empty(t, q.SetMaxRequests(0, 100), "a higher limit refuses nothing")
	var refused []uint64
	for _, f := range q.SetMaxRequests(0, 3) {
		require.Equal(t, QueueFull, f.Cause)
		refused = append(refused, f.Request.Key.Number)
	}
	require.Equal(t, []uint64{6, 4, 3}, refused)
	_, queued, _ := q.Add(0, testRequest(7, "a", 1, 0))
	require.False(t, queued, "beyond the new limit")
	require.Equal(t, []uint64{2, 5, 1}, order(q, 0))
}
