package router

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// minHeartbeatInterval is the interval between heartbeats in a zone of up to twenty hosts while nothing changes.
	minHeartbeatInterval = 100 * time.Millisecond
	// heartbeatIntervalPerHost stretches the interval with the number of hosts in the zone, so that the datagrams a host sends and
	// receives per second stay constant. maxHeartbeatInterval bounds it.
	heartbeatIntervalPerHost = 5 * time.Millisecond
	maxHeartbeatInterval     = 300 * time.Millisecond
	// ownersIntervalPerHost and maxOwnersInterval are the same for fleets in which backend servers have owners, which learn of each
	// request at once. Heartbeats there only carry liveness, revisions and quota spending. At half the rate a
	// dead host's requests would appear to fill its zone's engines for twice as long.
	ownersIntervalPerHost = 15 * time.Millisecond
	maxOwnersInterval     = time.Second
	// quotaLowDuration is how long heartbeats are sent twice as often after a request of a workspace whose quota is
	// half exhausted: what others admit then matters soon.
	quotaLowDuration = 2 * time.Second
	// joinGapPerHost replaces changeGapPerHost in fleets in which backend servers have owners. Load changes cause no early
	// heartbeats there, only rarer events such as a joining host.
	joinGapPerHost = 4 * time.Millisecond
	// fullSpentHeartbeats is the number of heartbeats among which one carries all quota spending; the others carry what has
	// changed.
	fullSpentHeartbeats = 4
	// maxNamedPeers limits the hosts named in a heartbeat of a large fleet once no host is new.
	maxNamedPeers = 6
	// minChangeGap is how soon after a heartbeat a change of this host's load is sent, and
	// changeGapPerHost stretches it with the number of hosts in the zone. Under load all hosts choose among the few engines that
	// look free, and streams wait where several have chosen the same one by outdated counts.
	minChangeGap     = 20 * time.Millisecond
	changeGapPerHost = time.Millisecond
	// peerExchangeInterval is how often a heartbeat names known peers. peerExchangeIntervalPerHost stretches it with the number of
	// hosts in the zone, as all of them receive it. A joining host is named at once.
	peerExchangeInterval        = time.Second
	peerExchangeIntervalPerHost = 80 * time.Millisecond
)

// formatBase36 formats the number of a start or an incarnation for keys and hashes.
func formatBase36(n uint64) string { return strconv.FormatUint(n, 36) }

// sendHeartbeats sends a heartbeat to all hosts that this one exchanges heartbeats with.
func (r *Router) sendHeartbeats() {
	peers, period, perHost := time.Duration(len(r.zonePeers())), r.heartbeatInterval(), changeGapPerHost
	if r.largeFleet() {
		perHost = joinGapPerHost
	}
	r.heartbeatAt, r.quotaLowHeartbeatAt = r.now+period, r.now+period/2
	r.earlyHeartbeatAt = r.now + max(minChangeGap, perHost*peers)
	r.heartbeatPending = false
	to := r.heartbeatTargets()
	if len(to) == 0 {
		return
	}
	r.emitHeartbeat(to, func(b *gossippb.Beat) {
		b.Spent = r.ownSpent()
		b.ServiceDemands = r.demandsToSend()
		if all := r.fullSuspectList(); all != nil {
			b.Suspects = all
		}
		if !r.largeFleet() {
			b.Speeds = r.changedSpeeds()
		}
		if r.now >= r.zones.peersAt {
			b.Peers = r.knownPeers()
			r.zones.peersAt = r.now + max(peerExchangeInterval, peerExchangeIntervalPerHost*peers)
		}
	})
	if r.largeFleet() {
		r.sendCrossZoneHeartbeat(r.remoteOwnersWithLoad())
	}
}

// heartbeatInterval is the time between two heartbeats if nothing causes an early one.
func (r *Router) heartbeatInterval() time.Duration {
	peers := time.Duration(len(r.zonePeers()))
	if r.largeFleet() {
		return min(maxOwnersInterval, max(minHeartbeatInterval, ownersIntervalPerHost*peers))
	}
	return min(maxHeartbeatInterval, max(minHeartbeatInterval, heartbeatIntervalPerHost*peers))
}

// markLoadChanged causes an early heartbeat in a small fleet because this host's load has changed. In a large fleet the owners
// of backend servers receive a report of each request instead.
func (r *Router) markLoadChanged() { r.heartbeatPending = r.heartbeatPending || !r.largeFleet() }

