package node

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that lists the whole store again when other hosts start to depend on its reader.
func TestReadingGoesOnAsItBecomesShared(t *testing.T) {
	type reading struct {
		ctx    context.Context
		shared *atomic.Bool
	}
	begun := make(chan reading, 2)
	r := &toggle{ctx: t.Context(), run: func(ctx context.Context, shared *atomic.Bool) { begun <- reading{ctx, shared} }}
	r.set(true, false)
	first := <-begun
	require.False(t, first.shared.Load())
	r.set(true, true)
	require.True(t, first.shared.Load())
	require.NoError(t, first.ctx.Err())
	r.set(false, false)
	require.Error(t, first.ctx.Err())
	r.set(true, false)
	require.NoError(t, (<-begun).ctx.Err())
	require.Empty(t, begun)
}
