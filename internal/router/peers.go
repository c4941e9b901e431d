package router

import (
	"slices"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// introduced bounds the hosts of its own zone that a host hears of from another zone: enough that each
	// hears of a few that live, who tell it of the rest. introducedFar is the same for further zones.
	introduced    = 16
	introducedFar = 2
)

// introductions are some hosts of another zone, for those who have just started there and have no seed among
// them, and a few of each further zone, so that these two speak to each other.
func (r *Router) introductions(to string) []*gossippb.Peer {
	byZone := map[string][]string{}
	for h, z := range r.members.zoneOf {
		byZone[z] = append(byZone[z], h)
	}
	out := r.someOf(to, byZone[to], introduced)
	for _, zone := range r.otherZones() {
		if zone != to {
			out = append(out, r.someOf(zone, byZone[zone], introducedFar)...)
		}
	}
	return out
}

// someOf names at most so many hosts of a zone, drawn at random.
func (r *Router) someOf(zone string, hosts []string, most int) []*gossippb.Peer {
	slices.Sort(hosts)
	var out []*gossippb.Peer
	for _, h := range r.drawn(hosts, most) {
		out = append(out, &gossippb.Peer{Host: h, Zone: zone})
	}
	return out
}

// drawn are at most so many of a list, from a random one on.
func (r *Router) drawn(list []string, most int) []string {
	var out []string
	at := r.rng.IntN(max(1, len(list)))
	for i := range min(len(list), most) {
		out = append(out, list[(at+i)%len(list)])
	}
	return out
}

// namedPeers are the hosts to name: in a large fleet its zone's while some of them are new, later a few at
// random. A seed that named all that greet it would have its link full for seconds after a start of all.
func (r *Router) namedPeers() []string {
	all := r.members.order
	switch {
	case !r.largeFleet() || len(all) <= maxNamedPeers:
		return all
	case r.zones.peersAt == 0:
		return r.zonePeers()
	}
	return r.drawn(all, maxNamedPeers)
}

// knownPeers names the hosts of this zone that are heard, and some of the others.
func (r *Router) knownPeers() []*gossippb.Peer {
	var out []*gossippb.Peer
	for _, h := range r.namedPeers() {
		out = append(out, &gossippb.Peer{Host: h, Zone: r.members.byHost[h].zone})
	}
	if !r.largeFleet() {
		return out
	}
	for _, zone := range r.otherZones() {
		for _, h := range r.listeners(zone) {
			if r.members.byHost[h] == nil {
				out = append(out, &gossippb.Peer{Host: h, Zone: zone})
			}
		}
	}
	return out
}

// listeners are hosts of another zone to send sums to: those that speak from there, as they live,
// and some others while too few speak.
func (r *Router) listeners(zone string) []string {
	var out, rest []string
	for h, z := range r.members.zoneOf {
		if z != zone {
			continue
		}
		if m := r.members.byHost[h]; m != nil && !m.unreachable {
			out = append(out, h)
		} else {
			rest = append(rest, h)
		}
	}
	slices.Sort(out)
	slices.Sort(rest)
	if len(out) > zoneReporters {
		out = out[:zoneReporters]
	}
	for len(out) < zoneReporters && len(rest) > 0 {
		i := r.rng.IntN(len(rest))
		out = append(out, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return out
}
