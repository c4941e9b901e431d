package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
)

const (
	// maxEndsByPart is the number of engines that may end under one part of prompts until all hosts have to know it, which they
	// must maxSpreadTime later. After that it may be sent maxLateParts times more.
	maxEndsByPart = 5
	maxLateParts  = 3
	// engineRestart is how long after its end an engine is back under another ID.
	engineRestart = 900 * time.Millisecond
	// crashDelay is how long after it was sent a request with a deadly part ends its engine, unless the part has another delay.
	crashDelay = 60 * time.Millisecond
	// firstEventDelay is how long after it was sent a stream has its first event.
	firstEventDelay = 100 * time.Millisecond
)

// partStorm sends requests whose prompts share parts to a fleet. Some parts end each engine that answers them.
type partStorm struct {
	z       *zone
	engines int
	dead    map[string]bool
	crashes []engineCrash
	starts  []time.Duration
	parts   map[uint64][]string
	deadly  map[string]*deadlyPart
	// soundPerSecond and ordinary are the rates of sound requests and of ends that no request causes; rack is how many
	// engines such an end takes at once.
	soundPerSecond, ordinary float64
	rack                     int
	// streamLength is how long each stream lasts; zero for the lengths that the zone draws.
	streamLength time.Duration
	// asked and served are the sound requests since the last reset.
	asked, served int
	blamed        map[string]bool
}

type deadlyPart struct {
	perSecond float64
	at        int // place in the prompt
	delay     time.Duration
	until     time.Duration
	ends      int
	fifthAt   time.Duration
	late      int
}

type engineCrash struct {
	at     time.Duration
	engine string
	part   string
}

func newPartStorm(t *testing.T, zones, hosts, engines int) *partStorm {
	s := &partStorm{z: newZones(t, zones, hosts, engines), engines: zones * engines, dead: map[string]bool{}, parts: map[uint64][]string{}, deadly: map[string]*deadlyPart{},
		soundPerSecond: 40, rack: 1, blamed: map[string]bool{}}
	s.z.onStep, s.z.onDispatch = s.step, s.dispatched
	s.z.paths = func(_ *zoneHost, engine string) path {
		if s.dead[engine] {
			return refuses
		}
		return open
	}
	return s
}

// commonParts returns the parts of a prompt: one that all share, one of ten, one of 200, and the request's own, which is
// not among them.
func (s *partStorm) commonParts() []string {
	rng := s.z.rng
	return []string{"system", fmt.Sprintf("caller %d", rng.IntN(10)), fmt.Sprintf("document %d", rng.IntN(200))}
}

