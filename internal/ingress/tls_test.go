package ingress

import (
	"bufio"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection whose TLS handshake never completes and that keeps its host waiting to write the notice,
// and against one that is closed without the notice.
func TestNoticeOverTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := New("X-Said: yes")
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	c.Guard(srv, http.NotFoundHandler())
	go func() {
		_ = srv.Serve(c.Listener(tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates})))
	}()
	defer srv.Close()
	stalled, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer stalled.Close()
	conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	kept := &testCaller{conn, bufio.NewReader(conn)}
	require.NoError(t, kept.send())
	require.Equal(t, http.StatusOK, kept.status(t))
	require.Eventually(t, func() bool { return c.Open() == 2 && c.InUse() == 0 }, testTimeout, time.Millisecond)
	require.True(t, c.tryStop(time.Now().Add(firstRequestTimeout)))
	require.Zero(t, c.Close(timeoutContext(t, testTimeout)))
	require.Zero(t, c.Open())
	resp, err := http.ReadResponse(kept.r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Equal(t, "yes", resp.Header.Get("X-Said"))
}
