package router

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
)

// A brittle backend server fails if it has to reject more than a few requests per second because it is full, from all hosts
// together. It states that limit in its answers. Load counts of other hosts are never quite current, so hosts divide the limit:
// a host that has used up its share, by requests that were rejected lately or may still be, sends nothing there.

const (
	// rejectionWindow is the time in which a backend server counts what it rejects. The margin covers clocks that differ in speed.
	rejectionWindow = 1050 * time.Millisecond
	// undecidedDuration is how long a request counts as one that may be rejected, unless it is answered before. A rejection
	// takes a round trip, and longer if one of the two is busy.
	undecidedDuration = 200 * time.Millisecond
	// ownerRejectionShare is the share of the limit that an owner uses, since two hosts may take themselves for the owner for
	// a moment.
	ownerRejectionShare = 0.5
)

// brittleLimit is the state of a backend server that has stated a limit on rejected requests, or that is expected to.
type brittleLimit struct {
	statedLimit
	// assumed is set if it has stated none itself, but others of its service have.
	assumed bool
	risk    riskBudget
	// lastSentAt is when this host last sent a request there.
	lastSentAt time.Duration
}

// rejects is the number of requests that it may reject within a second.
func (l *brittleLimit) rejects() int { return int(min(l.perSecond, math.MaxInt32)) }

// senders is the number of hosts that may send to it in a small fleet.
func (l *brittleLimit) senders(hosts int) int { return max(1, min(hosts, l.rejects())) }

// riskBudget counts the requests to a backend server that it may still reject, and those that it has rejected lately.
type riskBudget struct {
	// undecided and rejected hold the times at which the requests no longer count, in order.
	undecided, rejected []time.Duration
}

// used returns how many requests count.
func (k *riskBudget) used(now time.Duration) int {
	k.undecided, k.rejected = dropPassed(k.undecided, now), dropPassed(k.rejected, now)
	return len(k.undecided) + len(k.rejected)
}

// dropPassed removes the times that have passed from an ordered list.
func dropPassed(list []time.Duration, now time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(list, now+1)
	return list[i:]
}

func (k *riskBudget) sent(now time.Duration) {
	k.undecided = append(dropPassed(k.undecided, now), now+undecidedDuration)
}

// decided removes a request that was sent at the given time, unless it no longer counts.
func (k *riskBudget) decided(now, sentAt time.Duration) {
	if k.undecided = dropPassed(k.undecided, now); len(k.undecided) > 0 && sentAt+undecidedDuration > now {
		k.undecided = k.undecided[1:]
	}
}

func (k *riskBudget) wasRejected(now time.Duration) {
	k.rejected = append(dropPassed(k.rejected, now), now+rejectionWindow)
}

// isBrittle reports whether the backend server states a limit on rejected requests or is expected to: one that has just
// started is taken for as brittle as the others of its service until its first answer.
func (r *Router) isBrittle(b *backend) bool {
	if b.brittle == nil && len(r.brittle) > 0 {
		if limit := r.serviceState(b.Service).brittleLimit; limit != nil {
			b.brittle = &brittleLimit{statedLimit: newStatedLimit(), assumed: true}
			b.brittle.perSecond, b.brittle.since = *limit, r.now
		}
	}
	return b.brittle != nil && b.brittle.limited()
}

// rejectionShare returns how many requests of this host a brittle backend server may have to reject within a second, in a large
// fleet those of its owner. If it is zero and sole is set, one host alone decides, by exact counts.
func (r *Router) rejectionShare(b *backend) (share int, sole bool) {
	limit := b.brittle.rejects()
	if r.largeFleet() {
		return int(ownerRejectionShare * float64(limit)), true
	}
	if !r.maySendToLimited(b) {
		return 0, false
	}
	rank, hosts := r.senderRank(b)
	senders := b.brittle.senders(hosts)
	if rank >= senders {
		return 0, false
	}
	return limit / senders, senders == 1
}

