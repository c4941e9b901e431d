package edge

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/confstate"
	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/telemetry"
)

// fixedClockControl is a control thread with a fixed clock.
type fixedClockControl struct{ now time.Duration }

func (fixedClockControl) Submit(core.Submit, chan<- core.Effect) {}
func (fixedClockControl) Post(core.Event)                        {}
func (c fixedClockControl) Now() time.Duration                   { return c.now }
func (fixedClockControl) Config() *confstate.Snapshot            { return confstate.New().Snapshot() }

// countingAttempt counts the calls that reach a backend server.
type countingAttempt struct{ calls int }

func (a *countingAttempt) run(context.Context, core.Dispatch) core.DispatchEnded {
	a.calls++
	return core.DispatchEnded{Outcome: core.Done}
}
func (*countingAttempt) suspend(context.Context, string) {}
func (*countingAttempt) finish(*fault.Error)             {}

// A process is paused between the reducer's decision and the write to the backend server. When it wakes, its lease has
// ended: the slot may have been given away, or the server may have left. It has to notice that on its own clock before
// it writes.
func TestPauseBetweenDecisionAndWrite(t *testing.T) {
	tracing, err := telemetry.NewTracing(context.Background(), telemetry.TraceOptions{Exporter: "none"})
	require.NoError(t, err)
	for _, c := range []struct {
		now     time.Duration
		calls   int
		outcome core.Outcome
	}{{time.Second, 1, core.Done}, {5 * time.Second, 0, core.NotSent}} {
		s := New(Options{}, fixedClockControl{c.now}, tracing, telemetry.NewMetrics(), zerolog.Nop())
		a := &countingAttempt{}
		ended := make(chan core.DispatchEnded, 1)
		s.dispatch(context.Background(), a, core.Dispatch{ID: "r", Attempt: 3, ValidUntil: 2 * time.Second}, ended)
		e := <-ended
		require.Equal(t, c.calls, a.calls)
		require.Equal(t, c.outcome, e.Outcome)
		require.EqualValues(t, 3, e.Attempt)
	}
}
