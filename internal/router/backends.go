package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/routing"
)

// priorities is how many ranks are told apart; less urgent ones count as the last.
const priorities = 4

const (
	// learnRate is the weight of a new observation of an engine's speed: about the last ten count.
	learnRate = 0.1
)

// backend is what this host believes of one backend server.
type backend struct {
	routing.Backend
	revision routing.Revision
	// removedRevision is the revision of the latest removal; zero where there was none. listed is that of the latest registration.
	removedRevision    routing.Revision
	registeredRevision routing.Revision
	removed            bool
	removedAt          time.Duration
	usableUntil        time.Duration
	// ownLoad and othersLoad are requests in flight by priority: this host's, and the other hosts' by their
	// latest beats.
	ownLoad, othersLoad load
	// othersReportedAt is when others last told of it.
	othersReportedAt time.Duration
	// ownerLoad is what its owner says of other hosts' requests there, which counts instead of others
	// while fromOwner is set.
	ownerLoad       load
	ownerReportedAt time.Duration
	useOwnerReport  bool
	// owned tells that this host owns it, as of the last computation.
	owned bool
	hash  uint32
	// interval is the learned time between the events of a stream, or to the answer of a plain call.
	interval time.Duration
	samples  int
	// prefillPerToken is the learned time to prefillPerToken a prompt token; zero where unknown.
	prefillPerToken time.Duration
	// reportedSpeed is the speed that this host last reportedSpeed others.
	reportedSpeed speed
	failureState
	// replaced tells that another instance has its address: this one never comes back.
	replaced bool
	// leaving tells that it has said in an answer that it leaves, to this host if announcedLeaving, or to another one.
	leaving, announcedLeaving bool
	// holdOffUntil is until when it wants nothing from this host.
	holdOffUntil time.Duration
	// evacuated tells that operators have evacuated its availability zone.
	evacuated bool
	warming   coldState
	// exited tells that its process has exited without leaving; broken are requests that broke there before that was known.
	exited     bool
	brokenRuns []brokenRequest
	// probedUntil is until when it is not asked again whether it can be reached.
	probedUntil time.Duration
}

func newBackend(b routing.Backend) *backend {
	return &backend{Backend: b, hash: hashOf(b)}
}

// hashOf names one start of a backend server in beats, so that what others tell of an earlier start is
// not counted for the next.
func hashOf(b routing.Backend) uint32 {
	if b.Start == 0 {
		return uint32(xxhash.Sum64String(b.ID))
	}
	return uint32(xxhash.Sum64String(b.ID + "/" + formatBase36(b.Start)))
}

// hashesOf names the registered backend servers that a test accepts, in order of their ids, as beats name them.
func (r *Router) hashesOf(match func(*backend) bool) []uint32 {
	var out []uint32
	for _, b := range r.allBackends() {
		if !b.removed && match(b) {
			out = append(out, b.hash)
		}
	}
	return out
}

// inFlight is how many requests the backend server is believed to hold.
func (b *backend) inFlight() int {
	return b.ownLoad.total() + b.loadOfOthers().total()
}

// loadOfOthers is what other hosts are believed to carry there.
func (b *backend) loadOfOthers() load {
	if b.useOwnerReport {
		return b.ownerLoad
	}
	return b.othersLoad
}

// exclusion is why a backend server may not get new work.
type exclusion string

// The bars. One that is notExcluded has none.
const (
	notExcluded exclusion = ""
	gone        exclusion = "gone"
	evacuated   exclusion = "evacuated"
	draining    exclusion = "draining"
	leaving     exclusion = "leaving"
	replaced    exclusion = "replaced"
	holdingOff  exclusion = "away"
)

// excluded tells why new work may not go to a backend server.
func (b *backend) excluded(now time.Duration) exclusion {
	switch {
	case b.removed && now >= b.usableUntil:
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

// usable tells whether new work may go there, and whether only for want of others.
func (b *backend) usable(now time.Duration) (ok, doubtful bool) {
	return b.excluded(now) == notExcluded, b.removed
}

// learnEventInterval learns the time between events, or of a plain answer.
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
