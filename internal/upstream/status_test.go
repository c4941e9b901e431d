package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer whose status no answer can have, which net/http does not write.
func TestStatusBelowTheValidOnesIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		addr := serveOnce(t, func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		})
		_, sent, err := NewPool(func() {}).Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h",
			Header: http.Header{}, Deadline: time.Now().Add(time.Minute), IsOwn: func(http.Header) bool { return true }})
		require.Error(t, err, status)
		require.True(t, sent, "it may have run")
	}
}
