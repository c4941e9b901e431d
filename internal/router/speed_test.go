package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

// prompt submits an urgent stream with a prompt and returns the engine that it goes to.
func (b *fixture) prompt(tokens int) string {
	b.next++
	for _, e := range b.post(Submit{ID: b.next, Route: urgentRoute, PromptTok: tokens, OutputTok: 100, Deadline: b.now + 10*time.Second}) {
		if d, ok := e.(Dispatch); ok {
			return d.Backend.ID
		}
	}
	return ""
}

// newMixedSpeeds is a fast engine that reads a thousand tokens in 10 ms, and one that takes five times as long.
func newMixedSpeeds(t *testing.T) *fixture {
	b := newFixture(t, 2)
	b.r.backends["e0"].interval, b.r.backends["e0"].prefillPerToken, b.r.backends["e0"].samples = 11*time.Millisecond, 10*time.Microsecond, 1
	b.r.backends["e1"].interval, b.r.backends["e1"].prefillPerToken, b.r.backends["e1"].samples = 55*time.Millisecond, 50*time.Microsecond, 1
	return b
}

// Itineraries with long prompts come on a calm day, and engines differ fivefold in speed. By the number of
// requests alone every fifth went to the slow engine, where it took a third of a second to be read and
// held up all streams beside it: a third of what was served there came late, a hundredth elsewhere. By the
// time to the first event long prompts wait for the fast engine, and short ones fill the slow one.
func TestLongPromptsGoWhereTheyAreReadSoon(t *testing.T) {
	b := newMixedSpeeds(t)
	for i := 0; i < 4; i++ {
		require.Equal(t, "e0", b.prompt(6000))
	}
	require.Equal(t, "e1", b.prompt(600), "behind 24,000 tokens even a short prompt begins later")
	require.Equal(t, "e0", b.prompt(6000), "a long one would begin later still at the slow engine")
	for id := uint64(1); id <= 4; id++ {
		b.post(StreamStarted{ID: id, First: 60 * time.Millisecond})
	}
	require.Less(t, b.r.backends["e0"].prefillBacklog(b.now), 7000, "what has begun is read")
}

// All places of the fast engine are taken. The next stream goes to the slow one, if a place there comes
// sooner than one of the fast engine's streams ends.
func TestWaitForAPlaceCounts(t *testing.T) {
	b := newMixedSpeeds(t)
	for i := 0; i < 5; i++ {
		require.Equal(t, "e0", b.prompt(700))
		b.post(StreamStarted{ID: b.next, First: 10 * time.Millisecond})
	}
	// unknownEvents x 11 ms / 5 slots are 66 ms; the slow engine makes its first event after 90 ms.
	require.Equal(t, "e0", b.prompt(700))
	require.Equal(t, "e1", b.prompt(700))
}

// A host has just started, as all did after a loss of power, and knows no engine's speed. The first events
// of the first streams tell it, not their ends seconds later: until then a tenth of what it sent went to
// the slowest engines.
func TestFirstEventsTeachTheSpeed(t *testing.T) {
	b := newFixture(t, 2)
	require.Equal(t, "e0", b.prompt(1000))
	b.post(StreamStarted{ID: 1, First: 60 * time.Millisecond})
	b.post(StreamProgress{ID: 1, Interval: 55 * time.Millisecond})
	e0 := b.r.backends["e0"]
	require.Equal(t, 60*time.Microsecond, e0.prefillPerToken)
	require.Equal(t, 55*time.Millisecond, e0.interval)
	require.Equal(t, "e1", b.prompt(1000))

	// Behind others' prompts the first event tells nothing.
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: e0.hash, InFlight: counts{1}.pack(), Unread: 2000}, {Backend: b.r.backends["e1"].hash, Unread: 9000}}}})
	require.Equal(t, "e0", b.prompt(1000))
	b.post(StreamStarted{ID: b.next, First: 800 * time.Millisecond})
	require.Equal(t, 60*time.Microsecond, e0.prefillPerToken)
}

// What one host has learned the others hear, once, and only those that have not observed the engine
// themselves take it.
func TestSpeedsAreTold(t *testing.T) {
	b := newFixture(t, 2)
	b.prompt(1000)
	b.post(StreamStarted{ID: 1, First: 60 * time.Millisecond})
	b.post(StreamProgress{ID: 1, Interval: 55 * time.Millisecond})
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	speeds := func() []*gossippb.Speed {
		b.now += maxHeartbeatInterval
		var out []*gossippb.Speed
		for _, e := range b.post(Tick{}) {
			if s, ok := e.(SendHeartbeat); ok {
				out = append(out, s.Heartbeat.Speeds...)
			}
		}
		return out
	}
	reported := speeds()
	require.Len(t, reported, 1)
	require.Empty(t, speeds(), "not again")

	other := newFixture(t, 2)
	other.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 1, Speeds: reported}})
	require.Equal(t, 55*time.Millisecond, other.r.backends["e0"].interval)
	require.Equal(t, 60*time.Microsecond, other.r.backends["e0"].prefillPerToken)
	other.r.backends["e0"].learnEventInterval(11 * time.Millisecond)
	kept := other.r.backends["e0"].interval
	other.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 2, Speeds: reported}})
	require.Equal(t, kept, other.r.backends["e0"].interval)
}

// Another host's long prompts at an engine are told, and count until the engine has had the time to read
// them.
func TestOthersUnreadPromptsCount(t *testing.T) {
	b := newMixedSpeeds(t)
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: b.r.backends["e0"].hash, InFlight: counts{1}.pack(), Unread: 20_000}}}})
	require.Equal(t, "e1", b.prompt(1000))
	b.now += 200 * time.Millisecond
	require.Equal(t, "e0", b.prompt(1000))
}
