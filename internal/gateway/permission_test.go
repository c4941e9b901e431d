package gateway

import (
	"net/http"
	"net/http/httptest"
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

// pausingControl is a control thread whose clock advances by gap after each reading.
type pausingControl struct {
	unconfiguredControl
	now, gap time.Duration
}

// Now implements Control.
func (p *pausingControl) Now() time.Duration {
	now := p.now
	p.now += p.gap
	return now
}

// noopCodec adds nothing to requests and accepts every answer.
type noopCodec struct{ emptyCodec }

func (noopCodec) Prepare(http.Header, DispatchInfo)    {}
func (noopCodec) Classify(int, http.Header) AnswerInfo { return AnswerInfo{Signed: true} }

// The process is paused for a second between the reducer's decision and the write. An operator had taken the backend
// server out meanwhile, and it still got the request, because the clock was read only once, before a connection was
// found. Nothing may be written in that case, so that the reducer decides again on its current view.
func TestPauseBeforeTheWriteSendsNothing(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	for _, c := range []struct {
		gap     time.Duration
		calls   int64
		outcome router.Outcome
	}{{0, 1, router.Answered}, {time.Second, 0, router.NotSent}} {
		calls.Store(0)
		g := New(&pausingControl{gap: c.gap}, noopCodec{}, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
		a := &activeRequest{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(),
			route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
		end := a.dispatch(router.Dispatch{Backend: routing.Backend{Addr: srv.Listener.Addr().String()}, Attempt: 1, MaxIdleConns: 1})
		require.Equal(t, c.outcome, end.Outcome)
		require.False(t, end.Fault, "no fault of the backend server")
		require.Equal(t, c.calls, calls.Load())
	}
}
