package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heldWriterConn is a connection whose writer, once it has got an error, is held until release is closed.
type heldWriterConn struct {
	*net.TCPConn
	failed, release chan struct{}
}

func (c heldWriterConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.release
	}
	return n, err
}

// Guards against half an answer that looks complete: the server resets the connection while the body is written to it, and the writer
// of the body gets the only report of that.
func TestResetWhileTheBodyIsWrittenEndsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	reset := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			<-reset
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	failed, release := make(chan struct{}), make(chan struct{})
	transport := NewTransport()
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: heldWriterConn{c.(*net.TCPConn), failed, release}}, nil
	}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("b", 20<<20)))
	require.NoError(t, err)
	resp, _, err := Do(&http.Client{Transport: transport}, req)
	require.NoError(t, err)
	defer resp.Body.Close()
	close(reset)
	<-failed
	defer close(release)
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, "half", string(body))
}
