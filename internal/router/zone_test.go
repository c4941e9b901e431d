package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
)

const (
	zoneStep = time.Millisecond
	zoneTick = 25 // steps between two ticks of a host
)

// zone simulates the hosts of one or more availability zones of a large fleet in steps of a millisecond, which is also
// the latency of a datagram. An engine is simulated by how long each stream stays there.
type zone struct {
	t         testing.TB
	now       time.Duration
	steps     int
	rng       *rand.Rand
	hosts     []*zoneHost
	byIP      map[string]*zoneHost
	inTransit []zoneDatagram
	streams   map[string]int // actual number at each engine
	runs      map[uint64]*zoneRun
	next      uint64
	// datagrams and bytes count what all hosts have sent.
	datagrams, bytes int
	// originZone is the zone that receives all requests; empty for any.
	originZone string
	// onPull, if set, is called for each pull.
	onPull func(from string, p Pull)
	// onReadStore, if set, is called when a host starts or stops reading the store.
	onReadStore func(h *zoneHost, e ReadStore)
	// sends are the times at which each engine was sent a request, if not nil.
	sends map[string][]time.Duration
	// breaks is the fraction of requests that an engine breaks off at their start, and broken counts those.
	breaks map[string]float64
	broken map[string]int
	ended  []zoneEnd
	// unassigned counts requests submitted by submitFor that no engine had a slot for, though their quota had room.
	unassigned int
	// drops, if set, reports whether a datagram is lost.
	drops func(from, to string, p *gossippb.Packet) bool
	// frozen, if set, reports whether a host's process stands still; what arrives meanwhile is lost.
	frozen func(h *zoneHost) bool
	// paths, if set, returns the path from a host to an engine. Probes are answered then.
	paths func(h *zoneHost, engine string) path
	// failedRelays do not serve.
	failedRelays map[string]bool
	// probes are those under way, and probed counts all by host.
	probes []zoneProbe
	probed map[string]int
	// digest identifies all requests that the path to their engine breaks.
	digest quarantine.Digest
	// onStep is called at the end of each step, and onDispatch for each dispatch to an engine. Both may be nil.
	onStep     func()
	onDispatch func(h *zoneHost, e Dispatch)
	// onEffect, if set, is called for each effect and reports whether it has carried it out.
	onEffect func(h *zoneHost, e Effect) bool
	// onAnswered, if set, is called for each request that is answered.
	onAnswered func(id uint64)
	// onRefuse, if set, is called for each request that is refused.
	onRefuse func(e Refuse)
	// rank, if set, returns the rank of the next request.
	rank func() float64

	// longestWait is the longest time from a request to its decision, and overloads counts dispatches beyond an engine's limit.
	longestWait                    time.Duration
	dispatched, refused, overloads int
}

type zoneHost struct {
	ip        string
	zone      string
	startedAt time.Duration // start of its clock
	r         *Router
	dead      bool
}

type zoneDatagram struct {
	at       time.Duration
	from, to string
	p        *gossippb.Packet
}

// zoneEnd is a request that ends in the next step.
type zoneEnd struct {
	host *zoneHost
	id   uint64
}

type zoneRun struct {
	// admitted is called when the request is dispatched, and the request then ends; nil if it stays at its engine for a while.
	admitted    func(host string)
	host        *zoneHost
	submittedAt time.Duration
	ends        time.Duration
	engine      string
	via         string // the relay of the dispatch
	breaks      bool
	// outcome is how the dispatch ends if the path to the engine is cut, or relayFault is set because the relay does not serve.
	outcome    Outcome
	relayFault bool
}

// newZone starts a zone with engines of 4 slots, a third of which are four times slower, and
// runs it until the hosts know each other.
func newZone(t testing.TB, hosts, engines int) *zone { return newZones(t, 1, hosts, engines) }

// newZones starts several zones, with the seeds in the first.
func newZones(t testing.TB, zones, hosts, engines int) *zone {
	return newZonesWith(t, zones, hosts, engines, 4, AdmissionSettings{})
}

