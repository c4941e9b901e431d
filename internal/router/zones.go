package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
)

const (
	// maxFullMesh is the most hosts that all talk to each other. Above it beats go to the own zone
	// only, and sums go between zones, where bytes are dear.
	maxFullMesh = 16
	// zoneReporters are the hosts of a zone that send its sums to one other zone, and how many hosts
	// there they are sent to. Two, so that the loss of one goes unnoticed.
	zoneReporters = 2
	// zoneSummaryInterval is the period of sums; work crosses zones only when its own is full.
	zoneSummaryInterval = 250 * time.Millisecond
	// zoneSummaryTTL is when a zone's sum no longer counts: four periods.
	zoneSummaryTTL = 1000 * time.Millisecond
	// zoneReporterTimeout is when another speaker's sums are taken in place of a silent one's.
	zoneReporterTimeout = 700 * time.Millisecond
	// zoneTimeout is how long none of a zone's hosts must be heard for the zone to count as cut off.
	zoneTimeout = 450 * time.Millisecond
)

// zoneState is what this host knows of the other zones, where not all hosts talk to each other.
type zoneState struct {
	summaries map[string]*zoneSummary
	summaryAt time.Duration
	// summariesSent counts this host's sums, and ownersTold are the owners that they named last.
	summariesSent int
	ownersSent    []string
	// loadsAt is when its sums next tell loads, and quotaLowUntil until when they go out twice as often, as some quota is near its end.
	loadsAt, quotaLowUntil time.Duration
	// spentSent is what its last sum that named a workspace told of its quota.
	spentSent map[string]uint64
	peersAt   time.Duration
	// readersSeenAt is when a zone mate in contact with the store was last heard.
	readersSeenAt  time.Duration
	readingDecided bool
	// firstRead is when this host first reads the store, unless it then relies on others.
	firstRead time.Duration
	// shared tells that this host reads for its zone mates too, with short watches. It is seldom known
	// at the start, before the others are heard.
	shared bool
}

// zoneSummary is another zone's latest sum.
type zoneSummary struct {
	zone        string
	reporter    string
	incarnation uint64
	seq         uint64
	hosts       int // that are heard there
	known       int // that are not forgotten there
	receivedAt  time.Duration
	owners      []string
	stale       bool
	// unrelayed is what this host, rather than a zone mate, has heard and passes on at relayAt.
	unrelayed *gossippb.ZoneSum
	relayAt   time.Duration
}

func (z *zoneSummary) key() string {
	return z.zone + "/" + z.reporter + "/" + formatBase36(z.incarnation)
}

func newZoneState() zoneState {
	return zoneState{summaries: map[string]*zoneSummary{}, spentSent: map[string]uint64{}}
}

// largeFleet tells whether there are too many hosts for all to talk to each other.
func (r *Router) largeFleet() bool { return len(r.members.zoneOf)+1 > maxFullMesh }

// exchangesHeartbeats tells whether this host sends its beats to hosts of a zone.
func (r *Router) exchangesHeartbeats(zone string) bool { return zone == r.opt.Zone || !r.largeFleet() }

// zonePeers are the other hosts of this zone that are heard, in order. The list is shared; it is not to be changed.
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

// hasRole tells whether this host is among the first n of its zone for a purpose. Each host computes
// it from those that it hears; views that differ for a moment double a hasRole or leave it to one
// fewer, which is why there are several.
func (r *Router) hasRole(purpose string, n int) bool {
	mine := roleScore(r.opt.Host, purpose)
	before := 0
	for _, h := range r.zonePeers() {
		if !r.members.byHost[h].leaving && roleScore(h, purpose) < mine {
			before++
		}
	}
	return before < n
}

func roleScore(host, purpose string) uint64 { return xxhash.Sum64String(host + "|" + purpose) }

// hostCount counts all hostCount that are not forgotten, this one included.
func (r *Router) hostCount() int {
	n, _ := r.countHosts()
	return n
}

