package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
)

const (
	// maxFullMesh is the largest fleet in which all hosts exchange heartbeats. In larger ones heartbeats stay within a zone, and
	// summaries go between zones, where bandwidth is expensive.
	maxFullMesh = 16
	// zoneReporters is the number of hosts of a zone that send its summaries to each other zone, and of hosts
	// there that receive them. There are two so that the loss of one has no effect.
	zoneReporters = 2
	// zoneSummaryInterval is the interval between summaries. Work crosses zones only when its own zone is full.
	zoneSummaryInterval = 250 * time.Millisecond
	// zoneSummaryTTL is how long a zone's summary counts: four intervals.
	zoneSummaryTTL = 1000 * time.Millisecond
	// zoneReporterTimeout is how long one reporter must be silent before summaries of another are accepted.
	zoneReporterTimeout = 700 * time.Millisecond
	// zoneTimeout is how long none of a zone's hosts may send a heartbeat before the zone counts as cut off.
	zoneTimeout = 450 * time.Millisecond
)

// zoneState is what this host knows of other zones in a large fleet, and what it last sent to them.
type zoneState struct {
	summaries map[string]*zoneSummary
	summaryAt time.Duration
	// summariesSent counts the summaries sent, and ownersSent are the owners named in the last one that named any.
	summariesSent int
	ownersSent    []string
	// loadsAt is when its summaries next include loads. Until quotaLowUntil they are sent twice as often, as some quota is
	// nearly exhausted.
	loadsAt, quotaLowUntil time.Duration
	// spentSent is the spending per workspace last sent in a summary.
	spentSent map[string]uint64
	peersAt   time.Duration
	// readersSeenAt is when enough zone peers were last in contact with the store.
	readersSeenAt  time.Duration
	readingDecided bool
	// firstRead is when this host first reads the store, unless it can rely on others by then.
	firstRead time.Duration
	// shared is set if this host reads the store for its zone peers too, with short watches. At the start it is mostly
	// unset, as no zone peers are known yet.
	shared bool
}

// zoneSummary is the latest summary of another zone.
type zoneSummary struct {
	zone        string
	reporter    string
	incarnation uint64
	seq         uint64
	hosts       int // reachable within that zone
	known       int // not forgotten within that zone
	receivedAt  time.Duration
	owners      []string
	stale       bool
	// unrelayed is a summary that this host received itself and relays to its zone peers at relayAt, unless one of them is first.
	unrelayed *gossippb.ZoneSum
	relayAt   time.Duration
}

// key identifies the reporter and its incarnation, under which quotas count the zone's spending.
func (z *zoneSummary) key() string {
	return z.zone + "/" + z.reporter + "/" + formatBase36(z.incarnation)
}

func newZoneState() zoneState {
	return zoneState{summaries: map[string]*zoneSummary{}, spentSent: map[string]uint64{}}
}

// largeFleet reports whether there are too many hosts for all of them to exchange heartbeats.
func (r *Router) largeFleet() bool {
	return len(r.members.zoneOf)+1 > maxFullMesh || r.hasZoneSummaries()
}

// hasZoneSummaries reports whether another zone has sent summaries, which only hosts of a large fleet do. Such hosts send no
// heartbeats to other zones, so a host that has learned of few of them can only find out in this way that the fleet is large.
// Until zoneDiscoveryDuration after its start a host decides by the introductions alone.
func (r *Router) hasZoneSummaries() bool {
	return r.now >= zoneDiscoveryDuration && len(r.zones.summaries) > 0
}

// exchangesHeartbeats reports whether this host sends its heartbeats to the hosts of a zone.
func (r *Router) exchangesHeartbeats(zone string) bool { return zone == r.opt.Zone || !r.largeFleet() }

// zonePeers returns the reachable other hosts of this zone, sorted. The list is shared and must not be modified.
func (r *Router) zonePeers() []string {
	if r.members.zonePeers == nil {
		r.members.zonePeers = make([]string, 0, len(r.members.order))
		for _, h := range r.members.order {
			if m := r.members.byHost[h]; m.zone == r.opt.Zone && !m.unreachable {
				r.members.zonePeers = append(r.members.zonePeers, h)
			}
		}
	}
	return r.members.zonePeers
}

