package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	testColdRate  = 7.3
	testColdFor   = 3 * time.Second
	testColdBound = testColdRate*1.5 + 5
)

var coldBounds = Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000, ColdOverage: 1.5, ColdSlack: 5}

// coldFleet is a fleet whose backend servers have a rate limit after their start.
type coldFleet struct {
	*zone
	revision uint64
	engines  int
	config   *routing.Config
}

func newColdFleet(t testing.TB, zones, hosts, engines int) *coldFleet {
	f := &coldFleet{zone: newZones(t, zones, hosts, engines), revision: 100, engines: engines}
	f.sends = map[string][]time.Duration{}
	f.config = &routing.Config{Version: 2, Services: []routing.Service{{Name: "m", Model: true, TokensPerEvent: 8, ColdFor: testColdFor, ColdRate: testColdRate}}}
	for _, h := range f.hosts {
		f.post(h, SettingsChanged{Seeds: []string{"10.0.0.1", "10.0.0.2"}, Bounds: coldBounds})
		f.post(h, Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: f.config}})
	}
	f.run(2*time.Second, 0)
	return f
}

// enginesReturn reports to the given store readers that all engines of a zone have just restarted.
func (f *coldFleet) enginesReturn(zone int, readers ...*zoneHost) {
	n := Update{FromStore: true, After: rev(f.revision)}
	for i := zone * f.engines; i < (zone+1)*f.engines; i++ {
		f.revision++
		ch := changeOf(fmt.Sprintf("e%03d", i), f.revision, false)
		ch.Slots, ch.Zone, ch.Cold = 4, fmt.Sprintf("z%d", zone), testColdFor
		n.Backends = append(n.Backends, ch)
	}
	n.AsOf, n.Revision = rev(f.revision), rev(f.revision)
	for _, h := range readers {
		f.post(h, n)
	}
}

// zoneHosts returns the hosts of one zone.
func (f *coldFleet) zoneHosts(zone int) []*zoneHost {
	per := 0
	for _, h := range f.hosts {
		if h.zone == "z0" {
			per++
		}
	}
	return f.hosts[zone*per : (zone+1)*per]
}

// restartHosts replaces the processes of hosts, with the store's present content.
func (f *coldFleet) restartHosts(hosts []*zoneHost) {
	all := Update{FromStore: true, Full: true, AsOf: rev(f.revision), Revision: rev(f.revision), Changes: routing.Changes{Config: f.config}}
	for _, b := range f.hosts[0].r.allBackends() {
		ch := routing.BackendChange{Backend: b.Backend, Revision: b.revision}
		ch.Cold = max(0, b.warming.until-f.hosts[0].r.now)
		all.Backends = append(all.Backends, ch)
	}
	for _, h := range hosts {
		h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: h.r.opt.Incarnation + 1000, Seed: h.r.opt.Seed + 1000, Seeds: h.r.opt.Seeds, Bounds: coldBounds})
		h.startedAt = f.now
		f.post(h, all)
	}
}

// maxSentPerSecond returns the most requests sent to one of a zone's engines within a second, and the total sent.
func (f *coldFleet) maxSentPerSecond(zone int, since, until time.Duration) (most, sent int) {
	for i := zone * f.engines; i < (zone+1)*f.engines; i++ {
		var at []time.Duration
		for _, when := range f.sends[fmt.Sprintf("e%03d", i)] {
			if when >= since && when < until {
				at = append(at, when)
			}
		}
		sent += len(at)
		for first, last := 0, 0; last < len(at); last++ {
			for at[last]-at[first] > time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most, sent
}

// 15 of 60 backend servers return at once, idle, while the fleet is under load. Each was the best choice of all hosts
// and got more than twice the rate it can handle. Now only a few hosts send there, each at a share of the rate.
func TestServersThatAreBackAtOnceAreNotOverloaded(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 4, 17, 15)
	f.run(2*time.Second, 280)
	at := f.now
	f.enginesReturn(2, f.zoneHosts(2)[:2]...)
	f.run(testColdFor, 280)
	most, sent := f.maxSentPerSecond(2, at, f.now)
	require.LessOrEqual(t, float64(most), testColdRate+maxSenders)
	require.Greater(t, sent, 15, "they serve requests while cold")
	f.run(2*time.Second, 280)
	_, after := f.maxSentPerSecond(2, at+testColdFor, f.now)
	require.Greater(t, after/2, sent/3, "a second, once no longer limited")
}

// All hosts crash when a zone's backend servers have just returned. Each restarted host knows no other and would take
// the whole rate for itself.
func TestRestartOfAllHostsOverloadsNoColdServer(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 4, 17, 15)
	f.run(2*time.Second, 280)
	at := f.now
	f.enginesReturn(2, f.hosts...)
	f.run(time.Second, 280)
	f.runs = map[uint64]*zoneRun{} // their callers' connections are closed
	f.restartHosts(f.hosts)
	f.run(testColdFor, 280)
	most, _ := f.maxSentPerSecond(2, at, f.now)
	require.LessOrEqual(t, float64(most), testColdBound)
}

