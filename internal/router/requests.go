package router

import (
	"time"

	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

const (
	// maxRejects bounds the backend servers that may reject one request, and maxSends all tries, most
	// of which then meet servers that are down.
	maxRejects = 4
	maxSends   = 8
	// retryAfterDivisor: callers wait as told up to a third of the time they have left.
	retryAfterDivisor = 3
	// minRetryAfter is the least time to come back, backRank what each rank of priority adds, and
	// backSpread the random part, so that those who are refused together do not return together.
	minRetryAfter     = 150 * time.Millisecond
	retryAfterPerRank = 250 * time.Millisecond
	retryAfterJitter  = 300 * time.Millisecond
	// drainAcceptDuration is how long after its stop signal a host takes new requests as ever: until
	// the balancer has seen two probes fail.
	drainAcceptDuration = 3 * time.Second
	// DrainRetryAfter is when a caller whom a draining host turns away should come back: at once, as its next
	// connection goes to another host. Told to wait like one for whom there is no place, nearly all such
	// callers were late: a tenth of all while hosts were restarted one after the other.
	DrainRetryAfter = time.Millisecond
	// drainPlainCutoff is how long before its end a draining host still takes plain calls.
	drainPlainCutoff = 1500 * time.Millisecond
)

// request is one caller's request at this host.
type request struct {
	Submit
	service string
	backend *backend
	attempt int
	tried   []string
	// ran is the at-most-once mark: it is set before a dispatch leaves the reducer and taken back
	// only on proof that the backend server has not run it.
	ran     bool
	runs    int
	sentAt  time.Duration
	rejects int
	// charged tells that its cost was taken from its workspace's quota: from what chargedBy holds of it, or where that is
	// empty this host. charging is the open question for it.
	charged   bool
	chargedBy string
	quotaCall *quotaRequest
	// queued tells that its backend server was believed to be busy with others when it was sent.
	queued bool
	// prefillTokens are the prompt tokens that its backend server has still to read; zero once its stream begins.
	prefillTokens int
	// retryPaid tells that the retry budget was spent when the move was decided.
	retryPaid bool
	// slotCall is the open question for a place, full the owners that had none, and alone tells that an owner
	// did not answer, so that this host decides. owner is who gave the place; empty where this host took it.
	slotCall      *slotRequest
	fullOwners    []string
	decideLocally bool
	owner         string
	// onTrial tells that it runs though it is in quarantine, to show whether it does harm.
	onTrial bool
}

// priority is where a request is counted among those in flight.
func (q *request) priority() int { return min(int(q.Rank+0.5), priorities-1) }

func (r *Router) submit(e Submit) {
	q := &request{Submit: e}
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
		r.emit(Refuse{ID: e.ID, Cause: Quarantined, RetryAfter: retryAfter, Basis: r.grounds()})
		return
	}
	q.service = r.chooseService(e.Route, e.Workspace)
	r.requests[e.ID] = q
	r.chargeQuota(q)
}

// dispatchAdmitted sends a request on that its workspace's quota has room for.
func (r *Router) dispatchAdmitted(q *request) {
	r.retryBudget(q.service).Earn(r.now, r.hostCount())
	r.dispatch(q)
}

// drainRefuses tells whether a draining host should no longer take a request.
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

// dispatch finds a place for a request and sends it there.
func (r *Router) dispatch(q *request) {
	q.fullOwners, q.decideLocally, q.owner = nil, false, ""
	if back, yes := r.checkQuarantine(q); yes {
		r.refuseQuarantined(q, back)
		return
	}
	if r.usesOwners() {
		r.schedule(q)
		return
	}
	b, g := r.selectBackend(q)
	if b == nil {
		r.refuse(q, g)
		return
	}
	r.send(q, b, g)
}

// send counts a request at a backend server and lets it leave.
func (r *Router) send(q *request, b *backend, g DecisionBasis) {
	q.attempt++
	q.backend = b
	r.invariants.Check(!q.ran || q.Route.Repeatable(), "request %d of %s runs again", q.ID, q.Route.Name)
	q.ran = true
	q.runs++
	q.sentAt = r.now
	r.takeColdToken(b)
	b.ownLoad.counts[q.priority()]++
	q.queued = b.inFlight() > b.Slots || 2*b.prefillBacklog(r.now) > q.PromptTok
	q.prefillTokens = q.PromptTok
	b.ownLoad.prefillBacklog += q.prefillTokens
	r.markLoadChanged()
	r.reportAssigned(q)
	r.emit(Dispatch{ID: q.ID, Backend: b.Backend, Attempt: q.attempt, MaxIdleConns: r.idleConnLimit(b), At: r.now, Basis: g})
}

const (
	// maxIdleConns bounds the idle connections to one backend server; more of a host's requests are
	// seldom there at once.
	maxIdleConns = 8
	// idleConnShare of a backend server's connections may be idle ones of all hosts; it resets what
	// comes beyond its bound.
	idleConnShare = 0.5
)

// idleConnLimit is how many idle connections to a backend server this host may hold.
func (r *Router) idleConnLimit(b *backend) int {
	s := r.table.Service(b.Service)
	if s == nil || s.MaxConns == 0 {
		return maxIdleConns
	}
	return max(1, min(maxIdleConns, int(idleConnShare*float64(s.MaxConns))/r.hostCount()))
}

// grounds are those of any decision: by which news it is made.
func (r *Router) grounds() DecisionBasis {
	return DecisionBasis{Version: r.version(), Era: r.updates.completeTo.Era}
}

