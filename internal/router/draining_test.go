package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// drainingAt returns a registration of a backend server that drains.
func drainingAt(id string, revision uint64) routing.BackendChange {
	ch := changeOf(id, revision, false)
	ch.Draining = true
	return ch
}

// A backend server's older write, which still says that it is ready, is accepted by the store after the one that says that it
// drains. Guards against hosts that then send to it again, until it exits.
func TestDrainingIsFinalForAStart(t *testing.T) {
	t.Parallel()
	ready := func(revision uint64) routing.BackendChange { return changeOf("a", revision, false) }
	fromPeer := func(r *Router, at time.Duration, ch routing.BackendChange) {
		r.Reduce(at, Update{After: rev(50), AsOf: rev(50), Revision: ch.Revision, From: "10.0.0.9", Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	}
	for name, later := range map[string]func(r *Router){
		"watch":    func(r *Router) { register(r, 3*time.Second, ready(61)) },
		"peer":     func(r *Router) { fromPeer(r, 3*time.Second, ready(61)) },
		"listing":  func(r *Router) { r.Reduce(3*time.Second, listing(rev(61), servers(rev(61), "a", "b"))) },
		"repeated": func(r *Router) { register(r, 3*time.Second, ready(61)); register(r, 3*time.Second, ready(62)) },
		"removed before": func(r *Router) {
			register(r, 3*time.Second, changeOf("a", 61, true))
			register(r, 3*time.Second, ready(62))
		},
		"overwritten before": func(r *Router) {
			foreign := changeOf("a", 61, true)
			foreign.Foreign = true
			register(r, 3*time.Second, foreign)
			register(r, 3*time.Second, ready(62))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newStandalone(t, "a", "b")
			register(r, 2*time.Second, drainingAt("a", 60))
			require.False(t, usable(r, "a"))
			later(r)
			require.False(t, usable(r, "a"))
			require.True(t, usable(r, "b"))
		})
	}
}

// The next start of a backend server is used, though the one before it drained.
func TestNextStartOfADrainedServerIsUsed(t *testing.T) {
	t.Parallel()
	r := newStandalone(t)
	first := drainingAt("a", 60)
	first.Start = 5
	register(r, 2*time.Second, first)
	next := changeOf("a", 61, false)
	next.Start = 6
	register(r, 3*time.Second, next)
	require.True(t, usable(r, "a"))
}

// One host has read only the later of two writes, by a listing, and its digest is that of the others. Guards against a host that
// never learns that a backend server drains, as nothing differs that it would pull.
func TestHostsThatMissedTheDrainingLearnOfIt(t *testing.T) {
	t.Parallel()
	z := newZones(t, 4, 2, 3)
	changes := routing.Changes{Backends: []routing.BackendChange{drainingAt("e001", 60), changeOf("e001", 61, false)}}
	for _, h := range z.hosts[1:] {
		z.post(h, Update{FromStore: true, After: rev(50), AsOf: rev(61), Revision: rev(61), Changes: changes})
	}
	late := z.hosts[0]
	z.post(late, Update{FromStore: true, After: rev(50), AsOf: rev(61), Revision: rev(61), Changes: routing.Changes{Backends: changes.Backends[1:]}})
	require.Equal(t, z.hosts[1].r.digest(), late.r.digest())
	z.run(drainBound, 0)
	for _, h := range z.hosts {
		require.False(t, usable(h.r, "e001"), h.ip)
	}
}

// drainBound is the time within which all hosts of a small fleet must stop to use a backend server that drains.
const drainBound = 2 * time.Second

// The owner of an engine has not read yet that it drains, and the host that asks for a slot has, or the reverse. Guards against
// requests sent there by the word of the one that doesn't know.
func TestSlotAtADrainingEngineIsNotUsed(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	request, owner := z.requestSlot(asker)
	offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
	place := offers[0].Place
	require.NotNil(t, place)
	engine := asker.r.byHash[place.Backend]
	drains := drainingAt(engine.ID, 60)
	drains.Slots = engine.Slots
	register(asker.r, z.now, drains)
	out := asker.r.Reduce(z.now, SlotOfferReceived{owner, offers[0]})
	require.True(t, releasesSlot(out, place.Backend))
	if d, ok := findEffect[Dispatch](out); ok {
		require.NotEqual(t, engine.ID, d.Backend.ID)
	}

	register(z.byIP[owner].r, z.now, drains)
	for n := range uint64(30) {
		request.Number = 1000 + n
		for _, o := range offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{z.hosts[1].ip, request})) {
			require.NotEqual(t, place.Backend, o.GetPlace().GetBackend())
		}
	}
}
