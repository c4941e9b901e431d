package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

func evacuationStarted(zone string, revision routing.Revision) Update {
	return Update{FromStore: true, After: rev(50), AsOf: revision, Revision: revision,
		Changes: routing.Changes{Evacuations: []routing.Evacuation{{Zone: zone, Revision: revision}}}}
}

func evacuationEnded(zone string, revision routing.Revision) Update {
	n := evacuationStarted(zone, revision)
	n.Evacuations[0].Ended = true
	return n
}

// Operators evacuate a zone while a request runs there. Neither its retry nor a new request may go there.
func TestEvacuatedZoneGetsNoSecondTry(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b", "c")
	for i, id := range []string{"a", "b", "c"} {
		ch := changeOf(id, uint64(60+i), false)
		ch.Zone = map[string]string{"a": "z0", "b": "z0", "c": "z1"}[id]
		register(r, time.Second, ch)
	}
	d := dispatchOf(t, r.Reduce(2*time.Second, Submit{ID: 1, Route: urgentRoute, Deadline: time.Minute}))
	require.Equal(t, "z0", d.Backend.Zone)
	r.Reduce(3*time.Second, evacuationStarted("z0", rev(70)))
	second := dispatchOf(t, r.Reduce(4*time.Second, DispatchEnded{ID: 1, Outcome: Broken, Fault: true}))
	require.Equal(t, "c", second.Backend.ID)
	_, refused := findEffect[GiveUp](r.Reduce(5*time.Second, DispatchEnded{ID: 1, Outcome: Broken, Fault: true}))
	require.True(t, refused, "it may have run, and no server is left")
	require.Equal(t, "c", dispatchOf(t, submitted(r, 2, 6*time.Second)).Backend.ID)
	require.Equal(t, "evacuated", r.View().Backends[0].State)
	joins := changeOf("d", 70, false)
	joins.Revision = rev(71)
	register(r, 6*time.Second, joins)
	for id := uint64(10); id < 20; id++ {
		require.Equal(t, "c", dispatchOf(t, submitted(r, id, 6*time.Second)).Backend.ID, "a server that joins the zone gets nothing either")
		r.Reduce(6*time.Second, CallerLeft{ID: id})
	}
	r.Reduce(7*time.Second, evacuationStarted("z1", rev(72)))
	back, refused := findEffect[Refuse](submitted(r, 3, 8*time.Second))
	require.True(t, refused)
	require.Positive(t, back.RetryAfter)
	r.Reduce(9*time.Second, evacuationEnded("z0", rev(73)))
	require.Equal(t, "z0", dispatchOf(t, submitted(r, 4, 10*time.Second)).Backend.Zone)
}

// An owner offers a slot before it has learned that its zone is evacuated.
func TestOffersOfAnEvacuatedZoneAreNotUsed(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	request, owner := z.requestSlot(asker)
	offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
	require.NotNil(t, offers[0].Place)
	asker.r.Reduce(z.now, evacuationStarted("z0", rev(70)))
	out := asker.r.Reduce(z.now, SlotOfferReceived{owner, offers[0]})
	_, sent := findEffect[Dispatch](out)
	require.False(t, sent)
	require.True(t, releasesSlot(out, offers[0].Place.Backend))
}

// The store delivers an evacuation to two hosts of one zone only; it refuses the others, and one starts after that. All hosts of
// a large fleet apply it within a second and a half with every tenth datagram lost, and its end too.
func TestEvacuationsReachAllHosts(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 17, 5)
	z.drops = func(string, string, *gossippb.Packet) bool { return z.rng.IntN(10) == 0 }
	z.run(time.Second, 50)
	for _, h := range z.hosts[:2] {
		z.post(h, evacuationStarted("z1", rev(70)))
	}
	late := z.hosts[20]
	late.r = New(Options{Host: late.ip, Zone: late.zone, Incarnation: 999, Seed: 999, Seeds: []string{"10.0.0.1", "10.0.0.2"}})
	late.startedAt = z.now
	z.run(1500*time.Millisecond, 50)
	for _, h := range z.hosts {
		require.True(t, h.r.evacuated("z1"), "%s", h.ip)
	}
	for _, h := range z.hosts[:2] {
		z.post(h, evacuationEnded("z1", rev(71)))
	}
	z.run(1500*time.Millisecond, 50)
	for _, h := range z.hosts {
		require.False(t, h.r.evacuated("z1"), "%s", h.ip)
	}
}

