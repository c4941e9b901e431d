package router

import (
	"slices"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// maxZonePeers bounds the hosts of its own zone that a host hears of from another zone: enough that each
	// hears of a few that live, who tell it of the rest. introducedFar is the same for further zones.
	maxZonePeers    = 16
	maxFarZonePeers = 2
)

// peersFor are some hosts of another zone, for those who have just started there and have no seed among
// them, and a few of each further zone, so that these two speak to each other.
func (r *Router) peersFor(to string) []*gossippb.Peer {
	byZone := map[string][]string{}
	for h, z := range r.members.zoneOf {
		byZone[z] = append(byZone[z], h)
	}
	out := r.samplePeers(to, byZone[to], maxZonePeers)
	for _, zone := range r.otherZones() {
		if zone != to {
			out = append(out, r.samplePeers(zone, byZone[zone], maxFarZonePeers)...)
		}
	}
	return out
}

// samplePeers names at most so many hosts of a zone, drawn at random.
func (r *Router) samplePeers(zone string, hosts []string, most int) []*gossippb.Peer {
	slices.Sort(hosts)
	var out []*gossippb.Peer
	for _, h := range r.sample(hosts, most) {
		out = append(out, &gossippb.Peer{Host: h, Zone: zone})
	}
	return out
}

// sample are at most so many of a list, from a random one on.
func (r *Router) sample(list []string, most int) []string {
	var out []string
	at := r.rng.IntN(max(1, len(list)))
	for i := range min(len(list), most) {
		out = append(out, list[(at+i)%len(list)])
	}
	return out
}

// peersToName are the hosts to name: in a large fleet its zone's while some of them are new, later a few at
// random. A seed that named all that greet it would have its link full for seconds after a start of all.
func (r *Router) peersToName() []string {
	all := r.members.order
	switch {
	case !r.largeFleet() || len(all) <= maxNamedPeers:
		return all
	case r.zones.peersAt == 0:
		return r.zonePeers()
	}
	return r.sample(all, maxNamedPeers)
}

// knownPeers names the hosts of this zone that are heard, and some of the others.
func (r *Router) knownPeers() []*gossippb.Peer {
	var out []*gossippb.Peer
	for _, h := range r.peersToName() {
		out = append(out, &gossippb.Peer{Host: h, Zone: r.members.byHost[h].zone})
	}
	if !r.largeFleet() {
		return out
	}
	for _, zone := range r.otherZones() {
		for _, h := range r.summaryTargets(zone) {
			if r.members.byHost[h] == nil {
				out = append(out, &gossippb.Peer{Host: h, Zone: zone})
			}
		}
	}
	return out
}

// summaryTargets are hosts of another zone to send sums to: those that speak from there, as they live,
// and some others while too few speak.
func (r *Router) summaryTargets(zone string) []string {
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
