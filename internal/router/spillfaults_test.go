package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/spill"
)

// steady is a demand of the first zone above its capacity, and of the others below.
func steady(first, others float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 {
		if zone == 0 {
			return first
		}
		return others
	}
}

// newBusyFleet returns a fleet whose first zone sends requests to the others early.
func newBusyFleet(t testing.TB, hosts int, admission AdmissionSettings) *spillFleet {
	f := newSpillFleet(t, hosts, 6, admission, true)
	f.demand = steady(1.3, 0.4)
	f.run(4*time.Second, 0)
	require.Positive(t, f.spilled["z0"])
	require.Zero(t, f.spilled["z1"]+f.spilled["z2"])
	return f
}

// spilledIn returns how many requests zones send early to others within some time.
func (f *spillFleet) spilledIn(d time.Duration) int {
	clear(f.spilled)
	f.run(d, 0)
	return f.spilled["z0"] + f.spilled["z1"] + f.spilled["z2"]
}

// spillModes are fleets in which zones know each other by heartbeats and by summaries, with and without queues.
func spillModes(t *testing.T, test func(t *testing.T, hosts int, admission AdmissionSettings)) {
	for name, hosts := range map[string]int{"9 hosts": 3, "18 hosts": 6} {
		t.Run(name, func(t *testing.T) { t.Parallel(); test(t, hosts, AdmissionSettings{}) })
		t.Run(name+" with queues", func(t *testing.T) { t.Parallel(); test(t, hosts, loadQueues) })
	}
}

// Guards against requests that still go to other zones when the wave is over.
func TestWorkReturnsAfterAWave(t *testing.T) {
	spillModes(t, func(t *testing.T, hosts int, admission AdmissionSettings) {
		f := newBusyFleet(t, hosts, admission)
		f.demand = steady(0.5, 0.4)
		f.run(time.Second, 0)
		require.Zero(t, f.spilledIn(3*time.Second))
	})
}

// Guards against a zone that is cut off at its peak and goes on to offer its requests to zones that it cannot reach, or to be offered
// theirs, and against one that does not resume.
func TestZoneThatIsCutOffNeitherSendsNorGets(t *testing.T) {
	spillModes(t, func(t *testing.T, hosts int, admission AdmissionSettings) {
		f := newBusyFleet(t, hosts, admission)
		f.cutZone = "z0"
		f.run(time.Second, 0)
		require.Zero(t, f.spilledIn(3*time.Second))
		f.cutZone = "z1"
		f.run(3*time.Second, 0)
		require.Positive(t, f.spilledIn(2*time.Second))
		for pair, at := range f.sentAt {
			require.True(t, pair[1] != "z1" || f.now-at > 4*time.Second, "sent to a zone that is cut off")
		}
		f.cutZone = ""
		f.run(3*time.Second, 0)
		require.Positive(t, f.spilledIn(time.Second))
	})
}

// Guards against decisions by summaries that no longer arrive, and against early spill that ends with the loss of every other one.
func TestLostSummariesEndEarlySpill(t *testing.T) {
	f := newBusyFleet(t, 6, AdmissionSettings{})
	lost, seen := 2, 0
	f.drops = func(from, to string, p *gossippb.Packet) bool {
		if f.byIP[from].zone == f.byIP[to].zone || len(p.GetBeat().GetZones()) == 0 {
			return false
		}
		seen++
		return seen%lost == 0
	}
	require.Positive(t, f.spilledIn(2*time.Second))
	lost = 1
	f.run(zoneSummaryTTL+spillInterval, 0)
	require.Zero(t, f.spilledIn(2*time.Second))
}

