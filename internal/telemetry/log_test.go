package telemetry

import (
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// waitTimeout is far above the expected times, so that no result depends on the speed of the machine.
const waitTimeout = 20 * time.Second

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

// countingWriter counts lines. Each write takes at least delay.
type countingWriter struct {
	delay time.Duration
	lines atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	time.Sleep(w.delay)
	w.lines.Add(int64(bytes.Count(p, []byte("\n"))))
	return len(p), nil
}

// logFrom logs count warnings, which are not sampled, from each of the given number of goroutines. It returns when all have ended.
func logFrom(log zerolog.Logger, goroutines, count int) {
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range count {
				log.Warn().Msg("A warning.")
			}
		})
	}
	wg.Wait()
}

// returnsInTime calls f and reports whether it returns within waitTimeout.
func returnsInTime(f func() error) bool {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		_ = f()
	}()
	select {
	case <-returned:
		return true
	case <-time.After(waitTimeout):
		return false
	}
}

// requireAllLines checks that each logged line was either written or counted as dropped. A flush that reaches its limit leaves one
// write in progress, which it awaits.
func requireAllLines(t *testing.T, logged int64, w *countingWriter, m Metrics) {
	t.Helper()
	sum := func() int64 { return w.lines.Load() + m.Counter("log.dropped").Count() }
	for until := time.Now().Add(waitTimeout); sum() != logged && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, logged, sum())
}

// Guards against lines that are neither written nor counted, as they are logged while the log is flushed, or after that.
func TestLinesLoggedThroughAFlushAreWrittenOrCounted(t *testing.T) {
	for _, goroutines := range []int{1, 8, 64} {
		for _, delay := range []time.Duration{0, 10 * time.Microsecond} {
			t.Run(fmt.Sprintf("%d goroutines, a write takes %s", goroutines, delay), func(t *testing.T) {
				m := NewMetrics()
				w := &countingWriter{delay: delay}
				log, flush := NewLogger(w, "info", true, m)
				var logged atomic.Int64
				var wg sync.WaitGroup
				flushed := make(chan struct{})
				for range goroutines {
					wg.Go(func() {
						for ended := false; !ended; {
							select {
							case <-flushed:
								ended = true // after one more line
							default:
							}
							logged.Add(1)
							log.Warn().Msg("A warning.")
						}
					})
				}
				for logged.Load() < 2*logBuffer {
					runtime.Gosched()
				}
				returned := returnsInTime(flush)
				close(flushed)
				wg.Wait()
				require.True(t, returned, "the flush does not return")
				requireAllLines(t, logged.Load(), w, m)
			})
		}
	}
}

// Guards against a flush that takes the queue for empty although lines were logged before it: a stopping host would lose its last lines.
func TestFlushWritesAllLinesLoggedBefore(t *testing.T) {
	const loggers, lines = 400, 30
	// More threads than processors, so that the kernel suspends some between any two steps.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8 * runtime.NumCPU()))
	var wg sync.WaitGroup
	for range 8 * runtime.NumCPU() {
		wg.Go(func() {
			for range loggers {
				m := NewMetrics()
				w := &countingWriter{}
				log, flush := NewLogger(w, "info", true, m)
				logFrom(log, 1, lines)
				flush()
				if written, dropped := w.lines.Load(), m.Counter("log.dropped").Count(); written != lines || dropped != 0 {
					t.Errorf("%d of %d lines written, %d dropped", written, lines, dropped)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a line that is not written until the next one is logged: on a quiet host it would be missing for long.
func TestLinesAreWrittenWithoutAFollowingOne(t *testing.T) {
	const loggers, lines = 100, 30
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8 * runtime.NumCPU()))
	var wg sync.WaitGroup
	for range 8 * runtime.NumCPU() {
		wg.Go(func() {
			for range loggers {
				w := &countingWriter{}
				log, flush := NewLogger(w, "info", true, NewMetrics())
				logFrom(log, 1, lines)
				for until := time.Now().Add(waitTimeout); w.lines.Load() < lines && time.Now().Before(until); {
					time.Sleep(100 * time.Microsecond)
				}
				written := w.lines.Load()
				flush()
				if written != lines {
					t.Errorf("%d of %d lines written", written, lines)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against counting a line twice, or not at all, when a full queue drops lines of many goroutines, and against messages of
// libraries that bypass the log.
func TestDroppedLinesAreCountedOnce(t *testing.T) {
	var library bytes.Buffer
	stdlog.SetOutput(&library)
	defer stdlog.SetOutput(os.Stderr)
	for _, goroutines := range []int{1, 64} {
		m := NewMetrics()
		w := &countingWriter{delay: 50 * time.Microsecond}
		log, flush := NewLogger(w, "info", true, m)
		logFrom(log, goroutines, 100_000/goroutines)
		flush()
		require.Positive(t, m.Counter("log.dropped").Count())
		requireAllLines(t, int64(100_000/goroutines*goroutines), w, m)
	}
	require.Empty(t, library.String())
}

// failingWriter fails each write.
type failingWriter struct{}

// Write implements io.Writer.
func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against lines that count as written although the collector has ended.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	const lines = 100
	m := NewMetrics()
	log, flush := NewLogger(failingWriter{}, "info", true, m)
	logFrom(log, 1, lines)
	flush()
	require.Equal(t, int64(lines), m.Counter("log.dropped").Count())
}

// Guards against a stopping host that waits for a hanging collector of its log until it is killed.
func TestFlushReturnsWhileTheCollectorHangs(t *testing.T) {
	for _, lines := range []int{1, 3 * logBuffer} {
		m := NewMetrics()
		w := &blockedWriter{unblock: make(chan struct{})}
		log, flush := NewLogger(w, "info", true, m)
		logFrom(log, 1, lines)
		require.True(t, returnsInTime(flush), "the flush does not return")
		require.Equal(t, int64(lines), m.Counter("log.dropped").Count())
		log.Warn().Msg("A warning.")
		require.Equal(t, int64(lines+1), m.Counter("log.dropped").Count())
		close(w.unblock)
		require.Eventually(t, func() bool { return m.Counter("log.dropped").Count() == int64(lines) }, waitTimeout, time.Millisecond,
			"the line whose write succeeded in the end still counts as dropped")
	}
}

func BenchmarkLog(b *testing.B) {
	for _, goroutines := range []int{1, 8} {
		b.Run(fmt.Sprintf("%d goroutines a processor", goroutines), func(b *testing.B) {
			log, flush := NewLogger(io.Discard, "info", true, NewMetrics())
			b.SetParallelism(goroutines)
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					log.Warn().Msg("A warning.")
				}
			})
			flush()
		})
	}
}
