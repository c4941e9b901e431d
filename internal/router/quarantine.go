package router

import (
	"slices"
	"time"

	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
)

// trialTimeout is how long the outcome of a trial is awaited before the same request may be tried again.
const trialTimeout = 15 * time.Second

// checkQuarantine reports whether a request is kept from backend servers, and for how long. One host of the fleet
// lets it run from time to time, as an innocent request would otherwise be refused for a day.
func (r *Router) checkQuarantine(q *request) (time.Duration, bool) {
	if q.onTrial || r.suspects.ledger.Empty() {
		return 0, false
	}
	blamed := r.blamedFor(q)
	if len(blamed) == 0 {
		return 0, false
	}
	wait := time.Second
	for _, c := range blamed {
		wait = max(wait, c.TrialAt()-r.now)
	}
	if c := blamed[0]; len(blamed) == 1 && q.attempt == 0 && r.runsTrial(c.Digest) && r.suspects.ledger.TakeTrial(r.now, c, trialTimeout) {
		q.onTrial = true
		r.emit(Note{What: c.Kind.String() + " on trial", Subject: c.Digest.String(), Detail: c.Workspace})
		return 0, false
	}
	return wait, true
}

// blamedFor returns the cases for which a request is kept from backend servers: its own, and those of parts of its prompt once
// its service is chosen.
func (r *Router) blamedFor(q *request) []*quarantine.Case {
	var blamed []*quarantine.Case
	if c := r.suspects.ledger.Blamed(q.Digest); c != nil {
		blamed = append(blamed, c)
	}
	if q.service == "" {
		return blamed
	}
	for _, d := range r.suspects.runs.PartsAt(q.service, q.Parts) {
		if c := r.suspects.ledger.Blamed(d); c != nil {
			blamed = append(blamed, c)
		}
	}
	return blamed
}

// endTrial ends a trial without a completed run.
func (r *Router) endTrial(q *request) {
	q.onTrial = false
	for _, c := range r.blamedFor(q) {
		r.suspects.ledger.DelayTrial(r.now, c)
	}
}

// withdrawQuarantined aborts the calls of requests that are now kept from backend servers and have had no event yet: a backend
// server drops a request that it has not begun when its connection closes.
func (r *Router) withdrawQuarantined() {
	var ids []uint64
	for id, q := range r.requests {
		waits := q.slotCall != nil && q.slotCall.queuedCall != nil // at no backend server
		if q.backend != nil && !waits && !q.begun && !q.onTrial && q.Route.Kind == routing.Streaming && len(r.blamedFor(q)) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := r.requests[id]
		q.withdrawn = true
		r.emit(Abort{ID: id, Attempt: q.attempt})
	}
}

// runsTrial reports whether this host runs the trials of a quarantined request: the first by rendezvous hashing in
// the first reachable zone. While views differ there may be two such hosts.
func (r *Router) runsTrial(d quarantine.Digest) bool {
	role := "tries " + d.String()
	mine := roleScore(r.opt.Zone, role)
	for _, zone := range r.otherZones() {
		if !r.zoneUnreachable(zone) && roleScore(zone, role) < mine {
			return false
		}
	}
	return r.hasRole(role, 1)
}

// refuseQuarantined ends a quarantined request. It is reported as refused only if it has not run.
func (r *Router) refuseQuarantined(q *request, retryAfter time.Duration) {
	r.finish(q)
	if q.ran {
		r.emit(GiveUp{ID: q.ID, Cause: Quarantined, DeliverFailure: true})
		return
	}
	r.emit(Refuse{ID: q.ID, Cause: Quarantined, RetryAfter: retryAfter, Basis: r.basis()})
}
