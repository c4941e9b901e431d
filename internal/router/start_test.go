package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// firstReads returns when the hosts of a fleet that starts at once first read the store, by their own clocks.
func firstReads(hosts int, seeds []string) []time.Duration {
	var out []time.Duration
	for i := 1; i <= hosts; i++ {
		r := New(Options{Host: fmt.Sprintf("10.0.0.%d", i), Zone: "z0", Incarnation: 1, Seed: uint64(i), Seeds: seeds})
		for now := time.Duration(0); ; now += time.Millisecond {
			if startsReading(r.Reduce(now, Tick{})) {
				out = append(out, now)
				break
			}
		}
	}
	return out
}

func startsReading(list []Effect) bool {
	for _, e := range list {
		if rs, ok := e.(ReadStore); ok && rs.On {
			return true
		}
	}
	return false
}

// All hosts lose power together and start again while callers wait. When all of them waited a quarter of a second for
// peers with a configuration, the fleet refused some 150 requests
// meanwhile. The seeds, which all hosts contact, read at once; if they are down, a few others do.
func TestSomeHostReadsTheStoreAtOnce(t *testing.T) {
	t.Parallel()
	at := firstReads(9, []string{"10.0.0.2", "10.0.0.5"})
	require.Zero(t, at[1])
	require.Zero(t, at[4])
	at = firstReads(300, []string{"10.0.9.1"})
	soon := 0
	for _, when := range at {
		require.LessOrEqual(t, when, maxStartDelay+time.Millisecond)
		if when < maxStartDelay/5 {
			soon++
		}
	}
	require.Positive(t, soon)
	require.Less(t, soon, 300/10, "hundreds of hosts must not all list the store before they know each other")
}

// heartbeatTargetsOf returns the hosts that heartbeats are sent to.
func heartbeatTargetsOf(list []Effect) []string {
	var out []string
	for _, b := range effectsOf[SendHeartbeat](list) {
		out = append(out, b.To...)
	}
	return out
}

// A host starts and contacts a peer that has the configuration. It pulls only after a heartbeat has shown that there
// is something newer. The peer must send that at once: at its regular interval, callers
// would be refused up to a tenth of a second longer.
func TestStartingHostGetsAHeartbeatAtOnce(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	b.now += minChangeGap + time.Millisecond
	b.post(Tick{})
	b.now += minChangeGap
	require.Contains(t, heartbeatTargetsOf(b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.3", Zone: "z0", Incarnation: 1, Seq: 1}})), "10.0.0.3")
}

// The first of the starting hosts has read the configuration. The others wait for it and must learn so at
// once.
func TestFirstConfigurationIsReportedAtOnce(t *testing.T) {
	t.Parallel()
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1, Seeds: []string{"10.0.0.1"}})
	r.Reduce(0, HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	r.Reduce(0, Tick{})
	now := minChangeGap + 5*time.Millisecond
	n := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1}}}
	require.Contains(t, heartbeatTargetsOf(r.Reduce(now, n)), "10.0.0.2")
}

// All hosts of a large fleet start together while a workspace sends many times its quota. Hosts that
// accepted requests before they knew how many others there are admitted too large a share each, and the fleet more
// than the operators' bound. So a host waits until it knows the others.
func TestStartInALargeFleetWaitsForTheOthers(t *testing.T) {
	t.Parallel()
	inForce := func(list []Effect) bool { return len(effectsOf[ConfigActivated](list)) > 0 }
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	for i := 0; i <= maxFullMesh; i++ {
		r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
	}
	n := Update{Changes: routing.Changes{Config: &routing.Config{Version: 1}}}
	require.False(t, inForce(r.Reduce(20*time.Millisecond, n)))
	require.False(t, r.Ready())
	require.False(t, inForce(r.Reduce(maxStartDelay-time.Millisecond, Tick{})))
	require.True(t, inForce(r.Reduce(maxStartDelay, Tick{})))
	require.False(t, inForce(r.Reduce(maxStartDelay+time.Millisecond, Tick{})), "once")

	small := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	require.True(t, inForce(small.Reduce(20*time.Millisecond, n)))
}

