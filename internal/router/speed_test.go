package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

// prompt submits an urgent stream with a prompt and returns the engine it is dispatched to.
func (b *fixture) prompt(tokens int) string {
	b.next++
	for _, e := range b.post(Submit{ID: b.next, Route: urgentRoute, PromptTok: tokens, OutputTok: 100, Deadline: b.now + 10*time.Second}) {
		if d, ok := e.(Dispatch); ok {
			return d.Backend.ID
		}
	}
	return ""
}

// newMixedSpeeds has a fast engine that needs 10 ms to prefill a thousand tokens, and one that needs five times as long.
func newMixedSpeeds(t *testing.T) *fixture {
	b := newFixture(t, 2)
	b.r.backends["e0"].interval, b.r.backends["e0"].prefillPerToken, b.r.backends["e0"].samples = 11*time.Millisecond, 10*time.Microsecond, 1
	b.r.backends["e1"].interval, b.r.backends["e1"].prefillPerToken, b.r.backends["e1"].samples = 55*time.Millisecond, 50*time.Microsecond, 1
	return b
}

// Requests with long prompts come on a day without overload, and engines differ fivefold in speed. When only requests
// were counted, one in five went to the slow engine, took a third of a second to prefill and delayed all streams there:
// a third of them were late, against 1% elsewhere. By predicted time to first event, long prompts wait for the fast
// engine and short ones use the slow one.
func TestLongPromptsGoWhereTheyAreReadSoon(t *testing.T) {
	t.Parallel()
	b := newMixedSpeeds(t)
	for i := 0; i < 4; i++ {
		require.Equal(t, "e0", b.prompt(6000))
	}
	require.Equal(t, "e1", b.prompt(600), "even a short prompt starts later behind 24,000 tokens")
	require.Equal(t, "e0", b.prompt(6000), "a long one would start later still at the slow engine")
	for id := uint64(1); id <= 4; id++ {
		b.post(StreamStarted{ID: id, First: 60 * time.Millisecond})
	}
	require.Less(t, b.r.backends["e0"].prefillBacklog(b.now), 7000, "streams that have begun are prefilled")
}

// All slots of the fast engine are in use. The next stream goes to the slow one if it would start there before one of
// the fast engine's streams ends.
func TestWaitForASlotCountsInTheChoice(t *testing.T) {
	t.Parallel()
	b := newMixedSpeeds(t)
	for i := 0; i < 5; i++ {
		require.Equal(t, "e0", b.prompt(700))
		b.post(StreamStarted{ID: b.next, First: 10 * time.Millisecond})
	}
	// defaultStreamLength x 11 ms / 5 slots are 66 ms; the slow engine makes its first event after 90 ms.
	require.Equal(t, "e0", b.prompt(700))
	require.Equal(t, "e1", b.prompt(700))
}

// After a restart of all hosts no engine's speed is known. It must be learned from the first events of the first
// streams: when it was learned at their end seconds later, a tenth of a host's requests went to the slowest engines.
func TestSpeedIsLearnedFromFirstEvents(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	require.Equal(t, "e0", b.prompt(1000))
	b.post(StreamStarted{ID: 1, First: 60 * time.Millisecond})
	b.post(StreamProgress{ID: 1, Interval: 55 * time.Millisecond})
	e0 := b.r.backends["e0"]
	require.Equal(t, 60*time.Microsecond, e0.prefillPerToken)
	require.Equal(t, 55*time.Millisecond, e0.interval)
	require.Equal(t, "e1", b.prompt(1000))

	// Behind other hosts' prompts the first event is no sample of the prefill time.
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: e0.hash, InFlight: counts{1}.pack(), Unread: 2000}, {Backend: b.r.backends["e1"].hash, Unread: 9000}}}})
	require.Equal(t, "e0", b.prompt(1000))
	b.post(StreamStarted{ID: b.next, First: 800 * time.Millisecond})
	require.Equal(t, 60*time.Microsecond, e0.prefillPerToken)
}

// A speed learned by one host is reported to the others once, and used only by hosts that have not observed the engine
// themselves.
func TestLearnedSpeedsAreReportedToOtherHosts(t *testing.T) {
	t.Parallel()
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
	require.Empty(t, speeds(), "reported once only")

	other := newFixture(t, 2)
	other.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 1, Speeds: reported}})
	require.Equal(t, 55*time.Millisecond, other.r.backends["e0"].interval)
	require.Equal(t, 60*time.Microsecond, other.r.backends["e0"].prefillPerToken)
	other.r.backends["e0"].learnEventInterval(11 * time.Millisecond)
	kept := other.r.backends["e0"].interval
	other.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 2, Speeds: reported}})
	require.Equal(t, kept, other.r.backends["e0"].interval)
}

// Another host's long prompts at an engine count until the engine has had the time to prefill them.
func TestOthersUnreadPromptsCount(t *testing.T) {
	t.Parallel()
	b := newMixedSpeeds(t)
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: b.r.backends["e0"].hash, InFlight: counts{1}.pack(), Unread: 20_000}}}})
	require.Equal(t, "e1", b.prompt(1000))
	b.now += 200 * time.Millisecond
	require.Equal(t, "e0", b.prompt(1000))
}
