package router

import (
	"maps"
	"slices"
	"time"

	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

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
