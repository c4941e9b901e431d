// Package telemetry sets up logs, metrics and traces, which are seen from outside the process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

const partField = "part"

// NewLogger returns the root logger.
func NewLogger(w io.Writer, level string, json bool) zerolog.Logger {
	if !json {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano,
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
	return zerolog.New(w).Level(l).With().Timestamp().Logger()
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
