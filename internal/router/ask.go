package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// askPatience is how long a host waits for an owner before it decides alone, at the next tick. A datagram
	// inside a zone takes a fraction of a millisecond and a busy small host a few to answer; callers want the
	// first event within hundreds.
	askPatience = 20 * time.Millisecond
	// askForget is how long an answer that comes too late still finds its question, so that the place is
	// given back.
	askForget = 2 * time.Second
	// maxAsks bounds the owners that are asked for one send.
	maxAsks = 3
	// muteAfter questions in a row without an answer, an owner is not asked for muteFor: it is frozen, cut
	// off or dead, and a caller should not wait for it.
	muteAfter = 2
	muteFor   = 500 * time.Millisecond
	// fullFresh is how long an owner's word that there is no place holds for the next request: a shard of
	// ten engines with four places frees one every few tens of milliseconds.
	fullFresh = 10 * time.Millisecond
)

// ask is a question for a place.
type ask struct {
	question
	priority int
	prompt   int
}

// seek finds a place through the owners of this zone's backend servers. Beliefs, which are some hundred
// milliseconds old, choose whom to ask; the owner chooses the backend server by exact counts. Where no owner
// answers, this host decides alone.
func (r *Router) seek(q *request) {
	c := r.placeIn(q, inZone)
	if c.b == nil || c.class != good || c.grounds.InFlight >= c.b.Slots {
		c = r.placeIn(q, anywhere) // the zone's own backend servers are busy
	}
	if c.b != nil && c.class == good {
		r.approach(q, c)
		return
	}
	if owner := r.hopefulOwner(q); owner != "" {
		r.ask(q, owner, slow)
		return
	}
	if c.b == nil {
		c.grounds.ViewAge = r.oldestBelief()
		r.refuse(q, c.grounds)
		return
	}
	r.approach(q, c)
}

// approach asks the owner of the chosen backend server, or sends where there is nobody to ask.
func (r *Router) approach(q *request, c choice) {
	owner := r.ownerOf(c.b)
	// Owners have no places at cold backend servers, to which few hosts send by themselves.
	if c.b.cold(r.now) || q.alone || len(q.full) >= maxAsks || !r.answers(owner) {
		c.grounds.ViewAge = r.oldestBelief()
		r.send(q, c.b, c.grounds)
		return
	}
	r.ask(q, owner, c.class)
}

// answers tells whether it is worth asking a host.
func (r *Router) answers(owner string) bool {
	if owner == "" || owner == r.opt.Host || r.now < r.trustOf(owner).muteUntil {
		return false
	}
	m, ok := r.members.byHost[owner]
	return !ok || !m.unreachable
}

// hopefulOwner is an owner that may have a place although what is believed here says that there is none.
// Words of owners are a quarter of a second old; on heavy days each engine has ended several requests since.
func (r *Router) hopefulOwner(q *request) string {
	if q.alone || len(q.full) >= maxAsks {
		return ""
	}
	var hopeful []string
	for _, b := range r.zoneBackendsOf(q.service) {
		owner := r.ownerOf(b)
		if owner == "" || slices.Contains(hopeful, owner) || slices.Contains(q.full, owner) || !r.answers(owner) || !r.offerable(q, b) {
			continue
		}
		if r.now-r.trustOf(owner).fullAt[q.bucket()] >= fullFresh {
			hopeful = append(hopeful, owner)
		}
	}
	if len(hopeful) == 0 {
		return ""
	}
	return hopeful[r.rng.IntN(len(hopeful))]
}

// offerable tells whether an owner may offer a place at a backend server for a request.
func (r *Router) offerable(q *request, b *backend) bool {
	ok, _ := b.usable(r.now)
	return ok && !b.cold(r.now) && r.mayServe(q.Route, q.Workspace, b.Zone)
}

func (r *Router) ask(q *request, owner string, worst class) {
	a := &ask{question{number: r.slotRequests.next(), request: q.ID, owner: owner, at: r.now}, q.bucket(), q.PromptTok}
	q.asking = a
	r.slotRequests.add(a)
	r.introduce(owner)
	r.emit(Send{To: []string{owner}, Packet: &gossippb.Packet{Ask: &gossippb.Ask{
		Number: a.number, Service: q.service, Streaming: q.Route.Kind == routing.Streaming, Rank: float32(q.Rank),
		Prompt: uint32(max(0, q.PromptTok)), Output: uint32(max(0, q.OutputTok)),
		LeftMs: uint32(max(0, q.Deadline-r.now).Milliseconds()), TargetMs: uint32(q.Route.Target.Milliseconds()),
		WorstClass: uint32(worst), Avoid: r.avoided(q, owner),
	}}})
}