func (s *partStorm) step() {
	z := s.z
	if z.rng.Float64() < s.soundPerSecond/1000 {
		s.asked++
		s.submit(s.commonParts())
	}
	for _, name := range sortedKeys(s.deadly) {
		d := s.deadly[name]
		if z.now < d.until && z.rng.Float64() < d.perSecond/1000 {
			s.submit(slices.Insert(s.commonParts(), d.at, name))
		}
	}
	if z.rng.Float64() < s.ordinary/1000 {
		for range s.rack {
			s.crash(s.anyEngine(), "")
		}
	}
	due := s.crashes
	s.crashes = nil
	for _, c := range due {
		if z.now < c.at {
			s.crashes = append(s.crashes, c)
			continue
		}
		s.crash(c.engine, c.part)
	}
	for len(s.starts) > 0 && z.now >= s.starts[0] {
		s.starts = s.starts[1:]
		s.startEngine()
	}
	for _, h := range z.hosts {
		for _, c := range h.r.suspects.ledger.Quarantined() {
			s.blamed[c.Digest.String()] = true
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *partStorm) anyEngine() string {
	var alive []string
	for _, id := range sortedKeys(s.z.hosts[0].r.backends) {
		if !s.dead[id] {
			alive = append(alive, id)
		}
	}
	if len(alive) == 0 {
		return ""
	}
	return alive[s.z.rng.IntN(len(alive))]
}

func (s *partStorm) submit(parts []string) {
	z := s.z
	h := z.hosts[z.rng.IntN(len(z.hosts))]
	z.next++
	z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
	s.parts[z.next] = parts
	z.post(h, Submit{ID: z.next, Route: fragile, PromptTok: 500, OutputTok: 100, Deadline: z.now - h.startedAt + 10*time.Second,
		Digest: s.digest(z.next), Parts: quarantine.PartDigests(parts)})
}

// digest returns a request's own digest. No two are alike.
func (s *partStorm) digest(id uint64) quarantine.Digest {
	return quarantine.Identity{Target: fmt.Sprint("/request/", id)}.Digest()
}

func (s *partStorm) dispatched(_ *zoneHost, e Dispatch) {
	z, run := s.z, s.z.runs[e.ID]
	if s.dead[run.engine] {
		run.outcome, run.ends = NotSent, z.now+zoneStep
		return
	}
	if s.streamLength > 0 {
		run.ends = z.now + s.streamLength
	}
	for _, part := range s.parts[e.ID] {
		if d := s.deadly[part]; d != nil {
			if d.ends >= maxEndsByPart && z.now > d.fifthAt+maxSpreadTime && !s.outOfTouch(run.host) {
				d.late++
			}
			run.ends = z.now + time.Hour
			s.crashes = append(s.crashes, engineCrash{z.now + max(crashDelay, d.delay), run.engine, part})
			return
		}
	}
}

// outOfTouch reports whether a host is cut off from the others.
func (s *partStorm) outOfTouch(h *zoneHost) bool {
	other := s.z.hosts[0]
	return s.z.drops != nil && s.z.drops(h.ip, other.ip, nil)
}

// crash ends an engine with all requests in flight there. Hosts with a request there find that it refuses connections.
func (s *partStorm) crash(engine, part string) {
	z := s.z
	if engine == "" || s.dead[engine] {
		return
	}
	s.dead[engine] = true
	s.starts = append(s.starts, z.now+engineRestart)
	if d := s.deadly[part]; d != nil {
		if d.ends++; d.ends == maxEndsByPart {
			d.fifthAt = z.now
		}
	}
	var ids []uint64
	for id, run := range z.runs {
		if run.engine == engine && run.outcome == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		h, events := z.runs[id].host, 0
		if z.now-z.runs[id].submittedAt > firstEventDelay {
			events = 3
		}
		delete(z.runs, id)
		z.streams[engine]--
		z.post(h, DispatchEnded{ID: id, Outcome: Broken, Fault: true, Events: events, Digest: s.digest(id)})
		z.post(h, ProbeResult{ID: engine, Refused: true})
	}
}

// startEngine registers a new engine in place of one that has ended.
func (s *partStorm) startEngine() {
	z := s.z
	ch := changeOf(fmt.Sprintf("e%03d", s.engines), uint64(51+s.engines), false)
	zones := map[string]bool{}
	for _, h := range z.hosts {
		zones[h.zone] = true
	}
	ch.Slots, ch.Zone = 4, sortedKeys(zones)[s.engines%len(zones)]
	s.engines++
	for _, h := range z.hosts {
		z.post(h, Update{FromStore: true, After: rev(ch.Revision.Number - 1), AsOf: ch.Revision, Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	}
}

// restart replaces a host's process by one that knows nothing.
func (s *partStorm) restart(h *zoneHost) {
	z := s.z
	for id, run := range z.runs {
		if run.host == h {
			z.streams[run.engine]--
			delete(z.runs, id)
		}
	}
	known := Update{FromStore: true, Full: true, AsOf: rev(uint64(50 + s.engines)), Changes: routing.Changes{Config: &routing.Config{Version: 1,
		Services: []routing.Service{{Name: "m", Model: true, TokensPerEvent: 8}}}}}
	for _, other := range z.hosts {
		if other == h {
			continue
		}
		for _, id := range sortedKeys(other.r.backends) {
			if b := other.r.backends[id]; !s.dead[id] {
				known.Backends = append(known.Backends, routing.BackendChange{Backend: b.Backend, Revision: rev(50)})
			}
		}
		break
	}
	h.startedAt = z.now
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: uint64(z.now), Seed: uint64(z.now), Seeds: []string{"10.0.0.1", "10.0.0.2"},
		Bounds: Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000}})
	z.post(h, known)
}

// measure runs the fleet for a time and returns the share of the sound requests that are served at their first attempt.
func (s *partStorm) measure(d time.Duration) float64 {
	s.asked, s.served = 0, 0
	s.z.onAnswered = func(id uint64) {
		s.served++
		delete(s.parts, id)
	}
	s.z.run(d, 0)
	s.z.onAnswered = nil
	return float64(s.served) / float64(max(1, s.asked))
}

// Guards against a part of prompts that ends engine after engine, in requests of which no two are alike: all hosts must keep
// it from engines soon after the fifth end, and sound requests, which share its callers and other parts, must go on.
func TestPartThatEndsEnginesIsKeptFromThem(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                  string
		zones, hosts, engines int
		deadly                map[string]*deadlyPart
		sound                 float64
		during                func(s *partStorm)
	}{
		{name: "second part", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 1}}},
		{name: "first part", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5}}},
		{name: "last but one part", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 3}}},
		{name: "often", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 15, at: 1}}},
		{name: "seldom", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 0.7, at: 1}}},
		{name: "few sound requests", zones: 3, hosts: 3, engines: 3, sound: 8, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 1}}},
		{name: "after its first event", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 1, delay: 200 * time.Millisecond}}},
		{name: "two parts", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 3, at: 1}, "e": {perSecond: 3, at: 2}}},
		{name: "hosts start again", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 1}}, during: func(s *partStorm) {
			for _, i := range []int{0, 2, 4, 5, 8} {
				s.restart(s.z.hosts[i])
			}
		}},
		{name: "a zone is cut off", zones: 3, hosts: 3, engines: 3, deadly: map[string]*deadlyPart{"d": {perSecond: 4.5, at: 1}}, during: func(s *partStorm) {
			z := s.z
			z.drops = func(from, to string, _ *gossippb.Packet) bool {
				return (z.byIP[from].zone == "z2") != (z.byIP[to].zone == "z2")
			}
			z.run(8*time.Second, 0)
			z.drops = nil
			z.run(maxSpreadTime, 0)
		}},
		{name: "large fleet", zones: 6, hosts: 5, engines: 5, sound: 100, deadly: map[string]*deadlyPart{"d": {perSecond: 8, at: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPartStorm(t, c.zones, c.hosts, c.engines)
			if c.sound > 0 {
				s.soundPerSecond = c.sound
			}
			before := s.measure(10 * time.Second)
			for _, d := range c.deadly {
				d.until = s.z.now + time.Minute
			}
			s.deadly = c.deadly
			s.z.run(2*time.Second, 0)
			if c.during != nil {
				c.during(s)
			}
			last := func() (at time.Duration) {
				for _, d := range c.deadly {
					at = max(at, d.fifthAt)
				}
				return at
			}
			for limit := s.z.now + 20*time.Second; s.z.now < limit && (last() == 0 || s.z.now < last()+2*maxSpreadTime); {
				s.z.run(100*time.Millisecond, 0)
			}
			after := s.measure(10 * time.Second)
			t.Logf("sound requests served: %.2f before, %.2f after", before, after)
			for name, d := range c.deadly {
				t.Logf("part %s: %d ends, %d late", name, d.ends, d.late)
				require.LessOrEqual(t, d.late, maxLateParts, "sent later than %v after the fifth end", maxSpreadTime)
			}
			require.Greater(t, after, before/2)
		})
	}
}