// hasRole reports whether this host is among the n hosts of its zone with a role, by rendezvous hashing over the reachable
// ones. While views differ, a role may have one holder more or fewer, which is why most roles have several.
func (r *Router) hasRole(role string, n int) bool {
	mine := roleScore(r.opt.Host, role)
	before := 0
	for _, h := range r.zonePeers() {
		if !r.members.byHost[h].leaving && roleScore(h, role) < mine {
			before++
		}
		if before >= n {
			return false
		}
	}
	return before < n
}

func roleScore(host, role string) uint64 { return xxhash.Sum64String(host + "|" + role) }

// hostCount counts all hosts that are not forgotten, including this one.
func (r *Router) hostCount() int {
	n, _ := r.countHosts()
	return n
}

// countDirectHosts counts the known and the reachable hosts that this one exchanges heartbeats with, including itself.
// In a large fleet they are those of its zone.
func (r *Router) countDirectHosts() (known, reachable int) {
	known, reachable = 1, 1
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if !r.exchangesHeartbeats(m.zone) {
			continue
		}
		known++
		if !m.unreachable {
			reachable++
		}
	}
	return known, reachable
}

// countHosts counts all known and all reachable hosts, by heartbeats and by zone summaries.
func (r *Router) countHosts() (known, reachable int) {
	known, reachable = r.countDirectHosts()
	if !r.largeFleet() {
		return known, reachable
	}
	ownZone := known
	for _, z := range r.zones.summaries {
		known += max(z.known, z.hosts)
		if !z.stale {
			reachable += z.hosts
		}
	}
	if r.now < zoneDiscoveryDuration {
		for _, zone := range r.otherZones() {
			if r.zones.summaries[zone] == nil {
				known += ownZone
			}
		}
	}
	return known, reachable
}

// zoneDiscoveryDuration is how long after its start a host learns of the others mainly by introductions. In a large fleet it
// assumes until then that zones without a summary yet are as large as its own, as quotas are divided by the number of hosts.
// Summaries come four times a second.
const zoneDiscoveryDuration = 2 * time.Second

// otherZones returns the zones of all known hosts other than this host's own, sorted.
func (r *Router) otherZones() []string { return r.members.otherZones }

// recordZone records the zone of a host.
func (r *Router) recordZone(host, zone string) {
	r.members.zoneOf[host] = zone
	if zone == "" || zone == r.opt.Zone {
		return
	}
	if at, known := slices.BinarySearch(r.members.otherZones, zone); !known {
		r.members.otherZones = slices.Insert(r.members.otherZones, at, zone)
	}
}

// sendZoneSummaries sends this zone's summary to each other zone that this host is a reporter for.
func (r *Router) sendZoneSummaries() {
	if !r.largeFleet() || r.now < r.zones.summaryAt {
		return
	}
	r.zones.summaryAt = r.now + zoneSummaryInterval
	if r.now < r.zones.quotaLowUntil {
		r.zones.summaryAt = r.now + zoneSummaryInterval/2
	}
	var sum *gossippb.ZoneSum // the same for all zones
	for _, zone := range r.otherZones() {
		if !r.hasRole("speaks to "+zone, zoneReporters) {
			continue
		}
		if sum == nil {
			sum = r.ownZoneSummary()
		}
		r.emitHeartbeat(r.summaryTargets(zone), func(b *gossippb.Beat) {
			b.Zones = []*gossippb.ZoneSum{sum}
			b.Peers = r.peersFor(zone)
		})
	}
}

// ownZoneSummary summarizes this zone for the others: the owners of its backend servers, the load there from all zones,
// and what its hosts have admitted. As each zone reports only its own backend servers, nothing is reported or counted twice.
func (r *Router) ownZoneSummary() *gossippb.ZoneSum {
	known, reachable := r.countDirectHosts()
	s := &gossippb.ZoneSum{Zone: r.opt.Zone, Speaker: r.opt.Host, Incarnation: r.opt.Incarnation, Seq: r.seq + 1,
		Hosts: uint32(reachable), Known: uint32(known), AgeMs: r.uptimeMs(), Owners: r.ownersToSend(), Suspects: r.suspects.ledger.ForZones(r.now), Leaves: r.zoneLeaving(), Failing: r.zoneFailingBackends(), RateLimits: r.zoneRateLimits(), BrittleLimits: r.zoneBrittleLimits()}
	s.WithoutLoads = r.now < r.zones.loadsAt
	if !s.WithoutLoads {
		r.zones.loadsAt = r.now + r.loadsInterval()
		s.Loads = r.zoneLoads()
	}
	s.Spent = r.spentToSend()
	s.ServiceLoads = r.serviceLoadsToSend()
	return s
}

