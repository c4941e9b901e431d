package router

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A backend server that has just started bears few requests a second and crashes at a rate well above that, and the operators
// bound what all hosts together send it. A few hosts, which each host computes, send there at all, each a fixed part of
// the rate: nothing is counted between hosts, so that a cut, a late word or a restart adds nothing.

const (
	// maxColdSenders bounds the hosts that send to a cold backend server.
	maxColdSenders = 4
	// minColdSenderAge is how long a host must have run to be one of them: it has heard of its zone mates by then, and what an
	// earlier process of it sent is more than a second old.
	minColdSenderAge = 2 * time.Second
	// coldBurstShare is the part of what operators allow beyond the rate that hosts may have saved up: some hosts compute others, or decided just before
	// they heard that a backend server is cold.
	coldBurstShare = 0.5
)

// coldState is what this host knows of a backend server that is cold.
type coldState struct {
	until time.Duration
	// rate is how many requests a second this host may send there, and tokens how many it has saved up, at most one.
	rate, tokens float64
	refilledAt   time.Duration
}

// cold tells whether a backend server bears few requests only.
func (b *backend) cold(now time.Duration) bool { return now < b.warming.until }

// coldRateLimit is how many requests a second a cold backend server bears; zero where there is no bound. It is not known before
// the configuration is.
func (r *Router) coldRateLimit(b *backend) (rate float64, known bool) {
	if r.table == nil {
		return 0, false
	}
	if s := r.serviceConfig(b); s != nil {
		return s.ColdRate, true
	}
	return 0, true
}

// assumeCold takes a backend server for cold that may be, though nothing says so yet.
func (r *Router) assumeCold(b *backend) {
	if s := r.serviceConfig(b); s != nil && b.warming.until < r.now+s.ColdFor {
		r.setCold(b, s.ColdFor, "presumed")
	}
}

// setCold takes that a backend server is cold for so long, or is warm.
func (r *Router) setCold(b *backend, left time.Duration, by string) {
	was := b.cold(r.now)
	if rate, known := r.coldRateLimit(b); left <= 0 || (known && rate <= 0) {
		if was {
			r.markWarm(b, by)
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
		Detail: by + " " + left.String() + " rate=" + strconv.FormatFloat(b.warming.rate, 'f', 2, 64)})
}

func (r *Router) markWarm(b *backend, by string) {
	b.warming = coldState{}
	delete(r.warming, b.ID)
	r.emit(Note{What: "backend server is warm", Subject: b.ID, Detail: by})
}

// updateCold notes which backend servers are warm by now, and computes this host's part for the others.
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

// hostColdRate is this host's part of the rate of a cold backend server; zero where others send there.
func (r *Router) hostColdRate(b *backend) float64 {
	bound, _ := r.coldRateLimit(b)
	if bound <= 0 || r.now < minColdSenderAge || !r.exchangesHeartbeats(b.Zone) || r.noPeersSeen() {
		return 0
	}
	allowed := bound*max(1, r.opt.Bounds.ColdOver) + r.opt.Bounds.ColdSlack
	// Each may have saved one up, beside what flows in during a second.
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

// noPeersSeen tells that this host has heard no other since its start though there are some: it cannot know who sends what.
func (r *Router) noPeersSeen() bool {
	return len(r.members.order) == 0 && slices.ContainsFunc(r.opt.Seeds, func(h string) bool { return h != r.opt.Host })
}

// coldSenderRank orders hosts for a backend server, those that are not heard too: who is only cut off still sends.
func coldSenderRank(backend uint32, host string) uint64 {
	return xxhash.Sum64String(host + "|cold " + strconv.FormatUint(uint64(backend), 36))
}

func (r *Router) refillCold(b *backend) {
	w := &b.warming
	w.tokens = min(1, w.tokens+w.rate*(r.now-w.refilledAt).Seconds())
	w.refilledAt = r.now
}

// coldTokenAvailable tells whether this host may send a backend server one more request now.
func (r *Router) coldTokenAvailable(b *backend) bool {
	if !b.cold(r.now) {
		return true
	}
	r.refillCold(b)
	return b.warming.rate > 0 && b.warming.tokens >= 1
}

// takeColdToken counts a request that is sent to a backend server while it is cold.
func (r *Router) takeColdToken(b *backend) {
	if !b.cold(r.now) {
		return
	}
	r.invariants.Check(r.coldTokenAvailable(b), "cold backend server %s gets more than this host's part", b.ID)
	b.warming.tokens--
}
