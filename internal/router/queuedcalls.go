package router

import (
	"slices"
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
)

const (
	// maxQueueAsks limits the owners that are asked to queue a request.
	maxQueueAsks = 3
	// maxWaitingBytes limits the bodies of the requests of this host that wait at owners. A host has 64 MB for all its work.
	maxWaitingBytes = 8 << 20
	// confirmMargin is how long after the predicted end of a wait the owner is asked whether the request still waits there: its
	// offer may be lost, or the owner gone.
	confirmMargin = 250 * time.Millisecond
	// patienceLead is how long before the end of a request's patience a tick may end its wait. Ticks are 25 ms apart, so that each
	// wait ends within its patience and 20 ms.
	patienceLead = 5 * time.Millisecond
	// answerMargin is how much shorter the patience is that the owner is told, so that its refusal, which says when to return,
	// arrives before this host ends the wait itself.
	answerMargin = 20 * time.Millisecond
	// minQueuePatience is the shortest patience with which a request waits.
	minQueuePatience = answerMargin + 10*time.Millisecond
)

// queuedCall is the part of a slot request that may wait at its owner. The owner may be this host itself.
type queuedCall struct {
	service string
	bytes   int // of the request's body
	worst   class
	// known and incarnation tell which process of the owner was asked, if this host hears its heartbeats.
	known       bool
	incarnation uint64
	// since is when the request began to wait, zero if the owner has not said so. It should have got a slot by confirmAt.
	since, confirmAt time.Duration
	// confirmBy is when the owner must have confirmed that the request still waits, zero if it has not been asked.
	confirmBy time.Duration
}

// queuedCalls are the slot requests of this host that wait at owners, in order of the request.
type queuedCalls struct {
	calls []*slotRequest
	bytes int
}

// call returns the call that an owner's message belongs to.
func (l *queuedCalls) call(owner string, number uint64) (*slotRequest, bool) {
	i := slices.IndexFunc(l.calls, func(a *slotRequest) bool { return a.number == number && a.owner == owner })
	if i < 0 {
		return nil, false
	}
	return l.calls[i], true
}

// waitState is what a request has met at admission queues since its latest dispatch.
type waitState struct {
	receivedAt time.Duration
	// returning is set if its caller was probably refused before.
	returning    bool
	patienceEnds time.Duration // zero until it is needed
	// queueOwners are the owners that were asked to queue it, and queueAsks their number without those that did not decide.
	queueOwners []string
	queueAsks   int
	// lostOwners did not reply, or do not own backend servers any more. This host decides in their place.
	lostOwners []string
	// queueRefused is set if an owner has refused to queue it, or to go on doing so.
	queueRefused bool
	// backAt is the earliest time at which one of the owners expects to have a slot, zero if none knows.
	backAt     time.Duration
	queueBasis QueueBasis
	lastQueue  string // the owner whose queue it met last
}

// resetWait forgets what a request has met, as it is dispatched anew.
func (w *waitState) resetWait() {
	*w = waitState{receivedAt: w.receivedAt, returning: w.returning}
}

// addQueueBasis adds what a request has met at queues to the basis of a decision.
func (w *waitState) addQueueBasis(g *DecisionBasis) {
	g.Queue = w.queueBasis
	if g.Owner == "" {
		g.Owner = w.lastQueue
	}
}

// queueing reports whether owners keep requests in admission queues.
func (r *Router) queueing() bool { return r.opt.Admission.Enabled }

// askToQueue asks an owner, which may be this host itself, for a slot or a place in its queue.
func (r *Router) askToQueue(q *request, owner string, worst class) {
	q.queueOwners = append(q.queueOwners, owner)
	q.queueAsks++
	q.lastQueue = owner
	q.queueBasis.Predicted, q.queueBasis.Patience, q.queueBasis.Cause = 0, q.patienceEnds-r.now, ""
	a := &slotRequest{ownerCall: ownerCall{number: r.slotRequests.next(), requestID: q.ID, owner: owner, sentAt: r.now}, priority: q.priority(), prompt: q.PromptTok,
		queuedCall: &queuedCall{service: q.service, bytes: q.BodyBytes, worst: worst}}
	if m, ok := r.members.byHost[owner]; ok {
		a.queuedCall.known, a.queuedCall.incarnation = true, m.incarnation
	}
	q.slotCall = a
	r.queuedCalls.calls = append(r.queuedCalls.calls, a)
	r.queuedCalls.bytes += a.queuedCall.bytes
	if owner == r.opt.Host {
		r.admitOrQueueOwn(q, a)
		return
	}
	r.slotRequests.add(a)
	r.announceToOwner(owner)
	r.sendQueueAsk(q, a)
}

// sendQueueAsk sends the message of a slot request that may wait. A second one with the same number asks whether it still does.
func (r *Router) sendQueueAsk(q *request, a *slotRequest) {
	ask := r.newAsk(q, a, a.queuedCall.worst)
	ask.Queues = true
	ask.TargetMs = uint32(max(0, r.timeToTarget(q)).Milliseconds())
	ask.PatienceMs = uint32(max(0, q.patienceEnds-r.now-answerMargin).Milliseconds())
	r.emit(Send{To: []string{a.owner}, Packet: &gossippb.Packet{Ask: ask}})
}

