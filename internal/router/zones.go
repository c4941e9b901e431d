package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
)

const (
	// fullMesh is the most hosts that all talk to each other. Above it beats go to the own zone
	// only, and sums go between zones, where bytes are dear.
	fullMesh = 16
	// speakers are the hosts of a zone that send its sums to one other zone, and how many hosts
	// there they are sent to. Two, so that the loss of one goes unnoticed.
	speakers = 2
	// sumEvery is the period of sums; work crosses zones only when its own is full.
	sumEvery = 250 * time.Millisecond
	// sumStale is when a zone's sum no longer counts: four periods.
	sumStale = 1000 * time.Millisecond
	// speakerStale is when another speaker's sums are taken in place of a silent one's.
	speakerStale = 700 * time.Millisecond
	// cutAfter is how long none of a zone's hosts must be heard for the zone to count as cut off.
	cutAfter = 450 * time.Millisecond
)

// zoneState is what this host knows of the other zones, where not all hosts talk to each other.
type zoneState struct {
	sums  map[string]*zoneSum
	sumAt time.Duration
	// sumsTold counts this host's sums, and ownersTold are the owners that they named last.
	sumsTold   int
	ownersTold []string
	// loadsAt is when its sums next tell loads, and tightUntil until when they go out twice as often, as some quota is near its end.
	loadsAt, tightUntil time.Duration
	// spentTold is what its last sum that named a workspace told of its quota.
	spentTold map[string]uint64
	peersAt   time.Duration
	// readerAt is when a zone mate in contact with the store was last heard.
	readerAt time.Duration
	decided  bool
	// firstRead is when this host first reads the store, unless it then relies on others.
	firstRead time.Duration
	// shared tells that this host reads for its zone mates too, with short watches. It is seldom known
	// at the start, before the others are heard.
	shared bool
}

// zoneSum is another zone's latest sum.
type zoneSum struct {
	zone        string
	speaker     string
	incarnation uint64
	seq         uint64
	hosts       int // that are heard there
	known       int // that are not forgotten there
	at          time.Duration
	owners      []string
	stale       bool
	// raw is what this host, rather than a zone mate, has heard and passes on at relayAt.
	raw     *gossippb.ZoneSum
	relayAt time.Duration
}

func (z *zoneSum) key() string { return z.zone + "/" + z.speaker + "/" + itoa(z.incarnation) }

func newZoneState() zoneState {
	return zoneState{sums: map[string]*zoneSum{}, spentTold: map[string]uint64{}}
}

// relaying tells whether there are too many hosts for all to talk to each other.
func (r *Router) relaying() bool { return len(r.members.zoneOf)+1 > fullMesh }

// direct tells whether this host sends its beats to hosts of a zone.
func (r *Router) direct(zone string) bool { return zone == r.opt.Zone || !r.relaying() }

// zoneMates are the other hosts of this zone that are heard, in order. The list is shared; it is not to be changed.
func (r *Router) zoneMates() []string {
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

// duty tells whether this host is among the first n of its zone for a purpose. Each host computes
// it from those that it hears; views that differ for a moment double a duty or leave it to one
// fewer, which is why there are several.
func (r *Router) duty(purpose string, n int) bool {
	mine := rank(r.opt.Host, purpose)
	before := 0
	for _, h := range r.zoneMates() {
		if !r.members.byHost[h].leaving && rank(h, purpose) < mine {
			before++
		}
	}
	return before < n
}

func rank(host, purpose string) uint64 { return xxhash.Sum64String(host + "|" + purpose) }

// hosts counts all hosts that are not forgotten, this one included.
func (r *Router) hosts() int {
	n, _ := r.census()
	return n
}

// directCensus counts the hosts that this one talks to directly, itself included: those that are not forgotten
// and those that are heard. In a large fleet they are its zone's.
func (r *Router) directCensus() (known, heard int) {
	known, heard = 1, 1
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if !r.direct(m.zone) {
			continue
		}
		known++
		if !m.unreachable {
			heard++
		}
	}
	return known, heard
}

// census counts the hosts that are known and those that are heard, directly or in a zone's sum.
func (r *Router) census() (known, heard int) {
	known, heard = r.directCensus()
	if !r.relaying() {
		return known, heard
	}
	own := known
	for _, z := range r.zones.sums {
		known += max(z.known, z.hosts)
		if !z.stale {
			heard += z.hosts
		}
	}
	if r.now < unheardFor {
		for _, zone := range r.otherZones() {
			if r.zones.sums[zone] == nil {
				known += own
			}
		}
	}
	return known, heard
}

// unheardFor is how long after its start a host of a large fleet takes zones of which it has heard no sum
// for as large as its own, as quotas are parted by the number of hosts. Sums come four times a second.
const unheardFor = 2 * time.Second

