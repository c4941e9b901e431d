package node

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
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

// Guards against calls that hold their callers to the deadline at a backend server that is gone, and against ending those
// at one whose registration has merely lapsed with the store.
func TestOnlyAServerThatIsSurelyGoneLimitsItsCalls(t *testing.T) {
	c := newControl(router.New(router.Options{Host: "10.0.0.1", Zone: "zone-a"}), zerolog.Nop(), telemetry.NewMetrics())
	var dropped, limited []string
	c.out.dropConns = func(addr string) { dropped = append(dropped, addr) }
	c.out.limitWait = func(id string) { limited = append(limited, id) }
	b := routing.Backend{ID: "w1", Addr: "10.0.0.2:80"}
	c.execute(router.BackendGone{Backend: b, Doubtful: true})
	require.Equal(t, []string{"10.0.0.2:80"}, dropped)
	require.Empty(t, limited)
	c.execute(router.BackendGone{Backend: b})
	require.Equal(t, []string{"w1"}, limited)
}
