package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
)

const (
	// minHostTimeout is when a host's counts are no longer added: what it had in flight has most
	// likely ended, and a dead host's connections are closed. Three times the beat and some loss.
	minHostTimeout = 800 * time.Millisecond
	// hostTimeoutIntervals is the same in periods of beats, where these are long.
	hostTimeoutIntervals = 3.3
	// hostTTL is when a silent host no longer counts for shares of limits. A cut looks like a death, and a
	// host that is only cut off still spends: once it is forgotten, each side lets a whole quota through. Regions lose
	// each other for an hour now and then, and this is twice that. The price: after hosts are lost for good and
	// not replaced, workspaces have their part of the quotas less for so long; with half of it, a cut of a little over
	// an hour lets several times a quota through.
	hostTTL = 2 * time.Hour
	// contactInterval is how often seeds and silent hosts are sent a beat. It bounds how long a zone is still
	// taken for cut off, and requests are refused beside its idle engines, when it is not any more.
	contactInterval = 250 * time.Millisecond
	// newHostDuration is how long a host counts as just started: all that it says it has admitted is recent then.
	newHostDuration = 4 * time.Second
	// maxPriorityCount is the most that one byte of a load tells.
	maxPriorityCount = 255
)

// counts are requests in flight by priority.
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

// pack puts the counts into one number, a byte each.
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

// load is what a host or a zone carries at one backend server.
type load struct {
	counts
	// prefillBacklog are the prompt tokens of streams that have not begun.
	prefillBacklog int
}

func (l *load) add(more load) {
	l.counts.add(more.counts)
	l.prefillBacklog += more.prefillBacklog
}

// toProto is the load as beats tell it.
func (l load) toProto(hash uint32) *gossippb.Load {
	return &gossippb.Load{Backend: hash, InFlight: l.pack(), Unread: uint32(min(max(0, l.prefillBacklog), maxPrefillBacklog))}
}

// maxPrefillBacklog bounds what is believed to be unread at one backend server by one word: no engine's memory
// holds more tokens.
const maxPrefillBacklog = 1 << 24

// loads are by backend server, named by the hash of its id.
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

// member is another host as its beats show it.
type member struct {
	host        string
	quotaKey    string // with its incarnation, as quotas count it
	zone        string
	incarnation uint64
	// previousIncarnation is the incarnation before, whose last datagrams may still be under way.
	previousIncarnation uint64
	seq                 uint64
	lastSeen            time.Duration
	leaving             bool
	loads               loads
	readsStore          bool
	listsStore          bool
	deadBackends        []uint32 // backend servers that it cannot reach
	failingBackends     []uint32 // backend servers that fail its requests
	spent               map[string]uint64
	// differsSince is when its news first differed from this host's; zero while they agree.
	differsSince time.Duration
	unreachable  bool
	// startedAt is its start on this host's clock.
	startedAt time.Duration
}

type members struct {
	byHost map[string]*member
	order  []string // sorted, so that no order of a map decides
	// contactAt holds when hosts that are not heard may be sent the next beat.
	contactAt map[string]time.Duration
	// zoneOf are the zones of all hosts that were ever named.
	zoneOf map[string]string
	// otherZones are the zones of known hosts but this one's, in order.
	otherZones []string
	// zonePeers are the other hosts of this zone that are heard; nil where the list must be made again.
	zonePeers []string
}

func newMembers() members {
	return members{byHost: map[string]*member{}, contactAt: map[string]time.Duration{}, zoneOf: map[string]string{}}
}

// handleHeartbeat takes a beat. Beats of the incarnation before are from a process that was replaced while
// its datagrams were under way; beats out of order carry older counts.
func (r *Router) handleHeartbeat(b *gossippb.Beat) {
	if b.Host == r.opt.Host || b.Host == "" {
		return
	}
	r.applyPushedChanges(b.Changes) // they have revisions of their own, and go out at the pace of a small link
	m, known := r.members.byHost[b.Host]
	if known && b.Incarnation == m.incarnation && b.Seq <= m.seq {
		return
	}
	var replaced uint64
	if known && b.Incarnation != m.incarnation {
		if b.Incarnation == m.previousIncarnation {
			return
		}
		replaced = m.incarnation
		r.removeMember(m)
		known = false
	}
	if !known {
		m = &member{host: b.Host, quotaKey: b.Host + "/" + formatBase36(b.Incarnation), zone: b.Zone, incarnation: b.Incarnation, previousIncarnation: replaced,
			spent: map[string]uint64{}, startedAt: r.now - time.Duration(b.AgeMs)*time.Millisecond}
		r.members.byHost[b.Host] = m
		r.recordZone(b.Host, b.Zone)
		r.members.order = append(r.members.order, b.Host)
		slices.Sort(r.members.order)
		r.membersChanged()
		if r.exchangesHeartbeats(b.Zone) {
			r.zones.peersAt = 0       // name the new host to the others in the next heartbeat
			r.heartbeatPending = true // send the new host a heartbeat soon
			r.emit(Note{What: "host joined", Subject: b.Host, Detail: b.Zone})
		} else if r.now-m.startedAt <= newHostDuration {
			// It may have no seed in its own zone: without this, the hosts of zones without seeds knew a few of
			// their zone mates each, and divided quotas and engines among these.
			r.emitHeartbeat([]string{b.Host}, func(reply *gossippb.Beat) { reply.Peers = r.peersFor(b.Zone) })
		}
	}
	returned := m.unreachable
	wasCut := returned && r.zoneUnreachable(m.zone)
	if m.unreachable {
		m.unreachable = false
		r.membersChanged()
		r.emit(Note{What: "host heard again", Subject: m.host, Age: r.now - m.lastSeen})
	}
	if m.leaving != b.Leaving {
		r.membersChanged()
	}
	m.seq, m.lastSeen, m.leaving, m.readsStore, m.listsStore = b.Seq, r.now, b.Leaving, b.ReadsStore, b.ListsStore
	if wasCut {
		r.zoneRecovered(m.zone)
	}
	r.applyLoads(m, b.Loads)
	r.applyDead(m, b.Dead)
	r.applyFailing(m, b.Failing)
	r.applySpeeds(b.Speeds)
	r.applySpent(m, b.Spent, returned)
	r.applyZoneSummaries(m.zone, b.Zones)
	r.applySuspects(b.Suspects)
	r.applyLeaving(m.host, b.Leaves)
	r.applyEvacuations(m.host, b.Evacuations)
	r.compareDigests(m, b)
	for _, p := range b.Peers {
		r.learnHost(p.Host, p.Zone)
	}
}

