package fairqueue

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An item whose order changes while it waits must neither be lost nor become the newest, which is shed first.
func TestFixReordersAnItemAndKeepsItsAge(t *testing.T) {
	type value struct{ order int }
	q := New(func(a, b *value) bool { return a.order < b.order })
	first := q.Push("a", 1, 10, &value{1})
	second := q.Push("a", 1, 10, &value{2})
	first.Value.order = 3
	q.Fix(first)
	assert.Same(t, second, q.Head())
	assert.Same(t, second, q.ShedCandidate())
	q.Serve(second)
	assert.Same(t, first, q.Head())
	q.Serve(first)
	q.Fix(first)
	assert.Nil(t, q.Head())
}

// A forecast that ignores work already served to a workspace would promise it the next slot too.
func TestLeadIsTheWorkServedBeyondTheOthers(t *testing.T) {
	q := New(func(a, b int) bool { return a < b })
	assert.Zero(t, q.Lead("a"))
	q.Charge("a", 2, 100)
	assert.Equal(t, 50.0, q.Lead("a"))
	assert.Zero(t, q.Lead("b"))
	q.Charge("b", 1, 100)
	q.Charge("b", 1, 100)
	assert.Zero(t, q.Lead("a"), "the latest service began later")
	assert.Equal(t, 100.0, q.Lead("b"))
}
