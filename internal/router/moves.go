package router

import "slices"

// reservation is a place at a backend server for a request that is about to move there. It counts as load of this host. owner
// is the host that was told to count it, empty if there is none.
type reservation struct {
	backend *backend
	owner   string
}

// handleStalled decides whether a request whose backend server sends nothing moves to another one. It moves
// only if it may run again, another server has room and the retry budget allows it. No data may mean a cut or
// a crashed server, and callers abandon a stalled stream after a few seconds, but it may also mean a long queue.
// The place is reserved until the dispatch has ended, as the request must not lose both servers.
func (r *Router) handleStalled(id uint64) {
	q, ok := r.requests[id]
	if !ok || q.backend == nil {
		r.emit(StallDecision{ID: id})
		return
	}
	if !q.retryPaid && q.Route.Repeatable() && q.runs < q.Route.MaxAttempts && r.now < q.Deadline {
		r.prepareMove(q)
	}
	r.emit(StallDecision{ID: id, Reassign: q.retryPaid})
	r.answerBroke(q.backend)
}

// prepareMove pays for a move of a request to another backend server and reserves a place there, if one has room and the
// retry budget allows it. Where no place may be reserved, the request takes its chance like a new one.
func (r *Router) prepareMove(q *request) {
	triedBefore := q.tried
	q.tried = append(q.tried[:len(q.tried):len(q.tried)], q.backend.ID)
	b, reserves := r.moveTarget(q)
	q.tried = triedBefore
	if b == nil || !r.retryBudget(q.service).Spend(r.now, r.hostCount()) {
		return
	}
	q.retryPaid = true
	q.left = append(q.left, q.backend)
	if !reserves {
		return
	}
	if r.queueing() {
		r.countOwnGrant(q, b)
	}
	q.reserved = &reservation{backend: b}
	r.occupy(q, b)
	if owner := r.ownerOf(b); owner != r.opt.Host {
		q.reserved.owner = owner
	}
	r.reportReservation(q, 1)
}

// moveTarget chooses a backend server for a move, nil if none has room, and reports whether a place may be reserved there. At a
// brittle one none is reserved, nor one that requests may wait for at another host: that owner is asked once the dispatch has ended.
func (r *Router) moveTarget(q *request) (b *backend, reserves bool) {
	if !r.queueing() {
		b, _ = r.selectBackend(q)
		return b, b != nil && !r.isBrittle(b)
	}
	r.serveQueue(q.service) // a free slot goes to those that wait first
	full := q.fullOwners
	q.fullOwners = r.ownersWithBacklog(q.service)
	b, _ = r.selectBackend(q)
	q.fullOwners = full
	if b == nil || r.isBrittle(b) {
		return b, false
	}
	owner := r.ownerOf(b)
	return b, owner == "" || owner == r.opt.Host || !r.ownerGrants(b)
}

// ownersWithBacklog returns the other hosts at which requests wait for slots of a service.
func (r *Router) ownersWithBacklog(service string) []string {
	var out []string
	for _, b := range r.backendsOf(service) {
		owner := r.ownerOf(b)
		if owner != "" && owner != r.opt.Host && !slices.Contains(out, owner) && r.reportedWait(owner, service) > 0 {
			out = append(out, owner)
		}
	}
	return out
}

// reportReservation tells the owner of a reserved place that it is taken, or released if places is negative.
func (r *Router) reportReservation(q *request, places int) {
	if p := q.reserved; p.owner != "" {
		r.sendReport(p.owner, q.newReport(p.backend, places, places*q.PromptTok))
	}
}

// releaseReservation gives up the place reserved for a request, if any.
func (r *Router) releaseReservation(q *request) {
	if q.reserved == nil {
		return
	}
	r.reportReservation(q, -1)
	r.vacate(q.reserved.backend, q.priority(), q.PromptTok)
	q.reserved = nil
}

// sendToReserved sends a request to the place reserved for it and reports whether it did. A place at a backend server that may
// get no requests any more is released.
func (r *Router) sendToReserved(q *request) bool {
	if q.reserved == nil {
		return false
	}
	p := q.reserved
	if !r.reachable(q, p.backend) || slices.Contains(q.tried, p.backend.ID) {
		r.releaseReservation(q)
		return false
	}
	q.reserved, q.owner = nil, p.owner
	r.sendCounted(q, p.backend, r.basisOf(q, p.backend))
	return true
}

// returnToLeft sends a request back to a backend server that it left only because of its silence, and reports whether it did.
// It is the last resort: that server is perhaps sound, while the request would otherwise be given up.
func (r *Router) returnToLeft(q *request) bool {
	b := r.leftWithRoom(q)
	if b == nil {
		return false
	}
	q.left = slices.DeleteFunc(q.left, func(l *backend) bool { return l == b })
	r.send(q, b, r.basisOf(q, b))
	return true
}

// leftWithRoom returns a backend server that a request left because of its silence and may go back to, or nil.
func (r *Router) leftWithRoom(q *request) *backend {
	s := r.newSelector(q, scopeAll)
	for _, b := range q.left {
		limited := r.isBrittle(b) || !r.coldTokenAvailable(b) || (b.rateLimited() && !s.mayTakeRateToken(b))
		if r.reachable(q, b) && !limited && b.inFlight() < s.requestLimit(b) {
			return b
		}
	}
	return nil
}

// reachable reports whether a backend server may get a request, is not known to be unreachable and has not started again.
func (r *Router) reachable(q *request, b *backend) bool {
	return r.mayGet(q, b) && r.backends[b.ID] == b && !b.isUnreachable(r.now)
}

// basisOf returns the basis of a dispatch to a backend server that was not selected by load.
func (r *Router) basisOf(q *request, b *backend) DecisionBasis {
	s := r.newSelector(q, scopeAll)
	g := r.basis()
	g.InFlight, g.Limit, g.ViewAge = b.inFlight(), s.requestLimit(b), r.oldestHeartbeatAge()
	g.Wait = s.predictedWait(b, g.InFlight)
	return g
}
