package wire

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host is paused after it has checked its permission to dispatch and before the request is written. It woke seconds
// later, and an engine that had left meanwhile got the request. The permission is checked again as the first byte is
// written; if it has ended, nothing is written and the request is provably not sent.
func TestEndedPermissionWritesNothing(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	client := &http.Client{Transport: newTransport(&net.Dialer{})} // without dialTimeout, which ends on a busy machine while the process waits to run
	call := func(permitted func() bool) (sent bool, err error) {
		ctx := WithPermission(t.Context(), Permission{Check: permitted})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("x"))
		require.NoError(t, err)
		resp, sent, err := Do(client, req)
		if err == nil {
			resp.Body.Close()
		}
		return sent, err
	}
	checks := 0
	sent, err := call(func() bool { checks++; return false })
	require.True(t, errors.Is(err, ErrNotPermitted), "%v", err)
	require.False(t, sent)
	require.Equal(t, 1, checks)
	require.Zero(t, calls.Load())
	for range 2 { // the second on the kept-alive connection
		sent, err = call(func() bool { return true })
		require.NoError(t, err)
		require.True(t, sent)
	}
	sent, err = call(func() bool { return false })
	require.True(t, errors.Is(err, ErrNotPermitted), "%v", err)
	require.False(t, sent)
	require.EqualValues(t, 2, calls.Load())
}

// Guards against a connection that is not opened in time and counts as one on which the request may have been sent.
func TestNothingIsSentIfTheDialTimesOut(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	ctx := WithPermission(t.Context(), Permission{Check: func() bool { return true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("x"))
	require.NoError(t, err)
	_, sent, err := Do(&http.Client{Transport: newTransport(&net.Dialer{Deadline: time.Unix(1, 0)})}, req)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.False(t, sent)
}

// A host writes a request to an engine and is paused. The engine ran it when the host woke up four seconds later,
// although the lease had been checked in time: net/http writes the head of a request separately from a body of unknown
// type, and the pause fell between the two writes. The log showed "Dispatch." with write_us=6115 written=true before
// the pause, and a run that started in the millisecond in which the host woke. The head and a body of usual size must
// go out in one write.
func TestRequestIsWrittenAtOnce(t *testing.T) {
	received := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- string(body)
	}))
	defer srv.Close()
	body := strings.Repeat("x", 8<<10)
	arrived := false
	ctx := WithPermission(t.Context(), Permission{Check: func() bool { return true }, OnResult: func(bool) {
		// The writer is blocked here, as in a pause.
		select {
		case got := <-received:
			arrived = got == body
		case <-time.After(2 * time.Second):
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader(body))
	require.NoError(t, err)
	resp, _, err := Do(&http.Client{Transport: NewTransport()}, req)
	require.NoError(t, err)
	resp.Body.Close()
	require.True(t, arrived, "only a part of the request was written")
}

// A longer body takes several writes, and the permission is checked before each: a server that has half a request when
// the host is paused must not get the rest.
func TestEndedPermissionStopsALongRequest(t *testing.T) {
	var begun atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			begun.Store(true)
		}
	}))
	defer srv.Close()
	checks := 0
	ctx := WithPermission(t.Context(), Permission{Check: func() bool { checks++; return checks == 1 }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", 1<<20)))
	require.NoError(t, err)
	_, sent, err := Do(&http.Client{Transport: NewTransport()}, req)
	require.Error(t, err)
	require.True(t, sent, "a part was written")
	require.Equal(t, 2, checks)
	srv.Close() // waits for the handler
	require.False(t, begun.Load())
}
