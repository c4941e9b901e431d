package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// pullRoundTrip is how long a pull takes, and pullHangs how long a host waits for one that is not answered.
	pullRoundTrip = 5 * time.Millisecond
	pullHangs     = time.Second
	// storeStaggering is the time between two hosts' reading of a change.
	storeStaggering = time.Millisecond
)

// spread is a fleet in which some ways of learning of a backend server's draining fail.
type spread struct {
	*zone
	// blind hosts do not read the change, as their watches hang. mute hosts do not answer pulls.
	blind, mute map[string]bool
	pulls       []spreadPull
}

type spreadPull struct {
	at       time.Duration
	to, from string
	since    Since
}

func newSpread(t *testing.T, zones, hosts int, seed uint64) *spread {
	return newSpreadOf(t, zones, hosts, 3, seed)
}

func newSpreadOf(t *testing.T, zones, hosts, engines int, seed uint64) *spread {
	s := &spread{zone: newZones(t, zones, hosts, engines), blind: map[string]bool{}, mute: map[string]bool{}}
	s.rng = rand.New(rand.NewPCG(seed, 3))
	s.onPull = func(to string, p Pull) {
		if !s.mute[p.Host] {
			s.pulls = append(s.pulls, spreadPull{s.now + pullRoundTrip, to, p.Host, p.Since})
		}
	}
	s.onStep = s.answerPulls
	return s
}

func (s *spread) answerPulls() {
	due := s.pulls
	s.pulls = nil
	for _, p := range due {
		if p.at > s.now {
			s.pulls = append(s.pulls, p)
			continue
		}
		update := s.byIP[p.from].r.Snapshot(p.since)
		update.From = p.from
		s.post(s.byIP[p.to], update)
	}
}

// drain lets the store accept that a server drains, and returns how long it takes until no host uses it any more, at most limit.
func (s *spread) drain(id string, limit time.Duration) time.Duration {
	began := s.now
	s.readChanges(routing.Changes{Backends: []routing.BackendChange{drainingAt(id, 60)}}, rev(60))
	for s.now-began < limit && s.anyUses(id) {
		s.run(zoneStep, 0)
	}
	return s.now - began
}

// readChanges lets all hosts that are not blind read changes from the store.
func (s *spread) readChanges(changes routing.Changes, asOf routing.Revision) {
	update := Update{FromStore: true, After: rev(50), AsOf: asOf, Revision: asOf, Changes: changes}
	for _, h := range s.hosts {
		if !s.blind[h.ip] {
			s.run(storeStaggering, 0)
			s.post(h, update)
		}
	}
}

func (s *spread) anyUses(id string) bool {
	for _, h := range s.hosts {
		if usable(h.r, id) {
			return true
		}
	}
	return false
}

// Guards against requests that reach a backend server long after it drains, from a host whose own watch of the store hangs and
// whose pulls go to a peer that does not answer them. A tenth of the datagrams are lost.
func TestDrainingSpreadsPastAWatchAndAPeerThatHang(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for mute := range 7 {
		for seed := range uint64(8) {
			s := newSpread(t, 4, 2, seed)
			s.drops = func(string, string, *gossippb.Packet) bool { return s.rng.IntN(10) == 0 }
			s.run(time.Duration(13*seed)*time.Millisecond, 0)
			s.blind[s.hosts[7].ip], s.mute[s.hosts[mute].ip] = true, true
			worst = max(worst, s.drain("e001", 2*drainBound))
		}
	}
	require.Less(t, worst, drainBound)
}

// The same with lost pushes and without other losses, so that heartbeats come at even intervals. Guards against a host that asks the same peer
// again and again, as the interval of its pulls is a multiple of that of the heartbeats.
func TestPullsTakeTurns(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for mute := range 7 {
		for phase := range 10 {
			s := newSpread(t, 4, 2, 1)
			s.drops = func(_, _ string, p *gossippb.Packet) bool { return isPush(p) }
			s.run(time.Duration(10*phase)*time.Millisecond, 0)
			s.blind[s.hosts[7].ip], s.mute[s.hosts[mute].ip] = true, true
			worst = max(worst, s.drain("e001", 3*drainBound))
		}
	}
	require.Less(t, worst, drainBound)
}

// Guards against a fleet in which the news stays where it was read: one host's watch delivers it, those of all others hang.
func TestDrainingSpreadsFromOneHost(t *testing.T) {
	t.Parallel()
	for only := range 8 {
		s := newSpread(t, 4, 2, 1)
		for i, h := range s.hosts {
			s.blind[h.ip] = i != only
		}
		require.Less(t, s.drain("e001", 2*drainBound), drainBound)
	}
}

// isPush reports whether a datagram pushes changes.
func isPush(p *gossippb.Packet) bool { return p.Beat != nil && len(p.Beat.Changes) > 0 }

