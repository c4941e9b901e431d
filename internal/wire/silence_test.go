package wire

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ending a call to a sound engine that takes nothing for some seconds, so that its receive window closes,
// and then goes on.
func TestEngineThatPausesForSecondsAnswers(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "whole")
	}))
	defer srv.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("b", 4<<20)))
	require.NoError(t, err)
	resp, _, err := Do(&http.Client{Transport: NewTransport()}, req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}