// newZonesWith starts several zones with engines of so many slots.
func newZonesWith(t testing.TB, zones, hosts, engines, slots int, admission AdmissionSettings) *zone {
	z := &zone{t: t, rng: rand.New(rand.NewPCG(1, 2)), byIP: map[string]*zoneHost{}, streams: map[string]int{}, runs: map[uint64]*zoneRun{}}
	n := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1,
		Services: []routing.Service{{Name: "m", Model: true, TokensPerEvent: 8}}}}}
	for i := range zones * engines {
		ch := changeOf(fmt.Sprintf("e%03d", i), 10, false)
		ch.Slots, ch.Zone = slots, fmt.Sprintf("z%d", i/engines)
		n.Backends = append(n.Backends, ch)
	}
	for i := range zones * hosts {
		h := &zoneHost{ip: fmt.Sprintf("10.0.%d.%d", i/hosts, i%hosts+1), zone: fmt.Sprintf("z%d", i/hosts)}
		h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: uint64(i + 1), Seed: uint64(i), Seeds: []string{"10.0.0.1", "10.0.0.2"},
			Bounds: Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000}, Admission: admission})
		z.hosts = append(z.hosts, h)
		z.byIP[h.ip] = h
	}
	for _, h := range z.hosts {
		z.post(h, n)
	}
	z.run(3*time.Second, 0)
	z.datagrams, z.bytes = 0, 0
	return z
}

func (z *zone) post(h *zoneHost, ev Event) {
	if h.dead || z.now < h.startedAt || (z.frozen != nil && z.frozen(h)) {
		return
	}
	for _, e := range h.r.Reduce(z.now-h.startedAt, ev) {
		z.effect(h, e)
	}
	require.Empty(z.t, h.r.Violations())
}

// submitFor submits a request of a workspace to any host, and calls admitted once it is dispatched to an engine, where it
// ends at once.
func (z *zone) submitFor(w *routing.Workspace, cost float64, admitted func(host string)) {
	z.submitAt(z.hosts[z.rng.IntN(len(z.hosts))], w, cost, admitted)
}

func (z *zone) submitAt(h *zoneHost, w *routing.Workspace, cost float64, admitted func(host string)) {
	z.next++
	z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now, admitted: admitted}
	z.post(h, Submit{ID: z.next, Route: urgentRoute, Workspace: w, Cost: cost, Deadline: z.now - h.startedAt + time.Second})
}

func (z *zone) effect(h *zoneHost, e Effect) {
	if z.onEffect != nil && z.onEffect(h, e) {
		return
	}
	switch e := e.(type) {
	case SendHeartbeat:
		z.send(h, e.To, &gossippb.Packet{Beat: e.Heartbeat})
	case Send:
		z.send(h, e.To, e.Packet)
	case ReadStore:
		if z.onReadStore != nil {
			z.onReadStore(h, e)
		}
	case Pull:
		if z.onPull != nil {
			z.onPull(h.ip, e)
		}
	case Dispatch:
		run := z.runs[e.ID]
		if run.admitted != nil {
			run.admitted(h.ip)
			delete(z.runs, e.ID)
			h.r.requests[e.ID].charged = false // it has run
			z.ended = append(z.ended, zoneEnd{h, e.ID})
			return
		}
		run.engine, run.via = e.Backend.ID, e.Via
		run.ends = z.now + z.length(e.Backend.ID)
		if run.breaks = z.breaks != nil && z.rng.Float64() < z.breaks[run.engine]; run.breaks {
			run.ends = z.now + 3*zoneStep
		}
		z.applyPath(h, run)
		z.streams[run.engine]++
		if z.sends != nil {
			z.sends[run.engine] = append(z.sends[run.engine], z.now)
		}
		if z.onDispatch != nil {
			z.onDispatch(h, e)
		}
		z.dispatched++
		z.longestWait = max(z.longestWait, z.now-run.submittedAt)
		if z.streams[run.engine] > e.Backend.Slots+headroom {
			z.overloads++
		}
	case Probe:
		z.probe(h, e)
	case GiveUp:
		delete(z.runs, e.ID)
	case Refuse:
		if z.runs[e.ID].admitted != nil && e.Cause != OverQuota {
			z.unassigned++
		}
		z.longestWait = max(z.longestWait, z.now-z.runs[e.ID].submittedAt)
		delete(z.runs, e.ID)
		z.refused++
		if z.onRefuse != nil {
			z.onRefuse(e)
		}
	}
}

