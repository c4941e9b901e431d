package router

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// shardSize is the approximate number of backend servers in a zone that share an owner. Ten are enough for
	// a choice among unlike engines. With twice as many, a small host would handle the slot requests for a fifth
	// of its zone's requests.
	shardSize = 10
	// minOwnerAge is how long a host must have run to own backend servers. A host that has just started has not
	// received its zone peers' loads and takes every engine for idle.
	minOwnerAge = 1500 * time.Millisecond
	// minOwnerAgeAtStart applies if no host of the zone is older. All have started together then, and an owner
	// gets a report of each request from the first one on.
	minOwnerAgeAtStart = 300 * time.Millisecond
	// minOccupancyInterval is the interval at which owners send their backend servers' loads to the zone. The
	// loads only decide which owner is called first, as the owner itself has exact counts. It is stretched by
	// occupancyIntervalPerHost for each host of the zone, so that the messages a host receives per second do not
	// depend on the number of owners.
	minOccupancyInterval     = 250 * time.Millisecond
	occupancyIntervalPerHost = 5 * time.Millisecond
	// occupancyStaleIntervals is the number of intervals after which an owner's report expires.
	occupancyStaleIntervals = 4
	// messagesPerFullSpeeds is the number of occupancy messages per one that holds all speeds. The others hold
	// only the speeds that have changed.
	messagesPerFullSpeeds = 16
)

// ownerStatus records how an owner has replied to this host.
type ownerStatus struct {
	// missedReplies counts the calls in a row without a reply. The owner is not called before backoffUntil.
	missedReplies int
	backoffUntil  time.Duration
	// fullAt is when the owner last had no free slot, by priority.
	fullAt [priorities]time.Duration
}

// statusOf returns the status of an owner and creates it if necessary.
func (r *Router) statusOf(owner string) *ownerStatus {
	t, ok := r.owners.status[owner]
	if !ok {
		t = &ownerStatus{}
		for p := range t.fullAt {
			t.fullAt[p] = -fullTTL
		}
		r.owners.status[owner] = t
	}
	return t
}

// ownerState holds the owners of this zone's backend servers. Each host computes them from the hosts whose
// heartbeats it receives. Ownership grants no exclusive right: while two hosts disagree, some requests are
// assigned by older load data, as if the sending host had decided locally.
type ownerState struct {
	valid bool
	// recomputeAt is when the next host reaches the minimum age, so that owners must be computed again.
	recomputeAt time.Duration
	// candidates are the hosts that may own. established is set if they have run for minOwnerAge.
	candidates  []string
	established bool
	// byShard holds the owners' IP addresses, empty if no host has run for long enough. shards holds the
	// backend servers of each shard.
	byShard []string
	shards  [][]*backend
	// ownedShards is the number of shards that this host owns and ownedBackends are their backend servers.
	ownedShards   int
	ownedBackends []*backend
	// nextOccupancyAt is when this host next sends its occupancy message, and occupancySent counts them.
	nextOccupancyAt time.Duration
	occupancySent   int
	// zoneOnly is set if they were computed for this zone only, as in a large fleet.
	zoneOnly bool
	// expireAt is when expired owners' reports are next removed.
	expireAt time.Duration
	status   map[string]*ownerStatus
	// announcedUntil is how long an owner in another zone knows this host from its last heartbeat.
	announcedUntil map[string]time.Duration
}

func newOwnerState() ownerState {
	return ownerState{status: map[string]*ownerStatus{}, announcedUntil: map[string]time.Duration{}}
}

// usesOwners reports whether backend servers have owners that grant slots. In a small fleet without admission queues each host
// sends every change to all others instead, at a cost that grows with the square of the number of hosts.
func (r *Router) usesOwners() bool { return r.largeFleet() || r.queueing() }

// ownerOf returns the host that owns a backend server, or "" if unknown. Other zones list their owners in
// zone summaries.
func (r *Router) ownerOf(b *backend) string {
	if !r.usesOwners() {
		return ""
	}
	if r.largeFleet() && b.Zone != r.opt.Zone {
		z, ok := r.zones.summaries[b.Zone]
		if !ok || z.stale || len(z.owners) == 0 {
			return ""
		}
		return z.owners[b.hash%uint32(len(z.owners))]
	}
	return r.localShardOwners()[b.hash%uint32(len(r.owners.byShard))]
}

// localShardOwners returns the owners by shard, of this zone's backend servers or in a small fleet of all.
func (r *Router) localShardOwners() []string {
	if !r.owners.valid || r.now >= r.owners.recomputeAt || r.owners.zoneOnly != r.ownersByZone() {
		r.computeOwners()
	}
	return r.owners.byShard
}

