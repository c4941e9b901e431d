package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
	"fireflyshift/internal/telemetry"
)

const bodyTimeout = time.Minute

func newServer(t *testing.T) *Server { return newServerWith(t, fixedClockControl{}) }

func newServerWith(t *testing.T, c Control) *Server {
	tracing, err := telemetry.NewTracing(t.Context(), telemetry.TraceOptions{Exporter: "none"})
	require.NoError(t, err)
	return New(Options{Host: "a1", MaxBodyBytes: 1 << 20, MaxAnswerBytes: 1 << 20, BodyTimeout: bodyTimeout}, c, tracing, telemetry.NewMetrics(), zerolog.Nop())
}

// Guards against callers that keep using the connection to a host that is shutting down.
func TestAnswersOfADrainingHostEndTheirConnection(t *testing.T) {
	s := newServer(t)
	closesConnection := func(h http.Handler) bool {
		srv := httptest.NewServer(h)
		defer srv.Close()
		resp, err := http.Get(srv.URL)
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp.Close
	}
	relayed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := &plainAttempt{server: s, call: &call{Request: r}, w: closingWriter{w, &s.draining}}
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Connection": {"keep-alive"}}, Body: http.NoBody}
		require.NoError(t, p.relay(core.Dispatch{}, resp))
	})
	require.False(t, closesConnection(s.Handler()))
	require.False(t, closesConnection(relayed))
	s.Drain()
	require.True(t, closesConnection(s.Handler()), "a refusal of the host")
	require.True(t, closesConnection(relayed), "a backend server's answer")
}

// Guards against a caller whose body is still being read as the host ends, and who gets no answer, or one that does not
// state that nothing ran.
func TestBodyThatIsReadAtTheEndIsRefusedAsNotRun(t *testing.T) {
	s := newServer(t)
	reading := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reading)
		_, f := s.readBody(w, &call{Request: r})
		writeFault(w, f)
	}))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(bodyTimeout / 2))
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	<-reading
	s.Shutdown()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, string(fault.NotRun), resp.Header.Get(headerWork))
	require.Contains(t, string(body), fault.Draining)
}

// Guards against an engine that hangs and uses up the time in which the host could still answer its callers.
func TestEngineThatHangsDoesNotDelayTheLastAnswer(t *testing.T) {
	s := newServer(t)
	requested := make(chan struct{}, 2)
	release := make(chan struct{})
	hung := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requested <- struct{}{}; <-release }))
	defer hung.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := &modelAttempt{server: s, call: &call{id: "r"}, sink: newSink(httptest.NewRecorder(), &call{id: "r"}, false, 1), exported: make(chan *engine.KV, 1)}
	ended := make(chan core.DispatchEnded, 1)
	go func() {
		ended <- m.run(ctx, core.Dispatch{Backend: record.Backend{Addr: hung.Listener.Addr().String()}})
	}()
	<-requested
	s.Shutdown()
	began := time.Now()
	cancel()
	require.Equal(t, core.Canceled, (<-ended).Outcome)
	require.Less(t, time.Since(began), time.Second, "the daemon allows two seconds for the last answers")
}
