package router

import (
	"slices"
	"time"
)

// sameMoment is how soon one after the other connections are refused if a lost path is the common cause.
const sameMoment = 500 * time.Millisecond

// refusal is a connection that a backend server refused after an answer from it broke off. It proves the end of the server only if
// this host reaches the others of its service: a lost path refuses connections too.
type refusal struct {
	backend *backend
	at      time.Duration
	// doubted is set if a lost path could be the cause. askedAgainAt is when the backend server was probed again after this host
	// had reached another of its service; zero until then.
	doubted      bool
	askedAgainAt time.Duration
}

// refusedAfterBreak records a refusal until it is known what it proves.
func (r *Router) refusedAfterBreak(b *backend) {
	s := r.reachOf(b.Service)
	if !slices.ContainsFunc(s.refusals, func(f refusal) bool { return f.backend == b }) {
		s.refusals = append(s.refusals, refusal{backend: b, at: r.now})
	}
	r.evaluateReach(b.Service, s)
}

// awaitsSurvey reports whether a refusal is later than the latest survey.
func (s *serviceReach) awaitsSurvey() bool {
	return !s.lost && len(s.refusals) > 0 && s.refusals[len(s.refusals)-1].at > s.surveyAt
}

// resolveRefusals decides what refusals prove: nothing if they may be due to a lost path, otherwise the end of the backend server, as
// soon as a survey has shown that others are reached, or after surveyTimeout. An end that is not recorded here still is when the
// registration is removed or replaced.
func (r *Router) resolveRefusals(service string, s *serviceReach, c reachCounts) {
	if len(s.refusals) == 0 {
		return
	}
	pending := s.refusals
	s.refusals = nil
	alone := c.all <= 1 || !r.hasReachablePeer()
	for _, f := range pending {
		surveyed := !s.surveying && f.at <= s.surveyAt
		switch {
		case r.backends[f.backend.ID] != f.backend || !f.backend.reach.connectFails():
		case f.doubted || !alone && r.mayBeLostPath(service, f.backend.reach.failingSince):
			s.refusals = r.askDoubtedAgain(service, s.refusals, f)
		case alone || surveyed || r.now-f.at >= surveyTimeout:
			r.recordBackendEnd(f.backend)
		default:
			s.refusals = append(s.refusals, f)
		}
	}
}

// askDoubtedAgain decides on a refusal that a lost path could explain, and returns it appended to the pending ones unless it is
// settled. Once this host reaches the service again, the one that refused is probed again, and has ended if it still refuses.
func (r *Router) askDoubtedAgain(service string, pending []refusal, f refusal) []refusal {
	f.doubted = true
	if r.now-f.at > endConfirmWindow {
		return pending
	}
	reach := &f.backend.reach
	switch {
	case f.askedAgainAt > 0 && reach.failedAt > f.askedAgainAt && !reach.probing:
		r.recordBackendEnd(f.backend)
		return pending
	case f.askedAgainAt == 0 && r.reachedAgain(service, f.at+sameMoment):
		f.askedAgainAt = r.now
		r.requestProbe(f.backend)
	}
	return append(pending, f)
}

// reachedAgain reports whether a new connection to a backend server of a service has been made since a time, and connections to
// most of them do not fail: a path that is lost in part reaches some servers too.
func (r *Router) reachedAgain(service string, since time.Duration) bool {
	failing, reached, sample := 0, false, r.reachSample(service)
	for _, b := range sample {
		if b.reach.connectFails() {
			failing++
			continue
		}
		reached = reached || b.reach.connectedAt >= since
	}
	return reached && 2*failing < len(sample)
}

// mayBeLostPath reports whether connections to at least half of a service's backend servers, two or more, began to fail at about
// the given time, or to most of another service's.
func (r *Router) mayBeLostPath(service string, at time.Duration) bool {
	sample := r.reachSample(service)
	failing := 0
	for _, b := range sample {
		if b.reach.connectFails() && (b.reach.failingSince-at).Abs() < sameMoment {
			failing++
		}
	}
	if failing >= minLostBackends && 2*failing >= len(sample) {
		return true
	}
	for name, s := range r.reach.services {
		if name != service && s.lost && (s.cut || (s.lostSince-at).Abs() < sameMoment) {
			return true
		}
	}
	return false
}

// hasReachablePeer reports whether there is another host that could reach what this one does not.
func (r *Router) hasReachablePeer() bool {
	return slices.ContainsFunc(r.members.order, func(h string) bool { return !r.members.byHost[h].unreachable })
}
