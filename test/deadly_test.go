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
	// heardWithin is how long after the third end all hosts have to know.
	heardWithin = 3 * time.Second
	// endsAllowed are the engines that one request may end before it counts as the cause, and sendsAllowed how often it may
	// be sent after that.
	endsAllowed  = 3
	sendsAllowed = 3
)

func (b *bed) crashes() int {
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
	b := newBed(t, "a1", "a2", "b1", "b2")
	for name, zone := range map[string]string{"e1": "zone-a", "e2": "zone-a", "e3": "zone-b", "e4": "zone-b"} {
		b.addEngine(name, zone, fastEngine()).SetMode(engine.Mode{CrashText: "deadly"})
	}
	b.start()
	ask := func(i int, prompt string) fleet.Response {
		return b.caller().Chat(ctx(t), b.callers(b.order[i%len(b.order)]), "notes", prompt, 30, true)
	}
	for i := 0; b.crashes() < endsAllowed; i++ {
		require.Less(t, i, 20)
		ask(i, "a deadly prompt")
	}
	time.Sleep(heardWithin)
	before := b.crashes()
	for i := range 16 {
		ask(i, "a deadly prompt")
	}
	require.LessOrEqual(t, b.crashes()-before, sendsAllowed, "of 16 that came after all hosts had to know")
	for i := range 8 {
		a := ask(i, fmt.Sprint("another prompt ", i))
		require.True(t, a.OK(), "%+v", a)
	}
}
