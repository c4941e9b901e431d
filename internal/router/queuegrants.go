package router

import (
	"slices"
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
)

const (
	// beyondSlots is the number of requests beyond its slots that an engine may hold where requests wait at owners. It covers the
	// time of the datagrams between the end of a request and the start of the next one; more would be served in order of arrival
	// instead of the queue's order.
	beyondSlots = 1
	// recentGrantTTL is how long a granted slot may be missing in the heartbeats of the host that got it, as they were sent before
	// it arrived. An offer that takes longer is returned, or counts from the host's next heartbeat on if the request waits for it.
	recentGrantTTL = ownerCallTimeout
	// misfitInterval is how long free slots that suit no waiting request are not compared with all of them again, as this takes
	// up to a millisecond and follows each event. A server's class may change meanwhile.
	misfitInterval = 25 * time.Millisecond
)

// queueLimit is limitBySlots where requests wait at owners.
func queueLimit(b *backend) int { return max(1, b.Slots) + beyondSlots }

// countOwnGrant counts a request that this host sends without a wait to one of its own backend servers.
func (r *Router) countOwnGrant(q *request, b *backend) {
	if !r.owns(b) || !r.ownerGrants(b) {
		return
	}
	if s := r.queueOf(q.service); s != nil {
		s.queue.Admit(r.now, r.ownEntry(q, 0))
	}
}

// serveQueues grants the slots that have become free with the latest event, and answers all requests if this host may not grant any
// more.
func (r *Router) serveQueues() {
	if len(r.queues.byService) == 0 {
		return
	}
	for _, service := range r.queues.services() {
		if r.queueOf(service) == nil {
			r.flush(service)
			delete(r.queues.byService, service) // shares start anew
			continue
		}
		r.serveQueue(service)
	}
	r.answerEnded()
}

// serveQueue grants free slots of a service to waiting requests.
func (r *Router) serveQueue(service string) {
	s := r.queues.byService[service]
	if s == nil || s.queue.Len() == 0 {
		return
	}
	for {
		free := r.freeBackends(service)
		if len(free) == 0 || slices.Equal(free, s.misfits) && r.now-s.misfitsAt < misfitInterval {
			return
		}
		selections := map[admission.Key]selection{}
		a, waited, ok := s.queue.Next(r.now, func(a *admission.Request) bool {
			w := s.waiting[a.Key]
			if w == nil || !r.present(w) {
				return false
			}
			c := r.selectAmong(w.q, free)
			selections[a.Key] = c
			return c.backend != nil && c.class <= w.worst && !r.awaitsFasterEngine(a, w, c)
		})
		if !ok {
			s.misfits, s.misfitsAt = free, r.now
			return
		}
		w := s.waiting[a.Key]
		delete(s.waiting, a.Key)
		r.checkQueue(s)
		r.queues.counts.Granted++
		r.invariants.Check(waited >= 0, "request %d of %s has waited %s", a.Key.Number, a.Key.Host, waited)
		r.grant(w, selections[a.Key])
	}
}

// grantsTo reports whether slots of a backend server may be granted by this host: out of its shares if they are lent, and otherwise as
// its owner. Lending does not grant what others wait for.
func (r *Router) grantsTo(b *backend, lends bool) bool {
	if lends {
		return b.ratesShared(r.now) || r.isBrittle(b) && r.maySlotsBeRequested(b)
	}
	return r.owns(b) && r.ownerGrants(b)
}

// freeBackends returns this host's backend servers of a service that have a slot for a queued request.
func (r *Router) freeBackends(service string) []*backend {
	var out []*backend
	s := r.newSelector(&request{service: service}, scopeOwned)
	for _, b := range r.owned() {
		if b.Service == service && r.grantable(b) && b.inFlight() < r.capBySlotLimit(b, queueLimit(b)) && b.excluded(r.now) == notExcluded && s.classOf(b, b.removed) <= classDoubtful {
			out = append(out, b)
		}
	}
	return out
}

// selectAmong chooses among some of this host's backend servers.
func (r *Router) selectAmong(q *request, list []*backend) selection {
	s := r.newSelector(q, scopeOwned)
	s.among = list
	return r.selectBy(s)
}

// grant gives a request the selected slot, which counts at once as its host's load.
func (r *Router) grant(w *waitingRequest, c selection) {
	b := c.backend
	r.invariants.Check(r.owns(b), "a slot of %s is granted by a host that does not own it", b.ID)
	if w.call != nil {
		q := w.q
		r.leaveQueue(q)
		q.slotCall, q.owner, q.queueBasis.Cause = nil, "", ""
		if retryAfter, yes := r.checkQuarantine(q); yes { // the verdict may have come while it waited
			r.refuseQuarantined(q, retryAfter)
			return
		}
		g := c.basis
		g.Queue, g.Owner = q.queueBasis, r.opt.Host
		r.send(q, b, g)
		return
	}
	m := r.members.byHost[w.host]
	r.emit(Send{To: []string{w.host}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: w.number, Place: b.totalLoad().toProto(b.hash),
		Limit: uint32(max(0, c.basis.Limit)), WaitUs: uint32(max(0, c.basis.Wait).Microseconds())}}})
	r.takeShares(b)
	r.adjustLoad(m, b.hash, w.q.priority(), 1, w.q.PromptTok)
	m.grants = append(m.grants, recentGrant{at: r.now, backend: b.hash, priority: w.q.priority(), prompt: w.q.PromptTok})
	r.countRisk(b)
}

// reportFreeSlot reports the end of a request to the present owner of its backend server if another host has granted its slot. Its
// heartbeats would tell the owner only later, while requests wait there.
func (r *Router) reportFreeSlot(q *request, reportedTo string) {
	if !r.queueing() {
		return
	}
	if owner := r.ownerOf(q.backend); owner != "" && owner != r.opt.Host && owner != reportedTo {
		r.sendReport(owner, q.newReport(q.backend, -1, -q.prefillTokens))
	}
}

// recentGrant is a slot that was granted to another host.
type recentGrant struct {
	at       time.Duration
	backend  uint32
	priority int
	prompt   int
}

// addRecentGrants adds slots to the loads that a host reports if it was granted them too recently for its heartbeat to count them.
// Without this, an owner would grant them again.
func (r *Router) addRecentGrants(m *member, reported loads) {
	if len(m.grants) == 0 {
		return
	}
	i := 0
	for i < len(m.grants) && r.now-m.grants[i].at > recentGrantTTL {
		i++
	}
	m.grants = slices.Clone(m.grants[i:])
	for _, g := range m.grants {
		l := reported[g.backend]
		if l.counts[g.priority] >= m.loads[g.backend].counts[g.priority] {
			continue // it is counted
		}
		l.counts[g.priority]++
		l.prefillBacklog = min(l.prefillBacklog+g.prompt, maxPrefillBacklog)
		reported[g.backend] = l
	}
}
