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
	// shardSize is about how many backend servers of a zone have one owner. Ten are enough for a choice
	// among unlike engines, and with twice as many a small host would answer for a fifth of its zone's
	// requests.
	shardSize = 10
	// minOwnerAge is how long a host must have run to own backend servers: one that has just started has not
	// heard from its zone mates what they carry, and takes every engine for idle.
	minOwnerAge = 1500 * time.Millisecond
	// minOwnerAgeAtStart is enough where no host of the zone is older: all have started together, and whoever
	// owns an engine hears of each request there from the first one on.
	minOwnerAgeAtStart = 300 * time.Millisecond
	// minOccupancyInterval is the period at which owners tell their zone what their backend servers carry. It only
	// decides which owner is asked first: the owner itself knows. occupancyPerHost stretches it with the zone's hosts,
	// so that a host hears the same number of words a second, however many owners there are.
	minOccupancyInterval     = 250 * time.Millisecond
	occupancyIntervalPerHost = 5 * time.Millisecond
	// occupancyStaleIntervals is after how many periods an owner's word no longer counts.
	occupancyStaleIntervals = 4
	// messagesPerFullSpeeds is how many of an owner's words pass between two that tell all speeds; the others tell those that have changed.
	messagesPerFullSpeeds = 16
)

// ownerStatus is how an owner has answered this host.
type ownerStatus struct {
	// missedReplies are questions in a row without an answer; until muteUntil it is not asked because of them.
	missedReplies int
	backoffUntil  time.Duration
	// fullAt is when it last had no place, by priority.
	fullAt [priorities]time.Duration
}

// statusOf is how an owner has answered so far.
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

// ownerState is who owns the backend servers of this zone. Ownership is computed by each host from those
// that it hears. It grants nothing: where two hosts disagree for a moment, some requests are placed by an
// older belief, as if the host had decided alone.
type ownerState struct {
	valid bool
	// recomputeAt is when a host comes of age that may own some, so that owners must be computed anew.
	recomputeAt time.Duration
	// candidates are those that may own, and ofAge tells that they have run for ownerAge.
	candidates  []string
	established bool
	// byShard are the owners' IP numbers; empty where no host has run for long enough. shards are the backend servers.
	byShard []string
	shards  [][]*backend
	// ownedShards is how many shards this host owns, and mine their backend servers.
	ownedShards   int
	ownedBackends []*backend
	// nextOccupancyAt is when this host next tells what its backend servers carry, and told counts its words.
	nextOccupancyAt time.Duration
	occupancySent   int
	// expireAt is when words of owners that have fallen silent are next looked for.
	expireAt time.Duration
	status   map[string]*ownerStatus
	// announcedUntil is until when owners of other zones know this host by its last beat.
	announcedUntil map[string]time.Duration
}

func newOwnerState() ownerState {
	return ownerState{status: map[string]*ownerStatus{}, announcedUntil: map[string]time.Duration{}}
}

// usesOwners tells whether backend servers have owners that are asked for places. In a small fleet every host
// tells each change to all others instead, which grows with the square of the hosts.
func (r *Router) usesOwners() bool { return r.largeFleet() }

// ownerOf is the host that owns a backend server; empty where none is known. Other zones name theirs in their
// sums.
func (r *Router) ownerOf(b *backend) string {
	if !r.usesOwners() {
		return ""
	}
	if b.Zone != r.opt.Zone {
		z, ok := r.zones.summaries[b.Zone]
		if !ok || z.stale || len(z.owners) == 0 {
			return ""
		}
		return z.owners[b.hash%uint32(len(z.owners))]
	}
	return r.localShardOwners()[b.hash%uint32(len(r.owners.byShard))]
}

// localShardOwners are the owners of this zone's backend servers.
func (r *Router) localShardOwners() []string {
	if !r.owners.valid || r.now >= r.owners.recomputeAt {
		r.computeOwners()
	}
	return r.owners.byShard
}

// remoteOwnerUnresponsive tells that another zone's owner does not answer: its zone is most likely cut off.
func (r *Router) remoteOwnerUnresponsive(b *backend) bool {
	if b.Zone == r.opt.Zone {
		return false
	}
	owner := r.ownerOf(b)
	return owner != "" && !r.canAsk(owner)
}

func (r *Router) owns(b *backend) bool {
	if !r.usesOwners() || b.Zone != r.opt.Zone {
		return false
	}
	r.localShardOwners()
	return b.owned
}

