package telemetry

import (
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// clock is the current time for log lines and the sampler.
var clock = time.Unix(1_700_000_000, 0)

func TestMain(m *testing.M) {
	zerolog.TimestampFunc = func() time.Time { return clock }
	os.Exit(m.Run())
}
