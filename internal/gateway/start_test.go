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

// starting is the control thread of a host that knows no configuration yet.
type starting struct {
	table      *routing.Table
	configured chan struct{}
}

func (s *starting) Submit(router.Submit, Caller) {}
func (s *starting) Post(router.Event)            {}
func (s *starting) Now() time.Duration           { return 0 }
func (s *starting) Draining() bool               { return false }
func (s *starting) Suspects() bool               { return false }
func (s *starting) Configured() <-chan struct{}  { return s.configured }
func (s *starting) Table() *routing.Table {
	select {
	case <-s.configured:
		return s.table
	default:
		return nil
	}
}

// headerless is a wire whose calls say nothing.
type headerless struct{ HeaderCodec }

func (headerless) Read(http.Header) RequestInfo      { return RequestInfo{} }
func (headerless) RetryAfter(d time.Duration) string { return d.String() }

// A host starts and a caller's request is already there. A moment later the host has its configuration: the
// request goes by it. Only where none comes is the caller told to come back, since nothing has run.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	s := &starting{table: routing.NewTable(&routing.Config{}), configured: make(chan struct{})}
	g := New(s, headerless{}, nil, zerolog.Nop(), telemetry.NewMetrics())
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/nowhere/", nil))
		return w
	}
	w := ask()
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, notReadyBack.String(), w.Header().Get("Retry-After"))
	time.AfterFunc(10*time.Millisecond, func() { close(s.configured) })
	require.Equal(t, http.StatusNotFound, ask().Code, "judged by the configuration that came")
}