// refuse ends a request for which there is no place, truly: only what has not run is called so.
func (r *Router) refuse(q *request, g DecisionBasis) {
	cause := Overloaded
	if g.InFlight < 0 {
		cause = NoBackend
	}
	r.finish(q)
	if q.ran {
		r.emit(GiveUp{ID: q.ID, Cause: cause, DeliverFailure: true})
		return
	}
	after := r.retryAfter(q)
	if at := r.holdOffEnd(q.service); cause == NoBackend && at > 0 {
		after = max(after, at-r.now)
	}
	r.emit(Refuse{ID: q.ID, Cause: cause, RetryAfter: after, Basis: g})
}

// retryAfter is when a refused caller should return: the most urgent first, spread, and within the
// part of its time that callers are willing to wait.
func (r *Router) retryAfter(q *request) time.Duration {
	back := minRetryAfter + time.Duration(q.Rank*float64(retryAfterPerRank)) + time.Duration(r.rng.Float64()*float64(retryAfterJitter))
	return max(0, min(back, (q.Deadline-r.now)/retryAfterDivisor))
}

// callerGone ends a request whose caller left; the traffic side stops the work.
func (r *Router) callerGone(id uint64) {
	if q, ok := r.requests[id]; ok {
		r.releaseSlot(q, DispatchEnded{Outcome: Canceled})
		r.finish(q)
	}
}

func (r *Router) handleEnded(e DispatchEnded) {
	q, ok := r.requests[e.ID]
	if !ok {
		return
	}
	b := q.backend
	if b == nil {
		return
	}
	r.releaseSlot(q, e)
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
		r.redispatch(q, e)
	default:
		r.retry(q, e)
	}
}

// observedInterval is the pace that a whole answer showed: the time between events, or to a plain answer.
func observedInterval(q *request, e DispatchEnded) time.Duration {
	if q.Route.Kind != routing.Streaming {
		return e.First
	}
	return e.Interval
}

// recordOutcome learns from how a dispatch ended.
func (r *Router) recordOutcome(b *backend, q *request, e DispatchEnded) {
	switch e.Outcome {
	case Answered:
		b.succeeded(q.sentAt)
		pace := observedInterval(q, e)
		b.learnEventInterval(pace)
		svc := r.serviceState(b.Service)
		svc.learnEventInterval(pace)
		svc.learnStreamLength(e.Events)
	case NotSent:
		if e.Fault {
			b.connectFailed(r.now)
		}
	case WrongInstance:
		// The address belongs to another: this backend server is gone, whatever the store says. A crashed
		// one starts again under a new id, while its old registration stays for some heartbeats.
		b.replaced = true
		r.emit(Note{What: "backend server replaced", Subject: b.ID, Detail: b.Service})
		r.recordBackendEnd(b)
	case Broken, Failed:
		if e.Fault {
			r.recordFailure(b)
		}
	}
}

// redispatch tries the next backend server after proof that nothing ran. What reached the first
// one counts as an arrival all the same, so that a rejected send costs retry budget.
func (r *Router) redispatch(q *request, e DispatchEnded) {
	q.tried = append(q.tried, q.backend.ID)
	reached := e.Outcome != NotSent
	if reached {
		q.rejects++
	}
	if q.rejects >= maxRejects || q.attempt >= maxSends || r.now >= q.Deadline || (reached && !r.retryBudget(q.service).Spend(r.now, r.hostCount())) {
		r.refuse(q, r.grounds())
		return
	}
	r.dispatch(q)
}

// retry runs a request again where its kind, its route's bound and the retry budget allow it.
func (r *Router) retry(q *request, e DispatchEnded) {
	q.tried = append(q.tried, q.backend.ID)
	allowed := q.Route.Repeatable() && q.runs < q.Route.MaxAttempts && r.now < q.Deadline
	if e.Delivered && q.Route.Kind != routing.Streaming {
		allowed = false
	}
	if allowed && (q.retryPaid || r.retryBudget(q.service).Spend(r.now, r.hostCount())) {
		q.retryPaid = false
		if b, _ := r.selectBackend(q); b != nil {
			r.dispatch(q)
			return
		}
	}
	r.finish(q)
	r.emit(GiveUp{ID: q.ID, Cause: BackendLost, DeliverFailure: true})
}

// handleStalled decides whether a request whose backend server is silent moves to another one. It moves
// only if it may run again, another has room, and the retry budget pays: a cut or a dead server shows
// as silence, and callers leave a silent stream after a few seconds, but so does a long queue.
func (r *Router) handleStalled(id uint64) {
	q, ok := r.requests[id]
	if !ok {
		r.emit(StallDecision{ID: id})
		return
	}
	move := q.Route.Repeatable() && q.runs < q.Route.MaxAttempts && r.now < q.Deadline
	if move {
		held := q.tried
		q.tried = append(q.tried[:len(q.tried):len(q.tried)], q.backend.ID)
		b, _ := r.selectBackend(q)
		q.tried = held
		move = b != nil && r.retryBudget(q.service).Spend(r.now, r.hostCount())
	}
	q.retryPaid = move
	r.emit(StallDecision{ID: id, Reassign: move})
}

// prefillDone takes a request's prompt out of what its backend server has still to read.
func (q *request) prefillDone() {
	q.backend.ownLoad.prefillBacklog -= q.prefillTokens
	q.prefillTokens = 0
}

// releaseSlot takes a request out of the counts of its backend server.
func (r *Router) releaseSlot(q *request, e DispatchEnded) {
	if q.backend == nil {
		return
	}
	r.reportEnded(q, e)
	p := q.priority()
	own := &q.backend.ownLoad
	own.counts[p]--
	q.prefillDone()
	r.markLoadChanged()
	r.invariants.Check(own.counts[p] >= 0 && own.prefillBacklog >= 0, "backend server %s has %d in flight, %d tokens unread", q.backend.ID, own.counts[p], own.prefillBacklog)
}

func (r *Router) finish(q *request) {
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
