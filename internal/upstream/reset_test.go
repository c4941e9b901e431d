package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldWriterDialer makes connections whose writer, once it has got an error, is held until the test ends: what happens if the
// reader runs first.
type heldWriterDialer struct {
	failed, release chan struct{}
}

type heldWriterConn struct {
	*net.TCPConn
	d *heldWriterDialer
}

func (c heldWriterConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.d.failed)
		<-c.d.release
	}
	return n, err
}

func (d *heldWriterDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return heldWriterConn{c.(*net.TCPConn), d}, nil
}

// Dial implements RelayDialer.
func (d *heldWriterDialer) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

// serveOnce accepts one connection, reads the head of a request and runs serve.
func serveOnce(t *testing.T, serve func(c *net.TCPConn, body io.Reader)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			serve(c.(*net.TCPConn), r.Body)
		}
	}()
	return l.Addr().String()
}

// unframedHead begins an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

func longRequest(via string) *Request {
	body := strings.Repeat("0123456789", 2<<20)
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body), Length: int64(len(body)), Via: via,
		Deadline: time.Now().Add(time.Minute), IsOwn: func(http.Header) bool { return true }}
}

// Guards against half an answer that looks complete: the server resets the connection while the body is written to it, and the writer
// of the body gets the only report of that.
func TestResetWhileTheBodyIsWrittenEndsNoAnswer(t *testing.T) {
	for _, via := range []string{"", "relay"} {
		t.Run("via "+via, func(t *testing.T) {
			reset := make(chan struct{})
			addr := serveOnce(t, func(c *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(c, unframedHead+"half")
				<-reset
				_ = c.SetLinger(0)
			})
			d := &heldWriterDialer{failed: make(chan struct{}), release: make(chan struct{})}
			pool := NewPool(func() {})
			pool.UseDialer(d)
			pool.UseRelays(d)
			resp, _, err := pool.Do(t.Context(), addr, longRequest(via))
			require.NoError(t, err)
			close(reset)
			<-d.failed
			time.AfterFunc(writerTimeout/2, func() { close(d.release) })
			body, err := io.ReadAll(resp)
			resp.Close()
			require.Error(t, err)
			require.Equal(t, "half", string(body))
			require.Equal(t, CauseReset, CauseOf(err), "%v", err)
		})
	}
}

// Guards against whole answers that look broken: the server closes in order, with or without having read the body.
func TestAnswersThatEndInOrderAreWhole(t *testing.T) {
	for name, readsBody := range map[string]bool{"body read": true, "body not read": false} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			addr := serveOnce(t, func(c *net.TCPConn, body io.Reader) {
				_, _ = io.WriteString(c, unframedHead+"first, ")
				if readsBody {
					_, _ = io.Copy(io.Discard, body)
				}
				_, _ = io.WriteString(c, "second")
				_ = c.CloseWrite()
				<-done
			})
			resp, _, err := NewPool(func() {}).Do(t.Context(), addr, longRequest(""))
			require.NoError(t, err)
			body, err := io.ReadAll(resp)
			require.NoError(t, err)
			require.Equal(t, "first, second", string(body))
			resp.Close()
			close(done)
		})
	}
}
