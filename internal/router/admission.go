package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// queuePriority returns the priority at admission queues, which tell more ranks apart than the counts of requests in flight.
func queuePriority(rank float64) int {
	return int(rank/routing.LeastUrgent*(admission.Priorities-1) + 0.5)
}

// admissionQueues are the requests of all hosts that wait for slots at this host's backend servers, by service. A queue is kept while
// it is empty, as it knows what each workspace was served.
type admissionQueues struct {
	byService map[string]*serviceQueue
	// ended are refusals that are yet to be answered.
	ended  []endedWait
	counts QueueCounts
	// backlogSent is set if the last report to other hosts named a queue.
	backlogSent bool
}

// serviceQueue is the queue of one service. waiting holds the same requests as queue, as a selector needs them.
type serviceQueue struct {
	queue   *admission.Queue
	waiting map[admission.Key]*waitingRequest
	// wait is the predicted wait that is reported to other hosts, as of waitAt.
	wait, waitAt time.Duration
	// misfits are free backend servers that suit no waiting request, as of misfitsAt. New requests have been compared with them.
	misfits   []*backend
	misfitsAt time.Duration
}

// waitingRequest is a request that waits at this host.
type waitingRequest struct {
	q     *request // another host's as far as its slot request tells
	worst class
	// since is when it arrived at this host.
	since time.Duration
	// call is the slot request of this host's own request, nil for another host's.
	call *slotRequest
	// host and number identify another host's slot request, incarnation its process.
	host        string
	number      uint64
	incarnation uint64
}

// endedWait is a request that has left its queue without a slot.
type endedWait struct {
	w    *waitingRequest
	why  admission.Cause
	back time.Duration
}

func newAdmissionQueues() admissionQueues {
	return admissionQueues{byService: map[string]*serviceQueue{}, counts: QueueCounts{Refused: map[admission.Cause]int{}}}
}

// applyAdmissionSettings applies changed settings. If they turn the queues on or off, requests that wait are answered as if this host
// were draining.
func (r *Router) applyAdmissionSettings(s AdmissionSettings) {
	if s == r.opt.Admission {
		return
	}
	was := r.opt.Admission
	r.opt.Admission = s
	if s.Enabled == was.Enabled {
		r.resizeQueues()
		return
	}
	r.owners.valid = false
	for _, service := range r.queues.services() {
		r.flush(service)
		delete(r.queues.byService, service)
	}
	r.answerEnded()
}

// resizeQueues applies a changed limit of waiting requests. Free slots are granted first, so that none that could run is refused.
func (r *Router) resizeQueues() {
	for _, service := range r.queues.services() {
		r.serveQueue(service)
		s := r.queues.byService[service]
		r.endWaits(s, s.queue.SetMaxRequests(r.now, r.opt.Admission.MaxRequests))
		r.checkQueue(s)
	}
	r.answerEnded()
}

func (a *admissionQueues) services() []string { return slices.Sorted(maps.Keys(a.byService)) }

// queueOf returns the queue of a service and creates it if necessary, or nil if this host owns no backend server of it.
func (r *Router) queueOf(service string) *serviceQueue {
	if !r.queueing() || r.drain != nil || !r.ownsAnyOf(service) {
		return nil
	}
	s, ok := r.queues.byService[service]
	if !ok {
		s = &serviceQueue{queue: admission.New(admission.Config{MaxRequests: r.opt.Admission.MaxRequests}), waiting: map[admission.Key]*waitingRequest{}}
		r.queues.byService[service] = s
	}
	return s
}

func (r *Router) ownsAnyOf(service string) bool {
	return slices.ContainsFunc(r.owned(), func(b *backend) bool { return b.Service == service && (!b.removed || r.now < b.graceUntil) })
}

// owned returns the backend servers that this host owns.
func (r *Router) owned() []*backend {
	if !r.usesOwners() {
		return nil
	}
	r.localShardOwners()
	return r.owners.ownedBackends
}

