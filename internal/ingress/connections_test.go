package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience is far over what is expected, so that no verdict hangs on the machine's speed.
const patience = 20 * time.Second

// within is a context that ends after d.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a host that ends with a request in hand, and against one that is sent on after the end.
func TestHostEndsOnlyBetweenRequests(t *testing.T) {
	c := New()
	served := 0
	h := c.gate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }),
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	ask := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	inner, other := net.Pipe()
	defer inner.Close()
	defer other.Close()
	one := c.add(inner)
	c.connState(one, http.StateNew)
	c.connState(one, http.StateActive)
	require.False(t, c.TryStop())
	require.Equal(t, http.StatusOK, ask())
	c.connState(one, http.StateIdle)
	require.Zero(t, c.InUse())
	require.True(t, c.TryStop())
	require.Equal(t, http.StatusServiceUnavailable, ask())
	require.Equal(t, 1, served)
}

// Guards against a host that ends when only the first byte of a request has come.
func TestFirstByteOfARequestKeepsTheHost(t *testing.T) {
	c := New()
	inner, caller := net.Pipe()
	defer caller.Close()
	k := c.add(inner)
	c.connState(k, http.StateNew)
	require.Zero(t, c.InUse())
	go func() { _, _ = caller.Write([]byte("P")) }()
	n, err := k.Read(make([]byte, 10))
	require.NoError(t, err)
	require.Equal(t, 1, n)
	require.Equal(t, 1, c.InUse())
	require.False(t, c.TryStop())
	c.connState(k, http.StateActive)
	require.Equal(t, 1, c.InUse())
	c.connState(k, http.StateClosed)
	require.Zero(t, c.InUse())
	require.True(t, c.TryStop())
}

// Guards against a host that ends in the moments between a new connection and the request that it was made for.
func TestNewConnectionKeepsTheHostForAMoment(t *testing.T) {
	c := New()
	inner, caller := net.Pipe()
	defer inner.Close()
	defer caller.Close()
	k := c.add(inner)
	c.connState(k, http.StateNew)
	require.False(t, c.end(k.acceptedAt))
	require.True(t, c.end(k.acceptedAt.Add(firstWithin)), "a caller that says nothing does not keep it")
	c.connState(k, http.StateIdle)
	require.True(t, c.end(k.acceptedAt), "nor one that has been answered")
}

// Guards against new connections that go on coming and keep a host for good.
func TestNewConnectionsKeepTheHostForABoundedTime(t *testing.T) {
	c := New()
	began := time.Now()
	now := began
	comes := func() bool {
		inner, caller := net.Pipe()
		t.Cleanup(func() { _, _ = inner.Close(), caller.Close() })
		c.add(inner).acceptedAt = now
		return true
	}
	for comes() && !c.end(now) {
		now = now.Add(firstWithin / 2)
		require.Less(t, now.Sub(began), time.Minute)
	}
	require.Positive(t, now.Sub(began))
}

// Guards against a host that takes connections until its time is over, and then has none left to tell them so.
func TestListenerClosesBeforeTheLastConnection(t *testing.T) {
	h := newHost(t, lingers)
	stays := h.keptCaller()
	done := make(chan int)
	go func() { done <- h.c.Close(within(t, patience)) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", h.addr)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, patience, time.Millisecond)
	require.NoError(t, stays.Close())
	require.Zero(t, <-done)
}

// heldConn reads nothing until it is released, as a host that has no processor time.
type heldConn struct {
	*net.TCPConn
	held func() <-chan struct{}
}

// Read implements net.Conn.
func (h heldConn) Read(p []byte) (int, error) {
	<-h.held()
	return h.TCPConn.Read(p)
}

type heldListener struct {
	net.Listener
	held func() <-chan struct{}
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{conn.(*net.TCPConn), l.held}, nil
}

// host is an http.Server whose reading can be held up.
type host struct {
	t      *testing.T
	c      *Connections
	addr   string
	mu     sync.Mutex
	gate   chan struct{}
	server *http.Server
	served int
}

// lingers makes a host wait for its callers as long as a test may take.
func lingers(h *host) { h.c.linger = patience }

func newHost(t *testing.T, options ...func(*host)) *host {
	h := &host{t: t, c: New(), gate: make(chan struct{}), server: &http.Server{}}
	for _, set := range options {
		set(h)
	}
	close(h.gate)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.addr = l.Addr().String()
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			r.Body = http.MaxBytesReader(w, r.Body, 1<<20) // net/http does not know then that the body was not read
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_, _ = io.ReadAll(r.Body)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		_, _ = io.ReadAll(r.Body)
		h.mu.Lock()
		h.served++
		h.mu.Unlock()
		_, _ = io.WriteString(w, "answer")
	})
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	srv := h.server
	srv.Handler = serve
	h.c.Guard(srv, refuse)
	go func() { _ = srv.Serve(h.c.Listener(heldListener{l, h.held})) }()
	t.Cleanup(func() { h.release(); _ = srv.Close() })
	return h
}

