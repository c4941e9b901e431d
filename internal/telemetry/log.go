// Package telemetry provides the process's logs, metrics and traces.
package telemetry

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const componentField = "part"

// timeFormat has milliseconds, because waiting times of requests are in the order of tens of milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// Log is the root logger of a process. Logging never blocks: lines that the program which reads w does not take in time are
// dropped and counted in "log.dropped".
type Log struct {
	zerolog.Logger
	queue *lineQueue
}

// NewLogger returns the logger of OpenLog, and a function that closes it within FlushTimeout.
func NewLogger(w io.Writer, level string, json bool, m Metrics) (zerolog.Logger, func() error) {
	l := OpenLog(w, level, json, m)
	return l.Logger, func() error { return l.Close(FlushTimeout) }
}

// OpenLog returns a log that writes text or JSON lines to w.
func OpenLog(w io.Writer, level string, json bool, m Metrics) *Log {
	queue := newLineQueue(w, m.Counter("log.dropped"))
	var dw io.Writer = queue
	if !json {
		dw = zerolog.ConsoleWriter{Out: queue, NoColor: true, TimeFormat: time.RFC3339Nano,
			PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, componentField, zerolog.MessageFieldName},
			FieldsExclude: []string{componentField},
			FormatPartValueByName: func(value any, _ string) string {
				return fmt.Sprintf("%v:", value)
			},
		}
	}
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return &Log{zerolog.New(dw).Level(l).With().Timestamp().Logger().Sample(sampler(m)), queue}
}

// Close returns when all lines are written, at the latest after limit. Lines that are logged later are dropped. It returns an
// error if it gave up lines that were not written in time; these count as dropped, too.
func (l *Log) Close(limit time.Duration) error { return l.queue.Close(limit) }

// ComponentLogger returns the logger of one component, which adds the component's name to every line.
func ComponentLogger(root zerolog.Logger, component string) zerolog.Logger {
	return root.Hook(componentHook(component))
}

type componentHook string

// Run implements zerolog.Hook. It adds the component as a field in JSON lines, and as a prefix of the message in text.
func (p componentHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(componentField, string(p))
}

// LibraryWriter returns a writer for the messages that libraries print, for example through the standard logger. It writes each
// as an information line of log.
func LibraryWriter(log zerolog.Logger) io.Writer { return libraryWriter{log} }

type libraryWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w libraryWriter) Write(p []byte) (int, error) {
	w.log.Info().Str("detail", strings.TrimSpace(string(p))).Msg("Message of a library.")
	return len(p), nil
}

const (
	// FlushTimeout limits the wait of a stopping process for a collector that does not read its log. Supervisors kill a process
	// that waits for much longer.
	FlushTimeout = 2 * time.Second
	// sampleBurst is the number of information lines written per samplePeriod. Further ones are only counted.
	sampleBurst  = 400
	samplePeriod = time.Second
)

// sampler drops information lines beyond a rate and counts them in "log.sampled".
func sampler(m Metrics) zerolog.Sampler {
	return zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: sampleBurst, Period: samplePeriod, NextSampler: countingSampler{m}}}
}

// countingSampler drops lines and counts them.
type countingSampler struct{ m Metrics }

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(zerolog.Level) bool {
	s.m.Count("log.sampled", 1)
	return false
}
