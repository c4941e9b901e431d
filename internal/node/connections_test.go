package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that ends with a request in hand, and against one that is sent on after the end.
func TestHostEndsOnlyBetweenRequests(t *testing.T) {
	c := newConnections()
	served := 0
	h := c.gate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }),
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	ask := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	c.note(one, http.StateNew)
	c.note(one, http.StateActive)
	require.False(t, c.end())
	require.Equal(t, http.StatusOK, ask())
	c.note(one, http.StateIdle)
	require.Zero(t, c.used())
	require.True(t, c.end())
	require.Equal(t, http.StatusServiceUnavailable, ask())
	require.Equal(t, 1, served)
}
