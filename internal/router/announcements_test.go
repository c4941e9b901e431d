package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// register delivers a registration to a host as the store's next change.
func register(r *Router, at time.Duration, ch routing.BackendChange) {
	r.Reduce(at, Update{FromStore: true, After: rev(ch.Revision.Number - 1), AsOf: ch.Revision, Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
}

// submitted submits a request without a digest and returns the effects.
func submitted(r *Router, id uint64, at time.Duration) []Effect {
	return r.Reduce(at, Submit{ID: id, Route: fragile, Deadline: at + time.Minute})
}

// A backend server announces in an answer that it is leaving, and a registration read afterwards says that it is ready, as the
// store took that write earlier. The announcement holds for that start of the server; the next start is used.
func TestLeavingHoldsForThatStart(t *testing.T) {
	t.Parallel()
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

// A registration that lapsed around an outage of the store has a grace period, as its server is mostly alive. Not so if
// the server has announced that it is leaving.
func TestLeavingIsNotInDoubt(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(2*time.Second, BackendAnnouncement{ID: "a", Leaving: true})
	r.Reduce(3*time.Second, StoreStatus{})
	ch := changeOf("a", 60, true)
	register(r, 4*time.Second, ch)
	_, refused := findEffect[Refuse](submitted(r, 1, 4*time.Second))
	require.True(t, refused)
}

// One host has learned that an engine is leaving. The others would continue to send requests there, and those streams would end
// with the engine. All learn of it within a second and a half, in fleets with a full mesh of heartbeats and in those with
// owners, with every tenth datagram lost.
func TestOtherHostsLearnOfLeaving(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ zones, hosts int }{{3, 3}, {6, 20}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.hosts), func(t *testing.T) {
			t.Parallel()
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

// The owner of an engine offers a slot there when the engine has just announced to the asking host that it is leaving or wants
// no requests for a time. The slot is released, and nothing is sent.
func TestOfferOfALeavingEngineIsGivenBack(t *testing.T) {
	t.Parallel()
	for name, announcement := range map[string]BackendAnnouncement{"leaving": {Leaving: true}, "away": {HoldOff: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newZone(t, 20, 23)
			asker := z.hosts[0]
			request, owner := z.requestSlot(asker)
			offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
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

// A backend server asks a host to hold off for two seconds. The host sends it nothing for that time, and if there is no other
// server, its callers are told to retry after the hold-off. Then the server gets one request at a time until it has
// answered one, as all hosts that it turned away come back.
func TestServerGetsNothingDuringItsHoldOff(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	at := 2 * time.Second
	dispatchOf(t, submitted(r, 1, at))
	r.Reduce(at, BackendAnnouncement{ID: "a", HoldOff: 2 * time.Second})
	r.Reduce(at, BackendAnnouncement{ID: "a", HoldOff: time.Millisecond}) // for a request that was rejected earlier
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

// Hosts that were turned away at the same moment come back at different times.
func TestHostsReturnAtDifferentTimes(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 3, 1)
	moments := map[time.Duration]bool{}
	for _, h := range z.hosts {
		h.r.Reduce(z.now, BackendAnnouncement{ID: "e000", HoldOff: 4 * time.Second})
		moments[h.r.backends["e000"].holdOffUntil.Round(50*time.Millisecond)] = true
	}
	require.Greater(t, len(moments), 4)
}
