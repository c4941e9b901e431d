package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
)

// unconfiguredControl is the control thread of a host that has no configuration yet.
type unconfiguredControl struct {
	table      *routing.Table
	configured chan struct{}
}

func (s *unconfiguredControl) Submit(router.Submit, Caller) {}
func (s *unconfiguredControl) Post(router.Event)            {}
func (s *unconfiguredControl) Now() time.Duration           { return 0 }
func (s *unconfiguredControl) Draining() bool               { return false }
func (s *unconfiguredControl) NeedsDigests() bool           { return false }
func (s *unconfiguredControl) Configured() <-chan struct{}  { return s.configured }
func (s *unconfiguredControl) Table() *routing.Table {
	select {
	case <-s.configured:
		return s.table
	default:
		return nil
	}
}

// emptyCodec reads no information from request headers.
type emptyCodec struct{ HeaderCodec }

func (emptyCodec) Read(http.Header) RequestInfo      { return RequestInfo{} }
func (emptyCodec) RetryAfter(d time.Duration) string { return d.String() }

// A request arrives while its host is starting, a moment before the configuration does. The request must wait for it.
// Only if no configuration arrives is the caller told to retry, since nothing has run.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	s := &unconfiguredControl{table: routing.NewTable(&routing.Config{}), configured: make(chan struct{})}
	g := New(s, emptyCodec{}, nil, zerolog.Nop(), telemetry.NewMetrics())
	send := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/nowhere/", nil))
		return w
	}
	w := send()
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, notReadyRetryAfter.String(), w.Header().Get("Retry-After"))
	time.AfterFunc(10*time.Millisecond, func() { close(s.configured) })
	require.Equal(t, http.StatusNotFound, send().Code, "routed by the new configuration")
}
