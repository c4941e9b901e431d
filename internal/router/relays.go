package router

import "time"

const (
	// relayBackoff is how long a host that failed as a relay, or was too busy, is not used as one.
	relayBackoff = 500 * time.Millisecond
	// minZoneRelayShare is the share of a zone's hosts from which on relays of other zones are not used: fewer would each
	// carry the requests of many hosts on one link.
	minZoneRelayShare = 0.25
)

// RelayPermission is the reply to a host that wants this one to relay a connection to a backend server.
type RelayPermission int

// The permissions.
const (
	RelayAllowed RelayPermission = iota
	// RelayUnknownHost: the connection is not from a host of the fleet.
	RelayUnknownHost
	// RelayUnknownBackend: no backend server is registered at the address.
	RelayUnknownBackend
	// RelayUnavailable: this host shuts down, or cannot reach the service's backend servers itself.
	RelayUnavailable
)

// RelayPermission reports whether another host may use this one as a relay to a backend server's address.
func (r *Router) RelayPermission(host, addr string) RelayPermission {
	if r.members.byHost[host] == nil {
		return RelayUnknownHost
	}
	b := r.registeredAt(addr)
	switch {
	case b == nil:
		return RelayUnknownBackend
	case r.drain != nil || r.mayBeCutOff(b.Service):
		return RelayUnavailable
	default:
		return RelayAllowed
	}
}

// registeredAt returns the backend server that is registered at an address, or nil.
func (r *Router) registeredAt(addr string) *backend {
	for _, b := range r.allBackends() {
		if b.Addr == addr && !b.removed {
			return b
		}
	}
	return nil
}

// relayTo returns the host through which a backend server is called, or "" if it is called directly. By rendezvous
// hashing, calls of one backend server go through one relay, whose idle connections they share, and hosts that are cut
// off together choose different ones.
func (r *Router) relayTo(b *backend) string {
	if !r.cutOff(b.Service) {
		return ""
	}
	role := "relays " + r.opt.Host + " " + b.ID
	best := ""
	for _, host := range r.usableRelays(b.Service) {
		if best == "" || roleScore(host, role) < roleScore(best, role) {
			best = host
		}
	}
	if best != "" {
		r.announceToOwner(best) // it relays only for hosts that it knows
	}
	return best
}

// usableRelays returns the hosts that may relay calls of a service: those of this zone if they are enough.
func (r *Router) usableRelays(service string) []string {
	var all, near []string
	for _, host := range r.relayCandidates(service) {
		if r.now < r.relayBackoff[host] {
			continue
		}
		all = append(all, host)
		if r.members.zoneOf[host] == r.opt.Zone {
			near = append(near, host)
		}
	}
	if float64(len(near)) >= minZoneRelayShare*float64(1+len(r.zonePeers())) {
		return near
	}
	return all
}

// ownPathLost reports whether a request went over this host's own path to its backend server, and that was lost since.
func (r *Router) ownPathLost(q *request) bool {
	return q.via == "" && r.pathLostSince(q.backend, q.sentAt)
}

// relayFailed avoids a relay for a while.
func (r *Router) relayFailed(host string) {
	if r.now >= r.relayBackoff[host] {
		r.emit(Note{What: "relay does not serve", Subject: host})
	}
	r.relayBackoff[host] = r.now + relayBackoff
}
