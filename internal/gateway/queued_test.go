package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

// scriptedControl answers each request with the same effects. Its clock advances by 10 ms at each reading.
type scriptedControl struct {
	pausingControl
	effects []router.Effect
}

// Submit implements Control.
func (s *scriptedControl) Submit(_ router.Submit, c Caller) {
	for _, e := range s.effects {
		c.Effects <- e
	}
	if _, ok := s.effects[len(s.effects)-1].(router.Queued); ok {
		close(c.Effects)
	}
}

// runScript carries out effects for a request of the workspace school, and returns its answer, log lines, history and metrics.
func runScript(t *testing.T, effects ...router.Effect) (w *httptest.ResponseRecorder, lines []string, history string, m telemetry.Metrics) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	for i, e := range effects {
		if d, ok := e.(router.Dispatch); ok {
			d.Backend, d.Attempt, d.MaxIdleConns, d.At = routing.Backend{ID: "w1", Addr: srv.Listener.Addr().String()}, 1, 1, time.Hour
			effects[i] = d
		}
	}
	var logs bytes.Buffer
	m = telemetry.NewMetrics()
	g := New(&scriptedControl{pausingControl: pausingControl{gap: 10 * time.Millisecond}, effects: effects}, noopCodec{}, upstream.NewPool(func() {}), zerolog.New(&logs), m)
	w = httptest.NewRecorder()
	a := &activeRequest{g: g, w: w, r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(), call: RequestInfo{AttemptID: "a1"},
		route: &routing.Route{Name: "plain"}, workspace: &routing.Workspace{Name: "school"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
	a.run()
	a.leaveQueue(queueEnded, "") // as the end of a request whose caller leaves while it waits
	for _, e := range g.History("a1") {
		history += e.What + "\n"
	}
	return w, strings.Split(strings.TrimSpace(logs.String()), "\n"), history, m
}

// Guards against a refusal of which nobody can say why, by whom, and when the caller was told to return.
func TestRefusalByAQueueIsExplained(t *testing.T) {
	for _, cause := range []admission.Cause{admission.QueueFull, admission.WaitTooLong, admission.Displaced, admission.Expired, admission.OwnerGone} {
		basis := router.DecisionBasis{Owner: "10.0.0.7", Queue: router.QueueBasis{Cause: cause, Predicted: 900 * time.Millisecond, Patience: 700 * time.Millisecond, Waited: 50 * time.Millisecond}}
		w, lines, history, _ := runScript(t, router.Refuse{Cause: router.Overloaded, RetryAfter: 3 * time.Second, Basis: basis})
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "3s", w.Header().Get("Retry-After"))
		require.Contains(t, history, "refused, admission queue at owner 10.0.0.7: "+string(cause)+", predicted wait 900ms, patience 700ms, waited 50ms; told to return after 3s\n")
		require.Len(t, lines, 1, "it did not wait")
		for _, field := range []string{`"owner":"10.0.0.7"`, `"queue_cause":"` + string(cause) + `"`, `"predicted_ms":900`, `"patience_ms":700`, `"waited_ms":50`, `"retry_after_ms":3000`, `"message":"Ended."`} {
			require.Contains(t, lines[0], field)
		}
	}
	_, _, history, _ := runScript(t, router.Refuse{Cause: router.Overloaded, Basis: router.DecisionBasis{Queue: router.QueueBasis{Patience: time.Second}}})
	require.Contains(t, history, "refused, admission queue at owner unknown: unknown, patience 1s, waited 0s\n", "the owner gave neither a cause nor a time")
}

// Guards against a request that waits without a trace, and against a lost waiting time.
func TestRequestThatWaitsIsLoggedAtBothEnds(t *testing.T) {
	queued := router.Queued{Owner: "10.0.0.7", Wait: 400 * time.Millisecond, Patience: 700 * time.Millisecond}
	_, lines, history, m := runScript(t, queued, router.Dispatch{Basis: router.DecisionBasis{Owner: "10.0.0.7"}})
	require.Contains(t, history, "queued at owner 10.0.0.7: predicted wait 400ms, patience 700ms\n")
	require.Contains(t, history, "left the queue at owner 10.0.0.7 after 10ms: granted\n")
	for _, field := range []string{`"id":"a1"`, `"workspace":"school"`, `"route":"plain"`, `"owner":"10.0.0.7"`, `"predicted_ms":400`, `"patience_ms":700`, `"message":"Request queued."`} {
		require.Contains(t, lines[0], field)
	}
	for _, field := range []string{`"id":"a1"`, `"owner":"10.0.0.7"`, `"result":"granted"`, `"waited_ms":10`, `"message":"Request left the queue."`} {
		require.Contains(t, lines[1], field)
	}
	require.Equal(t, int64(1), m.Timer("queue.wait").Count())
	require.Equal(t, int64(10*time.Millisecond), m.Timer("queue.wait").Max())
}

