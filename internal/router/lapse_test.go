package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// dispatchValidity is how long a decision is valid.
	dispatchValidity = 250 * time.Millisecond
	// lastDecision is when the last decision for a backend server that has left may be made.
	lastDecision = drainBound - dispatchValidity
)

// answerFor keeps the store answering the hosts that read it, and runs the fleet meanwhile.
func (s *spread) answerFor(d time.Duration) {
	const answerInterval = 500 * time.Millisecond
	for end := s.now + d; s.now < end; {
		for _, h := range s.hosts {
			if !s.blind[h.ip] && !h.r.updates.storeLost {
				s.post(h, Update{FromStore: true, After: h.r.updates.completeTo, AsOf: h.r.updates.completeTo})
			}
		}
		s.run(min(answerInterval, end-s.now), 0)
	}
}

// accept lets the hosts that read the store learn of a change, and returns how long some host uses the backend server then, at most
// limit.
func (s *spread) accept(ch routing.BackendChange, limit time.Duration) time.Duration {
	began := s.now
	s.readChanges(routing.Changes{Backends: []routing.BackendChange{ch}}, ch.Revision)
	for s.now-began < limit && s.anyUses(ch.ID) {
		s.answerFor(zoneStep)
	}
	return s.now - began
}

func (s *spread) setStore(ok bool) {
	for _, h := range s.hosts {
		s.post(h, StoreStatus{OK: ok})
	}
}

// A backend server leaves without saying that it drains, and one host learns of it from the others, as the store answers it no
// more, or has only just begun to. Guards against requests that it sends there later than the others may.
func TestRemovalBindsAHostThatTheStoreAloneFails(t *testing.T) {
	t.Parallel()
	for _, backFor := range []time.Duration{-1, 0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		s := newSpread(t, 4, 2, 1)
		late := s.hosts[7]
		s.blind[late.ip] = true
		s.answerFor(time.Second)
		s.post(late, StoreStatus{OK: false})
		s.answerFor(time.Second)
		if backFor >= 0 {
			s.post(late, StoreStatus{OK: true})
			s.answerFor(backFor)
		}
		require.Less(t, s.accept(changeOf("e001", 60, true), 2*drainBound), lastDecision, "back for %s", backFor)
	}
}

// The same after an outage for all hosts. Guards against a grace period that begins anew with each host that learns of the removal.
func TestRemovalBindsAfterAnOutage(t *testing.T) {
	t.Parallel()
	for _, backFor := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond} {
		for _, lateBack := range []bool{false, true} {
			s := newSpread(t, 4, 2, 1)
			late := s.hosts[7]
			s.setStore(false)
			s.answerFor(3 * time.Second)
			s.blind[late.ip] = true
			for _, h := range s.hosts {
				if h != late || lateBack {
					s.post(h, StoreStatus{OK: true})
				}
			}
			s.answerFor(backFor)
			require.Less(t, s.accept(changeOf("e001", 60, true), 2*drainBound), lastDecision, "back for %s, late host too: %t", backFor, lateBack)
		}
	}
}

// Guards against refusals after an outage for all hosts, while the backend servers whose registrations lapsed register anew.
func TestLapsedRegistrationIsUsedInTheWholeFleet(t *testing.T) {
	t.Parallel()
	s := newSpread(t, 4, 2, 1)
	s.setStore(false)
	s.answerFor(3 * time.Second)
	s.blind[s.hosts[7].ip] = true // it learns of the lapse from the others
	took := s.accept(changeOf("e001", 60, true), 2*drainBound)
	require.Greater(t, took, lastDecision-500*time.Millisecond)
	for _, h := range s.hosts {
		require.True(t, h.r.backends["e001"].removed, h.ip)
	}
}

