package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a reader of logs that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	out  bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.out.Write(p)
}

// The program that collects a host's log hangs, while requests write a line each. A host that waited for it would hold
// its callers' answers back; it loses lines instead, counts them, and keeps warnings apart from what is sampled.
func TestSlowReaderOfTheLogDelaysNobody(t *testing.T) {
	m := NewMetrics()
	w := &stuck{free: make(chan struct{})}
	log, flush := NewLogger(w, "info", false, m)
	for range 3 * logBuffer {
		log.Info().Msg("A request.")
		log.Warn().Msg("A warning.")
	}
	close(w.free)
	flush()
	require.Positive(t, m.Counter("log.sampled").Count())
	require.Positive(t, m.Counter("log.dropped").Count())
	require.Positive(t, strings.Count(w.out.String(), "A warning."))
	require.LessOrEqual(t, strings.Count(w.out.String(), "A request."), burstLines)
}

// A host that was overloaded for a second would otherwise stay without a line for each request for good.
func TestLinesAreSampledByThePeriod(t *testing.T) {
	m := NewMetrics()
	var out bytes.Buffer
	log, flush := NewLogger(&out, "info", false, m)
	for range 3 {
		for range burstLines + 50 {
			log.Info().Msg("A request.")
		}
		clock = clock.Add(burstPeriod)
	}
	flush()
	require.Equal(t, int64(3*50), m.Counter("log.sampled").Count())
	require.Equal(t, 3*burstLines, strings.Count(out.String(), "A request.")+int(m.Counter("log.dropped").Count()))
}
