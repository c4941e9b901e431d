package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// ownerCallTimeout is how long a host waits for an owner before it decides alone, at the next tick. A datagram
	// inside a zone takes a fraction of a millisecond and a busy small host a few to answer; callers want the
	// first event within hundreds.
	ownerCallTimeout = 20 * time.Millisecond
	// lateReplyTTL is how long an answer that comes too late still finds its question, so that the place is
	// given back.
	lateReplyTTL = 2 * time.Second
	// maxSlotRequests bounds the owners that are asked for one send.
	maxSlotRequests = 3
	// maxMissedReplies questions in a row without an answer, an owner is not asked for muteFor: it is frozen, cut
	// off or dead, and a caller should not wait for it.
	maxMissedReplies = 2
	ownerBackoff     = 500 * time.Millisecond
	// fullTTL is how long an owner's word that there is no place holds for the next request: a shard of
	// ten engines with four places frees one every few tens of milliseconds.
	fullTTL = 10 * time.Millisecond
)

// slotRequest is a question for a place.
type slotRequest struct {
	ownerCall
	priority int
	prompt   int
}

// schedule finds a place through the owners of this zone's backend servers. Beliefs, which are some hundred
// milliseconds old, choose whom to ask; the owner chooses the backend server by exact counts. Where no owner
// answers, this host decides alone.
func (r *Router) schedule(q *request) {
	c := r.selectInScope(q, scopeZone)
	if c.backend == nil || c.class != classHealthy || c.grounds.InFlight >= c.backend.Slots {
		c = r.selectInScope(q, scopeAll) // the zone's own backend servers are busy
	}
	if c.backend != nil && c.class == classHealthy {
		r.requestSlotOrSend(q, c)
		return
	}
	if owner := r.fallbackOwner(q); owner != "" {
		r.requestSlot(q, owner, classSlow)
		return
	}
	if c.backend == nil {
		c.grounds.ViewAge = r.oldestHeartbeatAge()
		r.refuse(q, c.grounds)
		return
	}
	r.requestSlotOrSend(q, c)
}

// requestSlotOrSend asks the owner of the chosen backend server, or sends where there is nobody to ask.
func (r *Router) requestSlotOrSend(q *request, c selection) {
	owner := r.ownerOf(c.backend)
	// Owners have no places at cold backend servers, to which few hosts send by themselves.
	if c.backend.cold(r.now) || q.decideLocally || len(q.fullOwners) >= maxSlotRequests || !r.canAsk(owner) {
		c.grounds.ViewAge = r.oldestHeartbeatAge()
		r.send(q, c.backend, c.grounds)
		return
	}
	r.requestSlot(q, owner, c.class)
}

// canAsk tells whether it is worth asking a host.
func (r *Router) canAsk(owner string) bool {
	if owner == "" || owner == r.opt.Host || r.now < r.statusOf(owner).backoffUntil {
		return false
	}
	m, ok := r.members.byHost[owner]
	return !ok || !m.unreachable
}

// fallbackOwner is an owner that may have a place although what is believed here says that there is none.
// Words of owners are a quarter of a second old; on heavy days each engine has ended several requests since.
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

// assignable tells whether an owner may offer a place at a backend server for a request.
func (r *Router) assignable(q *request, b *backend) bool {
	ok, _ := b.usable(r.now)
	return ok && !b.cold(r.now) && r.mayServe(q.Route, q.Workspace, b.Zone)
}

func (r *Router) requestSlot(q *request, owner string, worst class) {
	a := &slotRequest{ownerCall{number: r.slotRequests.next(), requestID: q.ID, owner: owner, sentAt: r.now}, q.priority(), q.PromptTok}
	q.slotCall = a
	r.slotRequests.add(a)
	r.announceToOwner(owner)
	r.emit(Send{To: []string{owner}, Packet: &gossippb.Packet{Ask: &gossippb.Ask{
		Number: a.number, Service: q.service, Streaming: q.Route.Kind == routing.Streaming, Rank: float32(q.Rank),
		Prompt: uint32(max(0, q.PromptTok)), Output: uint32(max(0, q.OutputTok)),
		LeftMs: uint32(max(0, q.Deadline-r.now).Milliseconds()), TargetMs: uint32(q.Route.Target.Milliseconds()),
		WorstClass: uint32(worst), Avoid: r.excludedBackends(q, owner),
	}}})
}