// Zones without a summary yet count as large as the host's own while it starts, as quotas are divided by the
// number of hosts. Later, a zone without a summary does not count.
func TestZonesWithoutASummaryCountWhileStarting(t *testing.T) {
	t.Parallel()
	r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
	for i := 2; i <= 10; i++ {
		r.Reduce(time.Millisecond, HeartbeatReceived{&gossippb.Beat{Host: fmt.Sprintf("10.0.0.%d", i), Zone: "z0", Incarnation: 1, Seq: 1}})
	}
	for i := 0; i <= maxFullMesh; i++ {
		r.learnHost(fmt.Sprintf("10.0.%d.1", 1+i), fmt.Sprintf("z%d", 1+i%3))
	}
	require.Equal(t, 4*10, r.hostCount())
	r.Reduce(2*time.Millisecond, HeartbeatReceived{&gossippb.Beat{Host: "10.0.1.1", Zone: "z1", Incarnation: 1, Seq: 1,
		Zones: []*gossippb.ZoneSum{{Zone: "z1", Speaker: "10.0.1.1", Incarnation: 1, Seq: 1, Hosts: 30}}}})
	require.Equal(t, 10+30+2*10, r.hostCount())
	r.now = zoneDiscoveryDuration
	require.Equal(t, 10+30, r.hostCount())
}

// startingFleet simulates a fleet of some zones whose hosts all start together and read a store that takes listTime to list.
type startingFleet struct {
	*zone
	update   Update
	listTime time.Duration
	// refused are the hosts that the store refuses.
	refused map[string]bool
	reading map[string]bool
	// listings counts the listings that were begun.
	listings int
	due      []startingEvent
}

type startingEvent struct {
	at   time.Duration
	host *zoneHost
	ev   func() Event
}

func startFleet(t testing.TB, zones, hosts int) *startingFleet {
	f := &startingFleet{zone: &zone{t: t, rng: rand.New(rand.NewPCG(1, 2)), byIP: map[string]*zoneHost{}, streams: map[string]int{}, runs: map[uint64]*zoneRun{}},
		listTime: 300 * time.Millisecond, reading: map[string]bool{}, refused: map[string]bool{},
		update: Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1}}}}
	for i := range zones * hosts {
		h := &zoneHost{ip: fmt.Sprintf("10.0.%d.%d", i/hosts, i%hosts+1), zone: fmt.Sprintf("z%d", i/hosts), startedAt: time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))}
		h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: uint64(i + 1), Seed: uint64(i), Seeds: []string{"10.0.0.1", "10.0.1.2"}})
		f.hosts = append(f.hosts, h)
		f.byIP[h.ip] = h
	}
	f.onReadStore = func(h *zoneHost, e ReadStore) {
		if e.On == f.reading[h.ip] {
			return
		}
		f.reading[h.ip] = e.On
		if e.On {
			f.list(h)
		}
	}
	f.onPull = func(from string, p Pull) {
		f.due = append(f.due, startingEvent{f.now + 50*time.Millisecond, f.byIP[from], func() Event {
			n := f.byIP[p.Host].r.Snapshot(p.Since)
			n.FromStore, n.Full, n.From = false, false, p.Host
			return n
		}})
	}
	return f
}

func (f *startingFleet) list(h *zoneHost) {
	f.listings++
	f.due = append(f.due, startingEvent{f.now + f.listTime, h, func() Event {
		if f.refused[h.ip] {
			return StoreStatus{}
		}
		return f.update
	}})
}

// advance advances time. The store answers each reader every second, and refused readers retry as often.
func (f *startingFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.run(zoneStep, 0)
		later := f.due[:0:0]
		for _, e := range f.due {
			if e.at > f.now {
				later = append(later, e)
				continue
			}
			ev := e.ev()
			_, pulled := ev.(Update)
			if pulled && ev.(Update).FromStore && !f.reading[e.host.ip] {
				continue // reading was stopped meanwhile
			}
			f.post(e.host, ev)
			if !f.reading[e.host.ip] || (pulled && !ev.(Update).FromStore) {
				continue
			}
			again := startingEvent{f.now + time.Second, e.host, e.ev}
			later = append(later, again)
		}
		f.due = append(later, f.due[len(f.due):]...)
	}
}

func (f *startingFleet) configured() int {
	n := 0
	for _, h := range f.hosts {
		if h.r.table != nil {
			n++
		}
	}
	return n
}

// Guards against all hosts of a zone listing the store when it refuses the zone's readers: the number of those that do must not
// grow with the zone.
func TestRefusedReadersAreReplacedByFew(t *testing.T) {
	t.Parallel()
	const zones = 3
	listings := func(hosts int) int {
		f := startFleet(t, zones, hosts)
		f.advance(6 * time.Second)
		require.Equal(t, zones*hosts, f.configured())
		for ip, on := range f.reading {
			f.refused[ip] = on
		}
		before := f.listings
		f.advance(4 * time.Second)
		for z := range zones {
			served := 0
			for _, h := range f.hosts[z*hosts : (z+1)*hosts] {
				if h.r.storeAnswers() {
					served++
				}
			}
			require.GreaterOrEqual(t, served, minReaders)
		}
		return f.listings - before
	}
	const most = zones * readersPerZone * (readerGrowth + 1) // the readers and their replacements
	require.LessOrEqual(t, listings(40), most)
	require.LessOrEqual(t, listings(80), most)
}
