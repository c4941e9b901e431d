package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// ownerCallTimeout is how long a host waits for an owner's reply before it decides locally, at the next
	// tick. A datagram within a zone takes a fraction of a millisecond and a busy small host a few
	// milliseconds to reply. Callers expect the first event within hundreds of milliseconds.
	ownerCallTimeout = 20 * time.Millisecond
	// lateReplyTTL is how long a timed-out call is remembered, so that a slot granted by a late reply can be
	// returned.
	lateReplyTTL = 2 * time.Second
	// maxSlotRequests limits the owners asked before a request is sent.
	maxSlotRequests = 3
	// After maxMissedReplies calls in a row without a reply, an owner is not called for ownerBackoff: it is
	// frozen, disconnected or down, and no caller should wait for it.
	maxMissedReplies = 2
	ownerBackoff     = 500 * time.Millisecond
	// fullTTL is how long an owner's reply that it has no free slot applies to further requests. A shard of
	// ten engines with four slots each releases one every few tens of milliseconds.
	fullTTL = 10 * time.Millisecond
)

// slotRequest is a call to an owner for a slot at one of its backend servers.
type slotRequest struct {
	ownerCall
	priority int
	prompt   int
	borrows  bool
	// queuedCall is set if the request may wait at the owner.
	queuedCall *queuedCall
}

// schedule obtains a slot from the owner of a backend server if backend servers have owners. This host's load data, some hundred
// milliseconds old, selects the owner to call, and the owner selects the backend server by exact counts.
// If no owner replies, this host decides locally.
func (r *Router) schedule(q *request) {
	if r.spillEarly(q) {
		return
	}
	if !r.usesOwners() {
		r.sendOrBorrow(q)
		return
	}
	if r.queueing() {
		r.scheduleWithQueues(q)
		return
	}
	c := r.selectInScope(q, scopeZone)
	if c.backend == nil || c.class != classHealthy || c.basis.InFlight >= c.backend.Slots {
		c = r.selectInScope(q, scopeAll) // the zone's own backend servers are busy
	}
	if c.backend != nil && c.class == classHealthy {
		r.requestSlotOrSend(q, c)
		return
	}
	if owner := r.fallbackOwner(q); owner != "" {
		r.requestSlot(q, owner, classSlow, false)
		return
	}
	if c.backend == nil {
		c.basis.ViewAge = r.oldestHeartbeatAge()
		r.borrowOrRefuse(q, c.basis)
		return
	}
	r.requestSlotOrSend(q, c)
}

// requestSlotOrSend calls the owner of the selected backend server, or sends the request directly if there
// is no owner to call.
func (r *Router) requestSlotOrSend(q *request, c selection) {
	owner := r.ownerOf(c.backend)
	// Owners grant no slots at cold or rate-limited backend servers. Few hosts send to those, without asking.
	if !r.ownerGrants(c.backend) || !r.mayAsk(q, owner) {
		c.basis.ViewAge = r.oldestHeartbeatAge()
		r.send(q, c.backend, c.basis)
		return
	}
	r.requestSlot(q, owner, c.class, false)
}

// mayAsk reports whether the owner of a backend server is asked for a slot for a request.
func (r *Router) mayAsk(q *request, owner string) bool {
	return !q.decideLocally && len(q.fullOwners)+len(q.lostOwners) < maxSlotRequests && !slices.Contains(q.lostOwners, owner) && r.canAsk(owner)
}

// canAsk reports whether an owner is another host that is expected to reply.
func (r *Router) canAsk(owner string) bool {
	if owner == "" || owner == r.opt.Host || r.now < r.statusOf(owner).backoffUntil {
		return false
	}
	m, ok := r.members.byHost[owner]
	return !ok || !m.unreachable
}

// fallbackOwner returns a random owner that may have a free slot although this host's load data shows none,
// or "". Owners' load reports are 250 ms old, and on busy days each engine has finished several requests since.
func (r *Router) fallbackOwner(q *request) string {
	if q.decideLocally || len(q.fullOwners) >= maxSlotRequests {
		return ""
	}
	var owners []string
	for _, b := range r.zoneBackendsOf(q.service) {
		owner := r.ownerOf(b)
		if owner == "" || slices.Contains(owners, owner) || slices.Contains(q.fullOwners, owner) || !r.canAsk(owner) || !r.assignable(q, b) {
			continue
		}
		if r.now-r.statusOf(owner).fullAt[q.priority()] >= fullTTL {
			owners = append(owners, owner)
		}
	}
	if len(owners) == 0 {
		return ""
	}
	return owners[r.rng.IntN(len(owners))]
}