func (h *host) held() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate
}

func (h *host) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate = make(chan struct{})
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.gate:
	default:
		close(h.gate)
	}
}

type caller struct {
	net.Conn
	r *bufio.Reader
}

func (h *host) caller() *caller {
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &caller{conn, bufio.NewReader(conn)}
}

// keptCaller has had an answer on its connection, which is idle.
func (h *host) keptCaller() *caller {
	c := h.caller()
	require.NoError(h.t, c.send())
	require.Equal(h.t, http.StatusOK, c.status(h.t))
	require.Eventually(h.t, func() bool { return h.c.InUse() == 0 }, patience, time.Millisecond)
	return c
}

const text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

func (c *caller) send() error {
	_, err := io.WriteString(c, text)
	return err
}

// status is that of the next answer, which has to be whole.
func (c *caller) status(t *testing.T) int {
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// Guards against a host that closes a connection on which a request has come that it has not read: its caller would get a
// reset, and not know whether the request has run.
func TestRequestThatIsUnreadAtTheEndIsToldSo(t *testing.T) {
	h := newHost(t)
	kept := h.keptCaller()
	h.hold()
	unread := h.caller()
	require.NoError(t, unread.send())
	require.Eventually(t, func() bool { return h.c.left() == 2 }, patience, time.Millisecond)
	require.True(t, h.c.end(time.Now().Add(firstWithin)))
	time.AfterFunc(50*time.Millisecond, h.release)
	require.Zero(t, h.c.Close(within(t, patience)))
	require.Equal(t, http.StatusRequestTimeout, unread.status(t))
	require.Equal(t, http.StatusRequestTimeout, kept.status(t), "it had asked for nothing")
	require.Equal(t, 1, h.served)
	require.Equal(t, 2, h.c.Notified())
}

// Guards against a host that cuts a request off whose head is still coming as its time is over.
func TestHalfAHeadAtTheEndIsToldSo(t *testing.T) {
	h := newHost(t)
	half := h.caller()
	_, err := io.WriteString(half, text[:10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.c.InUse() == 1 }, patience, time.Millisecond)
	require.False(t, h.c.TryStop())
	require.Zero(t, h.c.Close(within(t, patience)))
	require.Equal(t, http.StatusRequestTimeout, half.status(t))
	require.Zero(t, h.served)
}

// Guards against a connection that comes after the end and is left without a word.
func TestConnectionAfterTheEndIsToldSo(t *testing.T) {
	h := newHost(t)
	h.c.endUnserved()
	late := h.caller()
	require.NoError(t, late.send())
	require.Equal(t, http.StatusRequestTimeout, late.status(t))
	require.Zero(t, h.c.Close(within(t, patience)))
	require.Zero(t, h.served)
	_, err := net.Dial("tcp", h.addr)
	require.Error(t, err, "nobody takes connections any more")
}

// Guards against connections that are accepted in the last moments before the listener closes, and are closed without a word.
func TestConnectionsAsTheListenerClosesAreToldSo(t *testing.T) {
	for range 20 {
		h := newHost(t)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				conn, err := net.Dial("tcp", h.addr)
				if err != nil {
					return // the listener has closed
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(patience))
				c := &caller{conn, bufio.NewReader(conn)}
				if c.send() != nil {
					return
				}
				if _, err := http.ReadResponse(c.r, nil); errors.Is(err, io.ErrUnexpectedEOF) {
					t.Error("accepted, and closed without a status") // a reset is of a connection that was not accepted
				}
			})
		}
		h.c.Close(within(t, patience))
		wg.Wait()
	}
}

