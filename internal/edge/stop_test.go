package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
)

// stoppingControl is a control thread that dispatches at once, and on which the stop arrives just before the event that
// the dispatch has ended: like core.Core.finishAll, it finishes running requests as stopped and drops the late
// DispatchEnded.
type stoppingControl struct {
	fixedClockControl
	addr    string
	effects chan<- core.Effect
	id      string
	// partRead, if set, is closed when the stop is to arrive.
	partRead chan struct{}
}

func (s *stoppingControl) Submit(sub core.Submit, effects chan<- core.Effect) {
	s.effects, s.id = effects, sub.ID
	effects <- core.Dispatch{ID: sub.ID, Attempt: 1, Backend: record.Backend{Addr: s.addr}, ValidUntil: time.Hour}
	if s.partRead != nil {
		go func() { <-s.partRead; s.stop() }()
	}
}

func (s *stoppingControl) stop() {
	s.effects <- core.Finish{ID: s.id, Fault: fault.New(fault.Stopped, "host a1 ended with the request in hand")}
}

func (s *stoppingControl) Post(e core.Event) {
	if _, ok := e.(core.DispatchEnded); ok && s.partRead == nil {
		s.stop()
	}
}

func requestPlain(t *testing.T, s *Server) (*http.Response, string, error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{Request: r, id: "r"}
		s.run(c, core.Submit{ID: "r"}, &plainAttempt{server: s, call: c, w: closingWriter{w, &s.draining}, deadline: time.Now().Add(time.Minute)})
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a complete answer of a plain service that is discarded because the host stops before its control
// thread was notified of it.
func TestWholePlainAnswerAsTheStopComesIsKept(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }))
	defer backend.Close()
	s := newServerWith(t, &stoppingControl{addr: backend.Listener.Addr().String()})
	resp, body, err := requestPlain(t, s)
	require.NoError(t, err, "the caller got neither an answer nor an error status")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "whole", body)
}

// Guards against a caller that gets no status because the host stops after it has read only the beginning of a plain
// service's answer.
func TestPlainAnswerThatBreaksOffGetsAStatus(t *testing.T) {
	c := &stoppingControl{partRead: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "part")
		w.(http.Flusher).Flush()
		time.AfterFunc(200*time.Millisecond, func() { close(c.partRead) }) // by then the host has read the first part
		<-r.Context().Done()
	}))
	defer backend.Close()
	c.addr = backend.Listener.Addr().String()
	s := newServerWith(t, c)
	resp, body, err := requestPlain(t, s)
	require.NoError(t, err, "the caller got no status")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Contains(t, body, fault.Stopped)
}

// Guards against an error event after a complete answer of a model, because the host stops before its control thread
// was notified of it.
func TestWholeModelAnswerAsTheStopComesIsKept(t *testing.T) {
	for _, stream := range []bool{false, true} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "data: {\"id\":\"r\",\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n")
			fmt.Fprint(w, "data: {\"id\":\"r\",\"offset\":1,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}))
		s := newServerWith(t, &stoppingControl{addr: backend.Listener.Addr().String()})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{Request: r, id: "r"}
			s.run(c, core.Submit{ID: "r"}, &modelAttempt{server: s, call: c, body: []byte("{}"), sink: newSink(closingWriter{w, &s.draining}, c, stream, 1<<20),
				exported: make(chan *engine.KV, 1)})
		}))
		resp, err := http.Get(srv.URL)
		if err != nil {
			t.Errorf("stream %v: %v", stream, err)
		} else {
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.NotContains(t, string(body), "error")
		}
		srv.Close()
		backend.Close()
	}
}

// Guards against a refusal that waits for a body that never arrives, and delays a stopping host.
func TestRefusalOfAnUnreadBodyDoesNotWaitForIt(t *testing.T) {
	s := newServer(t)
	srv := httptest.NewServer(s.Handler())
	defer srv.CloseClientConnections()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /services/git/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 1000\r\n\r\nhalf")
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}
