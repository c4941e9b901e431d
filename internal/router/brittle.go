package router

import (
	"maps"
	"slices"

	"fireflyshift/internal/gossip/gossippb"
)

// A brittle backend server fails if it has to reject more than a few requests per second because it is full, from all hosts
// together. It states that limit in its answers.

// brittleLimit is the state of a backend server that has stated a limit on rejected requests.
type brittleLimit struct {
	statedLimit
}

// observeBrittleLimit applies a statement that a backend server made to the host source.
func (r *Router) observeBrittleLimit(b *backend, s statement, source string) {
	if b.brittle == nil {
		if !s.limited() {
			return
		}
		b.brittle = &brittleLimit{statedLimit: newStatedLimit()}
		r.brittle[b.ID] = b
	}
	was, ok := r.observe(&b.brittle.statedLimit, s, source)
	if !ok || was.perSecond == s.perSecond {
		return
	}
	r.heartbeatPending = true
	if !s.limited() {
		r.emit(Note{What: "backend server is no longer brittle", Subject: b.ID, Detail: source, Age: r.now - s.heardAt})
		return
	}
	r.emit(Note{What: "backend server is brittle", Subject: b.ID, Age: r.now - s.heardAt,
		Detail: source + " rejects_per_second=" + formatRate(s.perSecond)})
}

// updateBrittleLimits forgets limits that ended a while ago.
func (r *Router) updateBrittleLimits() {
	for _, id := range slices.Sorted(maps.Keys(r.brittle)) {
		if b := r.brittle[id]; b.brittle.endedLongAgo(r.now) {
			b.brittle = nil
			delete(r.brittle, id)
		}
	}
}

func (b *backend) brittleStatement() *statedLimit { return &b.brittle.statedLimit }

// ownBrittleLimits returns the statements that backend servers have made to this host, for its heartbeats.
func (r *Router) ownBrittleLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.brittle, (*backend).brittleStatement, toThisHost)
}

// zoneBrittleLimits returns the statements made to hosts of this zone, for other zones.
func (r *Router) zoneBrittleLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.brittle, (*backend).brittleStatement, toThisZone)
}

// applyBrittleLimits merges the statements that another host reports.
func (r *Router) applyBrittleLimits(from string, list []*gossippb.RateLimit) {
	r.applyStatements(list, func(b *backend, s statement) { r.observeBrittleLimit(b, s, from) })
}