// competitor returns the workspace that competes for a slot, empty on public routes, and its weight.
func (q *request) competitor() (workspace string, weight float32) {
	if q.Workspace == nil {
		return "", 0
	}
	return q.Workspace.Name, float32(q.Workspace.Weight)
}

// requestQueued processes an owner's reply that a request waits in its queue.
func (r *Router) requestQueued(a *slotRequest, offer *gossippb.Offer) {
	q, known := r.requests[a.requestID]
	if !known || q.slotCall != a {
		r.sendWithdraw(a)
		r.awaitLateOffer(a)
		return
	}
	r.noteQueued(q, a, time.Duration(offer.WaitUs)*time.Microsecond)
}

// noteQueued records that a request waits at an owner and for how long it probably will.
func (r *Router) noteQueued(q *request, a *slotRequest, wait time.Duration) {
	call := a.queuedCall
	first := call.since == 0
	if first {
		call.since = max(1, r.now)
	}
	call.confirmAt, call.confirmBy = r.now+wait+confirmMargin, 0
	q.queueBasis.Predicted = wait
	r.noteWait(a.owner, call.service, wait)
	if first {
		r.emit(Queued{ID: q.ID, Owner: a.owner, Wait: wait, Patience: q.patienceEnds - r.now})
	}
}

// withdrawUnknown removes a request that this host does not know any more from an owner's queue. A message that crossed the grant of
// the request may have queued it again.
func (r *Router) withdrawUnknown(owner string, offer *gossippb.Offer) {
	if r.queueing() && offer.Queued {
		r.emit(Send{To: []string{owner}, Packet: &gossippb.Packet{Withdraw: &gossippb.Withdraw{Number: offer.Number}}})
	}
}

// leaveQueue ends the wait of a request as far as this host counts it.
func (r *Router) leaveQueue(q *request) {
	a := q.slotCall
	if a == nil || a.queuedCall == nil {
		return
	}
	i := slices.Index(r.queuedCalls.calls, a)
	if i < 0 {
		return
	}
	r.queuedCalls.calls = slices.Delete(r.queuedCalls.calls, i, i+1)
	r.queuedCalls.bytes -= a.queuedCall.bytes
	r.invariants.Check(r.queuedCalls.bytes >= 0, "the bodies of waiting requests have %d bytes", r.queuedCalls.bytes)
	if a.queuedCall.since > 0 {
		q.queueBasis.Waited += r.now - a.queuedCall.since
	}
}

// withdraw ends the wait of a request, if it waits, and tells its owner.
func (r *Router) withdraw(q *request) {
	a := q.slotCall
	if a == nil || a.queuedCall == nil {
		return
	}
	r.leaveQueue(q)
	q.slotCall = nil
	if a.owner == r.opt.Host {
		r.withdrawOwn(a)
		return
	}
	r.sendWithdraw(a)
	r.awaitLateOffer(a)
}

func (r *Router) sendWithdraw(a *slotRequest) {
	r.emit(Send{To: []string{a.owner}, Packet: &gossippb.Packet{Withdraw: &gossippb.Withdraw{Number: a.number}}})
}

// awaitLateOffer remembers a call that was given up for lateReplyTTL, so that a slot granted to it is returned.
func (r *Router) awaitLateOffer(a *slotRequest) {
	r.slotRequests.take(a.owner, a.number)
	a.timedOut, a.sentAt = true, r.now
	r.slotRequests.add(a)
}

// expireQueuedCalls ends waits whose time is over or whose owner is gone, and asks owners whether overdue requests still wait.
func (r *Router) expireQueuedCalls() {
	for _, a := range slices.Clone(r.queuedCalls.calls) {
		q, ok := r.requests[a.requestID]
		if !ok || q.slotCall != a {
			continue // it has ended meanwhile
		}
		call := a.queuedCall
		switch {
		case r.now+patienceLead >= q.patienceEnds:
			r.patienceEnded(q)
		case a.owner == r.opt.Host:
		case r.ownerGone(a):
			r.ownerLost(q, a)
		case call.confirmBy > 0 && r.now >= call.confirmBy:
			r.replyMissed(a.owner)
			r.ownerLost(q, a)
		case call.since > 0 && call.confirmBy == 0 && r.now >= call.confirmAt:
			call.confirmBy = r.now + ownerCallTimeout
			r.announceToOwner(a.owner)
			r.sendQueueAsk(q, a)
		}
	}
}

// ownerGone reports whether the process of an owner that was asked cannot be reached any more or has ended.
func (r *Router) ownerGone(a *slotRequest) bool {
	m, ok := r.members.byHost[a.owner]
	if !ok {
		return a.queuedCall.known || r.zoneUnreachable(r.ownerZone(a.owner))
	}
	return m.unreachable || (a.queuedCall.known && m.incarnation != a.queuedCall.incarnation)
}