// Guards against parts that are blamed because they are popular: engines end all the time, alone and with their rack, and
// no request is the cause.
func TestOrdinaryEndsBlameNoPart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                  string
		zones, hosts, engines int
		perSecond             float64
		rack                  int
		sound                 float64
		streamLength          time.Duration
	}{
		{"alone", 3, 3, 3, 0.7, 1, 40, 0},
		{"racks", 3, 3, 3, 0.3, 3, 40, 0},
		{"large fleet", 4, 5, 5, 0.5, 3, 40, 0},
		{"eight of twenty engines at once", 4, 5, 5, 0.15, 8, 40, 0},
		{"long streams, eight of twenty engines at once", 4, 4, 5, 0.15, 8, 6, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPartStorm(t, c.zones, c.hosts, c.engines)
			s.ordinary, s.rack, s.soundPerSecond, s.streamLength = c.perSecond, c.rack, c.sound, c.streamLength
			s.z.run(2*time.Minute, 0)
			require.Empty(t, s.blamed)
		})
	}
}

// blamePart makes a part quarantined at a lone host.
func blamePart(r *Router, at time.Duration, part quarantine.Digest) {
	for i := range uint32(maxEndsByPart) {
		r.suspects.ledger.Observe(at, quarantine.Subject{Kind: quarantine.Part, Digest: part.At(quarantine.ServiceDigest("m")), Sample: quarantine.Sample{Of: 1000}},
			quarantine.End{Backend: i, At: at, InFlight: 1})
	}
	r.applyVerdicts()
}

