package router

import "time"

// exclusion is the reason why a backend server may not get a request: for its state, any new request, or for the request's own
// bounds, this one. How busy a backend server is, and how likely it is to serve, is decided by the selector.
type exclusion string

// The exclusions. Those by state are shown to operators.
const (
	notExcluded exclusion = ""
	gone        exclusion = "gone"
	evacuated   exclusion = "evacuated"
	draining    exclusion = "draining"
	leaving     exclusion = "leaving"
	replaced    exclusion = "replaced"
	holdingOff  exclusion = "away"

	outsideRegions exclusion = "outside the allowed regions"
	otherVersion   exclusion = "other version than the one that began the stream"
	otherKind      exclusion = "not a model engine"
)

// excluded returns why a backend server may get no new requests, or notExcluded.
func (b *backend) excluded(now time.Duration) exclusion {
	switch {
	case b.removed && now >= b.graceUntil:
		return gone
	case b.evacuated:
		return evacuated
	case b.Draining:
		return draining
	case b.leaving:
		return leaving
	case b.replaced:
		return replaced
	case now < b.holdOffUntil:
		return holdingOff
	default:
		return notExcluded
	}
}

// usable reports whether the backend server may get new requests, and if so whether only when there is no other, because its
// registration has lapsed.
func (b *backend) usable(now time.Duration) (ok, doubtful bool) {
	return b.excluded(now) == notExcluded, b.removed
}

// exclusionFor returns why a backend server may not get a request, or notExcluded. It applies wherever one is chosen: by this
// host for its own requests, by an owner for those of others, for a second try, a move, and a return to one that was left.
func (r *Router) exclusionFor(q *request, b *backend) exclusion {
	if state := b.excluded(r.now); state != notExcluded {
		return state
	}
	switch {
	case !r.mayServe(q.Route, q.Workspace, b.Zone):
		return outsideRegions
	case !q.versionFits(b):
		return otherVersion
	case !b.Model && !kindMatches(b, r.serviceConfig(b)):
		return otherKind
	default:
		return notExcluded
	}
}

// mayGet reports whether a backend server may get a request.
func (r *Router) mayGet(q *request, b *backend) bool { return r.exclusionFor(q, b) == notExcluded }