// mayRisk reports whether this host, in a large fleet the owner, may send one more request to a brittle backend server.
func (r *Router) mayRisk(b *backend) bool {
	share, sole := r.rejectionShare(b)
	used := b.brittle.risk.used(r.now)
	switch {
	case share == 0 && sole:
		return len(b.brittle.risk.rejected) == 0
	case share == 0:
		return r.trialDue(b, max(b.brittle.heardAt, b.brittle.since, b.brittle.lastSentAt))
	default:
		return used < share
	}
}

// mayUseBrittle reports whether a backend server may get the selector's request as far as it is brittle. In a large fleet only
// its owner decides, whom this host asks.
func (s *selector) mayUseBrittle(b *backend) bool {
	r := s.r
	if !r.isBrittle(b) {
		return true
	}
	if r.largeFleet() && !r.owns(b) {
		return s.scope != scopeOwned && r.mayAsk(s.q, r.ownerOf(b))
	}
	return r.mayRisk(b)
}

// brittleRequestLimit replaces requestLimit for a brittle backend server: its queue may be gone. Less urgent requests leave a
// slot free.
func (s *selector) brittleRequestLimit(b *backend) int {
	slots := max(1, b.Slots)
	if share, _ := s.r.rejectionShare(b); slots > 1 && (s.q.priority() > 0 || share == 0) {
		return slots - 1
	}
	return slots
}

// maySlotsBeRequested reports whether this host grants slots of a backend server to others: as its owner, or in a small fleet as
// one of the few hosts that send there.
func (r *Router) maySlotsBeRequested(b *backend) bool {
	if !r.largeFleet() && r.isBrittle(b) {
		return true
	}
	return r.owns(b)
}

// brittleSenders returns the other hosts that may send to a brittle backend server in a small fleet.
func (r *Router) brittleSenders(b *backend) []string {
	hosts := []string{r.opt.Host}
	for _, h := range r.members.order {
		if !r.members.byHost[h].leaving {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, c string) int { return cmp.Compare(senderHash(b.hash, a), senderHash(b.hash, c)) })
	hosts = hosts[:b.brittle.senders(len(hosts))]
	return slices.DeleteFunc(hosts, func(h string) bool { return h == r.opt.Host })
}

// countRisk counts a request that this host sends to a brittle backend server, or for which it grants a slot there.
func (r *Router) countRisk(b *backend) {
	if r.isBrittle(b) {
		b.brittle.risk.sent(r.now)
		b.brittle.lastSentAt = r.now
	}
}

// requestAdmitted records that a backend server has begun to answer a request, so that it does not reject it any more.
func (r *Router) requestAdmitted(q *request) {
	if !q.begun && q.owner == "" {
		r.riskEnded(q.backend, q.sentAt, gossippb.Outcome_OUTCOME_SOUND)
	}
}

// requestEnded records the end of a request at its backend server.
func (r *Router) requestEnded(q *request, outcome gossippb.Outcome) {
	decided := q.begun && outcome == gossippb.Outcome_OUTCOME_SOUND
	switch {
	case q.owner == "" && !decided:
		r.riskEnded(q.backend, q.sentAt, outcome)
	case q.owner != "" && outcome == gossippb.Outcome_OUTCOME_REJECTED && q.backend.brittle != nil:
		q.backend.brittle.risk.wasRejected(r.now)
	}
}

// applyReportedRisk does the same for another host's request, for which this host granted a slot.
func (r *Router) applyReportedRisk(b *backend, rep *gossippb.Report) {
	sentAt := r.now - time.Duration(rep.AgeMs)*time.Millisecond
	switch streamBegins := rep.Requests == 0 && rep.Unread < 0; {
	case streamBegins:
		r.riskEnded(b, sentAt, gossippb.Outcome_OUTCOME_SOUND)
	case rep.Requests < 0 && rep.Events == 0: // one with events has begun before
		r.riskEnded(b, sentAt, rep.Outcome)
	}
}

