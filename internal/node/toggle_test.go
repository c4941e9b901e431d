package node

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that lists the whole store anew as it learns that others rely on its reading.
func TestReadingGoesOnAsItBecomesShared(t *testing.T) {
	began, seen := make(chan struct{}, 2), make(chan *atomic.Bool, 2)
	r := &toggle{ctx: t.Context(), run: func(ctx context.Context, shared *atomic.Bool) {
		seen <- shared
		began <- struct{}{}
		<-ctx.Done()
	}}
	r.set(true, false)
	<-began
	shared := <-seen
	require.False(t, shared.Load())
	r.set(true, true)
	require.True(t, shared.Load())
	require.Empty(t, began)
	r.set(false, false)
	r.set(true, false)
	<-began
}
