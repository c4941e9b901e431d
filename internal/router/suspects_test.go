package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
)

// maxSpreadTime is how soon after the third end all hosts must know of it, as required by the operators.
const maxSpreadTime = 3 * time.Second

var (
	crashing = quarantine.Identity{Target: "/deadly"}.Digest()
	popular  = quarantine.Identity{Target: "/popular"}.Digest()
)

// crashSender sends one request repeatedly to hosts of a fleet. It crashes each engine that runs it.
type crashSender struct {
	z       *zone
	ended   map[string]bool
	ends    int
	sends   int // to running engines
	late    int // sends later than maxSpreadTime after the third end
	thirdAt time.Duration
	refused int
}

func newCrashSender(z *zone) *crashSender { return &crashSender{z: z, ended: map[string]bool{}} }

// send submits the crashing request at a host. The engine that runs it crashes a moment later and refuses connections from
// then on.
func (o *crashSender) send(h *zoneHost) {
	z := o.z
	z.next++
	id := z.next
	z.runs[id] = &zoneRun{host: h, submittedAt: z.now}
	sub := Submit{ID: id, Route: fragile, PromptTok: 259, OutputTok: 100, Deadline: z.now - h.startedAt + 10*time.Second}
	if h.r.HasSuspects() {
		sub.Digest = crashing
	}
	z.post(h, sub)
	for range maxSends {
		z.run(30*time.Millisecond, 0)
		run := z.runs[id]
		if run == nil {
			o.refused++
			return
		}
		if run.engine == "" {
			continue
		}
		if !o.ended[run.engine] {
			break
		}
		run.engine = ""
		z.post(h, DispatchEnded{ID: id, Outcome: NotSent, Fault: true})
	}
	engine := z.runs[id].engine
	require.NotEmpty(z.t, engine)
	delete(z.runs, id)
	o.ended[engine] = true
	o.sends++
	if o.ends >= 3 && z.now > o.thirdAt+maxSpreadTime {
		o.late++
	}
	if o.ends++; o.ends == 3 {
		o.thirdAt = z.now
	}
	z.post(h, DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: crashing})
	z.post(h, ProbeResult{ID: engine, Refused: true})
}

// fragile is a route whose requests run at most once.
var fragile = &routing.Route{Name: "fragile", Kind: routing.Streaming, MaxAttempts: 1, Target: 400 * time.Millisecond,
	Shares: []routing.Share{{Service: "m", Weight: 1}}}

// A crashing request reaches hosts of all zones in turn, ten times a second. No host sees it twice, and each end is
// observed in one zone only. Within maxSpreadTime of the third end no host may send it any more, even if 10% of
// datagrams are lost.
func TestAllHostsLearnOfADeadlyRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ zones, hosts int }{{3, 3}, {6, 20}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.hosts), func(t *testing.T) {
			t.Parallel()
			z := newZones(t, c.zones, c.hosts, 12)
			z.drops = func(_, _ string, _ *gossippb.Packet) bool { return z.rng.IntN(10) == 0 }
			o := newCrashSender(z)
			for i := range 80 {
				o.send(z.hosts[(i*7)%len(z.hosts)])
				z.run(100*time.Millisecond, 0)
			}
			require.Greater(t, z.now, o.thirdAt+2*maxSpreadTime)
			require.Zero(t, o.late)
			t.Logf("%d sends, %d refused", o.sends, o.refused)
			for _, h := range z.hosts {
				require.NotNil(t, h.r.suspects.ledger.Blamed(crashing), h.ip)
			}
		})
	}
}

// During a network cut a crashing request crashes one engine inside a zone and two outside, so neither side knows of three
// ends. Soon after the cut both must.
func TestEndsOfBothSidesOfACutAddUp(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 8, 8)
	o := newCrashSender(z)
	cut := true
	z.drops = func(from, to string, _ *gossippb.Packet) bool {
		return cut && (z.byIP[from].zone == "z0") != (z.byIP[to].zone == "z0")
	}
	z.run(2*time.Second, 0)
	o.send(z.hosts[0])
	o.send(z.hosts[9])
	o.send(z.hosts[17])
	z.run(2*maxSpreadTime, 0) // no host reports it as new any more
	for _, h := range z.hosts {
		require.Nil(t, h.r.suspects.ledger.Blamed(crashing), h.ip)
	}
	cut = false
	z.run(maxSpreadTime, 0)
	for _, h := range z.hosts {
		require.NotNil(t, h.r.suspects.ledger.Blamed(crashing), h.ip)
	}
}

