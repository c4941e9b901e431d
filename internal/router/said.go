package router

import (
	"time"
)

const (
	// maxHoldOff bounds a time to stay away: a server that names a year has mostly started again by then, under another ID.
	maxHoldOff = 24 * time.Hour
	// holdOffJitter is the part of that time, and awaySpreadMost the longest, by which hosts come back at unlike moments, so that a
	// server which has just recovered is not met by all of them at once.
	holdOffJitter    = 0.25
	maxHoldOffJitter = time.Second
)

// handleAnnouncement takes what a backend server says of itself in an answer. Its registration may say otherwise for long: it is written
// through the store, which may be away, and read later. So what was heard holds for that start of the server, whatever a
// registration of it says afterwards.
func (r *Router) handleAnnouncement(e BackendAnnouncement) {
	b, ok := r.backends[e.ID]
	if !ok || b.Start != e.Start {
		return
	}
	if e.Leaving {
		b.announcedLeaving = true
		r.markLeaving(b, r.opt.Host)
	}
	if e.HoldOff > 0 {
		r.holdOff(b, min(e.HoldOff, maxHoldOff))
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

// holdOff keeps this host's requests from a backend server that wants none for a time. Afterwards it gets one at a time until
// it answers.
func (r *Router) holdOff(b *backend, d time.Duration) {
	jitter := time.Duration(r.rng.Float64() * min(holdOffJitter*float64(d), float64(maxHoldOffJitter)))
	until := r.now + d + jitter
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

func (r *Router) leavingOf(match func(*backend) bool) []uint32 {
	return r.hashesOf(func(b *backend) bool { return match(b) && !b.replaced })
}

// applyLeaving takes another host's word of backend servers that leave.
func (r *Router) applyLeaving(from string, hashes []uint32) {
	for _, hash := range hashes {
		if b, ok := r.byHash[hash]; ok {
			r.markLeaving(b, from)
		}
	}
}

// holdOffEnd is when the first backend server of a service that wants nothing for a time may be asked again; zero where there is
// none.
func (r *Router) holdOffEnd(service string) time.Duration {
	var at time.Duration
	for _, b := range r.backendsOf(service) {
		if b.excluded(r.now) == holdingOff && !b.removed && (at == 0 || b.holdOffUntil < at) {
			at = b.holdOffUntil
		}
	}
	return at
}
