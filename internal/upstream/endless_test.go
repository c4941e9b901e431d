package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// endlessBytes is what an endless server sends before it gives up.
	endlessBytes = 64 << 20
	// maxReadPerAnswer is what a host may read of one such answer: a host's memory of 64 MB has to hold 32 at a time.
	maxReadPerAnswer = 64 << 20 / 32
)

// countingDialer counts the bytes that are read from its connections.
type countingDialer struct{ read atomic.Int64 }

type countingConn struct {
	*net.TCPConn
	d *countingDialer
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.d.read.Add(int64(n))
	return n, err
}

func (d *countingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{c.(*net.TCPConn), d}, nil
}

// endlessServer answers each request with begin and then repeats more.
func endlessServer(t *testing.T, begin, more string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if _, err := io.WriteString(c, begin); err != nil {
					return
				}
				chunk := []byte(strings.Repeat(more, 1+(32<<10)/len(more)))
				for sent := 0; sent < endlessBytes; sent += len(chunk) {
					if _, err := c.Write(chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a backend server in trouble that fills a host's memory, or keeps it reading, with bytes without end before the
// body of an answer.
func TestBytesWithoutEndBeforeTheBody(t *testing.T) {
	for _, c := range []struct{ name, begin, more string }{
		{"no answer", "", "\x00\x01\x02\x03"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"one header", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{"answer to another request", "HTTP/1.1 200 OK\r\nOther: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &countingDialer{}
			pool := NewPool(func() {})
			pool.UseDialer(d)
			resp, sent, err := pool.Do(t.Context(), endlessServer(t, c.begin, c.more), &Request{Method: http.MethodGet, Target: "/x", Host: "h",
				Header: http.Header{}, Deadline: time.Now().Add(time.Minute), IsOwn: func(h http.Header) bool { return h.Get("Other") == "" }})
			if err == nil {
				resp.Close()
			}
			require.Error(t, err)
			require.True(t, sent, "it may have run")
			require.LessOrEqual(t, d.read.Load(), int64(maxReadPerAnswer))
		})
	}
}
