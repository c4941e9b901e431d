package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// The platform's bound on brittle backend servers: from brittleSettling after they begin to state a limit, they may let fewer
// requests wait, and one that rejects more than the limit within a second fails. Together they may fail brittleFalls times plus
// once for each ten of them.
const (
	brittleSettling = 3 * time.Second
	brittleFalls    = 2
	brittleRestart  = 4 * time.Second
	// brittleSlots are the slots of each engine of a zone.
	brittleSlots = 4
)

// brittleEngine is one start of an engine that counts what it runs and rejects.
type brittleEngine struct {
	held     int
	rejected []time.Duration
	most     int // rejected within any second
	down     bool
}

// brittleEvent is something that happens at an engine, or an answer that reaches a host.
type brittleEvent struct {
	at time.Duration
	do func()
}

// brittleFleet is a fleet under a load that its engines have no room for. Engines reject requests beyond their slots and their
// queue, and callers that are refused return once.
type brittleFleet struct {
	*zone
	perSecond   float64 // stated limit
	statedFrom  time.Duration
	statedUntil time.Duration
	queue       int // places in each engine's queue, and brittleQueue from brittleSettling on
	shortQueue  int
	engines     map[string]*brittleEngine
	events      []brittleEvent
	returns     []time.Duration
	returned    map[uint64]bool
	falls, runs int
	revision    uint64
	frozenUntil map[string]time.Duration
	sentBy      map[string]int // requests, by host
}

func newBrittleFleet(t testing.TB, zones, hosts, engines int, perSecond float64, shortQueue int) *brittleFleet {
	f := &brittleFleet{zone: newZones(t, zones, hosts, engines), perSecond: perSecond, queue: headroom, shortQueue: shortQueue,
		engines: map[string]*brittleEngine{}, frozenUntil: map[string]time.Duration{}, sentBy: map[string]int{}, returned: map[uint64]bool{}, revision: 50, statedFrom: never, statedUntil: never}
	f.onDispatch, f.onRefuse, f.onStep = f.dispatched, f.refusedCaller, f.step
	f.frozen = func(h *zoneHost) bool { return f.now < f.frozenUntil[h.ip] }
	f.rank = func() float64 { return float64(f.rng.IntN(3)) }
	return f
}

func (f *brittleFleet) engine(id string) *brittleEngine {
	if f.engines[id] == nil {
		f.engines[id] = &brittleEngine{}
	}
	return f.engines[id]
}

// after schedules what happens after a delay of 1 to 4 ms on top of d.
func (f *brittleFleet) after(d time.Duration, do func()) {
	at := f.now + d + time.Duration(1+f.rng.IntN(4))*time.Millisecond
	i, _ := slices.BinarySearchFunc(f.events, at, func(e brittleEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, brittleEvent{at, do})
}

func (f *brittleFleet) step() {
	for len(f.events) > 0 && f.events[0].at <= f.now {
		do := f.events[0].do
		f.events = f.events[1:]
		do()
	}
	for len(f.returns) > 0 && f.returns[0] <= f.now {
		f.returns = f.returns[1:]
		f.returned[f.next+1] = true
		f.submit()
	}
}

func (f *brittleFleet) refusedCaller(e Refuse) {
	if f.returned[e.ID] {
		return
	}
	at := f.now + e.RetryAfter
	i, _ := slices.BinarySearch(f.returns, at)
	f.returns = slices.Insert(f.returns, i, at)
}

func (f *brittleFleet) stated() bool { return f.now >= f.statedFrom && f.now < f.statedUntil }

func (f *brittleFleet) settled() bool { return f.stated() && f.now-f.statedFrom >= brittleSettling }

// dispatched takes a request out of the hands of the zone's model: engines of this one reject what they have no room for.
func (f *brittleFleet) dispatched(h *zoneHost, d Dispatch) {
	f.sentBy[h.ip]++
	f.streams[d.Backend.ID]--
	f.zone.runs[d.ID].engine = ""
	f.after(0, func() { f.arrive(h, d) })
}

// restart replaces a host's process. What it had sent goes on at the engines.
func (f *brittleFleet) restart(h *zoneHost) {
	for id, run := range f.zone.runs {
		if run.host == h {
			delete(f.zone.runs, id)
		}
	}
	known := h.r.Snapshot(Since{})
	known.FromStore = true
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: h.r.opt.Incarnation + 1000, Seed: h.r.opt.Seed + 1000, Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds})
	h.startedAt = f.now
	f.post(h, known)
}