// remoteOwnerUnresponsive reports whether a backend server's owner is in another zone and does not reply.
// That zone is most likely disconnected. In a small fleet the owner may be in any zone.
func (r *Router) remoteOwnerUnresponsive(b *backend) bool {
	if b.Zone == r.opt.Zone || !r.largeFleet() {
		return false
	}
	owner := r.ownerOf(b)
	return owner != "" && !r.canAsk(owner)
}

func (r *Router) owns(b *backend) bool {
	if !r.usesOwners() || (r.largeFleet() && b.Zone != r.opt.Zone) {
		return false
	}
	r.localShardOwners()
	return b.owned
}

// ownersByZone reports whether the owners of each zone's backend servers are hosts of that zone. In a small fleet all hosts hear
// each other, so that all of them compute the owners of all backend servers.
func (r *Router) ownersByZone() bool { return r.largeFleet() || !r.queueing() }

// ownerScope returns the backend servers whose owners the hosts that this one hears compute among themselves: those of its zone,
// or in a small fleet all.
func (r *Router) ownerScope() []*backend {
	if r.ownersByZone() {
		return r.backendsIn(r.opt.Zone)
	}
	return r.allBackends()
}

// ownerPeers returns the reachable other hosts among which these owners are computed. The list must not be modified.
func (r *Router) ownerPeers() []string {
	if r.ownersByZone() {
		return r.zonePeers()
	}
	return r.reachableHosts()
}

// computeOwners divides the backend servers of ownerScope into a power of two of shards, so that the number rarely
// changes, and assigns each shard an owner by rendezvous hashing over the hosts that are up and not leaving.
func (r *Router) computeOwners() {
	zone := r.ownerScope()
	r.owners.zoneOnly = r.ownersByZone()
	n := 0
	for _, b := range zone {
		if !b.removed {
			n++
		}
	}
	shards := 1 << bits.Len(uint(n/shardSize))
	if len(r.owners.byShard) != shards {
		r.owners.byShard = make([]string, shards)
	}
	hosts := r.eligibleOwners()
	r.owners.candidates = hosts
	clear(r.quotaState.owners)
	owned := r.owners.ownedShards
	r.owners.ownedShards = 0
	for s := range r.owners.byShard {
		owner, _ := rendezvousTopTwo(hosts, uint64(s))
		r.owners.byShard[s] = owner
		if owner == r.opt.Host {
			r.owners.ownedShards++
		}
	}
	r.owners.valid = true
	if r.owners.ownedShards != owned {
		r.emit(Note{What: "owns backend servers", Detail: fmt.Sprintf("%d of %d shards", r.owners.ownedShards, shards)})
	}
	r.owners.ownedBackends = r.owners.ownedBackends[:0]
	r.owners.shards = make([][]*backend, shards)
	for _, b := range zone {
		shard := b.hash % uint32(shards)
		r.owners.shards[shard] = append(r.owners.shards[shard], b)
		b.owned = r.owners.byShard[shard] == r.opt.Host
		if b.owned {
			b.useOwnerReport = false
			r.owners.ownedBackends = append(r.owners.ownedBackends, b)
		}
	}
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// eligibleOwners returns the hosts of this zone, in a small fleet of all zones, that may own backend servers: those that have run for
// minOwnerAge, or if there are none, for minOwnerAgeAtStart. It sets recomputeAt.
func (r *Router) eligibleOwners() []string {
	var mature, recent []string
	r.owners.recomputeAt = never
	add := func(host string, startedAt time.Duration) {
		switch age := r.now - startedAt; {
		case age >= minOwnerAge:
			mature = append(mature, host)
			return
		case age >= minOwnerAgeAtStart:
			recent = append(recent, host)
			r.owners.recomputeAt = min(r.owners.recomputeAt, startedAt+minOwnerAge)
		default:
			r.owners.recomputeAt = min(r.owners.recomputeAt, startedAt+minOwnerAgeAtStart)
		}
	}
	if r.drain == nil {
		add(r.opt.Host, 0)
	}
	for _, h := range r.ownerPeers() {
		if m := r.members.byHost[h]; !m.leaving {
			add(h, m.startedAt)
		}
	}
	r.owners.established = len(mature) > 0
	if r.owners.established {
		return mature
	}
	return recent
}

// rendezvousTopTwo returns the two hosts with the highest hash for a shard, or "" if there are too few.
func rendezvousTopTwo(hosts []string, shard uint64) (first, second string) {
	var best, next uint64
	for _, host := range hosts {
		switch v := rendezvousHash(host, shard); {
		case first == "" || v > best:
			first, best, second, next = host, v, first, best
		case second == "" || v > next:
			second, next = host, v
		}
	}
	return first, second
}

// rendezvousHash hashes a host together with a shard, so that each shard orders the hosts differently.
func rendezvousHash(host string, shard uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(host))
	binary.LittleEndian.PutUint64(key[8:], shard)
	return xxhash.Sum64(key[:])
}

