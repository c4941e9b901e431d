package router

import (
	"slices"
	"time"

	"fireflyshift/internal/admission"
)

// scheduleWithQueues is schedule where owners have admission queues. As long as this host's view shows a healthy server with a free
// slot, the owner of that server is asked for it; otherwise an owner is asked to queue the request.
func (r *Router) scheduleWithQueues(q *request) {
	if q.patienceEnds == 0 {
		q.patienceEnds = r.patienceEnd(q)
	}
	r.serveQueue(q.service) // a free slot goes to those that wait first
	c := r.selectWithOwners(q)
	if c.backend != nil && r.takesAtOnce(q, c) {
		r.countOwnGrant(q, c.backend)
		r.requestSlotOrSend(q, c)
		return
	}
	if owner, worst := r.queueOwner(q); owner != "" {
		r.askToQueue(q, owner, worst)
		return
	}
	if c.backend == nil && r.sendDespiteOwners(q) {
		return
	}
	if c.backend == nil || q.queueRefused {
		r.borrowOrRefuse(q, r.refusalBasis(q))
		return
	}
	// The last resort of a small fleet, a server that this host itself suspects, is one that owners are asked to avoid.
	lastResort := !r.largeFleet() && c.class > classDoubtful
	if lastResort || !r.mayAskInTime(q, r.ownerOf(c.backend)) {
		q.decideLocally = true
	}
	r.requestSlotOrSend(q, c)
}

// sendDespiteOwners sends a request by this host's own view if owners have no server that they would grant it, but none is full: all
// are suspected by some host. In a small fleet one owner may have them all, and its refusal would leave the others idle.
func (r *Router) sendDespiteOwners(q *request) bool {
	if r.largeFleet() || q.queueRefused || q.queueBasis.Cause != "" {
		return false
	}
	full := q.fullOwners
	q.fullOwners = nil
	c := r.selectInScope(q, scopeAll)
	q.fullOwners = full
	if c.backend == nil || c.basis.Full > 0 {
		return false
	}
	c.basis.ViewAge = r.oldestHeartbeatAge()
	r.send(q, c.backend, c.basis)
	return true
}

// selectWithOwners chooses a backend server by this host's view, in a large fleet first in its own zone.
func (r *Router) selectWithOwners(q *request) selection {
	if r.largeFleet() {
		c := r.selectInScope(q, scopeZone)
		if c.backend != nil && c.class == classHealthy && c.basis.InFlight < c.backend.Slots {
			return c
		}
	}
	return r.selectInScope(q, scopeAll)
}

// takesAtOnce reports whether a request goes to the selected backend server without waiting: there is a free slot in this host's
// view, and its owner is asked for it or cannot be asked. Servers of which hosts have shares are not granted by owners.
func (r *Router) takesAtOnce(q *request, c selection) bool {
	if !r.ownerGrants(c.backend) {
		return true
	}
	if c.class != classHealthy || c.basis.InFlight >= max(1, c.backend.Slots) {
		return false
	}
	owner := r.ownerOf(c.backend)
	alone := owner == "" || owner == r.opt.Host || slices.Contains(q.lostOwners, owner) || !r.canAsk(owner)
	return alone || r.mayAskInTime(q, owner)
}

// mayAskInTime is mayAsk for a request that may have waited: the reply must come within its patience.
func (r *Router) mayAskInTime(q *request, owner string) bool {
	return r.mayAsk(q, owner) && (q.queueBasis.Waited == 0 || r.now+ownerCallTimeout+patienceLead < q.patienceEnds)
}

// ownerGrants reports whether slots of a backend server are granted by its owner. At the others few hosts have shares.
func (r *Router) ownerGrants(b *backend) bool {
	if b.cold(r.now) || b.rateLimited() {
		return false
	}
	return !r.queueing() || r.largeFleet() || !r.isBrittle(b)
}

// mayWait reports whether a request may wait at an owner's queue: the time that its caller allows, the bodies that wait already and
// the number of owners that were asked permit it.
func (r *Router) mayWait(q *request) bool {
	if q.queueAsks >= maxQueueAsks || r.now+minQueuePatience > q.patienceEnds {
		return false
	}
	if r.queuedCalls.bytes+q.BodyBytes > maxWaitingBytes {
		q.queueBasis.Cause = admission.QueueFull
		return false
	}
	return true
}

// couldWait reports whether a request that is about to be dispatched again could wait at an owner.
func (r *Router) couldWait(q *request) bool {
	if !r.queueing() {
		return false
	}
	next := *q
	next.resetWait()
	next.patienceEnds = r.patienceEnd(q)
	owner, _ := r.queueOwner(&next)
	return owner != ""
}

// queueOwner returns the owner to ask to queue a request, or "", and the least trusted class of backend servers that it may grant.
// The first is of this zone if there is one, the last of another if possible; among these it is the one with the shortest wait.
func (r *Router) queueOwner(q *request) (string, class) {
	if !r.mayWait(q) {
		return "", classHealthy
	}
	s := r.newSelector(q, scopeAll)
	worst, best := classDoubtful, queueChoice{}
	var seen []string
	for _, b := range r.backendsOf(q.service) {
		c := s.classOf(b, b.removed)
		if c > classDoubtful || !r.mayQueueFor(q, b) {
			continue
		}
		owner := r.ownerOf(b)
		if !r.mayQueueAt(q, owner) {
			continue
		}
		if c <= classSlow {
			worst = classSlow
		}
		if slices.Contains(seen, owner) {
			continue
		}
		seen = append(seen, owner)
		n := queueChoice{owner: owner, wait: r.reportedWait(owner, q.service)}
		if remote := owner != r.opt.Host && r.ownerZone(owner) != r.opt.Zone; remote != (q.queueAsks == maxQueueAsks-1) {
			n.order = 1
		}
		best = r.betterChoice(best, n)
	}
	return best.owner, worst
}

// queueChoice is an owner that may queue a request. Those of lower order are asked first, then those with the shortest wait, and
// ties are broken at random: count is the number of ties so far.
type queueChoice struct {
	owner string
	order int
	wait  time.Duration
	count int
}

func (r *Router) betterChoice(a, b queueChoice) queueChoice {
	b.count = 1
	switch {
	case a.owner == "" || b.order < a.order || b.order == a.order && b.wait < a.wait:
		return b
	case b.order > a.order || b.wait > a.wait:
		return a
	}
	a.count++
	if r.rng.IntN(a.count) == 0 {
		b.count = a.count
		return b
	}
	return a
}

// mayQueueFor reports whether a request may wait for a slot at a backend server. Cold, rate-limited and brittle servers have shares
// of their own.
func (r *Router) mayQueueFor(q *request, b *backend) bool {
	return r.assignable(q, b) && !r.isBrittle(b) && !slices.Contains(q.tried, b.ID)
}

// mayQueueAt reports whether an owner may be asked to queue a request.
func (r *Router) mayQueueAt(q *request, owner string) bool {
	if slices.Contains(q.queueOwners, owner) || slices.Contains(q.lostOwners, owner) {
		return false
	}
	return owner == r.opt.Host || r.canAsk(owner)
}
