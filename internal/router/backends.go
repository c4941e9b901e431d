package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/routing"
)

// priorities is the number of urgency levels that are counted separately; less urgent ranks count as the last.
const priorities = 4

const (
	// learnRate is the weight of a new observation of an engine's speed: about the last ten count.
	learnRate = 0.1
)

// backend is the state of one backend server as known to this host.
type backend struct {
	routing.Backend
	revision routing.Revision
	// removedRevision is the revision of the latest removal, zero if there was none, and registeredRevision that of the
	// latest registration.
	removedRevision    routing.Revision
	registeredRevision routing.Revision
	// changedAt is when its registration last changed, as far as known: when a host first read the change.
	changedAt  time.Duration
	removed    bool
	removedAt  time.Duration
	graceUntil time.Duration
	// ownLoad and othersLoad are the load from this host and from the other hosts, by their latest heartbeats.
	ownLoad, othersLoad load
	// othersReportedAt is when other hosts' load was last reported.
	othersReportedAt time.Duration
	// ownerLoad is the load from other hosts as reported by the owner, which counts instead of othersLoad
	// while useOwnerReport is set.
	ownerLoad       load
	ownerReportedAt time.Duration
	useOwnerReport  bool
	// owned is set if this host is the owner, as of the last computation.
	owned bool
	hash  uint32
	// interval is the learned time between the events of a stream, or to the answer of a plain call.
	interval time.Duration
	samples  int
	// prefillPerToken is the learned time to prefill one prompt token; zero if unknown.
	prefillPerToken time.Duration
	// reportedSpeed is the speed last sent to other hosts.
	reportedSpeed speed
	failureState
	reach reachState
	// replaced is set if another instance has its address: this one never comes back.
	replaced bool
	// leaving is set if it has announced that it is about to shut down, other than by its present registration: in an answer, or
	// in a registration that an older one has overwritten. announcedLeaving is set if this host has that from the server itself.
	leaving, announcedLeaving bool
	// holdOffUntil is until when it has asked this host to send it nothing.
	holdOffUntil time.Duration
	// evacuated is set if its availability zone is evacuated.
	evacuated bool
	warming   coldState
	// rateLimit is set while it states a rate limit in its answers, and for a time afterwards.
	rateLimit *rateLimit
	// brittle is the same for a limit on rejected requests.
	brittle *brittleLimit
	// pace is what was learned of its pace; nil if nothing was.
	pace *learnedPace
	// exited is set if its process has ended without announcing it. brokenRuns are requests that broke there before that was known.
	exited     bool
	brokenRuns []brokenRequest
}

func newBackend(b routing.Backend) *backend {
	return &backend{Backend: b, hash: hashOf(b)}
}

// hashOf identifies one start of a backend server in messages, so that reports on an earlier start do not
// count for the next.
func hashOf(b routing.Backend) uint32 {
	if b.Start == 0 {
		return uint32(xxhash.Sum64String(b.ID))
	}
	return uint32(xxhash.Sum64String(b.ID + "/" + formatBase36(b.Start)))
}

// hashesOf returns the hashes of the registered backend servers that match, in order of ID.
func (r *Router) hashesOf(match func(*backend) bool) []uint32 {
	var out []uint32
	for _, b := range r.allBackends() {
		if !b.removed && match(b) {
			out = append(out, b.hash)
		}
	}
	return out
}

// inFlight is the number of requests at the backend server, from all hosts, as known to this host.
func (b *backend) inFlight() int {
	return b.ownLoad.total() + b.loadOfOthers().total()
}

// loadOfOthers is the load from other hosts, as reported by the owner or by those hosts.
func (b *backend) loadOfOthers() load {
	if b.useOwnerReport {
		return b.ownerLoad
	}
	return b.othersLoad
}

// learnEventInterval adds an observed time between events, or to a plain answer.
func (b *backend) learnEventInterval(interval time.Duration) {
	if interval <= 0 {
		return
	}
	b.samples++
	if b.interval == 0 {
		b.interval = interval
		return
	}
	b.interval += time.Duration(learnRate * float64(interval-b.interval))
}
