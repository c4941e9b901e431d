package fairqueue

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func newTestQueue() *Queue[int] { return New(func(a, b int) bool { return a < b }) }

// serveAll serves items until a total cost is reached, and returns the cost served to each workspace.
func serveAll(q *Queue[int], limit float64) map[string]float64 {
	out := map[string]float64{}
	for total := 0.0; q.Len() > 0 && total < limit; {
		it := q.Head()
		q.Serve(it)
		out[it.Workspace] += it.Cost
		total += it.Cost
	}
	return out
}

// Guards against shares by number of items: a workspace must not gain by sending fewer, larger items or more, smaller ones.
func TestSharesFollowWeightAndWork(t *testing.T) {
	q := newTestQueue()
	for i := range 4000 {
		q.Push("small", 1, 1, i)
		q.Push("large", 1, 10, i)
		q.Push("heavy", 2, 5, i)
	}
	served := serveAll(q, 8000)
	assert.InDelta(t, 2000, served["small"], 20)
	assert.InDelta(t, 2000, served["large"], 20)
	assert.InDelta(t, 4000, served["heavy"], 20)
}
