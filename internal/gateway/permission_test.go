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

// paused is the control thread of a host whose clock goes on by what is in gap after each look at it.
type paused struct {
	starting
	now, gap time.Duration
}

// Now implements Control.
func (p *paused) Now() time.Duration {
	now := p.now
	p.now += p.gap
	return now
}

// silentWire adds nothing to calls.
type silentWire struct{ headerless }

func (silentWire) Prepare(http.Header, DispatchInfo)    {}
func (silentWire) Classify(int, http.Header) AnswerInfo { return AnswerInfo{Signed: true} }

// The reducer decides for a backend server; the host looks at its clock, and the process is paused for a second
// between that look and the write. An operator has taken the server out meanwhile, and it got the request all the same:
// the clock was looked at once, before a connection was found. Nothing may be written then, so that the reducer
// decides anew by what it has heard since.
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
		g := New(&paused{gap: c.gap}, silentWire{}, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
		f := &flight{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), began: time.Now(),
			route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
		end := f.dispatch(router.Dispatch{Backend: routing.Backend{Addr: srv.Listener.Addr().String()}, Attempt: 1, MaxIdleConns: 1})
		require.Equal(t, c.outcome, end.Outcome)
		require.False(t, end.Fault, "nothing is wrong with the server")
		require.Equal(t, c.calls, calls.Load())
	}
}