// Zone peers learn of an evacuation from each other alone.
func TestZonePeersReportEvacuations(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 5)
	z.post(z.hosts[3], evacuationStarted("z0", rev(70)))
	z.run(1500*time.Millisecond, 0)
	for _, h := range z.hosts {
		require.True(t, h.r.evacuated("z0"), "%s", h.ip)
	}
}

// Changes arrive in any order. A complete listing ends the evacuations that it lacks, and a host that missed this learns it from
// a peer.
func TestEvacuationsFollowTheStoresOrder(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(time.Second, evacuationEnded("z0", rev(71)))
	r.Reduce(time.Second, evacuationStarted("z0", rev(70)))
	require.False(t, r.evacuated("z0"))
	r.Reduce(time.Second, evacuationStarted("z0", rev(72)))
	require.True(t, r.evacuated("z0"))
	peer := newStandalone(t, "a")
	n := r.Snapshot(Since{})
	require.Equal(t, 1, len(n.Evacuations))
	peer.Reduce(time.Second, n)
	require.True(t, peer.evacuated("z0"))
	require.Equal(t, r.digest(), peer.digest())
	r.Reduce(2*time.Second, Update{FromStore: true, Full: true, AsOf: rev(80), Changes: routing.Changes{
		Backends: []routing.BackendChange{changeOf("a", 10, false)}}})
	require.False(t, r.evacuated("z0"))
	require.NotEqual(t, r.digest(), peer.digest())
	peer.Reduce(3*time.Second, r.Snapshot(Since{}))
	require.False(t, peer.evacuated("z0"))
	require.Equal(t, r.digest(), peer.digest())
	require.Equal(t, r.digest(), newStandalone(t, "a").digest(), "a host that starts later need not pull")
}

// The store is restored from a copy made before the evacuation. Until operators write it again, a host that knew of it keeps
// it, though only for a limited time.
func TestEvacuationHoldsAgainstAnOlderCopy(t *testing.T) {
	t.Parallel()
	copyOf := func(r *Router, at time.Duration) {
		r.Reduce(at, Update{FromStore: true, Full: true, AsOf: routing.Revision{Era: 1, Number: 40}, Changes: routing.Changes{
			Backends: []routing.BackendChange{changeOf("a", 10, false)}}})
	}
	r, forgotten := newStandalone(t, "a"), newStandalone(t, "a")
	for _, h := range []*Router{r, forgotten} {
		h.Reduce(time.Second, evacuationStarted("z0", rev(70)))
		copyOf(h, 2*time.Second)
		h.Reduce(4*time.Second, Tick{})
		require.True(t, h.evacuated("z0"))
	}
	r.Reduce(5*time.Second, evacuationStarted("z0", routing.Revision{Era: 1, Number: 41}))
	r.Reduce(20*time.Second, Tick{})
	require.True(t, r.evacuated("z0"))
	forgotten.Reduce(20*time.Second, Tick{})
	require.False(t, forgotten.evacuated("z0"))
}

// When an evacuation ends, the zone's backend servers may have turned cold, and being idle they would get all requests.
func TestServersOfAReopenedZoneCountAsCold(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 4, 17, 15)
	for _, h := range f.hosts {
		f.post(h, evacuationStarted("z2", rev(90)))
	}
	at := f.now
	f.run(2*time.Second, 280)
	_, sent := f.maxSentPerSecond(2, at+100*time.Millisecond, f.now)
	require.Zero(t, sent)
	at = f.now
	for _, h := range f.hosts {
		f.post(h, evacuationEnded("z2", rev(91)))
	}
	f.run(testColdFor, 1000)
	most, _ := f.maxSentPerSecond(2, at, f.now)
	require.LessOrEqual(t, float64(most), testColdBound)
}

// The number of zones remembered from other hosts' reports is limited.
func TestEvacuationsOfOthersAreBounded(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	for i := range 3 * maxEvacuations {
		r.Reduce(time.Second, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: "10.0.0.9", Zone: "z0", Incarnation: 1, Seq: uint64(i + 1),
			Evacuations: []*gossippb.Evacuation{{Zone: formatBase36(uint64(i)), Revision: uint64(i)}}}})
	}
	require.LessOrEqual(t, len(r.evacuations), maxEvacuations)
	r.Reduce(2*time.Second, evacuationEnded("0", rev(900)))
	r.Reduce(2*time.Second, evacuationStarted("z0", rev(901)))
	require.True(t, r.evacuated("z0"), "evacuations that ended make room")
}