// sendOccupancy sends the loads and speeds of this host's backend servers to the zone.
func (r *Router) sendOccupancy() {
	if !r.usesOwners() || r.now < r.owners.nextOccupancyAt {
		return
	}
	r.owners.nextOccupancyAt = r.now + r.occupancyInterval()
	if !r.largeFleet() {
		r.sendBacklogs() // heartbeats carry the rest
		return
	}
	o := &gossippb.Occupancy{All: true, Backlogs: r.backlogsToSend()}
	allSpeeds := r.owners.occupancySent%messagesPerFullSpeeds == 0
	r.localShardOwners()
	for _, b := range r.owners.ownedBackends {
		if b.removed {
			continue
		}
		if all := b.totalLoad(); all != (load{}) {
			o.Loads = append(o.Loads, all.toProto(b.hash))
		}
		if b.samples > 0 && (allSpeeds || b.speed().differsFrom(b.reportedSpeed)) {
			b.reportedSpeed = b.speed()
			o.Speeds = append(o.Speeds, b.speedToProto())
		}
	}
	if len(r.owners.ownedBackends) == 0 {
		return
	}
	for _, b := range r.owners.ownedBackends {
		if !b.removed && r.reportsFailing(b) {
			o.Failing = append(o.Failing, b.hash)
		}
	}
	r.owners.occupancySent++
	r.emit(Send{To: r.zonePeers(), Packet: &gossippb.Packet{Occupancy: o}})
}

// totalLoad returns the known load of a backend server from all hosts.
func (b *backend) totalLoad() load {
	all := b.loadOfOthers()
	all.add(b.ownLoad)
	return all
}

// handleOccupancy applies an owner's report on its backend servers.
func (r *Router) handleOccupancy(from string, o *gossippb.Occupancy) {
	r.applyBacklogs(from, o.Backlogs)
	if r.queueing() && !r.largeFleet() {
		return // heartbeats carry the rest
	}
	if o.All {
		r.applyFullOccupancy(from, loadsFromProto(o.Loads))
	} else {
		r.applyOwnerLoads(o.Loads)
	}
	r.applyOwnerFailing(o.Failing)
	for _, s := range o.Speeds {
		if b, ok := r.byHash[s.Backend]; ok && r.ownerOf(b) == from {
			b.applyOwnerSpeed(s)
		}
	}
}

// applyFullOccupancy applies an owner's report on all its backend servers. Those it does not list are idle.
func (r *Router) applyFullOccupancy(owner string, reported loads) {
	for shard, o := range r.localShardOwners() {
		if o != owner {
			continue
		}
		for _, b := range r.owners.shards[shard] {
			r.applyOwnerLoad(b, reported[b.hash])
		}
	}
}

// applyOwnerLoads applies an owner's report on some of its backend servers.
func (r *Router) applyOwnerLoads(list []*gossippb.Load) {
	for _, l := range list {
		if b, ok := r.byHash[l.Backend]; ok {
			r.applyOwnerLoad(b, loadFromProto(l))
		}
	}
}

// applyOwnerLoad replaces the known load of other hosts at a backend server by its owner's report, less this
// host's own requests, which the report includes.
func (r *Router) applyOwnerLoad(b *backend, all load) {
	if r.owns(b) || !r.largeFleet() {
		return // in a small fleet heartbeats carry newer loads
	}
	for p := range all.counts {
		all.counts[p] = max(0, all.counts[p]-b.ownLoad.counts[p])
	}
	all.prefillBacklog = max(0, all.prefillBacklog-b.ownLoad.prefillBacklog)
	b.useOwnerReport, b.ownerLoad, b.ownerReportedAt = true, all, r.now
}

// occupancyInterval returns the time between two occupancy messages unless one is sent early.
func (r *Router) occupancyInterval() time.Duration {
	return max(minOccupancyInterval, occupancyIntervalPerHost*time.Duration(len(r.ownerPeers())))
}

// expireOwnerLoads returns to the loads from the other hosts' heartbeats if an owner no longer reports.
func (r *Router) expireOwnerLoads() {
	if r.now < r.owners.expireAt {
		return
	}
	r.owners.expireAt = r.now + minOccupancyInterval
	stale := occupancyStaleIntervals * r.occupancyInterval()
	for _, b := range r.allBackends() {
		inSummaries := r.largeFleet() && b.Zone != r.opt.Zone && !r.zoneUnreachable(b.Zone) // reported in its zone's summaries, though not in each
		if b.useOwnerReport && !inSummaries && r.now-b.ownerReportedAt > stale {
			b.useOwnerReport = false
		}
	}
}
