package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/timing"
)

// A stream is resumed at another engine, which sends a comment and then an event that the caller already has. The
// position was computed from the length of the known events alone, from the start of the chunk, so the caller got the
// end of a known event joined to the next one.
func TestCommentBeforeAKnownEventDoesNotShiftTheCut(t *testing.T) {
	a := &activeRequest{lastEvent: 2}
	out := a.unseenEvents([]byte(": engine is warm\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"), &timing.Stream{})
	require.Equal(t, "id: 3\ndata: c\n\n", string(out))
	require.EqualValues(t, 3, a.lastEvent)
}