// A host restarts long after a request was quarantined, without any record of it. The next such request would crash one
// more engine.
func TestStartedHostLearnsOfQuarantines(t *testing.T) {
	t.Parallel()
	for _, perZone := range []int{3, 8} {
		z := newZones(t, 3, perZone, 8)
		o := newCrashSender(z)
		for i := range 3 {
			o.send(z.hosts[perZone*i])
		}
		z.run(2*maxSpreadTime, 0)
		h := z.hosts[2]
		h.startedAt = z.now
		h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: 999, Seed: 9, Seeds: []string{"10.0.0.1"}, Bounds: Bounds{RetryRatio: 0.2, RetryWindow: time.Second}})
		z.run(maxSpreadTime, 0)
		require.NotNil(t, h.r.suspects.ledger.Blamed(crashing), "%d hosts a zone", perZone)
	}
}

// Three engines are lost with a rack while each runs the same popular request, which succeeds elsewhere. It must not be
// refused at any host.
func TestPopularRequestIsNotBlamedForARackFailure(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 8, 8)
	for i, engine := range []string{"e001", "e009", "e017"} {
		h := z.hosts[8*i]
		h.r.recordEndWithRequest(h.r.backends[engine], brokenRequest{digest: popular, workspace: "school", at: z.now - h.startedAt})
	}
	z.run(maxSpreadTime, 0)
	h := z.hosts[4]
	require.NotNil(t, h.r.suspects.ledger.Blamed(popular), "until a run succeeds")
	q := &request{Submit: Submit{Digest: popular}}
	h.r.recordRequestOutcome(h.r.backends["e002"], q, DispatchEnded{Outcome: Answered, Success: true})
	z.run(maxSpreadTime, 0)
	for _, h := range z.hosts {
		require.Nil(t, h.r.suspects.ledger.Blamed(popular), h.ip)
	}
}

// newStandalone returns a host that knows some engines and no other host.
func newStandalone(t *testing.T, engines ...string) *Router {
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Bounds: Bounds{RetryRatio: 0.2, RetryWindow: time.Second, RetryExtra: 100}})
	n := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1, Services: []routing.Service{{Name: "m", Model: true}}}}}
	for _, id := range engines {
		ch := changeOf(id, 10, false)
		ch.Slots, ch.Zone = 4, "z0"
		n.Backends = append(n.Backends, ch)
	}
	r.Reduce(time.Second, n)
	return r
}

func dispatchOf(t *testing.T, out []Effect) Dispatch {
	for _, e := range out {
		if d, ok := e.(Dispatch); ok {
			return d
		}
	}
	require.Fail(t, "nothing is sent", "%v", out)
	return Dispatch{}
}

func findEffect[E Effect](out []Effect) (found E, ok bool) {
	for _, e := range out {
		if f, is := e.(E); is {
			return f, true
		}
	}
	return found, false
}

// sendAndBreak sends a request with a digest and breaks its answer. It returns the engine and the resulting effects.
func sendAndBreak(t *testing.T, r *Router, id uint64, at time.Duration, route *routing.Route) (engine string, out []Effect) {
	d := dispatchOf(t, r.Reduce(at, Submit{ID: id, Route: route, Digest: crashing, Deadline: at + time.Minute}))
	return d.Backend.ID, r.Reduce(at, DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: crashing})
}

