package router

import (
	"time"

	"fireflyshift/internal/routing"
)

const (
	// streamWaitShare is the part of the time until a stream's caller leaves after which a grant is no longer of use. The rest covers the way of the request and
	// the variation of the time to its first event.
	streamWaitShare = 0.7
	// plainPatienceTargets limits the wait of a call that is not a stream, in target latencies.
	plainPatienceTargets = 4
	// patienceDivisor limits each wait to half of the time left to the deadline: the request has to run too.
	patienceDivisor = 2

	// A caller that allows returningMargin less than the longest time that callers of its route have allowed within two periods of
	// allowedPeriod was probably refused before and has returned.
	returningMargin = 100 * time.Millisecond
	allowedPeriod   = 10 * time.Second
	// maxAllowedRoutes bounds the routes for which that is recorded, as the names of routes that are gone stay. Beyond it the record
	// starts anew, and for ten seconds returning callers count as new.
	maxAllowedRoutes = 8192
)

// patienceEnd returns the time after which a slot is of no use to a request's caller. For a request that has run it counts from now,
// as the caller has had an answer or part of one.
func (r *Router) patienceEnd(q *request) time.Duration {
	from := q.receivedAt
	if q.ran {
		from = r.now
	}
	patience := (q.Deadline - from) / patienceDivisor
	target := q.Route.Target
	switch {
	case q.Route.Kind == routing.Streaming:
		patience = min(patience, time.Duration(streamWaitShare*float64(q.Route.CallerTimeout()))-r.expectedPrefill(q))
	case target > 0:
		patience = min(patience, plainPatienceTargets*target)
	}
	return from + max(0, patience)
}

// expectedPrefill is the time that an engine of the request's service needs for its prompt.
func (r *Router) expectedPrefill(q *request) time.Duration {
	if q.Route.Kind != routing.Streaming {
		return 0
	}
	return time.Duration(max(0, q.PromptTok)) * r.serviceState(q.service).expectedPrefillPerToken()
}

// timeToTarget returns how long a request may still wait for a slot and have its first event, or its answer, within the target
// latency of its route. It is not positive if that has passed, and the time to the deadline if the route has no target.
func (r *Router) timeToTarget(q *request) time.Duration {
	if q.Route.Target <= 0 {
		return q.Deadline - r.now
	}
	return q.receivedAt + q.Route.Target - r.now
}

// occupation predicts the time that a request occupies its engine.
func (r *Router) occupation(q *request) time.Duration {
	svc := r.serviceState(q.service)
	if q.Route.Kind != routing.Streaming {
		return svc.expectedEventInterval()
	}
	events := svc.expectedStreamLength()
	if r.table != nil {
		if s := r.table.Service(q.service); s != nil && s.TokensPerEvent > 0 && q.OutputTok > 0 {
			events = float64(q.OutputTok) / float64(s.TokensPerEvent)
		}
	}
	return r.expectedPrefill(q) + time.Duration(min(events, maxEvents)*float64(svc.expectedEventInterval()))
}

// usualOccupation is the mean time that a request of the service occupies its engine.
func (r *Router) usualOccupation(service string) time.Duration {
	svc := r.serviceState(service)
	if r.table != nil {
		if s := r.table.Service(service); s != nil && !s.Model {
			return svc.expectedEventInterval()
		}
	}
	return time.Duration(svc.expectedStreamLength() * float64(svc.expectedEventInterval()))
}

// allowedTimes are the longest times that callers of a route have allowed, in the present period and the one before.
type allowedTimes struct {
	since             time.Duration
	longest, previous time.Duration
}

func (t *allowedTimes) note(now, allowed time.Duration) {
	if elapsed := now - t.since; elapsed >= allowedPeriod {
		t.previous = t.longest
		if elapsed >= 2*allowedPeriod {
			t.previous = 0
		}
		t.longest, t.since = 0, now
	}
	t.longest = max(t.longest, allowed)
}

// noteAllowed records the time that a request's caller allows, and whether the caller has probably returned after a refusal.
func (r *Router) noteAllowed(q *request) {
	if !r.queueing() && !r.opt.Balancing.EarlySpill {
		return
	}
	allowed := q.Allowed
	if allowed <= 0 {
		allowed = q.Deadline - r.now
	}
	t, ok := r.allowed[q.Route.Name]
	if !ok {
		if len(r.allowed) >= maxAllowedRoutes {
			clear(r.allowed)
		}
		t = &allowedTimes{since: r.now}
		r.allowed[q.Route.Name] = t
	}
	t.note(r.now, allowed)
	q.returning = allowed <= max(t.longest, t.previous)-returningMargin
}
