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
	// goneAt is the revision of the latest removal; zero where there was none. listed is that of the latest registration.
	goneAt     routing.Revision
	listed     routing.Revision
	removed    bool
	removedAt  time.Duration
	doubtUntil time.Duration
	// own and others are requests in flight by priority: this host's, and the other hosts' by their
	// latest beats.
	own, others load
	// toldAt is when others last told of it.
	toldAt time.Duration
	// ownersWord is what its owner says of other hosts' requests there, which counts instead of others
	// while fromOwner is set.
	ownersWord   load
	ownersWordAt time.Duration
	fromOwner    bool
	// mine tells that this host owns it, as of the last computation.
	mine bool
	hash uint32
	// interval is the learned time between the events of a stream, or to the answer of a plain call.
	interval time.Duration
	samples  int
	// read is the learned time to read a prompt token; zero where unknown.
	read time.Duration
	// told is the speed that this host last told others.
	told speed
	failing
	// replaced tells that another instance has its address: this one never comes back.
	replaced bool
	// leaving tells that it has said in an answer that it leaves, to this host if saidLeaving, or to another one.
	leaving, saidLeaving bool
	// awayUntil is until when it wants nothing from this host.
	awayUntil time.Duration
	// evacuated tells that operators have evacuated its availability zone.
	evacuated bool
	warming   coldState
	// ended tells that its process has ended without leaving; broken are requests that broke there before that was known.
	ended  bool
	broken []brokenRun
	// checkedUntil is until when it is not asked again whether it can be reached.
	checkedUntil time.Duration
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
	return uint32(xxhash.Sum64String(b.ID + "/" + itoa(b.Start)))
}

// hashesOf names the registered backend servers that a test accepts, in order of their ids, as beats name them.
func (r *Router) hashesOf(tell func(*backend) bool) []uint32 {
	var out []uint32
	for _, b := range r.allBackends() {
		if !b.removed && tell(b) {
			out = append(out, b.hash)
		}
	}
	return out
}

// inFlight is how many requests the backend server is believed to hold.
func (b *backend) inFlight() int {
	return b.own.total() + b.believedOthers().total()
}

// believedOthers is what other hosts are believed to carry there.
func (b *backend) believedOthers() load {
	if b.fromOwner {
		return b.ownersWord
	}
	return b.others
}

// bar is why a backend server may not get new work.
type bar string

// The bars. One that is free has none.
const (
	free      bar = ""
	gone      bar = "gone"
	evacuated bar = "evacuated"
	draining  bar = "draining"
	leaving   bar = "leaving"
	replaced  bar = "replaced"
	away      bar = "away"
)

// barred tells why new work may not go to a backend server.
func (b *backend) barred(now time.Duration) bar {
	switch {
	case b.removed && now >= b.doubtUntil:
		return gone
	case b.evacuated:
		return evacuated
	case b.Draining:
		return draining
	case b.leaving:
		return leaving
	case b.replaced:
		return replaced
	case now < b.awayUntil:
		return away
	default:
		return free
	}
}

// usable tells whether new work may go there, and whether only for want of others.
func (b *backend) usable(now time.Duration) (ok, doubtful bool) {
	return b.barred(now) == free, b.removed
}

// learnPace learns the time between events, or of a plain answer.
func (b *backend) learnPace(pace time.Duration) {
	if pace <= 0 {
		return
	}
	b.samples++
	if b.interval == 0 {
		b.interval = pace
		return
	}
	b.interval += time.Duration(learnRate * float64(pace-b.interval))
}