// length draws how long a stream stays at an engine: half a second on average, four times that at a slow one.
func (z *zone) length(engine string) time.Duration {
	d := time.Duration(z.rng.ExpFloat64() * float64(400*time.Millisecond))
	if slowEngine(engine) {
		d *= 4
	}
	return d + 50*time.Millisecond
}

func slowEngine(id string) bool { return (id[3]-'0')%3 == 0 }

func (z *zone) send(h *zoneHost, to []string, p *gossippb.Packet) {
	z.datagrams += len(to)
	z.bytes += len(to) * proto.Size(p)
	for _, ip := range to {
		if z.drops != nil && z.drops(h.ip, ip, p) {
			continue
		}
		z.inTransit = append(z.inTransit, zoneDatagram{z.now + zoneStep, h.ip, ip, p})
	}
}

// run advances time by d at a rate of requests per second.
func (z *zone) run(d time.Duration, perSecond int) {
	for end := z.now + d; z.now < end; {
		z.now += zoneStep
		z.steps++
		z.deliver()
		z.finish()
		z.answerProbes()
		for _, e := range z.ended {
			z.post(e.host, CallerLeft{ID: e.id})
		}
		z.ended = nil
		for left := perSecond; left > 0; left -= 1000 {
			if z.rng.IntN(1000) < left {
				z.submit()
			}
		}
		for i, h := range z.hosts {
			if (z.steps+i)%zoneTick == 0 {
				z.post(h, Tick{})
			}
		}
		if z.onStep != nil {
			z.onStep()
		}
	}
}

func (z *zone) deliver() {
	due := 0
	for due < len(z.inTransit) && z.inTransit[due].at <= z.now {
		due++
	}
	list := z.inTransit[:due]
	z.inTransit = append([]zoneDatagram(nil), z.inTransit[due:]...)
	for _, m := range list {
		if h := z.byIP[m.to]; h != nil {
			z.post(h, eventOf(m.from, m.p))
		}
	}
}

