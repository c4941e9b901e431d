package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// startOf returns a registration of one start of e0.
func startOf(start, revision uint64) routing.BackendChange {
	ch := changeOf("e0", revision, false)
	ch.Start = start
	return ch
}

func foreignWrite(revision uint64) routing.BackendChange {
	return routing.BackendChange{Backend: routing.Backend{ID: "e0"}, Revision: rev(revision), Removed: true, Foreign: true}
}

// receive posts changes as if pulled from a peer.
func (b *fixture) receive(changes ...routing.BackendChange) []Effect {
	return b.post(Update{Changes: routing.Changes{Backends: changes}})
}

// serves reports whether e0 may get a request now.
func (b *fixture) serves() bool {
	e0, known := b.r.backends["e0"]
	if !known {
		return false
	}
	ok, _ := e0.usable(b.now)
	return ok
}

// An engine crashes behind a network partition and starts again under the same ID. It was slow, had failed and was
// marked as replaced, and its callers wait for answers that never come. None of this applies to the new start: it
// gets requests at once, and those sent to the earlier one end as broken without counting against the new one.
func TestNextStartOfAnEngineIsUnknown(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 0)
	b.receive(startOf(1000, 60))
	b.submit(lowPriorityRoute, 2, 10)
	first := b.next
	old := b.r.backends["e0"]
	b.observeInterval("e0", 400*time.Millisecond)
	old.connectFailed(b.now)
	old.replaced = true
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: old.hash, InFlight: counts{3}.pack()}}}})

	require.Equal(t, []Abort{{ID: first, Attempt: 1}}, effectsOf[Abort](b.receive(startOf(2000, 70))))
	next := b.r.backends["e0"]
	require.Zero(t, next.inFlight())
	require.Zero(t, next.interval)
	require.True(t, b.serves())
	require.False(t, next.suspect(b.now))

	effects := b.post(DispatchEnded{ID: first, Outcome: Broken, Fault: true})
	require.Equal(t, GiveUp{ID: first, Cause: BackendLost, DeliverFailure: true}, effects[0], "whether it ran is unknown")
	require.Zero(t, next.failures)
	require.Zero(t, next.ownLoad.total())
	engine, _ := b.submit(lowPriorityRoute, 2, 10)
	require.Equal(t, "e0", engine)
	require.Equal(t, 1, next.ownLoad.total())
}

// A write of the earlier start reaches the store after the first one of the new start, or a peer that was
// cut off reports it. It must not hide the new start, nor restore an engine that has left.
func TestEarlierStartNeverComesBack(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 0)
	b.receive(startOf(2000, 60))
	late := startOf(1000, 65)
	late.Draining = true
	b.receive(late)
	require.EqualValues(t, 2000, b.r.backends["e0"].Start)
	require.True(t, b.serves())

	drains := startOf(2000, 70)
	drains.Draining = true
	b.receive(drains)
	b.receive(startOf(1000, 75))
	require.False(t, b.serves(), "it drains")

	gone := changeOf("e0", 80, true)
	b.receive(gone)
	b.receive(startOf(1000, 85))
	b.receive(startOf(3000, 78))
	require.False(t, b.serves(), "it has left")
	b.receive(startOf(3000, 90))
	require.True(t, b.serves(), "a new start")
}

// Another program overwrites an engine's registration. The address may be anything, so the engine gets
// no more requests until it registers again; there is no grace period as for a lapsed registration.
func TestForeignRegistrationNamesNoServer(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(StoreStatus{OK: false}) // so that a lapse would get the grace period
	b.receive(foreignWrite(60))
	require.False(t, b.serves())
	b.receive(changeOf("e0", 61, false))
	require.True(t, b.serves())

	b.receive(startOf(1000, 62))
	b.receive(startOf(0, 63))
	require.False(t, b.serves(), "the engine has registered with a start before")
	b.receive(startOf(1000, 64))
	require.True(t, b.serves())
}

// A backend server registered without a model in a service of model engines gets no requests.
func TestServerOfAnotherKindGetsNoWork(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 0)
	plain := changeOf("e0", 60, false)
	plain.Model = false
	b.receive(plain)
	_, refused := b.submit(urgentRoute, 0, 10)
	require.NotNil(t, refused)
	require.Equal(t, NoBackend, refused.Cause)
	b.receive(changeOf("e1", 61, false))
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e1", engine)
}

// Two starts of an engine, a late write of the earlier one, a foreign write and what follows reach hosts in
// every order, each twice. All hosts must end in the same state with equal digests, or they would pull from
// each other forever.
func TestEveryOrderOfStarts(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		changes []routing.BackendChange
		serves  bool
		start   uint64
	}{
		"restart and a late write":  {[]routing.BackendChange{startOf(1000, 60), startOf(2000, 61), startOf(1000, 62), startOf(2000, 64)}, true, 2000},
		"left after a restart":      {[]routing.BackendChange{startOf(1000, 60), startOf(2000, 61), changeOf("e0", 63, true), startOf(1000, 62)}, false, 2000},
		"overwritten":               {[]routing.BackendChange{startOf(1000, 60), foreignWrite(61), startOf(1000, 59)}, false, 1000},
		"overwritten without start": {[]routing.BackendChange{startOf(1000, 60), startOf(0, 62), startOf(1000, 61)}, false, 1000},
		"overwritten, then back":    {[]routing.BackendChange{startOf(1000, 60), foreignWrite(61), startOf(1000, 63)}, true, 1000},
		"overwritten, then restart": {[]routing.BackendChange{startOf(1000, 60), startOf(0, 61), startOf(2000, 63)}, true, 2000},
	}
	for name, play := range cases {
		digests := map[uint64]bool{}
		permute(len(play.changes), func(order []int) {
			b := newFixture(t, 0)
			b.now += lapseWindow // so that no removal counts as a lapse
			for _, i := range append(append([]int(nil), order...), order...) {
				b.receive(play.changes[i])
			}
			require.Equal(t, play.serves, b.serves(), "%s: %v", name, order)
			if play.serves {
				require.Equal(t, play.start, b.r.backends["e0"].Start, "%s: %v", name, order)
			}
			digests[b.r.digest()] = true
			e0 := b.r.backends["e0"]
			require.Same(t, e0, b.r.byHash[hashOf(e0.Backend)], "%s: %v: other hosts' reports are matched", name, order)
		})
		require.Len(t, digests, 1, name)
	}
}
