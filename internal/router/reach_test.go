package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// maxRecognitionTime is how soon a cut host must serve its callers through others, as required by the operators.
const maxRecognitionTime = 3 * time.Second

// maxReturnTime is how soon after the end of a cut hosts must send to the backend servers themselves again.
const maxReturnTime = 2 * time.Second

// Hosts that are cut off from all backend servers kept on trying each of them. They must find out soon, name only hosts that
// reach the servers, and return soon after the end; the other hosts must not take themselves for cut off.
func TestCutHostsFindOut(t *testing.T) {
	t.Parallel()
	for _, to := range []path{refuses, hangs, silent, refusesNew} {
		t.Run(pathNames[to], func(t *testing.T) {
			t.Parallel()
			z := newCutWorld(t)
			cut, others := z.hosts[:6], z.hosts[6:]
			z.cut(6, to, anyEngine)
			took := z.runUntil(maxRecognitionTime, cutWorldRate, z.allCutOff(cut, true))
			t.Logf("recognised after %v", took)
			require.Less(t, took, maxRecognitionTime)
			z.onStep = func() {
				require.True(t, z.allCutOff(cut, true)())
				require.True(t, z.allCutOff(others, false)())
			}
			z.run(time.Second, cutWorldRate)
			for _, h := range cut {
				require.Equal(t, []string{"10.0.2.1", "10.0.2.2", "10.0.2.3"}, h.r.relayCandidates("m"))
			}
			z.probed = map[string]int{}
			z.run(6*time.Second, cutWorldRate)
			for _, h := range cut {
				require.LessOrEqual(t, z.probed[h.ip], 6*2*recoveryProbes)
			}
			z.onStep = nil
			z.heal()
			took = z.runUntil(maxReturnTime, cutWorldRate, z.allCutOff(cut, false))
			t.Logf("returned after %v", took)
			require.Less(t, took, maxReturnTime)
		})
	}
}

// A host that has lost only some of the backend servers reaches others itself.
func TestHostThatLostSomeServersIsNotCutOff(t *testing.T) {
	t.Parallel()
	for _, to := range []path{refuses, hangs} {
		z := newCutWorld(t)
		z.cut(6, to, func(e string) bool { return engineNumber(e) < 6 })
		z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
		z.run(5*time.Second, cutWorldRate)
	}
}

// The backend servers themselves are down. No host reaches them, and none may hand over its requests.
func TestNoHostIsCutOffFromServersThatAreDown(t *testing.T) {
	t.Parallel()
	for _, to := range []path{refuses, hangs} {
		z := newCutWorld(t)
		z.cut(9, to, anyEngine)
		z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
		z.run(5*time.Second, cutWorldRate)
	}
}

// Most backend servers of a service end, one after the other. The fault is not this host's, as the others fail to reach them too.
func TestServersThatEndInTurnCutOffNoHost(t *testing.T) {
	t.Parallel()
	z := newCutWorld(t)
	down := 0
	z.cut(9, refuses, func(e string) bool { return engineNumber(e) < down })
	z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
	for down = range 11 {
		z.run(time.Second, cutWorldRate)
	}
}

// Two or six hosts lose their path to most or all backend servers and report them. For the other
// hosts these must remain usable, at the latest once they have reached them.
func TestReportsOfCutHostsShutOutNoServer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		cut, lost int
		to        path
	}{
		"two hosts, refused":            {2, 10, refuses},
		"two hosts, hanging":            {2, 10, hangs},
		"six hosts, refused":            {6, 12, refuses},
		"six hosts, hanging":            {6, 12, hangs},
		"six hosts, new ones refused":   {6, 12, refusesNew},
		"two hosts, a third is refused": {2, 4, refuses},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newCutWorld(t)
			others := z.hosts[c.cut:]
			z.cut(c.cut, c.to, func(e string) bool { return engineNumber(e) < c.lost })
			z.onStep = func() {
				for _, h := range others {
					for _, b := range h.r.allBackends() {
						require.False(t, b.reach.heardAt > 0 && b.suspect(h.r.now), "%s at %s", b.ID, h.ip)
					}
				}
			}
			z.run(6*time.Second, cutWorldRate)
			z.heal()
			z.run(3*time.Second, cutWorldRate)
		})
	}
}

