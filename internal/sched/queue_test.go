package sched

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fireflyshift/internal/fairqueue"
)

func waitingRequest(number uint64, workspace string, weight, cost float64, arrived time.Duration) *queuedRequest {
	r := Request{Key: Key{"h", number}, Workspace: workspace, Weight: weight}
	return &queuedRequest{Request: r, cost: cost, arrived: arrived}
}

// Guards against a request that waits behind a longer one of its workspace, and against an order that depends on the heap.
func TestWorkspaceOrderIsCostThenArrivalThenKey(t *testing.T) {
	q := newTierQueue()
	q.push(waitingRequest(1, "w", 1, 20, 1))
	q.push(waitingRequest(2, "w", 1, 10, 3))
	q.push(waitingRequest(4, "w", 1, 10, 2))
	q.push(waitingRequest(3, "w", 1, 10, 2))
	var order []uint64
	for w := q.head(); w != nil; w = q.head() {
		order = append(order, w.Key.Request)
		q.serve(w)
	}
	assert.Equal(t, []uint64{3, 4, 2, 1}, order)
}

// Guards against a workspace without a weight that competes with the default weight of the fair queue.
func TestWeightIsAtLeastTheLowestOfARecord(t *testing.T) {
	for _, weight := range []float64{0, -1, 0.001} {
		q := newTierQueue()
		q.push(waitingRequest(1, "w", weight, 10, 0))
		assert.Equal(t, minWeight, q.fair.ActiveWeight(), "%g", weight)
	}
	assert.GreaterOrEqual(t, minWeight, fairqueue.MinWeight)
}

// Guards against a forecast that counts requests that no longer wait, or that takes a wrong share of the slots.
func TestForecastCountsWhatWaits(t *testing.T) {
	q := newTierQueue()
	small := waitingRequest(1, "a", 1, 10, 0)
	large := []*queuedRequest{waitingRequest(2, "b", 3, 100, 0), waitingRequest(3, "b", 3, 100, 0), waitingRequest(4, "b", 3, 100, 0)}
	q.push(small)
	for _, w := range large {
		q.push(w)
	}
	assert.Equal(t, 10.0, q.costBefore(waitingRequest(9, "c", 1, 10, 0)), "what is not larger")
	assert.Equal(t, 310.0, q.costBefore(waitingRequest(9, "c", 1, 100, 0)), "all that waits")
	assert.Equal(t, 200.0, q.costBefore(waitingRequest(9, "c", 4, 100, 0)), "its own cost by its share, which is 4 of 8")
	assert.Equal(t, 296.0, q.costBefore(waitingRequest(9, "a", 1, 64, 0)), "its workspace's 74 by its share, which is 1 of 4")
	q.serve(small)
	assert.Equal(t, 300.0, q.costUpTo(math.MaxInt64))
	for _, w := range large {
		q.remove(w)
	}
	assert.Zero(t, q.costUpTo(math.MaxInt64))
	assert.Zero(t, q.fair.ActiveWeight())
}