// Guards against decisions by the demand of a host that has just started, which is too low, and against a zone that is sent work
// while the demand of its hosts is unknown.
func TestHostsThatStartSendNoDemand(t *testing.T) {
	f := newBusyFleet(t, 3, AdmissionSettings{})
	reports := 0
	f.drops = func(from, _ string, p *gossippb.Packet) bool {
		if h := f.byIP[from]; len(p.GetBeat().GetServiceDemands()) > 0 {
			require.GreaterOrEqual(t, f.now-h.startedAt, demandWarmup)
			reports++
		}
		return false
	}
	started := f.hosts[3]
	require.Equal(t, "z1", started.zone)
	f.kill(started)
	f.start(started)
	known := func(h *zoneHost) bool {
		_, known := h.r.zoneDemand("m", "z1")
		return known
	}
	require.True(t, known(f.hosts[0]))
	f.run(demandWarmup/2, 0)
	require.False(t, known(f.hosts[0]) || known(started) || known(f.hosts[4]))
	f.run(2*demandWarmup, 0)
	require.True(t, known(f.hosts[0]) && known(started) && known(f.hosts[4]))
	require.Positive(t, f.spilledIn(time.Second))
	require.Positive(t, reports)
}

// Guards against callers who lose their place because a zone said to have free capacity is full, and against the callers of that zone
// who lose theirs.
func TestFullTargetRefusesAndTheRequestGoesOn(t *testing.T) {
	for name, admission := range map[string]AdmissionSettings{"without queues": {}, "with queues": loadQueues} {
		t.Run(name, func(t *testing.T) {
			f := newSpillFleet(t, 6, 6, admission, true)
			f.drops = func(_, _ string, p *gossippb.Packet) bool {
				for _, s := range p.GetBeat().GetZones() {
					for _, l := range s.ServiceLoads {
						if s.Zone == "z1" {
							l.Demand = 0
						}
					}
				}
				return false
			}
			onEffect := f.onEffect
			f.onEffect = func(h *zoneHost, e Effect) bool {
				if d, ok := e.(Dispatch); ok && d.Basis.Spill.Zone != "" {
					require.Less(t, d.Basis.InFlight, d.Backend.Slots, "it has a free slot")
				}
				return onEffect(h, e)
			}
			f.demand = func(zone int, _ time.Duration) float64 { return []float64{1.05, 0.98, 0.3}[zone] }
			f.run(6*time.Second, 0)
			noSlot := 0
			for _, h := range f.hosts[:6] {
				for _, s := range h.r.View().Spill {
					for _, z := range s.Zones {
						noSlot += z.NoSlot
					}
				}
			}
			require.Positive(t, noSlot)
			f.finish()
			inTime, all := f.inTime()
			t.Logf("%d of %d in time, %d without a slot in the target zone", inTime, all, noSlot)
			require.GreaterOrEqual(t, inTime, all*95/100)
		})
	}
}

// Guards against requests that are sent early to a zone that operators have evacuated.
func TestEvacuatedZoneGetsNothingEarly(t *testing.T) {
	spillModes(t, func(t *testing.T, hosts int, admission AdmissionSettings) {
		f := newBusyFleet(t, hosts, admission)
		for _, h := range f.hosts {
			f.post(h, Update{FromStore: true, AsOf: rev(60), Changes: routing.Changes{Evacuations: []routing.Evacuation{{Zone: "z1", Revision: rev(60)}}}})
		}
		at := f.now
		require.Positive(t, f.spilledIn(3*time.Second))
		require.LessOrEqual(t, f.sentAt[[2]string{"z0", "z1"}], at)
		require.Greater(t, f.sentAt[[2]string{"z0", "z2"}], at)
	})
}

// Guards against requests that are sent early to a zone of a region that may not serve them.
func TestEarlySpillKeepsToRegions(t *testing.T) {
	spillModes(t, func(t *testing.T, hosts int, admission AdmissionSettings) {
		f := newSpillFleet(t, hosts, 6, admission, true)
		for _, h := range f.hosts {
			h.r.opt.Regions = map[string]string{"z0": "north", "z1": "north", "z2": "south"}
		}
		f.zones[0].workspace.Regions = []string{"north"}
		f.demand = steady(1.2, 0.3)
		f.run(4*time.Second, 0)
		require.Positive(t, f.sentAt[[2]string{"z0", "z1"}])
		require.Zero(t, f.sentAt[[2]string{"z0", "z2"}])
	})
}

