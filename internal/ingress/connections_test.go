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

// testTimeout is far longer than expected, so that no result depends on the machine's speed.
const testTimeout = 20 * time.Second

// timeoutContext returns a context that ends after d.
func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a host that ends with a request in progress, and against a request that is served after the host has
// ended.
func TestHostEndsOnlyBetweenRequests(t *testing.T) {
	c := New()
	served := 0
	h := c.admission(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }),
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	send := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	inner, other := net.Pipe()
	defer inner.Close()
	defer other.Close()
	one := c.add(inner)
	c.onStateChange(one, http.StateNew)
	c.onStateChange(one, http.StateActive)
	require.False(t, c.TryStop())
	require.Equal(t, http.StatusOK, send())
	c.onStateChange(one, http.StateIdle)
	require.Zero(t, c.InUse())
	require.True(t, c.TryStop())
	require.Equal(t, http.StatusServiceUnavailable, send())
	require.Equal(t, 1, served)
}

// Guards against a host that ends when only the first byte of a request has arrived.
func TestFirstByteOfARequestKeepsTheHost(t *testing.T) {
	c := New()
	inner, caller := net.Pipe()
	defer caller.Close()
	k := c.add(inner)
	c.onStateChange(k, http.StateNew)
	require.Zero(t, c.InUse())
	go func() { _, _ = caller.Write([]byte("P")) }()
	n, err := k.Read(make([]byte, 10))
	require.NoError(t, err)
	require.Equal(t, 1, n)
	require.Equal(t, 1, c.InUse())
	require.False(t, c.TryStop())
	c.onStateChange(k, http.StateActive)
	require.Equal(t, 1, c.InUse())
	c.onStateChange(k, http.StateClosed)
	require.Zero(t, c.InUse())
	require.True(t, c.TryStop())
}

// Guards against a host that ends between a new connection and the request that it was opened for.
func TestNewConnectionKeepsTheHostForAMoment(t *testing.T) {
	c := New()
	inner, caller := net.Pipe()
	defer inner.Close()
	defer caller.Close()
	k := c.add(inner)
	c.onStateChange(k, http.StateNew)
	require.False(t, c.tryStop(k.acceptedAt))
	require.True(t, c.tryStop(k.acceptedAt.Add(firstRequestTimeout)), "a caller that sends nothing does not delay the end")
	c.onStateChange(k, http.StateIdle)
	require.True(t, c.tryStop(k.acceptedAt), "nor does one that has been answered")
}

// Guards against new connections that keep arriving and delay the end of a host forever.
func TestNewConnectionsKeepTheHostForABoundedTime(t *testing.T) {
	c := New()
	began := time.Now()
	now := began
	accept := func() bool {
		inner, caller := net.Pipe()
		t.Cleanup(func() { _, _ = inner.Close(), caller.Close() })
		c.add(inner).acceptedAt = now
		return true
	}
	for accept() && !c.tryStop(now) {
		now = now.Add(firstRequestTimeout / 2)
		require.Less(t, now.Sub(began), time.Minute)
	}
	require.Positive(t, now.Sub(began))
}

// Guards against a host that accepts connections until its time is up, and then has no time left to send them the
// notice.
func TestListenerClosesBeforeTheLastConnection(t *testing.T) {
	h := newHost(t, longLinger)
	stays := h.idleCaller()
	done := make(chan int)
	go func() { done <- h.c.Close(timeoutContext(t, testTimeout)) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", h.addr)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond)
	require.NoError(t, stays.Close())
	require.Zero(t, <-done)
}

// gatedConn blocks reads until the gate opens, like a host without processor time.
type gatedConn struct {
	*net.TCPConn
	gate func() <-chan struct{}
}

// Read implements net.Conn.
func (h gatedConn) Read(p []byte) (int, error) {
	<-h.gate()
	return h.TCPConn.Read(p)
}

type gatedListener struct {
	net.Listener
	gate func() <-chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn.(*net.TCPConn), l.gate}, nil
}