// countDirectHosts counts the hosts that this one talks to directly, itself included: those that are not forgotten
// and those that are heard. In a large fleet they are its zone's.
func (r *Router) countDirectHosts() (known, heard int) {
	known, heard = 1, 1
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if !r.exchangesHeartbeats(m.zone) {
			continue
		}
		known++
		if !m.unreachable {
			heard++
		}
	}
	return known, heard
}

// countHosts counts the hosts that are known and those that are heard, directly or in a zone's sum.
func (r *Router) countHosts() (known, heard int) {
	known, heard = r.countDirectHosts()
	if !r.largeFleet() {
		return known, heard
	}
	own := known
	for _, z := range r.zones.summaries {
		known += max(z.known, z.hosts)
		if !z.stale {
			heard += z.hosts
		}
	}
	if r.now < zoneDiscoveryDuration {
		for _, zone := range r.otherZones() {
			if r.zones.summaries[zone] == nil {
				known += own
			}
		}
	}
	return known, heard
}

// zoneDiscoveryDuration is how long after its start a host of a large fleet takes zones of which it has heard no sum
// for as large as its own, as quotas are parted by the number of hosts. Sums come four times a second.
const zoneDiscoveryDuration = 2 * time.Second

// otherZones are the zones of all known hosts but this one's, in order.
func (r *Router) otherZones() []string { return r.members.otherZones }

// recordZone notes where a host is.
func (r *Router) recordZone(host, zone string) {
	r.members.zoneOf[host] = zone
	if zone == "" || zone == r.opt.Zone {
		return
	}
	if at, known := slices.BinarySearch(r.members.otherZones, zone); !known {
		r.members.otherZones = slices.Insert(r.members.otherZones, at, zone)
	}
}

// sendZoneSummaries sends this zone's sum to every other zone that this host speaks to.
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

// ownZoneSummary adds up what other zones have to know of this one: who owns its backend servers, what these
// carry, requests of all zones together, and what its hosts have admitted. So each zone tells of its own
// backend servers, and nothing is told or counted twice.
func (r *Router) ownZoneSummary() *gossippb.ZoneSum {
	known, heard := r.countDirectHosts()
	s := &gossippb.ZoneSum{Zone: r.opt.Zone, Speaker: r.opt.Host, Incarnation: r.opt.Incarnation, Seq: r.seq + 1,
		Hosts: uint32(heard), Known: uint32(known), AgeMs: r.uptimeMs(), Owners: r.ownersToSend(), Suspects: r.suspects.ledger.ForZones(r.now), Leaves: r.zoneLeaving(), Failing: r.zoneFailingBackends()}
	s.WithoutLoads = r.now < r.zones.loadsAt
	if !s.WithoutLoads {
		r.zones.loadsAt = r.now + r.loadsInterval()
		s.Loads = r.zoneLoads()
	}
	s.Spent = r.spentToSend()
	return s
}

// zoneLoads are what this zone's backend servers carry, of those that carry something.
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

// backendsPerSummary is how many of a zone's backend servers there are for each sumEvery between two sums that tell what they carry, so that
// the bytes between zones do not grow with them. Those elsewhere decide by it only whom to ask.
const backendsPerSummary = 250

// loadsInterval is the time between two sums that tell what the zone's backend servers carry, less what a tick may be early.
func (r *Router) loadsInterval() time.Duration {
	return zoneSummaryInterval*time.Duration(1+len(r.backendsIn(r.opt.Zone))/backendsPerSummary) - zoneSummaryInterval/4
}

// ownersResendSummaries is how many sums pass between two that name the zone's owners though these are the same: what was lost is told again.
const ownersResendSummaries = 4

// ownersToSend are the owners of this zone's backend servers, where they have changed or have not been told for a while.
func (r *Router) ownersToSend() []string {
	owners := r.localShardOwners()
	r.zones.summariesSent++
	if r.zones.summariesSent%ownersResendSummaries != 0 && slices.Equal(owners, r.zones.ownersSent) {
		return nil
	}
	r.zones.ownersSent = slices.Clone(owners)
	return r.zones.ownersSent
}

