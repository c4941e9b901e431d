package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/timing"
)

// A stream goes on at another engine, which sends a comment and then an event that the caller has. The
// cut was made by the length of the known events alone, from the chunk's start: the caller got the end
// of an event that it had, glued to the next.
func TestCommentBeforeAKnownEventDoesNotShiftTheCut(t *testing.T) {
	f := &flight{lastEvent: 2}
	out := f.fresh([]byte(": engine is warm\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"), &timing.Stream{})
	require.Equal(t, "id: 3\ndata: c\n\n", string(out))
	require.EqualValues(t, 3, f.lastEvent)
}