// All hosts are disconnected from each other when a zone's backend servers return cold. None may take the rate that
// belongs to the others.
func TestHostsThatAreCutOffOverloadNoColdServer(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 4, 17, 15)
	f.run(2*time.Second, 280)
	f.drops = func(from, to string, _ *gossippb.Packet) bool { return true }
	f.run(5*time.Second, 280)
	at := f.now
	f.enginesReturn(2, f.hosts...)
	f.run(testColdFor, 280)
	most, _ := f.maxSentPerSecond(2, at, f.now)
	require.LessOrEqual(t, float64(most), testColdBound)
}

// A cold backend server gets no more than the operators allow in any second, for any size of fleet, number of
// restarting hosts and share of lost datagrams.
func TestColdServersInAnyFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		zones := rapid.IntRange(1, 2).Draw(rt, "zones")
		hosts := rapid.SampledFrom([]int{1, 2, 4, 9, 17}).Draw(rt, "hosts a zone")
		perSecond := rapid.SampledFrom([]int{50, 200, 500}).Draw(rt, "requests a second")
		f := newColdFleet(t, zones, hosts, 3)
		lossRate := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(rt, "share of datagrams that are lost")
		f.drops = func(string, string, *gossippb.Packet) bool { return f.rng.Float64() < lossRate }
		f.run(time.Second, perSecond)
		at := f.now
		f.enginesReturn(0, f.hosts...)
		f.run(time.Duration(rapid.IntRange(0, 900).Draw(rt, "restart after ms"))*time.Millisecond, perSecond)
		restarting := f.zoneHosts(0)[:rapid.IntRange(0, hosts).Draw(rt, "hosts that restart")]
		for id, run := range f.runs {
			if slices.Contains(restarting, run.host) {
				f.streams[run.engine]--
				delete(f.runs, id)
			}
		}
		f.restartHosts(restarting)
		f.run(testColdFor, perSecond)
		most, _ := f.maxSentPerSecond(0, at, at+testColdFor)
		require.LessOrEqual(rt, float64(most), testColdBound)
	})
}

// All backend servers of a small fleet are cold, as after a restart of all of them. They are used at their limited rate.
func TestColdServersAreUsedWhereThereAreNoOthers(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 1, 3, 2)
	at := f.now
	f.enginesReturn(0, f.hosts...)
	f.run(testColdFor, 300)
	most, sent := f.maxSentPerSecond(0, at, f.now)
	require.LessOrEqual(t, float64(most), testColdBound)
	require.GreaterOrEqual(t, sent, int(math.Floor(2*testColdRate*testColdFor.Seconds()*0.7)))
	require.Positive(t, f.refused)
}

// A host that has just started knows neither the other senders nor what its previous process sent.
func TestRecentlyStartedHostSendsNothingToColdServers(t *testing.T) {
	t.Parallel()
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1, Seeds: []string{"10.0.0.2"}, Bounds: coldBounds})
	cold := changeOf("cold", 20, false)
	cold.Cold = 10 * time.Second
	r.Reduce(0, Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1,
		Services: []routing.Service{{Name: "m", Model: true, ColdFor: testColdFor, ColdRate: testColdRate}}}, Backends: []routing.BackendChange{cold}}})
	r.Reduce(time.Second, HeartbeatReceived{Heartbeat: &gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	r.Reduce(time.Second, Tick{})
	_, refused := findEffect[Refuse](submitted(r, 1, time.Second))
	require.True(t, refused)
	r.Reduce(minSenderAge+time.Second, Tick{})
	dispatchOf(t, submitted(r, 2, minSenderAge+time.Second))
}

// Owners grant no slots at cold backend servers: any host may request one, though only a few may send there.
func TestOwnersOfferNoColdServer(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 1, 20, 23)
	requester := f.hosts[0]
	slotRequest, owner := f.requestSlot(requester)
	f.enginesReturn(0, f.byIP[owner])
	offers := offersOf(f.byIP[owner].r.Reduce(f.now, SlotRequestReceived{requester.ip, slotRequest}))
	require.Nil(t, offers[0].Place)
}