// Guards against one more engine that ends although its request had not begun when the part was found out, and against blame
// of the engine for a call that the host aborted.
func TestRequestsThatHaveNotBegunAreWithdrawn(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	parts := quarantine.PartDigests([]string{"d"})
	at := 2 * time.Second
	for id := range uint64(2) {
		dispatchOf(t, r.Reduce(at, Submit{ID: id + 1, Route: fragile, Parts: parts, Deadline: at + time.Minute}))
	}
	r.Reduce(at, StreamStarted{ID: 1, First: time.Millisecond})
	blamePart(r, at, parts[0])
	abort, ok := findEffect[Abort](r.Reduce(at, Tick{}))
	require.True(t, ok)
	require.Equal(t, uint64(2), abort.ID, "the other has begun, and may as well end")
	out := r.Reduce(at, DispatchEnded{ID: 2, Outcome: Broken, Fault: true})
	gaveUp, ok := findEffect[GiveUp](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, gaveUp.Cause)
	_, probed := findEffect[Probe](out)
	require.False(t, probed)
	out = r.Reduce(at, Submit{ID: 3, Route: fragile, Parts: parts, Deadline: at + time.Minute})
	refuse, ok := findEffect[Refuse](out)
	require.True(t, ok)
	require.Equal(t, Quarantined, refuse.Cause)
	dispatchOf(t, r.Reduce(at, Submit{ID: 4, Route: fragile, Deadline: at + time.Minute}))
}

// Guards against a host that starts, serves at once, and ends one more engine before it is told what others know.
func TestJoiningHostIsToldWithTheFirstHeartbeat(t *testing.T) {
	t.Parallel()
	s := newPartStorm(t, 3, 3, 3)
	s.z.run(5*time.Second, 0)
	part := quarantine.PartDigests([]string{"d"})[0]
	for _, h := range s.z.hosts {
		blamePart(h.r, s.z.now, part)
	}
	s.z.run(2*maxSpreadTime, 0) // no host reports it as new any more
	h := s.z.hosts[4]
	s.restart(h)
	for limit := s.z.now + time.Second; len(h.r.members.order) == 0 && s.z.now < limit; {
		s.z.run(zoneStep, 0)
	}
	require.NotNil(t, h.r.suspects.ledger.Blamed(part.At(quarantine.ServiceDigest("m"))))
}

// Guards against trials that are repeated because their caller left, or the end of the server was not proved.
func TestTrialWithoutAResultIsNotRepeatedSoon(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	parts := quarantine.PartDigests([]string{"d"})
	blamePart(r, 2*time.Second, parts[0])
	at := 2*time.Second + time.Minute
	dispatchOf(t, r.Reduce(at, Submit{ID: 1, Route: fragile, Parts: parts, Deadline: at + time.Minute}))
	r.Reduce(at, DispatchEnded{ID: 1, Outcome: Canceled})
	at += 5 * time.Minute
	refuse, ok := findEffect[Refuse](r.Reduce(at, Submit{ID: 2, Route: fragile, Parts: parts, Deadline: at + time.Minute}))
	require.True(t, ok)
	require.Equal(t, Quarantined, refuse.Cause)
}

// Guards against a stream without length or chunks that an engine's crash ends: it looks complete, and would count as a
// completed run of the part that caused the crash.
func TestAnswerThatEndsWithItsConnectionProvesNoCompletedRun(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b", "c", "d", "e", "f", "g", "h")
	parts := quarantine.PartDigests([]string{"d"})
	for range 200 {
		r.suspects.runs.Record(r.suspects.ledger, 0, "m", nil)
	}
	for id := range uint64(maxEndsByPart) {
		at := 2*time.Second + time.Duration(id)*time.Second
		d := dispatchOf(t, r.Reduce(at, Submit{ID: id + 1, Route: fragile, Parts: parts, Deadline: at + time.Minute}))
		r.Reduce(at, DispatchEnded{ID: id + 1, Outcome: Answered, EndedWithConnection: true, Digest: quarantine.Digest{byte(id + 1)}})
		r.Reduce(at, ProbeResult{ID: d.Backend.ID, Refused: true})
		register(r, at+completeEndWindow, changeOf(d.Backend.ID, 51+id, true))
	}
	require.Len(t, r.suspects.ledger.Quarantined(), 1)
}

