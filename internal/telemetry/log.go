// Package telemetry sets up logs, metrics and traces, which are seen from outside the process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const partField = "part"

// timeFormat tells milliseconds apart: what a request waited for is a matter of tens of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns the root logger, in text or JSON lines, and what writes the last of them out. It never makes the
// caller wait; see bounded.
func NewLogger(w io.Writer, level string, json bool, m Metrics) (zerolog.Logger, func()) {
	dw, flush := bounded(w, m)
	if !json {
		dw = zerolog.ConsoleWriter{Out: dw, NoColor: true, TimeFormat: time.RFC3339Nano,
			PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, partField, zerolog.MessageFieldName},
			FieldsExclude: []string{partField},
			FormatPartValueByName: func(value any, _ string) string {
				return fmt.Sprintf("%v:", value)
			},
		}
	}
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(dw).Level(l).With().Timestamp().Logger().Sample(sampler(m)), flush
}

// For returns the logger of one part; every line begins with the part's prefix.
func For(root zerolog.Logger, part string) zerolog.Logger {
	return root.Hook(prefixHook(part))
}

type prefixHook string

// Run adds the part: in text a prefix of the sentence, in JSON a field.
func (p prefixHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(partField, string(p))
}

const (
	// logBuffer is how many lines may wait for a slow reader; later ones push the oldest out.
	logBuffer = 4096
	// burstLines a burstPeriod are written of the lines below a warning; the rest are counted.
	burstLines  = 400
	burstPeriod = time.Second
)

// bounded passes lines on without ever making the caller wait: those that the reader does not take in time are
// dropped, and counted in "log.dropped".
func bounded(w io.Writer, m Metrics) (io.Writer, func()) {
	dw := diode.NewWriter(w, logBuffer, 0, func(missed int) { m.Count("log.dropped", int64(missed)) })
	return dw, func() { _ = dw.Close() }
}

// sampler counts information lines beyond a rate in "log.sampled" instead of writing them.
func sampler(m Metrics) zerolog.Sampler {
	return zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: burstLines, Period: burstPeriod, NextSampler: countingSampler{m}}}
}

// countingSampler drops lines and counts them.
type countingSampler struct{ m Metrics }

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(zerolog.Level) bool {
	s.m.Count("log.sampled", 1)
	return false
}
