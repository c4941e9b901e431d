package router

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

// A backend server in need states in its answers how many requests per second it accepts from all hosts together. The
// statement spreads in heartbeats and zone summaries, and the rate is shared by a few senders.

const (
	// rateBurst is the number of tokens that a sender may save up. All senders together may then send maxSenders*rateBurst
	// requests beyond the rate at one moment. The part above one lets tokens accrue while one is kept for urgent requests.
	rateBurst = 1.25
	// maxReturnDelay limits how far ahead refused callers are told to return. By then the limit has often ended.
	maxReturnDelay = 10 * time.Second
)

// rateLimit is the state of a backend server that has stated a rate limit.
type rateLimit struct {
	statedLimit
	// bucket holds this host's share of the rate. sent counts the requests that this host has sent since the limit was first
	// stated, and lastSentAt is the time of the latest.
	bucket     limit.Bucket
	sent       int
	lastSentAt time.Duration
	// spread is set once the bucket has begun with a part of a token by the host's rank among all senders.
	spread bool
}

// rateLimited reports whether the backend server states a rate limit.
func (b *backend) rateLimited() bool { return b.rateLimit != nil && b.rateLimit.limited() }

// observeRateLimit applies a statement that a backend server made to the host source.
func (r *Router) observeRateLimit(b *backend, s statement, source string) {
	l := b.rateLimit
	if l == nil {
		if !s.limited() {
			return
		}
		l = &rateLimit{statedLimit: newStatedLimit()}
		b.rateLimit = l
		r.rateLimits[b.ID] = b
	}
	was, ok := r.observe(&l.statedLimit, s, source)
	if !ok {
		return
	}
	if was.limited() != s.limited() {
		l.lastSentAt, l.sent = r.now, 0
		r.setFirstRateToken(b)
	}
	if was.perSecond == s.perSecond {
		return
	}
	r.heartbeatPending = true
	r.updateRateShare(b)
	if !s.limited() {
		r.emit(Note{What: "backend server states no rate limit any more", Subject: b.ID, Detail: source, Age: r.now - s.heardAt})
		return
	}
	r.emit(Note{What: "backend server states a rate limit", Subject: b.ID, Age: r.now - s.heardAt,
		Detail: source + " per_second=" + formatRate(s.perSecond) + " share=" + formatRate(l.bucket.Rate())})
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 4, 64) }

// updateRateLimits updates this host's shares and forgets limits that ended a while ago.
func (r *Router) updateRateLimits() {
	for _, id := range slices.Sorted(maps.Keys(r.rateLimits)) {
		b := r.rateLimits[id]
		if b.rateLimit.endedLongAgo(r.now) {
			b.rateLimit = nil
			delete(r.rateLimits, id)
			continue
		}
		r.updateRateShare(b)
	}
}

// updateRateShare sets this host's share of a backend server's rate. A host that replaces another sender begins without saved
// tokens, because the other may have used its own just before.
func (r *Router) updateRateShare(b *backend) {
	if !b.rateLimited() {
		return
	}
	l := b.rateLimit
	if !l.spread && r.now >= minSenderAge {
		r.setFirstRateToken(b)
	}
	share := r.rateShare(b)
	l.bucket.SetRate(r.now, share)
	if share == 0 && r.now >= minSenderAge {
		l.bucket.Empty(r.now)
	}
}

// setFirstRateToken begins this host's share of a backend server's rate when it learns of the limit. A host that is younger than
// minSenderAge may not know the other senders yet; it has no share before that age and begins anew then.
func (r *Router) setFirstRateToken(b *backend) {
	l := b.rateLimit
	l.bucket = limit.NewBucket(r.now, rateBurst, r.firstRateToken(b))
	l.spread = r.now >= minSenderAge
}

// firstRateToken returns the part of a token that a sender begins with: senders begin at equal distances, so that they do not all
// use a low rate at the same moments.
func (r *Router) firstRateToken(b *backend) float64 {
	rank, hosts := r.senderRank(b)
	return min(1, float64(rank)/float64(min(maxSenders, hosts)))
}

// rateShare returns the requests per second that this host may send to a rate-limited backend server.
func (r *Router) rateShare(b *backend) float64 {
	if !r.maySendToLimited(b) {
		return 0
	}
	rank, hosts := r.senderRank(b)
	if rank >= maxSenders {
		return 0
	}
	return b.rateLimit.perSecond / float64(min(maxSenders, hosts))
}

