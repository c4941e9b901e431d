package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// firstReads are when hosts of a fleet that starts at once read the store, by their own clocks.
func firstReads(hosts int, seeds []string) []time.Duration {
	var out []time.Duration
	for i := 1; i <= hosts; i++ {
		r := New(Options{Host: fmt.Sprintf("10.0.0.%d", i), Zone: "z0", Incarnation: 1, Seed: uint64(i), Seeds: seeds})
		for now := time.Duration(0); ; now += time.Millisecond {
			if reads(r.Reduce(now, Tick{})) {
				out = append(out, now)
				break
			}
		}
	}
	return out
}

func reads(list []Effect) bool {
	for _, e := range list {
		if rs, ok := e.(ReadStore); ok && rs.On {
			return true
		}
	}
	return false
}

// All hosts lose power together and start again while callers wait. They waited a quarter of a second for
// peers that might know the configuration, all of them, and refused some 150 requests of the fleet
// meanwhile. The seeds, whom everybody greets, read at once; where they are down, few others do.
func TestSomebodyReadsTheStoreAtOnce(t *testing.T) {
	at := firstReads(9, []string{"10.0.0.2", "10.0.0.5"})
	require.Zero(t, at[1])
	require.Zero(t, at[4])
	at = firstReads(300, []string{"10.0.9.1"})
	soon := 0
	for _, when := range at {
		require.LessOrEqual(t, when, startWait+time.Millisecond)
		if when < startWait/5 {
			soon++
		}
	}
	require.Positive(t, soon)
	require.Less(t, soon, 300/10, "hundreds of hosts must not all list the store before they hear each other")
}

// beatsTo collects the hosts that beats go to.
func beatsTo(list []Effect) []string {
	var out []string
	for _, b := range effectsOf[SendBeat](list) {
		out = append(out, b.To...)
	}
	return out
}

// A host starts and greets a peer that knows the configuration. The peer answers with a beat at once, as
// the newcomer asks for news only when it hears that there are any: at the usual period of beats, callers
// would be refused up to a tenth of a second longer.
func TestNewcomerHearsAtOnce(t *testing.T) {
	b := newBench(t, 1)
	b.post(Heard{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	b.now += changeGap + time.Millisecond
	b.post(Tick{})
	b.now += changeGap
	require.Contains(t, beatsTo(b.post(Heard{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 1}})), "10.0.0.3")
}

// The first of the starting hosts has read the configuration. The others, which wait for it, hear so at
// once.
func TestFirstConfigurationIsToldAtOnce(t *testing.T) {
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1, Seeds: []string{"10.0.0.1"}})
	r.Reduce(0, Heard{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	r.Reduce(0, Tick{})
	now := changeGap + 5*time.Millisecond
	n := News{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1}}}
	require.Contains(t, beatsTo(r.Reduce(now, n)), "10.0.0.2")
}

// All hosts of a large fleet start together while a workspace asks for many times its quota. A host that
// took callers before it knew how many others there are let through its part of a few, and the fleet more
// than the operators' bound. It waits until it has heard the others.
func TestStartInALargeFleetWaitsForTheOthers(t *testing.T) {
	inForce := func(list []Effect) bool { return len(effectsOf[InForce](list)) > 0 }
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	for i := 0; i <= fullMesh; i++ {
		r.meet(fmt.Sprintf("10.0.3.%d", i), "z3")
	}
	n := News{Changes: routing.Changes{Config: &routing.Config{Version: 1}}}
	require.False(t, inForce(r.Reduce(20*time.Millisecond, n)))
	require.False(t, r.Ready())
	require.False(t, inForce(r.Reduce(startWait-time.Millisecond, Tick{})))
	require.True(t, inForce(r.Reduce(startWait, Tick{})))
	require.False(t, inForce(r.Reduce(startWait+time.Millisecond, Tick{})), "once")

	small := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	require.True(t, inForce(small.Reduce(20*time.Millisecond, n)))
}

// Zones whose sums a starting host has not heard yet count as large as its own: the quotas are parted by the
// number of hosts. Later, a zone of which nothing is heard is gone.
func TestUnheardZonesCountWhileStarting(t *testing.T) {
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	for i := 2; i <= 10; i++ {
		r.Reduce(time.Millisecond, Heard{&gossippb.Beat{Host: fmt.Sprintf("10.0.0.%d", i), Zone: "z0", Incarnation: 1, Seq: 1}})
	}
	for i := 0; i <= fullMesh; i++ {
		r.meet(fmt.Sprintf("10.0.%d.1", 1+i), fmt.Sprintf("z%d", 1+i%3))
	}
	require.Equal(t, 4*10, r.hosts())
	r.Reduce(2*time.Millisecond, Heard{&gossippb.Beat{Host: "10.0.1.1", Zone: "z1", Incarnation: 1, Seq: 1,
		Zones: []*gossippb.ZoneSum{{Zone: "z1", Speaker: "10.0.1.1", Incarnation: 1, Seq: 1, Hosts: 30}}}})
	require.Equal(t, 10+30+2*10, r.hosts())
	r.now = unheardFor
	require.Equal(t, 10+30, r.hosts())
}