// testHost is an http.Server whose reads can be blocked.
type testHost struct {
	t      *testing.T
	c      *Connections
	addr   string
	mu     sync.Mutex
	gate   chan struct{}
	server *http.Server
	served int
}

// longLinger makes a host wait for its callers as long as a test may take.
func longLinger(h *testHost) { h.c.linger = testTimeout }

func newHost(t *testing.T, options ...func(*testHost)) *testHost {
	h := &testHost{t: t, c: New(), gate: make(chan struct{}), server: &http.Server{}}
	for _, set := range options {
		set(h)
	}
	close(h.gate)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.addr = l.Addr().String()
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			r.Body = http.MaxBytesReader(w, r.Body, 1<<20) // hides from net/http that the body was not read
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
	go func() { _ = srv.Serve(h.c.Listener(gatedListener{l, h.readGate})) }()
	t.Cleanup(func() { h.allowReads(); _ = srv.Close() })
	return h
}

func (h *testHost) readGate() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate
}

func (h *testHost) blockReads() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate = make(chan struct{})
}

func (h *testHost) allowReads() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.gate:
	default:
		close(h.gate)
	}
}

type testCaller struct {
	net.Conn
	r *bufio.Reader
}

func (h *testHost) caller() *testCaller {
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testCaller{conn, bufio.NewReader(conn)}
}

// idleCaller returns a caller that has had an answer on its connection, which is now idle.
func (h *testHost) idleCaller() *testCaller {
	c := h.caller()
	require.NoError(h.t, c.send())
	require.Equal(h.t, http.StatusOK, c.status(h.t))
	require.Eventually(h.t, func() bool { return h.c.InUse() == 0 }, testTimeout, time.Millisecond)
	return c
}

const requestText = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

func (c *testCaller) send() error {
	_, err := io.WriteString(c, requestText)
	return err
}

// status returns the status of the next answer, which must be complete.
func (c *testCaller) status(t *testing.T) int {
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// Guards against a host that closes a connection with an unread request on it: its caller would get a reset, and not
// know whether the request has run.
func TestRequestThatIsUnreadAtTheEndGetsTheNotice(t *testing.T) {
	h := newHost(t)
	kept := h.idleCaller()
	h.blockReads()
	unread := h.caller()
	require.NoError(t, unread.send())
	require.Eventually(t, func() bool { return h.c.Open() == 2 }, testTimeout, time.Millisecond)
	require.True(t, h.c.tryStop(time.Now().Add(firstRequestTimeout)))
	time.AfterFunc(50*time.Millisecond, h.allowReads)
	require.Zero(t, h.c.Close(timeoutContext(t, testTimeout)))
	require.Equal(t, http.StatusRequestTimeout, unread.status(t))
	require.Equal(t, http.StatusRequestTimeout, kept.status(t), "the caller without a request gets the notice too")
	require.Equal(t, 1, h.served)
	require.Equal(t, 2, h.c.Notified())
}

// Guards against a host that cuts off a request whose head is still arriving when its time is up.
func TestHalfAHeadAtTheEndGetsTheNotice(t *testing.T) {
	h := newHost(t)
	half := h.caller()
	_, err := io.WriteString(half, requestText[:10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.c.InUse() == 1 }, testTimeout, time.Millisecond)
	require.False(t, h.c.TryStop())
	require.Zero(t, h.c.Close(timeoutContext(t, testTimeout)))
	require.Equal(t, http.StatusRequestTimeout, half.status(t))
	require.Zero(t, h.served)
}

// Guards against a connection that arrives after the end of the host and is closed without the notice.
func TestConnectionAfterTheEndGetsTheNotice(t *testing.T) {
	h := newHost(t)
	h.c.closeUnserved()
	late := h.caller()
	require.NoError(t, late.send())
	require.Equal(t, http.StatusRequestTimeout, late.status(t))
	require.Zero(t, h.c.Close(timeoutContext(t, testTimeout)))
	require.Zero(t, h.served)
	_, err := net.Dial("tcp", h.addr)
	require.Error(t, err, "connections are no longer accepted")
}

// Guards against connections that are accepted in the last moments before the listener closes, and are closed without
// the notice.
func TestConnectionsAsTheListenerClosesGetTheNotice(t *testing.T) {
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
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				c := &testCaller{conn, bufio.NewReader(conn)}
				if c.send() != nil {
					return
				}
				if _, err := http.ReadResponse(c.r, nil); errors.Is(err, io.ErrUnexpectedEOF) {
					t.Error("accepted, and closed without a status") // a connection that was not accepted gets a reset instead
				}
			})
		}
		h.c.Close(timeoutContext(t, testTimeout))
		wg.Wait()
	}
}

