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

// Guards against a request that is decided after the end of its host and sent on all the same, to be cut at once. A host runs
// with one thread of Go.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	g := New(&paused{}, silentWire{}, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
	send := func() (*flight, router.DispatchEnded) {
		f := &flight{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), began: time.Now(),
			route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
		return f, f.dispatch(router.Dispatch{Backend: routing.Backend{Addr: srv.Listener.Addr().String()}, Attempt: 1, MaxIdleConns: 1})
	}
	_, end := send() // leaves an idle connection
	require.Equal(t, router.Answered, end.Outcome)
	g.Shutdown()
	f, end := send()
	require.Equal(t, router.Canceled, end.Outcome)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, int64(1), calls.Load(), "it was sent on after the end")
	require.False(t, f.mayHaveRun, "its caller could have been told that it has not run")
}

// deadlineRecorder keeps the read deadline that was set last.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	mu   sync.Mutex
	last time.Time
}

// SetReadDeadline is found by http.ResponseController.
func (w *deadlineRecorder) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = t
	return nil
}

// endingReader is the end of a body; the host's grace ends in that moment.
type endingReader struct{ end func() }

// Read implements io.Reader.
func (e endingReader) Read([]byte) (int, error) { e.end(); return 0, io.EOF }

// Guards against a read deadline in the past that stays where the grace ends as the last byte of a body is read: net/http would
// take the caller for gone, and the request would end without a status.
func TestEndAfterABodyLeavesNoReadDeadline(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 200 {
		ending, end := context.WithCancel(context.Background())
		g := &Gateway{ending: ending, end: end}
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("body"), endingReader{end}))
		f := &flight{g: g, w: w, r: r, deadline: time.Now().Add(time.Minute)}
		require.True(t, f.readBody(0))
		for range 10 {
			runtime.Gosched()
		}
		w.mu.Lock()
		require.True(t, w.last.IsZero(), "the connection keeps a read deadline of %s", w.last)
		w.mu.Unlock()
	}
}