// A removal says that the backend server drained before, which this host has not read. Guards against a grace period for it.
func TestRemovalOfADrainingServerHasNoGracePeriod(t *testing.T) {
	t.Parallel()
	drained := drainingAt("a", 60)
	drained.Removed = true
	listed := listing(rev(60), routing.Changes{})
	for name, updates := range map[string][]Update{
		"pulled":             {{Revision: rev(60), AsOf: rev(60), From: "10.0.0.9", Changes: routing.Changes{Backends: []routing.BackendChange{drained}}}},
		"listed, and pulled": {listed, {Revision: rev(60), AsOf: rev(60), From: "10.0.0.9", Changes: routing.Changes{Backends: []routing.BackendChange{drained}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newStandalone(t, "a")
			r.Reduce(2*time.Second, StoreStatus{OK: false})
			for _, n := range updates {
				r.Reduce(3*time.Second, n)
			}
			require.False(t, usable(r, "a"))
			register(r, 4*time.Second, changeOf("a", 61, false))
			require.False(t, usable(r, "a"), "a write from before it drained")
		})
	}
}

// A peer has known of a removal for a while. Guards against a grace period that ignores that.
func TestGracePeriodCountsFromTheRemoval(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(2*time.Second, StoreStatus{OK: false})
	ch := changeOf("a", 60, true)
	ch.Age = time.Second
	r.Reduce(3*time.Second, Update{Revision: rev(60), AsOf: rev(60), From: "10.0.0.9", Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	r.Reduce(2*time.Second+lastDecision, Tick{})
	require.False(t, usable(r, "a"))
}

// The store is back for a peer, and a second later for this host, which lists it and can't tell when the removal was. Guards against a
// grace period that begins with the listing.
func TestGracePeriodEndsWithTheFleets(t *testing.T) {
	t.Parallel()
	const storeBack = 3 * time.Second
	r := newStandalone(t, "a")
	r.Reduce(2*time.Second, StoreStatus{OK: false})
	r.Reduce(storeBack, HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1, ReadsStore: true}})
	r.Reduce(storeBack+time.Second, listing(rev(60), routing.Changes{}))
	require.True(t, usable(r, "a"))
	r.Reduce(storeBack+lastDecision, Tick{})
	require.False(t, usable(r, "a"))
}

// The store answers a peer throughout, and this host again half a second after a removal, which it only finds missing then. Guards
// against hosts that take their own loss of the store for an outage.
func TestRemovalWhileTheStoreAnswersAPeerHasNoGracePeriod(t *testing.T) {
	t.Parallel()
	const removedAt = 3 * time.Second
	r := newStandalone(t, "a")
	seq := uint64(0)
	beat := func(at time.Duration) {
		seq++
		r.Reduce(at, HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: seq, ReadsStore: true}})
	}
	beat(1500 * time.Millisecond)
	r.Reduce(2*time.Second, StoreStatus{OK: false})
	for at := 2 * time.Second; at < removedAt+500*time.Millisecond; at += 100 * time.Millisecond {
		beat(at)
		r.Reduce(at, Tick{})
	}
	r.Reduce(removedAt+500*time.Millisecond, listing(rev(60), routing.Changes{}))
	r.Reduce(removedAt+lastDecision, Tick{})
	require.False(t, usable(r, "a"))
}

// Guards against answers that wait for a backend server to their deadline, after another program has overwritten its registration
// while it might have lapsed.
func TestForeignOverwriteEndsTheGracePeriod(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(2*time.Second, StoreStatus{OK: false})
	r.Reduce(3*time.Second, listing(rev(60), routing.Changes{}))
	require.True(t, usable(r, "a"))
	foreign := changeOf("a", 61, true)
	foreign.Foreign = true
	out := r.Reduce(3500*time.Millisecond, Update{FromStore: true, After: rev(60), AsOf: rev(61), Changes: routing.Changes{Backends: []routing.BackendChange{foreign}}})
	gone, ok := findEffect[BackendGone](out)
	require.True(t, ok)
	require.False(t, gone.Doubtful)
	require.False(t, usable(r, "a"))
}
