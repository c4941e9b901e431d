package router

import (
	"math"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// handleSlotRequest replies to another host's request for a slot at one of this host's backend servers. A
// granted slot counts at once as the other host's load, until that host reports otherwise or its next
// heartbeat replaces its whole load. The effect of a lost datagram lasts one heartbeat at most.
func (r *Router) handleSlotRequest(from string, a *gossippb.Ask) {
	m, ok := r.members.byHost[from]
	if !ok {
		return // no heartbeat yet; it decides locally
	}
	if r.queueing() && !a.Borrows {
		r.admitOrQueue(m, a)
		return
	}
	q := r.requestFromAsk(a)
	s := r.newSelector(q, scopeOwned)
	s.lends = a.Borrows
	c := r.selectBy(s)
	if c.backend == nil || c.class > class(a.WorstClass) {
		r.emit(Send{To: []string{from}, Packet: &gossippb.Packet{Offer: &gossippb.Offer{Number: a.Number, Full: r.ownedLoads(a.Service)}}})
		return
	}
	o := &gossippb.Offer{Number: a.Number, Place: c.backend.totalLoad().toProto(c.backend.hash), Limit: uint32(max(0, c.basis.Limit)),
		WaitUs: uint32(max(0, c.basis.Wait).Microseconds()), Lent: c.backend.ratesShared(r.now)}
	r.takeShares(c.backend)
	r.adjustLoad(m, c.backend.hash, q.priority(), 1, q.PromptTok)
	r.countRisk(c.backend)
	r.emit(Send{To: []string{from}, Packet: &gossippb.Packet{Offer: o}})
}

// requestFromAsk builds the parts of another host's request that a selector needs.
func (r *Router) requestFromAsk(a *gossippb.Ask) *request {
	kind := routing.Idempotent
	if a.Streaming {
		kind = routing.Streaming
	}
	q := &request{service: a.Service, continued: a.Continued, Submit: Submit{
		Route: &routing.Route{Kind: kind, Target: time.Duration(a.TargetMs) * time.Millisecond},
		Rank:  askRank(a), PromptTok: int(min(a.Prompt, maxPrefillBacklog)), OutputTok: int(a.Output),
		Deadline: r.now + time.Duration(a.LeftMs)*time.Millisecond,
	}}
	for _, hash := range a.Avoid {
		if b, ok := r.byHash[hash]; ok {
			q.tried = append(q.tried, b.ID)
		}
	}
	return q
}

// askRank returns the rank in a slot request, clamped to the valid range. NaN counts as the least urgent.
func askRank(a *gossippb.Ask) float64 {
	rank := float64(a.Rank)
	if math.IsNaN(rank) {
		return routing.LeastUrgent
	}
	return min(max(0, rank), routing.LeastUrgent)
}

func (r *Router) ownedLoads(service string) []*gossippb.Load {
	var out []*gossippb.Load
	for _, b := range r.backendsOf(service) {
		if r.owns(b) {
			out = append(out, b.totalLoad().toProto(b.hash))
		}
	}
	return out
}

// adjustLoad changes the load of another host at a backend server.
func (r *Router) adjustLoad(m *member, hash uint32, priority, requests, promptTokens int) {
	if m.loads == nil {
		m.loads = loads{}
	}
	was := m.loads[hash]
	now := was
	now.counts[priority] = max(0, was.counts[priority]+requests)
	now.prefillBacklog = min(max(0, was.prefillBacklog+promptTokens), maxPrefillBacklog)
	if now == (load{}) {
		delete(m.loads, hash)
	} else {
		m.loads[hash] = now
	}
	b, ok := r.byHash[hash]
	if !ok {
		return
	}
	b.othersLoad.counts[priority] += now.counts[priority] - was.counts[priority]
	b.othersLoad.prefillBacklog += now.prefillBacklog - was.prefillBacklog
	b.othersReportedAt = r.now
}

// handleReport applies another host's report on one request at a backend server. Owners get the reports of
// all hosts and so know a backend server's speed and failures first.
func (r *Router) handleReport(from string, rep *gossippb.Report) {
	m, known := r.members.byHost[from]
	if known && (rep.Requests != 0 || rep.Unread != 0) {
		change := int(min(max(rep.Requests, -1), 1))
		r.adjustLoad(m, rep.Backend, int(min(rep.Priority, priorities-1)), change, int(rep.Unread))
	}
	b, ok := r.byHash[rep.Backend]
	if !ok {
		return
	}
	r.applyReportedRisk(b, rep)
	if !r.usesOwners() {
		return // heartbeats carry the rest
	}
	r.learnFromReport(b, rep)
	if !r.largeFleet() && rep.Outcome != gossippb.Outcome_OUTCOME_SOUND {
		return // heartbeats carry failures, once their sender knows that it is not cut off itself
	}
	if known && !m.reportsCount(b) && isFailureReport(rep.Outcome) {
		return
	}
	switch rep.Outcome {
	case gossippb.Outcome_OUTCOME_SOUND:
		b.succeeded(r.now - time.Duration(rep.AgeMs)*time.Millisecond)
	case gossippb.Outcome_OUTCOME_FAULTY:
		r.recordFailure(b)
	case gossippb.Outcome_OUTCOME_REPLACED:
		b.replaced = true
		r.recordBackendEnd(b)
	case gossippb.Outcome_OUTCOME_UNREACHABLE:
		if known && !slices.Contains(m.deadBackends, rep.Backend) {
			r.applyDead(m, append(slices.Clone(m.deadBackends), rep.Backend))
		}
	}
}

func isFailureReport(o gossippb.Outcome) bool {
	return o == gossippb.Outcome_OUTCOME_FAULTY || o == gossippb.Outcome_OUTCOME_UNREACHABLE
}

func (r *Router) learnFromReport(b *backend, rep *gossippb.Report) {
	svc := r.serviceState(b.Service)
	if interval := min(time.Duration(rep.IntervalUs)*time.Microsecond, maxEventInterval); interval > 0 {
		b.learnEventInterval(interval)
		r.observePace(b, interval, int(min(rep.Events, maxEvents)))
		svc.learnEventInterval(interval)
	}
	if perToken := time.Duration(rep.ReadNs); perToken > 0 && perToken <= maxPrefillPerToken {
		b.learnPrefill(perToken)
		svc.learnPrefill(perToken)
	}
	svc.learnStreamLength(int(min(rep.Events, maxEvents)))
}

const (
	// maxEventInterval and maxEvents limit the values accepted from one report.
	maxEventInterval = 10 * time.Second
	maxEvents        = 1 << 16
)

// reportTarget returns the host that counts this host's requests at a backend server, or "".
func (r *Router) reportTarget(q *request) string {
	to := q.owner
	if to == "" && !r.largeFleet() && r.isBrittle(q.backend) {
		return "" // the request counts against this host's own share of what the server may reject
	}
	if to == "" {
		to = r.ownerOf(q.backend)
	}
	if to == r.opt.Host {
		return ""
	}
	return to
}

// newReport returns a report of requests and prompt tokens added to a backend server, or removed if negative.
func (q *request) newReport(b *backend, requests, promptTokens int) *gossippb.Report {
	return &gossippb.Report{Backend: b.hash, Priority: uint32(q.priority()), Requests: int32(requests), Unread: int32(promptTokens)}
}

// reportAssigned reports a request that was sent without a slot request to the owner of its backend server, which does
// not count it yet.
func (r *Router) reportAssigned(q *request) {
	if to := r.reportTarget(q); to != "" && q.owner == "" {
		r.sendReport(to, q.newReport(q.backend, 1, q.prefillTokens))
	}
}

// reportEnded reports to the owner that a request ended, with the outcome and speed observed.
func (r *Router) reportEnded(q *request, e DispatchEnded) {
	to := r.reportTarget(q)
	if to == "" {
		return
	}
	rep := q.newReport(q.backend, -1, -q.prefillTokens)
	rep.Outcome, rep.AgeMs = r.reportOutcome(q, e), uint32((r.now - q.sentAt).Milliseconds())
	if e.Outcome == Answered {
		rep.IntervalUs, rep.Events = uint32(r.observedInterval(q, e).Microseconds()), uint32(e.Events)
	}
	r.sendReport(to, rep)
	r.reportFreeSlot(q, to)
}

// reportOutcome maps the end of a dispatch to what it shows of the backend server.
func (r *Router) reportOutcome(q *request, e DispatchEnded) gossippb.Outcome {
	switch {
	case e.Outcome == Answered:
		return gossippb.Outcome_OUTCOME_SOUND
	case e.Outcome == Rejected:
		return gossippb.Outcome_OUTCOME_REJECTED
	case e.Outcome == WrongInstance:
		return gossippb.Outcome_OUTCOME_REPLACED
	case e.Fault && (r.mayBeCutOff(q.backend.Service) || r.pathLostSince(q.backend, q.sentAt)):
		return gossippb.Outcome_OUTCOME_NONE
	case e.Outcome == NotSent && e.Fault:
		return gossippb.Outcome_OUTCOME_UNREACHABLE
	case (e.Outcome == Broken || e.Outcome == Failed) && e.Fault:
		return gossippb.Outcome_OUTCOME_FAULTY
	default:
		return gossippb.Outcome_OUTCOME_NONE
	}
}