// The same in a large fleet, where owners count the failures that hosts report. The other hosts must keep serving.
func TestReportsOfCutHostsShutOutNoServerInALargeFleet(t *testing.T) {
	t.Parallel()
	for _, to := range []path{refuses, hangs} {
		t.Run(pathNames[to], func(t *testing.T) {
			t.Parallel()
			z := newLargeCutWorld(t)
			z.cut(12, to, anyEngine)
			others := z.hosts[12:20]
			avoided, seen := 0, 0
			for range 60 {
				z.run(100*time.Millisecond, largeCutWorldRate)
				for _, h := range others {
					for _, b := range h.r.zoneBackendsOf("m") {
						seen++
						if b.suspect(h.r.now) {
							avoided++
						}
					}
				}
			}
			t.Logf("avoided in %d of %d samples", avoided, seen)
			require.Less(t, avoided, seen/20)
		})
	}
}

// A backend server that stops answering must still cost each host no more than one request: reports of two hosts suffice.
func TestDeadServerIsLearnedFromReports(t *testing.T) {
	t.Parallel()
	for _, large := range []bool{false, true} {
		for _, to := range []path{refuses, hangs} {
			t.Run(fmt.Sprintf("large=%t %s", large, pathNames[to]), func(t *testing.T) {
				t.Parallel()
				z, rate := newCutWorld(t), cutWorldRate
				if large {
					z, rate = newLargeCutWorld(t), largeCutWorldRate
				}
				z.sends = map[string][]time.Duration{}
				z.cut(len(z.hosts), to, func(e string) bool { return e == "e005" })
				z.run(2*time.Second, rate)
				t.Logf("%d requests", len(z.sends["e005"]))
				require.LessOrEqual(t, len(z.sends["e005"]), len(z.hosts))
			})
		}
	}
}

// Hosts that are cut off see answers break and connections refused, as if the backend servers had ended. The requests that were in
// flight must not be quarantined for it, at any host.
func TestCutHostsBlameNoRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ engines, rate, cut, lost int }{"from all servers": {4, cutWorldRate, 6, 12},
		"from most servers": {4, cutWorldRate, 2, 10}, "all hosts": {4, cutWorldRate, 9, 12}, "two of three servers": {1, 12, 6, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newZones(t, 3, 3, c.engines)
			z.heal()
			z.run(3*time.Second, c.rate)
			z.digest = popular
			z.cut(c.cut, refuses, func(e string) bool { return engineNumber(e) < c.lost })
			z.onStep = func() {
				for _, h := range z.hosts {
					require.False(t, h.r.HasSuspects(), h.ip)
				}
			}
			z.run(6*time.Second, c.rate)
			z.heal()
			z.run(3*time.Second, c.rate)
		})
	}
}

// A request that crashes one engine after another must still be known to all hosts in time.
func TestDeadlyRequestIsFoundWhileConnectionsAreProbed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ zones, hosts, engines, rate int }{{3, 3, 4, 72}, {3, 20, 15, 300}} {
		t.Run(fmt.Sprintf("%d zones of %d with %d engines", c.zones, c.hosts, c.engines), func(t *testing.T) {
			t.Parallel()
			z := newZones(t, c.zones, c.hosts, c.engines)
			newCrashes(z, c.rate, 100*time.Millisecond)
			z.run(maxSpreadTime, c.rate)
			requireBlamed(t, z)
		})
	}
}

// The same where three engines are all there are. That the last one has ended shows when its registration is removed, as connections to
// most engines are refused then.
func TestDeadlyRequestThatEndsAllServersIsFound(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 3, 1)
	o := newCrashes(z, 6, time.Second)
	z.run(time.Second, 6)
	gone := Update{FromStore: true, After: rev(50), AsOf: rev(60)}
	for engine := range o.ended {
		gone.Backends = append(gone.Backends, routing.BackendChange{Backend: routing.Backend{ID: engine}, Revision: rev(60), Removed: true})
	}
	for _, h := range z.hosts {
		z.post(h, gone)
	}
	z.run(maxSpreadTime, 6)
	requireBlamed(t, z)
}

// newCrashes sends the crashing request to three hosts in turn while probes are answered.
func newCrashes(z *zone, rate int, pause time.Duration) *crashSender {
	o := newCrashSender(z)
	z.paths = func(_ *zoneHost, engine string) path {
		if o.ended[engine] {
			return refuses
		}
		return open
	}
	z.run(time.Second, rate)
	for i := range 3 {
		o.send(z.hosts[(i*7)%len(z.hosts)])
		z.run(pause, rate)
	}
	return o
}