// sendEarlyHeartbeat sends a pending heartbeat ahead of its regular time.
func (r *Router) sendEarlyHeartbeat() {
	if r.heartbeatPending && r.now >= r.earlyHeartbeatAt {
		r.sendHeartbeats()
	}
}

// emitHeartbeat sends a heartbeat to which addParts adds optional fields. Each heartbeat replaces the previous one, so it always
// carries the loads.
func (r *Router) emitHeartbeat(to []string, addParts func(*gossippb.Beat)) {
	if len(to) == 0 {
		return
	}
	r.seq++
	b := &gossippb.Beat{
		Host: r.opt.Host, Zone: r.opt.Zone, Incarnation: r.opt.Incarnation, Seq: r.seq, Leaving: r.drain != nil,
		ConfigVersion: r.version(), Revision: r.updates.revision.Number, Era: r.updates.revision.Era, Digest: r.digest(),
		ReadsStore: r.storeAnswers(), ListsStore: r.listingStore(), Loads: r.ownLoads(),
		Dead: r.ownUnreachable(), AgeMs: r.uptimeMs(), Suspects: r.newSuspects(),
		Leaves: r.ownLeaving(), Evacuations: r.evacuationsToSend(), RateLimits: r.ownRateLimits(), BrittleLimits: r.ownBrittleLimits(),
		CutOff: r.lostServices(), Reaches: r.reachedServices(),
	}
	if !r.largeFleet() {
		b.Failing = r.hashesOf(r.reportsFailing)
	}
	addParts(b)
	r.emit(SendHeartbeat{To: to, Heartbeat: b})
}

// heartbeatTargets returns the reachable hosts that this one exchanges heartbeats with, and those unreachable or
// unconfirmed ones that are due for another attempt.
func (r *Router) heartbeatTargets() []string {
	for _, h := range r.opt.Seeds {
		r.learnHost(h, "")
	}
	var to []string
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if r.exchangesHeartbeats(m.zone) && (!m.unreachable || r.contactDue(h)) {
			to = append(to, h)
		}
	}
	var unconfirmed []string
	for h := range r.members.contactAt {
		zone := r.members.zoneOf[h]
		if r.members.byHost[h] == nil && (zone == "" || r.exchangesHeartbeats(zone)) {
			unconfirmed = append(unconfirmed, h)
		}
	}
	slices.Sort(unconfirmed)
	for _, h := range unconfirmed {
		if r.contactDue(h) {
			to = append(to, h)
		}
	}
	return to
}

// contactDue limits heartbeats to a host that does not answer to one per contactInterval.
func (r *Router) contactDue(host string) bool {
	if r.now < r.members.contactAt[host] {
		return false
	}
	r.members.contactAt[host] = r.now + contactInterval
	return true
}

func (r *Router) ownLoads() []*gossippb.Load {
	var out []*gossippb.Load
	for _, b := range r.allBackends() {
		if b.ownLoad.total() > 0 {
			out = append(out, b.ownLoad.toProto(b.hash))
		}
	}
	return out
}

// ownUnreachable returns the backend servers that this host recently could not connect to, or whose address
// now belongs to another instance. Those of services that it may be cut off from are left out.
func (r *Router) ownUnreachable() []uint32 {
	return r.hashesOf(func(b *backend) bool {
		return b.replaced || (r.now < b.unreachableUntil && !r.mayBeCutOff(b.Service))
	})
}

// uptimeMs is how long this host has run, capped to what a heartbeat can carry.
func (r *Router) uptimeMs() uint32 { return uint32(min(r.now.Milliseconds(), math.MaxUint32)) }

// ownSpent returns what this host has admitted by workspace. In a large fleet most heartbeats leave out amounts that
// have not changed since the last one.
func (r *Router) ownSpent() []*gossippb.Spent {
	var out []*gossippb.Spent
	r.spentReports++
	full := !r.largeFleet() || r.spentReports%fullSpentHeartbeats == 0
	for _, name := range r.quotaNames() {
		q := r.quotas[name]
		if s := uint64(q.Spent()); s > 0 && (full || s != r.reportedSpent[name]) {
			out = append(out, &gossippb.Spent{Workspace: name, Amount: s})
			r.reportedSpent[name] = s
		}
	}
	return out
}

// quotaNames returns the workspaces with quotas, sorted. The list is kept until a configuration changes it.
func (r *Router) quotaNames() []string {
	if r.sortedQuotas == nil {
		r.sortedQuotas = slices.Sorted(maps.Keys(r.quotas))
	}
	return r.sortedQuotas
}
