package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// register tells a host that a backend server register, as the store's next change.
func register(r *Router, at time.Duration, ch routing.BackendChange) {
	r.Reduce(at, Update{FromStore: true, After: rev(ch.Revision.Number - 1), AsOf: ch.Revision, Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
}

// submitted is what a request without digest meets at a host.
func submitted(r *Router, id uint64, at time.Duration) []Effect {
	return r.Reduce(at, Submit{ID: id, Route: fragile, Deadline: at + time.Minute})
}

// A backend server says in an answer that it leaves, and its registration says afterwards that it is ready: the store took
// that write first and is read later. The word of the server holds for that start of it; the next one is used.
func TestLeavingHoldsForThatStart(t *testing.T) {
	r := newStandalone(t, "a")
	ready := func(revision, start uint64) routing.BackendChange {
		ch := changeOf("a", revision, false)
		ch.Start = start
		return ch
	}
	register(r, time.Second, ready(60, 5))
	r.Reduce(2*time.Second, BackendAnnouncement{ID: "a", Start: 5, Leaving: true})
	for revision := uint64(61); revision < 64; revision++ {
		register(r, 3*time.Second, ready(revision, 5))
		_, refused := findEffect[Refuse](submitted(r, revision, 4*time.Second))
		require.True(t, refused)
	}
	register(r, 5*time.Second, ready(70, 6))
	dispatchOf(t, submitted(r, 70, 6*time.Second))
	r.Reduce(7*time.Second, BackendAnnouncement{ID: "a", Start: 5, Leaving: true})
	dispatchOf(t, submitted(r, 71, 8*time.Second))
}

// A registration that lapsed around an outage of the store is used a little longer, as its server mostly lives. Not so where
// the server had said that it leaves.
func TestLeavingIsNotInDoubt(t *testing.T) {
	r := newStandalone(t, "a")
	r.Reduce(2*time.Second, BackendAnnouncement{ID: "a", Leaving: true})
	r.Reduce(3*time.Second, StoreStatus{})
	ch := changeOf("a", 60, true)
	register(r, 4*time.Second, ch)
	_, refused := findEffect[Refuse](submitted(r, 1, 4*time.Second))
	require.True(t, refused)
}

// One host has heard that an engine leaves. Hosts that have not would go on sending there until it ends, and their callers' streams
// would end with it: all hear of it within a second, in fleets that talk directly and in those with owners, with every
// tenth datagram lost.
func TestOthersHearOfLeaving(t *testing.T) {
	for _, c := range []struct{ zones, hosts int }{{3, 3}, {6, 20}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.hosts), func(t *testing.T) {
			z := newZones(t, c.zones, c.hosts, 4)
			z.drops = func(_, _ string, _ *gossippb.Packet) bool { return z.rng.IntN(10) == 0 }
			z.post(z.hosts[len(z.hosts)-1], BackendAnnouncement{ID: "e001", Leaving: true})
			z.run(1500*time.Millisecond, 0)
			for _, h := range z.hosts {
				require.True(t, h.r.backends["e001"].leaving, h.ip)
			}
			for range 200 {
				z.submit()
				z.run(10*time.Millisecond, 0)
			}
			require.Zero(t, z.streams["e001"])
		})
	}
}

// The owner of an engine offers a place there; the asker has just heard from the engine itself that it leaves, or wants nothing
// for a time. The place goes back, and nothing is sent.
func TestOfferOfALeavingEngineIsGivenBack(t *testing.T) {
	for name, announcement := range map[string]BackendAnnouncement{"leaving": {Leaving: true}, "away": {HoldOff: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, 20, 23)
			asker := z.hosts[0]
			question, owner := z.requestSlot(asker)
			offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, question}))
			place := offers[0].Place
			require.NotNil(t, place)
			announcement.ID = asker.r.byHash[place.Backend].ID
			asker.r.Reduce(z.now, announcement)
			out := asker.r.Reduce(z.now, SlotOfferReceived{owner, offers[0]})
			require.True(t, releasesSlot(out, place.Backend))
			if d, ok := findEffect[Dispatch](out); ok {
				require.NotEqual(t, announcement.ID, d.Backend.ID)
			}
		})
	}
}

// A backend server turns a host away for two seconds. The host offers it nothing for so long; its callers are told to come
// back when it may be asked again, where nobody else is there. Then it gets one request at a time until it has
// answered one, as all hosts that it turned away come back.
func TestTimeToStayAway(t *testing.T) {
	r := newStandalone(t, "a")
	at := 2 * time.Second
	dispatchOf(t, submitted(r, 1, at))
	r.Reduce(at, BackendAnnouncement{ID: "a", HoldOff: 2 * time.Second})
	r.Reduce(at, BackendAnnouncement{ID: "a", HoldOff: time.Millisecond}) // of a request that was turned away before
	out := r.Reduce(at, DispatchEnded{ID: 1, Outcome: Rejected})
	refuse, ok := findEffect[Refuse](out)
	require.True(t, ok)
	require.GreaterOrEqual(t, refuse.RetryAfter, 2*time.Second)
	_, refused := findEffect[Refuse](submitted(r, 2, at+2*time.Second-1))
	require.True(t, refused)
	later := at + 2*time.Second + maxHoldOffJitter
	dispatchOf(t, submitted(r, 3, later))
	r.Reduce(later, DispatchEnded{ID: 3, Outcome: Answered, First: time.Millisecond})
	require.False(t, r.backends["a"].onProbation())
	r.Reduce(later, BackendAnnouncement{ID: "a", HoldOff: 1000 * time.Hour})
	require.LessOrEqual(t, r.backends["a"].holdOffUntil, later+maxHoldOff+maxHoldOffJitter)
}

// Hosts that were turned away at the same moment come back at unlike ones.
func TestHostsComeBackAtUnlikeTimes(t *testing.T) {
	z := newZones(t, 3, 3, 1)
	moments := map[time.Duration]bool{}
	for _, h := range z.hosts {
		h.r.Reduce(z.now, BackendAnnouncement{ID: "e000", HoldOff: 4 * time.Second})
		moments[h.r.backends["e000"].holdOffUntil.Round(50*time.Millisecond)] = true
	}
	require.Greater(t, len(moments), 4)
}
