package wire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that ends by a panic because a server's answer has a status that no answer can have, which net/http does
// not write.
func TestStatusBelowTheValidOnesIsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	require.NoError(t, err)
	resp, sent, err := Do(&http.Client{Transport: transport}, req)
	if resp != nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	require.True(t, sent, "it may have run")
}