// computeOwners divides the zone's backend servers into a power of two of shards, so that the number seldom
// changes, and finds each shard's owner by rendezvous hashing over the hosts that live and stay.
func (r *Router) computeOwners() {
	zone := r.backendsIn(r.opt.Zone)
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
	clear(r.limits.owners)
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

// never is a moment that does not come.
const never = time.Duration(math.MaxInt64)

// eligibleOwners are the hosts of this zone that may own backend servers: those that have run for ownerAge, or where there is
// none, for ownerAgeLeast. It notes when the next one comes of age.
func (r *Router) eligibleOwners() []string {
	var old, young []string
	r.owners.recomputeAt = never
	consider := func(host string, bornAt time.Duration) {
		switch age := r.now - bornAt; {
		case age >= minOwnerAge:
			old = append(old, host)
			return
		case age >= minOwnerAgeAtStart:
			young = append(young, host)
			r.owners.recomputeAt = min(r.owners.recomputeAt, bornAt+minOwnerAge)
		default:
			r.owners.recomputeAt = min(r.owners.recomputeAt, bornAt+minOwnerAgeAtStart)
		}
	}
	if r.drain == nil {
		consider(r.opt.Host, 0)
	}
	for _, h := range r.zonePeers() {
		if m := r.members.byHost[h]; !m.leaving {
			consider(h, m.startedAt)
		}
	}
	r.owners.established = len(old) > 0
	if r.owners.established {
		return old
	}
	return young
}

// rendezvousTopTwo are a shard's owner among some hosts, and the next; empty where there are not so many.
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

// rendezvousHash mixes a host with a shard, so that each shard orders the hosts in its own way.
func rendezvousHash(host string, shard uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(host))
	binary.LittleEndian.PutUint64(key[8:], shard)
	return xxhash.Sum64(key[:])
}

// sendOccupancy tells the zone what this host's backend servers carry.
func (r *Router) sendOccupancy() {
	if !r.usesOwners() || r.now < r.owners.nextOccupancyAt {
		return
	}
	r.owners.nextOccupancyAt = r.now + r.occupancyInterval()
	o := &gossippb.Occupancy{All: true}
	whole := r.owners.occupancySent%messagesPerFullSpeeds == 0
	r.localShardOwners()
	for _, b := range r.owners.ownedBackends {
		if b.removed {
			continue
		}
		if all := b.totalLoad(); all != (load{}) {
			o.Loads = append(o.Loads, all.toProto(b.hash))
		}
		if b.samples > 0 && (whole || b.speed().differsFrom(b.reportedSpeed)) {
			b.reportedSpeed = b.speed()
			o.Speeds = append(o.Speeds, b.speedMessage())
		}
	}
	if len(r.owners.ownedBackends) == 0 {
		return
	}
	for _, b := range r.owners.ownedBackends {
		if !b.removed && b.isFailing() {
			o.Failing = append(o.Failing, b.hash)
		}
	}
	r.owners.occupancySent++
	r.emit(Send{To: r.zonePeers(), Packet: &gossippb.Packet{Occupancy: o}})
}

// totalLoad is what a backend server is believed to carry, requests of all hosts together.
func (b *backend) totalLoad() load {
	all := b.loadOfOthers()
	all.add(b.ownLoad)
	return all
}

// handleOccupancy takes an owner's word of what its backend servers carry.
func (r *Router) handleOccupancy(from string, o *gossippb.Occupancy) {
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

// applyFullOccupancy takes an owner's word of all its backend servers; those that it does not name carry nothing.
func (r *Router) applyFullOccupancy(owner string, told loads) {
	for shard, o := range r.localShardOwners() {
		if o != owner {
			continue
		}
		for _, b := range r.owners.shards[shard] {
			r.applyOwnerLoad(b, told[b.hash])
		}
	}
}

// applyOwnerLoads takes what an owner says of several backend servers.
func (r *Router) applyOwnerLoads(list []*gossippb.Load) {
	for _, l := range list {
		if b, ok := r.byHash[l.Backend]; ok {
			r.applyOwnerLoad(b, loadFromProto(l))
		}
	}
}

// applyOwnerLoad replaces what is believed of others' requests at a backend server. This host's own ones
// are in the owner's word too.
func (r *Router) applyOwnerLoad(b *backend, all load) {
	if r.owns(b) {
		return
	}
	for p := range all.counts {
		all.counts[p] = max(0, all.counts[p]-b.ownLoad.counts[p])
	}
	all.prefillBacklog = max(0, all.prefillBacklog-b.ownLoad.prefillBacklog)
	b.useOwnerReport, b.ownerLoad, b.ownerReportedAt = true, all, r.now
}

// occupancyInterval is the time between two words of an owner that nothing brings forward.
func (r *Router) occupancyInterval() time.Duration {
	return max(minOccupancyInterval, occupancyIntervalPerHost*time.Duration(len(r.zonePeers())))
}

// expireOwnerLoads goes back to what the other hosts' beats say where an owner has fallen silent.
func (r *Router) expireOwnerLoads() {
	if r.now < r.owners.expireAt {
		return
	}
	r.owners.expireAt = r.now + minOccupancyInterval
	stale := occupancyStaleIntervals * r.occupancyInterval()
	for _, b := range r.allBackends() {
		told := b.Zone != r.opt.Zone && !r.zoneUnreachable(b.Zone) // in its zone's sums, not in each
		if b.useOwnerReport && !told && r.now-b.ownerReportedAt > stale {
			b.useOwnerReport = false
		}
	}
}
