package router

import (
	"time"

	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

const (
	// maxRejects limits the backend servers that may reject one request, and maxSends all attempts. Those beyond
	// the rejected ones mostly fail to connect because the server is down.
	maxRejects = 4
	maxSends   = 8
	// retryAfterDivisor limits the retry delay to a third of the caller's remaining time. Callers do not wait longer.
	retryAfterDivisor = 3
	// minRetryAfter is the base of the retry delay, retryAfterPerRank is added for each rank of priority, and
	// retryAfterJitter is the range of the random part, so that callers refused together do not retry together.
	minRetryAfter     = 150 * time.Millisecond
	retryAfterPerRank = 250 * time.Millisecond
	retryAfterJitter  = 300 * time.Millisecond
	// drainAcceptDuration is how long after its stop signal a host accepts all requests: until the load
	// balancer has seen two probes fail.
	drainAcceptDuration = 3 * time.Second
	// DrainRetryAfter is the retry delay sent by a draining host. It is short because the caller's next
	// connection goes to another host: with the delay used under overload, nearly all such callers were late,
	// a tenth of all requests during a rolling restart.
	DrainRetryAfter = time.Millisecond
	// drainPlainCutoff is how long before its end a draining host still accepts plain calls.
	drainPlainCutoff = 1500 * time.Millisecond
)

// request is one caller's request at this host.
type request struct {
	Submit
	service string
	backend *backend
	attempt int
	tried   []string
	// ran is the at-most-once mark. It is set before a dispatch leaves the reducer and reset only on proof
	// that the backend server has not run the request.
	ran     bool
	runs    int
	sentAt  time.Duration
	rejects int
	// charged is set once the cost was deducted from the workspace's quota, by the host chargedBy, or by this
	// host if that is empty. quotaCall is the open call for it.
	charged   bool
	chargedBy string
	quotaCall *quotaRequest
	// queued is set if the backend server seemed busy with other requests when this one was sent.
	queued bool
	// prefillTokens is the request's part of its backend server's prefill backlog. It is zero once the stream
	// has begun.
	prefillTokens int
	// retryPaid is set if the retry budget was charged when the move was decided.
	retryPaid bool
	// reserved is the place for the move that was decided, nil if there is none. left are the backend servers left only
	// because of their silence.
	reserved *reservation
	left     []*backend
	// slotCall is the open slot request and fullOwners are the owners not to ask again: they had no usable slot,
	// or did not reply from another zone. decideLocally is set if an owner in this zone did not reply. owner granted the slot; it is
	// empty if this host chose the backend server.
	slotCall      *slotRequest
	fullOwners    []string
	decideLocally bool
	owner         string
	waitState
	// spillDecided is set once it was decided whether the request goes to another zone early. spill is why it does, from the
	// decision until it is dispatched anew.
	spillDecided bool
	spill        SpillBasis
	// via is the relay of the latest dispatch; empty if it went directly.
	via string
	// begun is set once the first event of the stream has arrived.
	begun bool
	// bound is set once the stream has begun, with this or an earlier attempt of the caller: binding and boundService are what
	// it is bound to, known since boundAt. continued is set for those that count as ahead of new streams.
	bound, continued bool
	binding          Binding
	boundService     string
	boundAt          time.Duration
	// originReported is set once other hosts have been told what began the stream.
	originReported bool
	// onTrial is set if the request is quarantined but runs once to test whether it is harmful.
	onTrial bool
	// withdrawn is set if this host has aborted its call because the request is quarantined.
	withdrawn bool
}

// priority returns the index under which the request is counted among those in flight.
func (q *request) priority() int { return min(int(q.Rank+0.5), priorities-1) }

func (r *Router) submit(e Submit) {
	q := &request{Submit: e}
	q.receivedAt = r.now
	if refused := r.drainRefuses(e); refused {
		r.emit(Refuse{ID: e.ID, Cause: ShutDown, RetryAfter: DrainRetryAfter})
		return
	}
	if e.Deadline <= r.now {
		r.emit(Refuse{ID: e.ID, Cause: OutOfTime, RetryAfter: 0})
		return
	}
	if r.requests[e.ID] != nil {
		r.invariants.Check(false, "request %d submitted twice", e.ID)
		return
	}
	if retryAfter, yes := r.checkQuarantine(q); yes {
		r.emit(Refuse{ID: e.ID, Cause: Quarantined, RetryAfter: retryAfter, Basis: r.basis()})
		return
	}
	r.requests[e.ID] = q
	r.noteAllowed(q)
	if e.Continues {
		r.resolveOrigin(q)
		return
	}
	r.admitRequest(q)
}

// admitRequest chooses the service of a request and charges the workspace's quota.
func (r *Router) admitRequest(q *request) {
	q.service = r.chooseService(q)
	if retryAfter, yes := r.checkQuarantine(q); yes {
		r.refuseQuarantined(q, retryAfter)
		return
	}
	r.chargeQuota(q)
}

// dispatchAdmitted dispatches a request that was admitted by its workspace's quota.
func (r *Router) dispatchAdmitted(q *request) {
	r.retryBudget(q.service).Earn(r.now, r.hostCount())
	r.countDemand(q)
	r.dispatch(q)
}

// drainRefuses reports whether this host is draining and no longer accepts the request.
func (r *Router) drainRefuses(e Submit) bool {
	if r.drain == nil {
		return false
	}
	started := r.drain.Until - r.drain.Grace
	if r.now < started+drainAcceptDuration {
		return false
	}
	return e.Route.Kind == routing.Streaming || r.now > r.drain.Until-drainPlainCutoff
}

// dispatch chooses a backend server for a request and sends it there, or refuses it.
func (r *Router) dispatch(q *request) {
	q.spill = SpillBasis{}
	q.fullOwners, q.decideLocally, q.owner = nil, false, ""
	q.resetWait()
	if retryAfter, yes := r.checkQuarantine(q); yes {
		r.refuseQuarantined(q, retryAfter)
		return
	}
	if r.sendToReserved(q) {
		return
	}
	r.schedule(q)
}

// sendOrBorrow selects a backend server in a small fleet. If this host may send to none, it requests a slot out of another
// host's shares.
func (r *Router) sendOrBorrow(q *request) {
	b, g := r.selectBackend(q)
	if b != nil {
		r.send(q, b, g)
		return
	}
	r.borrowOrRefuse(q, g)
}

// borrowOrRefuse asks another host for a slot out of its shares, if there may be one, or ends the request.
func (r *Router) borrowOrRefuse(q *request, g DecisionBasis) {
	if lender := r.chooseLender(q); lender != "" {
		r.requestSlot(q, lender, classHealthy, true)
		return
	}
	r.returnOrRefuse(q, g)
}

// returnOrRefuse ends a request for which no backend server has room, unless it may go back to one that it left.
func (r *Router) returnOrRefuse(q *request, g DecisionBasis) {
	if !r.returnToLeft(q) {
		r.refuse(q, g)
	}
}

// send counts a request at a backend server and emits its dispatch.
func (r *Router) send(q *request, b *backend, g DecisionBasis) {
	r.occupy(q, b)
	r.sendCounted(q, b, g)
}

// occupy counts a request at a backend server and takes the tokens that it needs there.
func (r *Router) occupy(q *request, b *backend) {
	r.takeShares(b)
	r.addOwnLoad(q, b)
}

// addOwnLoad counts a request at a backend server.
func (r *Router) addOwnLoad(q *request, b *backend) {
	b.ownLoad.counts[q.priority()]++
	b.ownLoad.prefillBacklog += q.PromptTok
	r.markLoadChanged()
}

// vacate undoes the count of a request at a backend server whose prompt has promptTokens unread.
func (r *Router) vacate(b *backend, priority, promptTokens int) {
	own := &b.ownLoad
	own.counts[priority]--
	own.prefillBacklog -= promptTokens
	r.markLoadChanged()
	r.invariants.Check(own.counts[priority] >= 0 && own.prefillBacklog >= 0, "backend server %s has %d requests in flight and a prefill backlog of %d tokens", b.ID, own.counts[priority], own.prefillBacklog)
}

// sendCounted emits the dispatch of a request that is counted at its backend server.
func (r *Router) sendCounted(q *request, b *backend, g DecisionBasis) {
	q.attempt++
	q.backend = b
	r.invariants.Check(q.versionFits(b), "a stream of %s goes on at %s of version %s", q.binding.Version, b.ID, b.Version)
	r.invariants.Check(!q.ran || q.Route.Repeatable(), "request %d of %s runs again", q.ID, q.Route.Name)
	q.ran = true
	q.runs++
	q.sentAt, q.begun, q.via = r.now, false, r.relayTo(b)
	g.Spill = q.spill
	if b.rateLimited() {
		g.Rate = RateBasis{b.rateLimit.perSecond, b.rateLimit.bucket.Rate()}
	}
	if q.owner == "" {
		r.countRisk(b)
	}
	q.queued = b.inFlight() > b.Slots || 2*(b.prefillBacklog(r.now)-q.PromptTok) > q.PromptTok
	q.prefillTokens = q.PromptTok
	r.reportAssigned(q)
	g.Revision, g.StoreAge = r.updates.completeTo.Number, r.now-r.updates.storeAnsweredAt
	binding := q.binding
	binding.Age = r.now - q.boundAt
	r.emit(Dispatch{ID: q.ID, Backend: b.Backend, Via: q.via, Attempt: q.attempt, MaxIdleConns: r.idleConnLimit(b), At: r.now, Binding: binding,
		ReportRate: b.rateLimit != nil, ReportBrittle: b.brittle != nil, Basis: g})
}

const (
	// maxIdleConns limits the idle connections to one backend server. Few hosts have more requests there
	// at once.
	maxIdleConns = 8
	// idleConnShare is the share of a backend server's connections that the idle ones of all hosts may take.
	// A backend server resets connections beyond its limit.
	idleConnShare = 0.5
)

// idleConnLimit returns the number of idle connections to a backend server that this host may keep.
func (r *Router) idleConnLimit(b *backend) int {
	s := r.table.Service(b.Service)
	if s == nil || s.MaxConns == 0 {
		return maxIdleConns
	}
	return max(1, min(maxIdleConns, int(idleConnShare*float64(s.MaxConns))/r.hostCount()))
}

// basis returns what all decisions are based on: the configuration version and the store's era.
func (r *Router) basis() DecisionBasis {
	return DecisionBasis{Version: r.version(), Era: r.updates.completeTo.Era}
}

// refuse ends a request for which no backend server has room. It is reported as refused only if it has not run.
func (r *Router) refuse(q *request, g DecisionBasis) {
	cause := Overloaded
	switch {
	case g.InFlight < 0 && g.OtherVersion > 0:
		cause = NoBackendOfVersion
	case g.InFlight < 0:
		cause = NoBackend
	case g.RateLimited > 0 && g.RateLimited == g.Full:
		cause = BackendsRateLimited
	}
	if g.RateLimited > 0 {
		g.Rate = r.rateBasis(q.service)
	}
	q.addQueueBasis(&g)
	r.finish(q)
	if q.ran {
		r.emit(GiveUp{ID: q.ID, Cause: cause, DeliverFailure: true})
		return
	}
	after := r.retryAfter(q)
	if back := r.queueRetryAfter(q); back > 0 {
		after = back
	}
	if at := r.holdOffEnd(q.service); cause == NoBackend && at > 0 {
		after = max(after, at-r.now)
	}
	if cause == BackendsRateLimited {
		after = max(after, r.rateRetryAfter(q, g.Rate))
	}
	r.emit(Refuse{ID: q.ID, Cause: cause, RetryAfter: after, Basis: g})
}

// retryAfter returns the delay after which a refused caller should retry: the shortest for the most urgent,
// with jitter, and within the part of its remaining time that a caller is willing to wait.
func (r *Router) retryAfter(q *request) time.Duration {
	delay := minRetryAfter + time.Duration(q.Rank*float64(retryAfterPerRank)) + time.Duration(r.rng.Float64()*float64(retryAfterJitter))
	return max(0, min(delay, (q.Deadline-r.now)/retryAfterDivisor))
}

// callerGone ends a request whose caller disconnected. The gateway stops the call itself.
func (r *Router) callerGone(id uint64) {
	q, ok := r.requests[id]
	if !ok {
		return
	}
	if q.slotCall == nil { // otherwise it is at no backend server
		r.releaseSlot(q, DispatchEnded{Outcome: Canceled})
	}
	r.finish(q)
}

func (r *Router) handleDispatchEnded(e DispatchEnded) {
	q, ok := r.requests[e.ID]
	if !ok {
		return
	}
	b := q.backend
	if b == nil {
		return
	}
	e.Fault = e.Fault && !q.withdrawn // this host has aborted the call
	r.releaseSlot(q, e)
	if q.withdrawn && e.Outcome == Broken {
		r.finish(q)
		r.emit(GiveUp{ID: q.ID, Cause: Quarantined, DeliverFailure: true})
		return
	}
	r.recordOutcome(b, q, e)
	r.recordRequestOutcome(b, q, e)
	switch e.Outcome {
	case Answered, Canceled:
		r.finish(q)
	case TimedOut:
		r.finish(q)
		r.emit(GiveUp{ID: q.ID, Cause: OutOfTime, DeliverFailure: true})
	case NotSent, Rejected, WrongInstance:
		q.ran = q.runs > 1
		q.runs--
		if e.BodySpent {
			r.endUnrepeatable(q)
			return
		}
		r.redispatch(q, e)
	default:
		r.retry(q, e)
	}
}

// observedInterval returns the time between events of a complete answer, or the time to a plain answer; zero if it is unknown.
func (r *Router) observedInterval(q *request, e DispatchEnded) time.Duration {
	if r.ownPathLost(q) {
		return 0
	}
	if q.Route.Kind != routing.Streaming {
		return e.First
	}
	return e.Interval
}

// recordOutcome updates what is known of a backend server from the end of a dispatch.
func (r *Router) recordOutcome(b *backend, q *request, e DispatchEnded) {
	direct := q.via == ""
	if direct && (e.Outcome == Answered || e.Outcome == Failed || e.Outcome == Rejected) {
		r.heard(b)
	}
	switch e.Outcome {
	case Answered:
		b.succeeded(q.sentAt)
		interval := r.observedInterval(q, e)
		b.learnEventInterval(interval)
		if q.Route.Kind == routing.Streaming {
			r.observePace(b, interval, e.Events)
		}
		svc := r.serviceState(b.Service)
		svc.learnEventInterval(interval)
		svc.learnStreamLength(e.Events)
	case NotSent:
		if e.Fault && direct {
			r.connectionFailed(b)
		} else if e.Fault {
			b.connectFailed(r.now)
		}
	case WrongInstance:
		// The address now belongs to another instance, so this backend server is gone even if it is still
		// registered: one that crashed restarts under a new ID while its old registration stays for some heartbeats.
		b.replaced = true
		r.emit(Note{What: "backend server replaced", Subject: b.ID, Detail: b.Service})
		r.recordBackendEnd(b)
	case Broken, Failed:
		if e.Fault && !r.ownPathLost(q) {
			r.recordFailure(b)
		}
		if e.Outcome == Broken && direct {
			r.answerBroke(b)
		}
	}
}

// redispatch tries the next backend server on proof that the request did not run. A send that reached the
// first one counts as an arrival there all the same, so a rejected send is charged to the retry budget.
func (r *Router) redispatch(q *request, e DispatchEnded) {
	if e.RelayFault {
		r.relayFailed(q.via)
	} else {
		q.tried = append(q.tried, q.backend.ID)
	}
	reached := e.Outcome != NotSent
	if reached {
		q.rejects++
	}
	if q.rejects >= maxRejects || q.attempt >= maxSends || r.now >= q.Deadline || (reached && !r.retryBudget(q.service).Spend(r.now, r.hostCount())) {
		r.refuse(q, r.basis())
		return
	}
	r.dispatch(q)
}

// endUnrepeatable ends a request that its backend server has not run and that cannot be sent to another one, as its body is gone. Its
// caller has the body and may return.
func (r *Router) endUnrepeatable(q *request) {
	r.finish(q)
	if q.ran {
		r.emit(GiveUp{ID: q.ID, Cause: BodyNotKept, DeliverFailure: true})
		return
	}
	r.emit(Refuse{ID: q.ID, Cause: BodyNotKept, RetryAfter: r.retryAfter(q), Basis: r.basis()})
}

// retry runs a request again if its kind, its route's limit and the retry budget allow it.
func (r *Router) retry(q *request, e DispatchEnded) {
	q.tried = append(q.tried, q.backend.ID)
	allowed := q.Route.Repeatable() && q.runs < q.Route.MaxAttempts && r.now < q.Deadline
	if e.BodySpent || (e.Delivered && q.Route.Kind != routing.Streaming) {
		allowed = false
	}
	if allowed && (q.retryPaid || r.retryBudget(q.service).Spend(r.now, r.hostCount())) {
		q.retryPaid = false
		if r.hasRoomFor(q) {
			r.dispatch(q)
			return
		}
	}
	r.finish(q)
	r.emit(GiveUp{ID: q.ID, Cause: BackendLost, DeliverFailure: true})
}

// hasRoomFor reports whether a backend server has room for a request, which may be one that it left.
func (r *Router) hasRoomFor(q *request) bool {
	if q.reserved != nil || r.couldWait(q) {
		return true
	}
	b, _ := r.selectBackend(q)
	return b != nil || r.leftWithRoom(q) != nil
}

// prefillDone removes a request's prompt from its backend server's prefill backlog.
func (q *request) prefillDone() {
	q.backend.ownLoad.prefillBacklog -= q.prefillTokens
	q.prefillTokens = 0
}

// releaseSlot removes a request from the load of its backend server.
func (r *Router) releaseSlot(q *request, e DispatchEnded) {
	if q.backend == nil {
		return
	}
	r.reportEnded(q, e)
	r.requestEnded(q, r.reportOutcome(q, e))
	r.vacate(q.backend, q.priority(), q.prefillTokens)
	q.prefillTokens = 0
}

func (r *Router) finish(q *request) {
	r.withdraw(q)
	r.releaseReservation(q)
	r.refund(q)
	delete(r.requests, q.ID)
}

func (r *Router) retryBudget(name string) *limit.Budget {
	s := r.serviceState(name)
	if s.budget == nil {
		b := r.opt.Bounds
		s.budget = limit.NewBudget(b.RetryRatio, b.RetryExtra, b.RetryWindow)
	}
	return s.budget
}