// zoneLoads returns the non-zero loads of this zone's backend servers.
func (r *Router) zoneLoads() []*gossippb.Load {
	var out []*gossippb.Load
	for _, b := range r.backendsIn(r.opt.Zone) {
		if b.removed {
			continue
		}
		if all := b.totalLoad(); all.total() > 0 {
			out = append(out, all.toProto(b.hash))
		}
	}
	return out
}

// backendsPerSummary is the number of a zone's backend servers for which the interval between summaries with loads grows by
// another zoneSummaryInterval, so that the traffic between zones does not grow with them. Other zones use these loads only to
// decide which owner to ask.
const backendsPerSummary = 250

// loadsInterval is the time between two summaries with loads, less the time by which a tick may be early.
func (r *Router) loadsInterval() time.Duration {
	return zoneSummaryInterval*time.Duration(1+len(r.backendsIn(r.opt.Zone))/backendsPerSummary) - zoneSummaryInterval/4
}

// ownersResendSummaries is the number of summaries after which the zone's owners are named again though unchanged, in case a
// datagram was lost.
const ownersResendSummaries = 4

// ownersToSend returns the owners of this zone's backend servers if they have changed or are due again; otherwise nil.
func (r *Router) ownersToSend() []string {
	owners := r.localShardOwners()
	r.zones.summariesSent++
	if r.zones.summariesSent%ownersResendSummaries != 0 && slices.Equal(owners, r.zones.ownersSent) {
		return nil
	}
	r.zones.ownersSent = slices.Clone(owners)
	return r.zones.ownersSent
}

// spentResendSummaries is the number of summaries after which a quota's unchanged spending is sent again.
const spentResendSummaries = 8

// spentToSend returns the zone's spending per quota where it has changed since it was last sent, and some of the rest in turn.
func (r *Router) spentToSend() []*gossippb.Spent {
	var out []*gossippb.Spent
	for i, name := range r.quotaNames() {
		v := uint64(r.quotas[name].ZoneSpent())
		inTurn := (i+r.zones.summariesSent)%spentResendSummaries == 0
		if v > 0 && (inTurn || v != r.zones.spentSent[name]) {
			out = append(out, &gossippb.Spent{Workspace: name, Amount: v})
			r.zones.spentSent[name] = v
		}
	}
	return out
}

// maxRelayDelay spreads the relaying of a summary that several hosts have received at once, so that the first does it for all.
const maxRelayDelay = 100 * time.Millisecond

// relaySummaries relays summaries of other zones that this host received itself, unless a zone peer has relayed them already.
func (r *Router) relaySummaries() {
	if !r.largeFleet() {
		return
	}
	var out []*gossippb.ZoneSum
	for _, zone := range r.otherZones() {
		if z, ok := r.zones.summaries[zone]; ok && z.unrelayed != nil && r.now >= z.relayAt {
			out = append(out, z.unrelayed)
			z.unrelayed = nil
		}
	}
	if len(out) > 0 {
		r.emit(Send{To: r.zonePeers(), Packet: &gossippb.Packet{Relay: &gossippb.Relay{Zones: out}}})
	}
}

// applyZoneSummaries merges summaries sent by a host of zone from: a reporter of that zone, or a zone peer that relays them.
func (r *Router) applyZoneSummaries(from string, sums []*gossippb.ZoneSum) {
	for _, s := range sums {
		if s.Zone == r.opt.Zone {
			continue
		}
		r.recordZone(s.Speaker, s.Zone)
		r.applySuspects(s.Suspects)
		r.applyLeaving(s.Speaker, s.Leaves)
		r.applyRateLimits(s.Speaker, s.RateLimits)
		r.applyBrittleLimits(s.Speaker, s.BrittleLimits)
		r.applyZoneSummary(s, from == s.Zone)
	}
}