// Guards against early spill that goes on after a reload has turned it off, and against state that stays.
func TestReloadTurnsEarlySpillOff(t *testing.T) {
	f := newBusyFleet(t, 6, AdmissionSettings{})
	require.NotEmpty(t, f.hosts[0].r.View().Spill)
	for _, h := range f.hosts {
		f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds})
	}
	require.Zero(t, f.spilledIn(2*time.Second))
	require.Empty(t, f.hosts[0].r.View().Spill)
	f.drops = func(_, _ string, p *gossippb.Packet) bool {
		require.Empty(t, p.GetBeat().GetServiceDemands())
		for _, s := range p.GetBeat().GetZones() {
			require.Empty(t, s.ServiceLoads)
		}
		return false
	}
	f.run(time.Second, 0)
}

// Guards against state that a request recreates which waited for a slot in another zone when a reload turned early spill off.
func TestReloadWhileASpilledRequestWaitsForItsSlot(t *testing.T) {
	b := newFixture(t, 2)
	b.post(SettingsChanged{Bounds: b.r.opt.Bounds, Balancing: BalancingSettings{EarlySpill: true}})
	q := &request{service: "m", spill: SpillBasis{Zone: "z1"}}
	b.r.countSpill("m", "z1", SpillCounts{Offered: 1})
	b.post(SettingsChanged{Bounds: b.r.opt.Bounds})
	b.r.spillRefused(q)
	require.Empty(t, q.spill)
	require.Empty(t, b.r.spill.services)
	require.Equal(t, SpillCounts{Offered: 1, NoSlot: 1}, b.r.View().SpillCounts)
}

// Guards against a reload that enables early spill on a busy host, which has measured nothing yet and would report no demand, so that
// other zones send their requests to its zone.
func TestReloadThatEnablesEarlySpillSendsNoDemandAtFirst(t *testing.T) {
	b := newFixture(t, 2)
	b.now += time.Minute
	b.post(SettingsChanged{Bounds: b.r.opt.Bounds, Balancing: BalancingSettings{EarlySpill: true}})
	known := func() bool {
		_, known := b.r.zoneDemand("m", "z0")
		return known
	}
	b.now += demandWarmup - 1
	b.post(Tick{})
	require.Empty(t, b.r.demandsToSend())
	require.False(t, known())
	b.now++
	b.post(Tick{})
	require.NotEmpty(t, b.r.demandsToSend())
	require.True(t, known())
}

// Guards against a fleet in which some hosts do not have the setting: they ignore the reports of the others, and nothing is sent to a
// zone whose demand is not known.
func TestHostsWithoutEarlySpillIgnoreIt(t *testing.T) {
	spillModes(t, func(t *testing.T, hosts int, admission AdmissionSettings) {
		f := newBusyFleet(t, hosts, admission)
		for _, h := range f.hosts {
			if h.zone == "z1" {
				f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: admission})
			}
		}
		f.run(demandTTL+zoneSummaryTTL+spillInterval, 0)
		at := f.now
		require.Positive(t, f.spilledIn(2*time.Second))
		require.LessOrEqual(t, f.sentAt[[2]string{"z0", "z1"}], at)
	})
}

// Guards against a host that was paused and sends requests away by what it computed before.
func TestOldSharesDoNotCount(t *testing.T) {
	b := newFixture(t, 2)
	s := b.r.spillOf("m")
	s.targets, s.plannedAt = []spill.Target{{Zone: "z1", Share: 0.5}}, b.r.now
	q := &request{Submit: Submit{Route: urgentRoute}, service: "m"}
	require.Empty(t, b.r.takeSpillCredit(q, s))
	require.Equal(t, "z1", b.r.takeSpillCredit(q, s), "every second request")
	require.Empty(t, b.r.takeSpillCredit(q, s))
	b.r.now += spillPlanTTL + 1
	require.Empty(t, b.r.takeSpillCredit(q, s))
}