// A broken connection to an engine that still runs is no evidence against the request, even if the engine ends some
// seconds later. The engine has ended if it refuses connections, if another instance has its address, or if its
// registration is removed.
func TestOnlyEndsCount(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		then func(r *Router, engine string)
		want bool
	}{
		"is reached":      {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Reached: true}) }, false},
		"does not answer": {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id}) }, false},
		"is reached, and its registration is removed later": {func(r *Router, id string) {
			r.Reduce(2*time.Second, ProbeResult{ID: id, Reached: true})
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, false},
		"does not answer, and its registration is removed later": {func(r *Router, id string) {
			r.Reduce(2*time.Second, ProbeResult{ID: id})
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, true},
		"unknown":                  {func(*Router, string) {}, false},
		"refuses connection":       {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Refused: true}) }, true},
		"refused by another start": {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Start: 7, Refused: true}) }, false},
		"registration is removed": {func(r *Router, id string) {
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, true},
		"registration is removed long after": {func(r *Router, id string) {
			r.Reduce(2*time.Second+endConfirmWindow+1, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, false},
		"restarts": {func(r *Router, id string) {
			ch := changeOf(id, 60, false)
			ch.Start = 5
			r.Reduce(3*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newStandalone(t, "a")
			engine, out := sendAndBreak(t, r, 1, 2*time.Second, fragile)
			check, ok := findEffect[Probe](out)
			require.True(t, ok)
			require.Equal(t, engine, check.Backend.ID)
			c.then(r, engine)
			require.Equal(t, c.want, r.HasSuspects())
		})
	}
}

// An engine's registration lapses and returns: it has not ended. Requests that break there later are not suspected.
func TestLapsedEngineThatIsBackHasNotEnded(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	register(r, 12*time.Second, changeOf("a", 60, true))
	register(r, 13*time.Second, changeOf("a", 61, false))
	sendAndBreak(t, r, 1, 14*time.Second, fragile)
	require.False(t, r.HasSuspects())
}

// An engine that leaves ends by itself, with streams in flight that took too long. They are not suspected.
func TestLeavingEngineBlamesNoRequest(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	d := dispatchOf(t, r.Reduce(2*time.Second, Submit{ID: 1, Route: fragile, Deadline: time.Minute}))
	ch := changeOf("a", 60, false)
	ch.Draining = true
	r.Reduce(3*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	out := r.Reduce(4*time.Second, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: crashing})
	_, asked := findEffect[Probe](out)
	require.False(t, asked)
	r.Reduce(4*time.Second, ProbeResult{ID: d.Backend.ID, Refused: true})
	require.False(t, r.HasSuspects())
}

// A crashing request on a resumable route is repeated by the host itself when an engine ends. The host must stop when the
// request is quarantined, report that it may have run, and charge nothing for it to the service's retry budget. The
// caller's next attempt has not run and is refused as such.
func TestQuarantineEndsOwnRepeats(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b", "c", "d", "e", "f")
	resumable := &routing.Route{Name: "resumable", Kind: routing.Streaming, Resumable: true, MaxAttempts: 6, Shares: fragile.Shares}
	at := 2 * time.Second
	d := dispatchOf(t, r.Reduce(at, Submit{ID: 1, Route: resumable, Deadline: at + time.Minute}))
	for range 2 {
		out := r.Reduce(at, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: crashing})
		r.Reduce(at, ProbeResult{ID: d.Backend.ID, Refused: true})
		d = dispatchOf(t, out)
	}
	r.recordEndWithRequest(r.backends[d.Backend.ID], brokenRequest{digest: crashing, at: at}) // one more end, reported by another host
	out := r.Reduce(at, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: crashing})
	gaveUp, ok := findEffect[GiveUp](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, gaveUp.Cause)
	out = r.Reduce(at, Submit{ID: 2, Route: resumable, Digest: crashing, Deadline: at + time.Minute})
	refuse, ok := findEffect[Refuse](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, refuse.Cause)
	require.Positive(t, refuse.RetryAfter)
	require.Zero(t, r.Requests())
}

// An innocent request was quarantined and no run is left that could clear it. After a while a single host lets it run
// once. A success clears it; a further end must not let other hosts try as well.
func TestOneHostTriesAQuarantinedRequest(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 3, 4)
	for i, engine := range []string{"e001", "e005", "e009"} {
		h := z.hosts[3*i]
		h.r.recordEndWithRequest(h.r.backends[engine], brokenRequest{digest: crashing, workspace: "school", at: z.now})
	}
	z.run(maxSpreadTime, 0)
	z.now += time.Minute
	z.run(2*time.Second, 0)
	var tried []*zoneHost
	for round := range 2 {
		for _, h := range z.hosts {
			z.next++
			z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
			z.post(h, Submit{ID: z.next, Route: fragile, Digest: crashing, Deadline: z.now + time.Minute})
			if run := z.runs[z.next]; run != nil {
				require.Zero(t, round, "one at a time")
				run.ends = z.now + time.Hour
				tried = append(tried, h)
			}
		}
	}
	require.Len(t, tried, 1)
	id := z.next
	for z.runs[id] == nil {
		id--
	}
	engine := z.runs[id].engine
	z.post(tried[0], DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: crashing})
	z.post(tried[0], ProbeResult{ID: engine, Refused: true})
	z.run(maxSpreadTime+trialTimeout, 0)
	for _, h := range z.hosts {
		out := h.r.Reduce(z.now, Submit{ID: 1 << 40, Route: fragile, Digest: crashing, Deadline: z.now + time.Minute})
		refuse, ok := findEffect[Refuse](out)
		require.True(t, ok)
		require.Greater(t, refuse.RetryAfter, 5*time.Minute, "longer each time")
	}
}