// otherZones are the zones of all known hosts but this one's, in order.
func (r *Router) otherZones() []string { return r.members.otherZones }

// noteZone notes where a host is.
func (r *Router) noteZone(host, zone string) {
	r.members.zoneOf[host] = zone
	if zone == "" || zone == r.opt.Zone {
		return
	}
	if at, known := slices.BinarySearch(r.members.otherZones, zone); !known {
		r.members.otherZones = slices.Insert(r.members.otherZones, at, zone)
	}
}

// sendZoneSums sends this zone's sum to every other zone that this host speaks to.
func (r *Router) sendZoneSums() {
	if !r.relaying() || r.now < r.zones.sumAt {
		return
	}
	r.zones.sumAt = r.now + sumEvery
	if r.now < r.zones.tightUntil {
		r.zones.sumAt = r.now + sumEvery/2
	}
	var sum *gossippb.ZoneSum // the same for all zones
	for _, zone := range r.otherZones() {
		if !r.duty("speaks to "+zone, speakers) {
			continue
		}
		if sum == nil {
			sum = r.ownZoneSum()
		}
		r.emitBeat(r.listeners(zone), func(b *gossippb.Beat) {
			b.Zones = []*gossippb.ZoneSum{sum}
			b.Peers = r.introductions(zone)
		})
	}
}

// ownZoneSum adds up what other zones have to know of this one: who owns its backend servers, what these
// carry, requests of all zones together, and what its hosts have admitted. So each zone tells of its own
// backend servers, and nothing is told or counted twice.
func (r *Router) ownZoneSum() *gossippb.ZoneSum {
	known, heard := r.directCensus()
	s := &gossippb.ZoneSum{Zone: r.opt.Zone, Speaker: r.opt.Host, Incarnation: r.opt.Incarnation, Seq: r.seq + 1,
		Hosts: uint32(heard), Known: uint32(known), AgeMs: r.ageMs(), Owners: r.ownersToTell(), Suspects: r.suspects.ledger.ForZones(r.now), Leaves: r.zoneLeaving(), Failing: r.zoneFailing()}
	s.WithoutLoads = r.now < r.zones.loadsAt
	if !s.WithoutLoads {
		r.zones.loadsAt = r.now + r.loadsPeriod()
		s.Loads = r.zoneLoads()
	}
	s.Spent = r.spentToTell()
	return s
}

// zoneLoads are what this zone's backend servers carry, of those that carry something.
func (r *Router) zoneLoads() []*gossippb.Load {
	var out []*gossippb.Load
	for _, b := range r.backendsIn(r.opt.Zone) {
		if b.removed {
			continue
		}
		if all := b.carried(); all.total() > 0 {
			out = append(out, all.toProto(b.hash))
		}
	}
	return out
}

// loadsASum is how many of a zone's backend servers there are for each sumEvery between two sums that tell what they carry, so that
// the bytes between zones do not grow with them. Those elsewhere decide by it only whom to ask.
const loadsASum = 250

// loadsPeriod is the time between two sums that tell what the zone's backend servers carry, less what a tick may be early.
func (r *Router) loadsPeriod() time.Duration {
	return sumEvery*time.Duration(1+len(r.backendsIn(r.opt.Zone))/loadsASum) - sumEvery/4
}

// ownersEvery is how many sums pass between two that name the zone's owners though these are the same: what was lost is told again.
const ownersEvery = 4

// ownersToTell are the owners of this zone's backend servers, where they have changed or have not been told for a while.
func (r *Router) ownersToTell() []string {
	owners := r.ownShards()
	r.zones.sumsTold++
	if r.zones.sumsTold%ownersEvery != 0 && slices.Equal(owners, r.zones.ownersTold) {
		return nil
	}
	r.zones.ownersTold = slices.Clone(owners)
	return r.zones.ownersTold
}

// spentSums is how many sums pass between two that tell what was spent of a quota though nothing was since.
const spentSums = 8

// spentToTell is what the zone has spent of the quotas that have changed since the last sum, and of some of the others in turn.
func (r *Router) spentToTell() []*gossippb.Spent {
	var out []*gossippb.Spent
	for i, name := range r.quotaNames() {
		v := uint64(r.quotas[name].ZoneSpent())
		inTurn := (i+r.zones.sumsTold)%spentSums == 0
		if v > 0 && (inTurn || v != r.zones.spentTold[name]) {
			out = append(out, &gossippb.Spent{Workspace: name, Amount: v})
			r.zones.spentTold[name] = v
		}
	}
	return out
}

// relaySpread spreads what several hosts have heard at once, so that the first passes it on for all.
const relaySpread = 100 * time.Millisecond