// learnHost notes a host that a peer names; it is greeted if this host talks to it directly.
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
	m.loads = loadsFromProto(list)
	r.addOthersLoads(m.loads, 1)
}

// applyDead takes which backend servers a host cannot reach.
func (r *Router) applyDead(m *member, dead []uint32) {
	r.updateReportCounts(m.deadBackends, dead, func(b *backend) *int { return &b.unreachableReports })
	m.deadBackends = dead
}

// updateReportCounts keeps how many hosts name a backend server, as one of them names others than before.
func (r *Router) updateReportCounts(was, now []uint32, hosts func(*backend) *int) {
	for _, hash := range was {
		if b, ok := r.byHash[hash]; ok {
			*hosts(b)--
		}
	}
	for _, hash := range now {
		if b, ok := r.byHash[hash]; ok {
			*hosts(b)++
		}
	}
}

// countReporting counts the hosts that name a backend server among others.
func (r *Router) countReporting(hash uint32, names func(*member) []uint32) int {
	n := 0
	for _, h := range r.members.order {
		if slices.Contains(names(r.members.byHost[h]), hash) {
			n++
		}
	}
	return n
}

// addOthersLoads adds others' counts to the beliefs, or takes them away again.
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

func (r *Router) applySpent(m *member, spent []*gossippb.Spent, returned bool) {
	for _, s := range spent {
		m.spent[s.Workspace] = s.Amount
		if q, ok := r.quotas[s.Workspace]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: m.quotaKey, Spent: float64(s.Amount), InZone: m.zone == r.opt.Zone, Reconnected: returned, RecentlyStarted: r.now-m.startedAt <= newHostDuration})
			if q.NearlyExhausted() {
				r.zones.quotaLowUntil = r.now + quotaLowDuration
			}
		}
	}
}

// hostTimeout is how long a host must not be heard to count as silent.
func (r *Router) hostTimeout() time.Duration {
	return max(minHostTimeout, time.Duration(hostTimeoutIntervals*float64(r.heartbeatInterval())))
}

// expireMembers stops counting what silent hosts said, and later forgets them.
func (r *Router) expireMembers() {
	patience := r.hostTimeout()
	for _, host := range slices.Clone(r.members.order) {
		m := r.members.byHost[host]
		quiet := r.now - m.lastSeen
		if quiet > patience && !r.exchangesHeartbeats(m.zone) {
			// A host of another zone is heard while it speaks for its zone or has requests here.
			r.removeMember(m)
			continue
		}
		if quiet > patience && !m.unreachable {
			m.unreachable = true
			r.membersChanged()
			r.addOthersLoads(m.loads, -1)
			m.loads = nil
			r.applyDead(m, nil)
			r.applyFailing(m, nil)
			r.emit(Note{What: "host silent", Subject: host, Age: quiet})
		}
		if quiet > hostTTL || (m.unreachable && m.leaving) {
			r.removeMember(m)
			r.members.contactAt[host] = r.now
			r.emit(Note{What: "host forgotten", Subject: host, Age: quiet})
		}
	}
}

func (r *Router) removeMember(m *member) {
	r.addOthersLoads(m.loads, -1)
	r.applyDead(m, nil)
	r.applyFailing(m, nil)
	for _, q := range r.quotas {
		q.Forget(m.quotaKey)
	}
	delete(r.members.byHost, m.host)
	r.members.order = slices.DeleteFunc(r.members.order, func(h string) bool { return h == m.host })
	r.membersChanged()
}

// membersChanged makes what is computed from the hosts that live anew at its next use.
func (r *Router) membersChanged() {
	r.members.zonePeers = nil
	r.owners.valid = false
}