// admitOrQueue grants another host a slot, queues its request, or tells it that there is no slot.
func (r *Router) admitOrQueue(m *member, a *gossippb.Ask) {
	r.serveQueue(a.Service)
	w := &waitingRequest{q: r.requestFromAsk(a), worst: class(a.WorstClass), since: r.now, host: m.host, number: a.Number, incarnation: m.incarnation}
	s := r.queueOf(a.Service)
	if s == nil {
		r.emit(Send{To: []string{m.host}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: a.Number, Full: r.ownedLoads(a.Service)}}})
		return
	}
	entry := r.entryFromAsk(m, a, w.q)
	if old := s.waiting[entry.Key]; old != nil && old.incarnation != m.incarnation {
		r.removeWaiting(entry.Key) // of an earlier process of the host
	}
	if old := s.waiting[entry.Key]; old != nil && a.Queues {
		// The sender asks whether the request still waits. It keeps its place.
		old.q, old.worst = w.q, w.worst
		wait, _ := s.queue.PredictedWait(r.now, entry)
		r.offerPlaceInQueue(w, wait)
		return
	}
	if c := r.selectInScope(w.q, scopeOwned); c.backend != nil && c.class <= w.worst && !(a.Queues && r.newAwaitsFasterEngine(s, &entry, w, c)) {
		s.queue.Admit(r.now, entry)
		r.grant(w, c)
		return
	}
	if !a.Queues || !r.mayWaitHere(w) {
		r.emit(Send{To: []string{m.host}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: a.Number, Full: r.ownedLoads(a.Service)}}})
		return
	}
	if wait, queued := r.enqueue(s, a.Service, entry, w); queued {
		r.offerPlaceInQueue(w, wait)
	}
	r.answerEnded()
}

// admitOrQueueOwn does the same for a request of this host.
func (r *Router) admitOrQueueOwn(q *request, a *slotRequest) {
	w := &waitingRequest{q: q, worst: a.queuedCall.worst, since: r.now, call: a}
	s := r.queueOf(q.service)
	if s == nil || !r.mayWaitHere(w) {
		r.leaveQueue(q)
		q.slotCall = nil
		r.queueRefusal(q, a, "", 0, s == nil)
		return
	}
	entry := r.ownEntry(q, a.number)
	if c := r.selectInScope(q, scopeOwned); c.backend != nil && c.class <= w.worst && !r.newAwaitsFasterEngine(s, &entry, w, c) {
		s.queue.Admit(r.now, entry)
		r.grant(w, c)
		return
	}
	if wait, queued := r.enqueue(s, q.service, entry, w); queued {
		r.noteQueued(q, a, wait)
	}
	r.answerEnded()
}

// ownEntry returns a request of this host as the queue needs it.
func (r *Router) ownEntry(q *request, number uint64) admission.Request {
	e := r.entryOf(q, admission.Key{Host: r.opt.Host, Number: number}, q.patienceEnds-answerMargin, r.now+r.timeToTarget(q))
	workspace, weight := q.competitor()
	e.Workspace, e.Weight, e.Returning = workspace, float64(weight), q.returning
	return e
}

// entryFromAsk returns another host's request as the queue needs it.
func (r *Router) entryFromAsk(m *member, a *gossippb.Ask, q *request) admission.Request {
	e := r.entryOf(q, admission.Key{Host: m.host, Number: a.Number}, r.now+time.Duration(a.PatienceMs)*time.Millisecond, r.now+time.Duration(a.TargetMs)*time.Millisecond)
	e.Workspace, e.Weight, e.Returning = a.Workspace, float64(a.Weight), a.Returning
	return e
}

// entryOf returns a request as the queue needs it. target is when its first event is due.
func (r *Router) entryOf(q *request, k admission.Key, patienceEnds, target time.Duration) admission.Request {
	return admission.Request{Key: k, Priority: queuePriority(q.Rank), Cost: r.occupation(q).Seconds() * 1000,
		OnTimeBy: target - r.expectedPrefill(q), PatienceEnds: patienceEnds, Deadline: q.Deadline}
}

// mayWaitHere reports whether one of this host's backend servers may serve a request later on.
func (r *Router) mayWaitHere(w *waitingRequest) bool {
	s := r.newSelector(w.q, scopeOwned)
	return slices.ContainsFunc(r.owned(), func(b *backend) bool {
		return b.Service == w.q.service && r.mayQueueFor(w.q, b) && s.classOf(b, b.removed) <= w.worst
	})
}

// enqueue adds a request to a queue. What the queue refuses is answered by answerEnded.
func (r *Router) enqueue(s *serviceQueue, service string, entry admission.Request, w *waitingRequest) (time.Duration, bool) {
	r.setRoom(s, service)
	wait, queued, refusals := s.queue.Add(r.now, entry)
	s.waiting[entry.Key] = w
	if queued {
		r.queues.counts.Added++
	}
	r.endWaits(s, refusals)
	r.checkQueue(s)
	return wait, queued
}

func (r *Router) checkQueue(s *serviceQueue) {
	r.invariants.Check(s.queue.Len() == len(s.waiting), "%d requests are queued, %d are known", s.queue.Len(), len(s.waiting))
}

// setRoom tells a queue how many slots this host may grant.
func (r *Router) setRoom(s *serviceQueue, service string) {
	slots := 0
	for _, b := range r.owned() {
		if b.Service == service && r.grantable(b) && b.excluded(r.now) == notExcluded && !b.isUnreachable(r.now) && !b.suspect(r.now) {
			slots += r.slotLimit(b)
		}
	}
	s.queue.SetRoom(slots, r.usualOccupation(service))
}

