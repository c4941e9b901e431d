package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pausingServer answers each request after a pause in which its receive window is closed: it reads the head, and the
// body only afterwards.
func pausingServer(t *testing.T, pause time.Duration) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePausing(c, pause)
		}
	}()
	return l.Addr().String()
}

func servePausing(c net.Conn, pause time.Duration) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(pause)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"); err != nil {
			return
		}
	}
}

// largeBody is more than a receive window that is not read.
var largeBody = bytes.Repeat([]byte("b"), 4<<20)

func postLarge(pool *Pool, addr string, deadline time.Time) (string, error) {
	resp, _, err := pool.Do(context.Background(), addr, &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
		Body: largeBody, Length: int64(len(largeBody)), Deadline: deadline, MaxIdle: 1, IsOwn: func(http.Header) bool { return true }})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against ending an exchange with a sound server that takes nothing for seconds and then goes on.
func TestServerThatPausesForSecondsAnswers(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			body, err := postLarge(NewPool(func() {}), pausingServer(t, pause), time.Now().Add(time.Minute))
			require.NoError(t, err)
			require.Equal(t, "whole", body)
		})
	}
}

// Guards against a log line that blames the server for an exchange that the silence limit has ended: the kernel reports
// the time-out only once, to the reader or to the writer of the body.
func TestSilenceIsTheCauseWhoeverSeesIt(t *testing.T) {
	addr := pausingServer(t, 4*time.Second)
	for range 4 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			_, sent, err := NewPool(func() {}).Do(context.Background(), addr, &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
				Body: largeBody, Length: int64(len(largeBody)), Deadline: time.Now().Add(time.Minute), MaxSilence: time.Second, IsOwn: func(http.Header) bool { return true }})
			require.True(t, sent)
			require.Equal(t, CauseSilence, CauseOf(err), "%v", err)
			require.GreaterOrEqual(t, SilenceOf(err), time.Second)
		})
	}
}

// silenceLimitOf returns a connection's TCP_USER_TIMEOUT.
func silenceLimitOf(t *testing.T, c *conn) time.Duration {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var ms int
	require.NoError(t, raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	require.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}

// Guards against a connection that keeps the limit of an earlier use: an exchange that ends too soon, an idle connection
// to a vanished server that is used again, or calls at a server that is gone which hold their callers to the deadline.
func TestSilenceLimitFollowsTheUseOfAConnection(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
	defer srv.Close()
	pool := NewPool(func() {})
	addr := srv.Listener.Addr().String()
	call := func(server string, left, maxSilence time.Duration) *Response {
		resp, _, err := pool.Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
			Server: server, Deadline: time.Now().Add(left), MaxSilence: maxSilence, MaxIdle: 4, IsOwn: func(http.Header) bool { return true }})
		require.NoError(t, err)
		return resp
	}
	whole := call("a", time.Minute, 0)
	require.Greater(t, silenceLimitOf(t, whole.call.conn), 50*time.Second)
	stream := call("a", time.Minute, 8*time.Second)
	require.Equal(t, 8*time.Second, silenceLimitOf(t, stream.call.conn))
	ending := call("a", 2*time.Second, 0)
	atDeadline := silenceLimitOf(t, ending.call.conn)
	require.Greater(t, atDeadline, 2*time.Second, "the deadline ends it first")
	next := call("b", time.Minute, 0)

	pool.ServerGone("a")
	require.Equal(t, goneSilence, silenceLimitOf(t, whole.call.conn))
	require.Equal(t, goneSilence, silenceLimitOf(t, stream.call.conn))
	require.Equal(t, atDeadline, silenceLimitOf(t, ending.call.conn), "must not be extended")
	require.Greater(t, silenceLimitOf(t, next.call.conn), 50*time.Second, "another server at the same address")

	for _, resp := range []*Response{whole, stream, ending, next} {
		c := resp.call.conn
		_, err := io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close()
		require.Equal(t, idleSilence, silenceLimitOf(t, c))
	}
	require.Empty(t, pool.calls)
	again := call("a", time.Minute, 0)
	require.Greater(t, silenceLimitOf(t, again.call.conn), 50*time.Second)
	again.Close()
}
