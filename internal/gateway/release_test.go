package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

// recordingControl sends each request to one backend server and records what the gateway posts.
type recordingControl struct {
	pausingControl
	addr   string
	posted []router.Event
}

// Submit implements Control.
func (r *recordingControl) Submit(s router.Submit, c Caller) {
	c.Effects <- router.Dispatch{ID: s.ID, Backend: routing.Backend{ID: "w1", Addr: r.addr}, Attempt: 1, MaxIdleConns: 1}
}

// Post implements Control.
func (r *recordingControl) Post(ev router.Event) {
	if _, ok := ev.(router.BackendAnnouncement); !ok { // tells nothing of the request
		r.posted = append(r.posted, ev)
	}
}

// failingCodec panics at one of its calls.
type failingCodec struct {
	noopCodec
	prepare, classify, classifyStatus bool
}

func (c failingCodec) Prepare(http.Header, DispatchInfo) {
	if c.prepare {
		panic("prepare")
	}
}

func (c failingCodec) Classify(status int, h http.Header) AnswerInfo {
	if c.classify && status == 0 || c.classifyStatus && status != 0 {
		panic("classify")
	}
	return c.noopCodec.Classify(status, h)
}

// Guards against requests that stay counted at their backend server for good, until it takes no more, because their handler has
// panicked: each way out of a handler has to end its request at the reducer.
func TestEveryWayOutOfAHandlerEndsItsRequest(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer srv.Close()
	for name, c := range map[string]struct {
		codec HeaderCodec
		w     http.ResponseWriter
		want  router.Event
	}{
		"answered":                  {noopCodec{}, httptest.NewRecorder(), router.DispatchEnded{ID: 1, Outcome: router.Answered}},
		"panic before the send":     {failingCodec{prepare: true}, httptest.NewRecorder(), router.CallerLeft{ID: 1}},
		"panic at an answer's head": {failingCodec{classify: true}, httptest.NewRecorder(), router.CallerLeft{ID: 1}},
		"panic after it":            {failingCodec{classifyStatus: true}, httptest.NewRecorder(), router.CallerLeft{ID: 1}},
		"panic in the writer":       {noopCodec{}, panickingWriter{httptest.NewRecorder()}, router.CallerLeft{ID: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			control := &recordingControl{addr: srv.Listener.Addr().String()}
			g := New(control, c.codec, upstream.NewPool(func() {}), zerolog.Nop(), telemetry.NewMetrics())
			a := &activeRequest{g: g, w: c.w, r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: time.Now(),
				route: &routing.Route{Name: "plain"}, allowed: time.Minute, deadline: time.Now().Add(time.Minute)}
			if _, failed := c.want.(router.CallerLeft); failed {
				require.Panics(t, a.run)
			} else {
				a.run()
			}
			require.Len(t, control.posted, 1)
			if end, ok := control.posted[0].(router.DispatchEnded); ok {
				control.posted[0] = router.DispatchEnded{ID: end.ID, Outcome: end.Outcome}
			}
			require.Equal(t, c.want, control.posted[0])
		})
	}
}

// panickingWriter panics when a status is written, as net/http does with an invalid one.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(int) { panic("invalid status") }
