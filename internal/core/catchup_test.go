package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
)

// A process is paused for four seconds with a request waiting at the scheduler, another host. Meanwhile an operator
// takes the server b0 out. The process wakes up and its timer fires before it has read a socket: all other hosts have
// been silent for four seconds on its clock, so it takes them for dead, computes that the group is its own, grants itself
// a place on b0 and dispatches, with a fresh lease, to a server that has been leaving for four seconds.
func TestWokenHostDoesNotTakeOthersForDead(t *testing.T) {
	l := newLone(t)
	l.submit("r")
	l.now += 4 * time.Second
	require.Empty(t, dispatches(l.feed(core.Tick{})), "it has heard nothing since it woke")
}
