package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// newFixtureWithBudget returns a fixture whose retry budget allows some retries.
func newFixtureWithBudget(t *testing.T, engines int) *fixture {
	b := newFixture(t, engines)
	for range 20 {
		b.submit(urgentRoute, 0, 10)
		b.post(DispatchEnded{ID: b.next, Outcome: Answered})
	}
	return b
}

// fill submits requests until one is refused.
func (b *fixture) fill() {
	for {
		if _, refused := b.submit(urgentRoute, 0, 10); refused != nil {
			return
		}
	}
}

// stall reports that a request's backend server is silent and returns whether the request moves.
func (b *fixture) stall(id uint64) bool {
	return effectsOf[StallDecision](b.post(Stalled{ID: id}))[0].Reassign
}

// endsAt returns the engine that a request is dispatched to when its dispatch has ended, or "".
func (b *fixture) endsAt(e DispatchEnded) string {
	for _, d := range effectsOf[Dispatch](b.post(e)) {
		return d.Backend.ID
	}
	return ""
}

// Guards against ending a stream whose server is sound because another request took the place found for its move.
func TestMovedRequestKeepsItsPlace(t *testing.T) {
	t.Parallel()
	b := newFixtureWithBudget(t, 2)
	first, _ := b.submit(urgentRoute, 0, 10)
	id := b.next
	require.True(t, b.stall(id))
	b.fill()
	second := b.endsAt(DispatchEnded{ID: id, Outcome: Broken, Fault: true})
	require.NotEmpty(t, second, "given up though a place had been found")
	require.NotEqual(t, first, second)
}

// Guards against a place that stays reserved once its request no longer needs it: the server would seem busy for ever.
func TestUnusedPlaceIsReleased(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]Event{
		"answered after all": DispatchEnded{ID: 21, Outcome: Answered},
		"timed out":          DispatchEnded{ID: 21, Outcome: TimedOut},
		"canceled":           DispatchEnded{ID: 21, Outcome: Canceled},
		"caller left":        CallerLeft{ID: 21},
		"delivered":          DispatchEnded{ID: 21, Outcome: Failed, Delivered: true},
	} {
		b := newFixtureWithBudget(t, 2)
		b.submit(urgentRoute, 0, 10)
		require.EqualValues(t, 21, b.next)
		require.True(t, b.stall(21), name)
		require.Equal(t, 2, b.held(), "%s: the request and its reserved place", name)
		b.post(end)
		if b.r.Requests() > 0 {
			require.Equal(t, 1, b.held(), name)
			b.post(CallerLeft{ID: 21})
		}
		require.Zero(t, b.held(), name)
	}
}

// held returns the number of places that this host holds at all engines.
func (b *fixture) held() int {
	n := 0
	for _, be := range b.r.backends {
		n += be.ownLoad.total()
	}
	return n
}

// Guards against sending a moved request to a server that has begun to shut down since its place was reserved.
func TestReservedPlaceAtALeavingServerIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newFixtureWithBudget(t, 3)
	first, _ := b.submit(urgentRoute, 0, 10)
	id := b.next
	require.True(t, b.stall(id))
	reserved := ""
	for name, be := range b.r.backends {
		if name != first && be.ownLoad.total() > 0 {
			reserved = name
			be.Draining = true
		}
	}
	require.NotEmpty(t, reserved)
	second := b.endsAt(DispatchEnded{ID: id, Outcome: Broken, Fault: true})
	require.NotContains(t, []string{"", first, reserved}, second)
	require.Zero(t, b.r.backends[reserved].ownLoad.total())
}

// Guards against sending a moved request to the earlier start of a server, past the limits of the present one.
func TestReservedPlaceAtAnEarlierStartIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newFixtureWithBudget(t, 2)
	first, _ := b.submit(urgentRoute, 0, 10)
	id := b.next
	require.True(t, b.stall(id))
	for name, be := range b.r.backends {
		if name != first {
			ch := routing.BackendChange{Revision: rev(70), Backend: be.Backend}
			ch.Start = 2000
			b.receive(ch)
			require.NotSame(t, be, b.r.backends[name])
			break
		}
	}
	second := b.endsAt(DispatchEnded{ID: id, Outcome: Broken, Fault: true})
	require.NotContains(t, []string{"", first}, second)
	require.Equal(t, 1, b.r.backends[second].ownLoad.total(), "counted at the present start")
}

// Guards against ending a stream whose first server is sound because the server that it moved to doesn't take it.
func TestMovedRequestReturnsIfItIsNotTaken(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]Outcome{"not sent": NotSent, "rejected": Rejected, "broken": Broken} {
		for _, othersFull := range []bool{false, true} {
			b := newFixtureWithBudget(t, 3)
			first, _ := b.submit(urgentRoute, 0, 10)
			id := b.next
			require.True(t, b.stall(id))
			second := b.endsAt(DispatchEnded{ID: id, Outcome: Broken, Fault: true})
			for engine, be := range b.r.backends {
				if engine == first || engine == second {
					continue
				}
				be.Draining = !othersFull
				be.othersLoad.counts[0] = 100
			}
			require.Equal(t, first, b.endsAt(DispatchEnded{ID: id, Outcome: o, Fault: true}), name)
			require.Empty(t, b.endsAt(DispatchEnded{ID: id, Outcome: Broken, Fault: true}), "%s: goes round", name)
			require.Zero(t, b.held(), name)
		}
	}
}

// Guards the same in a large fleet, where owners count the load, and against a load that stays at an owner.
func TestMovedRequestKeepsItsPlaceInALargeFleet(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 6)
	h := z.hosts[0]
	for range 20 {
		z.submitAt(h, nil, 0, nil)
	}
	z.run(20*time.Second, 0)
	require.True(t, h.r.usesOwners())
	z.submitAt(h, nil, 0, nil)
	id := z.next
	z.run(30*time.Millisecond, 0)
	require.NotNil(t, h.r.requests[id])
	first := h.r.requests[id].backend
	require.NotNil(t, first)
	out := h.r.Reduce(z.now, Stalled{ID: id})
	require.True(t, effectsOf[StallDecision](out)[0].Reassign)
	for _, e := range out {
		z.effect(h, e)
	}
	for _, be := range h.r.backends {
		be.useOwnerReport, be.ownerReportedAt = true, z.now
		be.ownerLoad.counts[0] = 100
	}
	out = h.r.Reduce(z.now, DispatchEnded{ID: id, Outcome: Broken, Fault: true})
	sent := effectsOf[Dispatch](out)
	require.Len(t, sent, 1, "given up or asks an owner though a place is reserved")
	require.NotEqual(t, first.ID, sent[0].Backend.ID)
	for _, e := range out {
		if _, ok := e.(Send); ok {
			z.effect(h, e)
		}
	}
	require.Equal(t, 1, h.r.backends[sent[0].Backend.ID].ownLoad.total())
	z.post(h, DispatchEnded{ID: id, Outcome: Answered})
	z.run(20*time.Millisecond, 0)
	for _, other := range z.hosts {
		for _, be := range other.r.backends {
			require.Zero(t, be.ownLoad.total(), "%s of %s", be.ID, other.ip)
			if other.r.owns(be) {
				require.Zero(t, be.loadOfOthers().total(), be.ID)
			}
		}
	}
}
