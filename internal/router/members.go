package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
)

const (
	// minHostTimeout is how long a host's load still counts after its last heartbeat. By then its requests have
	// most likely ended, as the connections of a dead host are closed. It covers three heartbeat intervals and some loss.
	minHostTimeout = 800 * time.Millisecond
	// hostTimeoutIntervals is the same in heartbeat intervals, for fleets in which these are long.
	hostTimeoutIntervals = 3.3
	// hostTTL is when an unreachable host no longer counts for shares of limits. A network partition looks like a crash, but a
	// host that is only cut off still spends: once it is forgotten, each side admits a whole quota. Regions lose
	// contact for an hour now and then, and this is twice that. The price: after hosts are lost for good and not
	// replaced, workspaces get less than their quotas for that long. With half the time, a partition of a little over
	// an hour lets several times a quota through.
	hostTTL = 2 * time.Hour
	// contactInterval is how often seeds and unreachable hosts are sent a heartbeat. It bounds how long a zone is still
	// considered cut off, with requests refused beside its idle engines, after the network has recovered.
	contactInterval = 250 * time.Millisecond
	// newHostDuration is how long a host counts as just started: everything that it reports as spent is recent then.
	newHostDuration = 4 * time.Second
	// maxPriorityCount is the highest count that fits into one byte of a packed load.
	maxPriorityCount = 255
)

// counts are numbers of requests in flight by priority.
type counts [priorities]int

func (c counts) total() int {
	n := 0
	for _, v := range c {
		n += v
	}
	return n
}

func (c *counts) add(more counts) {
	for p, n := range more {
		c[p] += n
	}
}

// pack encodes the counts in one number, one byte each, the most urgent priority in the lowest.
func (c counts) pack() uint32 {
	var out uint32
	for p, n := range c {
		out |= uint32(min(max(n, 0), maxPriorityCount)) << (8 * p)
	}
	return out
}

func unpack(v uint32) counts {
	var c counts
	for p := range c {
		c[p] = int(v >> (8 * p) & maxPriorityCount)
	}
	return c
}

// load is the load that a host or a zone puts on one backend server.
type load struct {
	counts
	// prefillBacklog is the number of prompt tokens of streams that have not begun.
	prefillBacklog int
}

func (l *load) add(more load) {
	l.counts.add(more.counts)
	l.prefillBacklog += more.prefillBacklog
}

func (l load) toProto(hash uint32) *gossippb.Load {
	return &gossippb.Load{Backend: hash, InFlight: l.pack(), Unread: uint32(min(max(0, l.prefillBacklog), maxPrefillBacklog))}
}

// maxPrefillBacklog bounds the prefill backlog that one message may report for a backend server: no engine's memory holds
// more tokens.
const maxPrefillBacklog = 1 << 24

// loads are by backend server, identified by backend.hash.
type loads map[uint32]load

func loadsFromProto(list []*gossippb.Load) loads {
	out := make(loads, len(list))
	for _, l := range list {
		out[l.Backend] = loadFromProto(l)
	}
	return out
}

func loadFromProto(l *gossippb.Load) load {
	return load{unpack(l.InFlight), int(min(l.Unread, maxPrefillBacklog))}
}

// member is another host, as known from its heartbeats.
type member struct {
	host        string
	quotaKey    string // host and incarnation, under which quotas count its spending
	zone        string
	incarnation uint64
	// previousIncarnation identifies the process that was replaced, whose last datagrams may still arrive.
	previousIncarnation uint64
	seq                 uint64
	lastSeen            time.Duration
	leaving             bool
	loads               loads
	readsStore          bool
	listsStore          bool
	deadBackends        []uint32 // hashes of backend servers that it cannot reach
	failingBackends     []uint32 // hashes of backend servers that fail its requests
	// cutOff and reaches are the hashes of the services that it cannot and can reach.
	cutOff, reaches []uint32
	spent           map[string]uint64
	data            peerData
	unreachable     bool
	// grants are the slots that this host has granted it lately, and backlogs what it last reported of its admission queues.
	grants   []recentGrant
	backlogs backlogReport
	// demand is what its callers ask for, by its latest report.
	demand demandReport
	// startedAt is when it started, on this host's clock.
	startedAt time.Duration
}

