package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host decides to send, reads the clock, and is paused for seconds before it writes, or waits for a connection. The
// server was told to leave meanwhile and still got the request. Permitted is asked right before the first byte is
// written; if it reports false, nothing is written and the connection is kept.
func TestEndedPermissionWritesNothing(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	dialed := 0
	pool := NewPool(func() { dialed++ })
	addr := srv.Listener.Addr().String()
	call := func(permitted bool) (sent bool, err error) {
		resp, sent, err := pool.Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
			Deadline: time.Now().Add(time.Minute), MaxIdle: 1, IsOwn: func(http.Header) bool { return true },
			Permitted: func() bool { return permitted }})
		if err == nil {
			resp.Close()
		}
		return sent, err
	}
	for range 2 {
		sent, err := call(false)
		require.ErrorIs(t, err, ErrNotPermitted)
		require.False(t, sent)
	}
	require.Zero(t, calls.Load())
	sent, err := call(true)
	require.NoError(t, err)
	require.True(t, sent)
	require.EqualValues(t, 1, calls.Load())
	require.Equal(t, 1, dialed)
}

// A host checks whether a server whose answer broke off is still there. If it is, the connection is kept for the next
// call; if nothing listens any more, the server has ended.
func TestProbeReportsWhetherAServerIsReachable(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	dialed := 0
	pool := NewPool(func() { dialed++ })
	addr := srv.Listener.Addr().String()
	reached, refused := pool.Probe(context.Background(), addr, 1)
	require.True(t, reached)
	require.False(t, refused)
	require.False(t, ProbeRefused(context.Background(), addr))
	c, err := pool.get(context.Background(), addr, "")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Equal(t, 1, dialed)
	srv.Close()
	reached, refused = pool.Probe(context.Background(), addr, 1)
	require.False(t, reached)
	require.True(t, refused)
	require.True(t, ProbeRefused(context.Background(), addr))
}

// Guards against a call that returns neither an answer nor an error: its time ends while the connection is made.
func TestTimeThatEndsWhileConnectingIsAnError(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	resp, sent, err := NewPool(func() {}).Do(context.Background(), srv.Listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/x", Host: "h",
		Header: http.Header{}, Deadline: time.Now(), IsOwn: func(http.Header) bool { return true }})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Nil(t, resp)
	require.False(t, sent)
}