// introduce sends a beat to an owner of another zone, which knows this host only while it has requests there.
func (r *Router) introduce(owner string) {
	if zone := r.members.zoneOf[owner]; zone == "" || r.direct(zone) || r.now < r.owners.knownUntil[owner] {
		return
	}
	r.sendGuestBeat([]string{owner})
}

// sendGuestBeat tells owners of other zones what this host carries. What it has spent of quotas they hear in
// its zone's sums.
func (r *Router) sendGuestBeat(to []string) {
	for _, owner := range to {
		r.owners.knownUntil[owner] = r.now + r.beatPeriod()
	}
	r.emitBeat(to, func(*gossippb.Beat) {})
}

// guestAt are the owners of other zones at whose backend servers this host has requests.
func (r *Router) guestAt() []string {
	var out []string
	for _, b := range r.allBackends() {
		if b.Zone == r.opt.Zone || b.own.total() == 0 {
			continue
		}
		if owner := r.ownerOf(b); owner != "" && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}
	return out
}

// avoided are an owner's backend servers that this host cannot use, by its own experience.
func (r *Router) avoided(q *request, owner string) []uint32 {
	var out []uint32
	for _, b := range r.backendsIn(r.zoneOf(owner)) {
		if b.Service != q.service || r.ownerOf(b) != owner {
			continue
		}
		ok, _ := b.usable(r.now)
		if !ok || r.now < b.unreachable || r.now < b.avoidUntil || slices.Contains(q.tried, b.ID) {
			out = append(out, b.hash)
		}
	}
	return out
}

// expireAsks decides alone for requests whose question was not answered in time.
func (r *Router) expireAsks() {
	for _, a := range r.slotRequests.overdue(r.now) {
		r.unanswered(a)
	}
}

// answered notes that an owner answers.
func (r *Router) answered(owner string) {
	t := r.trustOf(owner)
	t.misses, t.muteUntil = 0, 0
}

// missed notes a question that an owner has not answered in time.
func (r *Router) missed(owner string) {
	t := r.trustOf(owner)
	t.misses++
	if t.misses >= muteAfter {
		t.muteUntil = r.now + muteFor
		r.emit(Note{What: "owner does not answer", Subject: owner})
	}
}

func (r *Router) unanswered(a *ask) {
	r.missed(a.owner)
	q, ok := r.requests[a.request]
	if !ok || q.asking != a {
		return
	}
	q.asking = nil
	if r.inOwnZone(a.owner) {
		q.alone = true
	} else {
		// The other zone may be cut off, and its backend servers with it.
		q.full = append(q.full, a.owner)
	}
	r.seek(q)
}

// zoneOf is the availability zone of a host that owns backend servers.
func (r *Router) zoneOf(owner string) string {
	if zone := r.members.zoneOf[owner]; zone != "" {
		return zone
	}
	return r.opt.Zone
}

func (r *Router) inOwnZone(host string) bool { return slices.Contains(r.ownShards(), host) }

// offered takes an owner's answer.
func (r *Router) offered(from string, o *gossippb.Offer) {
	a, ok := r.slotRequests.take(from, o.Number)
	if !ok {
		return
	}
	r.answered(from)
	if o.Place == nil {
		r.trustOf(from).fullAt[a.priority] = r.now
	}
	r.takeOwnersWords(o.Full)
	q, known := r.requests[a.request]
	if !known || q.asking != a {
		r.giveBack(a, o)
		return
	}
	q.asking = nil
	b := r.byHash[o.GetPlace().GetBackend()]
	if o.Place == nil || b == nil || !r.mayUse(q, b) {
		// There is no place, or it is at a backend server that drains or is gone, which the owner has not heard.
		r.giveBack(a, o)
		q.full = append(q.full, from)
		r.seek(q)
		return
	}
	there := loadFromProto(o.Place)
	r.takeOwnersWord(b, there)
	q.owner = from
	g := r.grounds()
	g.InFlight, g.Limit, g.Wait = there.total(), int(o.Limit), time.Duration(o.WaitUs)*time.Microsecond
	g.Owner, g.ViewAge = from, r.now-a.at
	r.send(q, b, g)
}

func (r *Router) mayUse(q *request, b *backend) bool {
	return r.offerable(q, b) && b.Service == q.service && !slices.Contains(q.tried, b.ID)
}

// giveBack returns a place that is not used.
func (r *Router) giveBack(a *ask, o *gossippb.Offer) {
	if o.Place == nil {
		return
	}
	r.report(a.owner, &gossippb.Report{Backend: o.Place.Backend, Priority: uint32(a.priority), Requests: -1, Unread: -int32(a.prompt)})
}

func (r *Router) report(to string, rep *gossippb.Report) {
	r.emit(Send{To: []string{to}, Packet: &gossippb.Packet{Report: rep}})
}