// Guards against ways of learning of a draining that depend on each other: with any two of them failing, the others suffice.
func TestDrainingSpreadsWhileAnyTwoWaysFail(t *testing.T) {
	t.Parallel()
	const blindHost = 7
	for name, fail := range map[string]func(s *spread, other *zoneHost){
		"watch and all pulls": func(s *spread, _ *zoneHost) {
			s.onPull = func(string, Pull) {}
		},
		"watch and all pushes, and a peer": func(s *spread, other *zoneHost) {
			s.mute[other.ip] = true
			s.drops = func(_, _ string, p *gossippb.Packet) bool { return isPush(p) }
		},
		"watch and all heartbeats but pushes": func(s *spread, _ *zoneHost) {
			s.drops = func(_, to string, p *gossippb.Packet) bool {
				return to == s.hosts[blindHost].ip && p.Beat != nil && !isPush(p)
			}
		},
		"watches of all hosts but one, and that one's pushes": func(s *spread, other *zoneHost) {
			for _, h := range s.hosts {
				s.blind[h.ip] = h != other
			}
			s.drops = func(_, _ string, p *gossippb.Packet) bool { return isPush(p) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for other := range blindHost {
				for phase := range 4 {
					s := newSpread(t, 4, 2, 1)
					s.run(time.Duration(25*phase)*time.Millisecond, 0)
					s.blind[s.hosts[blindHost].ip] = true
					fail(s, s.hosts[other])
					require.Less(t, s.drain("e001", 2*drainBound), drainBound)
				}
			}
		})
	}
}

// Many servers drain at once, and one host's watch and pulls hang. Guards against pushes that always carry the same few of them.
func TestManyDrainingServersSpreadByPushes(t *testing.T) {
	t.Parallel()
	for _, draining := range []int{12, 30, 100} {
		s := newSpreadOf(t, 4, 2, 30, 1)
		s.onPull = func(string, Pull) {}
		s.blind[s.hosts[7].ip] = true
		var changes routing.Changes
		for i := range draining {
			changes.Backends = append(changes.Backends, drainingAt(fmt.Sprintf("e%03d", i), uint64(60+i)))
		}
		began := s.now
		s.readChanges(changes, rev(uint64(60+draining)))
		stillUsed := func() bool {
			return slices.ContainsFunc(changes.Backends, func(ch routing.BackendChange) bool { return s.anyUses(ch.ID) })
		}
		for s.now-began < 2*drainBound && stillUsed() {
			s.run(zoneStep, 0)
		}
		require.Less(t, s.now-began, lastDecision, draining)
	}
}

// The same with one host that knows. Guards against a part of them that is never pushed.
func TestOneHostPushesAllDrainingServers(t *testing.T) {
	t.Parallel()
	s := newSpreadOf(t, 4, 2, 30, 1)
	s.onPull = func(string, Pull) {}
	var changes routing.Changes
	for i := range 30 {
		changes.Backends = append(changes.Backends, drainingAt(fmt.Sprintf("e%03d", i), uint64(60+i)))
	}
	for i, h := range s.hosts {
		s.blind[h.ip] = i > 0
	}
	s.drops = func(from, _ string, p *gossippb.Packet) bool { return isPush(p) && from != s.hosts[0].ip }
	s.readChanges(changes, rev(90))
	s.run(lastDecision, 0)
	for _, ch := range changes.Backends {
		require.False(t, s.anyUses(ch.ID), ch.ID)
	}
}

// Guards against pushes that use up small hosts' links: in fleets of 8 and 16 hosts, twelve servers drain within a second, and one
// host neither reads that nor gets a datagram. What a host sends in that second stays below the operators' 18 KB.
func TestPushesOfDrainingServersAreSmall(t *testing.T) {
	t.Parallel()
	for _, perZone := range []int{2, 4} {
		s := newSpread(t, 4, perZone, 1)
		deaf := s.hosts[len(s.hosts)-1]
		s.drops = func(_, to string, _ *gossippb.Packet) bool { return to == deaf.ip }
		cost := func(drain bool) float64 {
			s.bytes = 0
			for i := range 12 {
				if drain {
					for _, h := range s.hosts[:len(s.hosts)-1] {
						s.post(h, Update{FromStore: true, After: rev(uint64(59 + i)), AsOf: rev(uint64(60 + i)), Revision: rev(uint64(60 + i)),
							Changes: routing.Changes{Backends: []routing.BackendChange{drainingAt(fmt.Sprintf("e%03d", i), uint64(60+i))}}})
					}
				}
				s.run(time.Second/12, 0)
			}
			return float64(s.bytes) / float64(len(s.hosts))
		}
		idle, busy := cost(false), cost(true)
		t.Logf("%d hosts: %.1f KB a second and host while nothing changes, %.1f KB with 12 servers that drain", len(s.hosts), idle/1000, busy/1000)
		require.Less(t, busy, 18_000.0)
	}
}

// The same in a large fleet, in which three hosts of each zone read the store: the watches of two of them hang in each zone, pushes to some
// hosts are lost, some hosts do not answer pulls, and a tenth of all other datagrams is lost.
func TestDrainingSpreadsInALargeFleet(t *testing.T) {
	t.Parallel()
	const zones, hosts, outOfReach = 6, 100, 10
	s := newSpread(t, zones, hosts, 1)
	sighted := map[string]bool{}
	for i, h := range s.hosts {
		s.blind[h.ip] = !h.r.updates.reading || sighted[h.zone]
		if !s.blind[h.ip] {
			sighted[h.zone] = true
		}
		s.mute[h.ip] = i%4 == 0
	}
	require.Len(t, sighted, zones)
	s.drops = func(_, to string, p *gossippb.Packet) bool {
		unlucky := slices.IndexFunc(s.hosts, func(h *zoneHost) bool { return h.ip == to })%hosts < outOfReach
		if unlucky && isPush(p) {
			return true
		}
		return s.rng.IntN(10) == 0
	}
	took := s.drain("e001", 2*largeDrainBound)
	t.Log(took)
	require.Less(t, took, largeDrainBound)
}

// largeDrainBound is drainBound for large fleets.
const largeDrainBound = 5 * time.Second