type members struct {
	byHost map[string]*member
	order  []string // sorted, so that no result depends on the order of a map
	// contactAt is when each host that does not answer may be sent the next heartbeat.
	contactAt map[string]time.Duration
	// zoneOf are the zones of all hosts that this one has ever learned of.
	zoneOf map[string]string
	// otherZones are the zones of known hosts other than this host's own, sorted.
	otherZones []string
	// zonePeers are the reachable other hosts of this zone; nil if the list must be rebuilt.
	zonePeers []string
}

func newMembers() members {
	return members{byHost: map[string]*member{}, contactAt: map[string]time.Duration{}, zoneOf: map[string]string{}}
}

// handleHeartbeat applies a heartbeat. Those of the previous incarnation come from a process that was replaced while its
// datagrams were in transit, and those out of order hold outdated loads; both are ignored, except for pushed changes.
func (r *Router) handleHeartbeat(b *gossippb.Beat) {
	if b.Host == r.opt.Host || b.Host == "" {
		return
	}
	r.applyPushedChanges(b.Host, b.Changes) // even from an overtaken heartbeat: each change has its own revision, and small links delay pushes
	m, known := r.members.byHost[b.Host]
	if known && b.Incarnation == m.incarnation && b.Seq <= m.seq {
		return
	}
	var previousIncarnation uint64
	if known && b.Incarnation != m.incarnation {
		if b.Incarnation == m.previousIncarnation {
			return
		}
		previousIncarnation = m.incarnation
		r.removeMember(m)
		known = false
	}
	if !known {
		m = &member{host: b.Host, quotaKey: b.Host + "/" + formatBase36(b.Incarnation), zone: b.Zone, incarnation: b.Incarnation, previousIncarnation: previousIncarnation,
			spent: map[string]uint64{}, startedAt: r.now - time.Duration(b.AgeMs)*time.Millisecond}
		r.members.byHost[b.Host] = m
		r.recordZone(b.Host, b.Zone)
		r.members.order = append(r.members.order, b.Host)
		slices.Sort(r.members.order)
		r.membersChanged()
		if r.exchangesHeartbeats(b.Zone) {
			r.zones.peersAt = 0       // name the new host to the others in the next heartbeat
			r.heartbeatPending = true // send the new host a heartbeat soon
			r.suspects.hostJoined = true
			r.emit(Note{What: "host joined", Subject: b.Host, Detail: b.Zone})
		} else if r.now-m.startedAt <= newHostDuration {
			// The new host may have no seed in its own zone. Without this reply, hosts of zones without seeds knew only a few
			// of their zone peers, and divided quotas and engines among those.
			r.emitHeartbeat([]string{b.Host}, func(reply *gossippb.Beat) { reply.Peers = r.peersFor(b.Zone) })
		}
	}
	wasUnreachable := m.unreachable
	zoneWasCutOff := wasUnreachable && r.zoneUnreachable(m.zone)
	if m.unreachable {
		m.unreachable = false
		r.membersChanged()
		r.emit(Note{What: "host reachable again", Subject: m.host, Age: r.now - m.lastSeen})
	}
	if m.leaving != b.Leaving {
		r.membersChanged()
	}
	m.seq, m.lastSeen, m.leaving, m.readsStore, m.listsStore = b.Seq, r.now, b.Leaving, b.ReadsStore, b.ListsStore
	if m.readsStore {
		r.noteStoreServes()
	}
	if zoneWasCutOff {
		r.zoneRecovered(m.zone)
	}
	r.applyLoads(m, b.Loads)
	r.applyReach(m, b)
	r.applyDead(m, r.credible(m, b.Dead))
	r.applyFailing(m, r.credible(m, b.Failing))
	r.applySpeeds(b.Speeds)
	r.applySpent(m, b.Spent, wasUnreachable)
	r.applyZoneSummaries(m.zone, b.Zones)
	r.applySuspects(b.Suspects)
	r.applyLeaving(m.host, b.Leaves)
	r.applyRateLimits(m.host, b.RateLimits)
	r.applyBrittleLimits(m.host, b.BrittleLimits)
	r.applyEvacuations(m.host, b.Evacuations)
	r.applyDemands(m, b.ServiceDemands)
	r.compareDigests(m, b)
	for _, p := range b.Peers {
		r.learnHost(p.Host, p.Zone)
	}
}

// learnHost records a host named by a peer. It is contacted later if this host exchanges heartbeats with it.
func (r *Router) learnHost(host, zone string) {
	if host == r.opt.Host || r.members.byHost[host] != nil {
		return
	}
	if zone != "" {
		r.recordZone(host, zone)
	}
	if _, ok := r.members.contactAt[host]; !ok {
		r.members.contactAt[host] = 0
	}
}