// patienceEnded refuses a request whose wait has lasted too long.
func (r *Router) patienceEnded(q *request) {
	r.withdraw(q)
	if q.queueBasis.Cause == "" {
		q.queueBasis.Cause = admission.Expired
	}
	r.returnOrRefuse(q, r.refusalBasis(q))
}

// refusalBasis returns the basis of a refusal: the state of all backend servers, also those whose owners have refused.
func (r *Router) refusalBasis(q *request) DecisionBasis {
	full := q.fullOwners
	q.fullOwners = nil
	_, g := r.selectBackend(q)
	q.fullOwners = full
	return g
}

// firstReplyMissed continues with a request whose owner has not replied to the first message.
func (r *Router) firstReplyMissed(q *request, a *slotRequest) { r.ownerLost(q, a) }

// ownerLost continues with a request without an owner that is gone or does not reply. Waiting at another owner takes no longer than
// the request's patience either.
func (r *Router) ownerLost(q *request, a *slotRequest) {
	r.withdraw(q)
	q.lostOwners = append(q.lostOwners, a.owner)
	q.queueBasis.Cause = admission.OwnerGone
	r.continueUnplaced(q)
}

// continueUnplaced schedules a request that has left a queue without a slot.
func (r *Router) continueUnplaced(q *request) {
	if retryAfter, yes := r.checkQuarantine(q); yes {
		r.refuseQuarantined(q, retryAfter)
		return
	}
	if r.now+patienceLead >= q.patienceEnds {
		r.patienceEnded(q)
		return
	}
	r.schedule(q)
}

// refusedByOwner continues with a request to which an owner granted no slot. The caller has ended its wait.
func (r *Router) refusedByOwner(q *request, a *slotRequest, offer *gossippb.Offer) {
	ownsNone := len(offer.Full) == 0 && !r.largeFleet()
	if a.queuedCall == nil {
		if ownsNone {
			q.lostOwners = append(q.lostOwners, a.owner)
		} else {
			q.fullOwners = append(q.fullOwners, a.owner)
		}
		r.schedule(q)
		return
	}
	r.queueRefusal(q, a, causeFromProto(offer.Cause), time.Duration(offer.BackMs)*time.Millisecond, ownsNone)
}

// unusableOffer continues with a request that was granted a slot at a backend server that may not get it any more. The owner may be
// asked again, as it is then told to avoid this server.
func (r *Router) unusableOffer(q *request, a *slotRequest) {
	q.queueOwners = slices.DeleteFunc(q.queueOwners, func(owner string) bool { return owner == a.owner })
	r.continueUnplaced(q)
}

// queueRefusal continues with a request that an owner does not or no longer queue. The cause is empty if the owner has no server that
// the request could wait for; it owns none at all if ownsNone is set.
func (r *Router) queueRefusal(q *request, a *slotRequest, cause admission.Cause, back time.Duration, ownsNone bool) {
	q.queueBasis.Cause = cause
	if at := r.now + back; back > 0 && (q.backAt == 0 || at < q.backAt) {
		q.backAt = at
	}
	switch {
	case cause == admission.OwnerGone || cause == "" && ownsNone:
		q.lostOwners = append(q.lostOwners, a.owner)
		q.queueAsks--
	case cause == "":
		q.fullOwners = append(q.fullOwners, a.owner)
	default:
		q.fullOwners = append(q.fullOwners, a.owner)
		q.queueRefused = true
	}
	if cause == admission.Expired {
		r.patienceEnded(q)
		return
	}
	r.continueUnplaced(q)
}

// queueRetryAfter returns when an owner expects a slot for a request that it refused, within the time that a caller is willing to
// wait; zero if no owner knows.
func (r *Router) queueRetryAfter(q *request) time.Duration {
	if q.backAt <= r.now {
		return 0
	}
	return max(0, min(q.backAt-r.now, (q.Deadline-r.now)/retryAfterDivisor))
}

var causesOfProto = map[gossippb.QueueCause]admission.Cause{
	gossippb.QueueCause_QUEUE_CAUSE_FULL:          admission.QueueFull,
	gossippb.QueueCause_QUEUE_CAUSE_WAIT_TOO_LONG: admission.WaitTooLong,
	gossippb.QueueCause_QUEUE_CAUSE_DISPLACED:     admission.Displaced,
	gossippb.QueueCause_QUEUE_CAUSE_EXPIRED:       admission.Expired,
	gossippb.QueueCause_QUEUE_CAUSE_OWNER_GONE:    admission.OwnerGone,
}

func causeFromProto(c gossippb.QueueCause) admission.Cause { return causesOfProto[c] }

func causeToProto(c admission.Cause) gossippb.QueueCause {
	for p, cause := range causesOfProto {
		if cause == c {
			return p
		}
	}
	return gossippb.QueueCause_QUEUE_CAUSE_NONE
}