func (f *brittleFleet) arrive(h *zoneHost, d Dispatch) {
	e := f.engine(d.Backend.ID)
	places := brittleSlots + f.queue
	if f.settled() {
		places = brittleSlots + f.shortQueue
	}
	switch {
	case e.down:
		f.after(0, func() { f.end(h, d, DispatchEnded{ID: d.ID, Outcome: NotSent, Fault: true}) })
		return
	case e.held >= places:
		f.after(0, func() { f.answer(h, d); f.end(h, d, DispatchEnded{ID: d.ID, Outcome: Rejected}) })
		f.reject(d.Backend)
		return
	}
	e.held++
	f.after(20*time.Millisecond, func() {
		f.answer(h, d)
		if f.zone.runs[d.ID] != nil {
			f.post(h, StreamStarted{ID: d.ID, First: 20 * time.Millisecond})
		}
	})
	f.after(f.length(d.Backend.ID), func() {
		if e.down {
			f.after(0, func() { f.end(h, d, DispatchEnded{ID: d.ID, Outcome: Broken, Fault: true}) })
			return
		}
		e.held--
		if f.settled() {
			f.runs++
		}
		f.after(0, func() {
			f.end(h, d, DispatchEnded{ID: d.ID, Outcome: Answered, First: 20 * time.Millisecond, Interval: 10 * time.Millisecond, Events: 20})
		})
	})
}

func (f *brittleFleet) reject(b routing.Backend) {
	e := f.engine(b.ID)
	e.rejected = append(e.rejected, f.now)
	if !f.settled() {
		return
	}
	for f.now-e.rejected[0] > time.Second || e.rejected[0] < f.statedFrom+brittleSettling {
		e.rejected = e.rejected[1:]
	}
	e.most = max(e.most, len(e.rejected))
	if float64(len(e.rejected)) <= f.perSecond {
		return
	}
	e.down = true
	f.falls++
	f.after(time.Second, func() { f.write(routing.BackendChange{Removed: true, Backend: routing.Backend{ID: b.ID}}) })
	b.ID += "x"
	f.after(brittleRestart, func() { f.write(routing.BackendChange{Backend: b}) })
}