// spentResendSummaries is how many sums pass between two that tell what was spent of a quota though nothing was since.
const spentResendSummaries = 8

// spentToSend is what the zone has spent of the quotas that have changed since the last sum, and of some of the others in turn.
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

// maxRelayDelay spreads what several hosts have heard at once, so that the first passes it on for all.
const maxRelayDelay = 100 * time.Millisecond

// relaySummaries passes sums of other zones on that this host heard itself, unless a zone mate was faster.
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

// applyZoneSummaries takes sums of other zones from a host of a zone: their speaker, or a zone mate that passes them on.
func (r *Router) applyZoneSummaries(from string, sums []*gossippb.ZoneSum) {
	for _, s := range sums {
		if s.Zone == r.opt.Zone {
			continue
		}
		r.recordZone(s.Speaker, s.Zone)
		r.applySuspects(s.Suspects)
		r.applyLeaving(s.Speaker, s.Leaves)
		r.applyZoneSummary(s, from == s.Zone)
	}
}

func (r *Router) applyZoneSummary(s *gossippb.ZoneSum, direct bool) {
	z, ok := r.zones.summaries[s.Zone]
	same := ok && z.reporter == s.Speaker && z.incarnation == s.Incarnation
	switch {
	case same && s.Seq <= z.seq:
		if s.Seq == z.seq && !direct {
			z.unrelayed = nil // passed on already
		}
		return
	case ok && !same && r.now-z.receivedAt < zoneReporterTimeout:
		return // one speaker at a time, or admissions would be counted twice
	case !ok:
		z = &zoneSummary{zone: s.Zone}
		r.zones.summaries[s.Zone] = z
	}
	returned := z.stale
	if returned {
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
	r.applyOwnerFailing(s.Failing)
	for _, sp := range s.Spent {
		if q, ok := r.quotas[sp.Workspace]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: z.key(), Spent: float64(sp.Amount), Reconnected: returned, RecentlyStarted: time.Duration(s.AgeMs)*time.Millisecond <= newHostDuration})
		}
	}
	z.unrelayed = nil
	if direct {
		z.unrelayed, z.relayAt = s, r.now+time.Duration(r.rng.Int64N(int64(maxRelayDelay)))
	}
}

// applyZoneLoads takes what another zone's backend servers carry; those that are not named carry nothing.
func (r *Router) applyZoneLoads(zone string, told loads) {
	for _, b := range r.backendsIn(zone) {
		if !b.removed {
			r.applyOwnerLoad(b, told[b.hash])
		}
	}
}

// zoneUnreachable tells that no host of another zone is heard though some are known: the zone is cut off,
// and its backend servers most likely with it.
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

// zoneRecovered takes the backend servers of a zone that was cut off for reachable again. Those that could not
// be reached stay on probation: one request at a time until one is answered.
func (r *Router) zoneRecovered(zone string) {
	for _, b := range r.backendsIn(zone) {
		if r.now < b.unreachableUntil {
			b.unreachableUntil = 0
			b.avoidUntil = r.now
		}
	}
	r.emit(Note{What: "zone heard again", Subject: zone})
}

// expireZones stops counting what zones said that are not heard any more.
func (r *Router) expireZones() {
	for _, zone := range r.otherZones() {
		z, ok := r.zones.summaries[zone]
		if !ok {
			continue
		}
		quiet := r.now - z.receivedAt
		if quiet > zoneSummaryTTL && !z.stale {
			z.stale = true
			r.emit(Note{What: "zone silent", Subject: zone, Age: quiet})
		}
		if quiet > hostTTL {
			delete(r.zones.summaries, zone)
		}
	}
}

// othersLoadAt adds up what others have told of one backend server.
func (r *Router) othersLoadAt(hash uint32) load {
	var sum load
	for _, h := range r.members.order {
		sum.add(r.members.byHost[h].loads[hash])
	}
	return sum
}

// unreachableReportsFor counts the hosts that cannot reach a backend server.
func (r *Router) unreachableReportsFor(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.deadBackends })
}
