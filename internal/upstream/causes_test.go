package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against log lines of failed requests that do not tell a refused connection from one that timed out or was reset.
func TestCausesAreToldApart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		for _, reset := range []bool{true, false} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	pool := NewPool(func() {})
	call := func(addr string) (sent bool, err error) {
		_, sent, err = pool.Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
			Deadline: time.Now().Add(time.Minute), IsOwn: func(http.Header) bool { return true }})
		return sent, err
	}
	for _, want := range []Cause{CauseReset, CauseClosed} {
		sent, err := call(addr)
		require.True(t, sent)
		require.Equal(t, want, CauseOf(err), "%v", err)
	}
	<-served
	require.NoError(t, l.Close())
	sent, err := call(addr)
	require.False(t, sent)
	require.Equal(t, CauseRefused, CauseOf(err), "%v", err)
	require.ErrorContains(t, err, "refused")
}