func requireBlamed(t *testing.T, z *zone) {
	for _, h := range z.hosts {
		require.NotNil(t, h.r.suspects.ledger.Blamed(crashing), h.ip)
	}
}

// A whole zone of a large fleet is cut off from all backend servers. Its hosts must find out, and find hosts of other zones.
func TestZoneThatIsCutOffFindsHostsOfOtherZones(t *testing.T) {
	t.Parallel()
	for _, to := range []path{refuses, hangs} {
		t.Run(pathNames[to], func(t *testing.T) {
			t.Parallel()
			z := newLargeCutWorld(t)
			cut := z.hosts[:20]
			z.cut(20, to, anyEngine)
			took := z.runUntil(maxRecognitionTime, largeCutWorldRate, z.allCutOff(cut, true))
			t.Logf("recognised after %v", took)
			require.Less(t, took, maxRecognitionTime)
			for range 30 {
				z.run(100*time.Millisecond, largeCutWorldRate)
				for _, h := range cut {
					require.NotEmpty(t, h.r.relayCandidates("m"), h.ip)
				}
			}
			z.heal()
			took = z.runUntil(maxReturnTime, largeCutWorldRate, z.allCutOff(cut, false))
			t.Logf("returned after %v", took)
			require.Less(t, took, maxReturnTime)
		})
	}
}

// One service is cut off, the other is not.
func TestCutOfOneServiceLeavesTheOther(t *testing.T) {
	t.Parallel()
	h := newTwoServices(t)
	h.run(time.Second, map[string]bool{"x": true, "y": true, "z": true})
	require.True(t, h.r.cutOff("m"))
	require.False(t, h.r.cutOff("other"))
	require.Equal(t, []string{"10.0.0.8"}, h.r.relayCandidates("m"))
	require.Equal(t, []string{"cut off", "ready"}, []string{h.r.View().Backends[0].State, h.r.View().Backends[3].State})
	h.beat.Seq, h.beat.CutOff = h.beat.Seq+1, []uint32{hashOfService("m")}
	h.r.Reduce(h.now, HeartbeatReceived{Heartbeat: h.beat})
	require.Empty(t, h.r.relayCandidates("m"), "a host that is cut off itself is none")
	require.False(t, h.r.cutOff("m"))
}

// A host that has lost two of three backend servers may reach the third only. Beside the loss of another service that is the same fault.
func TestLossOfTwoInThreeCountsBesideACut(t *testing.T) {
	t.Parallel()
	h := newTwoServices(t)
	h.run(time.Second, map[string]bool{"a": true, "b": true, "c": true, "z": true})
	require.False(t, h.r.cutOff("other"))
	h.run(time.Second, map[string]bool{"z": true})
	require.True(t, h.r.cutOff("m"))
	require.True(t, h.r.cutOff("other"))
	h.run(time.Second, map[string]bool{"a": true, "b": true, "c": true, "x": true, "z": true})
	require.False(t, h.r.cutOff("m"))
	require.False(t, h.r.cutOff("other"))
}

// A host that is cut off from one service must not wait for requests to fail to learn that it has lost another one too.
func TestCutOfOneServiceProbesTheOther(t *testing.T) {
	t.Parallel()
	h := newTwoServices(t)
	h.r.Reduce(h.now, ProbeResult{ID: "x", Reached: true})
	h.engines = []string{"a", "b", "c"}
	h.run(time.Second, nil)
	require.True(t, h.r.cutOff("m"))
	require.ElementsMatch(t, []string{"x", "y", "z"}, h.probed)
}

// twoServices is a host with a peer that reaches both services, "m" with engines a to c and "other" with x to z.
type twoServices struct {
	r    *Router
	now  time.Duration
	beat *gossippb.Beat
	// engines are those whose probes are answered, probed the others that were probed.
	engines, probed []string
}

