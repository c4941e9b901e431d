package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

// Guards against a request that is dispatched after its host has ended, and canceled at once. GOMAXPROCS is 1, as on a
// host.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	g := New(&pausingControl{}, noopCodec{}, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
	send := func() (*activeRequest, router.DispatchEnded) {
		a := &activeRequest{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(),
			route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
		return a, a.dispatch(router.Dispatch{Backend: routing.Backend{Addr: srv.Listener.Addr().String()}, Attempt: 1, MaxIdleConns: 1})
	}
	_, end := send() // leaves an idle connection
	require.Equal(t, router.Answered, end.Outcome)
	g.Shutdown()
	a, end := send()
	require.Equal(t, router.Canceled, end.Outcome)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, int64(1), calls.Load(), "the request was sent after the host had ended")
	require.False(t, a.mayHaveRun, "the caller should be told that the request has not run")
}

// deadlineRecorder records the last read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	mu   sync.Mutex
	last time.Time
}

// SetReadDeadline is called through http.ResponseController.
func (w *deadlineRecorder) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = t
	return nil
}

// shutdownReader is the end of a body; the host's grace period ends as it is read.
type shutdownReader struct{ end func() }

// Read implements io.Reader.
func (e shutdownReader) Read([]byte) (int, error) { e.end(); return 0, io.EOF }

// Guards against a read deadline in the past that remains set if the grace period ends while the last byte of a body is
// read: net/http would treat the caller as gone, and the request would end without a status.
func TestEndAfterABodyLeavesNoReadDeadline(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 200 {
		ending, end := context.WithCancel(context.Background())
		g := &Gateway{ending: ending, end: end}
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("body"), shutdownReader{end}))
		a := &activeRequest{g: g, w: w, r: r, deadline: time.Now().Add(time.Minute)}
		require.True(t, a.readBody(0))
		for range 10 {
			runtime.Gosched()
		}
		w.mu.Lock()
		require.True(t, w.last.IsZero(), "the connection keeps a read deadline of %s", w.last)
		w.mu.Unlock()
	}
}
