package router

import (
	"encoding/binary"
	"fmt"
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
	// ownerAge is how long a host must have run to own backend servers: one that has just started has not
	// heard from its zone mates what they carry, and takes every engine for idle.
	ownerAge = 1500 * time.Millisecond
	// ownerAgeLeast is enough where no host of the zone is older: all have started together, and whoever
	// owns an engine hears of each request there from the first one on.
	ownerAgeLeast = 300 * time.Millisecond
	// occupancyEvery is the period at which owners tell their zone what their backend servers carry. It only
	// decides which owner is asked first: the owner itself knows.
	occupancyEvery = 250 * time.Millisecond
	// occupancyStale is when an owner's word no longer counts: four periods.
	occupancyStale = time.Second
	// speedsEvery is how many of an owner's words pass between two that tell speeds.
	speedsEvery = 4
)

// trust is how an owner has answered this host.
type trust struct {
	// misses are questions in a row without an answer; until muteUntil it is not asked because of them.
	misses    int
	muteUntil time.Duration
	// fullAt is when it last had no place, by priority.
	fullAt [priorities]time.Duration
}

// trustOf is how an owner has answered so far.
func (r *Router) trustOf(owner string) *trust {
	t, ok := r.owners.trust[owner]
	if !ok {
		t = &trust{}
		for p := range t.fullAt {
			t.fullAt[p] = -fullFresh
		}
		r.owners.trust[owner] = t
	}
	return t
}

// ownerState is who owns the backend servers of this zone. Ownership is computed by each host from those
// that it hears. It grants nothing: where two hosts disagree for a moment, some requests are placed by an
// older belief, as if the host had decided alone.
type ownerState struct {
	valid bool
	// byShard are the owners' IP numbers; empty where no host has run for long enough.
	byShard []string
	// owned is how many shards this host owns.
	owned int
	// tellAt is when this host next tells what its backend servers carry, and told counts its words.
	tellAt time.Duration
	told   int
	trust  map[string]*trust
	// knownUntil is until when owners of other zones know this host by its last beat.
	knownUntil map[string]time.Duration
}

func newOwnerState() ownerState {
	return ownerState{trust: map[string]*trust{}, knownUntil: map[string]time.Duration{}}
}

// sharing tells whether backend servers have owners that are asked for places. In a small fleet every host
// tells each change to all others instead; with 50 hosts a zone that took a thousand datagrams a second on
// each.
func (r *Router) sharing() bool { return r.relaying() }

// ownerOf is the host that owns a backend server; empty where none is known. Other zones name theirs in their
// sums.
func (r *Router) ownerOf(b *backend) string {
	if !r.sharing() {
		return ""
	}
	if b.Zone != r.opt.Zone {
		z, ok := r.zones.sums[b.Zone]
		if !ok || z.stale || len(z.owners) == 0 {
			return ""
		}
		return z.owners[b.hash%uint32(len(z.owners))]
	}
	return r.ownShards()[b.hash%uint32(len(r.owners.byShard))]
}

// ownShards are the owners of this zone's backend servers.
func (r *Router) ownShards() []string {
	if !r.owners.valid {
		r.computeOwners()
	}
	return r.owners.byShard
}

// outOfReach tells that another zone's owner does not answer: its zone is most likely cut off.
func (r *Router) outOfReach(b *backend) bool {
	if b.Zone == r.opt.Zone {
		return false
	}
	owner := r.ownerOf(b)
	return owner != "" && !r.answers(owner)
}

func (r *Router) owns(b *backend) bool { return r.ownerOf(b) == r.opt.Host }

