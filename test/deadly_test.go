package test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
)

const (
	// propagationTime is how long after the third crash all hosts must have learned of it.
	propagationTime = 3 * time.Second
	// crashesAllowed is how many engines one request may crash before it counts as the cause; furtherCrashesAllowed is how
	// often it may still be sent to an engine after that.
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

// Guards against a prompt that crashes one engine after the other: its caller sends it again as a new request to hosts of two
// zones in turn, and each crash loses the streams in flight beside it. After three crashes all hosts must hold the prompt back,
// and still serve other requests of the same workspace.
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
	require.LessOrEqual(t, b.crashes()-before, furtherCrashesAllowed, "engine crashes by 16 requests that came after all hosts had to know the prompt")
	for i := range 8 {
		a := call(i, fmt.Sprint("another prompt ", i))
		require.True(t, a.OK(), "%+v", a)
	}
}

// Guards against a beginning that prompts share and that crashes one engine after the other, though no two prompts are alike: after
// five crashes all hosts must hold back prompts that begin so, and still serve others.
func TestDeadlyBeginningOfPromptsIsKeptFromEngines(t *testing.T) {
	const (
		crashesAllowed = 5
		warmUp         = 400
		// restartGap is longer than the time within which crashes of one engine, which keeps its name, count as one.
		restartGap = 2100 * time.Millisecond
	)
	b := newTestbed(t, "a1", "a2", "b1", "b2")
	engines := map[string]string{"e1": "zone-a", "e2": "zone-a", "e3": "zone-b", "e4": "zone-b", "e5": "zone-a", "e6": "zone-b"}
	for name, zone := range engines {
		b.addEngine(name, zone, fastEngine()).SetMode(engine.Mode{CrashText: "deadly"})
	}
	b.start()
	call := func(i int, beginning string) fleet.Response {
		prompt := beginning + strings.Repeat(".", 300) + fmt.Sprint(" and text of its own ", i)
		return b.newCaller().Chat(testCtx(t), b.addr(b.hostIDs[i%len(b.hostIDs)]), "notes", prompt, 30, true)
	}
	var sound sync.WaitGroup
	for i := range warmUp {
		sound.Go(func() { call(i, fmt.Sprint("sound beginning ", i%3)) })
		time.Sleep(5 * time.Millisecond)
	}
	sound.Wait()
	n := 0
	for b.crashes() < crashesAllowed {
		require.Less(t, n, 40)
		n++
		call(n, "a deadly beginning")
		time.Sleep(restartGap)
	}
	time.Sleep(propagationTime)
	before := b.crashes()
	for range 16 {
		n++
		call(n, "a deadly beginning")
	}
	require.LessOrEqual(t, b.crashes()-before, furtherCrashesAllowed, "engine crashes by 16 requests that came after all hosts had to know the beginning")
	for i := range 8 {
		a := call(i, "another sound beginning")
		require.True(t, a.OK(), "%+v", a)
	}
}