func (r *Router) applyZoneSummary(s *gossippb.ZoneSum, direct bool) {
	z, ok := r.zones.summaries[s.Zone]
	sameReporter := ok && z.reporter == s.Speaker && z.incarnation == s.Incarnation
	switch {
	case sameReporter && s.Seq <= z.seq:
		if s.Seq == z.seq && !direct {
			z.unrelayed = nil // relayed by a zone peer already
		}
		return
	case ok && !sameReporter && r.now-z.receivedAt < zoneReporterTimeout:
		return // only one reporter at a time, or admissions would be counted twice
	case !ok:
		z = &zoneSummary{zone: s.Zone}
		r.zones.summaries[s.Zone] = z
	}
	wasStale := z.stale
	if wasStale {
		r.zoneRecovered(s.Zone)
	}
	z.reporter, z.incarnation, z.seq, z.hosts, z.receivedAt = s.Speaker, s.Incarnation, s.Seq, int(s.Hosts), r.now
	z.known = int(s.Known)
	z.stale = false
	if len(s.Owners) > 0 {
		z.owners = s.Owners
	}
	if !s.WithoutLoads {
		r.applyZoneLoads(s.Zone, loadsFromProto(s.Loads))
	}
	r.applyServiceLoads(s.Zone, s.ServiceLoads)
	r.applyOwnerFailing(s.Failing)
	for _, sp := range s.Spent {
		if q, ok := r.quotas[sp.Workspace]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: z.key(), Spent: float64(sp.Amount), Reconnected: wasStale, RecentlyStarted: time.Duration(s.AgeMs)*time.Millisecond <= newHostDuration})
		}
	}
	z.unrelayed = nil
	if direct {
		z.unrelayed, z.relayAt = s, r.now+time.Duration(r.rng.Int64N(int64(maxRelayDelay)))
	}
}

// applyZoneLoads sets the loads of another zone's backend servers; those not named have none.
func (r *Router) applyZoneLoads(zone string, reported loads) {
	for _, b := range r.backendsIn(zone) {
		if !b.removed {
			r.applyOwnerLoad(b, reported[b.hash])
		}
	}
}

// zoneUnreachable reports whether another zone has known hosts but none of them can be reached. The zone is then cut off, and
// most likely its backend servers too.
func (r *Router) zoneUnreachable(zone string) bool {
	if zone == r.opt.Zone {
		return false
	}
	if z, ok := r.zones.summaries[zone]; ok && r.largeFleet() {
		return z.stale
	}
	known := false
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if m.zone != zone {
			continue
		}
		if !m.unreachable && r.now-m.lastSeen < zoneTimeout {
			return false
		}
		known = true
	}
	return known
}

// zoneRecovered treats the backend servers of a zone that was cut off as reachable again. Those that could not
// be reached stay on probation: one request at a time until one is answered.
func (r *Router) zoneRecovered(zone string) {
	for _, b := range r.backendsIn(zone) {
		b.reachableAgain(r.now)
	}
	r.emit(Note{What: "zone reachable again", Subject: zone})
}

// expireZones stops counting outdated summaries and forgets those older than hostTTL.
func (r *Router) expireZones() {
	for _, zone := range r.otherZones() {
		z, ok := r.zones.summaries[zone]
		if !ok {
			continue
		}
		age := r.now - z.receivedAt
		if age > zoneSummaryTTL && !z.stale {
			z.stale = true
			r.emit(Note{What: "zone unreachable", Subject: zone, Age: age})
		}
		if age > hostTTL {
			delete(r.zones.summaries, zone)
		}
	}
}

// othersLoadAt adds up the loads that other hosts report for one backend server.
func (r *Router) othersLoadAt(hash uint32) load {
	var sum load
	for _, h := range r.members.order {
		sum.add(r.members.byHost[h].loads[hash])
	}
	return sum
}

// unreachableReportsFor counts the hosts that report a backend server as unreachable.
func (r *Router) unreachableReportsFor(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.deadBackends })
}