// computeOwners divides the zone's backend servers into a power of two of shards, so that the number seldom
// changes, and finds each shard's owner by rendezvous hashing over the hosts that live and stay.
func (r *Router) computeOwners() {
	n := 0
	for _, b := range r.allBackends() {
		if b.Zone == r.opt.Zone && !b.removed {
			n++
		}
	}
	shards := 1 << bits.Len(uint(n/shardSize))
	r.owners.valid = true
	if len(r.owners.byShard) != shards {
		r.owners.byShard = make([]string, shards)
	}
	owned := r.owners.owned
	r.owners.owned = 0
	for s := range r.owners.byShard {
		owner := r.shardOwner(uint64(s), ownerAge)
		if owner == "" {
			owner = r.shardOwner(uint64(s), ownerAgeLeast)
		}
		r.owners.byShard[s] = owner
		if owner == r.opt.Host {
			r.owners.owned++
		}
	}
	if r.owners.owned != owned {
		r.emit(Note{What: "owns backend servers", Detail: fmt.Sprintf("%d of %d shards", r.owners.owned, shards)})
	}
	for _, b := range r.allBackends() {
		if b.fromOwner && b.Zone == r.opt.Zone && r.owns(b) {
			b.fromOwner = false
		}
	}
}

// shardOwner is the owner among hosts that have run for so long; empty where there is none.
func (r *Router) shardOwner(shard uint64, age time.Duration) string {
	var owner string
	var best uint64
	consider := func(host string) {
		if v := shardRank(host, shard); owner == "" || v > best {
			owner, best = host, v
		}
	}
	if r.drain == nil && r.now >= age {
		consider(r.opt.Host)
	}
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if m.zone == r.opt.Zone && !m.silent && !m.leaving && r.now-m.bornAt >= age {
			consider(h)
		}
	}
	return owner
}

// shardRank mixes a host with a shard, so that each shard orders the hosts in its own way.
func shardRank(host string, shard uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(host))
	binary.LittleEndian.PutUint64(key[8:], shard)
	return xxhash.Sum64(key[:])
}

// tellOccupancy tells the zone what this host's backend servers carry.
func (r *Router) tellOccupancy() {
	if !r.sharing() || r.now < r.owners.tellAt {
		return
	}
	r.owners.tellAt = r.now + occupancyEvery
	o := &gossippb.Occupancy{}
	speeds := r.owners.told%speedsEvery == 0
	for _, b := range r.allBackends() {
		if b.removed || !r.owns(b) {
			continue
		}
		o.Loads = append(o.Loads, b.carried().message(b.hash))
		if speeds && b.samples > 0 {
			o.Speeds = append(o.Speeds, b.speedMessage())
		}
	}
	if len(o.Loads) == 0 {
		return
	}
	o.Failing = r.failingOf(r.owns)
	r.owners.told++
	r.emit(Send{To: r.zoneMates(), Packet: &gossippb.Packet{Occupancy: o}})
}

// carried is what a backend server is believed to carry, requests of all hosts together.
func (b *backend) carried() load {
	all := b.believedOthers()
	all.add(b.own)
	return all
}

// takeOccupancy takes an owner's word of what its backend servers carry.
func (r *Router) takeOccupancy(from string, o *gossippb.Occupancy) {
	r.takeOwnersWords(o.Loads)
	r.takeOwnersFailing(o.Failing)
	for _, s := range o.Speeds {
		if b, ok := r.byHash[s.Backend]; ok && r.ownerOf(b) == from {
			b.takeSpeed(s)
		}
	}
}

// takeOwnersWords takes what an owner says of several backend servers.
func (r *Router) takeOwnersWords(list []*gossippb.Load) {
	for _, l := range list {
		if b, ok := r.byHash[l.Backend]; ok {
			r.takeOwnersWord(b, loadOf(l))
		}
	}
}

// takeOwnersWord replaces what is believed of others' requests at a backend server. This host's own ones
// are in the owner's word too.
func (r *Router) takeOwnersWord(b *backend, all load) {
	if r.owns(b) {
		return
	}
	for p := range all.counts {
		all.counts[p] = max(0, all.counts[p]-b.own.counts[p])
	}
	all.unread = max(0, all.unread-b.own.unread)
	b.fromOwner, b.ownersWord, b.ownersWordAt = true, all, r.now
}

// expireOccupancy goes back to what the other hosts' beats say where an owner has fallen silent.
func (r *Router) expireOccupancy() {
	for _, b := range r.allBackends() {
		if b.fromOwner && r.now-b.ownersWordAt > occupancyStale {
			b.fromOwner = false
		}
	}
}
