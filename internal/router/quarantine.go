package router

import (
	"time"

	"fireflyshift/internal/quarantine"
)

// trialTimeout is how long another trial of the same request waits for the outcome of one.
const trialTimeout = 15 * time.Second

// checkQuarantine tells whether a request is kept from backend servers, and for how long. One host of the fleet lets it run now
// and then: an innocent one would otherwise be refused for a day.
func (r *Router) checkQuarantine(q *request) (time.Duration, bool) {
	if q.Digest.Zero() || q.onTrial {
		return 0, false
	}
	c := r.suspects.ledger.Blamed(q.Digest)
	if c == nil {
		return 0, false
	}
	if q.attempt == 0 && r.runsTrial(c.Digest) && r.suspects.ledger.TakeTrial(r.now, c, trialTimeout) {
		q.onTrial = true
		r.emit(Note{What: "request on trial", Subject: c.Digest.String(), Detail: c.Workspace})
		return 0, false
	}
	return max(time.Second, c.TrialAt()-r.now), true
}

// runsTrial tells whether this host is the one to let a request in quarantine run: the first of the first zone, among
// those that are heard. Views that differ for a moment make it two.
func (r *Router) runsTrial(d quarantine.Digest) bool {
	purpose := "tries " + d.String()
	mine := roleScore(r.opt.Zone, purpose)
	for _, zone := range r.otherZones() {
		if !r.zoneUnreachable(zone) && roleScore(zone, purpose) < mine {
			return false
		}
	}
	return r.hasRole(purpose, 1)
}

// refuseQuarantined ends a request that is in quarantine: truly as not run where it has not.
func (r *Router) refuseQuarantined(q *request, back time.Duration) {
	r.finish(q)
	if q.ran {
		r.emit(GiveUp{ID: q.ID, Cause: Quarantined, DeliverFailure: true})
		return
	}
	r.emit(Refuse{ID: q.ID, Cause: Quarantined, RetryAfter: back, Basis: r.grounds()})
}
