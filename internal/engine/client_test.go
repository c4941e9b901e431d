package engine

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func streamOf(text string) *Stream {
	return &Stream{body: io.NopCloser(strings.NewReader("")), lines: bufio.NewReaderSize(strings.NewReader(text), maxLine)}
}

// An engine's connection ends without an error and without [DONE]. A caller must not take half an answer for a complete
// one.
func TestBodyThatEndsEarlyIsAnError(t *testing.T) {
	const chunk = `data: {"id":"r","offset":0,"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	s := streamOf(chunk)
	c, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, "x", c.Text())
	_, err = s.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	s = streamOf(chunk + "data: [DONE]\n\n")
	_, err = s.Next()
	require.NoError(t, err)
	_, err = s.Next()
	require.ErrorIs(t, err, ErrDone)
	_, err = streamOf(": comment\ndata: {broken\n\n").Next()
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrDone)
	_, err = streamOf("data: " + strings.Repeat("x", 2*maxLine)).Next()
	require.Error(t, err, "the memory for an endless line is bounded")
}

// Equal prefixes must have equal hashes, whatever follows.
func TestPrefixHashesAgreeOnWhatIsShared(t *testing.T) {
	shared := strings.Repeat("s", 1500)
	a, b := PrefixHashes(shared+"one"), PrefixHashes(shared+"two!")
	require.Len(t, a, 3)
	require.Equal(t, a, b)
	require.NotEqual(t, a, PrefixHashes("t"+shared))
	require.Empty(t, PrefixHashes("short"))
}
