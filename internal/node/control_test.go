package node

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// Guards against a stopping host that never ends, as a goroutine waits for room in the queue of the control thread that has ended.
func TestPostReturnsAfterTheControlThreadHasEnded(t *testing.T) {
	c := newControl(router.New(router.Options{Host: "10.0.0.1", Zone: "zone-a"}), zerolog.Nop(), telemetry.NewMetrics())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.run(ctx)
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		for range 2 * queueLength {
			c.Post(router.Tick{})
		}
	}()
	select {
	case <-posted:
	case <-time.After(20 * time.Second):
		require.Fail(t, "a goroutine waits for the control thread that has ended")
	}
}