// Guards against a lost owner, or a refusing one, that looks as if it had granted the slot.
func TestOnlyTheOwnerOfTheQueueGrants(t *testing.T) {
	queued := router.Queued{Owner: "10.0.0.7"}
	for name, c := range map[string]struct {
		effects []router.Effect
		result  string
	}{
		"sent by this host's decision": {[]router.Effect{queued, router.Dispatch{Basis: router.DecisionBasis{Queue: router.QueueBasis{Cause: admission.OwnerGone}}}}, `"result":"moved","cause":"owner_gone"`},
		"granted by another owner":     {[]router.Effect{queued, router.Dispatch{Basis: router.DecisionBasis{Owner: "10.0.0.8"}}}, `"result":"moved","cause":""`},
		"refused":                      {[]router.Effect{queued, router.Refuse{Cause: router.Overloaded, Basis: router.DecisionBasis{Queue: router.QueueBasis{Cause: admission.Expired}}}}, `"result":"refused","cause":"expired"`},
		"the caller leaves":            {[]router.Effect{queued}, `"result":"ended","cause":""`},
	} {
		_, lines, _, m := runScript(t, c.effects...)
		require.Contains(t, lines[1], c.result, name)
		require.Zero(t, m.Timer("queue.wait").Count(), name)
	}
}

// Guards against lines that do not pair up if a request waits at two owners, one after the other.
func TestWaitAtASecondOwner(t *testing.T) {
	_, lines, history, m := runScript(t, router.Queued{Owner: "10.0.0.7"}, router.Queued{Owner: "10.0.0.8"}, router.Dispatch{Basis: router.DecisionBasis{Owner: "10.0.0.8"}})
	for i, want := range []string{`"Request queued."`, `"result":"moved"`, `"Request queued."`, `"result":"granted"`} {
		require.Contains(t, lines[i], want)
	}
	require.Contains(t, history, "left the queue at owner 10.0.0.7 after 10ms: moved\nqueued at owner 10.0.0.8")
	require.Equal(t, int64(20*time.Millisecond), m.Timer("queue.wait").Max(), "the time at both owners")
}

// Guards against lines and metrics of queues where the feature is off.
func TestRequestWithoutQueueHasNoQueueFields(t *testing.T) {
	for _, e := range []router.Effect{router.Refuse{Cause: router.Overloaded, RetryAfter: time.Second, Basis: router.DecisionBasis{Owner: "10.0.0.7"}}, router.Dispatch{Basis: router.DecisionBasis{Owner: "10.0.0.7"}}} {
		_, lines, history, m := runScript(t, e)
		require.NotContains(t, history, "queue")
		for _, line := range lines {
			require.NotContains(t, line, "queue")
			require.NotContains(t, line, "waited_ms")
		}
		require.Nil(t, m.Get("queue.wait"))
	}
}

// Guards against a wait that is counted again as the request is repeated, and against a repeat that a queue refuses without a trace.
func TestRepeatedRequestWaitsAnew(t *testing.T) {
	var logs bytes.Buffer
	g := New(&scriptedControl{pausingControl: pausingControl{gap: 10 * time.Millisecond}}, noopCodec{}, nil, zerolog.New(&logs), telemetry.NewMetrics())
	a := &activeRequest{g: g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(), route: &routing.Route{Name: "plain"}}
	for range 2 {
		a.enterQueue(router.Queued{Owner: "10.0.0.7"})
		a.dispatchedFromQueue(router.DecisionBasis{Owner: "10.0.0.7"})
	}
	require.Equal(t, int64(2), g.metrics.Timer("queue.wait").Count())
	require.Equal(t, int64(10*time.Millisecond), g.metrics.Timer("queue.wait").Max())
	a.attempts = 1
	a.basis = router.DecisionBasis{Owner: "10.0.0.7", Queue: router.QueueBasis{Cause: admission.QueueFull}}
	refusal := router.Refuse{Cause: router.Overloaded, Basis: a.basis}
	a.refusedByQueue(refusal)
	a.refuseByCause(refusal)
	require.Contains(t, logs.String(), `"queue_cause":"queue_full"`)
}

// waitingControl queues each request and grants it nothing.
type waitingControl struct {
	pausingControl
	queued chan struct{}
	posted chan router.Event
}

// Submit implements Control.
func (w *waitingControl) Submit(_ router.Submit, c Caller) {
	c.Effects <- router.Queued{Owner: "10.0.0.7"}
	close(w.queued)
}

// Post implements Control.
func (w *waitingControl) Post(ev router.Event) { w.posted <- ev }

// Guards against a place in a queue, and then a slot, that is kept for a caller who has left.
func TestCallerWhoLeavesTheQueueIsReported(t *testing.T) {
	control := &waitingControl{queued: make(chan struct{}), posted: make(chan router.Event, 1)}
	g := New(control, noopCodec{}, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
	ctx, leave := context.WithCancel(t.Context())
	a := &activeRequest{g: g, w: httptest.NewRecorder(), r: httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil), startedAt: time.Now(),
		route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
	ended := make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		a.run()
	}()
	<-control.queued
	leave()
	require.Equal(t, router.CallerLeft{ID: a.id}, <-control.posted)
	require.Equal(t, http.ErrAbortHandler, <-ended)
}