func (z *zone) finish() {
	var ended []uint64
	for id, run := range z.runs {
		if run.engine != "" && z.now >= run.ends {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		run := z.runs[id]
		z.streams[run.engine]--
		if run.outcome != 0 {
			outcome := run.outcome
			run.engine, run.outcome = "", 0
			z.post(run.host, DispatchEnded{ID: id, Outcome: outcome, Fault: !run.relayFault, RelayFault: run.relayFault, Digest: z.digest})
			continue
		}
		if run.breaks {
			z.broken[run.engine]++
			run.engine = ""
			z.post(run.host, DispatchEnded{ID: id, Outcome: Broken, Fault: true})
			continue
		}
		delete(z.runs, id)
		interval := 10 * time.Millisecond
		if slowEngine(run.engine) {
			interval *= 4
		}
		z.post(run.host, StreamStarted{ID: id, First: 20 * time.Millisecond})
		z.post(run.host, DispatchEnded{ID: id, Outcome: Answered, Success: true, First: 20 * time.Millisecond, Interval: interval, Events: 20})
		if z.onAnswered != nil {
			z.onAnswered(id)
		}
	}
}

// submit sends one request to a host that is alive.
func (z *zone) submit() {
	h := z.hosts[z.rng.IntN(len(z.hosts))]
	for h.dead || (z.originZone != "" && h.zone != z.originZone) {
		h = z.hosts[z.rng.IntN(len(z.hosts))]
	}
	z.next++
	z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
	rank := 0.0
	if z.rank != nil {
		rank = z.rank()
	}
	z.post(h, Submit{ID: z.next, Route: urgentRoute, Rank: rank, PromptTok: 1000, OutputTok: 160, Deadline: z.now + 10*time.Second})
}

// owners returns the owners of engines as known to the first host.
func (z *zone) owners() []string { return z.hosts[0].r.localShardOwners() }

// Fifty hosts of a zone share fifty engines that are nearly full. When each host sent every change to all
// others, at a thousand datagrams a second, they still all chose the few engines that looked free, and streams waited
// there while other engines were idle. Owners count exactly: no engine gets more than it may hold, nearly no request is refused
// while there are slots, and the traffic per host does not grow with the number of hosts.
func TestOwnersPlaceByExactCounts(t *testing.T) {
	t.Parallel()
	z := newZone(t, 50, 53)
	z.run(3*time.Second, 250)
	z.datagrams, z.bytes, z.overloads, z.dispatched, z.refused = 0, 0, 0, 0, 0
	z.run(5*time.Second, 250)
	perHost := func(n int) float64 { return float64(n) / 5 / 50 }
	t.Logf("%d sent, %d refused, %d beyond the bound; %.0f datagrams and %.1f KB a second and host",
		z.dispatched, z.refused, z.overloads, perHost(z.datagrams), perHost(z.bytes)/1000)
	require.Positive(t, z.dispatched)
	require.Zero(t, z.overloads)
	require.Less(t, z.refused, z.dispatched/100)
	require.Less(t, perHost(z.datagrams), 150.0)
	require.Less(t, perHost(z.bytes), 18_000.0)
	require.LessOrEqual(t, z.longestWait, 8*zoneStep, "the time for the answers of an owner or two")
}

// A fleet of six zones starts with its seeds in one of them. The hosts of the others must soon know all
// their zone peers, as quotas are divided by their number and engines by their identity. When they knew only a few, a
// third of the streams in these zones were late, and a workspace exceeded its quota.
func TestZonesWithoutSeedsFindEachOther(t *testing.T) {
	t.Parallel()
	z := newZones(t, 6, 20, 20)
	for _, h := range z.hosts {
		require.Len(t, h.r.zonePeers(), 19, "%s", h.ip)
		require.Equal(t, 6*20, h.r.hostCount(), "%s", h.ip)
		require.Equal(t, z.byIP[h.r.zonePeers()[0]].r.localShardOwners(), h.r.localShardOwners(), "%s", h.ip)
	}
}

// A zone's engines are nearly full while another's are idle. Its hosts request slots from the owners there, which count the
// requests of all zones: no engine gets more than it may hold, and nearly no request is refused.
func TestBusyZoneOverflowsToOthers(t *testing.T) {
	t.Parallel()
	z := newZones(t, 3, 10, 10)
	z.originZone = "z1"
	z.run(6*time.Second, 90) // twice what the zone's engines serve
	crossZone := 0
	for _, run := range z.runs {
		if run.engine != "" && z.hosts[0].r.backends[run.engine].Zone != "z1" {
			crossZone++
		}
	}
	require.Positive(t, crossZone)
	require.Zero(t, z.overloads)
	require.Less(t, z.refused, z.dispatched/50)
}

// An owner loses power. Without a timeout its zone peers would wait for its answers until it counts as unreachable, which takes
// seconds. They decide locally after a moment and stop asking it.
func TestDeadOwnerDelaysNoRequest(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	owner := z.byIP[z.owners()[0]]
	require.NotEqual(t, z.hosts[0], owner, "choose another seed")
	owner.dead = true
	slotRequests := 0
	z.drops = func(_, to string, p *gossippb.Packet) bool {
		if to == owner.ip && p.Ask != nil {
			slotRequests++
		}
		return false
	}
	z.run(time.Second, 400)
	z.run(3*time.Second, 100)
	require.LessOrEqual(t, z.longestWait, maxSlotRequests*(ownerCallTimeout+zoneTick*zoneStep))
	require.Positive(t, z.dispatched)
	for id, run := range z.runs {
		require.NotEmpty(t, run.engine, "request %d is waiting", id)
	}
	require.LessOrEqual(t, slotRequests, 100, "each host sends it a few requests at most before it stops asking")
	require.NotContains(t, z.owners(), owner.ip)
}

// A busy owner's offer arrives after the asking host has decided locally. The slot counts as taken at the
// owner and would until the next heartbeat, so that its engines would look full under heavy load. It is released at once.
func TestLateOfferIsGivenBack(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	request, owner := z.requestSlot(asker)
	offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
	require.NotNil(t, offers[0].Place)
	asker.r.Reduce(z.now+ownerCallTimeout, Tick{})
	require.Positive(t, asker.r.Requests(), "scheduled by the asking host itself")
	out := asker.r.Reduce(z.now+2*ownerCallTimeout, SlotOfferReceived{owner, offers[0]})
	require.True(t, releasesSlot(out, offers[0].Place.Backend))
}

// The owners' reports are a quarter of a second old and show all engines as full, but several requests have ended
// since. A request must not be refused without asking an owner.
func TestOwnersAreAskedBeforeARefusal(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	for _, b := range asker.r.allBackends() {
		asker.r.applyOwnerLoad(b, load{counts: counts{b.Slots + headroom}})
	}
	z.requestSlot(asker)
}

// A host restarts and does not know its zone peers' load yet. As an owner it would take busy engines
// for idle and offer them to all hosts.
func TestRecentlyStartedHostOwnsNoServer(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	owner := z.owners()[0]
	h := z.byIP[owner]
	h.r = New(Options{Host: h.ip, Zone: "z0", Incarnation: 99, Seed: 99, Seeds: []string{"10.0.0.1", "10.0.0.2"}})
	started := z.now
	for z.now-started < minOwnerAge-200*time.Millisecond {
		now := z.now
		z.run(100*time.Millisecond, 0)
		// The reducers of this zone share one clock; the new one counts from its start.
		h.r.now = z.now - started
		for _, other := range z.hosts {
			if m := other.r.members.byHost[owner]; m != nil && m.incarnation == 99 && other != h {
				m.startedAt = started
				other.r.owners.valid = false
				require.NotContains(t, other.r.localShardOwners(), owner, "%s after its start, by %s", now-started, other.ip)
			}
		}
	}
}

// requestSlot submits requests to a host until it sends a slot request, and returns that and its addressee.
func (z *zone) requestSlot(h *zoneHost) (*gossippb.Ask, string) {
	for range 20 {
		z.next++
		for _, s := range effectsOf[Send](h.r.Reduce(z.now, Submit{ID: z.next, Route: urgentRoute, PromptTok: 1000, Deadline: z.now + 10*time.Second})) {
			if s.Packet.Ask != nil {
				return s.Packet.Ask, s.To[0]
			}
		}
	}
	require.FailNow(z.t, "no owner is asked")
	return nil, ""
}

// releasesSlot reports whether the effects release a slot at a backend server.
func releasesSlot(list []Effect, backend uint32) bool {
	for _, rep := range reportsOf(list) {
		if rep.Backend == backend && rep.Requests == -1 && rep.Unread == -1000 {
			return true
		}
	}
	return false
}

// Owners' offers are lost, or arrive after the asking host has decided locally. If such slots counted as taken
// for as long as that host lives, the zone's engines would finally look full and all requests be refused. Late ones are
// released at once, lost ones with the host's next heartbeat.
func TestSlotsThatAreNotUsedAreReleased(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	z.drops = func(_, _ string, p *gossippb.Packet) bool { return p.Beat == nil && z.rng.IntN(4) == 0 }
	z.run(5*time.Second, 120)
	z.run(30*time.Second, 0) // all streams end
	require.Empty(t, z.runs)
	for _, h := range z.hosts {
		for _, b := range h.r.allBackends() {
			if h.r.owns(b) {
				require.Zero(t, b.inFlight(), "%s at %s", b.ID, h.ip)
			}
		}
	}
	require.Zero(t, z.refused)
}

// A stream begins and ends. Its owner must learn this at once: with the next heartbeat only, up to a second later, its
// engines would look full under heavy load, and requests would be refused.
func TestOwnerLearnsAtOnceOfEachEnd(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	request, owner := z.requestSlot(asker)
	offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
	asker.r.Reduce(z.now, SlotOfferReceived{owner, offers[0]})
	b := z.byIP[owner].r.byHash[offers[0].Place.Backend]
	require.Equal(t, 1, b.inFlight())
	require.Equal(t, 1000, b.othersLoad.prefillBacklog)
	pass := func(list []Effect) {
		for _, rep := range reportsOf(list) {
			z.byIP[owner].r.Reduce(z.now, ReportReceived{asker.ip, rep})
		}
	}
	pass(asker.r.Reduce(z.now, StreamStarted{ID: z.next, First: 20 * time.Millisecond}))
	require.Zero(t, b.othersLoad.prefillBacklog)
	require.Equal(t, 20*time.Microsecond, b.prefillPerToken)
	pass(asker.r.Reduce(z.now, DispatchEnded{ID: z.next, Outcome: Answered, Interval: 12 * time.Millisecond, Events: 20}))
	require.Zero(t, b.inFlight())
	require.Equal(t, 12*time.Millisecond, b.interval)
}

// offersOf returns the slot offers among effects.
func offersOf(list []Effect) []*gossippb.Offer {
	var out []*gossippb.Offer
	for _, s := range effectsOf[Send](list) {
		if s.Packet.Offer != nil {
			out = append(out, s.Packet.Offer)
		}
	}
	return out
}

// reportsOf returns the reports among effects.
func reportsOf(list []Effect) []*gossippb.Report {
	var out []*gossippb.Report
	for _, s := range effectsOf[Send](list) {
		if s.Packet.Report != nil {
			out = append(out, s.Packet.Report)
		}
	}
	return out
}

// An engine crashes and looks idle, so its owner would offer it to every host of the zone until each has found out
// for itself. Two hosts that cannot connect are enough evidence; a single one may be cut off itself.
func TestOwnerDropsAServerThatTwoHostsCannotReach(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	owner := z.byIP[z.owners()[0]]
	ask := func(from string) string {
		offers := offersOf(owner.r.Reduce(z.now, SlotRequestReceived{from, &gossippb.Ask{Number: 1, Service: "m", Streaming: true, Prompt: 100, LeftMs: 9000, TargetMs: 800, WorstClass: uint32(classHealthy)}}))
		require.Len(t, offers, 1)
		require.NotNil(t, offers[0].Place)
		return owner.r.byHash[offers[0].Place.Backend].ID
	}
	first := ask("10.0.0.3")
	broken := owner.r.backends[first]
	report := &gossippb.Report{Backend: broken.hash, Requests: -1, Unread: -100, Outcome: gossippb.Outcome_OUTCOME_UNREACHABLE}
	owner.r.Reduce(z.now, ReportReceived{"10.0.0.3", report})
	require.False(t, broken.isUnreachable(z.now))
	owner.r.Reduce(z.now, ReportReceived{"10.0.0.4", report})
	require.True(t, broken.isUnreachable(z.now))
	for range 30 {
		require.NotEqual(t, first, ask("10.0.0.5"))
	}
}

// After its slot request a host learns that the offered engine is draining, which the owner does not know
// yet. Nothing may be sent there: the slot is released and another engine is chosen.
func TestOfferOfADrainingEngineIsNotTaken(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 23)
	asker := z.hosts[0]
	request, owner := z.requestSlot(asker)
	offers := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{asker.ip, request}))
	offered := asker.r.byHash[offers[0].Place.Backend]
	ch := changeOf(offered.ID, 60, false)
	ch.Draining = true
	asker.r.Reduce(z.now, Update{FromStore: true, After: rev(50), AsOf: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	out := asker.r.Reduce(z.now, SlotOfferReceived{owner, offers[0]})
	for _, d := range effectsOf[Dispatch](out) {
		require.NotEqual(t, offered.ID, d.Backend.ID)
	}
	require.True(t, releasesSlot(out, offered.hash))
}

// BenchmarkZone measures the cost of each kind of event at a host of a zone of 50 hosts and 53 engines.
func BenchmarkZone(b *testing.B) {
	z := newZone(b, 50, 53)
	z.run(2*time.Second, 250)
	owner := z.byIP[z.owners()[0]]
	var peer *zoneHost
	for _, h := range z.hosts {
		if h.ip != owner.ip {
			peer = h
			break
		}
	}
	var heartbeat *gossippb.Beat
	for _, s := range effectsOf[SendHeartbeat](peer.r.Reduce(z.now+maxOwnersInterval, Tick{})) {
		heartbeat = s.Heartbeat
	}
	run := func(name string, f func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				f(i)
			}
		})
	}
	run("beat heard", func(int) { heartbeat.Seq++; owner.r.Reduce(z.now, HeartbeatReceived{heartbeat}) })
	ask := &gossippb.Ask{Number: 1, Service: "m", Streaming: true, Prompt: 100, LeftMs: 9000, TargetMs: 800, WorstClass: uint32(classHealthy)}
	run("ask and report", func(int) {
		offers := offersOf(owner.r.Reduce(z.now, SlotRequestReceived{peer.ip, ask}))
		if p := offers[0].Place; p != nil {
			owner.r.Reduce(z.now, ReportReceived{peer.ip, &gossippb.Report{Backend: p.Backend, Requests: -1, Unread: -100}})
		}
	})
	now := z.now
	run("tick", func(int) { now += zoneTick * zoneStep; owner.r.Reduce(now, Tick{}) })
}

