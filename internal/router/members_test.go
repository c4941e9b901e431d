package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// growingFleet is a fleet in which hosts start and leave.
type growingFleet struct {
	*zone
	starts uint64
}

func newGrowingFleet(t *testing.T, zones, hosts int) *growingFleet {
	return &growingFleet{zone: newZones(t, zones, hosts, 1), starts: 100}
}

// start starts hosts with these numbers in a zone. A number that has been used before means a new process at that address.
func (f *growingFleet) start(zone, from, to int) {
	listing := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: f.hosts[0].r.Table().Config}}
	for _, b := range f.hosts[0].r.allBackends() {
		listing.Backends = append(listing.Backends, routing.BackendChange{Backend: b.Backend, Revision: rev(10)})
	}
	for i := from; i <= to; i++ {
		f.starts++
		ip := fmt.Sprintf("10.0.%d.%d", zone, i)
		h := f.byIP[ip]
		if h == nil {
			h = &zoneHost{ip: ip, zone: fmt.Sprintf("z%d", zone)}
			f.hosts = append(f.hosts, h)
			f.byIP[ip] = h
		}
		h.startedAt, h.dead = f.now, false
		h.r = New(Options{Host: ip, Zone: h.zone, Incarnation: f.starts, Seed: f.starts, Seeds: []string{"10.0.0.1", "10.0.0.2"}})
		f.post(h, listing)
	}
}

// leave drains hosts of a zone and ends them.
func (f *growingFleet) leave(zone, from, to int) {
	for i := from; i <= to; i++ {
		h := f.byIP[fmt.Sprintf("10.0.%d.%d", zone, i)]
		f.post(h, Drain{Until: f.now, Grace: time.Second})
		h.dead = true
	}
}

// requireComplete checks that all hosts find each other within the time that TestTwoZonesOfAnySizeFindEachOther allows, and agree
// on how to talk to each other.
func (f *growingFleet) requireComplete(t *testing.T) {
	f.run(10*time.Second, 0)
	alive := 0
	for _, h := range f.hosts {
		if !h.dead {
			alive++
		}
	}
	for _, h := range f.hosts {
		if h.dead {
			continue
		}
		assert.Equal(t, alive, h.r.hostCount(), "hosts known to %s", h.ip)
		assert.Equal(t, f.hosts[0].r.largeFleet(), h.r.largeFleet(), "%s takes the fleet for a large one", h.ip)
		for _, zone := range h.r.otherZones() {
			assert.False(t, h.r.zoneUnreachable(zone), "%s takes %s for cut off", h.ip, zone)
		}
	}
}

// Guards against hosts that never learn how large their fleet has become: each counts those that it met before the others ceased to
// send heartbeats to its zone, and takes the other zones for cut off.
func TestHostsOfAGrowingFleetFindEachOther(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first int // hosts of the first zone
		grow  func(t *testing.T, f *growingFleet)
	}{
		"a zone starts beside a larger one":        {12, func(_ *testing.T, f *growingFleet) { f.start(1, 1, 5) }},
		"a zone starts again beside a smaller one": {6, restartZone(12)},
		"a zone starts again beside a larger one":  {12, restartZone(6)},
		"from one to three zones": {6, func(_ *testing.T, f *growingFleet) {
			f.start(1, 1, 6)
			f.start(2, 1, 6)
		}},
		"one by one, zone by zone": {6, func(_ *testing.T, f *growingFleet) {
			for i := range 18 {
				f.start(1+i/9, 1+i%9, 1+i%9)
				f.run(300*time.Millisecond, 0)
			}
		}},
		"one by one, zones in turn": {6, func(_ *testing.T, f *growingFleet) {
			for i := range 18 {
				f.start(1+i%2, 1+i/2, 1+i/2)
				f.run(300*time.Millisecond, 0)
			}
		}},
		"from the largest full mesh by one host": {6, func(t *testing.T, f *growingFleet) {
			f.start(1, 1, 10)
			f.requireComplete(t)
			f.start(1, 11, 11)
		}},
		"small again, and large again": {6, func(t *testing.T, f *growingFleet) {
			f.start(1, 1, 14)
			f.requireComplete(t)
			f.leave(1, 4, 14)
			f.requireComplete(t)
			f.start(1, 1, 1)
			f.requireComplete(t)
			f.start(1, 4, 14)
		}},
		"a zone is cut off meanwhile": {6, func(t *testing.T, f *growingFleet) {
			f.start(1, 1, 4)
			f.start(2, 1, 4)
			f.requireComplete(t)
			f.drops = func(from, to string, _ *gossippb.Packet) bool {
				return f.byIP[to] == nil || (f.byIP[from].zone == "z2") != (f.byIP[to].zone == "z2")
			}
			f.run(3*time.Second, 0)
			f.start(1, 5, 12)
			f.run(5*time.Second, 0)
			require.True(t, f.hosts[0].r.largeFleet())
			require.False(t, f.byIP["10.0.2.1"].r.largeFleet())
			f.drops = nil
		}},
		"datagrams are lost": {12, func(_ *testing.T, f *growingFleet) {
			f.drops = func(string, string, *gossippb.Packet) bool { return f.rng.IntN(10) == 0 }
			f.start(1, 1, 5)
			f.run(3*time.Second, 0)
			f.drops = nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newGrowingFleet(t, 1, c.first)
			c.grow(t, f)
			f.requireComplete(t)
		})
	}
}

// restartZone starts a zone of so many hosts, and later replaces all their processes at once.
func restartZone(hosts int) func(*testing.T, *growingFleet) {
	return func(_ *testing.T, f *growingFleet) {
		f.start(1, 1, hosts)
		f.run(3*time.Second, 0)
		f.start(1, 1, hosts)
	}
}
