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

// stopping is a control thread that dispatches at once and on which the Stop comes just before the word that the dispatch
// has ended: as core.endRequests does, it finishes what runs as stopped, and drops the late Ended.
type stopping struct {
	lateClock
	addr    string
	effects chan<- core.Effect
	id      string
	// told, where set, is closed as the Stop is to come.
	told chan struct{}
}

func (s *stopping) Submit(sub core.Submit, effects chan<- core.Effect) {
	s.effects, s.id = effects, sub.ID
	effects <- core.Dispatch{ID: sub.ID, Attempt: 1, Backend: record.Backend{Addr: s.addr}, ValidUntil: time.Hour}
	if s.told != nil {
		go func() { <-s.told; s.stop() }()
	}
}

func (s *stopping) stop() {
	s.effects <- core.Finish{ID: s.id, Fault: fault.New(fault.Stopped, "host a1 ended with the request in hand")}
}

func (s *stopping) Post(e core.Event) {
	if _, ok := e.(core.DispatchEnded); ok && s.told == nil {
		s.stop()
	}
}

func askPlain(t *testing.T, s *Server) (*http.Response, string, error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{Request: r, id: "r"}
		s.fly(c, core.Submit{ID: "r"}, &plainAttempt{server: s, call: c, w: closingWriter{w, &s.draining}, deadline: time.Now().Add(time.Minute)})
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

// Guards against a whole answer of a plain service that is thrown away, as the host stops before its control thread has heard of it.
func TestWholePlainAnswerAsTheStopComesIsKept(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }))
	defer backend.Close()
	s := newServerWith(t, &stopping{addr: backend.Listener.Addr().String()})
	resp, body, err := askPlain(t, s)
	require.NoError(t, err, "neither an answer nor a refusal")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "whole", body)
}

// Guards against a plain service's answer that has begun at this host only, and whose caller gets no status as the host stops.
func TestPlainAnswerThatBreaksOffGetsAStatus(t *testing.T) {
	c := &stopping{told: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "part")
		w.(http.Flusher).Flush()
		time.AfterFunc(200*time.Millisecond, func() { close(c.told) }) // the host has read it
		<-r.Context().Done()
	}))
	defer backend.Close()
	c.addr = backend.Listener.Addr().String()
	s := newServerWith(t, c)
	resp, body, err := askPlain(t, s)
	require.NoError(t, err, "no status at all")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Contains(t, body, fault.Stopped)
}

// Guards against an error that follows a whole answer of a model, as the host stops before its control thread has heard of it.
func TestWholeModelAnswerAsTheStopComesIsKept(t *testing.T) {
	for _, stream := range []bool{false, true} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "data: {\"id\":\"r\",\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n")
			fmt.Fprint(w, "data: {\"id\":\"r\",\"offset\":1,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}))
		s := newServerWith(t, &stopping{addr: backend.Listener.Addr().String()})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{Request: r, id: "r"}
			s.fly(c, core.Submit{ID: "r"}, &modelAttempt{server: s, call: c, body: []byte("{}"), sink: newSink(closingWriter{w, &s.draining}, c, stream, 1<<20),
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

// Guards against a refusal that waits for a body which never comes, and keeps a stopping host meanwhile.
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