// Guards against hosts that disagree on the owner of a backend server because its shard was computed from the hash of an
// earlier start.
func TestOwnerFollowsTheNameOfAServer(t *testing.T) {
	t.Parallel()
	z := newZone(t, 20, 60)
	h := z.hosts[0].r
	for i, b := range h.allBackends() {
		later, earlier := changeOf(b.ID, uint64(90+i), false), changeOf(b.ID, uint64(80+i), false)
		earlier.Start, earlier.Zone, later.Zone = 7, b.Zone, b.Zone
		z.post(z.hosts[0], Update{FromStore: true, After: rev(50), AsOf: rev(uint64(90 + i)), Changes: routing.Changes{Backends: []routing.BackendChange{later, earlier}}})
	}
	named := 0
	for _, b := range h.allBackends() {
		if b.Start == 7 {
			named++
		}
		owner := h.localShardOwners()[b.hash%uint32(len(h.localShardOwners()))]
		require.Equal(t, owner == z.hosts[0].ip, h.owns(b), b.ID)
	}
	require.Equal(t, 60, named)
}

// A backend server rejects a request, and its caller leaves while an owner is asked for the next slot. Guards against a host that
// takes the request off the first server twice.
func TestCallerLeavesWhileTheNextSlotIsRequested(t *testing.T) {
	t.Parallel()
	z := newZones(t, 1, 20, 23)
	h := z.hosts[0]
	ask, owner := z.requestSlot(h)
	offer := offersOf(z.byIP[owner].r.Reduce(z.now, SlotRequestReceived{h.ip, ask}))[0]
	sent := dispatchOf(t, h.r.Reduce(z.now, SlotOfferReceived{owner, offer}))
	for _, s := range effectsOf[Send](h.r.Reduce(z.now, DispatchEnded{ID: sent.ID, Outcome: Rejected})) {
		if s.Packet.Ask != nil {
			h.r.Reduce(z.now, CallerLeft{ID: sent.ID})
		}
	}
	require.NotContains(t, h.r.requests, sent.ID, "an owner was asked, and the request has ended")
	require.Empty(t, h.r.Violations())
	require.Zero(t, h.r.backends[sent.Backend.ID].ownLoad)
}
