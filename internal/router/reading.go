package router

import (
	"math"
	"slices"
	"time"
)

const (
	// readersPerZone is the number of hosts of a zone that read the platform's store in a large fleet.
	readersPerZone = 3
	// minReaders is the number of other hosts of the zone that must be in contact with the store for a host to rely
	// on them, and readersTimeout how long it waits for them. With storeContactTTL, a zone whose readers
	// all lose the store at once learns of a change within three seconds.
	minReaders     = 2
	readersTimeout = 400 * time.Millisecond
	// maxListingDuration is how long a host that is listing the store counts as about to be in contact with it.
	maxListingDuration = 2 * time.Second
	// storeContactTTL is how long after the store's latest answer a host counts as in contact with it: a
	// watch without changes is answered sooner.
	storeContactTTL = 2200 * time.Millisecond
	// maxStartDelay is the longest time that a starting host waits for peers before it reads the store: if there are many,
	// they have the data already.
	maxStartDelay = 250 * time.Millisecond
)

// firstRead chooses when a starting host reads the store. If all hosts start together, as after a power
// failure, some must read first and the others get the data from them: a seed reads at once, as all
// hosts contact it, and the others wait for a random time. When all waited maxStartDelay, requests of a quarter of a
// second were refused for lack of a configuration. The square root makes early reads rare in a fleet of hundreds whose
// seeds are down.
func (r *Router) firstRead() time.Duration {
	if slices.Contains(r.opt.Seeds, r.opt.Host) {
		return 0
	}
	return time.Duration(math.Sqrt(r.rng.Float64()) * float64(maxStartDelay))
}

// updateReading turns reading of the store on or off: on everywhere in a small fleet; in a large one on the hosts with
// that role in each zone. If too few of these are in contact with the store, or about to be, they may be cut off from it, and
// readerGrowth times as many read after each readersTimeout. Not all at once: if all hosts of a large zone listed the store
// together, it would cost more than the readers do in a day.
func (r *Router) updateReading() {
	if !r.zones.readingDecided && r.now < r.zones.firstRead {
		return
	}
	others, listing := 0, 0
	for _, h := range r.zonePeers() {
		switch m := r.members.byHost[h]; {
		case m.leaving:
		case m.readsStore:
			others++
		case m.listsStore:
			listing++
		}
	}
	if others+listing >= minReaders {
		r.zones.readersSeenAt = r.now
	}
	on := !r.largeFleet() || r.hasRole("reads the store", r.readerCount())
	if r.updates.reading && r.zones.readingDecided && others < readersPerZone {
		on = true // until others have taken over
	}
	shared := on && r.largeFleet()
	if on == r.updates.reading && shared == r.zones.shared && r.zones.readingDecided {
		return
	}
	if on && !r.updates.reading {
		r.updates.listedAt, r.updates.storeFailed = r.now, false
	}
	r.zones.readingDecided = true
	r.zones.shared = shared
	r.updates.reading = on
	if !on {
		r.updates.storeLost = true
	}
	r.emit(ReadStore{on, shared})
	r.emit(Note{What: "reads the store", Detail: onOff(on)})
}

// readerCount is the number of hosts of the zone that should read the store now.
func (r *Router) readerCount() int {
	n := readersPerZone
	for rounds := (r.now - r.zones.readersSeenAt) / readersTimeout; rounds > 0 && n < maxReaders; rounds-- {
		n *= readerGrowth
	}
	return n
}

const (
	// readerGrowth is the factor by which readers increase after each readersTimeout, and maxReaders exceeds the size of any
	// zone. With a factor of two, a zone whose next readers are cut off too would wait for seconds.
	readerGrowth = 8
	maxReaders   = 1 << 12
)

// listingStore reports whether this host has begun to read the store and awaits its first answer.
func (r *Router) listingStore() bool {
	return r.updates.reading && r.updates.storeLost && !r.updates.storeFailed && r.now-r.updates.listedAt < maxListingDuration
}

// storeAnswers reports whether the store has answered this host within storeContactTTL.
func (r *Router) storeAnswers() bool {
	return r.updates.reading && !r.updates.storeLost && r.now-r.updates.storeAnsweredAt < storeContactTTL
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}