// announceToOwner sends a beat to an owner of another zone, which knows this host only while it has requests there.
func (r *Router) announceToOwner(owner string) {
	if zone := r.members.zoneOf[owner]; zone == "" || r.exchangesHeartbeats(zone) || r.now < r.owners.announcedUntil[owner] {
		return
	}
	r.sendCrossZoneHeartbeat([]string{owner})
}

// sendCrossZoneHeartbeat tells owners of other zones what this host carries. What it has spent of quotas they hear in
// its zone's sums.
func (r *Router) sendCrossZoneHeartbeat(to []string) {
	for _, owner := range to {
		r.owners.announcedUntil[owner] = r.now + r.heartbeatInterval()
	}
	r.emitHeartbeat(to, func(*gossippb.Beat) {})
}

// remoteOwnersWithLoad are the owners of other zones at whose backend servers this host has requests.
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
	return out
}

// excludedBackends are an owner's backend servers that this host cannot use, by its own experience.
func (r *Router) excludedBackends(q *request, owner string) []uint32 {
	var out []uint32
	for _, b := range r.backendsIn(r.ownerZone(owner)) {
		if b.Service != q.service || r.ownerOf(b) != owner {
			continue
		}
		ok, _ := b.usable(r.now)
		if !ok || r.now < b.unreachableUntil || r.now < b.avoidUntil || slices.Contains(q.tried, b.ID) {
			out = append(out, b.hash)
		}
	}
	return out
}

// expireSlotRequests decides alone for requests whose question was not answered in time.
func (r *Router) expireSlotRequests() {
	for _, a := range r.slotRequests.overdue(r.now) {
		r.slotRequestTimedOut(a)
	}
}

// replyReceived notes that an owner answers.
func (r *Router) replyReceived(owner string) {
	t := r.statusOf(owner)
	t.missedReplies, t.backoffUntil = 0, 0
}

// replyMissed notes a question that an owner has not answered in time.
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
	q.slotCall = nil
	if r.isLocalOwner(a.owner) {
		q.decideLocally = true
	} else {
		// The other zone may be cut off, and its backend servers with it.
		q.fullOwners = append(q.fullOwners, a.owner)
	}
	r.schedule(q)
}

// ownerZone is the availability zone of a host that owns backend servers.
func (r *Router) ownerZone(owner string) string {
	if zone := r.members.zoneOf[owner]; zone != "" {
		return zone
	}
	return r.opt.Zone
}

func (r *Router) isLocalOwner(host string) bool { return slices.Contains(r.localShardOwners(), host) }

// handleOffer takes an owner's answer.
func (r *Router) handleOffer(from string, offer *gossippb.Offer) {
	a, ok := r.slotRequests.take(from, offer.Number)
	if !ok {
		return
	}
	r.replyReceived(from)
	if offer.Place == nil {
		r.statusOf(from).fullAt[a.priority] = r.now
	}
	r.applyOwnerLoads(offer.Full)
	q, known := r.requests[a.requestID]
	if !known || q.slotCall != a {
		r.returnSlot(a, offer)
		return
	}
	q.slotCall = nil
	b := r.byHash[offer.GetPlace().GetBackend()]
	if offer.Place == nil || b == nil || !r.usableFor(q, b) {
		// There is no place, or it is at a backend server that drains or is gone, which the owner has not heard.
		r.returnSlot(a, offer)
		q.fullOwners = append(q.fullOwners, from)
		r.schedule(q)
		return
	}
	reported := loadFromProto(offer.Place)
	r.applyOwnerLoad(b, reported)
	q.owner = from
	g := r.grounds()
	g.InFlight, g.Limit, g.Wait = reported.total(), int(offer.Limit), time.Duration(offer.WaitUs)*time.Microsecond
	g.Owner, g.ViewAge = from, r.now-a.sentAt
	r.send(q, b, g)
}

func (r *Router) usableFor(q *request, b *backend) bool {
	return r.assignable(q, b) && b.Service == q.service && !slices.Contains(q.tried, b.ID)
}

// returnSlot returns a place that is not used.
func (r *Router) returnSlot(a *slotRequest, o *gossippb.Offer) {
	if o.Place == nil {
		return
	}
	r.sendReport(a.owner, &gossippb.Report{Backend: o.Place.Backend, Priority: uint32(a.priority), Requests: -1, Unread: -int32(a.prompt)})
}

func (r *Router) sendReport(to string, rep *gossippb.Report) {
	r.emit(Send{To: []string{to}, Packet: &gossippb.Packet{Report: rep}})
}
