package router

import (
	"maps"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

// What two software versions of a backend server write does not fit together, so a stream is bound to the version that sent its
// first event. Its caller may take it up at any host, also when the first one has ended: each host therefore reports what began
// a stream to others, as its first event arrives, and a host that does not know asks. Without an answer it refuses the stream
// unless no other version has been in use for as long as a stream may last.

const (
	// originQueryTimeout is how long a host waits for the replies to one round of queries. A caller that takes up a stream
	// has waited longer for its new connection.
	originQueryTimeout = 50 * time.Millisecond
	// maxOriginRounds is the number of rounds before a host decides without the hosts that have not replied.
	maxOriginRounds = 2
	// maxOriginQueries limits the open queries, since each costs several datagrams and a caller may name any stream.
	maxOriginQueries = 256
	// In a large fleet, a stream is reported to zoneHolders hosts of its zone and one host in each of remoteHolders other
	// zones. More hosts are asked than hold it, as hosts disagree for a moment on who is alive.
	zoneHolders        = 2
	remoteHolders      = 1
	askedZoneHolders   = zoneHolders + 3
	askedRemoteHolders = remoteHolders + 1
	// wideQueryInterval limits how often a host of a large fleet asks its whole zone and all other zones, after the hosts that
	// should know did not.
	wideQueryInterval = 50 * time.Millisecond
)

// originState is what this host knows of the streams that callers may take up.
type originState struct {
	ledger *streams.Ledger
	// queries are the open queries by number.
	queries     map[uint64]*originQuery
	lastNumber  uint64
	wideQueryAt time.Duration // when the whole zone and all others may be asked again
}

func newOriginState() originState {
	return originState{ledger: streams.NewLedger(), queries: map[uint64]*originQuery{}}
}

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

// versionFits reports whether a backend server is of the software version that began the request's stream.
func (q *request) versionFits(b *backend) bool {
	return !q.bound || (b.Version != "" && b.Version == q.binding.Version && b.Service == q.boundService)
}

// bind binds a request to the version that has begun its stream.
func (q *request) bind(o streams.Origin, source BindingSource, from string, learnedAt time.Duration) {
	q.bound, q.continued = true, true
	q.boundService, q.boundAt = o.Service, learnedAt
	q.binding = Binding{Version: o.Version, Source: source, From: from}
}

// bindStarted binds a stream to the version of the backend server that has sent its first event, and reports that to the hosts
// at which its caller may take it up.
func (r *Router) bindStarted(q *request) {
	origin := streams.Origin{Service: q.backend.Service, Version: q.backend.Version}
	if !q.bound {
		q.bind(origin, BoundByAnswer, "", r.now)
	}
	if q.Stream == 0 || q.originReported || origin.Version == "" {
		return
	}
	q.originReported = true
	r.origins.ledger.Add(r.now, q.Stream, streams.Record{Origin: origin})
	if to := r.originHolders(q.Stream); len(to) > 0 {
		r.emit(Send{To: to, Packet: &gossippb.Packet{StreamOrigin: originToProto(q.Stream, origin)}})
	}
}

func originToProto(id streams.ID, o streams.Origin) *gossippb.StreamOrigin {
	return &gossippb.StreamOrigin{Stream: uint64(id), Service: o.Service, Version: o.Version}
}

// originHolders returns the hosts to report a stream to: all in a small fleet, so that any one that is left knows it.
func (r *Router) originHolders(id streams.ID) []string {
	if !r.largeFleet() {
		return r.reachableHosts()
	}
	return append(r.zoneHoldersOf(id, zoneHolders), r.remoteHoldersOf(id, remoteHolders)...)
}

// originExperts returns the hosts to ask first about a stream, besides this one.
func (r *Router) originExperts(id streams.ID) []string {
	if !r.largeFleet() {
		return r.reachableHosts()
	}
	out := append(r.zoneHoldersOf(id, askedZoneHolders), r.remoteHoldersOf(id, askedRemoteHolders)...)
	// Hosts of other zones report to an owner of this one.
	if holder := holderAmong(r.localShardOwners(), id); holder != "" && holder != r.opt.Host && !slices.Contains(out, holder) {
		out = append(out, holder)
	}
	return out
}

func (r *Router) reachableHosts() []string {
	var out []string
	for _, h := range r.members.order {
		if !r.members.byHost[h].unreachable {
			out = append(out, h)
		}
	}
	return out
}

// zoneHoldersOf returns the first n of this zone's other hosts for a stream, by rendezvous hashing.
func (r *Router) zoneHoldersOf(id streams.ID, n int) []string {
	peers := slices.DeleteFunc(slices.Clone(r.zonePeers()), func(h string) bool { return r.members.byHost[h].leaving })
	slices.SortFunc(peers, byRendezvous(id))
	return peers[:min(n, len(peers))]
}

// remoteHoldersOf returns one host in each of the first n other zones for a stream: one of the owners, as all hosts know those.
func (r *Router) remoteHoldersOf(id streams.ID, n int) []string {
	zones := slices.DeleteFunc(slices.Clone(r.otherZones()), func(zone string) bool {
		s, ok := r.zones.summaries[zone]
		return !ok || s.stale || len(s.owners) == 0
	})
	slices.SortFunc(zones, byRendezvous(id))
	var out []string
	for _, zone := range zones[:min(n, len(zones))] {
		if holder := holderAmong(r.zones.summaries[zone].owners, id); holder != "" {
			out = append(out, holder)
		}
	}
	return out
}

func holderAmong(owners []string, id streams.ID) string {
	if len(owners) == 0 {
		return ""
	}
	return owners[uint64(id)%uint64(len(owners))]
}

// byRendezvous orders names by their hash with a stream, the highest first.
func byRendezvous(id streams.ID) func(a, b string) int {
	return func(a, b string) int {
		if rendezvousHash(a, uint64(id)) > rendezvousHash(b, uint64(id)) {
			return -1
		}
		return 1
	}
}

// handleOrigin records another host's report.
func (r *Router) handleOrigin(from string, o *gossippb.StreamOrigin) {
	if o.Stream == 0 || o.Service == "" || o.Version == "" {
		return
	}
	r.origins.ledger.Add(r.now, streams.ID(o.Stream), streams.Record{Origin: streams.Origin{Service: o.Service, Version: o.Version}, From: from})
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
	r.sendOriginQuery(r.origins.lastNumber, query, r.originExperts(q.Resumes))
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
		reply.Versions, reply.Complete = r.recentVersions(e.Service), r.knowsAllVersions()
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
		r.handleOrigin(from, e.Origin)
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

// soleVersion returns the only software version that may have begun a stream, by this host's view and those of the hosts that have
// replied. If the caller names the stream, one of them must be certain to know all versions: the host that knew its
// origin is gone, and may have been the only one to know a version that is gone too. A caller that names no stream is one that
// knows of no versions.
func (r *Router) soleVersion(query *originQuery) (string, bool) {
	if query.service == "" {
		return "", false
	}
	versions := appendNew(r.recentVersions(query.service), query.versions)
	certain := query.stream == 0 || query.complete || r.knowsAllVersions()
	if len(versions) != 1 || versions[0] == "" || !certain {
		return "", false
	}
	return versions[0], true
}

// knowsAllVersions reports whether this host knows each software version of which a stream may still be taken up: it has run
// for as long, and is in contact with the store.
func (r *Router) knowsAllVersions() bool {
	return r.now >= streams.Lifetime && r.storeAnswers()
}

// recentVersions returns the software versions of a service's backend servers that have been registered within streams.Lifetime.
func (r *Router) recentVersions(service string) []string {
	var out []string
	for _, b := range r.backendsOf(service) {
		if !b.removed || r.now-b.removedAt < streams.Lifetime {
			out = appendNew(out, []string{b.Version})
		}
	}
	if s := r.services[service]; s != nil {
		for _, version := range slices.Sorted(maps.Keys(s.endedVersions)) {
			if r.now-s.endedVersions[version] < streams.Lifetime {
				out = appendNew(out, []string{version})
			}
		}
	}
	return out
}

// noteEndedVersion records the software version of a start that another one replaces under the same ID, or of a registration that
// names another version now.
func (r *Router) noteEndedVersion(b *backend) {
	s := r.serviceState(b.Service)
	if s.endedVersions == nil {
		s.endedVersions = map[string]time.Duration{}
	}
	for version, at := range s.endedVersions {
		if r.now-at >= streams.Lifetime {
			delete(s.endedVersions, version)
		}
	}
	s.endedVersions[b.Version] = r.now
}

// soleService returns the only service that a route leads to, or "".
func soleService(route *routing.Route) string {
	name := ""
	for _, s := range route.Shares {
		switch {
		case s.Weight <= 0:
		case name != "":
			return ""
		default:
			name = s.Service
		}
	}
	return name
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