// Guards against a request that comes as its idle connection is closed for a shorter limit, and is lost.
func TestRequestThatCrossesTheIdleLimitIsToldSo(t *testing.T) {
	h := newHost(t, lingers)
	c := h.keptCaller()
	h.c.Expire(time.Now().Add(time.Second), time.Minute)
	require.Zero(t, h.c.Notified(), "not yet")
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Equal(t, 1, h.c.Notified())
	require.NoError(t, c.send())
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	require.Equal(t, 1, h.served)
}

// Guards against a request that comes as the server itself closes an idle connection, and is lost.
func TestRequestThatCrossesTheServersIdleLimitIsToldSo(t *testing.T) {
	h := newHost(t, lingers, func(h *host) { h.server.IdleTimeout = 50 * time.Millisecond })
	c := h.caller()
	require.NoError(t, c.send())
	require.Equal(t, http.StatusOK, c.status(t))
	_, err := c.r.Peek(1) // its limit has passed
	require.NoError(t, err)
	require.NoError(t, c.send())
	c.requireReadOn(t)
	require.Equal(t, 1, h.served)
	require.Equal(t, 1, h.c.Notified())
}

// Guards against a caller who does not close its side, and would keep a host or an expired connection for good.
func TestCallerWhoStaysDoesNotKeepTheHost(t *testing.T) {
	h := newHost(t)
	h.keptCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Eventually(t, func() bool { return h.c.left() == 0 }, patience, time.Millisecond)
}

// Guards against a connection that is told twice, first by its idle limit and then by the end of its host.
func TestOneNoticeForEachConnection(t *testing.T) {
	h := newHost(t)
	c := h.keptCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	h.c.Close(within(t, patience))
	require.Equal(t, 1, h.c.Notified())
}

// Guards against an answer that is lost because its connection is reset: the caller was still sending what the host did not read.
func TestAnswerToAnUnreadBodyIsNotReset(t *testing.T) {
	h := newHost(t, lingers)
	c := h.caller()
	_, err := io.WriteString(c, "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
	require.NoError(t, err)
	_, err = c.r.Peek(1) // the host has answered
	require.NoError(t, err)
	c.requireReadOn(t)
}

// requireReadOn goes on sending on a connection that is closing: its last answer is not lost by that.
func (c *caller) requireReadOn(t *testing.T) {
	for range 20 {
		_, err := c.Write(make([]byte, 1000))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	_, err := c.r.ReadByte()
	require.Equal(t, io.EOF, err)
}

// Guards against a notice that is lost because its connection is reset: the caller has sent a request and goes on sending.
func TestNoticeIsNotReset(t *testing.T) {
	h := newHost(t, lingers)
	c := h.keptCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	_, err := c.r.Peek(1)
	require.NoError(t, err)
	require.NoError(t, c.send())
	c.requireReadOn(t)
}

// Guards against a request that was read together with the one before it, is told that it was not read, and is served all the same.
func TestRequestOnAClosingConnectionIsNotServed(t *testing.T) {
	c := New()
	served := 0
	h := c.gate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), http.NotFoundHandler())
	inner, other := net.Pipe()
	defer inner.Close()
	defer other.Close()
	k := c.add(inner)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, net.Conn(k)))
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, 1, served)
	c.connState(k, http.StateIdle)
	c.Expire(time.Now().Add(time.Hour), time.Minute)
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, 1, served)
}
