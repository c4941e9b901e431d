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
	// minHeartbeatInterval is the period of heartbeats in a zone of up to twenty hosts, where nothing changes.
	minHeartbeatInterval = 100 * time.Millisecond
	// heartbeatIntervalPerHost stretches the period with the zone's hosts, so that what a host sends and hears a
	// second stays the same, and beatMost bounds it.
	heartbeatIntervalPerHost = 5 * time.Millisecond
	maxHeartbeatInterval     = 300 * time.Millisecond
	// ownersIntervalPerHost and sharedMost are the same where backend servers have owners, who hear of each request
	// at once: beats then tell who lives, what there is to know and what quotas have spent. At half the pace a
	// dead host's requests would seem to fill its zone's engines for twice as long.
	ownersIntervalPerHost = 15 * time.Millisecond
	maxOwnersInterval     = time.Second
	// quotaLowDuration is how long after a request of a workspace whose quota is half empty beats go out twice as
	// often: what others admit matters soon.
	quotaLowDuration = 2 * time.Second
	// joinGapPerHost is changePerHost there, where only hosts that join are told ahead of the next beat.
	joinGapPerHost = 4 * time.Millisecond
	// fullSpentHeartbeats is how many beats pass between two that tell all that was spent of quotas; the others tell
	// what has changed.
	fullSpentHeartbeats = 4
	// maxNamedPeers bounds the hosts that a beat of a large fleet names once nobody is new.
	maxNamedPeers = 6
	// minChangeGap is how soon after the last beat a change of what this host carries is told, and
	// changePerHost stretches it with the zone's hosts. Under load all choose among the few engines that
	// look free, and streams wait where several have chosen the same one by old counts.
	minChangeGap     = 20 * time.Millisecond
	changeGapPerHost = time.Millisecond
	// peerExchangeInterval is how often a beat names the hosts that its sender knows, and peersPerHost stretches it with the zone's hosts,
	// as all of them hear it. Of a host that joins they hear at once.
	peerExchangeInterval        = time.Second
	peerExchangeIntervalPerHost = 80 * time.Millisecond
)

func formatBase36(n uint64) string { return strconv.FormatUint(n, 36) }

// sendHeartbeats tells the hosts that this one talks to directly what it carries.
func (r *Router) sendHeartbeats() {
	peers, period, perHost := time.Duration(len(r.zonePeers())), r.heartbeatInterval(), changeGapPerHost
	if r.usesOwners() {
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
		if all := r.fullSuspectList(); all != nil {
			b.Suspects = all
		}
		if !r.usesOwners() {
			b.Speeds = r.changedSpeeds()
		}
		if r.now >= r.zones.peersAt {
			b.Peers = r.knownPeers()
			r.zones.peersAt = r.now + max(peerExchangeInterval, peerExchangeIntervalPerHost*peers)
		}
	})
	if r.usesOwners() {
		r.sendCrossZoneHeartbeat(r.remoteOwnersWithLoad())
	}
}

// heartbeatInterval is the time between two beats that nothing brings forward.
func (r *Router) heartbeatInterval() time.Duration {
	peers := time.Duration(len(r.zonePeers()))
	if r.usesOwners() {
		return min(maxOwnersInterval, max(minHeartbeatInterval, ownersIntervalPerHost*peers))
	}
	return min(maxHeartbeatInterval, max(minHeartbeatInterval, heartbeatIntervalPerHost*peers))
}

// markLoadChanged lets a small fleet hear at once that this host carries something else than its last beat
// said. In a large one the owners of backend servers hear of each request instead.
func (r *Router) markLoadChanged() { r.heartbeatPending = r.heartbeatPending || !r.usesOwners() }

// sendEarlyHeartbeat sends a beat ahead of its time where what this host carries has changed.
func (r *Router) sendEarlyHeartbeat() {
	if r.heartbeatPending && r.now >= r.earlyHeartbeatAt {
		r.sendHeartbeats()
	}
}

// emitHeartbeat sends a beat whose parts fill adds. A beat always carries the loads: it replaces the one
// before.
func (r *Router) emitHeartbeat(to []string, fill func(*gossippb.Beat)) {
	if len(to) == 0 {
		return
	}
	r.seq++
	b := &gossippb.Beat{
		Host: r.opt.Host, Zone: r.opt.Zone, Incarnation: r.opt.Incarnation, Seq: r.seq, Leaving: r.drain != nil,
		ConfigVersion: r.version(), Revision: r.updates.revision.Number, Era: r.updates.revision.Era, Digest: r.digest(),
		ReadsStore: r.storeAnswers(), ListsStore: r.listingStore(), Loads: r.ownLoads(),
		Dead: r.ownUnreachable(), AgeMs: r.uptimeMs(), Suspects: r.newSuspects(),
		Leaves: r.ownLeaving(), Evacuations: r.evacuationsToSend(),
	}
	if !r.usesOwners() {
		b.Failing = r.hashesOf(func(b *backend) bool { return b.isFailing() })
	}
	fill(b)
	r.emit(SendHeartbeat{To: to, Heartbeat: b})
}

// heartbeatTargets are the hosts that this one talks to directly and hears, and now and then those that
// may be there.
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
	var strangers []string
	for h := range r.members.contactAt {
		zone := r.members.zoneOf[h]
		if r.members.byHost[h] == nil && (zone == "" || r.exchangesHeartbeats(zone)) {
			strangers = append(strangers, h)
		}
	}
	slices.Sort(strangers)
	for _, h := range strangers {
		if r.contactDue(h) {
			to = append(to, h)
		}
	}
	return to
}

// contactDue paces the beats to hosts that do not answer.
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

// ownUnreachable are the backend servers that this host lately could not connect to, or whose address another has.
func (r *Router) ownUnreachable() []uint32 {
	return r.hashesOf(func(b *backend) bool { return r.now < b.unreachableUntil || b.replaced })
}

// uptimeMs is how long this host has run, as beats tell it.
func (r *Router) uptimeMs() uint32 { return uint32(min(r.now.Milliseconds(), math.MaxUint32)) }

// ownSpent is what this host has admitted by workspace. In a large fleet most beats leave out what has not
// changed since the last one.
func (r *Router) ownSpent() []*gossippb.Spent {
	var out []*gossippb.Spent
	r.spentReports++
	full := !r.usesOwners() || r.spentReports%fullSpentHeartbeats == 0
	for _, name := range r.quotaNames() {
		q := r.quotas[name]
		if s := uint64(q.Spent()); s > 0 && (full || s != r.reportedSpent[name]) {
			out = append(out, &gossippb.Spent{Workspace: name, Amount: s})
			r.reportedSpent[name] = s
		}
	}
	return out
}

// quotaNames are the workspaces with quotas, in order; the list is kept until a configuration changes them.
func (r *Router) quotaNames() []string {
	if r.sortedQuotas == nil {
		r.sortedQuotas = slices.Sorted(maps.Keys(r.quotas))
	}
	return r.sortedQuotas
}