// assignable reports whether an owner may grant a slot at a backend server for a request.
func (r *Router) assignable(q *request, b *backend) bool {
	return r.mayGet(q, b) && !b.cold(r.now) && !b.rateLimited()
}

// requestSlot asks a host for a slot at one of the backend servers that it owns or, if borrows is set, that it has a share of.
func (r *Router) requestSlot(q *request, owner string, worst class, borrows bool) {
	a := &slotRequest{ownerCall: ownerCall{number: r.slotRequests.next(), requestID: q.ID, owner: owner, sentAt: r.now}, priority: q.priority(), prompt: q.PromptTok, borrows: borrows}
	q.slotCall = a
	r.slotRequests.add(a)
	r.announceToOwner(owner)
	r.emit(Send{To: []string{owner}, Packet: &gossippb.Packet{Ask: r.newAsk(q, a, worst)}})
}

// newAsk returns the message of a slot request.
func (r *Router) newAsk(q *request, a *slotRequest, worst class) *gossippb.Ask {
	ask := &gossippb.Ask{
		Number: a.number, Service: q.service, Streaming: q.Route.Kind == routing.Streaming, Rank: float32(q.Rank),
		Prompt: uint32(max(0, q.PromptTok)), Output: uint32(max(0, q.OutputTok)),
		LeftMs: uint32(max(0, q.Deadline-r.now).Milliseconds()), TargetMs: uint32(q.Route.Target.Milliseconds()),
		WorstClass: uint32(worst), Avoid: r.excludedBackends(q, a.owner), Continued: q.continued, Borrows: a.borrows,
	}
	if r.queueing() {
		// The owner counts what each workspace is granted, also without a wait.
		ask.Workspace, ask.Weight = q.competitor()
		ask.Returning = q.returning
	}
	return ask
}

// announceToOwner sends a heartbeat to an owner in another zone, which knows this host only while it has
// requests there.
func (r *Router) announceToOwner(owner string) {
	if zone := r.members.zoneOf[owner]; zone == "" || r.exchangesHeartbeats(zone) || r.now < r.owners.announcedUntil[owner] {
		return
	}
	r.sendCrossZoneHeartbeat([]string{owner})
}

// sendCrossZoneHeartbeat reports this host's load to owners in other zones. Its quota usage reaches them in
// its zone's summaries.
func (r *Router) sendCrossZoneHeartbeat(to []string) {
	for _, owner := range to {
		r.owners.announcedUntil[owner] = r.now + r.heartbeatInterval()
	}
	r.emitHeartbeat(to, func(*gossippb.Beat) {})
}

// remoteOwnersWithLoad returns the owners in other zones at whose backend servers or in whose queues this host has requests.
func (r *Router) remoteOwnersWithLoad() []string {
	var out []string
	for _, b := range r.allBackends() {
		if b.Zone == r.opt.Zone || b.ownLoad.total() == 0 {
			continue
		}
		if owner := r.ownerOf(b); owner != "" && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}
	for _, a := range r.queuedCalls.calls {
		// The owner drops the waiting requests of hosts that it does not hear.
		if a.owner != r.opt.Host && r.ownerZone(a.owner) != r.opt.Zone && !slices.Contains(out, a.owner) {
			out = append(out, a.owner)
		}
	}
	return out
}

// excludedBackends returns the hashes of an owner's backend servers that this host itself found unusable, or that may not get
// the request.
func (r *Router) excludedBackends(q *request, owner string) []uint32 {
	var out []uint32
	candidates := r.backendsOf(q.service)
	if r.largeFleet() {
		candidates = r.backendsIn(r.ownerZone(owner))
	}
	for _, b := range candidates {
		if b.Service != q.service || (r.usesOwners() && r.ownerOf(b) != owner) {
			continue
		}
		if q.spill.Zone != "" && b.Zone != q.spill.Zone {
			out = append(out, b.hash)
			continue
		}
		if !r.mayGet(q, b) || r.now < b.unreachableUntil || r.now < b.avoidUntil || slices.Contains(q.tried, b.ID) {
			out = append(out, b.hash)
		}
	}
	return out
}

// expireSlotRequests handles the slot requests whose owner did not reply in time.
func (r *Router) expireSlotRequests() {
	for _, a := range r.slotRequests.overdue(r.now) {
		r.slotRequestTimedOut(a)
	}
}

// replyReceived resets an owner's missed replies and its backoff.
func (r *Router) replyReceived(owner string) {
	t := r.statusOf(owner)
	t.missedReplies, t.backoffUntil = 0, 0
}