// Guards against ends that are never proved because all backend servers of a service ended at about the same moment, which looks
// like a lost path of this host: once it reaches another server of the service, it asks the refusing ones again.
func TestEndsOfAWholeServiceAreProvedOnceAnotherServerIsReached(t *testing.T) {
	t.Parallel()
	for _, lostPath := range []bool{false, true} {
		r := newStandalone(t, "a", "b", "c")
		at := 2 * time.Second
		r.Reduce(at, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
		var engines []string
		for id := range uint64(3) {
			engines = append(engines, dispatchOf(t, r.Reduce(at, Submit{ID: id + 1, Route: fragile, Digest: quarantine.Digest{byte(id + 1)}, Deadline: at + time.Minute})).Backend.ID)
		}
		for id := range uint64(3) {
			r.Reduce(at, DispatchEnded{ID: id + 1, Outcome: Broken, Fault: true})
		}
		for _, engine := range engines {
			r.Reduce(at, ProbeResult{ID: engine, Refused: true})
		}
		at += 2 * time.Second
		r.Reduce(at, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 2}})
		r.Reduce(at, Tick{})
		require.False(t, r.HasSuspects(), "the path may be lost")
		for i, engine := range []string{"d", "e", "f", "g"} {
			require.False(t, r.HasSuspects(), "a path that is lost in part reaches some servers too")
			register(r, at, changeOf(engine, uint64(51+i), false))
			out := r.Reduce(at, ProbeResult{ID: engine, Reached: true})
			for range 10 {
				at += 50 * time.Millisecond
				out = append(out, r.Reduce(at, Tick{})...)
				probed := probesOf(out, engines)
				out = nil
				for _, asked := range probed {
					healed := lostPath && engine == "g"
					out = append(out, r.Reduce(at, ProbeResult{ID: asked, Reached: healed, Refused: !healed})...)
				}
			}
		}
		require.Equal(t, !lostPath, r.HasSuspects())
	}
}

// probesOf returns those of the engines that effects probe.
func probesOf(out []Effect, engines []string) []string {
	var probed []string
	for _, e := range out {
		if p, ok := e.(Probe); ok && slices.Contains(engines, p.Backend.ID) {
			probed = append(probed, p.Backend.ID)
		}
	}
	return probed
}

// Guards against a request that waits for another host's slot, or for the time-out of that, and is sent although its part has
// been found out meanwhile. The slot is returned.
func TestRequestQuarantinedWhileItWaitsForASlot(t *testing.T) {
	t.Parallel()
	for _, replied := range []bool{true, false} {
		z := newZones(t, 1, 20, 23)
		parts := quarantine.PartDigests([]string{"d"})
		h, sent := z.hosts[0], Send{}
		for sent.Packet.GetAsk() == nil { // some engines are the host's own
			z.next++
			sent, _ = findEffect[Send](h.r.Reduce(z.now, Submit{ID: z.next, Route: fragile, PromptTok: 1000, Parts: parts, Deadline: z.now + time.Minute}))
		}
		var out []Effect
		blamePart(h.r, z.now, parts[0])
		if !replied {
			out = h.r.Reduce(z.now+ownerCallTimeout, Tick{})
		} else {
			owner := z.byIP[sent.To[0]]
			offer := offersOf(owner.r.Reduce(z.now, SlotRequestReceived{h.ip, sent.Packet.Ask}))[0]
			require.NotNil(t, offer.Place)
			out = h.r.Reduce(z.now, SlotOfferReceived{owner.ip, offer})
			require.True(t, releasesSlot(out, offer.Place.Backend))
		}
		refuse, ok := findEffect[Refuse](out)
		require.True(t, ok)
		require.Equal(t, Quarantined, refuse.Cause)
	}
}

// Guards against an owner that is told of a fault of its backend server where the asking host has aborted the call itself.
func TestWithdrawnRequestIsNoFaultForTheOwner(t *testing.T) {
	t.Parallel()
	z := newZones(t, 1, 20, 23)
	h, parts := z.hosts[0], quarantine.PartDigests([]string{"d"})
	for range 10 {
		z.next++
		z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
		z.post(h, Submit{ID: z.next, Route: fragile, PromptTok: 1000, Parts: parts, Deadline: z.now + time.Minute})
	}
	z.run(20*time.Millisecond, 0)
	blamePart(h.r, z.now, parts[0])
	aborts := effectsOf[Abort](h.r.Reduce(z.now, Tick{}))
	require.NotEmpty(t, aborts)
	ended := 0
	for _, a := range aborts {
		for _, rep := range reportsOf(h.r.Reduce(z.now, DispatchEnded{ID: a.ID, Outcome: Broken, Fault: true})) {
			require.Equal(t, gossippb.Outcome_OUTCOME_NONE, rep.Outcome)
			ended++
		}
	}
	require.NotZero(t, ended)
}
