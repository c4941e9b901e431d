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

// maxSpreadTime is how long after the third end all hosts have to know, as the operators state it.
const maxSpreadTime = 3 * time.Second

var (
	deadly  = quarantine.Identity{Target: "/deadly"}.Digest()
	popular = quarantine.Identity{Target: "/popular"}.Digest()
)

// deadlySender sends one request again and again to hosts of a fleet; it ends each engine that runs it.
type deadlySender struct {
	z       *zone
	ended   map[string]bool
	ends    int
	sends   int // to engines that lived
	late    int // of these, later than knownWithin after the third end
	thirdAt time.Duration
	refused int
}

func newDeadlySender(z *zone) *deadlySender { return &deadlySender{z: z, ended: map[string]bool{}} }

// send submits the deadly request at a host. The engine that runs it ends a moment later, and a connection to it is refused
// from then on.
func (o *deadlySender) send(h *zoneHost) {
	z := o.z
	z.next++
	id := z.next
	z.runs[id] = &zoneRun{host: h, submittedAt: z.now}
	sub := Submit{ID: id, Route: fragile, PromptTok: 259, OutputTok: 100, Deadline: z.now - h.startedAt + 10*time.Second}
	if h.r.HasSuspects() {
		sub.Digest = deadly
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
	z.post(h, DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: deadly})
	z.post(h, ProbeResult{ID: engine, Refused: true})
}

// fragile is a route whose requests run once.
var fragile = &routing.Route{Name: "fragile", Kind: routing.Streaming, MaxAttempts: 1, Target: 400 * time.Millisecond,
	Shares: []routing.Share{{Service: "m", Weight: 1}}}

// A deadly request comes to hosts of all zones in turn, ten times a second. No host sees it more than once, and each end is
// seen in one zone alone. When all hosts have had their time to hear of the third end, none sends it any more, also where
// every tenth datagram is lost.
func TestAllHostsHearOfADeadlyRequest(t *testing.T) {
	for _, c := range []struct{ zones, hosts int }{{3, 3}, {6, 20}} {
		t.Run(fmt.Sprintf("%d zones of %d", c.zones, c.hosts), func(t *testing.T) {
			z := newZones(t, c.zones, c.hosts, 12)
			z.drops = func(_, _ string, _ *gossippb.Packet) bool { return z.rng.IntN(10) == 0 }
			o := newDeadlySender(z)
			for i := range 80 {
				o.send(z.hosts[(i*7)%len(z.hosts)])
				z.run(100*time.Millisecond, 0)
			}
			require.Greater(t, z.now, o.thirdAt+2*maxSpreadTime)
			require.Zero(t, o.late)
			t.Logf("%d sends, %d refused", o.sends, o.refused)
			for _, h := range z.hosts {
				require.NotNil(t, h.r.suspects.ledger.Blamed(deadly), h.ip)
			}
		})
	}
}

// A zone is cut off from the others. The deadly request ends one engine there and two outside, so that no side knows of
// three. Soon after the cut has healed all do.
func TestEndsOfBothSidesOfACutAddUp(t *testing.T) {
	z := newZones(t, 3, 8, 8)
	o := newDeadlySender(z)
	cut := true
	z.drops = func(from, to string, _ *gossippb.Packet) bool {
		return cut && (z.byIP[from].zone == "z0") != (z.byIP[to].zone == "z0")
	}
	z.run(2*time.Second, 0)
	o.send(z.hosts[0])
	o.send(z.hosts[9])
	o.send(z.hosts[17])
	z.run(2*maxSpreadTime, 0) // nobody tells it as new any more
	for _, h := range z.hosts {
		require.Nil(t, h.r.suspects.ledger.Blamed(deadly), h.ip)
	}
	cut = false
	z.run(maxSpreadTime, 0)
	for _, h := range z.hosts {
		require.NotNil(t, h.r.suspects.ledger.Blamed(deadly), h.ip)
	}
}