// replyMissed counts a missed reply and starts the backoff after maxMissedReplies.
func (r *Router) replyMissed(owner string) {
	t := r.statusOf(owner)
	t.missedReplies++
	if t.missedReplies >= maxMissedReplies {
		t.backoffUntil = r.now + ownerBackoff
		r.emit(Note{What: "owner does not answer", Subject: owner})
	}
}

func (r *Router) slotRequestTimedOut(a *slotRequest) {
	r.replyMissed(a.owner)
	q, ok := r.requests[a.requestID]
	if !ok || q.slotCall != a {
		return
	}
	if a.queuedCall != nil {
		r.firstReplyMissed(q, a)
		return
	}
	q.slotCall = nil
	r.spillRefused(q)
	if retryAfter, yes := r.checkQuarantine(q); yes { // the verdict may have come while it waited
		r.refuseQuarantined(q, retryAfter)
		return
	}
	switch {
	case r.queueing() && !a.borrows:
		q.lostOwners = append(q.lostOwners, a.owner)
	case r.usesOwners() && r.isLocalOwner(a.owner):
		q.decideLocally = true
	default:
		// The other zone may be disconnected, and its backend servers with it.
		q.fullOwners = append(q.fullOwners, a.owner)
	}
	r.schedule(q)
}

// ownerZone returns the availability zone of an owner.
func (r *Router) ownerZone(owner string) string {
	if zone := r.members.zoneOf[owner]; zone != "" {
		return zone
	}
	return r.opt.Zone
}

func (r *Router) isLocalOwner(host string) bool { return slices.Contains(r.localShardOwners(), host) }

// handleSlotOffer processes an owner's reply to a slot request.
func (r *Router) handleSlotOffer(from string, offer *gossippb.Offer) {
	a, ok := r.slotRequests.take(from, offer.Number)
	if ok && offer.Queued && a.queuedCall == nil {
		r.slotRequests.add(a) // only a request that asked for it can be queued, so this is a reply to an earlier process
		return
	}
	if !ok {
		a, ok = r.queuedCalls.call(from, offer.Number)
	}
	if !ok {
		r.withdrawUnknown(from, offer)
		return
	}
	r.replyReceived(from)
	if offer.Queued {
		r.requestQueued(a, offer)
		return
	}
	if offer.Place == nil {
		r.statusOf(from).fullAt[a.priority] = r.now
	}
	r.applyOwnerLoads(offer.Full)
	q, known := r.requests[a.requestID]
	if !known || q.slotCall != a {
		r.returnSlot(a, offer)
		return
	}
	r.leaveQueue(q)
	q.slotCall = nil
	if retryAfter, yes := r.checkQuarantine(q); yes {
		r.returnSlot(a, offer)
		r.refuseQuarantined(q, retryAfter)
		return
	}
	b := r.byHash[offer.GetPlace().GetBackend()]
	if q.spill.Zone != "" && !r.takeSpillOffer(q, a, offer, b) {
		r.schedule(q)
		return
	}
	if offer.Place == nil || b == nil || !r.usableFor(q, b) && !(offer.Lent && r.mayBorrow(q, b)) {
		// No slot, or one at a backend server that is draining or gone, which the owner does not know yet.
		r.returnSlot(a, offer)
		if r.queueing() && !a.borrows && offer.Place == nil {
			r.refusedByOwner(q, a, offer)
			return
		}
		if a.queuedCall != nil {
			r.unusableOffer(q, a)
			return
		}
		q.fullOwners = append(q.fullOwners, from)
		r.schedule(q)
		return
	}
	reported := loadFromProto(offer.Place)
	r.applyOwnerLoad(b, reported)
	q.owner, q.queueBasis.Cause = from, ""
	g := r.basis()
	g.InFlight, g.Limit, g.Wait = reported.total(), int(offer.Limit), time.Duration(offer.WaitUs)*time.Microsecond
	g.Owner, g.ViewAge, g.Queue = from, r.now-a.sentAt, q.queueBasis
	r.addOwnLoad(q, b) // the other host has taken what the request needs of its shares
	r.sendCounted(q, b, g)
}

func (r *Router) usableFor(q *request, b *backend) bool {
	return r.assignable(q, b) && b.Service == q.service && !slices.Contains(q.tried, b.ID)
}

// returnSlot returns a granted slot that is not used.
func (r *Router) returnSlot(a *slotRequest, o *gossippb.Offer) {
	if o.Place == nil {
		return
	}
	r.sendReport(a.owner, &gossippb.Report{Backend: o.Place.Backend, Priority: uint32(a.priority), Requests: -1, Unread: -int32(a.prompt)})
}

func (r *Router) sendReport(to string, rep *gossippb.Report) {
	r.emit(Send{To: []string{to}, Packet: &gossippb.Packet{Report: rep}})
}
