package router

import (
	"slices"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// maxZonePeers limits the hosts of its own zone that a host learns of from another zone: enough to include a few
	// that are alive and name the rest. maxFarZonePeers is the same for each further zone.
	maxZonePeers    = 16
	maxFarZonePeers = 2
)

// peersFor returns some hosts of the zone to, for hosts that have just started there and have no seed among
// them, and a few hosts of each further zone, so that those two zones contact each other.
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

// samplePeers returns at most so many hosts of a zone, chosen at random.
func (r *Router) samplePeers(zone string, hosts []string, limit int) []*gossippb.Peer {
	slices.Sort(hosts)
	var out []*gossippb.Peer
	for _, h := range r.sample(hosts, limit) {
		out = append(out, &gossippb.Peer{Host: h, Zone: zone})
	}
	return out
}

// sample returns at most so many consecutive elements of a list, from a random one on.
func (r *Router) sample(list []string, limit int) []string {
	var out []string
	at := r.rng.IntN(max(1, len(list)))
	for i := range min(len(list), limit) {
		out = append(out, list[(at+i)%len(list)])
	}
	return out
}

// peersToName returns the hosts to name in a heartbeat: in a large fleet those of its zone while some of them are new, later
// a few at random. If a seed named all hosts that contact it, its link would be saturated for seconds when all start at once.
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

// knownPeers returns the peers to name in a heartbeat, including some of other zones in a large fleet.
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

// summaryTargets returns the hosts of another zone that summaries are sent to: its reporters, as they are known to be alive,
// and random others if there are too few.
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