// write posts a change of the store to all hosts.
func (f *brittleFleet) write(ch routing.BackendChange) {
	after := rev(f.revision)
	f.revision++
	ch.Revision = rev(f.revision)
	for _, h := range f.hosts {
		f.post(h, Update{FromStore: true, After: after, AsOf: ch.Revision, Revision: ch.Revision, Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	}
}

// answer delivers the head of an answer.
func (f *brittleFleet) answer(h *zoneHost, d Dispatch) {
	switch {
	case f.zone.runs[d.ID] == nil:
	case f.stated():
		f.post(h, BackendAnnouncement{ID: d.Backend.ID, BrittleLimit: &RateObservation{PerSecond: f.perSecond, SentAt: d.At}})
	case d.ReportBrittle:
		f.post(h, BackendAnnouncement{ID: d.Backend.ID, BrittleLimit: &RateObservation{PerSecond: unlimited, SentAt: d.At}})
	}
}

func (f *brittleFleet) end(h *zoneHost, d Dispatch, e DispatchEnded) {
	run := f.zone.runs[d.ID]
	if run == nil {
		return
	}
	if e.Outcome == Answered {
		delete(f.zone.runs, d.ID)
	}
	f.post(h, e)
}

// room is the number of streams per second that the engines have slots for.
func (f *brittleFleet) room(zones, engines int) float64 {
	sum := 0.0
	for i := range zones * engines {
		mean := 0.45
		if slowEngine(fmt.Sprintf("e%03d", i)) {
			mean = 1.65
		}
		sum += brittleSlots / mean
	}
	return sum
}

func (f *brittleFleet) mostRejected() int {
	most := 0
	for _, e := range f.engines {
		most = max(most, e.most)
	}
	return most
}

var brittleFleets = []struct{ zones, hosts, engines int }{{2, 4, 6}, {6, 4, 6}}

// All engines state that they are brittle while callers ask for twice their room, and their queues shrink. Guards against hosts
// that send to full engines by old counts, each a few, until the engines fail.
func TestBrittleEnginesAreNotOverrun(t *testing.T) {
	t.Parallel()
	for _, size := range brittleFleets {
		for _, perSecond := range []float64{0, 1, 3, 8, 20} {
			for _, shortQueue := range []int{0, 2} {
				testBrittleEngines(t, size.zones, size.hosts, size.engines, perSecond, shortQueue)
			}
		}
	}
	testBrittleEngines(t, 1, 60, 20, 3, 0)
}

func testBrittleEngines(t *testing.T, zones, hosts, engines int, perSecond float64, shortQueue int) {
	t.Run(fmt.Sprintf("%d zones of %d, %g rejects, queue of %d", zones, hosts, perSecond, shortQueue), func(t *testing.T) {
		t.Parallel()
		f := newBrittleFleet(t, zones, hosts, engines, perSecond, shortQueue)
		room := f.room(zones, engines)
		load := int(2 * room)
		f.run(time.Second, load)
		f.statedFrom = f.now
		f.run(brittleSettling, load)
		const observed = 10 * time.Second
		f.run(observed, load)
		t.Logf("%d falls, at most %d rejected in a second, %.2f of the room used", f.falls, f.mostRejected(), float64(f.runs)/(room*observed.Seconds()))
		require.LessOrEqual(t, f.falls, brittleFalls+zones*engines/10)
		require.GreaterOrEqual(t, float64(f.runs), 0.5*room*observed.Seconds(), "the room is used")
	})
}

// Engines are brittle while hosts restart and freeze and datagrams are lost. Guards against hosts that disagree on who may send
// or forget what was rejected.
func TestBrittleEnginesHoldWhileHostsComeAndGo(t *testing.T) {
	t.Parallel()
	for _, size := range brittleFleets {
		for _, perSecond := range []float64{1, 3, 8, 20} {
			t.Run(fmt.Sprintf("%d zones of %d, %g rejects", size.zones, size.hosts, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newBrittleFleet(t, size.zones, size.hosts, size.engines, perSecond, 0)
				load := int(2 * f.room(size.zones, size.engines))
				f.drops = func(string, string, *gossippb.Packet) bool { return f.rng.IntN(20) == 0 }
				f.run(time.Second, load)
				f.statedFrom = f.now
				f.run(brittleSettling, load)
				for i := range 12 {
					h := f.hosts[f.rng.IntN(len(f.hosts))]
					if i%2 == 0 {
						f.restart(h)
					} else {
						f.frozenUntil[h.ip] = f.now + time.Duration(f.rng.IntN(4000))*time.Millisecond
					}
					f.run(time.Duration(f.rng.IntN(2000))*time.Millisecond, load)
				}
				t.Logf("%d falls, at most %d rejected in a second", f.falls, f.mostRejected())
				require.LessOrEqual(t, f.falls, brittleFalls+size.zones*size.engines/10)
			})
		}
	}
}

// Engines stop stating that they are brittle. Guards against hosts that go on sparing them.
func TestBrittleEnginesRecover(t *testing.T) {
	t.Parallel()
	for _, size := range brittleFleets {
		f := newBrittleFleet(t, size.zones, size.hosts, size.engines, 3, 0)
		load := int(f.room(size.zones, size.engines))
		f.statedFrom = f.now
		f.run(brittleSettling, load)
		f.statedUntil = f.now
		f.run(limitEnding, load)
		for _, h := range f.hosts {
			for _, b := range h.r.allBackends() {
				require.False(t, h.r.isBrittle(b), "%s at %s", b.ID, h.ip)
			}
		}
	}
}

// A service's servers are brittle and another one starts. Guards against hosts that all fill the new one before its first answer.
func TestNewServerIsAssumedBrittle(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b")
	require.False(t, r.isBrittle(r.backends["a"]))
	r.Reduce(3*time.Second, BackendAnnouncement{ID: "a", BrittleLimit: &RateObservation{PerSecond: 2, SentAt: 2 * time.Second}})
	require.True(t, r.isBrittle(r.backends["b"]))
	register(r, 4*time.Second, changeOf("c", 60, false))
	require.True(t, r.isBrittle(r.backends["c"]))
	r.Reduce(5*time.Second, BackendAnnouncement{ID: "c", BrittleLimit: &RateObservation{PerSecond: unlimited, SentAt: 4 * time.Second}})
	require.False(t, r.isBrittle(r.backends["c"]), "its own word counts")
	r.Reduce(6*time.Second, BackendAnnouncement{ID: "a", BrittleLimit: &RateObservation{PerSecond: unlimited, SentAt: 5 * time.Second}})
	require.False(t, r.isBrittle(r.backends["b"]))
}

// Requests that a brittle server rejects use up this host's share for a second. Guards against a host that tries again at once.
func TestRejectionsUseUpTheShare(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(3*time.Second, BackendAnnouncement{ID: "a", BrittleLimit: &RateObservation{PerSecond: 2, SentAt: 2 * time.Second}})
	sent := func(id uint64, at time.Duration) bool {
		_, ok := findEffect[Dispatch](submitted(r, id, at))
		if ok {
			r.Reduce(at+time.Millisecond, DispatchEnded{ID: id, Outcome: Rejected})
		}
		return ok
	}
	require.True(t, sent(1, 4*time.Second))
	require.True(t, sent(2, 4100*time.Millisecond))
	require.False(t, sent(3, 4900*time.Millisecond))
	require.True(t, sent(4, 5100*time.Millisecond))
	require.False(t, sent(5, 5110*time.Millisecond))
}

// Two engines of a small fleet are brittle and half idle, and few hosts may send to them. Guards against the other hosts refusing
// all their callers.
func TestAllHostsReachBrittleEngines(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{0, 1, 3} {
		t.Run(fmt.Sprintf("%g rejects", perSecond), func(t *testing.T) {
			t.Parallel()
			f := newBrittleFleet(t, 2, 4, 1, perSecond, 0)
			load := max(1, int(0.5*f.room(2, 1)))
			f.statedFrom = f.now
			f.run(brittleSettling, 2*load)
			clear(f.sentBy)
			refused := f.refused
			const observed = 20 * time.Second
			f.run(observed, load)
			t.Logf("%d of %d refused, %v", f.refused-refused, load*int(observed.Seconds()), f.sentBy)
			require.LessOrEqual(t, f.falls, brittleFalls)
			for _, h := range f.hosts {
				require.NotZero(t, f.sentBy[h.ip], h.ip)
			}
			require.Less(t, f.refused-refused, load*int(observed.Seconds())/2)
		})
	}
}

// The hosts that may send to a brittle server are gone for good. Guards against a server that is never used again, and whose limit
// is never seen to end.
func TestBrittleServerIsTriedWhenItsSendersAreGone(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	for i := range 12 {
		r.Reduce(time.Second, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: fmt.Sprintf("10.0.0.%d", i+2), Zone: "z0", Incarnation: 1, Seq: 1}})
	}
	r.Reduce(3*time.Second, BackendAnnouncement{ID: "a", BrittleLimit: &RateObservation{PerSecond: 0, SentAt: 2 * time.Second}})
	sent, id := 0, uint64(0)
	for now := 4 * time.Second; now < 120*time.Second; now += 500 * time.Millisecond {
		r.Reduce(now, Tick{})
		id++
		if d, ok := findEffect[Dispatch](submitted(r, id, now)); ok {
			require.True(t, d.ReportBrittle)
			r.Reduce(now+time.Millisecond, CallerLeft{ID: id})
			sent++
		}
	}
	require.Positive(t, sent)
	require.Less(t, sent, 4, "a trial in 30 s")
}