// relaySums passes sums of other zones on that this host heard itself, unless a zone mate was faster.
func (r *Router) relaySums() {
	if !r.relaying() {
		return
	}
	var out []*gossippb.ZoneSum
	for _, zone := range r.otherZones() {
		if z, ok := r.zones.sums[zone]; ok && z.raw != nil && r.now >= z.relayAt {
			out = append(out, z.raw)
			z.raw = nil
		}
	}
	if len(out) > 0 {
		r.emit(Send{To: r.zoneMates(), Packet: &gossippb.Packet{Relay: &gossippb.Relay{Zones: out}}})
	}
}

// takeZones takes sums of other zones from a host of a zone: their speaker, or a zone mate that passes them on.
func (r *Router) takeZones(from string, sums []*gossippb.ZoneSum) {
	for _, s := range sums {
		if s.Zone == r.opt.Zone {
			continue
		}
		r.noteZone(s.Speaker, s.Zone)
		r.takeSuspects(s.Suspects)
		r.takeLeaving(s.Speaker, s.Leaves)
		r.takeZoneSum(s, from == s.Zone)
	}
}

func (r *Router) takeZoneSum(s *gossippb.ZoneSum, direct bool) {
	z, ok := r.zones.sums[s.Zone]
	same := ok && z.speaker == s.Speaker && z.incarnation == s.Incarnation
	switch {
	case same && s.Seq <= z.seq:
		if s.Seq == z.seq && !direct {
			z.raw = nil // passed on already
		}
		return
	case ok && !same && r.now-z.at < speakerStale:
		return // one speaker at a time, or admissions would be counted twice
	case !ok:
		z = &zoneSum{zone: s.Zone}
		r.zones.sums[s.Zone] = z
	}
	returned := z.stale
	if returned {
		r.zoneBack(s.Zone)
	}
	z.speaker, z.incarnation, z.seq, z.hosts, z.at = s.Speaker, s.Incarnation, s.Seq, int(s.Hosts), r.now
	z.known = int(s.Known)
	z.stale = false
	if len(s.Owners) > 0 {
		z.owners = s.Owners
	}
	if !s.WithoutLoads {
		r.takeZoneLoads(s.Zone, loadsFromProto(s.Loads))
	}
	r.takeOwnersFailing(s.Failing)
	for _, sp := range s.Spent {
		if q, ok := r.quotas[sp.Workspace]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: z.key(), Spent: float64(sp.Amount), Reconnected: returned, RecentlyStarted: time.Duration(s.AgeMs)*time.Millisecond <= newHostDuration})
		}
	}
	z.raw = nil
	if direct {
		z.raw, z.relayAt = s, r.now+time.Duration(r.rng.Int64N(int64(relaySpread)))
	}
}

// takeZoneLoads takes what another zone's backend servers carry; those that are not named carry nothing.
func (r *Router) takeZoneLoads(zone string, told loads) {
	for _, b := range r.backendsIn(zone) {
		if !b.removed {
			r.takeOwnersWord(b, told[b.hash])
		}
	}
}

// zoneSilent tells that no host of another zone is heard though some are known: the zone is cut off,
// and its backend servers most likely with it.
func (r *Router) zoneSilent(zone string) bool {
	if zone == r.opt.Zone {
		return false
	}
	if z, ok := r.zones.sums[zone]; ok && r.relaying() {
		return z.stale
	}
	known := false
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if m.zone != zone {
			continue
		}
		if !m.unreachable && r.now-m.lastSeen < cutAfter {
			return false
		}
		known = true
	}
	return known
}

// zoneBack takes the backend servers of a zone that was cut off for reachable again. Those that could not
// be reached stay on probation: one request at a time until one is answered.
func (r *Router) zoneBack(zone string) {
	for _, b := range r.backendsIn(zone) {
		if r.now < b.unreachable {
			b.unreachable = 0
			b.avoidUntil = r.now
		}
	}
	r.emit(Note{What: "zone heard again", Subject: zone})
}

// expireZones stops counting what zones said that are not heard any more.
func (r *Router) expireZones() {
	for _, zone := range r.otherZones() {
		z, ok := r.zones.sums[zone]
		if !ok {
			continue
		}
		quiet := r.now - z.at
		if quiet > sumStale && !z.stale {
			z.stale = true
			r.emit(Note{What: "zone silent", Subject: zone, Age: quiet})
		}
		if quiet > hostTTL {
			delete(r.zones.sums, zone)
		}
	}
}

// othersAt adds up what others have told of one backend server.
func (r *Router) othersAt(hash uint32) load {
	var sum load
	for _, h := range r.members.order {
		sum.add(r.members.byHost[h].loads[hash])
	}
	return sum
}

// saidDeadAt counts the hosts that cannot reach a backend server.
func (r *Router) saidDeadAt(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.deadBackends })
}
