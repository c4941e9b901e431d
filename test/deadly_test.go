package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
)

const (
	// propagationTime is how long after the third end all hosts have to know.
	propagationTime = 3 * time.Second
	// crashesAllowed are the engines that one request may end before it counts as the cause, and sendsAllowed how often it may
	// be sent after that.
	crashesAllowed        = 3
	furtherCrashesAllowed = 3
)

func (b *testbed) crashes() int {
	n := 0
	for _, e := range b.engines {
		n += e.Stats().Crashes
	}
	return n
}

// A caller's prompt ends each engine that runs it, and is sent again as a new request, to hosts of two zones in turn. Each time
// the streams beside it are lost. Nothing remembered what the last one did. After three ends it must be known
// everywhere; others of the same workspace are served on.
func TestDeadlyPromptIsKeptFromEngines(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "b1", "b2")
	for name, zone := range map[string]string{"e1": "zone-a", "e2": "zone-a", "e3": "zone-b", "e4": "zone-b"} {
		b.addEngine(name, zone, fastEngine()).SetMode(engine.Mode{CrashText: "deadly"})
	}
	b.start()
	call := func(i int, prompt string) fleet.Response {
		return b.newCaller().Chat(testCtx(t), b.addr(b.hostIDs[i%len(b.hostIDs)]), "notes", prompt, 30, true)
	}
	for i := 0; b.crashes() < crashesAllowed; i++ {
		require.Less(t, i, 20)
		call(i, "a deadly prompt")
	}
	time.Sleep(propagationTime)
	before := b.crashes()
	for i := range 16 {
		call(i, "a deadly prompt")
	}
	require.LessOrEqual(t, b.crashes()-before, furtherCrashesAllowed, "of 16 that came after all hosts had to know")
	for i := range 8 {
		a := call(i, fmt.Sprint("another prompt ", i))
		require.True(t, a.OK(), "%+v", a)
	}
}
