package router

import (
	"time"
)

const (
	// maxHoldOff limits a requested hold-off: a server that asks for a year has most likely restarted under another ID by then.
	maxHoldOff = 24 * time.Hour
	// holdOffJitter is the fraction of the hold-off, and maxHoldOffJitter the longest time, that is added at random, so that
	// a server that has just recovered does not get the requests of all hosts at the same moment.
	holdOffJitter    = 0.25
	maxHoldOffJitter = time.Second
)

// handleAnnouncement applies what a backend server has announced in an answer. Its registration may disagree for a long time: it
// is written through the store, which may be unavailable, and is read later. So the announcement holds for that start of the
// server, whatever a registration of it contains afterwards.
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
	if e.RateLimit != nil {
		r.observeRateLimit(b, r.ownStatement(e.RateLimit), r.opt.Host)
	}
	if e.BrittleLimit != nil {
		r.observeBrittleLimit(b, r.ownStatement(e.BrittleLimit), r.opt.Host)
	}
}

// markLeaving records that a backend server is about to shut down, as reported by the host that received the announcement.
func (r *Router) markLeaving(b *backend, source string) {
	if b.leaving {
		return
	}
	b.leaving = true
	r.heartbeatPending = true // others must learn at once: the server exits soon, along with the requests they still send there
	r.emit(Note{What: "backend server announces that it is leaving", Subject: b.ID, Detail: source})
}

// holdOff keeps this host's requests from a backend server for a time. Afterwards it gets one request at a time until
// it answers.
func (r *Router) holdOff(b *backend, d time.Duration) {
	jitter := time.Duration(r.rng.Float64() * min(holdOffJitter*float64(d), float64(maxHoldOffJitter)))
	until := r.now + d + jitter
	if until <= b.holdOffUntil {
		return
	}
	b.holdOffUntil = until
	b.avoidUntil = max(b.avoidUntil, until)
	r.emit(Note{What: "backend server requests hold-off", Subject: b.ID, Detail: d.String()})
}

// ownLeaving returns the backend servers that have announced to this host that they are leaving.
func (r *Router) ownLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.announcedLeaving })
}

// zoneLeaving returns all backend servers that this host knows to be leaving, for other zones.
func (r *Router) zoneLeaving() []uint32 {
	return r.leavingOf(func(b *backend) bool { return b.leaving })
}

func (r *Router) leavingOf(match func(*backend) bool) []uint32 {
	return r.hashesOf(func(b *backend) bool { return match(b) && !b.replaced })
}

// applyLeaving merges another host's report of backend servers that are leaving.
func (r *Router) applyLeaving(from string, hashes []uint32) {
	for _, hash := range hashes {
		if b, ok := r.byHash[hash]; ok {
			r.markLeaving(b, from)
		}
	}
}

// holdOffEnd returns the earliest end of a hold-off among the backend servers of a service, or zero if none holds off.
func (r *Router) holdOffEnd(service string) time.Duration {
	var at time.Duration
	for _, b := range r.backendsOf(service) {
		if b.excluded(r.now) == holdingOff && !b.removed && (at == 0 || b.holdOffUntil < at) {
			at = b.holdOffUntil
		}
	}
	return at
}