// Guards against the loss of a request that arrives while its idle connection is closed for a lowered limit.
func TestRequestThatCrossesTheIdleLimitGetsTheNotice(t *testing.T) {
	h := newHost(t, longLinger)
	c := h.idleCaller()
	h.c.Expire(time.Now().Add(time.Second), time.Minute)
	require.Zero(t, h.c.Notified(), "not yet")
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Equal(t, 1, h.c.Notified())
	require.NoError(t, c.send())
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	require.Equal(t, 1, h.served)
}

// Guards against the loss of a request that arrives while http.Server itself closes an idle connection.
func TestRequestThatCrossesTheServersIdleLimitGetsTheNotice(t *testing.T) {
	h := newHost(t, longLinger, func(h *testHost) { h.server.IdleTimeout = 50 * time.Millisecond })
	c := h.caller()
	require.NoError(t, c.send())
	require.Equal(t, http.StatusOK, c.status(t))
	_, err := c.r.Peek(1) // its limit has passed
	require.NoError(t, err)
	require.NoError(t, c.send())
	c.requireNoReset(t)
	require.Equal(t, 1, h.served)
	require.Equal(t, 1, h.c.Notified())
}

// Guards against a caller that never closes its side, and so would keep a host or an expired connection open forever.
func TestCallerWhoStaysDoesNotKeepTheHost(t *testing.T) {
	h := newHost(t)
	h.idleCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Eventually(t, func() bool { return h.c.Open() == 0 }, testTimeout, time.Millisecond)
}

// Guards against a connection that gets the notice twice, first for its idle limit and then at the end of its host.
func TestOneNoticeForEachConnection(t *testing.T) {
	h := newHost(t)
	c := h.idleCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	h.c.Close(timeoutContext(t, testTimeout))
	require.Equal(t, 1, h.c.Notified())
}

// Guards against the loss of an answer because its connection is reset while the caller is still sending what the host
// did not read.
func TestAnswerToAnUnreadBodyIsNotReset(t *testing.T) {
	h := newHost(t, longLinger)
	c := h.caller()
	_, err := io.WriteString(c, "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
	require.NoError(t, err)
	_, err = c.r.Peek(1) // wait until the host has answered
	require.NoError(t, err)
	c.requireNoReset(t)
}

// requireNoReset keeps sending on a closing connection: the last answer must not be lost by that.
func (c *testCaller) requireNoReset(t *testing.T) {
	for range 20 {
		_, err := c.Write(make([]byte, 1000))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	_, err := c.r.ReadByte()
	require.Equal(t, io.EOF, err)
}

// Guards against the loss of the notice because its connection is reset while the caller has sent a request and keeps
// sending.
func TestNoticeIsNotReset(t *testing.T) {
	h := newHost(t, longLinger)
	c := h.idleCaller()
	h.c.Expire(time.Now().Add(time.Hour), time.Minute)
	_, err := c.r.Peek(1)
	require.NoError(t, err)
	require.NoError(t, c.send())
	c.requireNoReset(t)
}

// Guards against a request that was read together with the one before it, and is served although its caller got the
// notice that it was not read.
func TestRequestOnAClosingConnectionIsNotServed(t *testing.T) {
	c := New()
	served := 0
	h := c.admission(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), http.NotFoundHandler())
	inner, other := net.Pipe()
	defer inner.Close()
	defer other.Close()
	k := c.add(inner)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, net.Conn(k)))
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, 1, served)
	c.onStateChange(k, http.StateIdle)
	c.Expire(time.Now().Add(time.Hour), time.Minute)
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, 1, served)
}
