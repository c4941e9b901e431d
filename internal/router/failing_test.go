package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

// newFailingFleet returns a fleet under load in which the given engines break a share of the requests that begin there. Requests
// that began earlier complete normally.
func newFailingFleet(t *testing.T, share float64, engines ...string) *zone {
	z := newZones(t, 4, 17, 15)
	z.breaks, z.broken = map[string]float64{}, map[string]int{}
	z.run(2*time.Second, 300)
	for _, e := range engines {
		z.breaks[e] = share
	}
	return z
}

// One engine of 60 breaks each new request for five seconds while older streams still complete there. It looks idle,
// and with each host learning for itself 521 requests were lost. The first hosts to lose some must warn all zones.
func TestOneFailingServerTakesFewRequests(t *testing.T) {
	t.Parallel()
	z := newFailingFleet(t, 1, "e022")
	z.run(5*time.Second, 300)
	require.LessOrEqual(t, z.broken["e022"], 15)
}

// The same under overload. All other engines are full, and the failing one always has room: four such engines lost
// 1,400 requests in five seconds.
func TestFailingServerGetsFewRequestsUnderOverload(t *testing.T) {
	t.Parallel()
	z := newFailingFleet(t, 1, "e022")
	z.run(5*time.Second, 1000)
	require.Positive(t, z.refused)
	require.LessOrEqual(t, z.broken["e022"], 15)
}

// Owners do not reply to slot requests, so all hosts decide locally. They still learn from the owners' reports which
// engine fails, in its zone and in others.
func TestFailingServerIsReportedWithoutSlotReplies(t *testing.T) {
	t.Parallel()
	z := newFailingFleet(t, 1, "e022")
	z.drops = func(_, _ string, p *gossippb.Packet) bool { return p.Ask != nil }
	z.run(5*time.Second, 300)
	require.LessOrEqual(t, z.broken["e022"], 15)
	z.originZone = "z0" // overflows to the other zones
	z.breaks["e037"] = 1
	z.run(5*time.Second, 300)
	require.LessOrEqual(t, z.broken["e037"], 15)
}

// All engines break a share of their requests. The fleet keeps using them.
func TestFleetOfSuspectsServes(t *testing.T) {
	t.Parallel()
	z := newZones(t, 2, 4, 4)
	z.breaks, z.broken = map[string]float64{}, map[string]int{}
	for i := range 8 {
		z.breaks[fmt.Sprintf("e%03d", i)] = 0.6
	}
	z.run(5*time.Second, 40)
	z.dispatched, z.refused = 0, 0
	z.run(5*time.Second, 40)
	require.Less(t, z.refused, z.dispatched/10)
}

// An engine that breaks nearly every other request serves some requests on probation. One success must not restore it.
func TestHalfFailingServerTakesFewRequests(t *testing.T) {
	t.Parallel()
	z := newFailingFleet(t, 0.45, "e022")
	z.run(5*time.Second, 300)
	require.LessOrEqual(t, z.broken["e022"], 15)
	z.breaks["e022"] = 0
	z.sends = map[string][]time.Duration{}
	z.run(10*time.Second, 300)
	require.Greater(t, len(z.sends["e022"]), 15, "it is trusted again")
}

// All engines of a zone lose 2% of their answers. Hardly any may be avoided for that.
func TestServersThatLoseFewAnswersAreNotShutOut(t *testing.T) {
	t.Parallel()
	z := newFailingFleet(t, 0.02, "e015", "e016", "e017", "e018", "e019", "e020", "e021", "e022", "e023", "e024", "e025", "e026", "e027", "e028", "e029")
	avoided, seen := 0, 0
	for range 50 {
		z.run(100*time.Millisecond, 300)
		for _, b := range z.hosts[0].r.allBackends() {
			if b.Zone == "z1" {
				seen++
			}
			if b.Zone == "z1" && b.suspect(z.hosts[0].r.now) {
				avoided++
			}
		}
	}
	require.Less(t, float64(avoided), 0.1*float64(seen))
}

// The success of a stream that began before a failure does not clear the failure.
func TestOlderRunsClearNoFailure(t *testing.T) {
	t.Parallel()
	b := newBackend(changeOf("a", 10, false).Backend)
	b.failed(2 * time.Second)
	b.succeeded(time.Second)
	b.failed(3 * time.Second)
	require.True(t, b.suspect(3*time.Second))
	for sentAt := 4 * time.Second; sentAt < 7*time.Second; sentAt += time.Second {
		require.True(t, b.onProbation())
		b.succeeded(sentAt)
	}
	require.False(t, b.onProbation())
}

// In a small fleet hosts report which engines fail their requests. A single report may stem from a fault of its sender.
func TestReportsOfTwoHostsMakeASuspect(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b")
	report := func(host string, seq uint64, failing ...uint32) {
		r.Reduce(time.Second, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: host, Zone: "z0", Incarnation: 1, Seq: seq, Failing: failing}})
	}
	a := r.backends["a"]
	report("10.0.0.8", 1, a.hash)
	require.False(t, a.suspect(r.now))
	report("10.0.0.9", 1, a.hash)
	require.True(t, a.suspect(r.now))
	report("10.0.0.9", 2)
	require.False(t, a.suspect(r.now))
}

// Another zone's summary lists a failing engine. A host that finds nothing better decides locally after some refusals,
// and must still avoid that engine.
func TestZoneSummariesReportWhatFails(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 10, 3)
	z.run(2*time.Second, 50)
	h := z.hosts[0].r
	b := h.backends["e004"]
	require.Equal(t, "z1", b.Zone)
	owner := z.byIP[h.ownerOf(b)]
	for range suspectAfterFailures {
		owner.r.recordFailure(owner.r.backends["e004"])
	}
	z.run(time.Second, 0)
	require.True(t, b.suspect(h.now))
	z.run(2*maxAvoidDuration, 0)
	require.True(t, b.suspect(h.now), "until the owner trusts it again")
	for range probationSuccesses {
		owner.r.backends["e004"].succeeded(owner.r.now)
	}
	z.run(2*ownerFailingTTL, 0)
	require.False(t, b.suspect(h.now))
}