// Many hosts ask an owner for slots at once. Guards against grants whose requests do not count until one is rejected.
func TestOwnerGrantsWithinItsShare(t *testing.T) {
	t.Parallel()
	z := newZones(t, 1, 20, 23)
	asker := z.hosts[0]
	ask, owner := z.requestSlot(asker)
	for _, b := range asker.r.allBackends() {
		z.byIP[owner].r.Reduce(z.now, BackendAnnouncement{ID: b.ID, BrittleLimit: &RateObservation{PerSecond: 4, SentAt: z.now - time.Millisecond}})
	}
	granted := map[uint32]int{}
	for range 40 {
		for _, o := range offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, ask})) {
			if o.Place != nil {
				granted[o.Place.Backend]++
			}
		}
	}
	require.NotEmpty(t, granted)
	for _, n := range granted {
		require.LessOrEqual(t, n, 2, "half of the limit")
	}
}

// Owners do not answer. Guards against hosts of a large fleet that send to brittle servers by their own decision.
func TestOnlyOwnersSendToBrittleServersAlone(t *testing.T) {
	t.Parallel()
	z := newZones(t, 1, 20, 23)
	for _, h := range z.hosts {
		for _, b := range h.r.allBackends() {
			z.post(h, BackendAnnouncement{ID: b.ID, BrittleLimit: &RateObservation{PerSecond: 8, SentAt: z.now - time.Millisecond}})
		}
	}
	z.drops = func(string, string, *gossippb.Packet) bool { return true }
	sent := 0
	z.onDispatch = func(h *zoneHost, d Dispatch) {
		sent++
		require.True(t, h.r.owns(h.r.backends[d.Backend.ID]), "%s at %s", d.Backend.ID, h.ip)
	}
	z.run(500*time.Millisecond, 200)
	require.NotZero(t, sent)
}
