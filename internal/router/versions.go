package router

import (
	"maps"
	"slices"
	"time"

	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

// maxUnseenGap is how long this host may have read nothing of the store before a listing and still know all versions: in a shorter time
// hardly all servers of a version can register, begin streams, and leave again. A watch without changes is answered sooner.
const maxUnseenGap = 4 * time.Second

// soleVersion returns the only software version that may have begun a stream, by this host's view and those of the hosts that have
// replied. One of them must be certain to know all versions: the hosts that knew the stream's origin are gone, and may have been
// the only ones to know a version that is gone too.
func (r *Router) soleVersion(query *originQuery) (string, bool) {
	if query.service == "" {
		return "", false
	}
	versions := appendNew(r.recentVersions(query.service), query.versions)
	certain := query.complete || r.knowsAllVersions(query.stream, query.service)
	if len(versions) != 1 || versions[0] == "" || !certain {
		return "", false
	}
	return versions[0], true
}

// knowsAllVersions reports whether this host knows each software version of a service that may have begun a stream: it has followed the
// store for as long as the stream may last, and is in contact with it.
func (r *Router) knowsAllVersions(id streams.ID, service string) bool {
	if !r.updates.synced || r.now-r.updates.followedSince < r.streamLifetime(id, service) {
		return false
	}
	if id != 0 {
		return r.storeAnswers()
	}
	// Most callers that name no stream belong to services that never have two versions: an open watch is enough.
	return r.updates.reading && !r.updates.storeLost && r.now-r.updates.storeAnsweredAt <= maxUnseenGap
}

// streamLifetime returns for how long a stream may be taken up after its first event. One that its caller does not name was begun by a
// caller who knows nothing of versions and keeps to the time-outs of its route; the longest of the service's routes is taken.
func (r *Router) streamLifetime(id streams.ID, service string) time.Duration {
	if id != 0 || r.table == nil {
		return streams.Lifetime
	}
	longest := time.Duration(0)
	for i := range r.table.Config.Routes {
		route := &r.table.Config.Routes[i]
		if route.Kind != routing.Streaming || !slices.ContainsFunc(route.Shares, func(s routing.Share) bool { return s.Service == service }) {
			continue
		}
		if route.Timeout <= 0 {
			return streams.Lifetime
		}
		longest = max(longest, route.Timeout)
	}
	if longest == 0 {
		return streams.Lifetime
	}
	return min(longest, streams.Lifetime)
}

// noteStoreRead records that this host has read the store. A listing after a longer time does not show the versions that have come and
// gone meanwhile.
func (r *Router) noteStoreRead(full bool) {
	u := &r.updates
	if full && (!u.synced || r.now-u.storeAnsweredAt > maxUnseenGap) {
		u.followedSince = r.now
	}
	u.synced, u.storeAnsweredAt = true, r.now
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