// grantable reports whether the slots of a backend server that this host owns go to queued requests.
func (r *Router) grantable(b *backend) bool {
	return !b.cold(r.now) && !b.rateLimited() && !r.isBrittle(b)
}

// endWaits records refusals by a queue until answerEnded.
func (r *Router) endWaits(s *serviceQueue, refusals []admission.Refusal) {
	for _, f := range refusals {
		w := s.waiting[f.Request.Key]
		delete(s.waiting, f.Request.Key)
		r.queues.counts.Refused[f.Cause]++
		if w != nil {
			r.queues.ended = append(r.queues.ended, endedWait{w, f.Cause, f.RetryAfter})
		}
	}
}

// answerEnded answers the requests that have left their queues without a slot. Those of this host are scheduled anew, which may end
// others.
func (r *Router) answerEnded() {
	for len(r.queues.ended) > 0 {
		e := r.queues.ended[0]
		r.queues.ended = r.queues.ended[1:]
		if e.w.call == nil {
			r.refuseSlot(e)
			continue
		}
		q, ok := r.requests[e.w.call.requestID]
		if !ok || q.slotCall != e.w.call {
			continue
		}
		r.leaveQueue(q)
		q.slotCall = nil
		r.queueRefusal(q, e.w.call, e.why, e.back, false)
	}
}

// refuseSlot tells another host that its request got no slot.
func (r *Router) refuseSlot(e endedWait) {
	r.emit(Send{To: []string{e.w.host}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: e.w.number, Full: r.ownedLoads(e.w.q.service),
		Cause: causeToProto(e.why), BackMs: uint32((e.back + time.Millisecond - 1).Milliseconds())}}})
}

// offerPlaceInQueue tells another host that its request waits.
func (r *Router) offerPlaceInQueue(w *waitingRequest, wait time.Duration) {
	r.emit(Send{To: []string{w.host}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: w.number, Queued: true, WaitUs: uint32(min(max(0, wait), maxBacklogWait).Microseconds())}}})
}

// flush ends the waits of all requests of a service.
func (r *Router) flush(service string) {
	if s := r.queues.byService[service]; s != nil {
		r.endWaits(s, s.queue.Clear())
		r.checkQueue(s)
	}
}

// present reports whether the process whose request waits can be reached and still runs.
func (r *Router) present(w *waitingRequest) bool {
	if w.call != nil {
		return true
	}
	m, ok := r.members.byHost[w.host]
	return ok && !m.unreachable && m.incarnation == w.incarnation
}

// handleWithdraw removes another host's request from its queue.
func (r *Router) handleWithdraw(from string, w *gossippb.Withdraw) {
	r.removeWaiting(admission.Key{Host: from, Number: w.Number})
}

// withdrawOwn removes a request of this host from its queue.
func (r *Router) withdrawOwn(a *slotRequest) {
	r.removeWaiting(admission.Key{Host: r.opt.Host, Number: a.number})
}

func (r *Router) removeWaiting(k admission.Key) {
	for _, service := range r.queues.services() {
		s := r.queues.byService[service]
		if s.waiting[k] != nil {
			delete(s.waiting, k)
			s.queue.Remove(k)
			r.queues.counts.Withdrawn++
			r.checkQueue(s)
			return
		}
	}
}

// expireQueues removes the requests of hosts that are gone, and refuses those that will not get a slot in time.
func (r *Router) expireQueues() {
	for _, service := range r.queues.services() {
		s := r.queues.byService[service]
		if s.queue.Len() == 0 {
			continue
		}
		r.removeGone(s)
		r.serveQueue(service) // before refusing any
		r.setRoom(s, service)
		r.endWaits(s, s.queue.Expire(r.now))
		r.checkQueue(s)
	}
	r.answerEnded()
}

// removeGone removes the requests of hosts that are gone.
func (r *Router) removeGone(s *serviceQueue) {
	var gone []admission.Key
	for k, w := range s.waiting {
		if !r.present(w) {
			gone = append(gone, k)
		}
	}
	slices.SortFunc(gone, func(a, b admission.Key) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Number, b.Number))
	})
	for _, k := range gone {
		s.queue.Remove(k)
		delete(s.waiting, k)
	}
}

// viewQueues adds the queues to what operators see.
func (r *Router) viewQueues(v *View) {
	for _, service := range r.queues.services() {
		s := r.queues.byService[service]
		v.Queues = append(v.Queues, QueueView{Service: service, Requests: s.queue.Len(), View: s.queue.View(r.now)})
	}
	v.QueueCounts = r.queues.counts
	v.QueueCounts.Refused = maps.Clone(r.queues.counts.Refused)
}