// A host is killed and starts again long after a request was found out. It has forgotten, and its callers' next deadly
// request would end one more engine.
func TestStartedHostHearsOfQuarantines(t *testing.T) {
	for _, perZone := range []int{3, 8} {
		z := newZones(t, 3, perZone, 8)
		o := newDeadlySender(z)
		for i := range 3 {
			o.send(z.hosts[perZone*i])
		}
		z.run(2*maxSpreadTime, 0)
		h := z.hosts[2]
		h.startedAt = z.now
		h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: 999, Seed: 9, Seeds: []string{"10.0.0.1"}, Bounds: Bounds{RetryRatio: 0.2, RetryWindow: time.Second}})
		z.run(maxSpreadTime, 0)
		require.NotNil(t, h.r.suspects.ledger.Blamed(deadly), "%d hosts a zone", perZone)
	}
}

// A rack is lost with three engines, and the same popular request was in flight at each. Elsewhere it runs to a good end. Its
// callers must not be refused, at any host.
func TestPopularRequestOutlivesARack(t *testing.T) {
	z := newZones(t, 3, 8, 8)
	for i, engine := range []string{"e001", "e009", "e017"} {
		h := z.hosts[8*i]
		h.r.recordEndWithRequest(h.r.backends[engine], brokenRequest{popular, "school", z.now - h.startedAt})
	}
	z.run(maxSpreadTime, 0)
	h := z.hosts[4]
	require.NotNil(t, h.r.suspects.ledger.Blamed(popular), "until a run ends well")
	q := &request{Submit: Submit{Digest: popular}}
	h.r.recordRequestOutcome(h.r.backends["e002"], q, DispatchEnded{Outcome: Answered, Success: true})
	z.run(maxSpreadTime, 0)
	for _, h := range z.hosts {
		require.Nil(t, h.r.suspects.ledger.Blamed(popular), h.ip)
	}
}

// newStandalone is a host that knows some engines and no other host.
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

// sendAndBreak sends a request with a digest and lets its answer break; it returns the engine and what follows.
func sendAndBreak(t *testing.T, r *Router, id uint64, at time.Duration, route *routing.Route) (engine string, out []Effect) {
	d := dispatchOf(t, r.Reduce(at, Submit{ID: id, Route: route, Digest: deadly, Deadline: at + time.Minute}))
	return d.Backend.ID, r.Reduce(at, DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: deadly})
}