// rateTrialDue reports whether this host may send a single request to a rate-limited backend server that has stated nothing for
// long.
func (r *Router) rateTrialDue(b *backend) bool {
	l := b.rateLimit
	return r.trialDue(b, max(l.heardAt, l.lastSentAt))
}

// mayTakeRateToken reports whether a rate-limited backend server may get the selector's request now.
func (s *selector) mayTakeRateToken(b *backend) bool {
	r := s.r
	if b.rateLimit.bucket.Available(r.now) && s.rateTokensLeft() {
		return true
	}
	return r.rateTrialDue(b)
}

// rateTokensLeft reports whether this host has a token for a request of this rank among its shares of the service's limited
// backend servers. A less urgent request leaves one for the most urgent: it waits until a second share has saved as much of a
// token as its rank requires, or until the only share is full.
func (s *selector) rateTokensLeft() bool {
	if s.rateTokensKnown {
		return s.rateTokens
	}
	s.rateTokensKnown = true
	now, shares, fullest, second := s.r.now, 0, 0.0, 0.0
	for _, b := range s.r.backendsOf(s.q.service) {
		if ok, _ := b.usable(now); !ok || !b.rateLimited() || b.rateLimit.bucket.Rate() == 0 {
			continue
		}
		shares++
		level := b.rateLimit.bucket.Level(now)
		if level > fullest {
			fullest, second = level, fullest
		} else {
			second = max(second, level)
		}
	}
	kept := s.q.Rank / routing.LeastUrgent
	if shares > 1 {
		s.rateTokens = fullest >= 1 && second >= kept
	} else {
		s.rateTokens = fullest >= 1+kept*(rateBurst-1)
	}
	return s.rateTokens
}

// takeRateToken takes a token for a request to a rate-limited backend server.
func (r *Router) takeRateToken(b *backend) {
	if !b.rateLimited() {
		return
	}
	l := b.rateLimit
	if l.bucket.Available(r.now) {
		l.bucket.Take(r.now)
	} else {
		r.invariants.Check(r.rateTrialDue(b), "backend server %s gets more than this host's share of its rate", b.ID)
	}
	l.sent++
	l.lastSentAt = r.now
}

func (b *backend) rateStatement() *statedLimit { return &b.rateLimit.statedLimit }

// ownRateLimits returns the statements that backend servers have made to this host, for its heartbeats.
func (r *Router) ownRateLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.rateLimits, (*backend).rateStatement, toThisHost)
}

// zoneRateLimits returns the statements made to hosts of this zone, for other zones.
func (r *Router) zoneRateLimits() []*gossippb.RateLimit {
	return r.statementsToSend(r.rateLimits, (*backend).rateStatement, toThisZone)
}

// applyRateLimits merges the statements that another host reports.
func (r *Router) applyRateLimits(from string, list []*gossippb.RateLimit) {
	r.applyStatements(list, func(b *backend, s statement) { r.observeRateLimit(b, s, from) })
}

// rateBasis describes the rate limits of a service's usable backend servers for logs.
func (r *Router) rateBasis(service string) RateBasis {
	var out RateBasis
	for _, b := range r.backendsOf(service) {
		if ok, _ := b.usable(r.now); ok && b.rateLimited() {
			out.PerSecond += b.rateLimit.perSecond
			out.Share += b.rateLimit.bucket.Rate()
		}
	}
	return out
}

// rateRetryAfter returns when a caller refused because of rate limits should return. Callers refused by this host are spread over
// its part of the service's rate, each behind those that are at least as urgent.
func (r *Router) rateRetryAfter(q *request, service RateBasis) time.Duration {
	interval := maxReturnDelay
	if service.PerSecond > 0 {
		interval = min(maxReturnDelay, time.Duration(float64(r.hostCount())/service.PerSecond*float64(time.Second)))
	}
	returns := &r.serviceState(q.service).returnAt
	p := q.priority()
	at := max(r.now, returns[p])
	for i := p; i < priorities; i++ {
		returns[i] = min(max(returns[i], at)+interval, r.now+maxReturnDelay)
	}
	return at - r.now
}

// rateLimitView returns a backend server's rate limit for operators, or nil if it states none.
func (r *Router) rateLimitView(b *backend) *RateLimitView {
	if !b.rateLimited() {
		return nil
	}
	l := b.rateLimit
	return &RateLimitView{PerSecond: l.perSecond, Share: l.bucket.Rate(), Since: l.since, Sent: l.sent}
}