// An owner grants a slot before it learns that the backend server has restarted. The slot is returned.
func TestOffersOfColdServersAreNotUsed(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 1, 20, 23)
	requester := f.hosts[0]
	slotRequest, owner := f.requestSlot(requester)
	offers := offersOf(f.byIP[owner].r.Reduce(f.now, SlotRequestReceived{requester.ip, slotRequest}))
	require.NotNil(t, offers[0].Place)
	f.enginesReturn(0, requester)
	out := requester.r.Reduce(f.now, SlotOfferReceived{owner, offers[0]})
	if d, ok := findEffect[Dispatch](out); ok {
		require.NotEqual(t, offers[0].Place.Backend, requester.r.backends[d.Backend.ID].hash)
	}
	require.True(t, releasesSlot(out, offers[0].Place.Backend))
}

// A registration states how long a backend server stays cold. A later one can state that it is warm.
func TestRegistrationsStateWhichServersAreCold(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(0, Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 2,
		Services: []routing.Service{{Name: "m", Model: true, ColdFor: testColdFor, ColdRate: testColdRate}}}}})
	ch := changeOf("a", 60, false)
	ch.Cold = 2 * time.Second
	register(r, time.Second, ch)
	require.True(t, r.backends["a"].cold(r.now))
	require.Equal(t, "cold", r.View().Backends[0].State)
	r.Reduce(2*time.Second, Tick{})
	require.Equal(t, time.Second, r.Snapshot(Since{}).Backends[0].Cold, "the remaining time is sent to other hosts")
	r.Reduce(3500*time.Millisecond, Tick{})
	require.False(t, r.backends["a"].cold(r.now))
	ch.Revision, ch.Cold = rev(61), time.Minute
	register(r, 4*time.Second, ch)
	require.True(t, r.backends["a"].cold(r.now))
	register(r, 5*time.Second, changeOf("a", 62, false))
	require.False(t, r.backends["a"].cold(r.now))
}

// Bounds that allow one to less than two requests per second, or none beyond the rate, hold too.
func TestColdServersWithTightBounds(t *testing.T) {
	t.Parallel()
	for _, b := range []struct{ rate, over, slack float64 }{{1, 1.5, 0}, {0.5, 1, 1}, {20, 1, 0}, {3, 0, 0}, {0.2, 1, 0}} {
		r := newStandalone(t, "a")
		r.opt.Bounds.ColdOverage, r.opt.Bounds.ColdSlack = b.over, b.slack
		r.Reduce(0, Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 2,
			Services: []routing.Service{{Name: "m", Model: true, ColdFor: testColdFor, ColdRate: b.rate}}}}})
		ch := changeOf("a", 60, false)
		ch.Cold = time.Minute
		register(r, 5*time.Second, ch)
		var sent []time.Duration
		id := uint64(0)
		for now := 5 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
			r.Reduce(now, Tick{})
			id++
			if _, ok := findEffect[Dispatch](submitted(r, id, now)); ok {
				sent = append(sent, now)
				r.Reduce(now, CallerLeft{ID: id})
			}
		}
		allowed := b.rate*max(1, b.over) + b.slack
		for first, last := 0, 0; last < len(sent); last++ {
			for sent[last]-sent[first] > time.Second {
				first++
			}
			require.LessOrEqual(t, float64(last-first+1), allowed, "%+v", b)
		}
	}
}

// Servers of a plain service may register a cold period, but without a rate limit they are not treated as cold.
func TestServersWithoutABoundAreNotCold(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	ch := changeOf("a", 60, false)
	ch.Cold = time.Minute
	register(r, time.Second, ch)
	require.False(t, r.backends["a"].cold(r.now))
}