// A connection breaks, as after a reset on the way, and the engine lives: that says nothing of the request, also where the
// engine goes some seconds later. Where the engine
// can't be reached any more, its address has another instance, or its registration goes, it has ended.
func TestOnlyEndsCount(t *testing.T) {
	for name, c := range map[string]struct {
		then func(r *Router, engine string)
		want bool
	}{
		"lives":   {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Reached: true}) }, false},
		"is dark": {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id}) }, false},
		"is reached, and its registration goes later": {func(r *Router, id string) {
			r.Reduce(2*time.Second, ProbeResult{ID: id, Reached: true})
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, false},
		"is dark, and its registration goes later": {func(r *Router, id string) {
			r.Reduce(2*time.Second, ProbeResult{ID: id})
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, true},
		"unknown":                  {func(*Router, string) {}, false},
		"refuses connection":       {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Refused: true}) }, true},
		"refused by another start": {func(r *Router, id string) { r.Reduce(2*time.Second, ProbeResult{ID: id, Start: 7, Refused: true}) }, false},
		"registration goes": {func(r *Router, id string) {
			r.Reduce(5*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, true},
		"registration goes long after": {func(r *Router, id string) {
			r.Reduce(2*time.Second+endConfirmWindow+1, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{{Backend: routing.Backend{ID: id}, Revision: rev(60), Removed: true}}}})
		}, false},
		"starts again": {func(r *Router, id string) {
			ch := changeOf(id, 60, false)
			ch.Start = 5
			r.Reduce(3*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
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

// An engine's registration lapses while a request breaks there, and comes back: it lives. What breaks there later says
// nothing of its requests.
func TestLapsedEngineThatIsBackHasNotEnded(t *testing.T) {
	r := newStandalone(t, "a")
	register(r, 12*time.Second, changeOf("a", 60, true))
	register(r, 13*time.Second, changeOf("a", 61, false))
	sendAndBreak(t, r, 1, 14*time.Second, fragile)
	require.False(t, r.HasSuspects())
}

// An engine that leaves ends by itself, with streams in flight that took too long. They did no harm.
func TestLeavingEngineAccusesNobody(t *testing.T) {
	r := newStandalone(t, "a")
	d := dispatchOf(t, r.Reduce(2*time.Second, Submit{ID: 1, Route: fragile, Deadline: time.Minute}))
	ch := changeOf("a", 60, false)
	ch.Draining = true
	r.Reduce(3*time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	out := r.Reduce(4*time.Second, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: deadly})
	_, asked := findEffect[Probe](out)
	require.False(t, asked)
	r.Reduce(4*time.Second, ProbeResult{ID: d.Backend.ID, Refused: true})
	require.False(t, r.HasSuspects())
}

// A deadly request on a route whose streams may be resumed: the host itself repeats it where an engine ends. It must stop as
// soon as the request is found out, say that it may have run, and spend none of the service's retry budget on it; a
// caller's next attempt has not run, and is told so.
func TestQuarantineEndsOwnRepeats(t *testing.T) {
	r := newStandalone(t, "a", "b", "c", "d", "e", "f")
	resumable := &routing.Route{Name: "resumable", Kind: routing.Streaming, Resumable: true, MaxAttempts: 6, Shares: fragile.Shares}
	at := 2 * time.Second
	d := dispatchOf(t, r.Reduce(at, Submit{ID: 1, Route: resumable, Deadline: at + time.Minute}))
	for range 2 {
		out := r.Reduce(at, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: deadly})
		r.Reduce(at, ProbeResult{ID: d.Backend.ID, Refused: true})
		d = dispatchOf(t, out)
	}
	r.recordEndWithRequest(r.backends[d.Backend.ID], brokenRequest{deadly, "", at}) // a beside one, from another host
	out := r.Reduce(at, DispatchEnded{ID: 1, Outcome: Broken, Fault: true, Digest: deadly})
	gaveUp, ok := findEffect[GiveUp](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, gaveUp.Cause)
	out = r.Reduce(at, Submit{ID: 2, Route: resumable, Digest: deadly, Deadline: at + time.Minute})
	refuse, ok := findEffect[Refuse](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, refuse.Cause)
	require.Positive(t, refuse.RetryAfter)
	require.Zero(t, r.Requests())
}

// An innocent request was taken for a deadly one, and nothing of it runs any more that could show so. After a while one host
// alone lets it run once; a good end frees it, a further end does not let others try as well.
func TestOneHostTriesAQuarantinedRequest(t *testing.T) {
	z := newZones(t, 3, 3, 4)
	for i, engine := range []string{"e001", "e005", "e009"} {
		h := z.hosts[3*i]
		h.r.recordEndWithRequest(h.r.backends[engine], brokenRequest{deadly, "school", z.now})
	}
	z.run(maxSpreadTime, 0)
	z.now += time.Minute
	z.run(2*time.Second, 0)
	var tried []*zoneHost
	for round := range 2 {
		for _, h := range z.hosts {
			z.next++
			z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
			z.post(h, Submit{ID: z.next, Route: fragile, Digest: deadly, Deadline: z.now + time.Minute})
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
	z.post(tried[0], DispatchEnded{ID: id, Outcome: Broken, Fault: true, Digest: deadly})
	z.post(tried[0], ProbeResult{ID: engine, Refused: true})
	z.run(maxSpreadTime+trialTimeout, 0)
	for _, h := range z.hosts {
		out := h.r.Reduce(z.now, Submit{ID: 1 << 40, Route: fragile, Digest: deadly, Deadline: z.now + time.Minute})
		refuse, ok := findEffect[Refuse](out)
		require.True(t, ok)
		require.Greater(t, refuse.RetryAfter, 5*time.Minute, "longer each time")
	}
}
