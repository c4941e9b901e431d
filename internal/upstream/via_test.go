package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingRelay connects directly and counts the connections by relay.
type countingRelay map[string]int

func (c countingRelay) Dial(ctx context.Context, relay, addr string) (net.Conn, error) {
	c[relay]++
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// Guards against calls that go on over an idle connection of another way: while a host is cut off its direct connections
// may be dead, and after that a relay may be. Kept connections of all ways together stay within the limit.
func TestIdleConnectionsAreUsedOnTheirOwnWayOnly(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	addr := srv.Listener.Addr().String()
	dialed := 0
	relays := countingRelay{}
	pool := NewPool(func() { dialed++ })
	pool.UseRelays(relays)
	call := func(via string, maxIdle int) {
		resp, _, err := pool.Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Via: via,
			Deadline: time.Now().Add(time.Minute), MaxIdle: maxIdle, IsOwn: func(http.Header) bool { return true }})
		require.NoError(t, err)
		_, err = resp.Read(make([]byte, 1))
		require.Error(t, err)
		resp.Close()
	}
	for range 2 {
		for _, via := range []string{"", "a", "b"} {
			call(via, 3)
		}
	}
	require.Equal(t, countingRelay{"a": 1, "b": 1}, relays)
	require.Equal(t, 3, dialed)
	call("c", 3)
	require.Len(t, pool.idle[addr], 3)
	call("c", 3)
	require.Equal(t, 1, relays["c"], "kept in place of one of another way")
	pool.Expire(time.Now().Add(maxRelayedIdle + time.Millisecond))
	for _, c := range pool.idle[addr] {
		require.Empty(t, c.via)
	}
	pool.Close()
	require.Empty(t, pool.idle)
}