func newTwoServices(t *testing.T) *twoServices {
	r := newStandalone(t, "a", "b", "c")
	n := Update{FromStore: true, After: rev(50), AsOf: rev(60)}
	for _, id := range []string{"x", "y", "z"} {
		ch := changeOf(id, 60, false)
		ch.Service, ch.Slots, ch.Zone = "other", 4, "z0"
		n.Backends = append(n.Backends, ch)
	}
	r.Reduce(time.Second, n)
	beat := &gossippb.Beat{Host: "10.0.0.8", Zone: "z0", Incarnation: 1, Reaches: []uint32{hashOfService("m"), hashOfService("other")}}
	return &twoServices{r: r, now: 2 * time.Second, beat: beat, engines: []string{"a", "b", "c", "x", "y", "z"}}
}

// run probes all engines again and again, of which some are reached and the others refuse.
func (h *twoServices) run(d time.Duration, reached map[string]bool) {
	for end := h.now + d; h.now < end; h.now += 50 * time.Millisecond {
		h.beat.Seq++
		out := h.r.Reduce(h.now, HeartbeatReceived{Heartbeat: proto.Clone(h.beat).(*gossippb.Beat)})
		for _, id := range h.engines {
			out = append(out, h.r.Reduce(h.now, ProbeResult{ID: id, Reached: reached[id], Refused: !reached[id]})...)
		}
		out = append(out, h.r.Reduce(h.now, Tick{})...)
		for _, e := range effectsOf[Probe](out) {
			if !slices.Contains(h.engines, e.Backend.ID) {
				h.probed = append(h.probed, e.Backend.ID)
			}
		}
	}
}

// The path to a backend server was lost while it answered. The time that this took says nothing of its speed.
func TestAnswersAcrossALostPathTeachNoSpeed(t *testing.T) {
	t.Parallel()
	plain := &routing.Route{Name: "plain", Kind: routing.Idempotent, MaxAttempts: 1, Shares: fragile.Shares}
	for _, route := range []*routing.Route{plain, fragile} {
		r := newStandalone(t, "a")
		r.Reduce(2*time.Second, Submit{ID: 1, Route: route, PromptTok: minPromptTokens, Deadline: time.Minute})
		r.Reduce(3*time.Second, ProbeResult{ID: "a"})
		r.Reduce(5*time.Second, ProbeResult{ID: "a", Reached: true})
		r.Reduce(5*time.Second, StreamStarted{ID: 1, First: 3 * time.Second})
		r.Reduce(6*time.Second, DispatchEnded{ID: 1, Outcome: Answered, First: 3 * time.Second, Interval: 2 * time.Second, Events: 2})
		require.Zero(t, r.backends["a"].speed(), route.Name)
	}
}

// Open exchanges with a backend server that can no longer be reached break one by one. That is no fault in answers to tell others.
func TestUnreachableServerIsNotReportedAsFailing(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(time.Second, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: "10.0.0.8", Zone: "z0", Incarnation: 1, Seq: 1}})
	for id := range uint64(3) {
		r.Reduce(2*time.Second, Submit{ID: id, Route: fragile, Deadline: time.Minute})
	}
	r.Reduce(3*time.Second, ProbeResult{ID: "a", Refused: true})
	for id := range uint64(3) {
		r.Reduce(3*time.Second, DispatchEnded{ID: id, Outcome: Broken, Fault: true})
	}
	beat, ok := findEffect[SendHeartbeat](r.Reduce(4*time.Second, Tick{}))
	require.True(t, ok)
	require.Empty(t, beat.Heartbeat.Failing)
	require.Equal(t, []uint32{r.backends["a"].hash}, beat.Heartbeat.Dead)
}

// A backend server that refused a connection while others were probed, and accepts one now, has not ended.
func TestServerThatIsReachedAfterARefusalHasNotEnded(t *testing.T) {
	t.Parallel()
	h := newTwoServices(t)
	h.engines = []string{"b", "c"}
	reached := map[string]bool{"b": true, "c": true}
	h.run(time.Second, reached)
	h.r.Reduce(h.now, Submit{ID: 1, Route: fragile, Digest: crashing, Deadline: time.Minute})
	engine := h.r.requests[1].backend.ID
	h.r.Reduce(h.now, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: crashing})
	h.r.Reduce(h.now, ProbeResult{ID: engine, Refused: true})
	h.r.Reduce(h.now, ProbeResult{ID: engine, Reached: true})
	h.run(time.Second, reached)
	require.False(t, h.r.HasSuspects())
	require.False(t, h.r.backends[engine].exited)
}
