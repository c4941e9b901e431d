package wire

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A host is paused after it has checked its permission to dispatch and before the request is written. It wakes
// seconds later, and an engine that has left meanwhile got a request. The permission is asked for once more as
// the first byte goes out; where it has ended nothing is written, which is provably not sent.
func TestEndedPermissionWritesNothing(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	client := &http.Client{Transport: NewTransport()}
	call := func(permitted func() bool) (sent bool, err error) {
		ctx := WithPermission(t.Context(), Permission{Ask: permitted})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("x"))
		require.NoError(t, err)
		resp, sent, err := Do(client, req)
		if err == nil {
			resp.Body.Close()
		}
		return sent, err
	}
	asked := 0
	sent, err := call(func() bool { asked++; return false })
	require.True(t, errors.Is(err, ErrNotPermitted), "%v", err)
	require.False(t, sent)
	require.Equal(t, 1, asked)
	require.Zero(t, calls.Load())
	for range 2 { // the second on the kept connection
		sent, err = call(func() bool { return true })
		require.NoError(t, err)
		require.True(t, sent)
	}
	sent, err = call(func() bool { return false })
	require.True(t, errors.Is(err, ErrNotPermitted), "%v", err)
	require.False(t, sent)
	require.EqualValues(t, 2, calls.Load())
}
