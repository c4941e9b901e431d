package router

import (
	"math/rand/v2"
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
	s := &spread{zone: newZones(t, zones, hosts, 3), blind: map[string]bool{}, mute: map[string]bool{}}
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
	update := Update{FromStore: true, After: rev(50), AsOf: rev(60), Revision: rev(60), Changes: routing.Changes{Backends: []routing.BackendChange{drainingAt(id, 60)}}}
	for _, h := range s.hosts {
		if !s.blind[h.ip] {
			s.run(storeStaggering, 0)
			s.post(h, update)
		}
	}
	for s.now-began < limit && s.anyUses(id) {
		s.run(zoneStep, 0)
	}
	return s.now - began
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

// The same without lost datagrams, so that heartbeats come at even intervals. Guards against a host that asks the same peer
// again and again, as the interval of its pulls is a multiple of that of the heartbeats.
func TestPullsTakeTurns(t *testing.T) {
	var worst time.Duration
	for mute := range 7 {
		for phase := range 10 {
			s := newSpread(t, 4, 2, 1)
			s.run(time.Duration(10*phase)*time.Millisecond, 0)
			s.blind[s.hosts[7].ip], s.mute[s.hosts[mute].ip] = true, true
			worst = max(worst, s.drain("e001", 3*drainBound))
		}
	}
	require.Less(t, worst, drainBound)
}

// Guards against a fleet in which the news stays where it was read: one host's watch delivers it, those of all others hang.
func TestDrainingSpreadsFromOneHost(t *testing.T) {
	for only := range 8 {
		s := newSpread(t, 4, 2, 1)
		for i, h := range s.hosts {
			s.blind[h.ip] = i != only
		}
		require.Less(t, s.drain("e001", 2*drainBound), drainBound)
	}
}
