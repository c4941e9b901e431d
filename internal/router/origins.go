package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/streams"
)

// What two software versions of a backend server write does not fit together, so a stream is bound to the version that sent its
// first event. Its caller may take it up at any host, also when the first one has ended: each host therefore reports what began
// a stream to others, as its first event arrives, and a host that does not know asks. Without an answer it refuses the stream
// unless no other version has been in use for as long as a stream may last.

const (
	// In a large fleet, a stream is reported to zoneHolders hosts of its zone and one host in each of remoteHolders other
	// zones. More hosts are asked than hold it, as hosts disagree for a moment on who is alive.
	zoneHolders        = 2
	remoteHolders      = 1
	askedZoneHolders   = zoneHolders + 3
	askedRemoteHolders = remoteHolders + 1
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
	if to := r.reportTargets(q.Stream); len(to) > 0 {
		r.emit(Send{To: to, Packet: &gossippb.Packet{StreamOrigin: originToProto(q.Stream, origin)}})
	}
}

func originToProto(id streams.ID, o streams.Origin) *gossippb.StreamOrigin {
	return &gossippb.StreamOrigin{Stream: uint64(id), Service: o.Service, Version: o.Version}
}

// reportTargets returns the hosts to report what began a stream to: all in a small fleet, so that any one that is left knows it.
func (r *Router) reportTargets(id streams.ID) []string {
	if !r.largeFleet() {
		return r.reachableHosts()
	}
	return append(r.zoneHoldersOf(id, zoneHolders), r.remoteHoldersOf(id, remoteHolders)...)
}

// queryTargets returns the hosts to ask first what began a stream.
func (r *Router) queryTargets(id streams.ID) []string {
	if !r.largeFleet() {
		return r.reachableHosts()
	}
	if id == 0 {
		return r.storeReaders() // no host holds the origin of a stream without a name
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

// storeReaders returns the other hosts of this zone that read the store, and so may know all versions.
func (r *Router) storeReaders() []string {
	return slices.DeleteFunc(slices.Clone(r.zonePeers()), func(h string) bool {
		m := r.members.byHost[h]
		return m.unreachable || !m.readsStore
	})
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

// handleStreamOrigin records another host's report.
func (r *Router) handleStreamOrigin(from string, o *gossippb.StreamOrigin) {
	if o.Stream == 0 || o.Service == "" || o.Version == "" {
		return
	}
	r.origins.ledger.Add(r.now, streams.ID(o.Stream), streams.Record{Origin: streams.Origin{Service: o.Service, Version: o.Version}, From: from})
}