// riskEnded records the end of the risk that a request is rejected by a backend server that may be brittle. One that was broken off may still be on its
// way there.
func (r *Router) riskEnded(b *backend, sentAt time.Duration, outcome gossippb.Outcome) {
	if b.brittle == nil {
		return
	}
	switch outcome {
	case gossippb.Outcome_OUTCOME_REJECTED:
		b.brittle.risk.decided(r.now, sentAt)
		b.brittle.risk.wasRejected(r.now)
	case gossippb.Outcome_OUTCOME_SOUND, gossippb.Outcome_OUTCOME_UNREACHABLE, gossippb.Outcome_OUTCOME_REPLACED:
		b.brittle.risk.decided(r.now, sentAt)
	}
}

// observeBrittleLimit applies a statement that a backend server made to the host source.
func (r *Router) observeBrittleLimit(b *backend, s statement, source string) {
	if b.brittle == nil {
		if !s.limited() {
			return
		}
		b.brittle = &brittleLimit{statedLimit: newStatedLimit()}
	}
	if b.brittle.assumed {
		b.brittle.statedLimit, b.brittle.assumed = newStatedLimit(), false
	}
	r.brittle[b.ID] = b
	was, ok := r.observe(&b.brittle.statedLimit, s, source)
	if !ok || was.perSecond == s.perSecond {
		return
	}
	r.heartbeatPending = true
	r.updateServiceBrittle(b.Service)
	if !s.limited() {
		r.emit(Note{What: "backend server is no longer brittle", Subject: b.ID, Detail: source, Age: r.now - s.heardAt})
		return
	}
	r.emit(Note{What: "backend server is brittle", Subject: b.ID, Age: r.now - s.heardAt,
		Detail: source + " rejects_per_second=" + formatRate(s.perSecond)})
}

// updateServiceBrittle finds the lowest limit that usable backend servers of a service state. Without one, none is expected of
// the others.
func (r *Router) updateServiceBrittle(service string) {
	s := r.serviceState(service)
	s.brittleLimit = nil
	for _, b := range r.backendsOf(service) {
		if ok, _ := b.usable(r.now); !ok || b.brittle == nil || b.brittle.assumed || !b.brittle.limited() {
			continue
		}
		if s.brittleLimit == nil || b.brittle.perSecond < *s.brittleLimit {
			limit := b.brittle.perSecond
			s.brittleLimit = &limit
		}
	}
	for _, b := range r.backendsOf(service) {
		if b.brittle == nil || !b.brittle.assumed {
			continue
		}
		if s.brittleLimit == nil {
			b.brittle = nil
		} else {
			b.brittle.perSecond = *s.brittleLimit
		}
	}
}

// updateBrittleLimits forgets limits that ended a while ago and those of backend servers that are gone.
func (r *Router) updateBrittleLimits() {
	for _, id := range slices.Sorted(maps.Keys(r.brittle)) {
		b := r.brittle[id]
		r.updateServiceBrittle(b.Service)
		if b.brittle.endedLongAgo(r.now) && r.serviceState(b.Service).brittleLimit == nil {
			b.brittle = nil
			delete(r.brittle, id)
		}
	}
}

func (b *backend) brittleStatement() *statedLimit { return &b.brittle.statedLimit }

// ownBrittleLimits returns the statements that backend servers have made to this host, for its heartbeats.
func (r *Router) ownBrittleLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.brittle, (*backend).brittleStatement, toThisHost)
}

// zoneBrittleLimits returns the statements made to hosts of this zone, for other zones.
func (r *Router) zoneBrittleLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.brittle, (*backend).brittleStatement, toThisZone)
}

// applyBrittleLimits merges the statements that another host reports.
func (r *Router) applyBrittleLimits(from string, list []*gossippb.RateLimit) {
	r.applyStatements(list, func(b *backend, s statement) { r.observeBrittleLimit(b, s, from) })
}
