package router

import (
	"math"
	"slices"
	"time"
)

const (
	// readersPerZone are the hosts of a zone that read the platform's store, where zones relay.
	readersPerZone = 3
	// minReaders of the other hosts of a zone must be in contact with the store for a host to rely
	// on them, and readAlone is how long it waits for them. With contactFresh, a zone whose readers
	// are all cut off from the store at once hears of a change within three seconds.
	minReaders     = 2
	readersTimeout = 400 * time.Millisecond
	// maxListingDuration is how long a host that lists the store counts as one that is about to be in contact.
	maxListingDuration = 2 * time.Second
	// storeContactTTL is how old the store's latest answer may be for a host to count as in contact: a
	// watch that hears nothing is answered sooner.
	storeContactTTL = 2200 * time.Millisecond
	// maxStartDelay is how long a starting host listens for peers at most before it reads the store: where
	// there are many, they have the news already.
	maxStartDelay = 250 * time.Millisecond
)

// firstRead draws when a starting host reads the store. Where all hosts start together, as after a loss of
// power, somebody has to read first, and all others get the news from it: a host that is named as a seed
// reads at once, as everybody greets it, and the others wait for it at unlike times. Before, all waited
// startWait, and refused a quarter of a second's requests for want of a configuration. The root makes early
// reads rare in a fleet of hundreds whose seeds are down.
func (r *Router) firstRead() time.Duration {
	if slices.Contains(r.opt.Seeds, r.opt.Host) {
		return 0
	}
	return time.Duration(math.Sqrt(r.rng.Float64()) * float64(maxStartDelay))
}

// updateReading turns the reading of the store on or off: on everywhere in a small fleet; in a large
// one on the first hosts of each zone. Where too few of these are in contact with the store, or about to be, as they may be
// cut off from it, several times as many read after each readAlone: all hosts of a large zone that listed the store at once
// cost more than the readers do in a day.
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
		r.updates.listedAt, r.updates.failed = r.now, false
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

// readerCount is how many hosts of the zone read the store by now.
func (r *Router) readerCount() int {
	n := readersPerZone
	for rounds := (r.now - r.zones.readersSeenAt) / readersTimeout; rounds > 0 && n < maxReaders; rounds-- {
		n *= readerGrowth
	}
	return n
}

const (
	// readerGrowth is how many times more hosts read after each readAlone, and maxReaders more than any zone has. With twice as
	// many a zone whose next readers are cut off too would wait for seconds.
	readerGrowth = 8
	maxReaders   = 1 << 12
)

// listingStore tells that this host has begun to read the store, which has neither answered nor failed yet.
func (r *Router) listingStore() bool {
	return r.updates.reading && r.updates.storeLost && !r.updates.failed && r.now-r.updates.listedAt < maxListingDuration
}

// storeAnswers tells whether the store has lately answered this host.
func (r *Router) storeAnswers() bool {
	return r.updates.reading && !r.updates.storeLost && r.now-r.updates.storeAnsweredAt < storeContactTTL
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}