// Guards against requests that go early again, and against streams that are sent away from the zone of their origin.
func TestOnlyFirstAttemptsGoEarly(t *testing.T) {
	b := newFixture(t, 2)
	b.r.opt.Balancing.EarlySpill = true
	s := b.r.spillOf("m")
	s.targets, s.plannedAt = []spill.Target{{Zone: "z1", Share: 0.5}}, b.r.now
	submit := Submit{Route: urgentRoute, Deadline: b.r.now + time.Second}
	continued := submit
	continued.Continues = true
	for range 3 {
		for _, q := range []*request{{Submit: continued}, {Submit: submit, attempt: 1}, {Submit: submit, spillDecided: true},
			{Submit: submit, waitState: waitState{returning: true}}} {
			q.service = "m"
			require.False(t, b.r.spillEarly(q))
		}
	}
	require.Empty(t, s.credit)
	require.Empty(t, s.counts)
	for range 2 {
		b.r.spillEarly(&request{Submit: submit, service: "m"})
	}
	require.Equal(t, &SpillCounts{Offered: 1, NoSlot: 1}, s.counts["z1"], "it has no backend servers")
}

// Guards against requests that are sent early to an engine whose slots are free only beyond its learned limit.
func TestEarlySpillKeepsToLearnedLimits(t *testing.T) {
	b := newFixture(t, 1)
	b.r.opt.Balancing = BalancingSettings{LearnedLimits: true, EarlySpill: true}
	engine := b.r.allBackends()[0]
	engine.Slots = 8
	config := *b.r.table.Config
	config.Routes = []routing.Route{{Name: "a", Kind: routing.Streaming, MaxGap: steepGap, Shares: []routing.Share{{Service: "m", Weight: 1}}}}
	b.r.table = routing.NewTable(&config)
	b.r.sampleOccupancy()
	for range 5 {
		engine.pace.curve.Observe(b.r.now, 8, 2*steepGap, maxEvents)
	}
	require.Equal(t, 7, b.r.slotLimit(engine))
	q := &request{Submit: Submit{Route: urgentRoute, Deadline: b.r.now + time.Second}, service: "m"}
	engine.ownLoad.counts[0] = 6
	chosen, basis := b.r.spillBackend(q, "z0")
	require.Equal(t, engine, chosen)
	require.Equal(t, 7, basis.Limit)
	engine.ownLoad.counts[0] = 7
	chosen, _ = b.r.spillBackend(q, "z0")
	require.Nil(t, chosen)
}

// Guards against a caller who makes its zone look overloaded by stating a long output.
func TestStatedOutputIsLimitedInDemand(t *testing.T) {
	b := newFixture(t, 2)
	submit := Submit{Route: urgentRoute, OutputTok: math.MaxInt32, PromptTok: math.MaxInt32, Deadline: b.r.now + 3*time.Second}
	q := &request{Submit: submit, service: "m"}
	require.InDelta(t, 3000*b.r.nominalSpeed("m"), b.r.nominalWork(q), 1e-6)
}

// Guards against callers who return and are counted again, or sent away early again.
func TestReturningCallersAreNoDemand(t *testing.T) {
	b := newFixture(t, 2)
	b.r.opt.Balancing.EarlySpill = true
	submit := func(allowed time.Duration) {
		b.next++
		b.post(Submit{ID: b.next, Route: urgentRoute, PromptTok: 100, OutputTok: 100, Deadline: b.now + allowed, Allowed: allowed})
	}
	demand := func() float64 {
		b.now += (demandBuckets - 1) * demandBucket
		return b.r.spillOf("m").meter.perSecond(b.now)
	}
	submit(10 * time.Second)
	first := demand()
	require.Positive(t, first)
	submit(9 * time.Second)
	require.Zero(t, demand())
	b.now += time.Second
	require.Zero(t, demand(), "the demand is that of the last half second")
}

// Guards against control traffic that grows with early spill beyond what the hosts' links allow.
func TestEarlySpillAddsLittleTraffic(t *testing.T) {
	f := newBusyFleet(t, 10, AdmissionSettings{})
	added, last := 0, map[string]time.Duration{}
	f.drops = func(from, to string, p *gossippb.Packet) bool {
		b := p.GetBeat()
		if len(b.GetServiceDemands()) > 0 {
			added += proto.Size(&gossippb.Beat{ServiceDemands: b.ServiceDemands})
			if at, ok := last[from]; ok && at != f.now {
				require.GreaterOrEqual(t, f.now-at, demandInterval)
			}
			last[from] = f.now
		}
		for _, s := range append(b.GetZones(), p.GetRelay().GetZones()...) {
			added += proto.Size(&gossippb.ZoneSum{ServiceLoads: s.ServiceLoads})
		}
		return false
	}
	f.run(5*time.Second, 0)
	perHost := float64(added) / 5 / float64(len(f.hosts))
	t.Logf("%.0f bytes a second and host", perHost)
	require.Positive(t, perHost)
	require.Less(t, perHost, 500.0)
}

