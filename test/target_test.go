package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// Guards against a plain service that runs another path than its caller has named, because the target of a request is decoded, cleaned
// or answered with a redirect.
func TestPlainServicesGetTheTargetUnchanged(t *testing.T) {
	b := newTestbed(t, "a1")
	var got atomic.Value
	addr, stop := fleet.Serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got.Store(r.RequestURI) }))
	t.Cleanup(stop)
	b.platform.PublishRaw(fleet.Backend("git-1", "git", "zone-a", addr, 16, "active"))
	b.start()
	for _, target := range []string{"/", "/a", "/a%2Fb", "/%2e%2e/a", "/a/../b/./c", "/a//b", "//a", "//", "//a?b=/c//d", "/?", "/a?", "/a?b=%2F&c=/d", "/a|b", "/a%7Cb", "/ä", "/a+b;c=d"} {
		got.Store("")
		conn, err := net.Dial("tcp", b.addr("a1"))
		require.NoError(t, err)
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		fmt.Fprintf(conn, "GET /services/git%s HTTP/1.1\r\nHost: fireflyshift\r\nAuthorization: Bearer %s\r\n\r\n", target, workspaceKey)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, conn.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, target)
		require.Equal(t, target, got.Load(), "of the service")
	}
}
