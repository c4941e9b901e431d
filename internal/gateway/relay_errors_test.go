package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

// failingRelay opens no connections.
type failingRelay struct{ err error }

func (f failingRelay) Dial(context.Context, string, string) (net.Conn, error) { return nil, f.err }

// A relay does not serve, does not know the backend server, or cannot connect to it. Guards against requests that count
// as run, and against blame on the wrong one: a backend server with two such faults is avoided for seconds.
func TestFailedRelayIsToldFromAFailedBackendServer(t *testing.T) {
	for _, k := range []struct {
		err               error
		fault, relayFault bool
	}{
		{trace.Wrap(upstream.ErrRelay, "busy"), false, true},
		{trace.Wrap(upstream.ErrUnknownAtRelay, "gone"), false, false},
		{trace.ConnectionProblem(syscall.ECONNREFUSED, "refused"), true, false},
	} {
		pool := upstream.NewPool(func() {})
		pool.UseRelays(failingRelay{k.err})
		g := New(&pausingControl{}, noopCodec{}, pool, zerolog.Nop(), telemetry.NewMetrics())
		a := &activeRequest{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(),
			route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
		end := a.dispatch(router.Dispatch{Backend: routing.Backend{Addr: "10.0.0.1:80"}, Via: "10.0.0.2", Attempt: 1})
		require.Equal(t, router.NotSent, end.Outcome)
		require.Equal(t, k.fault, end.Fault, k.err)
		require.Equal(t, k.relayFault, end.RelayFault, k.err)
		require.False(t, a.mayHaveRun)
	}
}