// Guards against a capacity that counts engines which get no requests or ignores that engines of one service differ in speed, and
// against one in engine time of servers whose limits are of another kind.
func TestCapacityOfAZone(t *testing.T) {
	b := newFixture(t, 5)
	slots := 1000 * 5.0
	capacity := func() float64 {
		c, known := b.r.nominalCapacity("m", "z0")
		require.True(t, known)
		return c
	}
	require.InDelta(t, 5*slots, capacity(), 1e-6, "unknown speeds are the default")
	engines := b.r.allBackends()
	engines[0].interval = defaultEventInterval / 2
	engines[1].interval = 4 * defaultEventInterval
	require.InDelta(t, (2+0.25+3)*slots, capacity(), 1e-6)
	b.r.serviceState("m").eventInterval = 2 * defaultEventInterval
	require.InDelta(t, (2+0.25+3*0.5)*slots, capacity(), 1e-6, "unknown speeds are the service's mean")
	engines[0].interval = 1
	require.InDelta(t, (maxSpeedRatio/2+0.25+3*0.5)*slots, capacity(), 1e-6, "a hostile speed")
	engines[0].Draining, engines[1].leaving, engines[2].holdOffUntil = true, true, b.r.now+1
	require.InDelta(t, 2*0.5*slots, capacity(), 1e-6)
	engines[3].warming.until, engines[4].avoidUntil = b.r.now+1, b.r.now+1
	require.Zero(t, capacity())
	require.Zero(t, func() float64 { c, _ := b.r.nominalCapacity("m", "z1"); return c }())
	engines[3].rateLimit = &rateLimit{statedLimit: statedLimit{statement: statement{perSecond: 5}}}
	require.True(t, engines[3].rateLimited())
	_, known := b.r.nominalCapacity("m", "z0")
	require.False(t, known)
}

// Guards against a forecast that looks further ahead than the callers of a service wait.
func TestSlotTimeFollowsTheTargetLatency(t *testing.T) {
	b := newFixture(t, 1)
	require.Equal(t, defaultSlotTime, b.r.slotTime("m"), "no route has a target")
	shares := []routing.Share{{Service: "m", Weight: 1}}
	b.r.table = routing.NewTable(&routing.Config{Version: 2, Routes: []routing.Route{
		{Name: "a", Shares: shares, Target: 3 * time.Second}, {Name: "b", Shares: shares, Target: 500 * time.Millisecond},
		{Name: "c", Shares: []routing.Share{{Service: "n", Weight: 1}}, Target: time.Millisecond}}})
	require.Equal(t, 250*time.Millisecond, b.r.slotTime("m"))
	b.r.table.Config.Routes[1].Target = time.Minute
	require.Equal(t, maxSlotTime, b.r.slotTime("m"))
}

// offerEarly makes a host send each second new request to another zone early, whatever the loads are.
func offerEarly(h *worldHost) {
	h.r.opt.Balancing.EarlySpill = true
	s := h.r.spillOf("s")
	s.targets, s.plannedAt = nil, h.r.now
	for _, zone := range []string{"z0", "z1"} {
		if zone != h.zone {
			s.targets = append(s.targets, spill.Target{Zone: zone, Share: 0.5})
		}
	}
}

// Guards against requests that run twice, are lost or wait for ever because they are sent early, in the random fleets of
// TestPromisesSmallFleet and TestPromisesLargeFleet.
func TestPromisesWithEarlySpill(t *testing.T) {
	for _, c := range []struct {
		name    string
		perZone int
		queues  AdmissionSettings
	}{
		{"6 hosts", 3, AdmissionSettings{}},
		{"6 hosts with queues", 3, AdmissionSettings{Enabled: true, MaxRequests: 8}},
		{"18 hosts", 9, AdmissionSettings{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, 2, c.perZone, c.queues)
				w.onSubmit = offerEarly
				w.play()
			})
		})
	}
}
