package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.out.Write(p)
}

// The program that collects a host's log hangs. Guards against delaying callers' responses by waiting for it: lines must be
// dropped and counted instead, and warnings must not be sampled.
func TestSlowReaderOfTheLogDelaysNoResponse(t *testing.T) {
	m := NewMetrics()
	w := &blockedWriter{unblock: make(chan struct{})}
	log, flush := NewLogger(w, "info", false, m)
	for range 3 * logBuffer {
		log.Info().Msg("A request.")
		log.Warn().Msg("A warning.")
	}
	close(w.unblock)
	flush()
	require.Positive(t, m.Counter("log.sampled").Count())
	require.Positive(t, m.Counter("log.dropped").Count())
	require.Positive(t, strings.Count(w.out.String(), "A warning."))
	require.LessOrEqual(t, strings.Count(w.out.String(), "A request."), sampleBurst)
}

// Guards against sampling that continues after its period: a host that was overloaded for a second would never again log a
// line for each request.
func TestLinesAreSampledByThePeriod(t *testing.T) {
	m := NewMetrics()
	var out bytes.Buffer
	log, flush := NewLogger(&out, "info", false, m)
	for range 3 {
		for range sampleBurst + 50 {
			log.Info().Msg("A request.")
		}
		clock = clock.Add(samplePeriod)
	}
	flush()
	require.Equal(t, int64(3*50), m.Counter("log.sampled").Count())
	require.Equal(t, 3*sampleBurst, strings.Count(out.String(), "A request.")+int(m.Counter("log.dropped").Count()))
}
