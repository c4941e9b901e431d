package router

import (
	"maps"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/streams"
)

const (
	// originQueryTimeout is how long a host waits for the replies to one round of queries. A caller that takes up a stream
	// has waited longer for its new connection.
	originQueryTimeout = 50 * time.Millisecond
	// maxOriginRounds is the number of rounds before a host decides without the hosts that have not replied.
	maxOriginRounds = 2
	// maxOriginQueries limits the open queries, since each costs several datagrams and a caller may name any stream.
	maxOriginQueries = 256
	// wideQueryInterval limits how often a host of a large fleet asks its whole zone and all other zones, after the hosts that
	// should know did not.
	wideQueryInterval = 50 * time.Millisecond
)

// originQuery asks other hosts what began a stream.
type originQuery struct {
	requestID uint64
	stream    streams.ID
	service   string
	// asked are all hosts that were sent the query, pending those of them that have not replied.
	asked, pending []string
	sentAt         time.Duration
	rounds         int
	// wide is set once all zones have been asked.
	wide bool
	// versions are the software versions that the replies name. complete is set if one of them lacks none.
	versions []string
	complete bool
}

// resolveOrigin finds out what began the stream that a request continues, and then admits or refuses the request.
func (r *Router) resolveOrigin(q *request) {
	if record, ok := r.origins.ledger.Get(r.now, q.Resumes); ok && q.Resumes != 0 {
		source := BoundByReport
		if record.From == "" {
			source = BoundByRecord
		}
		r.originKnown(q, record, source)
		return
	}
	if len(r.origins.queries) >= maxOriginQueries {
		r.refuseUnknownOrigin(q)
		return
	}
	query := &originQuery{requestID: q.ID, stream: q.Resumes, service: soleService(q.Route)}
	r.origins.lastNumber++
	r.origins.queries[r.origins.lastNumber] = query
	r.sendOriginQuery(r.origins.lastNumber, query, r.queryTargets(q.Resumes))
}

// sendOriginQuery starts a round, or decides if there is no host to ask.
func (r *Router) sendOriginQuery(number uint64, query *originQuery, to []string) {
	if len(to) == 0 {
		r.decideOrigin(number, query)
		return
	}
	query.rounds++
	query.sentAt, query.pending = r.now, slices.Clone(to)
	for _, h := range to {
		if !slices.Contains(query.asked, h) {
			query.asked = append(query.asked, h)
		}
	}
	r.emit(Send{To: to, Packet: &gossippb.Packet{OriginQuery: &gossippb.OriginQuery{Number: number, Stream: uint64(query.stream), Service: query.service,
		Forward: query.wide}}})
}

// handleOriginQuery replies to another host's query. One from another zone is forwarded if this host does not know: that host knows
// few hosts here.
func (r *Router) handleOriginQuery(from string, e *gossippb.OriginQuery) {
	reply := &gossippb.OriginReply{Number: e.Number}
	forwarded := e.ReplyTo != ""
	record, ok := r.origins.ledger.Get(r.now, streams.ID(e.Stream))
	switch {
	case ok && e.Stream != 0 && !record.Ambiguous:
		reply.Origin = originToProto(streams.ID(e.Stream), record.Origin)
	case forwarded:
		return // the forwarding host has replied
	case e.Service != "":
		reply.Versions, reply.Complete = r.recentVersions(e.Service), r.knowsAllVersions(streams.ID(e.Stream), e.Service)
	}
	to := from
	if forwarded {
		to = e.ReplyTo
	}
	if reply.Origin == nil && e.Forward && r.members.zoneOf[from] != r.opt.Zone {
		r.emit(Send{To: r.zoneHoldersOf(streams.ID(e.Stream), askedZoneHolders), Packet: &gossippb.Packet{OriginQuery: &gossippb.OriginQuery{
			Number: e.Number, Stream: e.Stream, ReplyTo: from}}})
	}
	r.emit(Send{To: []string{to}, Packet: &gossippb.Packet{OriginReply: reply}})
}

// handleOriginReply processes another host's reply. A late one is recorded for the caller's next attempt.
func (r *Router) handleOriginReply(from string, e *gossippb.OriginReply) {
	query, open := r.origins.queries[e.Number]
	if e.Origin != nil {
		r.handleStreamOrigin(from, e.Origin)
	}
	if !open {
		return
	}
	if record, ok := r.origins.ledger.Get(r.now, query.stream); ok && query.stream != 0 {
		delete(r.origins.queries, e.Number)
		if q := r.requests[query.requestID]; q != nil {
			r.originKnown(q, record, BoundByReply)
		}
		return
	}
	if !slices.Contains(query.pending, from) {
		return
	}
	query.pending = slices.DeleteFunc(query.pending, func(h string) bool { return h == from })
	query.complete = query.complete || e.Complete
	query.versions = appendNew(query.versions, e.Versions)
	if len(query.pending) == 0 && !query.wide { // hosts to which the query was forwarded reply later
		r.endOriginRound(e.Number, query)
	}
}

// appendNew appends the values that a list does not have.
func appendNew(list, values []string) []string {
	for _, v := range values {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// expireOriginQueries ends the rounds of queries whose replies are overdue.
func (r *Router) expireOriginQueries() {
	for _, number := range slices.Sorted(maps.Keys(r.origins.queries)) {
		if query := r.origins.queries[number]; r.now-query.sentAt >= originQueryTimeout {
			r.endOriginRound(number, query)
		}
	}
}

// endOriginRound starts another round, or decides. The second round asks those again that have not replied, and in a large fleet the
// whole zone and one host of each other zone, which forwards the query.
func (r *Router) endOriginRound(number uint64, query *originQuery) {
	if r.requests[query.requestID] == nil {
		delete(r.origins.queries, number)
		return
	}
	if query.rounds >= maxOriginRounds {
		r.decideOrigin(number, query)
		return
	}
	next := query.pending
	if r.largeFleet() && query.stream != 0 && r.now >= r.origins.wideQueryAt {
		r.origins.wideQueryAt = r.now + wideQueryInterval
		query.wide = true
		unasked := slices.DeleteFunc(slices.Clone(r.zonePeers()), func(h string) bool { return slices.Contains(query.asked, h) })
		next = appendNew(appendNew(slices.Clone(next), unasked), r.remoteHoldersOf(query.stream, len(r.otherZones())))
	}
	r.sendOriginQuery(number, query, next)
}

// decideOrigin decides on a stream of which no host that has replied knows what began it.
func (r *Router) decideOrigin(number uint64, query *originQuery) {
	delete(r.origins.queries, number)
	q := r.requests[query.requestID]
	if q == nil {
		return
	}
	if version, ok := r.soleVersion(query); ok {
		r.originKnown(q, streams.Record{Origin: streams.Origin{Service: query.service, Version: version}, At: r.now}, BoundBySoleVersion)
		return
	}
	r.refuseUnknownOrigin(q)
}

// originKnown binds a request to what began its stream, and admits it.
func (r *Router) originKnown(q *request, record streams.Record, source BindingSource) {
	if record.Ambiguous {
		r.refuseUnknownOrigin(q)
		return
	}
	q.bind(record.Origin, source, record.From, record.At)
	r.admitRequest(q)
}

// refuseUnknownOrigin refuses a request that continues a stream whose origin is not known.
func (r *Router) refuseUnknownOrigin(q *request) {
	g := r.basis()
	r.finish(q)
	r.emit(Refuse{ID: q.ID, Cause: OriginUnknown, RetryAfter: r.retryAfter(q), Basis: g})
}
