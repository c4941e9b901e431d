package router

import (
	"time"
)

const (
	// awayMost bounds a time to stay away: a server that names a year has mostly started again by then, under another ID.
	awayMost = 24 * time.Hour
	// awaySpread is the part of that time, and awaySpreadMost the longest, by which hosts come back at unlike moments, so that a
	// server which has just recovered is not met by all of them at once.
	awaySpread     = 0.25
	awaySpreadMost = time.Second
)

// said takes what a backend server says of itself in an answer. Its registration may say otherwise for long: it is written
// through the store, which may be away, and read later. So what was heard holds for that start of the server, whatever a
// registration of it says afterwards.
func (r *Router) said(e BackendAnnouncement) {
	b, ok := r.backends[e.ID]
	if !ok || b.Start != e.Start {
		return
	}
	if e.Leaving {
		b.announcedLeaving = true
		r.markLeaving(b, r.opt.Host)
	}
	if e.HoldOff > 0 {
		r.stayAway(b, min(e.HoldOff, awayMost))
	}
}

// markLeaving notes that a backend server leaves, by the word of a host that has heard it.
func (r *Router) markLeaving(b *backend, by string) {
	if b.leaving {
		return
	}
	b.leaving = true
	r.heartbeatPending = true // others are told at once: it ends soon, with what they still send there
	r.emit(Note{What: "backend server says that it leaves", Subject: b.ID, Detail: by})
}

// stayAway keeps this host's requests from a backend server that wants none for a time. Afterwards it gets one at a time until
// it answers.
func (r *Router) stayAway(b *backend, d time.Duration) {
	spread := time.Duration(r.rng.Float64() * min(awaySpread*float64(d), float64(awaySpreadMost)))
	until := r.now + d + spread
	if until <= b.holdOffUntil {
		return
	}
	b.holdOffUntil = until
	b.avoidUntil = max(b.avoidUntil, until)
	r.emit(Note{What: "backend server wants nothing for a time", Subject: b.ID, Detail: d.String()})
}

// ownLeaving are the backend servers that have told this host that they leave.
func (r *Router) ownLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.announcedLeaving })
}

// zoneLeaving are those that this host knows of at all, for other zones.
func (r *Router) zoneLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.leaving })
}

func (r *Router) leavingOf(tell func(*backend) bool) []uint32 {
	return r.hashesOf(func(b *backend) bool { return tell(b) && !b.replaced })
}

// takeLeaving takes another host's word of backend servers that leave.
func (r *Router) takeLeaving(from string, hashes []uint32) {
	for _, hash := range hashes {
		if b, ok := r.byHash[hash]; ok {
			r.markLeaving(b, from)
		}
	}
}

// backAt is when the first backend server of a service that wants nothing for a time may be asked again; zero where there is
// none.
func (r *Router) backAt(service string) time.Duration {
	var at time.Duration
	for _, b := range r.backendsOf(service) {
		if b.excluded(r.now) == holdingOff && !b.removed && (at == 0 || b.holdOffUntil < at) {
			at = b.holdOffUntil
		}
	}
	return at
}
