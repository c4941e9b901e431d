// Package telemetry sets up logs, metrics and traces, which are seen from outside the process.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns the root logger.
func NewLogger(w io.Writer, level string, json bool) zerolog.Logger {
	if !json {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	}
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger()
}

// For returns the logger of one part; every line begins with the part's prefix.
func For(root zerolog.Logger, part string) zerolog.Logger {
	return root.Hook(prefixHook(part))
}

type prefixHook string

// Run adds the part as a field: a fixed prefix that filters can match.
func (p prefixHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("part", string(p))
}
