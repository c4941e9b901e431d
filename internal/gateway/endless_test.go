package gateway

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless repeats a text and counts the bytes that are read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

// Guards against an event without an end that fills a host's memory: a stream's buffer doubles as it grows.
func TestEventWithoutAnEndIsBounded(t *testing.T) {
	for _, text := range []string{"data: x\n", strings.Repeat("a", 1000)} {
		src := &endless{text: text}
		_, err := newEventReader(io.Reader(src)).next()
		require.Error(t, err)
		require.LessOrEqual(t, src.read, 1<<20, "64 such streams fit into a host's 64 MB")
	}
}
