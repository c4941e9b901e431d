package router

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A backend server that has just started handles only a few requests per second and crashes at a rate well above that, so
// operators limit the rate of all hosts together. Only a few hosts, computed by every host alike, send to a cold backend server,
// each with a fixed share of the rate. Hosts share no counters, so a network cut, a late message or a restart adds no requests.

const (
	// maxColdSenders limits the hosts that send to a cold backend server.
	maxColdSenders = 4
	// minColdSenderAge is how long a host must have run to be one of them. By then it knows its zone peers, and
	// anything sent by its previous process is more than a second old.
	minColdSenderAge = 2 * time.Second
	// coldBurstShare is the share of the operators' allowance beyond the rate that hosts may use for saved tokens.
	// The rest covers hosts that compute other senders or decided just before they learned that a server is cold.
	coldBurstShare = 0.5
)

// coldState is the state of a cold backend server, with a token bucket for the requests of this host.
type coldState struct {
	until time.Duration
	// rate is the number of requests per second that this host may send, and tokens those it has saved up, at
	// most one.
	rate, tokens float64
	refilledAt   time.Duration
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
	b.warming.refilledAt, b.warming.tokens = r.now, 1
	b.warming.rate = r.hostColdRate(b)
	r.emit(Note{What: "backend server is cold", Subject: b.ID,
		Detail: reason + " " + left.String() + " rate=" + strconv.FormatFloat(b.warming.rate, 'f', 2, 64)})
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
			r.refillCold(b)
			b.warming.rate = r.hostColdRate(b)
		}
	}
}

// hostColdRate returns this host's share of the rate of a cold backend server, zero if it is not a sender.
func (r *Router) hostColdRate(b *backend) float64 {
	bound, _ := r.coldRateLimit(b)
	if bound <= 0 || r.now < minColdSenderAge || !r.exchangesHeartbeats(b.Zone) || r.noPeersSeen() {
		return 0
	}
	allowed := bound*max(1, r.opt.Bounds.ColdOverage) + r.opt.Bounds.ColdSlack
	// Each sender may have saved one token, besides those that accrue during a second.
	senders := min(maxColdSenders, max(1, int(coldBurstShare*(allowed-bound))))
	before, hosts := 0, 1
	mine := coldSenderRank(b.hash, r.opt.Host)
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if !r.exchangesHeartbeats(m.zone) {
			continue
		}
		hosts++
		if coldSenderRank(b.hash, h) < mine {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	senders = min(senders, hosts)
	return max(0, min(bound, allowed-float64(senders))) / float64(senders)
}

// noPeersSeen reports whether this host has seen no other host since its start although it has seeds. It then
// cannot know which hosts send.
func (r *Router) noPeersSeen() bool {
	return len(r.members.order) == 0 && slices.ContainsFunc(r.opt.Seeds, func(h string) bool { return h != r.opt.Host })
}

// coldSenderRank orders hosts for a backend server. Unreachable hosts are included because they may only be
// disconnected and still send.
func coldSenderRank(backend uint32, host string) uint64 {
	return xxhash.Sum64String(host + "|cold " + strconv.FormatUint(uint64(backend), 36))
}

func (r *Router) refillCold(b *backend) {
	w := &b.warming
	w.tokens = min(1, w.tokens+w.rate*(r.now-w.refilledAt).Seconds())
	w.refilledAt = r.now
}

// coldTokenAvailable reports whether this host may send one more request to a backend server now.
func (r *Router) coldTokenAvailable(b *backend) bool {
	if !b.cold(r.now) {
		return true
	}
	r.refillCold(b)
	return b.warming.rate > 0 && b.warming.tokens >= 1
}

// takeColdToken takes a token for a request to a cold backend server.
func (r *Router) takeColdToken(b *backend) {
	if !b.cold(r.now) {
		return
	}
	r.invariants.Check(r.coldTokenAvailable(b), "cold backend server %s gets more than this host's share of its rate", b.ID)
	b.warming.tokens--
}
