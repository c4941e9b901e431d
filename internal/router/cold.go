package router

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"fireflyshift/internal/limit"
)

// A backend server that has just started handles only a few requests per second and crashes at a rate well above that, so
// operators limit the rate of all hosts together. Its senders share it.

const (
	// coldBurst is the number of requests that a sender may save up.
	coldBurst = 1
	// coldBurstShare is the share of the operators' allowance beyond the rate that hosts may use for saved tokens.
	// The rest covers hosts that compute other senders or decided just before they learned that a server is cold.
	coldBurstShare = 0.5
)

// coldState is the state of a cold backend server. bucket holds this host's share of its rate.
type coldState struct {
	until  time.Duration
	bucket limit.Bucket
}

// cold reports whether a backend server is limited to a few requests because it has just started.
func (b *backend) cold(now time.Duration) bool { return now < b.warming.until }

// coldRateLimit returns the rate limit of a cold backend server in requests per second, zero if there is none.
// It is unknown until the configuration is known.
func (r *Router) coldRateLimit(b *backend) (rate float64, known bool) {
	if r.table == nil {
		return 0, false
	}
	if s := r.serviceConfig(b); s != nil {
		return s.ColdRate, true
	}
	return 0, true
}

// assumeCold treats a backend server as cold without a report of it.
func (r *Router) assumeCold(b *backend) {
	if s := r.serviceConfig(b); s != nil && b.warming.until < r.now+s.ColdFor {
		r.setCold(b, s.ColdFor, "presumed")
	}
}

// setCold marks a backend server as cold for the given time, or as warm if that is not positive.
func (r *Router) setCold(b *backend, left time.Duration, reason string) {
	was := b.cold(r.now)
	if rate, known := r.coldRateLimit(b); left <= 0 || (known && rate <= 0) {
		if was {
			r.markWarm(b, reason)
		}
		return
	}
	b.warming.until = r.now + left
	r.warming[b.ID] = b
	if was {
		return
	}
	b.warming.bucket = limit.NewBucket(r.now, coldBurst, coldBurst)
	b.warming.bucket.SetRate(r.now, r.hostColdRate(b))
	r.emit(Note{What: "backend server is cold", Subject: b.ID,
		Detail: reason + " " + left.String() + " rate=" + strconv.FormatFloat(b.warming.bucket.Rate(), 'f', 2, 64)})
}

func (r *Router) markWarm(b *backend, reason string) {
	b.warming = coldState{}
	delete(r.warming, b.ID)
	r.emit(Note{What: "backend server is warm", Subject: b.ID, Detail: reason})
}

// updateCold marks backend servers as warm when their time has passed and updates this host's rate for the others.
func (r *Router) updateCold() {
	for _, id := range slices.Sorted(maps.Keys(r.warming)) {
		b := r.warming[id]
		bound, known := r.coldRateLimit(b)
		switch {
		case !b.cold(r.now):
			r.markWarm(b, "time")
		case known && bound <= 0:
			r.markWarm(b, "configuration")
		default:
			b.warming.bucket.SetRate(r.now, r.hostColdRate(b))
		}
	}
}

// hostColdRate returns this host's share of the rate of a cold backend server, zero if it is not a sender.
func (r *Router) hostColdRate(b *backend) float64 {
	bound, _ := r.coldRateLimit(b)
	if bound <= 0 || !r.maySendToLimited(b) {
		return 0
	}
	allowed := bound*max(1, r.opt.Bounds.ColdOverage) + r.opt.Bounds.ColdSlack
	// Each sender may have saved one token, besides those that accrue during a second.
	senders := min(maxSenders, max(1, int(coldBurstShare*(allowed-bound))))
	rank, hosts := r.senderRank(b)
	if rank >= senders {
		return 0
	}
	senders = min(senders, hosts)
	return max(0, min(bound, allowed-float64(senders))) / float64(senders)
}

// coldTokenAvailable reports whether this host may send one more request to a backend server now.
func (r *Router) coldTokenAvailable(b *backend) bool {
	if !b.cold(r.now) {
		return true
	}
	return b.warming.bucket.Available(r.now)
}

// takeColdToken takes a token for a request to a cold backend server.
func (r *Router) takeColdToken(b *backend) {
	if !b.cold(r.now) {
		return
	}
	r.invariants.Check(r.coldTokenAvailable(b), "cold backend server %s gets more than this host's share of its rate", b.ID)
	b.warming.bucket.Take(r.now)
}