func (r *Router) applyLoads(m *member, list []*gossippb.Load) {
	r.addOthersLoads(m.loads, -1)
	reported := loadsFromProto(list)
	r.addRecentGrants(m, reported)
	m.loads = reported
	r.addOthersLoads(m.loads, 1)
}

// applyDead records which backend servers a host cannot reach, and probes those that enough hosts report.
func (r *Router) applyDead(m *member, dead []uint32) {
	r.updateReportCounts(m.deadBackends, dead, func(b *backend) *int { return &b.unreachableReports })
	m.deadBackends = dead
	for _, hash := range dead {
		if b, ok := r.byHash[hash]; ok && b.unreachableReports >= reportQuorum {
			r.verify(b)
		}
	}
}

// updateReportCounts adjusts, for each backend server, the number of hosts that report it, when one host's report changes
// from was to now.
func (r *Router) updateReportCounts(was, now []uint32, reports func(*backend) *int) {
	for _, hash := range was {
		if b, ok := r.byHash[hash]; ok {
			*reports(b)--
		}
	}
	for _, hash := range now {
		if b, ok := r.byHash[hash]; ok {
			*reports(b)++
		}
	}
}

// countReporting counts the hosts whose report includes a backend server.
func (r *Router) countReporting(hash uint32, reported func(*member) []uint32) int {
	n := 0
	for _, h := range r.members.order {
		if slices.Contains(reported(r.members.byHost[h]), hash) {
			n++
		}
	}
	return n
}

// addOthersLoads adds a host's reported loads to the backend servers' totals, or subtracts them if sign is -1.
func (r *Router) addOthersLoads(l loads, sign int) {
	for hash, what := range l {
		b, ok := r.byHash[hash]
		if !ok {
			continue
		}
		for p, n := range what.counts {
			b.othersLoad.counts[p] += sign * n
		}
		b.othersLoad.prefillBacklog += sign * what.prefillBacklog
		b.othersReportedAt = r.now
	}
}

func (r *Router) applySpent(m *member, spent []*gossippb.Spent, reconnected bool) {
	for _, s := range spent {
		m.spent[s.Workspace] = s.Amount
		if q, ok := r.quotas[s.Workspace]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: m.quotaKey, Spent: float64(s.Amount), InZone: m.zone == r.opt.Zone, Reconnected: reconnected, RecentlyStarted: r.now-m.startedAt <= newHostDuration})
			if q.NearlyExhausted() {
				r.zones.quotaLowUntil = r.now + quotaLowDuration
			}
		}
	}
}

// hostTimeout is how long after its last heartbeat a host counts as unreachable.
func (r *Router) hostTimeout() time.Duration {
	return max(minHostTimeout, time.Duration(hostTimeoutIntervals*float64(r.heartbeatInterval())))
}

// expireMembers stops counting the loads of unreachable hosts, and forgets such hosts after hostTTL.
func (r *Router) expireMembers() {
	timeout := r.hostTimeout()
	for _, host := range slices.Clone(r.members.order) {
		m := r.members.byHost[host]
		age := r.now - m.lastSeen
		if age > timeout && !r.exchangesHeartbeats(m.zone) {
			// A host of another zone sends heartbeats only while it is a zone reporter or has requests here.
			r.removeMember(m)
			continue
		}
		if age > timeout && !m.unreachable {
			m.unreachable = true
			r.membersChanged()
			r.addOthersLoads(m.loads, -1)
			m.loads = nil
			r.applyDead(m, nil)
			r.applyFailing(m, nil)
			r.emit(Note{What: "host unreachable", Subject: host, Age: age})
		}
		if age > hostTTL || (m.unreachable && m.leaving) {
			r.removeMember(m)
			r.members.contactAt[host] = r.now
			r.emit(Note{What: "host forgotten", Subject: host, Age: age})
		}
	}
}

func (r *Router) removeMember(m *member) {
	r.addOthersLoads(m.loads, -1)
	r.applyDead(m, nil)
	r.applyFailing(m, nil)
	for _, q := range r.quotas {
		q.ForgetPeer(m.quotaKey)
	}
	delete(r.members.byHost, m.host)
	r.members.order = slices.DeleteFunc(r.members.order, func(h string) bool { return h == m.host })
	r.membersChanged()
}

// membersChanged invalidates what is derived from the list of reachable hosts.
func (r *Router) membersChanged() {
	r.members.zonePeers = nil
	r.owners.valid = false
}
